#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <cmath>

namespace PrimroseBridge {

// A shortage counts as over when no pass has found it for this long. Runs that start and end make it come and go from pass to pass.
static constexpr Duration shortageEndDelay(1000);
// Log lines per second about steps that are put off. A burst may put off hundreds at once.
static constexpr int maxPutOffLogLines = 10;

static void logShortage(const std::string &event, const RankShortage &shortage)
{
    logEvent(LogLevel::Info,
             event,
             {{"pool", shortage.m_pool},
              {"rank", std::string(urgencyRankName(shortage.m_rank))},
              {"needed", std::to_string(std::llround(shortage.m_neededAccelerators))},
              {"free", std::to_string(std::llround(shortage.m_availableAccelerators))}});
}

static void logRankChanges(OwnerState &state, const std::vector<RankShortage> &shortages, Instant now)
{
    for (const auto &shortage : shortages) {
        const std::pair key(shortage.m_pool, shortage.m_rank);
        if (!state.m_shortages.contains(key)) {
            logShortage("shortage_began", shortage);
        }
        state.m_shortages.erase(key);
        state.m_shortages.emplace(key, TrackedShortage{.m_last = shortage, .m_lastSeenAt = now});
    }
    std::erase_if(state.m_shortages, [now](const auto &entry) {
        const bool over = now - entry.second.m_lastSeenAt >= shortageEndDelay;
        if (over) {
            logShortage("shortage_ended", entry.second.m_last);
        }
        return over;
    });
}

void logShortageChanges(OwnerState &state, const PlacementInput &input, const PlacementDecisions &decisions, Instant now)
{
    logRankChanges(state, decisions.m_shortages, now);
    std::erase_if(state.m_putOffSteps, [&state](const auto &step) { return !state.m_waits.contains(step); });
    for (const auto &step : decisions.m_putOff) {
        const auto &spec = *input.m_jobs[step.m_job]->m_spec;
        const StepReference reference{.m_job = spec.m_id, .m_occurrence = step.m_occurrence, .m_step = step.m_step};
        // A step that is put off may still find capacity after the others of its rank.
        if (!state.m_waits.contains(reference) || !state.m_putOffSteps.insert(reference).second) {
            continue;
        }
        FleetMetrics::instance().increment(FleetCounter::StepsPutOff, spec.m_queue);
        if (claimLogLine(state.m_putOffLogLines, maxPutOffLogLines, now)) {
            logEvent(LogLevel::Info,
                     "step_put_off",
                     {{"request", spec.m_id},
                      {"step", std::to_string(step.m_occurrence) + "." + std::to_string(step.m_step)},
                      {"queue", spec.m_queue},
                      {"organisation", spec.m_organisation},
                      {"rank", std::string(urgencyRankName(step.m_rank))}});
        }
    }
}

} // namespace PrimroseBridge
