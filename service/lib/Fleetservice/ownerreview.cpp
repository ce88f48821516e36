#include "ownerstate.h"

#include "primrosebridge/Fleet/taskprogress.h"
#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace PrimroseBridge {

// Time to order a stop and to learn of its end, in addition to the time that the stop takes: a review, a round trip, and one late answer.
static constexpr Duration stopConfirmationSlack(600);
static constexpr Duration speedReviewPeriod(300);
// Time for which a worker counts as slow after it was last found slow, because the tasks that showed it may have ended since.
static constexpr Duration slowMarkDuration(3000);

// Cordons a worker that is silent or draining, and uncordons it when it is neither.
//
// The cordon in the roster tells a successor which jobs may have runs on the worker, so that the successor need not hold back every
// job until the worker answers. Once uncordoned, the worker gets no starts until the store holds a roster without its cordon.
static void updateCordon(OwnerState &state, TrackedWorker &worker)
{
    const bool cordoned = worker.m_report->m_draining || worker.m_missedPolls >= missedPollsToStopRenewal;
    if (cordoned == worker.m_jobsIfCordoned.has_value() || (!cordoned && !worker.m_runsKnown)) {
        return; // A cordon stays until the worker has listed all its runs, because those from the previous owner are unknown until then.
    }
    state.m_rosterChanged = true;
    if (!cordoned) {
        worker.m_jobsIfCordoned.reset();
        worker.m_rosterVersion = 0;
        return;
    }
    auto jobs = worker.m_runsKnown ? std::set<std::string>() : state.m_lockedJobs;
    for (const auto &task : worker.m_tasks) {
        jobs.insert(task.m_job);
    }
    for (const auto &[task, runNumber] : worker.m_listedRuns) {
        jobs.insert(task.m_job);
    }
    for (const auto &[run, superseded] : worker.m_supersededRuns) {
        jobs.insert(run.m_task.m_job);
    }
    // The roster may be recorded although the end of a run is not, for example if the store refuses the job's record.
    for (const auto &end : worker.m_pendingRunEnds) {
        jobs.insert(end.m_job);
    }
    worker.m_jobsIfCordoned = std::move(jobs);
}

