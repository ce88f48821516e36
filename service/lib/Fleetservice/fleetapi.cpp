#include "primrosebridge/Fleetservice/fleetapi.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <chrono>

namespace PrimroseBridge {

// A retry usually reaches another VM, which can serve it at once if only this VM or its zone is cut off from the store. During an
// outage of the whole store, 1 s allows two retries instead of one to a caller that gives up after 3 s, as most do.
static constexpr int retryAfterSeconds = 1;
static constexpr std::size_t maxJobIdBytes = 64;
static constexpr std::string_view bearerPrefix = "Bearer ";

namespace {

// A call that has passed the filters that decode and authenticate it.
struct FleetCall {
    const FleetConfigurationPointer m_configuration;
    const QueueSettings &m_queue;
    const std::string m_organisation; ///< Empty if the queue is public and the call carries no known key.
    const std::string m_job; ///< Empty if the call addresses the queue itself.
};

} // namespace

static HttpReply jsonReply(int status, const std::string &body)
{
    return HttpReply{.m_status = status, .m_contentType = "application/json", .m_body = body};
}

static HttpReply errorReply(int status, const std::string &reason)
{
    return jsonReply(status, R"({"error":")" + reason + R"("})");
}

// Answers a call that has certainly not taken effect, so that the caller can safely retry it.
static HttpReply unavailableReply(const std::string &reason)
{
    return HttpReply{.m_status = 503,
                     .m_contentType = "application/json",
                     .m_body = R"({"error":")" + reason + R"("})",
                     .m_headers = {{"Retry-After", std::to_string(retryAfterSeconds)}}};
}

// Returns the host name of the request in lower case, without the port.
static std::string hostNameOf(const HttpCall &call)
{
    auto host = headerValue(call, "host");
    host = host.substr(0, host.find(':'));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return host;
}

static bool isValidJobId(const std::string &text)
{
    return text.size() <= maxJobIdBytes && std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_';
           });
}

static HttpReply submitJob(FleetNode &node, const FleetCall &call, const HttpCall &http)
{
    const auto spec = decodeJob(SubmissionMetadata{.m_id = call.m_job,
                                                   .m_queue = call.m_queue.m_name,
                                                   .m_policy = call.m_queue.m_policy,
                                                   .m_organisation = call.m_organisation,
                                                   .m_acceptedAt = TimerService::wallClockNow()},
                                http.m_body);
    if (!spec.ok()) {
        return errorReply(400, "the submission is malformed");
    }
    switch (node.submit(spec.value())) {
    case InboxOutcome::Recorded:
        return jsonReply(200, "{}");
    case InboxOutcome::NotRecorded:
        return unavailableReply("the submission could not be stored and was not accepted");
    case InboxOutcome::Refused:
        return errorReply(400, "the submission is larger than the platform's store accepts; use fewer or shorter steps and labels");
    case InboxOutcome::Unknown:
    case InboxOutcome::NoSuchJob:
        return errorReply(504, "it is not known whether the submission was stored; send it again");
    }
    return errorReply(504, "unknown outcome");
}

static HttpReply cancelJob(FleetNode &node, const FleetCall &call)
{
    switch (node.cancel(call.m_job)) {
    case InboxOutcome::Recorded:
        return jsonReply(200, "{}");
    case InboxOutcome::NoSuchJob:
        return errorReply(410, "there is no such job");
    case InboxOutcome::NotRecorded:
    case InboxOutcome::Refused:
        return unavailableReply("the cancellation could not be stored");
    case InboxOutcome::Unknown:
        return errorReply(504, "it is not known whether the cancellation was stored; send it again");
    }
    return errorReply(504, "unknown outcome");
}

static HttpReply readJobStatus(FleetNode &node, const FleetCall &call)
{
    const auto status = node.status(call.m_queue.m_name, call.m_job);
    if (!status.m_known) {
        return unavailableReply("the job's state cannot be read now");
    }
    return status.m_status ? jsonReply(200, encodeStatus(*status.m_status)) : errorReply(410, "there is no such job");
}

static HttpReply readWaitingCount(FleetNode &node, const FleetCall &call)
{
    const auto waiting = node.waitingJobCount(call.m_queue.m_name);
    return waiting ? jsonReply(200, encodeWaitingCount(*waiting)) : unavailableReply("the queue's state cannot be read now");
}

