#include "schedulercore.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Records/codec.h"

namespace PrimroseBridge {

static void onRecorded(SchedulerCore &core, Outgoing &outgoing, const RecordAnswer &answer, Instant now)
{
    const auto &job = *answer.m_write.m_job;
    const auto &key = job.m_request.m_key;
    const bool current = core.m_shard.m_fence && *core.m_shard.m_fence == answer.m_write.m_fence;
    if (!current) {
        return;
    }
    if (answer.m_result == RecordResult::FenceLost) {
        outgoing.m_fenceLost = true;
        return;
    }
    switch (answer.m_write.m_kind) {
    case RecordKind::Acceptance:
        if (answer.m_result == RecordResult::Written) {
            applyEvent(core, outgoing, AddressedEvent{.m_key = key, .m_event = JobEvent{.m_kind = JobEventKind::Accepted}}, now);
            return;
        }
        break;
    case RecordKind::Intent:
        applyEvent(core, outgoing, AddressedEvent{.m_key = key, .m_event = JobEvent{.m_kind = JobEventKind::IntentRecorded}}, now);
        return;
    case RecordKind::Outcome:
        applyEvent(core, outgoing, AddressedEvent{.m_key = key, .m_event = JobEvent{.m_kind = JobEventKind::OutcomeRecorded}}, now);
        forgetTasks(core, job);
        eraseJob(core, key);
        return;
    }
    // The acceptance was refused: nothing of it exists, or the key belongs to an earlier request.
    const bool duplicate = answer.m_result == RecordResult::Duplicate && answer.m_existing;
    const Outcome refused{
        .m_kind = OutcomeKind::NotRun,
        .m_result = {},
        .m_reason = "the store could not be reached to record the request; submit it again later",
        .m_attempt = 0,
    };
    const Outcome pending{.m_kind = OutcomeKind::Pending, .m_result = {}, .m_reason = {}, .m_attempt = 0};
    const bool elsewhere = duplicate && !answer.m_existing->m_outcome && answer.m_existing->m_zone != core.m_settings.m_zone;
    core.m_outcomes.publish(key,
                            KnownOutcome{
                                .m_organisation = duplicate ? answer.m_existing->m_organisation : job.m_request.m_organisation,
                                .m_fingerprint = duplicate ? answer.m_existing->m_fingerprint : requestFingerprint(job.m_request),
                                .m_outcome = duplicate ? answer.m_existing->m_outcome.value_or(pending) : refused,
                                .m_moved = duplicate && !answer.m_existing->m_outcome && !elsewhere,
                                .m_otherZone = elsewhere ? std::optional<ZoneId>(answer.m_existing->m_zone) : std::nullopt,
                                .m_at = now,
                            });
    eraseJob(core, key);
}

// Reads the jobs without an outcome. Blocks on the store, so the shard's lock is not held.
static std::optional<std::vector<Job>> readActiveJobs(SchedulerCore &core)
{
    const auto listed = core.m_store->list(activePrefix(core.m_settings.m_zone));
    if (!listed.ok()) {
        logEvent(LogLevel::Warn, "recovery_read_failed", {{"error", listed.error().what()}});
        return std::nullopt;
    }
    std::vector<Job> jobs;
    for (const auto &entry : listed.value().m_keys) {
        const auto job = decodeJob(entry.m_value);
        if (!job.ok()) {
            logEvent(LogLevel::Error, "record_damaged", {{"key", entry.m_key}, {"error", job.error().what()}});
            continue;
        }
        jobs.push_back(recoveredJob(job.value()));
    }
    return jobs;
}

// Returns false if the records could not be read and the message has to be processed again.
static bool onOwn(SchedulerCore &core, Outgoing &outgoing, const Fence &fence)
{
    const auto jobs = readActiveJobs(core);
    const auto now = TimerService::wallClockNow();
    const std::lock_guard lock(core.m_shard.m_mutex);
    if (!core.m_shard.m_fence || *core.m_shard.m_fence != fence) {
        return true;
    }
    if (!jobs) {
        return false;
    }
    for (const auto &job : *jobs) {
        core.m_shard.m_jobs.insert_or_assign(job.m_request.m_key, std::make_shared<const Job>(job));
        core.m_outcomes.publish(job.m_request.m_key, knownOutcomeOf(job, now));
        recordJobEvent(core, job.m_request.m_key, "recovered", formatFields({{"phase", std::string(jobPhaseName(job.m_phase))}}), now);
    }
    core.m_shard.m_recovering = false;
    core.m_metrics.increment(Counter::Takeovers);
    core.m_events.record(
        now, "zone_owned", {}, EventReference{{}, 0}, formatFields({{"fence", std::to_string(fence.m_number)}, {"jobs", std::to_string(jobs->size())}}));
    logEvent(LogLevel::Info,
             "zone_owned",
             {{"zone", core.m_settings.m_zone.text()}, {"fence", std::to_string(fence.m_number)}, {"jobs", std::to_string(jobs->size())}});
    pollWorkers(core, outgoing, now);
    requestPass(core);
    return true;
}

static void stopOvertime(SchedulerCore &core, Outgoing &outgoing, Instant now)
{
    std::vector<RequestKey> overtime;
    for (const auto &[key, job] : core.m_shard.m_jobs) {
        if (job->m_phase == JobPhase::Running && job->m_startedAt && now - *job->m_startedAt > job->m_jobClass.m_maxRunTime) {
            overtime.push_back(key);
        }
    }
    for (const auto &key : overtime) {
        recordJobEvent(core, key, "overtime", {}, now);
        applyEvent(core, outgoing, AddressedEvent{.m_key = key, .m_event = JobEvent{.m_kind = JobEventKind::Overtime}}, now);
    }
}

static void onTick(SchedulerCore &core, Outgoing &outgoing, Instant now)
{
    if (!core.m_shard.m_fence || core.m_shard.m_recovering) {
        return;
    }
    expireWorkers(core, outgoing, now);
    stopOvertime(core, outgoing, now);
    pollWorkers(core, outgoing, now);
    // Waiting changes the order of the queue, so a pass is due even if nothing else happened.
    requestPass(core);
}

static void processMessage(SchedulerCore &core, const InboxMessage &message)
{
    Outgoing outgoing;
    if (const auto *own = std::get_if<OwnMessage>(&message)) {
        if (!onOwn(core, outgoing, own->m_fence)) {
            std::this_thread::sleep_for(retryPause);
            core.m_inbox.tryPush(*own);
        }
        dispatch(core, outgoing);
        return;
    }
    const auto now = TimerService::wallClockNow();
    {
        const std::lock_guard lock(core.m_shard.m_mutex);
        if (const auto *executed = std::get_if<ExecuteAnswer>(&message)) {
            onExecuted(core, outgoing, *executed, now);
        } else if (const auto *polled = std::get_if<PollAnswer>(&message)) {
            onPolled(core, outgoing, *polled, now);
        } else if (const auto *recorded = std::get_if<RecordAnswer>(&message)) {
            onRecorded(core, outgoing, *recorded, now);
        } else if (std::holds_alternative<TickMessage>(message)) {
            onTick(core, outgoing, now);
        }
        flushWorkers(core, outgoing, now);
    }
    if (std::holds_alternative<TickMessage>(message)) {
        core.m_outcomes.forget(now - outcomeRetention);
    }
    dispatch(core, outgoing);
}

void collectMessages(SchedulerCore &core)
{
    while (const auto message = core.m_inbox.pop()) {
        processMessage(core, *message);
    }
}

} // namespace PrimroseBridge
