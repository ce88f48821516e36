#include "ownerstate.h"

#include "primrosebridge/Fleet/taskprogress.h"
#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace PrimroseBridge {

// A worker is isolated after this many consecutive failures of different jobs. Two such failures by chance are rare, because few runs in a
// hundred fail.
static constexpr int failuresBeforeIsolation = 2;
// Longer than most periods in which a worker fails all its runs, but short enough that a healthy worker is not isolated for long.
static constexpr Duration isolationDuration(6000);
// Pause between polls of a worker that does not answer or whose run ends are not recorded yet.
static constexpr Duration pollRetryPause(250);

static std::string_view endKindName(RunEndKind kind)
{
    switch (kind) {
    case RunEndKind::Done:
        return "done";
    case RunEndKind::Failed:
        return "failed";
    case RunEndKind::Stopped:
        return "stopped";
    case RunEndKind::LeaseExpired:
        return "lapsed";
    case RunEndKind::GangMemberEnded:
        return "broken";
    case RunEndKind::GangMembersMissing:
        return "alone";
    }
    return "unknown";
}

static void isolateWorker(TrackedWorker &worker, Instant now)
{
    worker.m_isolatedUntil = now + isolationDuration;
    logEvent(LogLevel::Warn,
             "worker_isolated",
             {{"worker", worker.m_incarnation->m_worker},
              {"failures", std::to_string(worker.m_failureStreak)},
              {"for_ms", std::to_string(isolationDuration.count())}});
}

void countFailure(TrackedWorker &worker, const std::string &job, Instant now)
{
    if (worker.m_lastFailedJob == job) {
        return;
    }
    worker.m_lastFailedJob = job;
    if (++worker.m_failureStreak >= failuresBeforeIsolation) {
        isolateWorker(worker, now);
    }
}

static void updateFailureStreak(TrackedWorker &worker, const RunEnd &end, Instant now)
{
    if (end.m_kind == RunEndKind::Done) {
        worker.m_failureStreak = 0;
        worker.m_lastFailedJob.clear();
    } else if (end.m_kind == RunEndKind::Failed) {
        countFailure(worker, end.m_task.m_job, now);
    }
}

// Tracks the runs of the step that have lost their task because @p end reports that another run has completed it. Runs of the same number as
// the reported one, which are members of its gang, end with it, so they are stopped only if their ends are late; others are stopped at once.
static void supersedeReplacedRuns(OwnerState &state, const JobState &before, const RunEnd &end, const WorkerIncarnation &reportedBy, Instant now)
{
    const auto step = findStep(before, end.m_task.m_occurrence, end.m_task.m_step);
    const auto job = state.m_jobs.find(end.m_task.m_job);
    const auto stepAfter = findStep(*job, end.m_task.m_occurrence, end.m_task.m_step); // Null once a repeated job has completed the occurrence.
    if (end.m_kind != RunEndKind::Done || !step || step == stepAfter) {
        return;
    }
    for (std::size_t index = 0; index < step->m_tasks.size(); ++index) {
        const auto &task = *step->m_tasks[index];
        const bool assignedAfter = stepAfter && stepAfter->m_tasks[index]->m_assignedWorker;
        if (!task.m_assignedWorker || assignedAfter) {
            continue;
        }
        const TaskReference reference{
            .m_job = end.m_task.m_job, .m_occurrence = end.m_task.m_occurrence, .m_step = end.m_task.m_step, .m_index = static_cast<int>(index)};
        if (reference == end.m_task && task.m_runNumber == end.m_runNumber && *task.m_assignedWorker == reportedBy) {
            continue; // The reported run itself.
        }
        supersedeRun(state, reference, task, now);
        if (task.m_runNumber != end.m_runNumber || reference == end.m_task) {
            orderStopOfSupersededRun(state, *task.m_assignedWorker, RunReference{.m_task = reference, .m_runNumber = task.m_runNumber}, now);
        }
    }
}

// Returns the job of a run that a worker reports, or null. Adds the occurrence of the run if this owner has not created it yet: before its first
// pass, or because its wall clock is behind that of the former owner.
static JobPointer jobOfReportedRun(OwnerState &state, const TaskReference &reference, Instant now)
{
    const auto job = state.m_jobs.find(reference.m_job);
    if (!job) {
        return nullptr;
    }
    auto changed = withOccurrencesUpTo(job, reference.m_occurrence, now);
    if (changed != job) {
        setJob(state, changed);
        state.m_placementNeeded = true;
    }
    return changed;
}

