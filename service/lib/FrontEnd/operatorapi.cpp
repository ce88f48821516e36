#include "operatorapi.h"

#include "authentication.h"

#include "primrosebridge/FrontEnd/api.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Runtime/node.h"

#include <bit>
#include <charconv>

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::json;

static HttpReply okJsonReply(const Json &json)
{
    return HttpReply{.m_status = 200, .m_contentType = "application/json", .m_body = json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

static std::optional<long long> parseInteger(const std::string &text)
{
    long long number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isWholeNumber = !text.empty() && error == std::errc() && end == text.data() + text.size();
    return isWholeNumber ? std::optional(number) : std::nullopt;
}

static HttpReply showConfiguration(const Node &node)
{
    const auto current = node.configuration();
    return okJsonReply({{"version", current->m_configuration.m_version}, {"document", current->m_document}});
}

// Returns the version that the caller has seen.
static std::optional<long long> expectedVersion(const HttpCall &call)
{
    auto expected = headerValue(call, "if-match");
    std::erase(expected, '"');
    return parseInteger(expected);
}

std::optional<Error> checkFirstPublication(const Configuration &document, const HttpCall &call)
{
    if (auto error = checkOperatorToken(document, call)) {
        return error;
    }
    if (expectedVersion(call).value_or(0) != 0) {
        return Error(ErrorKind::Unavailable,
                     "this VM has no configuration yet, so it cannot check the operator's token for a change",
                     "send the change to another entry VM, or again later",
                     Duration(1000));
    }
    return std::nullopt;
}

static HttpReply publishConfiguration(Node &node, const HttpCall &call)
{
    const auto version = expectedVersion(call);
    if (!version) {
        return errorReply(
            Error(ErrorKind::InvalidArgument, "the header If-Match does not name a version", "send the version that you have seen, as 'If-Match: 7'"));
    }
    const auto published = node.publish(call.m_body, *version);
    return published.ok() ? okJsonReply({{"version", published.value()}}) : errorReply(published.error());
}

HttpReply publishFirstConfiguration(Node &node, const HttpCall &call)
{
    const auto read = readConfiguration(call.m_body);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        return errorReply(Error(ErrorKind::InvalidArgument, "the configuration has faults:\n" + describeFaults(*faults), "correct the fields named above"));
    }
    if (const auto error = checkFirstPublication(std::get<Configuration>(read), call)) {
        return errorReply(*error);
    }
    return publishConfiguration(node, call);
}

static HttpReply listConfigurationHistory(Node &node)
{
    const auto history = node.history();
    if (!history.ok()) {
        return errorReply(history.error());
    }
    Json versions = Json::array();
    for (const auto &stored : history.value()) {
        versions.push_back({{"version", stored.m_version}, {"bytes", stored.m_document.size()}});
    }
    return okJsonReply({{"versions", versions}});
}

static HttpReply showConfigurationVersion(Node &node, const std::string &text)
{
    const auto version = parseInteger(text);
    if (!version) {
        return errorReply(Error(ErrorKind::InvalidArgument, "'" + text + "' is not a version", "use a whole number that the history lists"));
    }
    const auto stored = node.historyVersion(*version);
    if (!stored.ok()) {
        return errorReply(stored.error());
    }
    return okJsonReply({{"version", stored.value().m_version}, {"document", stored.value().m_document}});
}

static HttpReply answerConfigurationCall(Node &node, const HttpCall &call)
{
    const bool isHistoryCall = call.m_path.size() >= 3 && call.m_path[2] == "history" && call.m_method == "GET";
    if (isHistoryCall && call.m_path.size() == 3) {
        return listConfigurationHistory(node);
    }
    if (isHistoryCall && call.m_path.size() == 4) {
        return showConfigurationVersion(node, call.m_path[3]);
    }
    if (call.m_path.size() == 2 && call.m_method == "GET") {
        return showConfiguration(node);
    }
    if (call.m_path.size() == 2 && call.m_method == "PUT") {
        return publishConfiguration(node, call);
    }
    return errorReply(Error(ErrorKind::NotFound, "there is no such resource", "see docs/api.md"));
}

static Json encodeWorker(const WorkerSummary &worker)
{
    return {
        {"id", worker.m_worker.m_id.text()},
        {"rack", worker.m_worker.m_rack.text()},
        {"status", worker.m_status},
        {"ejected", worker.m_ejected},
        {"accelerators", std::popcount(worker.m_usable)},
        {"free", std::popcount(worker.m_free)},
        {"tasks", worker.m_tasks},
    };
}

static Json encodeGuarantee(const GuaranteeStatus &status)
{
    return {
        {"organisation", status.m_guarantee.m_organisation.text()},
        {"shape", describeShape(status.m_guarantee.m_shape)},
        {"count", status.m_guarantee.m_count},
        {"held", status.m_held},
        {"free", status.m_free},
        {"reclaimable", status.m_reclaimable},
        {"short", status.m_short},
    };
}

static HttpReply showFleet(Node &node)
{
    const auto report = node.zoneReport();
    Json workers = Json::array();
    for (const auto &worker : report.m_workers) {
        workers.push_back(encodeWorker(worker));
    }
    Json guarantees = Json::array();
    for (const auto &status : report.m_guarantees) {
        guarantees.push_back(encodeGuarantee(status));
    }
    return okJsonReply({
        {"zone", node.membership().m_selfZone.text()},
        {"owner", node.zoneOwner()},
        {"role", report.m_owned ? "owner" : "standby"},
        {"fence", report.m_fence},
        {"queued", report.m_queued},
        {"running", report.m_running},
        {"workers", workers},
        {"guarantees", guarantees},
        {"fragmentation", report.m_fragmentation},
    });
}

static Json encodeEvent(const MergedEvent &merged)
{
    const auto &event = merged.m_event;
    return {
        {"process", merged.m_process},
        {"id", event.m_id},
        {"at_ms", toMilliseconds(event.m_at)},
        {"kind", event.m_kind},
        {"key", event.m_key},
        {"cause_process", event.m_cause.m_process},
        {"cause_id", event.m_cause.m_id},
        {"text", event.m_text},
    };
}

static HttpReply showTimeline(Node &node, const HttpCall &call)
{
    constexpr long long defaultSeconds = 600;
    const auto text = queryValue(call, "since_s");
    const auto seconds = text.empty() ? std::optional(defaultSeconds) : parseInteger(text);
    if (!seconds || *seconds < 0) {
        return errorReply(Error(ErrorKind::InvalidArgument, "since_s is '" + text + "'", "use a whole number of seconds to look back"));
    }
    const auto timeline = node.timeline(TimerService::wallClockNow() - std::chrono::seconds(*seconds), queryValue(call, "key"));
    Json events = Json::array();
    for (const auto &event : timeline.m_events) {
        events.push_back(encodeEvent(event));
    }
    return okJsonReply({{"missing", timeline.m_missing}, {"truncated", timeline.m_truncated}, {"events", events}});
}

static HttpReply changeLogLevel(const HttpCall &call)
{
    const auto json = Json::parse(call.m_body, nullptr, false);
    const bool hasLevel = json.is_object() && json.contains("level") && json["level"].is_string();
    const auto level = logLevelFromName(hasLevel ? json["level"].get<std::string>() : std::string());
    if (!level.ok()) {
        return errorReply(level.error());
    }
    setLogLevel(level.value());
    return okJsonReply({{"level", json["level"]}});
}

HttpReply answerOperatorCall(Node &node, const Configuration &configuration, const HttpCall &call)
{
    if (const auto error = checkOperatorToken(configuration, call)) {
        return errorReply(*error);
    }
    const auto &resource = call.m_path[1];
    if (resource == "configuration") {
        return answerConfigurationCall(node, call);
    }
    if (resource == "fleet" && call.m_method == "GET") {
        return showFleet(node);
    }
    if (resource == "timeline" && call.m_method == "GET") {
        return showTimeline(node, call);
    }
    if (resource == "log-level" && call.m_method == "PUT") {
        return changeLogLevel(call);
    }
    return errorReply(Error(ErrorKind::NotFound, "there is no such resource", "see docs/api.md"));
}

} // namespace PrimroseBridge