// Polls the workers that are due, releases the tasks of workers that certainly run nothing any more, and removes such workers if they have
// no entry in the store.
static void reviewWorkers(OwnerState &state, Instant now)
{
    for (auto entry = state.m_workers.begin(); entry != state.m_workers.end();) {
        auto &worker = entry->second;
        if (!worker.m_pollInFlight && worker.m_nextPollAt <= now) {
            pollWorker(state, worker, false, now);
        }
        if (state.m_soleOwner) {
            updateCordon(state, worker);
        }
        const auto authority = authorityOf(state);
        const bool leasesExpired = worker.m_missedPolls > 0 && haveTaskLeasesExpired(authority, worker.m_leasesExpiredBy, now);
        const bool lateRunsExpired = leasesExpired && haveTaskLeasesExpired(authority, lateRunsExpiredBy(state, worker), now);
        const auto tasks = worker.m_tasks.size();
        const bool lateStarts = !lateRunsExpired && hasLateStarts(state, worker);
        const bool idle = worker.m_missedPolls > 0 && worker.m_runsKnown && worker.m_tasks.empty() && worker.m_supersededRuns.empty() && !lateStarts;
        if (worker.m_missedPolls == missedPollsToStopRenewal && !worker.m_lateStarts.empty()) {
            state.m_lateStartsChanged = true; // The record can say now when their runs are over.
        }
        if (leasesExpired) {
            releaseExpiredRuns(state, worker, lateRunsExpired, now);
        }
        if (worker.m_formerRunsUnknown && haveTaskLeasesExpired(authority, worker.m_leasesExpiredBy, now)) {
            giveUpFormerRuns(state, worker, ReleaseBelief::Takeover, now);
        }
        const bool released = leasesExpired && worker.m_tasks.empty() && worker.m_supersededRuns.empty() && !lateStarts;
        if ((released || idle) && !worker.m_entryPresent) {
            logEvent(LogLevel::Info,
                     "worker_forgotten",
                     {{"worker", entry->first},
                      {"reason", leasesExpired ? "leases_lapsed" : "idle"},
                      {"started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
                      {"answered_ms_ago", answeredMsAgo(worker, now)},
                      {"missed", std::to_string(worker.m_missedPolls)},
                      {"tasks", std::to_string(tasks)}});
            entry = forgetWorker(state, entry);
        } else {
            ++entry;
        }
    }
}

// Returns true if an awaited worker answers but has not listed all its run ends. Ends stay listed when leases expire, so that only a lapse of this
// worker's own leases replaces the list.
static bool awaitsFurtherEnds(const OwnerState &state, Instant now)
{
    return std::any_of(state.m_awaitedWorkers.begin(), state.m_awaitedWorkers.end(), [&](const auto &name) {
        const auto worker = state.m_workers.find(name);
        return worker != state.m_workers.end() && worker->second.m_fenceConfirmed
               && !haveTaskLeasesExpired(authorityOf(state), worker->second.m_leasesExpiredBy, now);
    });
}

// Unlocks the jobs of the takeover once every awaited worker has listed all its runs and ends or every task lease of the previous owner has expired.
static void unlockJobsIfSafe(OwnerState &state, Instant now)
{
    const bool answered = state.m_awaitedWorkers.empty() && !state.m_formerRosterUnknown;
    if (state.m_lockedJobs.empty() || (!answered && !haveTaskLeasesExpired(authorityOf(state), state.m_jobsLockedUntil, now))) {
        return;
    }
    if (awaitsFurtherEnds(state, now)) {
        return;
    }
    logEvent(LogLevel::Info,
             "jobs_unlocked",
             {{"jobs", std::to_string(state.m_lockedJobs.size())},
              {"silent_workers", std::to_string(state.m_awaitedWorkers.size())},
              {"reason", answered ? "workers_answered" : "leases_lapsed"},
              {"sole_owner", state.m_soleOwner ? "yes" : "no"}});
    for (const auto &name : state.m_awaitedWorkers) {
        if (const auto worker = state.m_workers.find(name); worker != state.m_workers.end()) {
            giveUpFormerRuns(state, worker->second, ReleaseBelief::Takeover, now);
        }
    }
    giveUpRunsOfUnknownRoster(state);
    state.m_lockedJobs.clear();
    state.m_awaitedWorkers.clear();
    state.m_formerRosterUnknown = false;
    state.m_placementNeeded = true;
}

// Returns true if the task's stop order was not answered and is due to be repeated.
static bool mustRepeatStop(const TaskState &task, Instant now)
{
    return task.m_phase == TaskPhase::Stopping && task.m_orderUnanswered && now - task.m_phaseSince >= stopRepeatDelay;
}

// Stops the running members of a gang of which other members do not run or have a later run, so that the gang is placed again as a whole.
// Otherwise the running members would wait for the others until they give up.
static void stopIncompleteGang(OwnerState &state, const JobState &job, const OccurrenceState &occurrence, int step, Instant now)
{
    const auto &tasks = occurrence.m_steps[static_cast<std::size_t>(step)]->m_tasks;
    std::int64_t newestRunNumber = 0;
    int waiting = 0;
    for (const auto &task : tasks) {
        waiting += task->m_phase == TaskPhase::Waiting || task->m_phase == TaskPhase::Stopping ? 1 : 0;
        newestRunNumber = task->m_assignedWorker ? std::max(newestRunNumber, task->m_runNumber) : newestRunNumber;
    }
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto &task = *tasks[index];
        const bool runs = task.m_phase == TaskPhase::Running || (task.m_phase == TaskPhase::Starting && task.m_orderUnanswered);
        if (runs && (waiting > 0 || task.m_runNumber < newestRunNumber)) {
            orderStop(state,
                      *task.m_assignedWorker,
                      TaskReference{.m_job = job.m_spec->m_id, .m_occurrence = occurrence.m_number, .m_step = step, .m_index = static_cast<int>(index)},
                      task.m_runNumber,
                      StopReason::GangIncomplete,
                      now);
        }
    }
}

