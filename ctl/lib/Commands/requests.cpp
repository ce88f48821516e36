#include "actions.h"

#include "apicall.h"
#include "awaitoutcome.h"
#include "primrosebridge/Commands/format.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

static std::string readPayload(const Command &command, const Environment &environment)
{
    const auto &submit = command.m_submitOptions;
    return submit.m_payloadFile.empty() ? submit.m_payload : environment.m_readFile(submit.m_payloadFile).value();
}

static std::string buildSubmitBody(const Command &command, const std::string &key, const std::string &payload)
{
    const auto &submit = command.m_submitOptions;
    Json body = {{"key", key}, {"class", submit.m_jobClass}};
    if (!submit.m_zone.empty()) {
        body["zone"] = submit.m_zone;
    }
    if (submit.m_declaredRunTime) {
        body["declaredRunTimeMs"] = submit.m_declaredRunTime->count();
    }
    body["payload"] = payload;
    try {
        return body.dump();
    } catch (const Json::type_error &) {
        throw Error(ErrorKind::InvalidArgument, "the payload is not UTF-8 text", "encode it, for example with base64");
    }
}

static ServerCall buildSubmitCall(const Command &command, const Environment &environment, const std::string &key)
{
    const auto body = buildSubmitBody(command, key, readPayload(command, environment));
    if (body.size() > maxRequestBytes) {
        throw Error(ErrorKind::TooLarge,
                    "the request has " + std::to_string(body.size()) + " bytes, the limit is " + std::to_string(maxRequestBytes),
                    "shorten the payload, or pass a reference to the data instead");
    }
    // A short wait_ms makes the server confirm soon that it has accepted the request; awaitOutcome() then polls the outcome.
    return {"POST", "/v1/requests?wait_ms=" + std::string(command.m_submitOptions.m_waitForOutcome ? "1000" : "0"), body, std::nullopt, true};
}

static ExitCode printOutcomeResponse(const Command &command, const Environment &environment, const std::string &body)
{
    const auto kind = parseOutcome(body);
    printResponse(command, environment, body, formatKeyValues);
    return exitCodeOf(kind);
}

ExitCode submitRequest(const Command &command, const Environment &environment)
{
    const auto key = command.m_submitOptions.m_key.empty() ? environment.m_generateRequestKey() : command.m_submitOptions.m_key;
    const auto call = buildSubmitCall(command, environment, key);
    if (command.m_submitOptions.m_key.empty()) {
        environment.m_writeStderr("the request has the key " + key + "\n");
    }
    if (command.m_submitOptions.m_waitForOutcome) {
        return printOutcomeResponse(command, environment, awaitOutcome(command, environment, key, call));
    }
    const auto code = printOutcomeResponse(command, environment, callApi(command, environment, call));
    // Without --wait, the command succeeds when the request has been accepted, even if the outcome is pending or unknown.
    return code == ExitCode::Undecided ? ExitCode::Done : code;
}

ExitCode getRequest(const Command &command, const Environment &environment)
{
    return printOutcomeResponse(command, environment, callApi(command, environment, makeGetCall("/v1/requests/" + command.m_operand)));
}

ExitCode waitForRequest(const Command &command, const Environment &environment)
{
    return printOutcomeResponse(command, environment, awaitOutcome(command, environment, command.m_operand, std::nullopt));
}

ExitCode cancelRequest(const Command &command, const Environment &environment)
{
    const auto body = callApi(command, environment, {"DELETE", "/v1/requests/" + command.m_operand, "", std::nullopt, true});
    const auto kind = parseOutcome(body);
    printResponse(command, environment, body, formatKeyValues);
    if (kind == OutcomeKind::Done || kind == OutcomeKind::Failed) {
        environment.m_writeStderr("the request had already ended\n");
        return ExitCode::Conflict;
    }
    return kind == OutcomeKind::Unknown ? ExitCode::Undecided : ExitCode::Done;
}

ExitCode explainRequest(const Command &command, const Environment &environment)
{
    printResponse(command, environment, callApi(command, environment, makeGetCall("/v1/requests/" + command.m_operand + "/explain")), formatKeyValues);
    return ExitCode::Done;
}

} // namespace PrimroseBridge
