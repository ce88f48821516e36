#include "ownerstate.h"

#include "primrosebridge/Observe/log.h"

#include <algorithm>

namespace PrimroseBridge {

static bool isListed(const TrackedWorker &worker, const RunReference &run)
{
    const auto found = worker.m_listedRuns.find(run.m_task);
    return found != worker.m_listedRuns.end() && found->second == run.m_runNumber;
}

void supersedeRun(OwnerState &state, const TaskReference &reference, const TaskState &task, Instant now)
{
    auto *worker = task.m_assignedWorker ? findWorker(state, *task.m_assignedWorker) : nullptr;
    if (!worker) {
        return;
    }
    const RunReference run{.m_task = reference, .m_runNumber = task.m_runNumber};
    const bool answered = task.m_phase == TaskPhase::Running || (task.m_phase == TaskPhase::Stopping && !task.m_orderUnanswered);
    worker->m_supersededRuns.insert_or_assign(run,
                                              SupersededRun{.m_executedOrRefused = answered || isListed(*worker, run),
                                                            .m_stopAccepted = task.m_phase == TaskPhase::Stopping && !task.m_orderUnanswered,
                                                            .m_stopOrderedAt = now,
                                                            .m_lastSeenAt = now});
    logEvent(
        LogLevel::Info,
        "run_superseded",
        {{"request", reference.m_job}, {"task", taskName(reference)}, {"run", std::to_string(task.m_runNumber)}, {"worker", task.m_assignedWorker->m_worker}});
}

void stopListedRun(OwnerState &state, TrackedWorker &worker, const RunReference &run, Instant now)
{
    const auto [entry, added] = worker.m_supersededRuns.try_emplace(run);
    auto &superseded = entry->second;
    superseded.m_executedOrRefused = true;
    superseded.m_lastSeenAt = now;
    // A run that takes a while to stop is listed several times meanwhile.
    if (added || now - superseded.m_stopOrderedAt >= stopRepeatDelay) {
        orderStopOfSupersededRun(state, *worker.m_incarnation, run, now);
    }
}

void orderStopOfSupersededRun(OwnerState &state, const WorkerIncarnation &incarnation, const RunReference &run, Instant now)
{
    auto *worker = findWorker(state, incarnation);
    const auto found = worker ? worker->m_supersededRuns.find(run) : std::map<RunReference, SupersededRun>::iterator();
    if (!worker || found == worker->m_supersededRuns.end()) {
        return;
    }
    found->second.m_stopOrderedAt = now;
    orderStop(state, incarnation, run.m_task, run.m_runNumber, StopReason::Superseded, now);
}

void applyStopOfSupersededRun(OwnerState &state, TrackedWorker &worker, const RunReference &run, Instant now)
{
    const auto found = worker.m_supersededRuns.find(run);
    if (found == worker.m_supersededRuns.end()) {
        return;
    }
    const bool first = !found->second.m_stopAccepted;
    found->second.m_executedOrRefused = true;
    found->second.m_stopAccepted = true;
    // The list that is requested below, in this millisecond, may show that the run is over. A run that was listed in this millisecond waits for
    // the next list.
    found->second.m_lastSeenAt = std::max(found->second.m_lastSeenAt, now - Duration(1));
    if (first) {
        pollWorker(state, worker, true, now);
    }
}

void removeUnlistedSupersededRuns(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, Instant sentAt)
{
    if (runReport.m_listedEnds == ListedEnds::Part) {
        return; // The end of the run may follow, and show that its task is done.
    }
    const auto isOver = [&](const auto &entry) {
        const auto &[run, superseded] = entry;
        const bool listed = std::any_of(runReport.m_running.begin(), runReport.m_running.end(), [&reference = run](const auto &runningTask) {
            return runningTask.m_task == reference.m_task && runningTask.m_runNumber == reference.m_runNumber;
        });
        const bool over = !listed && superseded.m_executedOrRefused && sentAt > superseded.m_lastSeenAt;
        if (over) {
            forgetReleasedRun(state, run.m_task, worker.m_incarnation->m_worker, run.m_runNumber);
        }
        return over;
    };
    if (std::erase_if(worker.m_supersededRuns, isOver) > 0) {
        state.m_placementNeeded = true;
    }
}

void removeSupersededRun(OwnerState &state, TrackedWorker &worker, const RunReference &run)
{
    if (worker.m_supersededRuns.erase(run) > 0) {
        state.m_placementNeeded = true;
    }
}

void inheritSupersededRuns(TrackedWorker &worker, const TrackedWorker &earlier, Instant now)
{
    for (const auto &[run, superseded] : earlier.m_supersededRuns) {
        worker.m_supersededRuns.insert_or_assign(
            run, SupersededRun{.m_executedOrRefused = false, .m_stopAccepted = false, .m_stopOrderedAt = superseded.m_stopOrderedAt, .m_lastSeenAt = now});
    }
}

void repeatStopsOfSupersededRuns(OwnerState &state, Instant now)
{
    for (auto &[name, worker] : state.m_workers) {
        const auto runs = worker.m_supersededRuns;
        for (const auto &[run, superseded] : runs) {
            if (!superseded.m_stopAccepted && now - superseded.m_stopOrderedAt >= stopRepeatDelay) {
                orderStopOfSupersededRun(state, *worker.m_incarnation, run, now);
            }
        }
    }
}

} // namespace PrimroseBridge