static void countStall(OwnerState &state, const TaskReference &reference, const TaskState &task, Instant now)
{
    if (auto *worker = findWorker(state, *task.m_assignedWorker)) {
        countFailure(*worker, reference.m_job, now);
    }
}

// Returns true if the task cannot end before its draining worker leaves. A long-running task, which never ends, stays until the worker's
// announced time leaves just enough for its stop to be confirmed. A task that is still on a worker that has left waits for the leases.
static bool mustMoveBeforeWorkerLeaves(const OwnerState &state, const TrackedWorker &worker, const TaskState &task, const JobStep &step, Instant now)
{
    if (!worker.m_report->m_draining) {
        return false;
    }
    const auto timeToLeave = worker.m_leavesAt - now;
    if (step.m_longRunning) {
        return timeToLeave <= state.m_context.m_settings.m_stopBound + stopConfirmationSlack;
    }
    return timeToLeave > Duration(0) && endsAfterWorkerLeaves(estimatedRemainingTime(task, step, now), timeToLeave);
}

// Returns the reason for which the task has to be moved to another worker, or nothing if it may stay.
static std::optional<StopReason> reasonToMove(OwnerState &state, const TaskState &task, const JobStep &step, Instant now)
{
    if (task.m_phase != TaskPhase::Running) {
        return std::nullopt;
    }
    const auto *worker = findWorker(state, *task.m_assignedWorker);
    if (!worker || worker->m_missedPolls > 0) {
        return std::nullopt; // The progress of tasks on a silent worker is unknown.
    }
    if (!step.m_longRunning && hasStalled(task, step, worker->m_answeredAt)) {
        return StopReason::Stalled;
    }
    return mustMoveBeforeWorkerLeaves(state, *worker, task, step, now) ? std::optional(StopReason::WorkerLeaves) : std::nullopt;
}

// Returns how many more tasks of the step may be moved at once. The tasks of a long-running step that are not at work, which is when they
// report 100 percent, count as unavailable.
static int movesAllowed(const JobStep &step, const std::vector<TaskPointer> &tasks)
{
    if (!step.m_longRunning || step.m_maxUnavailable == 0) {
        return static_cast<int>(tasks.size());
    }
    const auto unavailable
        = std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return task->m_phase != TaskPhase::Running || task->m_percent < 100; });
    return std::max(step.m_maxUnavailable - static_cast<int>(unavailable), 0);
}

// Stops tasks that are stalled or that cannot end before their worker leaves, so that they are placed again; a gang is stopped as a
// whole. The members of a gang make no progress until all of them run, so a gang is checked only once all its members are running.
static void stopTasksToMove(OwnerState &state, const JobState &job, const OccurrenceState &occurrence, int step, Instant now)
{
    const auto &spec = job.m_spec->m_steps[static_cast<std::size_t>(step)];
    const auto &tasks = occurrence.m_steps[static_cast<std::size_t>(step)]->m_tasks;
    const auto runs = std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return task->m_phase == TaskPhase::Running; });
    if (runs == 0 || (spec.m_gang && runs != static_cast<std::ptrdiff_t>(tasks.size()))) {
        return;
    }
    std::optional<StopReason> gangReason;
    int allowed = movesAllowed(spec, tasks);
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const TaskReference reference{.m_job = job.m_spec->m_id, .m_occurrence = occurrence.m_number, .m_step = step, .m_index = static_cast<int>(index)};
        const auto reason = reasonToMove(state, *tasks[index], spec, now);
        if (reason == StopReason::Stalled) {
            countStall(state, reference, *tasks[index], now);
        }
        if (reason && spec.m_gang) {
            gangReason = reason;
        } else if (reason && allowed-- > 0) {
            orderStop(state, *tasks[index]->m_assignedWorker, reference, tasks[index]->m_runNumber, *reason, now);
        }
    }
    for (std::size_t index = 0; gangReason && index < tasks.size(); ++index) {
        orderStop(state,
                  *tasks[index]->m_assignedWorker,
                  TaskReference{.m_job = job.m_spec->m_id, .m_occurrence = occurrence.m_number, .m_step = step, .m_index = static_cast<int>(index)},
                  tasks[index]->m_runNumber,
                  *gangReason,
                  now);
    }
}

