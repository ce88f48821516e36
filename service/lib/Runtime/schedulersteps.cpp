#include "schedulercore.h"

#include "primrosebridge/Observe/log.h"

#include <algorithm>

namespace PrimroseBridge {

SchedulerCore::SchedulerCore(
    const SchedulerSettings &settings, std::shared_ptr<StoreClient> store, EventLog &events, Metrics &metrics, SchedulerCallbacks callbacks)
    : m_settings(settings)
    , m_store(std::move(store))
    , m_events(events)
    , m_metrics(metrics)
    , m_callbacks(std::move(callbacks))
    , m_inbox(inboxCapacity)
{
}

KnownOutcome knownOutcomeOf(const Job &job, Instant now)
{
    return KnownOutcome{
        .m_organisation = job.m_request.m_organisation,
        .m_fingerprint = requestFingerprint(job.m_request),
        .m_outcome = job.m_outcome,
        .m_moved = false,
        .m_otherZone = std::nullopt,
        .m_at = now,
    };
}

void recordJobEvent(SchedulerCore &core, const RequestKey &key, std::string_view kind, std::string text, Instant now)
{
    auto &last = core.m_shard.m_lastEvents[key];
    const EventReference cause = last ? *last : EventReference{{}, 0};
    last = std::make_shared<const EventReference>(core.m_events.record(now, kind, key.text(), cause, std::move(text)));
}

void requestPass(SchedulerCore &core)
{
    core.m_shard.m_dirty = true;
    core.m_shard.m_passDue.notify_one();
}

static WorkerCommand simpleCommand(CommandKind kind, const TaskId &task)
{
    return WorkerCommand{.m_kind = kind, .m_task = task};
}

static WorkerCommand holdCommand(const Job &job, std::size_t index)
{
    const auto &member = job.m_members[index].m_member;
    return WorkerCommand{
        .m_kind = CommandKind::Hold,
        .m_task = taskIdOf(job, index),
        .m_accelerators = member.m_accelerators,
        .m_cores = member.m_cores,
        .m_memoryMb = member.m_memoryMb,
        .m_lease = taskLease,
        .m_jobClass = job.m_jobClass.m_id.text(),
        .m_payload = job.m_request.m_payload,
        .m_resume = job.m_hasCheckpoint,
    };
}

static std::vector<WorkerCommand> *pendingOf(SchedulerCore &core, const WorkerId &worker)
{
    const auto found = core.m_shard.m_workers.find(worker);
    return found == core.m_shard.m_workers.end() ? nullptr : &found->second.m_pending;
}

static void queueCommand(SchedulerCore &core, const Job &job, std::size_t index, const WorkerCommand &command)
{
    if (auto *pending = pendingOf(core, job.m_members[index].m_member.m_worker)) {
        pending->push_back(command);
    }
}

static void queueHolds(SchedulerCore &core, const Job &job)
{
    // A message that is repeated after a lost answer may reach a worker that has restarted in between; only an idempotent job may then
    // start again, so only it is held and started by one message.
    const bool startToo = job.m_members.size() == 1 && job.m_jobClass.m_idempotent;
    for (std::size_t index = 0; index < job.m_members.size(); ++index) {
        queueCommand(core, job, index, holdCommand(job, index));
        if (startToo) {
            queueCommand(core, job, index, simpleCommand(CommandKind::Start, taskIdOf(job, index)));
        }
    }
}

static void queueStarts(SchedulerCore &core, const Job &job)
{
    for (std::size_t index = 0; index < job.m_members.size(); ++index) {
        if (job.m_members[index].m_state == MemberState::Held) {
            queueCommand(core, job, index, simpleCommand(CommandKind::Start, taskIdOf(job, index)));
        }
    }
}

static bool isUnsettled(MemberState state)
{
    return state == MemberState::NotKnown || state == MemberState::Held || state == MemberState::Running || state == MemberState::Lost;
}

static void queueStops(SchedulerCore &core, const Job &job, bool checkpoint)
{
    for (std::size_t index = 0; index < job.m_members.size(); ++index) {
        const auto &member = job.m_members[index];
        if (!isUnsettled(member.m_state)) {
            continue;
        }
        const auto task = taskIdOf(job, index);
        if (auto *pending = pendingOf(core, member.m_member.m_worker)) {
            // What has not been sent yet need not be sent any more.
            std::vector<WorkerCommand> kept;
            std::copy_if(pending->begin(), pending->end(), std::back_inserter(kept), [&task](const WorkerCommand &command) { return command.m_task != task; });
            pending->swap(kept);
            const bool canCheckpoint = checkpoint && member.m_state == MemberState::Running;
            pending->push_back(simpleCommand(canCheckpoint ? CommandKind::Checkpoint : CommandKind::Stop, task));
        }
    }
}

static void dropCommands(WorkerEntry &entry, const TaskId &task)
{
    std::vector<WorkerCommand> kept;
    std::copy_if(
        entry.m_pending.begin(), entry.m_pending.end(), std::back_inserter(kept), [&task](const WorkerCommand &command) { return command.m_task != task; });
    entry.m_pending.swap(kept);
}

void forgetTasks(SchedulerCore &core, const Job &job)
{
    for (std::size_t index = 0; index < job.m_members.size(); ++index) {
        const auto found = core.m_shard.m_workers.find(job.m_members[index].m_member.m_worker);
        if (found == core.m_shard.m_workers.end()) {
            continue;
        }
        const auto task = taskIdOf(job, index);
        // A hold that is to be repeated after a lost answer would start the task again on a worker that has forgotten it.
        dropCommands(found->second, task);
        found->second.m_taken.push_back(task);
    }
}

void eraseJob(SchedulerCore &core, const RequestKey &key)
{
    core.m_shard.m_jobs.erase(key);
    core.m_shard.m_explanations.erase(key);
    core.m_shard.m_lastEvents.erase(key);
    core.m_shard.m_releasedAt.erase(key);
    requestPass(core);
}

static std::string writerOf(SchedulerCore &core)
{
    return core.m_settings.m_vm.text() + '/' + std::to_string(core.m_settings.m_incarnation) + '/' + std::to_string(core.m_shard.m_nextOperation++);
}

static void queueRecord(SchedulerCore &core, Outgoing &outgoing, RecordKind kind, const std::shared_ptr<const Job> &job)
{
    if (core.m_shard.m_fence) {
        outgoing.m_records.push_back(RecordWrite{.m_kind = kind, .m_job = job, .m_fence = *core.m_shard.m_fence, .m_writer = writerOf(core)});
    }
}

// Outcomes are published while the shard's lock is held (lock order: worker group, then request key); published later, the pending state of
// a submission overwrote the outcome of a job that had ended in the meantime.
static void publish(SchedulerCore &core, const Job &job, Instant now)
{
    const std::string outcome(outcomeKindName(job.m_outcome.m_kind));
    core.m_outcomes.publish(job.m_request.m_key, knownOutcomeOf(job, now));
    core.m_metrics.increment(Counter::Outcomes, outcome);
    recordJobEvent(core,
                   job.m_request.m_key,
                   "outcome",
                   formatFields({{"outcome", outcome}, {"attempt", std::to_string(job.m_attempt)}, {"reason", job.m_outcome.m_reason}}),
                   now);
    logEvent(LogLevel::Info,
             "outcome",
             {{"key", job.m_request.m_key.text()}, {"outcome", outcome}, {"attempt", std::to_string(job.m_attempt)}, {"reason", job.m_outcome.m_reason}});
}

// Returns false if a failed attempt may not be repeated because its tier's retry budget is spent.
static bool spendRetryBudget(SchedulerCore &core, const Job &job, Instant now)
{
    auto &budget = core.m_shard.m_retryBudgets[job.m_jobClass.m_tier];
    const auto spent = spendRetry(budget ? *budget : initialRetryBudget(now), now);
    if (!spent) {
        return false;
    }
    budget = std::make_shared<const RetryBudget>(*spent);
    core.m_metrics.increment(Counter::Retries, tierName(job.m_jobClass.m_tier));
    return true;
}

// Takes the job as it was before the report: a failed attempt that is queued again no longer names its workers.
static void observeScore(SchedulerCore &core, const Job &before, const JobEvent &event, Instant now)
{
    const bool ended = event.m_state == MemberState::Done || event.m_state == MemberState::Failed;
    const bool known = event.m_index < before.m_members.size();
    if (!ended || !known || !isUnsettled(before.m_members[event.m_index].m_state)) {
        return;
    }
    const auto found = core.m_shard.m_workers.find(before.m_members[event.m_index].m_member.m_worker);
    if (found == core.m_shard.m_workers.end()) {
        return;
    }
    const auto runTime = before.m_startedAt ? std::max(Duration(0), now - *before.m_startedAt) : Duration(0);
    const auto score = found->second.m_score ? *found->second.m_score : initialScore();
    found->second.m_score = std::make_shared<const WorkerScore>(observeTask(score, event.m_state == MemberState::Done, runTime, now));
}

static void observeEstimate(SchedulerCore &core, const Job &job, Instant now)
{
    if (job.m_outcome.m_kind != OutcomeKind::Done || !job.m_startedAt || job.m_request.m_declaredRunTime <= Duration(0)) {
        return;
    }
    const auto reported = std::max(Duration(1), now - *job.m_startedAt);
    auto &estimate = core.m_shard.m_estimates[job.m_jobClass.m_id];
    estimate = std::make_shared<const RunTimeEstimate>(observeRunTime(estimate ? *estimate : initialEstimate(), job.m_request.m_declaredRunTime, reported));
}

static void observeStart(SchedulerCore &core, const Job &job, Instant now)
{
    const auto &jobClass = job.m_jobClass.m_id.text();
    core.m_metrics.increment(Counter::AttemptsStarted, jobClass);
    core.m_shard.m_recentStarts.push_back(now);
    if (core.m_shard.m_recentStarts.size() > recentStartsKept) {
        core.m_shard.m_recentStarts.pop_front();
    }
    if (job.m_attempt == 1) {
        const auto wait = std::chrono::duration<double>(now - job.m_request.m_submittedAt);
        core.m_metrics.observe(Histogram::WaitSeconds, wait.count(), jobClass);
    }
    recordJobEvent(core, job.m_request.m_key, "started", formatFields({{"attempt", std::to_string(job.m_attempt)}}), now);
}

static void observeRelease(SchedulerCore &core, const RequestKey &key, Instant now)
{
    const auto released = core.m_shard.m_releasedAt.find(key);
    if (released == core.m_shard.m_releasedAt.end()) {
        return;
    }
    core.m_metrics.observe(Histogram::ReclaimSeconds, std::chrono::duration<double>(now - released->second).count());
    core.m_shard.m_releasedAt.erase(released);
}

static void requeueJob(SchedulerCore &core, Outgoing &outgoing, const Job &before, const Job &job, Instant now)
{
    const auto &key = job.m_request.m_key;
    observeRelease(core, key, now);
    recordJobEvent(core, key, "queued", formatFields({{"attempts", std::to_string(job.m_attempt)}, {"failures", std::to_string(job.m_failures)}}), now);
    requestPass(core);
    if (job.m_failures > before.m_failures && !spendRetryBudget(core, job, now)) {
        applyEvent(core, outgoing, AddressedEvent{.m_key = key, .m_event = JobEvent{.m_kind = JobEventKind::RetryRefused}}, now);
    }
}

static void finishJob(SchedulerCore &core, const std::shared_ptr<const Job> &job, Instant now)
{
    publish(core, *job, now);
    observeEstimate(core, *job, now);
    observeRelease(core, job->m_request.m_key, now);
    if (job->m_phase == JobPhase::Finished && !job->m_recorded) {
        forgetTasks(core, *job);
        eraseJob(core, job->m_request.m_key);
    }
    requestPass(core);
}

static void carryOut(SchedulerCore &core, Outgoing &outgoing, JobAction action, const Job &before, const std::shared_ptr<const Job> &job, Instant now)
{
    switch (action) {
    case JobAction::WriteAcceptance:
        queueRecord(core, outgoing, RecordKind::Acceptance, job);
        return;
    case JobAction::WriteIntent:
        queueRecord(core, outgoing, RecordKind::Intent, job);
        return;
    case JobAction::WriteOutcome:
        queueRecord(core, outgoing, RecordKind::Outcome, job);
        // The job no longer occupies its workers, even if its outcome is published later.
        observeRelease(core, job->m_request.m_key, now);
        requestPass(core);
        return;
    case JobAction::SendHold:
        queueHolds(core, *job);
        return;
    case JobAction::SendStart:
        queueStarts(core, *job);
        return;
    case JobAction::SendStop:
        queueStops(core, *job, false);
        return;
    case JobAction::SendCheckpoint:
        queueStops(core, *job, true);
        return;
    case JobAction::PublishOutcome:
        finishJob(core, job, now);
        return;
    case JobAction::Requeue:
        requeueJob(core, outgoing, before, *job, now);
        return;
    }
}

void applyEvent(SchedulerCore &core, Outgoing &outgoing, const AddressedEvent &event, Instant now)
{
    const auto found = core.m_shard.m_jobs.find(event.m_key);
    if (found == core.m_shard.m_jobs.end()) {
        return;
    }
    const auto before = found->second;
    const auto step = stepJob(*before, event.m_event, now);
    const auto after = std::make_shared<const Job>(step.m_job);
    found->second = after;
    if (event.m_event.m_kind == JobEventKind::MemberReported && before->m_members != after->m_members) {
        observeScore(core, *before, event.m_event, now);
        // A settled member frees its worker even if the gang has not settled yet.
        requestPass(core);
    }
    if (before->m_phase != JobPhase::Running && after->m_phase == JobPhase::Running) {
        observeStart(core, *after, now);
    }
    for (const auto action : step.m_actions) {
        carryOut(core, outgoing, action, *before, after, now);
    }
}

void dispatch(SchedulerCore &core, Outgoing &outgoing)
{
    for (const auto &write : outgoing.m_records) {
        if (!core.m_records->enqueue(write)) {
            logEvent(LogLevel::Error, "record_queue_full", {{"key", write.m_job->m_request.m_key.text()}});
        }
    }
    for (const auto &call : outgoing.m_executes) {
        core.m_workers->execute(call);
    }
    for (const auto &call : outgoing.m_polls) {
        core.m_workers->poll(call);
    }
    if (outgoing.m_higherFence) {
        core.m_callbacks.m_higherFence(*outgoing.m_higherFence);
    }
    if (outgoing.m_fenceLost) {
        core.m_callbacks.m_fenceLost();
    }
}

} // namespace PrimroseBridge
