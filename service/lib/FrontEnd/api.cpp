#include "primrosebridge/FrontEnd/api.h"

#include "authentication.h"
#include "console.h"
#include "operatorapi.h"

#include "primrosebridge/Runtime/node.h"

#include <Poco/UUIDGenerator.h>

#include <algorithm>

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::json;

static HttpReply jsonReply(int status, const Json &json)
{
    return HttpReply{.m_status = status, .m_contentType = "application/json", .m_body = json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

static int httpStatusFor(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return 400;
    case ErrorKind::Unauthenticated:
        return 401;
    case ErrorKind::PermissionDenied:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::NeverRunnable:
        return 422;
    case ErrorKind::QueueFull:
        return 429;
    case ErrorKind::Unavailable:
    case ErrorKind::StoreUnavailable:
        return 503;
    case ErrorKind::DeadlineExceeded:
        return 504;
    case ErrorKind::Internal:
        return 500;
    }
    return 500;
}

HttpReply errorReply(const Error &error)
{
    Json json = {{"kind", errorKindName(error.kind())}, {"message", error.message()}, {"remedy", error.remedy()}};
    if (!error.retryAfter()) {
        return jsonReply(httpStatusFor(error.kind()), {{"error", json}});
    }
    json["retryAfterMs"] = error.retryAfter()->count();
    const auto reply = jsonReply(httpStatusFor(error.kind()), {{"error", json}});
    const auto seconds = (error.retryAfter()->count() + 999) / 1000;
    return HttpReply{
        .m_status = reply.m_status,
        .m_contentType = reply.m_contentType,
        .m_body = reply.m_body,
        .m_headers = {{"Retry-After", std::to_string(std::max<long long>(1, seconds))}},
    };
}

HttpReply outcomeReply(const RequestKey &key, const Outcome &outcome)
{
    const Json json = {
        {"key", key.text()},
        {"outcome", outcomeKindName(outcome.m_kind)},
        {"result", outcome.m_result},
        {"reason", outcome.m_reason},
        {"attempt", outcome.m_attempt},
    };
    return jsonReply(isFinal(outcome.m_kind) ? 200 : 202, json);
}

static HttpReply outcomeOrErrorReply(const RequestKey &key, const Result<Outcome> &result)
{
    return result.ok() ? outcomeReply(key, result.value()) : errorReply(result.error());
}

static Error invalidFieldError(const std::string &field, const std::string &problem, const std::string &remedy)
{
    return Error(ErrorKind::InvalidArgument, "field '" + field + "' " + problem, remedy);
}

static Result<std::string> readStringField(const Json &json, const std::string &field, const std::string &defaultValue)
{
    const auto found = json.find(field);
    if (found == json.end()) {
        return defaultValue;
    }
    if (!found->is_string()) {
        return invalidFieldError(field, "is not a string", "send it as a JSON string");
    }
    return found->get<std::string>();
}

static Result<Duration> readDurationField(const Json &json, const std::string &field)
{
    constexpr long long maxDurationMs = 30LL * 24 * 3600 * 1000;
    const auto found = json.find(field);
    if (found == json.end()) {
        return Duration(0);
    }
    if (!found->is_number_integer() || found->get<long long>() < 1 || found->get<long long>() > maxDurationMs) {
        return invalidFieldError(
            field, "is not a whole number from 1 to " + std::to_string(maxDurationMs), "send milliseconds, or leave it out to take the class's own");
    }
    return Duration(found->get<long long>());
}

static std::optional<Error> checkForUnknownFields(const Json &json)
{
    for (const auto &[name, value] : json.items()) {
        const bool known = name == "key" || name == "class" || name == "zone" || name == "declaredRunTimeMs" || name == "payload";
        if (!known) {
            return invalidFieldError(name, "is not known", "use key, class, zone, declaredRunTimeMs and payload");
        }
    }
    return std::nullopt;
}

// Throws the Error of a field that is invalid; answerCall() converts it into a reply.
static Result<RoutedSubmit> decodeSubmission(const Json &json, const OrganisationId &organisation)
{
    if (!json.is_object()) {
        return Error(ErrorKind::InvalidArgument, "the body is not a JSON object", "send {\"key\": ..., \"class\": ..., \"payload\": ...}");
    }
    if (const auto error = checkForUnknownFields(json)) {
        return *error;
    }
    const auto generated = Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
    const auto key = RequestKey::create(readStringField(json, "key", generated).value());
    const auto jobClass = JobClassId::create(readStringField(json, "class", "").value());
    const auto zoneText = readStringField(json, "zone", "").value();
    const auto payload = readStringField(json, "payload", "").value();
    const auto declaredRunTime = readDurationField(json, "declaredRunTimeMs").value();
    return RoutedSubmit{
        .m_call =
            SubmitCall{
                .m_key = key.value(),
                .m_organisation = organisation,
                .m_jobClass = jobClass.value(),
                .m_payload = payload,
                .m_declaredRunTime = declaredRunTime,
            },
        .m_zone = zoneText.empty() ? std::nullopt : std::optional<ZoneId>(ZoneId::create(zoneText).value()),
    };
}

// Rejects a submission that every zone owner would reject, which saves a remote call.
static std::optional<Error> validateSubmission(const Configuration &configuration, const RoutedSubmit &submission)
{
    if (submission.m_call.m_payload.size() > maxRequestBytes) {
        return Error(ErrorKind::TooLarge,
                     "field 'payload' has " + std::to_string(submission.m_call.m_payload.size()) + " bytes",
                     "send at most " + std::to_string(maxRequestBytes));
    }
    if (!findJobClass(configuration, submission.m_call.m_jobClass)) {
        return invalidFieldError(
            "class", "names '" + submission.m_call.m_jobClass.text() + "', which is not configured", "use a class that the operator has configured");
    }
    if (!submission.m_zone) {
        return std::nullopt;
    }
    for (const auto &region : configuration.m_regions) {
        if (std::find(region.m_zones.begin(), region.m_zones.end(), *submission.m_zone) != region.m_zones.end()) {
            return std::nullopt;
        }
    }
    return invalidFieldError(
        "zone", "names '" + submission.m_zone->text() + "', which is not configured", "leave it out, or use a configured availability zone");
}

static HttpReply answerSubmitCall(Node &node, const Configuration &configuration, const HttpCall &call)
{
    const auto organisation = authenticateCaller(configuration, call);
    if (!organisation.ok()) {
        return errorReply(organisation.error());
    }
    const auto wait = parseLongPollTime(call);
    if (!wait.ok()) {
        return errorReply(wait.error());
    }
    const auto json = Json::parse(call.m_body, nullptr, false);
    if (json.is_discarded()) {
        return errorReply(Error(ErrorKind::InvalidArgument, "the body is not valid JSON", "send a JSON object in UTF-8"));
    }
    const auto decoded = decodeSubmission(json, organisation.value());
    if (!decoded.ok()) {
        return errorReply(decoded.error());
    }
    if (const auto error = validateSubmission(configuration, decoded.value())) {
        return errorReply(*error);
    }
    return outcomeOrErrorReply(decoded.value().m_call.m_key, node.submit(decoded.value(), wait.value()));
}

static HttpReply getOrCancelRequest(Node &node, const OrganisationId &organisation, const RequestKey &key, const HttpCall &call)
{
    const auto wait = parseLongPollTime(call);
    if (!wait.ok()) {
        return errorReply(wait.error());
    }
    if (call.m_method == "GET") {
        return outcomeOrErrorReply(key, node.get(key, organisation, wait.value()));
    }
    return outcomeOrErrorReply(key, node.cancel(key, organisation, wait.value()));
}

static HttpReply methodNotAllowedReply()
{
    return jsonReply(405, {{"error", {{"kind", "invalid_argument"}, {"message", "the method is not allowed here"}, {"remedy", "see docs/api.md"}}}});
}

static HttpReply notFoundReply()
{
    return errorReply(Error(ErrorKind::NotFound, "there is no such resource", "see docs/api.md"));
}

static HttpReply answerExistingRequestCall(Node &node, const Configuration &configuration, const HttpCall &call)
{
    const auto organisation = authenticateCaller(configuration, call);
    if (!organisation.ok()) {
        return errorReply(organisation.error());
    }
    const auto key = RequestKey::create(call.m_path[2]);
    if (!key.ok()) {
        return errorReply(key.error());
    }
    const bool isExplainCall = call.m_path.size() == 4 && call.m_path[3] == "explain";
    if (isExplainCall && call.m_method == "GET") {
        const auto text = node.explain(key.value(), organisation.value());
        return text.ok() ? HttpReply{.m_status = 200, .m_contentType = "application/json", .m_body = text.value() + "\n"} : errorReply(text.error());
    }
    if (call.m_path.size() != 3) {
        return notFoundReply();
    }
    if (call.m_method != "GET" && call.m_method != "DELETE") {
        return methodNotAllowedReply();
    }
    return getOrCancelRequest(node, organisation.value(), key.value(), call);
}

static HttpReply answerRequestCall(Node &node, const Configuration &configuration, const HttpCall &call)
{
    if (call.m_path.size() == 2) {
        return call.m_method == "POST" ? answerSubmitCall(node, configuration, call) : methodNotAllowedReply();
    }
    return answerExistingRequestCall(node, configuration, call);
}

static HttpReply answerHealthCall(const Node &node, const std::string &endpoint)
{
    const auto problem = node.whyNotReady();
    if (endpoint == "healthz" || !problem) {
        return HttpReply{.m_status = 200, .m_contentType = "text/plain", .m_body = "ok\n"};
    }
    return HttpReply{.m_status = 503, .m_contentType = "text/plain", .m_body = *problem + "\n"};
}

static HttpReply routeCall(Node &node, const HttpCall &call)
{
    if (call.m_path.size() == 1 && (call.m_path[0] == "healthz" || call.m_path[0] == "readyz")) {
        return answerHealthCall(node, call.m_path[0]);
    }
    if (call.m_path.size() == 1 && call.m_path[0] == "metrics") {
        return HttpReply{.m_status = 200, .m_contentType = "text/plain; version=0.0.4", .m_body = node.metrics()};
    }
    if (!call.m_path.empty() && call.m_path[0] == "console") {
        return answerConsoleCall(node, call);
    }
    if (call.m_path.size() < 2 || call.m_path[0] != "v1") {
        return notFoundReply();
    }
    const auto configuration = node.configuration();
    const bool isPublishCall = call.m_method == "PUT" && call.m_path.size() == 2 && call.m_path[1] == "configuration";
    if (!configuration && isPublishCall) {
        return publishFirstConfiguration(node, call);
    }
    if (!configuration) {
        return errorReply(Error(ErrorKind::Unavailable, "this VM has no configuration yet", "send the call to another entry VM", Duration(1000)));
    }
    if (call.m_path[1] == "requests") {
        return answerRequestCall(node, configuration->m_configuration, call);
    }
    return answerOperatorCall(node, configuration->m_configuration, call);
}

HttpReply answerCall(Node &node, const HttpCall &call)
{
    try {
        return routeCall(node, call);
    } catch (const Error &error) {
        return errorReply(error);
    } catch (const std::exception &error) {
        return errorReply(Error(ErrorKind::Internal, error.what(), "report this as a fault of primrosebridge"));
    }
}

} // namespace PrimroseBridge
