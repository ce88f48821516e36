#include "ask.h"

#include "primrosebridge/Commands/format.h"

#include <algorithm>

namespace PrimroseBridge {

/// Time for one answer, without the time that the server holds the call. Two servers fit into the default time.
constexpr Duration answerTime = std::chrono::seconds(10);
constexpr Duration defaultTimeout = std::chrono::seconds(30);
/// The longest run time that a job class may have.
constexpr Duration defaultWaitTimeout = std::chrono::hours(24 * 30);

static Duration timeoutOf(const Command &command)
{
    const bool waits = command.m_action == Action::Wait || (command.m_action == Action::Submit && command.m_submitOptions.m_waitForOutcome);
    return command.m_globalOptions.m_timeout.value_or(waits ? defaultWaitTimeout : defaultTimeout);
}

Duration remainingTime(const Command &command, const Environment &environment)
{
    return std::max(Duration(0), timeoutOf(command) - environment.m_elapsedTime());
}

std::string callApi(const Command &command, const Environment &environment, const ServerCall &call, Duration longPollTime)
{
    // Computed for each server, so that slow ones do not extend the command beyond its time.
    const SendCall send = [&](const std::string &server, const ServerCall &sent, Duration timeout) -> Result<ServerResponse> {
        const auto remaining = remainingTime(command, environment);
        if (remaining == Duration(0)) {
            return Error(ErrorKind::Unavailable, "no time is left to ask server " + server, "use a longer --timeout");
        }
        return environment.m_send(server, sent, std::min(timeout, remaining));
    };
    const auto answer = callWithFailover(command.m_globalOptions.m_servers, call, answerTime + longPollTime, send).value();
    if (answer.m_status < 200 || answer.m_status >= 300) {
        throw errorFromResponse(answer.m_status, answer.m_body);
    }
    return answer.m_body;
}

ServerCall makeGetCall(const std::string &path)
{
    return {"GET", path, "", std::nullopt, true};
}

void printResponse(const Command &command, const Environment &environment, const std::string &body, std::string (*format)(std::string_view))
{
    environment.m_writeStdout(command.m_globalOptions.m_output == OutputFormat::Json ? formatJson(body) : format(body));
}

} // namespace PrimroseBridge
