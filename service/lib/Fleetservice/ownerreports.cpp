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
// Time to order a stop and to learn of its end, in addition to the time that the stop takes: a review, a round trip, and one late answer.
static constexpr Duration stopConfirmationSlack(600);
static constexpr Duration speedReviewPeriod(300);
// Time for which a worker counts as slow after it was last found slow, because the tasks that showed it may have ended since.
static constexpr Duration slowMarkDuration(3000);
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

static void updateFailureStreak(TrackedWorker &worker, const RunEnd &end, Instant now)
{
    if (end.m_kind == RunEndKind::Done) {
        worker.m_failureStreak = 0;
        worker.m_lastFailedJob.clear();
        return;
    }
    if (end.m_kind != RunEndKind::Failed || worker.m_lastFailedJob == end.m_task.m_job) {
        return;
    }
    worker.m_lastFailedJob = end.m_task.m_job;
    if (++worker.m_failureStreak >= failuresBeforeIsolation) {
        isolateWorker(worker, now);
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
    auto *worker = findWorker(state, *task.m_assignedWorker);
    if (!worker || worker->m_lastFailedJob == reference.m_job) {
        return;
    }
    worker->m_lastFailedJob = reference.m_job;
    if (++worker->m_failureStreak >= failuresBeforeIsolation) {
        isolateWorker(*worker, now);
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
    const auto lockedJobIds = jobsLockedByTakeover(state, now);
    for (const auto &name : state.m_jobOrder) {
        if (const auto job = state.m_jobs.find(name)) {
            reviewJob(state, job, lockedJobIds, now);
        }
    }
}

} // namespace PrimroseBridge
