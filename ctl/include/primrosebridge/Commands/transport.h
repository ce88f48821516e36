#pragma once

#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// An HTTP call to a server.
struct ServerCall {
    const std::string m_method;
    const std::string m_path; ///< Path and query, percent-encoded.
    const std::string m_body; ///< Request body; empty for none.
    const std::optional<std::int64_t> m_ifMatch; ///< Configuration version for the If-Match header.
    const bool m_idempotent; ///< Whether the call may be sent again without a further effect.

    bool operator==(const ServerCall &) const = default;
};

/// A server's HTTP response, of any status.
struct ServerResponse {
    const int m_status;
    const std::string m_body;

    bool operator==(const ServerResponse &) const = default;
};

/// Sends a call to one server, given by IP address and port, and waits for the response until @p timeout expires. Returns
/// Unavailable if the call was certainly not sent, and DeadlineExceeded if the server may have received it but no complete
/// response arrived.
using SendCall = std::function<Result<ServerResponse>(const std::string &server, const ServerCall &call, Duration timeout)>;

/// Creates a function that sends calls over HTTP/1.1 with the bearer token and returns TooLarge if a response exceeds 16 MiB.
/// Both this function and the returned one are thread-safe.
SendCall makeHttpSender(const std::string &token);

/// Sends a call to the servers in order until one responds. After a lost response or status 503, the next server is tried
/// only if the call is idempotent. If all servers fail, returns the most informative failure: a lost response before status
/// 503, and status 503 before an unreachable server. @p servers must not be empty. Thread-safe if @p send is.
Result<ServerResponse> callWithFailover(const std::vector<std::string> &servers, const ServerCall &call, Duration timeout, const SendCall &send);

} // namespace PrimroseBridge
