#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>

namespace PrimroseBridge {

// A worker usually answers an order within a network round trip; one that takes longer may execute the order seconds later.
static constexpr Duration orderTimeout(500);
// How often a start order is sent again that a worker has left unanswered although it answers other calls. With all repetitions, a start
// takes less time than the members of a gang wait for each other, at least 3 s on the platform.
static constexpr int maxStartRepeats = 2;
// Minimum long-poll wait for a worker with tasks, which is also the period at which the leases of its runs are renewed.
static constexpr Duration busyPollWait(1000);
static constexpr Duration maxPollWait(2000); // The platform's maximum.
// Polls that an owner can send per second beside its other work, at about 0.2 ms of processor time each on the smallest VMs.
static constexpr std::size_t pollsPerSecond = 500;
// Added to the wait of a poll, for the network round trip and a worker that answers slowly.
static constexpr Duration pollTimeoutSlack(700);
// Time-out of the first polls of a worker that has not answered this owner yet. Of a thousand workers some leave a poll unanswered, and
// all jobs known at the takeover may wait for their answers. Later polls have the full time-out, for workers that answer slowly.
static constexpr Duration minTakeoverPollTimeout(350);
static constexpr int shortTakeoverPolls = 2;
static constexpr Duration minTakeoverRetryPause(50);
// Part of pollCycle() in which the answers to the polls of a takeover are read. A shorter time-out would expire before their turn comes,
// and the repeated polls would delay the answers further.
static constexpr int takeoverPollShare = 4;
static constexpr Duration minPollPauseWithoutLease(250);
// Time without start orders for a worker after an order that it refused for lack of capacity or an expired lease, or that was not sent.
static constexpr Duration refusalPause(300);
// Time without start orders for a worker after an order that it left unanswered or could not parse, or that was refused because the worker
// is unhealthy or because another worker answers at its address.
static constexpr Duration unhealthyPause(1500);

// Returns the end of a task lease that is given at @p now, in milliseconds on the worker's clock.
static std::int64_t leaseEndOnWorkerClockMs(const OwnerState &state, const TrackedWorker &worker, Instant now)
{
    return worker.m_workerClockAtAnswerMs + (taskLeaseEnd(authorityOf(state), now) - worker.m_answeredAt).count();
}

// Returns the time on the boot clock before which the connection of an order must have been established.
//
// A successor has the answer of each worker process that ran before the end of the store lease, or waits for the end of its leases. A process
// that starts later has seen no fence, and would execute an order of a former owner that was suspended before it sent the order. After the
// store lease, only the process that gave the last answer may be reached, because the lease end in the order is on its clock.
static Instant connectionBound(const OwnerState &state, const TrackedWorker &worker, Instant now)
{
    return isSoleOwner(authorityOf(state), now) ? state.m_leaseEnd : std::min(state.m_leaseEnd, worker.m_answerRequestedAt);
}

static void extendLeasesExpiredBy(const OwnerState &state, TrackedWorker &worker, Instant now)
{
    worker.m_leasesExpiredBy = std::max(worker.m_leasesExpiredBy, taskLeasesExpiredBy(now, state.m_context.m_settings.m_taskLease));
}

// Returns the time in which every worker is polled once at a rate of pollsPerSecond.
static Duration pollCycle(const OwnerState &state)
{
    return Duration(static_cast<Duration::rep>(state.m_workers.size() * 1000 / pollsPerSecond));
}

static Duration takeoverPollTimeout(const OwnerState &state)
{
    return std::max(minTakeoverPollTimeout, pollCycle(state) / takeoverPollShare);
}

Duration takeoverRetryPause(const OwnerState &state)
{
    return std::max(minTakeoverRetryPause, takeoverPollTimeout(state) / takeoverPollShare);
}

Duration pollPauseWithoutLease(const OwnerState &state)
{
    return std::max(minPollPauseWithoutLease, pollCycle(state));
}

Duration idlePollPause(const OwnerState &state)
{
    return std::max(pollCycle(state) - maxPollWait, Duration(0));
}

void pollWorker(OwnerState &state, TrackedWorker &worker, bool immediate, Instant now)
{
    bool &inFlight = immediate ? worker.m_immediatePollInFlight : worker.m_pollInFlight;
    if (inFlight) {
        return;
    }
    inFlight = true;
    giveOwnFence(state, worker, now);
    const bool answers = worker.m_fenceConfirmed && worker.m_missedPolls < missedPollsToStopRenewal;
    const bool renew = state.m_soleOwner && answers;
    const bool longPoll = !immediate && answers && worker.m_pendingRunEnds.empty() && !worker.m_moreEnds && state.m_soleOwner;
    const auto wait = longPoll ? (worker.m_tasks.empty() ? maxPollWait : std::clamp(pollCycle(state), busyPollWait, maxPollWait)) : Duration(0);
    if (renew) {
        extendLeasesExpiredBy(state, worker, now);
    }
    const bool mayRetryEarly = !worker.m_fenceConfirmed && worker.m_missedPolls < shortTakeoverPolls;
    const auto fence = state.m_fence.load();
    // The process that answers under another start numbers its ends anew.
    const RunReportRequest request{.m_lastAcknowledgedEnd = worker.m_otherStartMs ? 0 : worker.m_lastAcknowledgedEnd,
                                   .m_leaseEndMs = renew ? std::optional(leaseEndOnWorkerClockMs(state, worker, now)) : std::nullopt,
                                   .m_wait = wait};
    state.m_context.m_workerCalls.m_requestRunReport(
        OrderTarget{.m_worker = worker.m_incarnation->m_worker,
                    .m_address = worker.m_report->m_address,
                    .m_fence = worker.m_fence,
                    .m_timeout = mayRetryEarly ? takeoverPollTimeout(state) : std::max(wait + pollTimeoutSlack, takeoverPollTimeout(state)),
                    .m_connectedBefore = request.m_lastAcknowledgedEnd > 0 ? std::optional(worker.m_answerRequestedAt) : std::nullopt},
        request,
        [events = state.m_events, incarnation = worker.m_incarnation, fence, workerFence = worker.m_fence, now, request, immediate](
            const RunReportReply &reply) {
            events->tryPush(PollCompleted{.m_incarnation = *incarnation,
                                          .m_fence = fence,
                                          .m_sentAt = now,
                                          .m_leaseRenewed = request.m_leaseEndMs.has_value(),
                                          .m_immediate = immediate,
                                          .m_reply = reply,
                                          .m_lastAcknowledgedEnd = request.m_lastAcknowledgedEnd,
                                          .m_leaseEndMs = request.m_leaseEndMs,
                                          .m_workerFence = workerFence});
        });
}

static void sendStart(OwnerState &state,
                      TrackedWorker &worker,
                      const TaskReference &reference,
                      std::int64_t runNumber,
                      const std::string &checkpoint,
                      const JobSpec &spec,
                      std::optional<Instant> sentBefore,
                      Instant now)
{
    extendLeasesExpiredBy(state, worker, now);
    const auto fence = state.m_fence.load();
    state.m_context.m_workerCalls.m_sendStartOrder(
        OrderTarget{.m_worker = worker.m_incarnation->m_worker,
                    .m_address = worker.m_report->m_address,
                    .m_fence = worker.m_ordersFence,
                    .m_timeout = orderTimeout,
                    .m_connectedBefore = connectionBound(state, worker, now),
                    .m_sentBefore = sentBefore},
        StartOrder{.m_task = reference,
                   .m_runNumber = runNumber,
                   .m_payload = spec.m_payload,
                   .m_checkpoint = checkpoint,
                   .m_leaseEndMs = leaseEndOnWorkerClockMs(state, worker, now)},
        [events = state.m_events, reference, runNumber, checkpoint, incarnation = worker.m_incarnation, fence, workerFence = worker.m_ordersFence, now](
            const OrderReply &reply) {
            events->tryPush(StartOrderCompleted{.m_task = reference,
                                                .m_runNumber = runNumber,
                                                .m_checkpoint = checkpoint,
                                                .m_incarnation = *incarnation,
                                                .m_fence = fence,
                                                .m_sentAt = now,
                                                .m_reply = reply,
                                                .m_workerFence = workerFence});
        });
}

void orderStart(
    OwnerState &state, const StartDecision &decision, const PlacementWorker &placement, const JobPointer &job, std::optional<Instant> sentBefore, Instant now)
{
    auto *worker = findWorker(state, *placement.m_incarnation);
    const auto task = findTask(*job, decision.m_task);
    if (!worker || !task) {
        return;
    }
    reportPlacedAgain(state, decision.m_task, decision.m_runNumber, *worker->m_incarnation, now);
    setTask(state, decision.m_task, startingTask(*task, worker->m_incarnation, decision.m_runNumber, now));
    worker->m_unansweredStarts.erase(decision.m_task);
    sendStart(state, *worker, decision.m_task, decision.m_runNumber, decision.m_checkpoint, *job->m_spec, sentBefore, now);
}

bool repeatStart(OwnerState &state, TrackedWorker &worker, const TaskReference &reference, const JobPointer &job, const TaskState &task, Instant now)
{
    const auto found = worker.m_unansweredStarts.find(reference);
    const bool known = found != worker.m_unansweredStarts.end() && found->second.m_runNumber == task.m_runNumber;
    // The worker may have begun to drain since the first order.
    const bool acceptsStarts = worker.m_entryPresent && !worker.m_report->m_draining && !worker.m_jobsIfCordoned;
    if (!known || !acceptsStarts || found->second.m_repeats >= maxStartRepeats || job->m_outcome != JobOutcome::Active
        || !mayScheduleKnownJobs(authorityOf(state), now)) {
        return false;
    }
    const auto drains = zoneDrainsNow(state);
    if (const auto hold = startHold(state, drains, worker.m_report->m_zone, now); hold != StartHold::None) {
        reportHeldStart(state, reference, worker, hold, now);
        return false;
    }
    ++found->second.m_repeats;
    logEvent(LogLevel::Info,
             "start_repeated",
             {{"request", reference.m_job},
              {"task", taskName(reference)},
              {"run", std::to_string(task.m_runNumber)},
              {"worker", worker.m_incarnation->m_worker},
              {"repeats", std::to_string(found->second.m_repeats)}});
    setTask(state, reference, taskInPhase(task, TaskPhase::Starting, false, now));
    sendStart(state, worker, reference, task.m_runNumber, found->second.m_checkpoint, *job->m_spec, startSendingEnd(state, drains), now);
    return true;
}

void orderStop(OwnerState &state, const WorkerIncarnation &incarnation, const TaskReference &reference, std::int64_t runNumber, StopReason reason, Instant now)
{
    auto *worker = findWorker(state, incarnation);
    if (!worker) {
        return;
    }
    const auto job = state.m_jobs.find(reference.m_job);
    const auto task = job ? findTask(*job, reference) : nullptr;
    if (task && task->m_assignedWorker && *task->m_assignedWorker == incarnation && task->m_runNumber == runNumber) {
        setTask(state, reference, taskInPhase(*task, TaskPhase::Stopping, true, now));
    }
    FleetMetrics::instance().increment(FleetCounter::StopsOrdered, stopReasonName(reason));
    logEvent(LogLevel::Info,
             "stop_ordered",
             {{"request", reference.m_job},
              {"task", taskName(reference)},
              {"run", std::to_string(runNumber)},
              {"worker", incarnation.m_worker},
              {"reason", std::string(stopReasonName(reason))}});
    const auto fence = state.m_fence.load();
    state.m_context.m_workerCalls.m_sendStopOrder(
        OrderTarget{.m_worker = incarnation.m_worker,
                    .m_address = worker->m_report->m_address,
                    .m_fence = worker->m_ordersFence,
                    .m_timeout = orderTimeout,
                    .m_connectedBefore = connectionBound(state, *worker, now)},
        reference,
        runNumber,
        [events = state.m_events, reference, runNumber, incarnation, fence, workerFence = worker->m_ordersFence](const OrderReply &reply) {
            events->tryPush(StopOrderCompleted{
                .m_task = reference, .m_runNumber = runNumber, .m_incarnation = incarnation, .m_fence = fence, .m_reply = reply, .m_workerFence = workerFence});
        });
}

static std::string_view startAnswerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::Outdated:
        return "outdated";
    case OrderAnswer::LeaseEndPassed:
        return "lease_over";
    case OrderAnswer::InsufficientCapacity:
        return "no_room";
    case OrderAnswer::PlacementAdviceMissing:
        return "no_ticket";
    case OrderAnswer::WrongWorker:
        return "other_life";
    case OrderAnswer::Unhealthy:
        return "unhealthy";
    case OrderAnswer::Malformed:
        return "malformed";
    case OrderAnswer::NotSent:
        return "not_sent";
    case OrderAnswer::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

static void pauseStartsAfterRefusal(TrackedWorker &worker, OrderAnswer answer, Instant now)
{
    switch (answer) {
    case OrderAnswer::Unhealthy:
    case OrderAnswer::Malformed:
    case OrderAnswer::WrongWorker:
    case OrderAnswer::Unanswered:
        worker.m_noStartsUntil = std::max(worker.m_noStartsUntil, now + unhealthyPause);
        return;
    case OrderAnswer::InsufficientCapacity:
    case OrderAnswer::NotSent:
    case OrderAnswer::LeaseEndPassed:
        worker.m_noStartsUntil = std::max(worker.m_noStartsUntil, now + refusalPause);
        return;
    default:
        return;
    }
}

void applyStartResult(OwnerState &state, const StartOrderCompleted &event, Instant now)
{
    const auto answer = event.m_reply.m_answer;
    logEvent(answer == OrderAnswer::Accepted ? LogLevel::Info : LogLevel::Warn,
             "start_answered",
             {{"request", event.m_task.m_job},
              {"task", taskName(event.m_task)},
              {"run", std::to_string(event.m_runNumber)},
              {"worker", event.m_incarnation.m_worker},
              {"started_ms", std::to_string(event.m_incarnation.m_startedAtMs)},
              {"after_ms", std::to_string((now - event.m_sentAt).count())},
              {"outcome", std::string(startAnswerName(answer))}});
    FleetMetrics::instance().increment(FleetCounter::StartOrdersAnswered, startAnswerName(answer));
    if (answer == OrderAnswer::Unanswered) {
        FleetMetrics::instance().increment(FleetCounter::WorkerCallsUnanswered, "start");
    }
    FleetMetrics::instance().observe(FleetHistogram::StartOrderSeconds, std::chrono::duration<double>(now - event.m_sentAt).count());
    if (answer == OrderAnswer::Fenced && showsSuccessor(state, event.m_incarnation, event.m_workerFence)) {
        state.m_context.m_onSuperseded(event.m_fence, "worker " + event.m_incarnation.m_worker + " has seen a higher fence");
    }
    auto *worker = findWorker(state, event.m_incarnation);
    if (worker && answer == OrderAnswer::Unanswered) {
        rememberLateStart(state, *worker, event.m_task, event.m_sentAt);
    }
    const auto job = state.m_jobs.find(event.m_task.m_job);
    const auto task = job ? findTask(*job, event.m_task) : nullptr;
    const bool current = task && task->m_assignedWorker && *task->m_assignedWorker == event.m_incarnation && task->m_runNumber == event.m_runNumber;
    if (!worker || !current || task->m_phase != TaskPhase::Starting) {
        return;
    }
    if (answer == OrderAnswer::Accepted) {
        setTask(state, event.m_task, taskInPhase(*task, TaskPhase::Running, false, now));
        if (!worker->m_pollInFlight) {
            pollWorker(state, *worker, false, now); // The pause between the polls of an idle worker would delay the end of the run.
        }
        return;
    }
    pauseStartsAfterRefusal(*worker, answer, now);
    const auto earlier = worker->m_unansweredStarts.find(event.m_task);
    const bool repeated = earlier != worker->m_unansweredStarts.end() && earlier->second.m_runNumber == event.m_runNumber;
    if (repeated && answer != OrderAnswer::Unanswered) {
        // The refusal says nothing about the earlier order, which the worker may have executed or may execute late.
        earlier->second.m_repeats = maxStartRepeats;
    }
    if (answer == OrderAnswer::Unanswered && !repeated) {
        worker->m_unansweredStarts.insert_or_assign(event.m_task,
                                                    UnansweredStart{.m_runNumber = event.m_runNumber, .m_checkpoint = event.m_checkpoint, .m_repeats = 0});
    }
    if (answer == OrderAnswer::Unanswered || repeated) {
        // The run may have started; the worker's run report shows whether it has. See applyPollResult().
        setTask(state, event.m_task, taskInPhase(*task, TaskPhase::Starting, true, now));
        pollWorker(state, *worker, true, now);
        return;
    }
    setTask(state, event.m_task, waitingTask(*task, now));
    state.m_placementNeeded = true;
}

void applyStopResult(OwnerState &state, const StopOrderCompleted &event, Instant now)
{
    if (event.m_reply.m_answer == OrderAnswer::Unanswered) {
        FleetMetrics::instance().increment(FleetCounter::WorkerCallsUnanswered, "stop");
    }
    if (event.m_reply.m_answer == OrderAnswer::Fenced) {
        if (showsSuccessor(state, event.m_incarnation, event.m_workerFence)) {
            state.m_context.m_onSuperseded(event.m_fence, "worker " + event.m_incarnation.m_worker + " has seen a higher fence");
        }
        return;
    }
    if (auto *worker = findWorker(state, event.m_incarnation); worker && event.m_reply.m_answer == OrderAnswer::Accepted) {
        applyStopOfSupersededRun(state, *worker, RunReference{.m_task = event.m_task, .m_runNumber = event.m_runNumber}, now);
    }
    const auto job = state.m_jobs.find(event.m_task.m_job);
    const auto task = job ? findTask(*job, event.m_task) : nullptr;
    const bool current = task && task->m_assignedWorker && *task->m_assignedWorker == event.m_incarnation && task->m_runNumber == event.m_runNumber;
    if (!current || task->m_phase != TaskPhase::Stopping) {
        return;
    }
    if (event.m_reply.m_answer == OrderAnswer::Accepted) {
        // The task stays assigned until the worker lists the run's end or no longer lists the run.
        setTask(state, event.m_task, taskInPhase(*task, TaskPhase::Stopping, false, now));
        if (auto *worker = findWorker(state, event.m_incarnation)) {
            pollWorker(state, *worker, true, now);
        }
    }
}

} // namespace PrimroseBridge
