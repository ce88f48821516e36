#pragma once

#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A call to a server.
struct HttpCall {
    const std::string m_method;
    const std::string m_path; ///< Path and query, already encoded.
    const std::string m_body; ///< Empty if there is none.
    const std::optional<std::int64_t> m_ifMatch; ///< Version for the If-Match header.
    const bool m_repeatable; ///< True if the call has the same effect when it is sent twice.

    bool operator==(const HttpCall &) const = default;
};

/// A server's answer, with any status.
struct HttpAnswer {
    const int m_status;
    const std::string m_body;

    bool operator==(const HttpAnswer &) const = default;
};

/// Sends a call to one server (IP and port) and waits at most the given time. Unavailable if the call certainly was not
/// sent; DeadlineExceeded if it may have been received, but no complete answer arrived.
using SendCall = std::function<Result<HttpAnswer>(const std::string &server, const HttpCall &call, Duration timeout)>;

/// Sends over HTTP/1.1 with the bearer token. Answers above 16 MiB are refused. The function is thread-safe.
SendCall httpSender(const std::string &token);

/// Tries the servers in order until one answers. After DeadlineExceeded the next one is tried only if the call is
/// repeatable; otherwise, and after the last server, the last error is returned. Thread-safe.
Result<HttpAnswer> callServers(const std::vector<std::string> &servers, const HttpCall &call, Duration timeout, const SendCall &send);

} // namespace PrimroseBridge
