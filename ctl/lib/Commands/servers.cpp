#include "primrosebridge/Commands/transport.h"

#include <cassert>

namespace PrimroseBridge {

static bool mayTryNext(const Error &error, const HttpCall &call)
{
    return error.kind() == ErrorKind::Unavailable || (error.kind() == ErrorKind::DeadlineExceeded && call.m_repeatable);
}

Result<HttpAnswer> callServers(const std::vector<std::string> &servers, const HttpCall &call, Duration timeout, const SendCall &send)
{
    assert(!servers.empty() && "parseCommand() gives at least one server");
    std::optional<Error> lost;
    for (const auto &server : servers) {
        auto answer = send(server, call, timeout);
        if (answer.ok() || !mayTryNext(answer.error(), call)) {
            return answer;
        }
        // A lost answer outweighs a later refusal to connect: the call may have taken effect.
        if (!lost || lost->kind() != ErrorKind::DeadlineExceeded) {
            lost.emplace(answer.error());
        }
    }
    return *lost;
}

} // namespace PrimroseBridge
