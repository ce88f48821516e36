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
struct ServerCall {
    const std::string m_method;
    const std::string m_path; ///< Path and query, already encoded.
    const std::string m_body; ///< Empty if there is none.
    const std::optional<std::int64_t> m_ifMatch; ///< Version for the If-Match header.
    const bool m_idempotent; ///< True if the call has the same effect when it is sent twice.

    bool operator==(const ServerCall &) const = default;
};

/// A server's answer, with any status.
struct ServerResponse {
    const int m_status;
    const std::string m_body;

    bool operator==(const ServerResponse &) const = default;
};

/// Sends a call to one server (IP and port) and waits at most the given time. Unavailable if the call certainly was not
/// sent; DeadlineExceeded if it may have been received, but no complete answer arrived.
using SendCall = std::function<Result<ServerResponse>(const std::string &server, const ServerCall &call, Duration timeout)>;

/// Sends over HTTP/1.1 with the bearer token. Answers above 16 MiB are refused. The function is thread-safe.
SendCall makeHttpSender(const std::string &token);

/// Tries the servers in order until one answers. After a lost answer or status 503 the next one is tried only if the call is
/// repeatable. If all fail, a lost answer is returned rather than status 503, and that rather than a server that was not
/// reached. Thread-safe.
Result<ServerResponse> callWithFailover(const std::vector<std::string> &servers, const ServerCall &call, Duration timeout, const SendCall &send);

} // namespace PrimroseBridge