static HttpReply dispatchCall(FleetNode &node, const FleetCall &call, const HttpCall &http)
{
    if (call.m_job.empty()) {
        return http.m_method == "GET" ? readWaitingCount(node, call) : errorReply(405, "a queue can only be read");
    }
    if (!isValidJobId(call.m_job)) {
        return errorReply(400, "the job's identifier is malformed");
    }
    if (http.m_method == "POST") {
        return submitJob(node, call, http);
    }
    if (http.m_method == "GET") {
        return readJobStatus(node, call);
    }
    return http.m_method == "DELETE" ? cancelJob(node, call) : errorReply(405, "use POST, GET or DELETE");
}

static HttpReply authenticateAndDispatch(FleetNode &node, const HttpCall &http)
{
    const auto configuration = node.configuration();
    if (!configuration) {
        return unavailableReply("this VM has no configuration yet");
    }
    const auto *queue = findQueueForRequest(*configuration, hostNameOf(http), http.m_rawPath);
    if (!queue) {
        return errorReply(404, "there is no such queue");
    }
    const auto authorization = headerValue(http, "authorization");
    const auto *organisation = authorization.starts_with(bearerPrefix)
                                   ? findOrganisationByApiKey(*configuration, std::string_view(authorization).substr(bearerPrefix.size()))
                                   : nullptr;
    if (!organisation && !queue->m_isPublic) {
        return errorReply(401, "the key is not known");
    }
    const FleetCall call{.m_configuration = configuration,
                         .m_queue = *queue,
                         .m_organisation = organisation ? organisation->m_name : std::string(),
                         .m_job = http.m_rawPath.substr(queue->m_pathPrefix.size())};
    return dispatchCall(node, call, http);
}

HttpReply answerFleetCall(FleetNode &node, const HttpCall &call)
{
    const auto startedAt = std::chrono::steady_clock::now();
    auto httpReply = authenticateAndDispatch(node, call);
    auto &metrics = FleetMetrics::instance();
    metrics.increment(FleetCounter::CallsAnswered, std::to_string(httpReply.m_status));
    metrics.observe(FleetHistogram::CallSeconds, std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count());
    const auto configuration = node.configuration();
    logEvent(call.m_method == "GET" && httpReply.m_status == 200 ? LogLevel::Debug : LogLevel::Info,
             "call_answered",
             {{"method", call.m_method},
              {"request", call.m_rawPath.substr(call.m_rawPath.rfind('/') + 1)},
              {"path", call.m_rawPath},
              {"status", std::to_string(httpReply.m_status)},
              {"configuration", std::to_string(configuration ? configuration->m_version : 0)}});
    return httpReply;
}

static int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
        return 400;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::QueueFull:
        return 429;
    default:
        return 503;
    }
}

// Answers with the error object that primrosectl prints.
static HttpReply previewErrorReply(const Error &error)
{
    nlohmann::json description = {{"kind", errorKindName(error.kind())}, {"message", error.message()}, {"remedy", error.remedy()}};
    std::vector<std::pair<std::string, std::string>> headers;
    if (error.retryAfter()) {
        description["retryAfterMs"] = error.retryAfter()->count();
        headers.emplace_back("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*error.retryAfter()).count()));
    }
    return HttpReply{.m_status = statusOf(error.kind()),
                     .m_contentType = "application/json",
                     .m_body = nlohmann::json{{"error", description}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                     .m_headers = headers};
}

HttpReply answerMetricsCall(FleetNode &node, const HttpCall &call)
{
    if (call.m_rawPath != "/placement-preview") {
        return HttpReply{.m_status = 200, .m_contentType = "text/plain; version=0.0.4", .m_body = node.metrics()};
    }
    if (call.m_method != "POST") {
        return errorReply(405, "use POST");
    }
    const auto preview = node.previewPlacement(call.m_body);
    return preview.ok() ? jsonReply(200, preview.value()) : previewErrorReply(preview.error());
}

HttpReply answerReadiness(const FleetNode &node)
{
    return node.ready() ? jsonReply(200, "{}") : errorReply(503, "not ready");
}

} // namespace PrimroseBridge
