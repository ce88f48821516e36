#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <cmath>

namespace PrimroseBridge {

static constexpr Duration logPeriod(1000);
// Pause between two lines about one wait whose reason changes. The end of a shorter wait is not logged.
static constexpr Duration waitLogPeriod(1000);
// Log lines per second about waits of all steps. A burst of ten times the usual traffic brings about thirty jobs a second.
static constexpr int maxWaitLogLines = 40;
// Period at which a wait with an unchanged reason is logged again, so that the log shows its length while it lasts.
static constexpr Duration waitLogRepeatPeriod(5000);
// Maximum time between two passes that counts as waiting time. During a longer gap this VM was suspended or not allowed to decide.
static constexpr Duration maxCountedPassGap(1000);

static std::string roundedText(double value)
{
    return std::to_string(std::llround(value));
}

static std::string stepName(const StepReference &step)
{
    return std::to_string(step.m_occurrence) + "." + std::to_string(step.m_step);
}

bool claimLogLine(LogLineLimit &limit, int maxLines, Instant now)
{
    if (now >= limit.m_periodStart + logPeriod) {
        limit = LogLineLimit{.m_periodStart = now, .m_lines = 0};
    }
    if (limit.m_lines >= maxLines) {
        return false;
    }
    ++limit.m_lines;
    return true;
}

static void logWait(const StepReference &reference, const WaitingStep &step, const StepWait &wait, const AcceleratorBudget &budget, Instant now)
{
    logEvent(LogLevel::Info,
             "step_waits",
             {{"request", reference.m_job},
              {"step", stepName(reference)},
              {"tasks", std::to_string(step.m_tasks)},
              {"rank", std::string(urgencyRankName(step.m_rank))},
              {"reason", std::string(waitReasonName(step.m_reason))},
              {"age_ms", std::to_string(step.m_age.count())},
              {"waited_ms", std::to_string((now - wait.m_since).count())},
              {"free", roundedText(budget.m_freeAccelerators)},
              {"kept", roundedText(budget.m_reservedAccelerators)},
              {"usable", roundedText(budget.m_usableAccelerators)},
              {"urgent_need", roundedText(budget.m_currentUrgentDemand.m_totalAccelerators)}});
}

static void logWaitEnd(const OwnerState &state, const StepReference &reference, const StepWait &wait, Instant now)
{
    const auto job = state.m_jobs.find(reference.m_job);
    const bool active = job && job->m_outcome == JobOutcome::Active;
    std::string reasons;
    for (const auto &[reason, waited] : wait.m_byReason) {
        reasons += (reasons.empty() ? "" : ",") + std::string(waitReasonName(reason)) + ":" + std::to_string(waited.count());
    }
    logEvent(LogLevel::Info,
             "step_wait_over",
             {{"request", reference.m_job},
              {"step", stepName(reference)},
              {"rank", std::string(urgencyRankName(wait.m_rank))},
              {"outcome", active ? "placed" : "settled"},
              {"waited_ms", std::to_string((now - wait.m_since).count())},
              {"reasons_ms", reasons}});
}

void updateWaits(OwnerState &state, const PlacementInput &input, const PlacementDecisions &decisions, Instant now)
{
    auto &metrics = FleetMetrics::instance();
    const auto elapsed = std::min(now - state.m_waitsUpdatedAt, maxCountedPassGap);
    state.m_waitsUpdatedAt = now;
    std::map<StepReference, StepWait> waits;
    Duration longest(0);
    for (const auto &step : decisions.m_waiting) {
        const StepReference reference{.m_job = input.m_jobs[step.m_job]->m_spec->m_id, .m_occurrence = step.m_occurrence, .m_step = step.m_step};
        const auto before = state.m_waits.find(reference);
        const bool known = before != state.m_waits.end();
        const auto [entry, added]
            = known ? waits.insert(*before)
                    : waits.emplace(reference,
                                    StepWait{.m_rank = step.m_rank, .m_reason = step.m_reason, .m_since = now, .m_loggedAt = std::nullopt, .m_byReason = {}});
        if (!added) {
            continue; // Other tasks of the step wait for another reason; only the first reason counts.
        }
        auto &wait = entry->second;
        if (known) {
            wait.m_byReason[wait.m_reason] += elapsed;
            metrics.add(
                FleetCounter::StepWaitSeconds, std::chrono::duration<double>(elapsed).count(), {urgencyRankName(wait.m_rank), waitReasonName(wait.m_reason)});
        }
        const bool changed = wait.m_reason != step.m_reason;
        wait.m_rank = step.m_rank;
        wait.m_reason = step.m_reason;
        longest = std::max(longest, now - wait.m_since);
        const bool due = !wait.m_loggedAt || now >= *wait.m_loggedAt + (changed ? waitLogPeriod : waitLogRepeatPeriod);
        if (due && claimLogLine(state.m_waitLogLines, maxWaitLogLines, now)) {
            wait.m_loggedAt = now;
            logWait(reference, step, wait, decisions.m_acceleratorBudget, now);
        }
    }
    for (const auto &[reference, wait] : state.m_waits) {
        // The end of a wait that was shorter than waitLogPeriod is not logged.
        if (!waits.contains(reference) && now >= wait.m_since + waitLogPeriod && claimLogLine(state.m_waitLogLines, maxWaitLogLines, now)) {
            logWaitEnd(state, reference, wait, now);
        }
    }
    state.m_waits = std::move(waits);
    metrics.set(FleetGauge::WaitingSteps, static_cast<double>(state.m_waits.size()));
    metrics.set(FleetGauge::LongestWaitSeconds, std::chrono::duration<double>(longest).count());
    metrics.set(FleetGauge::FreeAccelerators, decisions.m_acceleratorBudget.m_freeAccelerators);
    metrics.set(FleetGauge::ReservedAccelerators, decisions.m_acceleratorBudget.m_reservedAccelerators);
}

} // namespace PrimroseBridge