static void reviewJob(OwnerState &state, const JobPointer &job, const std::vector<std::string> &lockedJobIds, Instant now)
{
    const bool locked = std::binary_search(lockedJobIds.begin(), lockedJobIds.end(), job->m_spec->m_id);
    for (const auto &occurrence : job->m_occurrences) {
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            const auto &tasks = occurrence->m_steps[step]->m_tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (!mustRepeatStop(*tasks[index], now)) {
                    continue;
                }
                const TaskReference reference{
                    .m_job = job->m_spec->m_id, .m_occurrence = occurrence->m_number, .m_step = static_cast<int>(step), .m_index = static_cast<int>(index)};
                orderStop(state, *tasks[index]->m_assignedWorker, reference, tasks[index]->m_runNumber, StopReason::Superseded, now);
            }
            if (locked || job->m_outcome != JobOutcome::Active) {
                continue;
            }
            if (job->m_spec->m_steps[step].m_gang) {
                stopIncompleteGang(state, *job, *occurrence, static_cast<int>(step), now);
            }
            stopTasksToMove(state, *job, *occurrence, static_cast<int>(step), now);
        }
    }
}

void updateAuthority(OwnerState &state, Instant leaseEnd, Instant now)
{
    state.m_leaseEnd = leaseEnd;
    const bool soleOwner = isSoleOwner(authorityOf(state), now);
    if (state.m_soleOwner == soleOwner || state.m_fence == 0) {
        return;
    }
    state.m_soleOwner = soleOwner;
    state.m_placementNeeded = true;
    if (soleOwner) {
        state.m_jobsLearntWithoutLease.clear();
    }
    logEvent(soleOwner ? LogLevel::Info : LogLevel::Warn,
             soleOwner ? "lease_renewed" : "lease_lapsing",
             {{"fence", std::to_string(state.m_fence.load())}, {"late_ms", std::to_string((now - leaseEnd).count())}});
}

OwnerAuthority authorityOf(const OwnerState &state)
{
    return OwnerAuthority{.m_leaseEnd = state.m_leaseEnd, .m_taskLease = state.m_context.m_settings.m_taskLease};
}

// Marks slow workers, which get work only if no other worker fits.
static void markSlowWorkers(OwnerState &state, Instant now)
{
    if (now < state.m_speedsReviewedAt + speedReviewPeriod) {
        return;
    }
    state.m_speedsReviewedAt = now;
    std::vector<JobPointer> jobs;
    for (const auto &name : state.m_jobOrder) {
        if (auto job = state.m_jobs.find(name)) {
            jobs.push_back(std::move(job));
        }
    }
    for (const auto &incarnation : slowWorkers(jobs, now)) {
        auto *worker = findWorker(state, incarnation);
        if (!worker) {
            continue;
        }
        if (worker->m_slowUntil <= now) {
            logEvent(LogLevel::Info, "worker_slow", {{"worker", incarnation.m_worker}, {"tasks", std::to_string(worker->m_tasks.size())}});
        }
        worker->m_slowUntil = now + slowMarkDuration;
    }
}

void reviewFleet(OwnerState &state, Instant now)
{
    reviewWorkers(state, now);
    if (!mayScheduleKnownJobs(authorityOf(state), now)) {
        return;
    }
    unlockJobsIfSafe(state, now);
    forgetExpiredFormerLateStarts(state, now);
    repeatStopsOfSupersededRuns(state, now);
    markSlowWorkers(state, now);
    measureSpeeds(state, now);
    const auto lockedJobIds = jobsLockedByTakeover(state, now);
    for (const auto &name : state.m_jobOrder) {
        if (const auto job = state.m_jobs.find(name)) {
            reviewJob(state, job, lockedJobIds, now);
        }
    }
}

} // namespace PrimroseBridge
