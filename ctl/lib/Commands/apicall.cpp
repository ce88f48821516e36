#include "apicall.h"

#include "primrosebridge/Commands/format.h"

#include <algorithm>

namespace PrimroseBridge {

/// Time limit for one server's response, in addition to the long-poll time. Two servers can be tried within defaultTimeout.
constexpr Duration responseTimeout = std::chrono::seconds(10);
constexpr Duration defaultTimeout = std::chrono::seconds(30);
/// Equals the maximum run time of a job class.
constexpr Duration defaultTimeoutWhenWaiting = std::chrono::hours(24 * 30);

static Duration commandTimeout(const Command &command)
{
    const bool waitsForOutcome = command.m_action == Action::Wait || (command.m_action == Action::Submit && command.m_submitOptions.m_waitForOutcome);
    return command.m_globalOptions.m_timeout.value_or(waitsForOutcome ? defaultTimeoutWhenWaiting : defaultTimeout);
}

Duration remainingTime(const Command &command, const Environment &environment)
{
    return std::max(Duration(0), commandTimeout(command) - environment.m_elapsedTime());
}

std::string callApi(const Command &command, const Environment &environment, const ServerCall &call, Duration longPollTime)
{
    // The remaining time is computed for each server, so that slow servers do not extend the command beyond its timeout.
    const SendCall send = [&](const std::string &server, const ServerCall &sentCall, Duration timeout) -> Result<ServerResponse> {
        const auto remaining = remainingTime(command, environment);
        if (remaining == Duration(0)) {
            return Error(ErrorKind::Unavailable, "the timeout expired before a call to server " + server, "use a longer --timeout");
        }
        return environment.m_send(server, sentCall, std::min(timeout, remaining));
    };
    const auto response = callWithFailover(command.m_globalOptions.m_servers, call, responseTimeout + longPollTime, send).value();
    if (response.m_status < 200 || response.m_status >= 300) {
        throw errorFromResponse(response.m_status, response.m_body);
    }
    return response.m_body;
}

ServerCall makeGetCall(const std::string &path)
{
    return {"GET", path, "", std::nullopt, true};
}

void printResponse(const Command &command, const Environment &environment, const std::string &body, std::string (*formatText)(std::string_view))
{
    environment.m_writeStdout(command.m_globalOptions.m_output == OutputFormat::Json ? formatJson(body) : formatText(body));
}

} // namespace PrimroseBridge
