#include "nodecore.h"

#include "primrosebridge/Records/codec.h"
#include "primrosebridge/Routing/routing.h"

#include <algorithm>
#include <bit>

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

static Duration remaining(SteadyTime deadline)
{
    const auto left = std::chrono::duration_cast<Duration>(deadline - std::chrono::steady_clock::now());
    return std::max(left, Duration(0));
}

static ForwardCall withWait(const ForwardCall &call, const ZoneId &zone, ForwardKind kind, Duration wait)
{
    return ForwardCall{
        .m_kind = kind,
        .m_zone = zone,
        .m_key = call.m_key,
        .m_organisation = call.m_organisation,
        .m_wait = wait,
        .m_jobClass = call.m_jobClass,
        .m_payload = call.m_payload,
        .m_declaredRunTime = call.m_declaredRunTime,
    };
}

static std::string explanationText(const NodeCore &core, const RequestKey &key, const JobReport &report)
{
    Json placement = Json::array();
    for (const auto &member : report.m_members) {
        placement.push_back({{"worker", member.m_worker.text()}, {"accelerators", std::popcount(member.m_accelerators)}});
    }
    const Json json = {
        {"key", key.text()},
        {"zone", core.m_settings.m_zone.text()},
        {"phase", report.m_phase},
        {"outcome", outcomeKindName(report.m_outcome.m_kind)},
        {"attempt", report.m_outcome.m_attempt},
        {"placement", placement},
        {"rule", report.m_rule},
        {"text", report.m_text},
    };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

static Result<ForwardAnswer> followOtherZone(NodeCore &core, const ForwardCall &call, const Result<SchedulerAnswer> &answer)
{
    if (!answer.ok()) {
        return answer.error();
    }
    if (answer.value().m_otherZone) {
        return callOwner(core, withWait(call, *answer.value().m_otherZone, ForwardKind::Get, call.m_wait));
    }
    return ForwardAnswer{.m_outcome = answer.value().m_outcome, .m_explanation = {}};
}

static Result<ForwardAnswer> submitLocally(NodeCore &core, const ForwardCall &call)
{
    const auto jobClass = JobClassId::create(call.m_jobClass);
    if (!jobClass.ok()) {
        return jobClass.error();
    }
    const SubmitCall submit{
        .m_key = call.m_key,
        .m_organisation = call.m_organisation,
        .m_jobClass = jobClass.value(),
        .m_payload = call.m_payload,
        .m_declaredRunTime = call.m_declaredRunTime,
    };
    return followOtherZone(core, call, core.m_scheduler->submit(submit, call.m_wait));
}

static Result<ForwardAnswer> explainLocally(NodeCore &core, const ForwardCall &call)
{
    const auto report = core.m_scheduler->explain(call.m_key, call.m_organisation);
    if (!report.ok()) {
        return report.error();
    }
    return ForwardAnswer{.m_outcome = report.value().m_outcome, .m_explanation = explanationText(core, call.m_key, report.value())};
}

Result<ForwardAnswer> answerLocally(NodeCore &core, const ForwardCall &call)
{
    if (call.m_zone != core.m_settings.m_zone) {
        return Error(ErrorKind::Unavailable, "this VM is not in availability zone '" + call.m_zone.text() + "'", "send the request again", Duration(500));
    }
    switch (call.m_kind) {
    case ForwardKind::Submit:
        return submitLocally(core, call);
    case ForwardKind::Get:
        return followOtherZone(core, call, core.m_scheduler->get(call.m_key, call.m_organisation, call.m_wait));
    case ForwardKind::Cancel:
        return followOtherZone(core, call, core.m_scheduler->cancel(call.m_key, call.m_organisation, call.m_wait));
    case ForwardKind::Explain:
        return explainLocally(core, call);
    }
    return Error(ErrorKind::Internal, "a forwarded call has an unknown kind", "upgrade the older of the two processes");
}

static bool ownsZone(const NodeCore &core, const ZoneId &zone)
{
    return zone == core.m_settings.m_zone && core.m_election->state().m_fence.has_value();
}

static std::string ownerAddress(const NodeCore &core, const ZoneId &zone)
{
    if (zone == core.m_settings.m_zone) {
        const auto owner = core.m_election->owner();
        if (owner && owner->m_vm != core.m_settings.m_vm.text()) {
            return owner->m_peerAddress;
        }
    }
    const auto view = core.m_peers->view();
    const auto summary = view.m_zones.find(zone);
    const bool known = summary != view.m_zones.end() && summary->second.m_owner != core.m_settings.m_vm.text();
    return known ? summary->second.m_ownerAddress : std::string();
}

Result<ForwardAnswer> callOwner(NodeCore &core, const ForwardCall &call)
{
    if (ownsZone(core, call.m_zone)) {
        return answerLocally(core, call);
    }
    const auto address = ownerAddress(core, call.m_zone);
    if (address.empty()) {
        return Error(ErrorKind::Unavailable,
                     "the owner of availability zone '" + call.m_zone.text() + "' is not known",
                     "send the request again, or check that an entry VM of the zone is running",
                     Duration(1000));
    }
    return core.m_peers->forward(address, call);
}

static bool mayHaveArrived(const Error &error)
{
    return error.kind() == ErrorKind::DeadlineExceeded;
}

static bool passesSoon(const Error &error)
{
    return error.kind() == ErrorKind::Unavailable || error.kind() == ErrorKind::DeadlineExceeded;
}

// An owner with many waiting callers answers with the present state before the wait has passed.
static bool answeredEarly(const ForwardAnswer &answer, SteadyTime waitEnds)
{
    return answer.m_outcome.m_kind == OutcomeKind::Pending && remaining(waitEnds) > routingPause;
}

Result<ForwardAnswer> callOwnerPatiently(NodeCore &core, const ForwardCall &call)
{
    const auto began = std::chrono::steady_clock::now();
    const auto waitEnds = began + call.m_wait;
    const auto patienceEnds = began + std::max(call.m_wait, routingPatience);
    while (true) {
        auto answer = callOwner(core, withWait(call, call.m_zone, call.m_kind, remaining(waitEnds)));
        const bool failedForNow = !answer.ok() && passesSoon(answer.error()) && remaining(patienceEnds) > routingPause;
        const bool again = failedForNow || (answer.ok() && answeredEarly(answer.value(), waitEnds));
        if (!again) {
            return answer;
        }
        std::this_thread::sleep_for(routingPause);
    }
}

static std::vector<ZoneId> candidateZones(const NodeCore &core, const RoutedSubmit &call)
{
    if (call.m_zone) {
        return {*call.m_zone};
    }
    const auto configuration = core.m_configuration.current();
    const auto *jobClass = configuration ? findJobClass(configuration->m_configuration, call.m_call.m_jobClass) : nullptr;
    if (!jobClass) {
        return {};
    }
    return rankZones(configuration->m_configuration, core.m_peers->view(), call.m_call.m_organisation, *jobClass);
}

// What one round over the candidate zones came to.
struct RouteRound {
    std::optional<ForwardAnswer> m_answer;
    std::optional<ZoneId> m_answeredBy;
    std::optional<Error> m_error; // Of the best zone that refused.
    std::optional<ZoneId> m_mayHave; // The zone that may have taken the request.
    bool m_again = false; // Another round may find an owner.
};

static RouteRound tryZones(NodeCore &core, const ForwardCall &call, const std::vector<ZoneId> &zones, SteadyTime waitEnds)
{
    RouteRound round;
    for (const auto &zone : zones) {
        const auto answer = callOwner(core, withWait(call, zone, ForwardKind::Submit, remaining(waitEnds)));
        if (answer.ok()) {
            round.m_answer.emplace(answer.value());
            round.m_answeredBy.emplace(zone);
            return round;
        }
        const auto &error = answer.error();
        if (mayHaveArrived(error)) {
            round.m_mayHave.emplace(zone);
            round.m_again = true;
            return round;
        }
        const bool otherZoneMayTakeIt = passesSoon(error) || error.kind() == ErrorKind::QueueFull || error.kind() == ErrorKind::NeverRunnable;
        // The error of a zone that answered says more than that of one without an owner.
        if (!round.m_error || round.m_error->kind() == ErrorKind::Unavailable) {
            round.m_error.emplace(error);
        }
        round.m_again = round.m_again || passesSoon(error);
        if (!otherZoneMayTakeIt) {
            round.m_again = false;
            return round;
        }
    }
    return round;
}

static Error noZone(const RoutedSubmit &call)
{
    return Error(ErrorKind::NeverRunnable,
                 "no availability zone has workers that can hold job class '" + call.m_call.m_jobClass.text() + "'",
                 "submit another class, or ask the operator to add such workers");
}

Result<Outcome> routeSubmit(NodeCore &core, const RoutedSubmit &call, Duration wait)
{
    const auto began = std::chrono::steady_clock::now();
    const auto waitEnds = began + wait;
    const auto patienceEnds = began + std::max(wait, routingPatience);
    const ForwardCall forward{
        .m_kind = ForwardKind::Submit,
        .m_zone = core.m_settings.m_zone,
        .m_key = call.m_call.m_key,
        .m_organisation = call.m_call.m_organisation,
        .m_wait = wait,
        .m_jobClass = call.m_call.m_jobClass.text(),
        .m_payload = call.m_call.m_payload,
        .m_declaredRunTime = call.m_call.m_declaredRunTime,
    };
    std::optional<ZoneId> mayHave;
    while (true) {
        // Once a zone may have taken the request, only that zone may be asked again: an unrecorded request would run in both.
        const auto zones = mayHave ? std::vector<ZoneId>{*mayHave} : candidateZones(core, call);
        if (zones.empty()) {
            return noZone(call);
        }
        const auto round = tryZones(core, forward, zones, waitEnds);
        if (round.m_answer && answeredEarly(*round.m_answer, waitEnds)) {
            std::this_thread::sleep_for(routingPause);
            mayHave.reset();
            mayHave.emplace(*round.m_answeredBy);
            continue;
        }
        if (round.m_answer) {
            return round.m_answer->m_outcome;
        }
        if (round.m_mayHave && !mayHave) {
            mayHave.emplace(*round.m_mayHave);
        }
        const bool again = round.m_again && remaining(patienceEnds) > routingPause;
        if (!again && mayHave) {
            return Outcome{.m_kind = OutcomeKind::Unknown,
                           .m_result = {},
                           .m_reason = "the owner of the zone did not answer; ask again with the same key",
                           .m_attempt = 0};
        }
        if (!again) {
            return round.m_error.value_or(noZone(call));
        }
        std::this_thread::sleep_for(routingPause);
    }
}

// What the store knows of a key: its zone, or its outcome.
static std::optional<RequestEntry> storedEntry(NodeCore &core, const RequestKey &key)
{
    if (!core.m_election->storeReachable()) {
        return std::nullopt;
    }
    const auto read = core.m_store->get(requestEntryKey(key));
    if (!read.ok() || !read.value()) {
        return std::nullopt;
    }
    const auto entry = decodeRequestEntry(read.value()->m_value);
    return entry.ok() ? std::optional<RequestEntry>(entry.value()) : std::nullopt;
}

static std::vector<ZoneId> allZones(const NodeCore &core)
{
    std::vector<ZoneId> zones = {core.m_settings.m_zone};
    const auto configuration = core.m_configuration.current();
    if (!configuration) {
        return zones;
    }
    for (const auto &region : configuration->m_configuration.m_regions) {
        for (const auto &zone : region.m_zones) {
            if (zone != core.m_settings.m_zone) {
                zones.push_back(zone);
            }
        }
    }
    return zones;
}

static Error unknownKey(const RequestKey &key)
{
    return Error(ErrorKind::NotFound, "no request with the key '" + key.text() + "' is known", "check the key, or submit the request");
}

// Unrecorded requests are known to their zone's owner only, so every owner is asked.
static Result<ForwardAnswer> searchZones(NodeCore &core, const ForwardCall &call)
{
    std::optional<Error> unreachable;
    for (const auto &zone : allZones(core)) {
        const auto found = callOwner(core, withWait(call, zone, ForwardKind::Get, Duration(0)));
        if (found.ok()) {
            return callOwner(core, withWait(call, zone, call.m_kind, call.m_wait));
        }
        if (found.error().kind() != ErrorKind::NotFound) {
            unreachable.emplace(found.error());
        }
    }
    // A zone that cannot be asked may know the key, so absence is not certain.
    return unreachable ? *unreachable : unknownKey(call.m_key);
}

Result<ForwardAnswer> routeToKey(NodeCore &core, ForwardKind kind, const RequestKey &key, const OrganisationId &organisation, Duration wait)
{
    const ForwardCall call{
        .m_kind = kind,
        .m_zone = core.m_settings.m_zone,
        .m_key = key,
        .m_organisation = organisation,
        .m_wait = wait,
        .m_jobClass = {},
        .m_payload = {},
        .m_declaredRunTime = Duration(0),
    };
    if (ownsZone(core, core.m_settings.m_zone)) {
        auto local = answerLocally(core, call);
        if (local.ok()) {
            return local;
        }
    }
    const auto entry = storedEntry(core, key);
    if (entry && entry->m_organisation != organisation) {
        return unknownKey(key);
    }
    if (entry && entry->m_outcome) {
        return ForwardAnswer{.m_outcome = *entry->m_outcome, .m_explanation = {}};
    }
    if (entry) {
        return callOwnerPatiently(core, withWait(call, entry->m_zone, kind, wait));
    }
    return searchZones(core, call);
}

} // namespace PrimroseBridge
