#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>

// Decides when the runs of a worker are over without an end of each of them: by its own report, or by the end of its leases. An entry in the
// store is never enough: it may come from another writer, or from a worker that replaces one that has not left yet.

namespace PrimroseBridge {

static bool isListed(const TrackedWorker &worker, const TaskReference &reference, std::int64_t runNumber)
{
    const auto found = worker.m_listedRuns.find(reference);
    return found != worker.m_listedRuns.end() && found->second == runNumber;
}

static bool isListed(const WorkerRunReport &runReport, const TaskReference &reference, std::int64_t runNumber)
{
    return std::any_of(runReport.m_running.begin(), runReport.m_running.end(), [&](const auto &runningTask) {
        return runningTask.m_runNumber == runNumber && runningTask.m_task == reference;
    });
}

static void
logReleasedTask(const OwnerState &state, const TrackedWorker &worker, const TaskReference &reference, const TaskState &task, ReleaseBelief belief, Instant now)
{
    const auto reason = releaseBeliefName(belief);
    FleetMetrics::instance().increment(FleetCounter::TasksReleased, reason);
    logEvent(LogLevel::Info,
             "task_released",
             {{"request", reference.m_job},
              {"task", taskName(reference)},
              {"run", std::to_string(task.m_runNumber)},
              {"worker", worker.m_incarnation->m_worker},
              {"started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
              {"reason", std::string(reason)},
              {"sole_owner", state.m_soleOwner ? "yes" : "no"},
              {"answered_ms_ago", answeredMsAgo(worker, now)},
              {"leases_over_ms_ago", std::to_string((now - worker.m_leasesExpiredBy).count())}});
}

// Moves the tasks of the worker whose runs are over back to the waiting phase.
template<class IsOver>
static void releaseTasksIf(OwnerState &state, TrackedWorker &worker, ReleaseBelief belief, Instant now, const std::string &successor, IsOver isOver)
{
    const auto tasks = worker.m_tasks;
    std::size_t released = 0;
    for (const auto &reference : tasks) {
        const auto job = state.m_jobs.find(reference.m_job);
        const auto task = job ? findTask(*job, reference) : nullptr;
        const bool here = task && task->m_assignedWorker && *task->m_assignedWorker == *worker.m_incarnation;
        if (here && !isOver(reference, *task)) {
            continue;
        }
        ++released;
        worker.m_tasks.erase(reference);
        if (here) {
            logReleasedTask(state, worker, reference, *task, belief, now);
            rememberReleasedRun(state, worker, reference, task->m_runNumber, belief, successor);
            setTask(state, reference, waitingTask(*task, now));
        }
    }
    if (released > 0) {
        state.m_placementNeeded = true;
        logEvent(LogLevel::Info,
                 "worker_tasks_released",
                 {{"worker", worker.m_incarnation->m_worker},
                  {"tasks", std::to_string(released)},
                  {"kept", std::to_string(worker.m_tasks.size())},
                  {"reason", std::string(releaseBeliefName(belief))}});
    }
}

void giveOwnFence(OwnerState &state, TrackedWorker &worker, Instant now)
{
    worker.m_ordersFence = workerProcessFence(authorityOf(state), now, worker.m_ordersFence, worker.m_firstEntryRevision);
    worker.m_fence = std::max(worker.m_fence, worker.m_ordersFence);
    state.m_highestFence = std::max(state.m_highestFence, worker.m_fence);
}

bool raiseFenceOfOtherStart(TrackedWorker &worker)
{
    // One more than the revision of the earlier process's entry is at most that of the later one's. It is lower than a successor's fence, because the
    // removal of this owner's key has a revision of its own.
    const bool raised = worker.m_fence == worker.m_ordersFence;
    worker.m_fence = worker.m_ordersFence + 1;
    return raised;
}

void releaseExpiredRuns(OwnerState &state, TrackedWorker &worker, bool lateRunsExpired, Instant now)
{
    const auto isOver = [&](const TaskReference &reference) { return lateRunsExpired || !mayStartLate(state, worker, reference); };
    releaseTasksIf(state, worker, ReleaseBelief::LeasesExpired, now, {}, [&](const auto &reference, const auto &) { return isOver(reference); });
    if (std::erase_if(worker.m_supersededRuns, [&](const auto &entry) { return isOver(entry.first.m_task); }) > 0) {
        state.m_placementNeeded = true;
    }
    if (lateRunsExpired && !worker.m_lateStarts.empty()) {
        worker.m_lateStarts.clear();
        state.m_lateStartsChanged = true;
        state.m_placementNeeded = true;
    }
}

bool showsSuccessor(const OwnerState &state, const WorkerIncarnation &incarnation, std::int64_t sentFence)
{
    const auto found = state.m_workers.find(incarnation.m_worker);
    return found != state.m_workers.end() && sentFence >= found->second.m_fence;
}

void releaseRunsOfEarlierStart(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, ReleaseBelief belief, Instant now)
{
    releaseTasksIf(state, worker, belief, now, worker.m_incarnation->m_worker, [&](const TaskReference &reference, const TaskState &task) {
        // A start that was unanswered once may be executed by the later start as well, although the earlier one has listed the run.
        const bool executed = isListed(worker, reference, task.m_runNumber) && !worker.m_unansweredStarts.contains(reference);
        return executed && !isListed(runReport, reference, task.m_runNumber);
    });
}

static void logLaterStart(const TrackedWorker &worker, const WorkerIncarnation &successor, Instant now)
{
    logEvent(LogLevel::Info,
             "worker_life_over",
             {{"worker", worker.m_incarnation->m_worker},
              {"started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
              {"successor_started_ms", std::to_string(successor.m_startedAtMs)},
              {"answered_ms_ago", answeredMsAgo(worker, now)},
              {"entry_present", worker.m_entryPresent ? "yes" : "no"},
              {"tasks", std::to_string(worker.m_tasks.size())}});
}

std::optional<TrackedWorker> removeEarlierIncarnation(OwnerState &state, const WorkerReport &report, Instant now)
{
    const auto entry = state.m_workers.find(report.m_incarnation.m_worker);
    if (entry == state.m_workers.end()) {
        return std::nullopt;
    }
    // A worker whose clock was set back reports an earlier start than before, in its entry as well as in its answers.
    const bool later = report.m_incarnation.m_startedAtMs > entry->second.m_incarnation->m_startedAtMs;
    if (!later && entry->second.m_otherStartMs != report.m_incarnation.m_startedAtMs) {
        return std::nullopt;
    }
    logLaterStart(entry->second, report.m_incarnation, now);
    auto earlier = entry->second;
    // The takeover awaited the earlier incarnation, or had its answer less than a task lease ago. Starts of the former owner may still
    // arrive, and only the earlier incarnation refuses its fence.
    const bool awaited = state.m_awaitedWorkers.contains(entry->first) || (earlier.m_fenceConfirmed && now < state.m_jobsLockedUntil);
    forgetWorker(state, entry);
    if (awaited) {
        state.m_awaitedWorkers.insert(earlier.m_incarnation->m_worker);
    }
    return earlier;
}

void inheritRuns(OwnerState &state, TrackedWorker &worker, const TrackedWorker &earlier, Instant now)
{
    worker.m_leasesExpiredBy = std::max(worker.m_leasesExpiredBy, earlier.m_leasesExpiredBy);
    worker.m_jobsIfCordoned = earlier.m_runsKnown ? std::nullopt : earlier.m_jobsIfCordoned;
    worker.m_formerRunsUnknown = earlier.m_formerRunsUnknown;
    worker.m_inheritsRuns = true;
    worker.m_lateStarts = earlier.m_lateStarts;
    for (const auto &reference : earlier.m_tasks) {
        const auto job = state.m_jobs.find(reference.m_job);
        const auto task = job ? findTask(*job, reference) : nullptr;
        if (!task || !task->m_assignedWorker || *task->m_assignedWorker != *earlier.m_incarnation) {
            continue;
        }
        const bool executed = isListed(earlier, reference, task->m_runNumber) && !earlier.m_unansweredStarts.contains(reference);
        if (task->m_phase == TaskPhase::Starting && !task->m_orderUnanswered) {
            rememberLateStart(state, worker, reference, task->m_phaseSince); // The answer, if there is one, comes from a process that is over.
        }
        const auto moved = startingTask(*task, worker.m_incarnation, task->m_runNumber, now);
        if (executed) {
            worker.m_listedRuns.insert_or_assign(reference, task->m_runNumber);
            setTask(state, reference, taskInPhase(*moved, task->m_phase, task->m_orderUnanswered, now));
        } else {
            rememberReleasedRun(state, earlier, reference, task->m_runNumber, ReleaseBelief::WorkerRestarted, worker.m_incarnation->m_worker);
            setTask(state, reference, taskInPhase(*moved, TaskPhase::Starting, true, now));
        }
    }
    inheritSupersededRuns(worker, earlier, now);
}

void applyFirstReportOfInheritor(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, Instant now)
{
    if (!worker.m_inheritsRuns || runReport.m_listedEnds == ListedEnds::Part) {
        return;
    }
    worker.m_inheritsRuns = false;
    if (worker.m_refusesEarlierCalls) {
        for (auto &[run, superseded] : worker.m_supersededRuns) {
            superseded.m_executedOrRefused = true;
        }
    }
    releaseRunsOfEarlierStart(state, worker, runReport, ReleaseBelief::WorkerRestarted, now);
    worker.m_listedRuns.clear();
}

} // namespace PrimroseBridge
