#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>

namespace PrimroseBridge {

// Log lines per second about starts that were held back. A pass may hold back hundreds.
static constexpr int maxHeldStartLogLines = 10;

std::string_view startHoldName(StartHold hold)
{
    switch (hold) {
    case StartHold::None:
        return "none";
    case StartHold::ZoneDrained:
        return "zone_drained";
    case StartHold::DrainsUnknown:
        return "drains_unknown";
    }
    return "unknown";
}

ZoneDrainView zoneDrainsNow(const OwnerState &state)
{
    return state.m_context.m_zoneDrains ? state.m_context.m_zoneDrains() : ZoneDrainView{.m_drains = nullptr, .m_confirmedAt = Instant()};
}

// Returns true if the operator may have asked for a drain so long ago, unknown to this VM, that nothing may be started any more.
static bool areDrainsUnknown(const OwnerState &state, const ZoneDrainView &view, Instant now)
{
    const auto &bound = state.m_context.m_settings.m_zoneDrainBound;
    return bound && state.m_context.m_zoneDrains && (!view.m_drains || now - view.m_confirmedAt > *bound - startSendingBound);
}

StartHold startHold(const OwnerState &state, const ZoneDrainView &view, const std::string &zone, Instant now)
{
    if (areDrainsUnknown(state, view, now)) {
        return StartHold::DrainsUnknown;
    }
    return view.m_drains && isZoneDrained(*view.m_drains, zone) ? StartHold::ZoneDrained : StartHold::None;
}

static void logZone(const OwnerState &state, const std::string &event, const std::string &zone)
{
    std::size_t workers = 0;
    std::size_t tasks = 0;
    for (const auto &[name, worker] : state.m_workers) {
        if (worker.m_report->m_zone == zone) {
            ++workers;
            tasks += worker.m_tasks.size();
        }
    }
    logEvent(LogLevel::Info, event, {{"zone", zone}, {"workers", std::to_string(workers)}, {"tasks", std::to_string(tasks)}});
}

void logZoneDrainChanges(OwnerState &state, const ZoneDrainView &view, Instant now)
{
    const bool unknown = areDrainsUnknown(state, view, now);
    if (unknown != state.m_drainsUnknown) {
        state.m_drainsUnknown = unknown;
        const auto age = view.m_drains ? std::to_string((now - view.m_confirmedAt).count()) : "never";
        logEvent(unknown ? LogLevel::Warn : LogLevel::Info, unknown ? "drains_unknown" : "drains_known", {{"confirmed_ms_ago", age}});
    }
    const auto zones = view.m_drains ? view.m_drains->m_zones : std::set<std::string>();
    for (const auto &zone : zones) {
        if (!state.m_drainedZones.contains(zone)) {
            logZone(state, "zone_drain_requested", zone);
        }
    }
    for (const auto &zone : state.m_drainedZones) {
        if (!zones.contains(zone)) {
            logZone(state, "zone_drain_ended", zone);
        }
    }
    state.m_drainedZones = zones;
}

void reportHeldStart(OwnerState &state, const TaskReference &task, const TrackedWorker &worker, StartHold hold, Instant now)
{
    FleetMetrics::instance().increment(FleetCounter::StartsHeld, startHoldName(hold));
    if (!claimLogLine(state.m_heldStartLogLines, maxHeldStartLogLines, now)) {
        return;
    }
    logEvent(LogLevel::Info,
             "start_held",
             {{"request", task.m_job},
              {"task", taskName(task)},
              {"worker", worker.m_incarnation->m_worker},
              {"zone", worker.m_report->m_zone},
              {"reason", std::string(startHoldName(hold))}});
}

// Returns true if both starts belong to the same gang, so that one must not be sent without the other.
static bool areOfOneGang(const OwnerState &state, const StartDecision &left, const StartDecision &right)
{
    const auto &one = left.m_task;
    const auto &other = right.m_task;
    if (one.m_job != other.m_job || one.m_occurrence != other.m_occurrence || one.m_step != other.m_step) {
        return false;
    }
    const auto job = state.m_jobs.find(one.m_job);
    return job && job->m_spec->m_steps[static_cast<std::size_t>(one.m_step)].m_gang;
}

std::optional<Instant> startSendingEnd(const OwnerState &state, const ZoneDrainView &view)
{
    const auto &bound = state.m_context.m_settings.m_zoneDrainBound;
    return bound && view.m_drains ? std::optional(view.m_confirmedAt + *bound) : std::nullopt;
}

std::vector<bool>
heldStarts(OwnerState &state, const ZoneDrainView &view, const std::vector<StartDecision> &starts, const std::vector<PlacementWorker> &workers, Instant now)
{
    std::vector<bool> held(starts.size(), false);
    for (std::size_t first = 0; first < starts.size();) {
        auto end = first + 1;
        while (end < starts.size() && areOfOneGang(state, starts[first], starts[end])) {
            ++end;
        }
        bool any = false;
        for (auto index = first; index < end; ++index) {
            const auto &placement = workers[starts[index].m_worker];
            const auto hold = startHold(state, view, placement.m_report->m_zone, now);
            if (hold == StartHold::None) {
                continue;
            }
            any = true;
            if (const auto *worker = findWorker(state, *placement.m_incarnation)) {
                reportHeldStart(state, starts[index].m_task, *worker, hold, now);
            }
        }
        std::fill(held.begin() + static_cast<std::ptrdiff_t>(first), held.begin() + static_cast<std::ptrdiff_t>(end), any);
        first = end;
    }
    return held;
}

} // namespace PrimroseBridge
