#include "primrosebridge/Commands/transport.h"

#include <cassert>

namespace PrimroseBridge {

/// HTTP status of an entry VM that is starting, stopping or cut off; another entry VM may be able to serve the call.
constexpr int serviceUnavailable = 503;

static bool shouldTryNextServer(const Result<ServerResponse> &response, const ServerCall &call)
{
    if (response.ok()) {
        return response.value().m_status == serviceUnavailable && call.m_idempotent;
    }
    const auto kind = response.error().kind();
    return kind == ErrorKind::Unavailable || (kind == ErrorKind::DeadlineExceeded && call.m_idempotent);
}

/// Returns the priority for choosing which of several failures to report; the highest is reported. A lost response comes
/// first, because the call may have taken effect, then status 503, because it contains a reason, then an unreachable server.
static int reportPriority(const Result<ServerResponse> &failure)
{
    if (failure.ok()) {
        return 1;
    }
    return failure.error().kind() == ErrorKind::DeadlineExceeded ? 2 : 0;
}

Result<ServerResponse> callWithFailover(const std::vector<std::string> &servers, const ServerCall &call, Duration timeout, const SendCall &send)
{
    assert(!servers.empty() && "parseCommand() returns at least one server");
    std::optional<Result<ServerResponse>> failure;
    for (const auto &server : servers) {
        auto response = send(server, call, timeout);
        if (!shouldTryNextServer(response, call)) {
            return response;
        }
        if (!failure || reportPriority(response) > reportPriority(*failure)) {
            failure.emplace(response);
        }
    }
    return *failure;
}

} // namespace PrimroseBridge
