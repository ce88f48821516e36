#include "primrosebridge/Commands/transport.h"

#include <cassert>

namespace PrimroseBridge {

/// An entry VM that is starting, stopping or cut off says so with this status; another may serve the call.
constexpr int serviceUnavailable = 503;

static bool mayTryNext(const Result<ServerAnswer> &answer, const ServerCall &call)
{
    if (answer.ok()) {
        return answer.value().m_status == serviceUnavailable && call.m_repeatable;
    }
    const auto kind = answer.error().kind();
    return kind == ErrorKind::Unavailable || (kind == ErrorKind::DeadlineExceeded && call.m_repeatable);
}

/// Which of several failures is reported: a lost answer, because the call may have taken effect, then a server's refusal,
/// because it explains itself, then a server that was not reached.
static int weightOf(const Result<ServerAnswer> &failure)
{
    if (failure.ok()) {
        return 1;
    }
    return failure.error().kind() == ErrorKind::DeadlineExceeded ? 2 : 0;
}

Result<ServerAnswer> callServers(const std::vector<std::string> &servers, const ServerCall &call, Duration timeout, const SendCall &send)
{
    assert(!servers.empty() && "parseCommand() gives at least one server");
    std::optional<Result<ServerAnswer>> failure;
    for (const auto &server : servers) {
        auto answer = send(server, call, timeout);
        if (!mayTryNext(answer, call)) {
            return answer;
        }
        if (!failure || weightOf(answer) > weightOf(*failure)) {
            failure.emplace(answer);
        }
    }
    return *failure;
}

} // namespace PrimroseBridge
