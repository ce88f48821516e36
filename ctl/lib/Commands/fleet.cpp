#include "actions.h"

#include "ask.h"
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
    std::string path = "/v1/timeline";
    if (!command.m_requestKey.empty()) {
        path += "?request=" + command.m_requestKey;
    }
    if (command.m_since) {
        path += (command.m_requestKey.empty() ? "?since_ms=" : "&since_ms=") + std::to_string(command.m_since->count());
    }
    return path;
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
    const HttpCall call{"PUT", "/v1/log-level", body, std::nullopt, true};
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
