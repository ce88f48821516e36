#include "actions.h"

#include "apicall.h"
#include "primrosebridge/Commands/format.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

ExitCode showFleet(const Command &command, const Environment &environment)
{
    printAnswer(command, environment, ask(command, environment, getCall("/v1/fleet")), formatFleet);
    return ExitCode::Done;
}

static std::string timelinePath(const Command &command)
{
    // A request's events are asked for as far back as a job may run; without a request, the server's own default holds.
    constexpr auto longestRunTime = std::chrono::hours(24 * 30);
    const auto since = command.m_since ? command.m_since : std::optional<Duration>(longestRunTime);
    const auto seconds = std::to_string(since->count() / 1000);
    if (!command.m_requestKey.empty()) {
        return "/v1/timeline?key=" + command.m_requestKey + "&since_s=" + seconds;
    }
    return command.m_since ? "/v1/timeline?since_s=" + seconds : "/v1/timeline";
}

ExitCode showTimeline(const Command &command, const Environment &environment)
{
    const auto body = ask(command, environment, getCall(timelinePath(command)));
    // Filtered here as well, so that the options work with a server that returns more.
    const auto oldest = command.m_since ? environment.m_now() - *command.m_since : Instant();
    printAnswer(command, environment, filterTimeline(body, command.m_requestKey, oldest), formatTimeline);
    return ExitCode::Done;
}

static void setLevelOf(const Command &command, const Environment &environment, const std::string &server)
{
    const auto body = Json{{"level", command.m_operand}}.dump();
    const ServerCall call{"PUT", "/v1/log-level", body, std::nullopt, true};
    const auto answer = callServers({server}, call, remainingTime(command, environment), environment.m_send).value();
    if (answer.m_status < 200 || answer.m_status >= 300) {
        throw errorOf(answer.m_status, answer.m_body);
    }
}

ExitCode setLogLevel(const Command &command, const Environment &environment)
{
    auto done = Json::array();
    auto code = ExitCode::Done;
    for (const auto &server : command.m_global.m_servers) {
        // The level belongs to one process, so each server is set and none stands in for another.
        try {
            setLevelOf(command, environment, server);
            done.push_back(server);
        } catch (const Error &error) {
            code = reportError(error, command.m_global.m_output, environment.m_report);
        }
    }
    const Json result = {{"level", command.m_operand}, {"servers", done}};
    environment.m_print(command.m_global.m_output == OutputFormat::Json ? result.dump(2) + "\n" : formatKeyValues(result.dump()));
    return code;
}

} // namespace PrimroseBridge
