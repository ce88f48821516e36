#include "actions.h"

#include "apicall.h"
#include "primrosebridge/Commands/format.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

ExitCode showFleet(const Command &command, const Environment &environment)
{
    printResponse(command, environment, callApi(command, environment, makeGetCall("/v1/fleet")), formatFleet);
    return ExitCode::Done;
}

static std::string timelinePath(const Command &command)
{
    // The events of a request may be as old as the maximum run time of a job. Without a request, the server's default applies.
    constexpr auto maxRunTime = std::chrono::hours(24 * 30);
    const auto since = command.m_since ? command.m_since : std::optional<Duration>(maxRunTime);
    const auto seconds = std::to_string(since->count() / 1000);
    if (!command.m_requestKey.empty()) {
        return "/v1/timeline?key=" + command.m_requestKey + "&since_s=" + seconds;
    }
    return command.m_since ? "/v1/timeline?since_s=" + seconds : "/v1/timeline";
}

ExitCode showTimeline(const Command &command, const Environment &environment)
{
    const auto body = callApi(command, environment, makeGetCall(timelinePath(command)));
    // The events are filtered here as well, because a server may return more events than requested.
    const auto oldest = command.m_since ? environment.m_now() - *command.m_since : Instant();
    printResponse(command, environment, filterTimeline(body, command.m_requestKey, oldest), formatTimeline);
    return ExitCode::Done;
}

static void setServerLogLevel(const Command &command, const Environment &environment, const std::string &server)
{
    const auto body = Json{{"level", command.m_operand}}.dump();
    const ServerCall call{"PUT", "/v1/log-level", body, std::nullopt, true};
    const auto response = callWithFailover({server}, call, remainingTime(command, environment), environment.m_send).value();
    if (response.m_status < 200 || response.m_status >= 300) {
        throw errorFromResponse(response.m_status, response.m_body);
    }
}

ExitCode setLogLevel(const Command &command, const Environment &environment)
{
    auto updatedServers = Json::array();
    auto code = ExitCode::Done;
    for (const auto &server : command.m_globalOptions.m_servers) {
        // The log level belongs to one process, so every server is called and there is no failover.
        try {
            setServerLogLevel(command, environment, server);
            updatedServers.push_back(server);
        } catch (const Error &error) {
            code = reportError(error, command.m_globalOptions.m_output, environment.m_writeStderr);
        }
    }
    const Json result = {{"level", command.m_operand}, {"servers", updatedServers}};
    environment.m_writeStdout(command.m_globalOptions.m_output == OutputFormat::Json ? result.dump(2) + "\n" : formatKeyValues(result.dump()));
    return code;
}

} // namespace PrimroseBridge
