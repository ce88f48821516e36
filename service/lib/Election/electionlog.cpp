#include "electionlog.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"

namespace PrimroseBridge {

static bool owns(const OwnershipState &state)
{
    return state.m_fence.has_value();
}

static std::string_view changeName(const OwnershipState &before, const OwnershipState &after)
{
    if (!owns(after)) {
        return "zone_given_up";
    }
    if (!owns(before)) {
        return "zone_owned";
    }
    return after.m_role == OwnershipRole::Degraded ? "zone_degraded" : "zone_restored";
}

static std::string fenceText(const OwnershipState &state)
{
    return state.m_fence ? std::to_string(state.m_fence->m_number) : "none";
}

EventReference recordRoleChange(EventLog &events,
                                const ElectionSettings &settings,
                                const OwnershipState &before,
                                const OwnershipState &after,
                                const OwnershipEvent &event,
                                const EventReference &cause)
{
    if (before.m_role == after.m_role || (!owns(before) && !owns(after))) {
        return cause;
    }
    const auto name = changeName(before, after);
    const std::string reason(ownershipEventName(event.m_kind));
    const bool planned = !owns(before) || after.m_stopping || name == "zone_restored";
    const auto level = planned ? LogLevel::Info : LogLevel::Warn;
    logEvent(level, name, {{"zone", settings.m_zone.text()}, {"reason", reason}, {"fence", fenceText(after)}, {"old_fence", fenceText(before)}});
    auto text = formatFields({{"zone", settings.m_zone.text()}, {"reason", reason}, {"fence", fenceText(after)}, {"old_fence", fenceText(before)}});
    return events.record(TimerService::wallClockNow(), name, "", cause, std::move(text));
}

EventReference recordOwnerChange(EventLog &events,
                                 const ElectionSettings &settings,
                                 const std::optional<OwnerRecord> &before,
                                 const std::optional<OwnerRecord> &after,
                                 const EventReference &cause)
{
    if (before == after) {
        return cause;
    }
    const auto owner = after ? after->m_vm : "none";
    const auto fence = after ? std::to_string(after->m_fence.m_number) : "none";
    logEvent(LogLevel::Info, "zone_owner_changed", {{"zone", settings.m_zone.text()}, {"owner", owner}, {"fence", fence}});
    auto text = formatFields({{"zone", settings.m_zone.text()}, {"owner", owner}, {"fence", fence}});
    return events.record(TimerService::wallClockNow(), "zone_owner_changed", "", cause, std::move(text));
}

void logCallFailure(const ElectionSettings &settings, const OwnershipEvent &event, const Error &error)
{
    logEvent(LogLevel::Warn,
             "ownership_call_failed",
             {{"zone", settings.m_zone.text()},
              {"result", std::string(ownershipEventName(event.m_kind))},
              {"kind", std::string(errorKindName(error.kind()))},
              {"message", error.message()}});
}

} // namespace PrimroseBridge