static void handleRunEnd(OwnerState &state, TrackedWorker &worker, const RunEnd &end, Instant now)
{
    worker.m_lastHandledEnd = end.m_number;
    worker.m_listedRuns.erase(end.m_task);
    removeSupersededRun(state, worker, RunReference{.m_task = end.m_task, .m_runNumber = end.m_runNumber});
    forgetReleasedRun(state, end.m_task, worker.m_incarnation->m_worker, end.m_runNumber);
    const auto job = jobOfReportedRun(state, end.m_task, now);
    logEvent(LogLevel::Info,
             "run_ended",
             {{"request", end.m_task.m_job},
              {"task", taskName(end.m_task)},
              {"run", std::to_string(end.m_runNumber)},
              {"worker", worker.m_incarnation->m_worker},
              {"started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
              {"number", std::to_string(end.m_number)},
              {"how", std::string(endKindName(end.m_kind))},
              {"known", job ? "yes" : "no"}});
    FleetMetrics::instance().increment(FleetCounter::RunsEnded, endKindName(end.m_kind));
    updateFailureStreak(worker, end, now);
    if (!job) {
        worker.m_pendingRunEnds.push_back(PendingRunEnd{.m_number = end.m_number, .m_job = end.m_task.m_job, .m_version = 0});
        return;
    }
    measureRunEnd(state, worker, *job, end, now);
    const auto effect = applyRunEnd(job, end, worker.m_incarnation->m_worker, now);
    setJob(state, effect.m_job);
    if (const auto task = findTask(*effect.m_job, end.m_task); !task || task->m_phase == TaskPhase::Done) {
        state.m_releasedRuns.erase(end.m_task); // Nothing starts a task that is done.
    }
    // An end that changes nothing also waits for the job's newest version, because the end of another member of its gang may have settled the
    // job in that version.
    const bool counts = end.m_kind == RunEndKind::Done || end.m_kind == RunEndKind::Failed;
    worker.m_pendingRunEnds.push_back(PendingRunEnd{.m_number = end.m_number, .m_job = end.m_task.m_job, .m_version = counts ? effect.m_job->m_version : 0});
    if (effect.m_mustRecord) {
        recordProgressIfChanged(state, effect.m_job);
    }
    supersedeReplacedRuns(state, *job, end, *worker.m_incarnation, now);
    if (job->m_outcome == JobOutcome::Active && effect.m_job->m_outcome == JobOutcome::Failed) {
        const auto step = findStep(*effect.m_job, end.m_task.m_occurrence, end.m_task.m_step);
        logEvent(LogLevel::Warn,
                 "job_failed",
                 {{"request", end.m_task.m_job},
                  {"task", taskName(end.m_task)},
                  {"failed_runs", std::to_string(failedAttempts(*job->m_spec, *step, end.m_task.m_step, end.m_task.m_index))},
                  {"attempts", std::to_string(job->m_maxAttempts.value_or(0))}});
        stopJobRuns(state, effect.m_job, StopReason::Superseded, now);
    }
    // A completed run frees capacity. After any other end the task waits again, or work for which the run was preempted can start.
    const bool nextStep = job->m_spec->m_steps.size() > 1;
    state.m_capacityFreed = true;
    state.m_placementNeeded = state.m_placementNeeded || end.m_kind != RunEndKind::Done || nextStep;
}

static void handleRunEnds(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, Instant now)
{
    for (const auto &end : runReport.m_ends) {
        if (end.m_number > worker.m_lastHandledEnd) {
            handleRunEnd(state, worker, end, now);
        }
    }
    acknowledgeRecordedEnds(state, worker);
}

static bool needsRun(const JobPointer &job, const TaskPointer &task)
{
    return job && job->m_outcome == JobOutcome::Active && task && task->m_phase != TaskPhase::Done;
}

// Updates a task that is listed as running by the worker that it is assigned to; repeats an unanswered stop order.
static void confirmRun(OwnerState &state, const TrackedWorker &worker, const RunningTask &runningTask, const TaskState &task, Instant sentAt, Instant now)
{
    if (task.m_phase == TaskPhase::Stopping) {
        const bool unanswered = task.m_orderUnanswered && sentAt >= task.m_phaseSince + pollRetryPause;
        if (unanswered) {
            orderStop(state, *worker.m_incarnation, runningTask.m_task, runningTask.m_runNumber, StopReason::Superseded, now);
        }
        return;
    }
    const bool same = task.m_phase == TaskPhase::Running && task.m_percent == runningTask.m_percent
                      && (runningTask.m_checkpoint.empty() || task.m_checkpoint == runningTask.m_checkpoint);
    if (!same) {
        if (task.m_phase != TaskPhase::Running) {
            measureFromProgress(state, worker, runningTask, now);
        }
        setTask(
            state, runningTask.m_task, reportedTask(task, worker.m_incarnation, runningTask.m_runNumber, runningTask.m_checkpoint, runningTask.m_percent, now));
    }
}

static void handleRunningTask(OwnerState &state, TrackedWorker &worker, const RunningTask &runningTask, Instant sentAt, Instant now)
{
    const auto job = jobOfReportedRun(state, runningTask.m_task, now);
    const auto task = job ? findTask(*job, runningTask.m_task) : nullptr;
    const bool here = task && task->m_assignedWorker && *task->m_assignedWorker == *worker.m_incarnation && task->m_runNumber == runningTask.m_runNumber;
    worker.m_listedRuns.insert_or_assign(runningTask.m_task, runningTask.m_runNumber);
    const RunReference run{.m_task = runningTask.m_task, .m_runNumber = runningTask.m_runNumber};
    if (here) {
        forgetReleasedRun(state, runningTask.m_task, worker.m_incarnation->m_worker, runningTask.m_runNumber);
    }
    if (here && task->m_phase == TaskPhase::Stopping) {
        confirmRun(state, worker, runningTask, *task, sentAt, now);
        return;
    }
    if (here && !needsRun(job, task)) {
        orderStop(state, *worker.m_incarnation, runningTask.m_task, runningTask.m_runNumber, StopReason::Superseded, now);
        return;
    }
    const bool replaced = task && runningTask.m_runNumber < task->m_runNumber;
    const bool duplicate = task && !here && task->m_assignedWorker && runningTask.m_runNumber == task->m_runNumber;
    if (!needsRun(job, task) || replaced || duplicate) {
        if (needsRun(job, task)) {
            rememberRunToStop(state, worker, runningTask.m_task, runningTask.m_runNumber);
        }
        stopListedRun(state, worker, run, now);
        return;
    }
    if (here) {
        confirmRun(state, worker, runningTask, *task, sentAt, now);
        return;
    }
    // The report may be older than the end of the run, which another answer has brought. The next report shows it. A run with a higher number than any
    // known one has not ended to this owner's knowledge; the task may just be younger than the report, as an occurrence that was created since.
    if (!task->m_assignedWorker && runningTask.m_runNumber <= task->m_highestRunNumber && sentAt < task->m_phaseSince) {
        return;
    }
    forgetAdoptedRun(state, runningTask.m_task, worker.m_incarnation->m_worker, runningTask.m_runNumber);
    if (task->m_assignedWorker) {
        if (const auto *former = findWorker(state, *task->m_assignedWorker)) {
            rememberRunToStop(state, *former, runningTask.m_task, task->m_runNumber);
        }
        supersedeRun(state, runningTask.m_task, *task, now);
        orderStopOfSupersededRun(state, *task->m_assignedWorker, RunReference{.m_task = runningTask.m_task, .m_runNumber = task->m_runNumber}, now);
    }
    logEvent(LogLevel::Info,
             "run_adopted",
             {{"request", runningTask.m_task.m_job},
              {"task", taskName(runningTask.m_task)},
              {"run", std::to_string(runningTask.m_runNumber)},
              {"worker", worker.m_incarnation->m_worker},
              {"percent", std::to_string(runningTask.m_percent)}});
    measureFromProgress(state, worker, runningTask, now);
    setTask(
        state, runningTask.m_task, reportedTask(*task, worker.m_incarnation, runningTask.m_runNumber, runningTask.m_checkpoint, runningTask.m_percent, now));
}

static bool isListed(const WorkerRunReport &runReport, const TaskReference &task, std::int64_t runNumber)
{
    return std::any_of(runReport.m_running.begin(), runReport.m_running.end(), [&](const auto &runningTask) {
        return runningTask.m_runNumber == runNumber && runningTask.m_task == task;
    });
}

// Handles the tasks that are assigned to the worker but missing from its list of running tasks. While the worker has ends that it has not
// listed, the run of such a task may have ended as done.
static void handleUnlistedTasks(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, Instant sentAt, Instant now)
{
    if (runReport.m_listedEnds == ListedEnds::Part) {
        return;
    }
    const auto assignedTasks = worker.m_tasks;
    for (const auto &reference : assignedTasks) {
        const auto job = state.m_jobs.find(reference.m_job);
        const auto task = job ? findTask(*job, reference) : nullptr;
        if (!task || sentAt < task->m_phaseSince || isListed(runReport, reference, task->m_runNumber)) {
            continue;
        }
        if (task->m_phase == TaskPhase::Running && sentAt == task->m_phaseSince) {
            continue; // The worker may have answered the poll before it got the start, both within this millisecond.
        }
        const bool startInFlight = task->m_phase == TaskPhase::Starting && !task->m_orderUnanswered;
        const bool stopUnanswered = task->m_phase == TaskPhase::Stopping && task->m_orderUnanswered;
        if (startInFlight || stopUnanswered) {
            continue;
        }
        if (task->m_phase == TaskPhase::Starting) {
            const bool sentToEarlierProcess = worker.m_refusesEarlierCalls && !worker.m_unansweredStarts.contains(reference);
            if (sentToEarlierProcess && state.m_soleOwner) {
                // The answer that this list is part of made the worker refuse the order.
                forgetReleasedRun(state, reference, worker.m_incarnation->m_worker, task->m_runNumber);
                setTask(state, reference, waitingTask(*task, now));
                state.m_placementNeeded = true;
                continue;
            }
            if (repeatStart(state, worker, reference, job, *task, now)) {
                continue;
            }
            // Once the worker has answered the stop order, it refuses a delayed start order for this run.
            orderStop(state, *worker.m_incarnation, reference, task->m_runNumber, StopReason::Unconfirmed, now);
            continue;
        }
        if (!state.m_soleOwner) {
            continue; // The next owner may have acknowledged the end of the run, so that the worker lists it no longer.
        }
        if (task->m_phase == TaskPhase::Running) {
            logEvent(LogLevel::Warn,
                     "run_vanished",
                     {{"request", reference.m_job},
                      {"task", taskName(reference)},
                      {"run", std::to_string(task->m_runNumber)},
                      {"worker", worker.m_incarnation->m_worker}});
            rememberReleasedRun(state, worker, reference, task->m_runNumber, ReleaseBelief::RunVanished);
        }
        setTask(state, reference, waitingTask(*task, now));
        state.m_placementNeeded = true;
    }
}

// Reports what this owner's calls to the worker do not explain, so that a call of another owner, or one that was meant for an earlier process of
// the worker, must have caused it: a lease that is longer than any that this owner gave, and an acknowledgement that it did not send.
static void reportUnexpectedRuns(const TrackedWorker &worker, const WorkerRunReport &runReport, Instant sentAt)
{
    const auto started = std::to_string(worker.m_incarnation->m_startedAtMs);
    if (worker.m_missedPolls > 0 && sentAt > worker.m_leasesExpiredBy && !runReport.m_running.empty()) {
        FleetMetrics::instance().add(FleetCounter::RunsOutlivedLeases, static_cast<double>(runReport.m_running.size()), {});
        logEvent(LogLevel::Warn,
                 "runs_outlived_leases",
                 {{"worker", worker.m_incarnation->m_worker},
                  {"started_ms", started},
                  {"over_ms", std::to_string((sentAt - worker.m_leasesExpiredBy).count())},
                  {"runs", std::to_string(runReport.m_running.size())},
                  {"first_task", taskName(runReport.m_running.front().m_task)},
                  {"first_run", std::to_string(runReport.m_running.front().m_runNumber)}});
    }
    const bool numbersKnown = worker.m_lastHandledEnd > 0 || worker.m_inheritsRuns;
    if (numbersKnown && !runReport.m_ends.empty() && runReport.m_ends.front().m_number > worker.m_lastHandledEnd + 1) {
        FleetMetrics::instance().increment(FleetCounter::EndsMissing);
        logEvent(LogLevel::Warn,
                 "ends_missing",
                 {{"worker", worker.m_incarnation->m_worker},
                  {"started_ms", started},
                  {"handled", std::to_string(worker.m_lastHandledEnd)},
                  {"first_listed", std::to_string(runReport.m_ends.front().m_number)}});
    }
}

// Reports runs that a worker process lists before this owner has started any there: the worker has executed starts that were meant for an earlier
// process, or another owner's.
static void reportRunsOfEarlierCalls(const TrackedWorker &worker, const WorkerRunReport &runReport)
{
    if (!worker.m_inheritsRuns || (runReport.m_running.empty() && runReport.m_ends.empty())) {
        return;
    }
    const auto &first = runReport.m_running.empty() ? runReport.m_ends.front().m_task : runReport.m_running.front().m_task;
    logEvent(LogLevel::Warn,
             "runs_of_earlier_calls",
             {{"worker", worker.m_incarnation->m_worker},
              {"started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
              {"running", std::to_string(runReport.m_running.size())},
              {"ended", std::to_string(runReport.m_ends.size())},
              {"first_task", taskName(first)}});
}

static void recordPollAnswer(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, Instant sentAt, Instant now)
{
    reportUnexpectedRuns(worker, runReport, sentAt);
    reportRunsOfEarlierCalls(worker, runReport);
    if (!worker.m_fenceConfirmed || worker.m_missedPolls > 0) {
        const auto level = worker.m_missedPolls > 0 ? LogLevel::Info : LogLevel::Debug; // A takeover expects an answer from each worker.
        logEvent(level, "worker_answers", {{"worker", worker.m_incarnation->m_worker}, {"missed", std::to_string(worker.m_missedPolls)}});
        state.m_placementNeeded = true;
    }
    worker.m_moreEnds = runReport.m_listedEnds == ListedEnds::Part;
    if (!worker.m_moreEnds) {
        if (!worker.m_runsKnown) {
            forgetFormerRuns(state, *worker.m_incarnation);
            state.m_placementNeeded = true;
        }
        worker.m_runsKnown = true;
        worker.m_formerRunsUnknown = false;
        state.m_awaitedWorkers.erase(worker.m_incarnation->m_worker);
    }
    worker.m_otherStartMs.reset();
    worker.m_ordersFence = worker.m_fence; // The process has seen the raised fence if it was mistaken for another one.
    worker.m_answerRequestedAt = std::max(worker.m_answerRequestedAt, sentAt);
    forgetExcludedLateStarts(state, worker, now);
    if (!worker.m_fenceConfirmed) {
        // Until this answer the worker took calls of the former owner, and those that were meant for its earlier processes. One of them may have
        // renewed the lease just before.
        worker.m_leasesExpiredBy = std::max(worker.m_leasesExpiredBy, taskLeasesExpiredBy(now, state.m_context.m_settings.m_taskLease));
    }
    worker.m_fenceConfirmed = true;
    worker.m_missedPolls = 0;
    worker.m_answeredAt = now;
    worker.m_workerClockAtAnswerMs = runReport.m_clockMs;
    correctLeavingTime(worker);
    correctColdTime(worker);
}

static void recordMissedPoll(OwnerState &state, TrackedWorker &worker, const PollCompleted &event, Instant now)
{
    const auto answer = event.m_reply.m_answer;
    if (answer == OrderAnswer::Fenced && showsSuccessor(state, event.m_incarnation, event.m_workerFence)) {
        state.m_context.m_onSuperseded(event.m_fence, "worker " + event.m_incarnation.m_worker + " has seen a higher fence");
        return;
    }
    ++worker.m_missedPolls;
    worker.m_nextPollAt = now + (worker.m_fenceConfirmed ? pollRetryPause : takeoverRetryPause(state));
    if (worker.m_missedPolls == 1) {
        logEvent(LogLevel::Warn,
                 "worker_silent",
                 {{"worker", worker.m_incarnation->m_worker},
                  {"started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
                  {"tasks", std::to_string(worker.m_tasks.size())},
                  {"answered_ms_ago", answeredMsAgo(worker, now)},
                  {"leases_over_in_ms", std::to_string((worker.m_leasesExpiredBy - now).count())}});
    }
}

// Logs the first of several answers under the same other start time.
static void reportOtherStart(TrackedWorker &worker, std::int64_t startedAtMs, Instant now)
{
    if (worker.m_otherStartMs == startedAtMs) {
        return;
    }
    worker.m_otherStartMs = startedAtMs;
    logEvent(LogLevel::Warn,
             "worker_start_differs",
             {{"worker", worker.m_incarnation->m_worker},
              {"address", worker.m_report->m_address},
              {"expected_started_ms", std::to_string(worker.m_incarnation->m_startedAtMs)},
              {"started_ms", std::to_string(startedAtMs)},
              {"answered_ms_ago", answeredMsAgo(worker, now)},
              {"tasks", std::to_string(worker.m_tasks.size())}});
}

// Logs a poll that the worker may still execute, with what it changes then: the lease of all runs, and the ends that the worker lists.
static void reportUnansweredPoll(OwnerState &state, const PollCompleted &event, Instant now)
{
    if (event.m_reply.m_answer != OrderAnswer::Unanswered) {
        return;
    }
    FleetMetrics::instance().increment(FleetCounter::WorkerCallsUnanswered, "poll");
    const bool changesState = event.m_leaseEndMs || event.m_lastAcknowledgedEnd > 0;
    if (!changesState || !claimLogLine(state.m_callLogLines, maxCallLogLines, now)) {
        return;
    }
    logEvent(LogLevel::Info,
             "poll_unanswered",
             {{"worker", event.m_incarnation.m_worker},
              {"started_ms", std::to_string(event.m_incarnation.m_startedAtMs)},
              {"sent_ms_ago", std::to_string((now - event.m_sentAt).count())},
              {"lease_end_ms", event.m_leaseEndMs ? std::to_string(*event.m_leaseEndMs) : "none"},
              {"acknowledged", std::to_string(event.m_lastAcknowledgedEnd)}});
}

void applyPollResult(OwnerState &state, const PollCompleted &event, Instant now)
{
    reportUnansweredPoll(state, event, now);
    auto *worker = findWorker(state, event.m_incarnation);
    if (!worker) {
        return;
    }
    (event.m_immediate ? worker->m_immediatePollInFlight : worker->m_pollInFlight) = false;
    if (event.m_immediate && !event.m_reply.m_runReport && worker->m_entryPresent) {
        return; // Only the regular poll decides whether the worker is silent.
    }
    if (!event.m_reply.m_runReport) {
        recordMissedPoll(state, *worker, event, now);
        return;
    }
    const auto &runReport = *event.m_reply.m_runReport;
    if (runReport.m_startedAtMs != 0 && runReport.m_startedAtMs != event.m_incarnation.m_startedAtMs) {
        // The worker has restarted, and the store's entry of the new incarnation follows. Until then nothing is started on the
        // worker and no lease is renewed. Runs that this report lists, and starts that the new incarnation may have executed, stay assigned
        // until that entry arrives or their leases have expired. A report of an earlier start shows nothing: the entry is wrong, or the
        // worker's clock has been set back.
        reportOtherStart(*worker, runReport.m_startedAtMs, now);
        worker->m_otherStartRequestedAt = std::max(worker->m_otherStartRequestedAt, event.m_sentAt);
        const bool raised = raiseFenceOfOtherStart(*worker);
        if (runReport.m_startedAtMs > event.m_incarnation.m_startedAtMs && runReport.m_listedEnds == ListedEnds::All) {
            releaseRunsOfEarlierStart(state, *worker, runReport, ReleaseBelief::OtherStartAnswered, now);
        }
        worker->m_missedPolls += worker->m_missedPolls == 0 ? missedPollsToStopRenewal : 1;
        worker->m_nextPollAt = raised ? now : now + pollRetryPause;
        return;
    }
    if (worker->m_otherStartMs && event.m_sentAt <= worker->m_otherStartRequestedAt) {
        worker->m_nextPollAt = now + pollRetryPause; // Overtaken by the answer of a later process.
        return;
    }
    const auto acknowledgedBefore = worker->m_lastAcknowledgedEnd;
    recordPollAnswer(state, *worker, runReport, event.m_sentAt, now);
    applyFirstReportOfInheritor(state, *worker, runReport, now);
    handleRunEnds(state, *worker, runReport, now);
    removeUnlistedSupersededRuns(state, *worker, runReport, event.m_sentAt);
    for (const auto &runningTask : runReport.m_running) {
        handleRunningTask(state, *worker, runningTask, event.m_sentAt, now);
    }
    handleUnlistedTasks(state, *worker, runReport, event.m_sentAt, now);
    std::erase_if(worker->m_unansweredStarts, [worker](const auto &start) { return !worker->m_tasks.contains(start.first); });
    if (event.m_immediate) {
        return;
    }
    // The request has acknowledged nothing if it went over a new connection. The next one may use that connection.
    const bool acknowledgementMissing = !runReport.m_ends.empty() && runReport.m_ends.front().m_number <= acknowledgedBefore;
    const auto idlePause = acknowledgementMissing ? pollRetryPause
                           : !state.m_soleOwner   ? pollPauseWithoutLease(state)
                                                  : (worker->m_tasks.empty() ? idlePollPause(state) : Duration(0));
    if (worker->m_pendingRunEnds.empty() && idlePause == Duration(0)) {
        pollWorker(state, *worker, false, now);
    } else {
        worker->m_nextPollAt = now + (worker->m_pendingRunEnds.empty() ? idlePause : pollRetryPause);
    }
}

} // namespace PrimroseBridge
