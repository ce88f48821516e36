#include "ownerstate.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>

// Late starts: start orders that a worker has left unanswered, and that it, or a later process under its identifier, may still execute. The owner records
// their jobs for its successor.

namespace PrimroseBridge {

void rememberLateStart(OwnerState &state, TrackedWorker &worker, const TaskReference &reference, Instant sentAt)
{
    state.m_lateStartsChanged = true;
    auto &latest = worker.m_lateStarts[reference];
    latest = std::max(latest, sentAt);
}

bool mayStartLate(const OwnerState &state, const TrackedWorker &worker, const TaskReference &reference)
{
    // A process that has answered a poll was still the only one when the poll was sent.
    const auto found = worker.m_lateStarts.find(reference);
    if (found != worker.m_lateStarts.end() && found->second + state.m_context.m_settings.m_callDelayBound > worker.m_answerRequestedAt) {
        return true;
    }
    const auto former = state.m_formerLateStarts.find(worker.m_incarnation->m_worker);
    return former != state.m_formerLateStarts.end() && former->second.contains(reference.m_job);
}

Instant lateRunsExpiredBy(const OwnerState &state, const TrackedWorker &worker)
{
    const auto latest = worker.m_leasesExpiredBy + state.m_context.m_settings.m_callDelayBound;
    return worker.m_entryPresent ? latest : std::clamp(worker.m_entryMissingSince + entryAbsenceBound, worker.m_leasesExpiredBy, latest);
}

bool hasLateStarts(const OwnerState &state, const TrackedWorker &worker)
{
    return std::any_of(worker.m_lateStarts.begin(), worker.m_lateStarts.end(), [&](const auto &entry) { return mayStartLate(state, worker, entry.first); });
}

void forgetExcludedLateStarts(OwnerState &state, TrackedWorker &worker, Instant now)
{
    std::erase_if(worker.m_lateStarts, [&](const auto &entry) {
        if (entry.second + state.m_context.m_settings.m_callDelayBound > worker.m_answerRequestedAt) {
            return false;
        }
        if (claimLogLine(state.m_callLogLines, maxCallLogLines, now)) {
            logEvent(LogLevel::Info,
                     "late_start_excluded",
                     {{"request", entry.first.m_job},
                      {"task", taskName(entry.first)},
                      {"worker", worker.m_incarnation->m_worker},
                      {"started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
                      {"sent_ms_ago", std::to_string((now - entry.second).count())}});
        }
        state.m_lateStartsChanged = true;
        return true;
    });
}

// Returns the jobs with late starts by worker, of this owner and of the previous one.
static LateStartJobs lateStartJobs(const OwnerState &state)
{
    auto jobs = state.m_formerLateStarts;
    for (const auto &[name, worker] : state.m_workers) {
        for (const auto &[reference, sentAt] : worker.m_lateStarts) {
            jobs[name].insert(reference.m_job);
        }
    }
    return jobs;
}

// Returns when each run is over that a late start of the previous owner may have begun on the worker. Its unanswered polls, or those of this owner, may
// have renewed the leases for as long as a call may be delayed.
static Instant formerLateRunsExpiredBy(const OwnerState &state, const std::string &name)
{
    const auto expiredBy = state.m_formerLateRunsExpiredBy.at(name);
    const auto worker = state.m_workers.find(name);
    const bool renewed = worker != state.m_workers.end() && worker->second.m_fenceConfirmed;
    return renewed ? std::max(expiredBy, lateRunsExpiredBy(state, worker->second)) : expiredBy;
}

void forgetExpiredFormerLateStarts(OwnerState &state, Instant now)
{
    const auto startsOverBy = state.m_ownedSince + state.m_context.m_settings.m_callDelayBound;
    const auto forgotten = std::erase_if(state.m_formerLateStarts, [&](const auto &entry) {
        const auto worker = state.m_workers.find(entry.first);
        const bool tracked = worker != state.m_workers.end();
        if (!tracked || !worker->second.m_entryPresent) {
            const auto goneBy = tracked ? lateRunsExpiredBy(state, worker->second) : state.m_jobsLockedUntil;
            return haveTaskLeasesExpired(authorityOf(state), std::max(state.m_jobsLockedUntil, goneBy), now);
        }
        const bool excluded = worker->second.m_fenceConfirmed && worker->second.m_answerRequestedAt >= startsOverBy;
        return excluded || haveTaskLeasesExpired(authorityOf(state), formerLateRunsExpiredBy(state, entry.first), now);
    });
    if (forgotten > 0) {
        state.m_lateStartsChanged = true;
        state.m_placementNeeded = true;
    }
}

// Returns in how many milliseconds the runs of late starts are over, for the workers of which this is known because they do not answer.
static std::map<std::string, std::int64_t> runsOverInMs(const OwnerState &state, const LateStartJobs &jobs, Instant now)
{
    std::map<std::string, std::int64_t> durations;
    for (const auto &[name, lateJobs] : jobs) {
        const auto worker = state.m_workers.find(name);
        const bool tracked = worker != state.m_workers.end();
        const bool renewed = tracked && worker->second.m_fenceConfirmed && worker->second.m_missedPolls < missedPollsToStopRenewal;
        if (renewed) {
            continue;
        }
        auto expiredBy = state.m_formerLateStarts.contains(name) ? formerLateRunsExpiredBy(state, name) : now;
        if (tracked && !worker->second.m_lateStarts.empty()) {
            expiredBy = std::max(expiredBy, lateRunsExpiredBy(state, worker->second));
        }
        durations.emplace(name, (expiredBy - now).count());
    }
    return durations;
}

void recordLateStartsIfChanged(OwnerState &state, Instant now)
{
    const bool refresh = state.m_lateStartsExpire && now >= state.m_lateStartsQueuedAt + lateStartRefreshPeriod;
    if ((!state.m_lateStartsChanged && !refresh) || now < state.m_lateStartsQueuedAt + lateStartRecordPeriod) {
        return;
    }
    state.m_lateStartsChanged = false;
    auto jobs = lateStartJobs(state);
    const auto durations = runsOverInMs(state, jobs, now);
    if (!refresh && jobs == state.m_queuedLateStarts && durations.empty() != state.m_lateStartsExpire) {
        return;
    }
    state.m_queuedLateStarts = std::move(jobs);
    state.m_lateStartsExpire = !durations.empty();
    state.m_lateStartsQueuedAt = now;
    ++state.m_lateStartsVersion;
    const LateStartRecord record{.m_version = state.m_lateStartsVersion, .m_jobsByWorker = state.m_queuedLateStarts, .m_runsOverInMs = durations};
    state.m_context.m_enqueueRecord(
        state.m_fence,
        DurableRecord{
            .m_key = std::string(StoreKeys::lateStarts), .m_job = nullptr, .m_value = encodeLateStarts(record), .m_version = state.m_lateStartsVersion});
}

} // namespace PrimroseBridge
