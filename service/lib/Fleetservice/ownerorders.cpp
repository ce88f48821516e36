#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>

namespace PrimroseBridge {

// Orders are answered within a network round trip; workers that leave them longer may carry them out seconds later.
static constexpr Duration orderTimeout(500);
// The wait of a report request with tasks on the worker; also the period at which their leases are renewed.
static constexpr Duration busyReportWait(1000);
static constexpr Duration longestReportWait(2000); // The platform's bound.
// List requests that an owner can make in a second beside its other work, at about 0.2 ms of processor each on the smallest VMs.
static constexpr std::size_t reportBudget = 1000;
// Beyond the wait, for the way there and back and a worker that answers slowly.
static constexpr Duration reportSlack(700);
// A worker that has refused for want of room, or that has refused or not answered in general, gets no starts for this long.
static constexpr Duration refusalPause(300);
static constexpr Duration unhealthyPause(1500);

// On the worker's clock.
static std::int64_t leaseEndFor(const OwnerState &state, const TrackedWorker &worker, Instant now)
{
    return worker.m_workerClockAtAnswerMs + (taskLeaseEnd(authorityOf(state), now) - worker.m_answeredAt).count();
}

static void noteLease(const OwnerState &state, TrackedWorker &worker, Instant now)
{
    worker.m_leasesExpiredBy = std::max(worker.m_leasesExpiredBy, taskLeasesExpiredBy(now, state.m_context.m_settings.m_taskLease));
}

// The time in which each worker is asked once if the budget is spent evenly.
static Duration reportCycle(const OwnerState &state)
{
    return Duration(static_cast<Duration::rep>(state.m_workers.size() * 1000 / reportBudget));
}

Duration idlePollPause(const OwnerState &state)
{
    return std::max(reportCycle(state) - longestReportWait, Duration(0));
}

void pollWorker(OwnerState &state, TrackedWorker &worker, bool quick, Instant now)
{
    bool &open = quick ? worker.m_immediatePollInFlight : worker.m_pollInFlight;
    if (open) {
        return;
    }
    open = true;
    const bool answers = worker.m_fenceConfirmed && worker.m_missedPolls < missedPollsToStopRenewal;
    const bool renew = state.m_soleOwner && answers;
    const bool waits = !quick && answers && worker.m_pendingRunEnds.empty();
    const auto wait = waits ? (worker.m_tasks.empty() ? longestReportWait : std::clamp(reportCycle(state), busyReportWait, longestReportWait)) : Duration(0);
    if (renew) {
        noteLease(state, worker, now);
    }
    const auto fence = state.m_fence.load();
    requestRunReport(
        *state.m_context.m_workers,
        OrderTarget{.m_worker = worker.m_life->m_worker, .m_address = worker.m_report->m_address, .m_fence = fence, .m_timeout = wait + reportSlack},
        ReportRequest{.m_lastAcknowledgedEnd = worker.m_lastAcknowledgedEnd, .m_leaseEnd = renew ? std::optional(leaseEndFor(state, worker, now)) : std::nullopt, .m_wait = wait},
        [events = state.m_events, life = worker.m_life, fence, now, renew, quick](const ReportReply &reply) {
            events->tryPush(PollCompleted{.m_life = *life, .m_fence = fence, .m_sentAt = now, .m_leaseRenewed = renew, .m_immediate = quick, .m_reply = reply});
        });
}

void orderStart(OwnerState &state, const StartDecision &decision, const PlacementWorker &placement, const JobPointer &job, Instant now)
{
    auto *worker = findWorker(state, *placement.m_life);
    const auto task = findTask(*job, decision.m_task);
    if (!worker || !task) {
        return;
    }
    setTask(state, decision.m_task, startingTask(*task, worker->m_life, decision.m_run, now));
    noteLease(state, *worker, now);
    const auto fence = state.m_fence.load();
    sendStartOrder(*state.m_context.m_workers,
              OrderTarget{.m_worker = worker->m_life->m_worker, .m_address = worker->m_report->m_address, .m_fence = fence, .m_timeout = orderTimeout},
              StartOrder{.m_task = decision.m_task,
                         .m_run = decision.m_run,
                         .m_payload = job->m_spec->m_payload,
                         .m_checkpoint = decision.m_checkpoint,
                         .m_leaseEnd = leaseEndFor(state, *worker, now)},
              [events = state.m_events, reference = decision.m_task, run = decision.m_run, life = worker->m_life, fence, now](const OrderReply &reply) {
                  events->tryPush(StartOrderCompleted{.m_task = reference, .m_run = run, .m_life = *life, .m_fence = fence, .m_sentAt = now, .m_reply = reply});
              });
}

void orderStop(OwnerState &state, const WorkerIncarnation &life, const TaskReference &reference, std::int64_t run, StopReason reason, Instant now)
{
    auto *worker = findWorker(state, life);
    if (!worker) {
        return;
    }
    const auto job = state.m_jobs.find(reference.m_job);
    const auto task = job ? findTask(*job, reference) : nullptr;
    if (task && task->m_assignedWorker && *task->m_assignedWorker == life && task->m_run == run) {
        setTask(state, reference, taskInPhase(*task, TaskPhase::Stopping, true, now));
    }
    FleetMetrics::instance().count(FleetCounter::StopsOrdered, stopReasonName(reason));
    logEvent(LogLevel::Info,
             "stop_ordered",
             {{"request", reference.m_job},
              {"task", taskName(reference)},
              {"run", std::to_string(run)},
              {"worker", life.m_worker},
              {"reason", std::string(stopReasonName(reason))}});
    const auto fence = state.m_fence.load();
    sendStopOrder(*state.m_context.m_workers,
             OrderTarget{.m_worker = life.m_worker, .m_address = worker->m_report->m_address, .m_fence = fence, .m_timeout = orderTimeout},
             reference,
             run,
             [events = state.m_events, reference, run, life, fence](const OrderReply &reply) {
                 events->tryPush(StopOrderCompleted{.m_task = reference, .m_run = run, .m_life = life, .m_fence = fence, .m_reply = reply});
             });
}

static std::string_view answerName(OrderAnswer answer)
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

static void noteRefusal(TrackedWorker &worker, OrderAnswer answer, Instant now)
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
              {"run", std::to_string(event.m_run)},
              {"worker", event.m_life.m_worker},
              {"after_ms", std::to_string((now - event.m_sentAt).count())},
              {"outcome", std::string(answerName(answer))}});
    FleetMetrics::instance().count(FleetCounter::StartOrdersAnswered, answerName(answer));
    FleetMetrics::instance().observe(FleetHistogram::StartOrderSeconds, std::chrono::duration<double>(now - event.m_sentAt).count());
    if (answer == OrderAnswer::Fenced) {
        state.m_context.m_onSuperseded(event.m_fence, "worker " + event.m_life.m_worker + " has seen a higher fence");
    }
    auto *worker = findWorker(state, event.m_life);
    const auto job = state.m_jobs.find(event.m_task.m_job);
    const auto task = job ? findTask(*job, event.m_task) : nullptr;
    const bool current = task && task->m_assignedWorker && *task->m_assignedWorker == event.m_life && task->m_run == event.m_run;
    if (!worker || !current || task->m_phase != TaskPhase::Starting) {
        return;
    }
    if (answer == OrderAnswer::Accepted) {
        setTask(state, event.m_task, taskInPhase(*task, TaskPhase::Running, false, now));
        return;
    }
    noteRefusal(*worker, answer, now);
    if (answer == OrderAnswer::Unanswered) {
        // The run may have begun. The worker's lists tell; see applyPollResult().
        setTask(state, event.m_task, taskInPhase(*task, TaskPhase::Starting, true, now));
        pollWorker(state, *worker, true, now);
        return;
    }
    setTask(state, event.m_task, waitingTask(*task, now));
    state.m_placementNeeded = true;
}

void applyStopResult(OwnerState &state, const StopOrderCompleted &event, Instant now)
{
    if (event.m_reply.m_answer == OrderAnswer::Fenced) {
        state.m_context.m_onSuperseded(event.m_fence, "worker " + event.m_life.m_worker + " has seen a higher fence");
        return;
    }
    const auto job = state.m_jobs.find(event.m_task.m_job);
    const auto task = job ? findTask(*job, event.m_task) : nullptr;
    const bool current = task && task->m_assignedWorker && *task->m_assignedWorker == event.m_life && task->m_run == event.m_run;
    if (!current || task->m_phase != TaskPhase::Stopping) {
        return;
    }
    if (event.m_reply.m_answer == OrderAnswer::Accepted) {
        // The place is free once the worker lists the end, or lists the run no longer.
        setTask(state, event.m_task, taskInPhase(*task, TaskPhase::Stopping, false, now));
        if (auto *worker = findWorker(state, event.m_life)) {
            pollWorker(state, *worker, true, now);
        }
    }
}

} // namespace PrimroseBridge
