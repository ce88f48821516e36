#include "primrosebridge/Fleetservice/fleetapi.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace PrimroseBridge {

// A caller that returns reaches another VM, which can serve it at once if only this VM or its zone is cut off. If the whole store is
// away, a caller that waits 3 s in all, as most do, has two more tries instead of one.
static constexpr int retryAfterSeconds = 1;
static constexpr std::size_t maxJobIdBytes = 64;
static constexpr std::string_view bearer = "Bearer ";

namespace {

// A call after the filters that decode and authenticate it.
struct FleetCall {
    const FleetConfigurationPointer m_configuration;
    const QueueSettings &m_queue;
    const std::string m_organisation; ///< Empty on a public queue without a key.
    const std::string m_job; ///< Empty for the queue itself.
};

} // namespace

static HttpReply reply(int status, const std::string &body)
{
    return HttpReply{.m_status = status, .m_contentType = "application/json", .m_body = body};
}

static HttpReply refusal(int status, const std::string &reason)
{
    return reply(status, R"({"error":")" + reason + R"("})");
}

// For calls that have certainly not taken effect.
static HttpReply unavailable(const std::string &reason)
{
    return HttpReply{.m_status = 503,
                     .m_contentType = "application/json",
                     .m_body = R"({"error":")" + reason + R"("})",
                     .m_headers = {{"Retry-After", std::to_string(retryAfterSeconds)}}};
}

static std::string hostOf(const HttpCall &call)
{
    auto host = headerOf(call, "host");
    host = host.substr(0, host.find(':'));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return host;
}

static bool isJobId(const std::string &text)
{
    return text.size() <= maxJobIdBytes && std::all_of(text.begin(), text.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_';
           });
}

static HttpReply submitJob(FleetNode &node, const FleetCall &call, const HttpCall &http)
{
    const auto spec = decodeJob(
        SubmissionMetadata{.m_id = call.m_job, .m_queue = call.m_queue.m_name, .m_organisation = call.m_organisation, .m_acceptedAt = TimerService::now()},
        http.m_body);
    if (!spec.ok()) {
        return refusal(400, "the submission is malformed");
    }
    switch (node.submit(spec.value())) {
    case InboxOutcome::Recorded:
        return reply(200, "{}");
    case InboxOutcome::NotRecorded:
        return unavailable("the submission could not be stored and was not accepted");
    case InboxOutcome::Unknown:
    case InboxOutcome::NoSuchJob:
        return refusal(504, "it is not known whether the submission was stored; send it again");
    }
    return refusal(504, "unknown outcome");
}

static HttpReply cancelJob(FleetNode &node, const FleetCall &call)
{
    switch (node.cancel(call.m_job)) {
    case InboxOutcome::Recorded:
        return reply(200, "{}");
    case InboxOutcome::NoSuchJob:
        return refusal(410, "there is no such job");
    case InboxOutcome::NotRecorded:
        return unavailable("the cancellation could not be stored");
    case InboxOutcome::Unknown:
        return refusal(504, "it is not known whether the cancellation was stored; send it again");
    }
    return refusal(504, "unknown outcome");
}

static HttpReply showJob(FleetNode &node, const FleetCall &call)
{
    const auto status = node.status(call.m_queue.m_name, call.m_job);
    if (!status.m_known) {
        return unavailable("the job's state cannot be read now");
    }
    return status.m_status ? reply(200, encodeStatus(*status.m_status)) : refusal(410, "there is no such job");
}

static HttpReply showQueue(FleetNode &node, const FleetCall &call)
{
    const auto waiting = node.waitingJobs(call.m_queue.m_name);
    return waiting ? reply(200, encodeWaitingCount(*waiting)) : unavailable("the queue's state cannot be read now");
}

static HttpReply dispatch(FleetNode &node, const FleetCall &call, const HttpCall &http)
{
    if (call.m_job.empty()) {
        return http.m_method == "GET" ? showQueue(node, call) : refusal(405, "a queue can only be read");
    }
    if (!isJobId(call.m_job)) {
        return refusal(400, "the job's identifier is malformed");
    }
    if (http.m_method == "POST") {
        return submitJob(node, call, http);
    }
    if (http.m_method == "GET") {
        return showJob(node, call);
    }
    return http.m_method == "DELETE" ? cancelJob(node, call) : refusal(405, "use POST, GET or DELETE");
}

static HttpReply answer(FleetNode &node, const HttpCall &http)
{
    const auto configuration = node.configuration();
    if (!configuration) {
        return unavailable("this VM has no configuration yet");
    }
    const auto *queue = findQueueForRequest(*configuration, hostOf(http), http.m_rawPath);
    if (!queue) {
        return refusal(404, "there is no such queue");
    }
    const auto authorization = headerOf(http, "authorization");
    const auto *organisation
        = authorization.starts_with(bearer) ? findOrganisationByApiKey(*configuration, std::string_view(authorization).substr(bearer.size())) : nullptr;
    if (!organisation && !queue->m_isPublic) {
        return refusal(401, "the key is not known");
    }
    const FleetCall call{.m_configuration = configuration,
                         .m_queue = *queue,
                         .m_organisation = organisation ? organisation->m_name : std::string(),
                         .m_job = http.m_rawPath.substr(queue->m_pathPrefix.size())};
    return dispatch(node, call, http);
}

HttpReply answerFleetCall(FleetNode &node, const HttpCall &call)
{
    const auto startedAt = std::chrono::steady_clock::now();
    auto result = answer(node, call);
    auto &metrics = FleetMetrics::instance();
    metrics.count(FleetCounter::CallsAnswered, std::to_string(result.m_status));
    metrics.observe(FleetHistogram::CallSeconds, std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count());
    const auto configuration = node.configuration();
    logEvent(call.m_method == "GET" && result.m_status == 200 ? LogLevel::Debug : LogLevel::Info,
             "call_answered",
             {{"method", call.m_method},
              {"request", call.m_rawPath.substr(call.m_rawPath.rfind('/') + 1)},
              {"path", call.m_rawPath},
              {"status", std::to_string(result.m_status)},
              {"configuration", std::to_string(configuration ? configuration->m_version : 0)}});
    return result;
}

HttpReply answerReadiness(const FleetNode &node)
{
    return node.ready() ? reply(200, "{}") : refusal(503, "not ready");
}

} // namespace PrimroseBridge
