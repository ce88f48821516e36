#include "primrosebridge/Runtime/zonescheduler.h"

#include "schedulercore.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Records/codec.h"

#include <algorithm>
#include <cassert>

namespace PrimroseBridge {

struct ZoneScheduler::Private {
    Private(
        const SchedulerSettings &settings, const std::shared_ptr<StoreClient> &store, EventLog &events, Metrics &metrics, const SchedulerCallbacks &callbacks)
        : m_core(settings, store, events, metrics, callbacks)
    {
    }

    SchedulerCore m_core;
    std::unique_ptr<TimerSubscription> m_tick;
    std::thread m_collect;
    std::thread m_pass;
};

// The store holds values of up to 1 MB; the record grows a little with its members.
constexpr std::size_t maxRecordBytes = 900 * 1024;

static Error notOwner()
{
    return Error(
        ErrorKind::Unavailable, "this VM does not own the availability zone now", "send the request again; another VM takes over within 4.5 s", Duration(500));
}

static Error zoneMoved()
{
    return Error(ErrorKind::DeadlineExceeded,
                 "the availability zone changed its owner while the request was waiting",
                 "ask the new owner with the same key",
                 Duration(500));
}

static Error stillRecovering()
{
    return Error(ErrorKind::Unavailable, "the new owner of the availability zone is still reading its records", "send the request again", Duration(200));
}

static Error storeUnreachable()
{
    return Error(ErrorKind::StoreUnavailable,
                 "the store cannot be reached, so the request cannot be recorded; it was not run",
                 "submit it again when the platform's store is back",
                 Duration(2000));
}

static Error keyConflict(const RequestKey &key)
{
    return Error(ErrorKind::Conflict, "the key '" + key.text() + "' names a different request", "use a new key for a new request");
}

static Error unknownKey(const RequestKey &key)
{
    return Error(ErrorKind::NotFound, "no request with the key '" + key.text() + "' is known", "check the key, or submit the request");
}

Result<std::unique_ptr<ZoneScheduler>> ZoneScheduler::create(const SchedulerSettings &settings,
                                                             const std::shared_ptr<StoreClient> &store,
                                                             const std::shared_ptr<TimerService> &timers,
                                                             EventLog &events,
                                                             Metrics &metrics,
                                                             const SchedulerCallbacks &callbacks)
{
    auto state = std::make_unique<Private>(settings, store, events, metrics, callbacks);
    auto &core = state->m_core;
    // An answer that does not fit the inbox is lost, which the next poll or tick makes good.
    const auto deliver = [&core](InboxMessage message) {
        if (!core.m_inbox.tryPush(std::move(message)) && !core.m_inbox.closed()) {
            logEvent(LogLevel::Error, "inbox_full", {});
        }
    };
    auto workers = WorkerClient::create(settings.m_vm.text(), WorkerClientCallbacks{.m_executed = deliver, .m_polled = deliver});
    if (!workers.ok()) {
        return workers.error();
    }
    core.m_workers = workers.take();
    auto records = RecordWriter::create(
        RecordWriterSettings{.m_zone = settings.m_zone, .m_queueCapacity = inboxCapacity}, store, [deliver](const RecordAnswer &answer) { deliver(answer); });
    if (!records.ok()) {
        return records.error();
    }
    core.m_records = records.take();
    state->m_collect = std::thread([&core] { collectMessages(core); });
    state->m_pass = std::thread([&core] { runPasses(core); });
    state->m_tick = timers->subscribe(retryPause, [deliver](Instant now) { deliver(TickMessage{now}); });
    return std::unique_ptr<ZoneScheduler>(new ZoneScheduler(std::move(state)));
}

ZoneScheduler::ZoneScheduler(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

ZoneScheduler::~ZoneScheduler()
{
    shutDown();
}

void ZoneScheduler::shutDown()
{
    auto &core = m_private->m_core;
    if (!m_private->m_pass.joinable()) {
        return;
    }
    m_private->m_tick.reset();
    stopOwning();
    {
        const std::lock_guard lock(core.m_shard.m_mutex);
        core.m_shard.m_stopping = true;
    }
    core.m_shard.m_passDue.notify_all();
    m_private->m_pass.join();
    core.m_inbox.close();
    m_private->m_collect.join();
    core.m_records.reset();
    core.m_workers.reset();
}

static WorkerEntry entryFor(const Worker &worker, Instant now)
{
    WorkerEntry entry;
    entry.m_worker = std::make_shared<const Worker>(worker);
    entry.m_usable = firstAccelerators(worker.m_accelerators);
    entry.m_heardAt = now;
    entry.m_nextPollAt = now;
    entry.m_nextExecuteAt = now;
    return entry;
}

void ZoneScheduler::applyConfiguration(const Configuration &configuration)
{
    auto &core = m_private->m_core;
    const auto now = TimerService::wallClockNow();
    const std::lock_guard lock(core.m_shard.m_mutex);
    assert((!core.m_shard.m_configuration || core.m_shard.m_configuration->m_version <= configuration.m_version) && "configurations never go backwards");
    core.m_shard.m_configuration = std::make_shared<const Configuration>(configuration);
    std::map<WorkerId, WorkerEntry> workers;
    for (const auto &worker : configuration.m_workers) {
        if (worker.m_zone != core.m_settings.m_zone) {
            continue;
        }
        const auto known = core.m_shard.m_workers.find(worker.m_id);
        const bool exists = known != core.m_shard.m_workers.end();
        if (exists && *known->second.m_worker == worker) {
            workers.emplace(worker.m_id, known->second);
            continue;
        }
        auto entry = entryFor(worker, now);
        // The worker refuses sequences that it has seen, so they go on from the last one.
        entry.m_sequence = exists ? known->second.m_sequence : 0;
        workers.emplace(worker.m_id, entry);
    }
    core.m_shard.m_workers.swap(workers);
    requestPass(core);
}

void ZoneScheduler::startOwning(Fence fence)
{
    auto &core = m_private->m_core;
    const auto now = TimerService::wallClockNow();
    {
        const std::lock_guard lock(core.m_shard.m_mutex);
        core.m_shard.m_fence.emplace(fence);
        core.m_shard.m_recovering = true;
        core.m_shard.m_jobs.clear();
        core.m_shard.m_orphans.clear();
        for (auto &[id, entry] : core.m_shard.m_workers) {
            entry = entryFor(*entry.m_worker, now);
        }
    }
    core.m_inbox.push(OwnMessage{fence});
}

void ZoneScheduler::stopOwning()
{
    auto &core = m_private->m_core;
    {
        const std::lock_guard lock(core.m_shard.m_mutex);
        if (!core.m_shard.m_fence) {
            return;
        }
        core.m_shard.m_fence.reset();
        core.m_shard.m_recovering = false;
        core.m_shard.m_jobs.clear();
        core.m_shard.m_orphans.clear();
        core.m_shard.m_explanations.clear();
        core.m_shard.m_lastEvents.clear();
        core.m_shard.m_releasedAt.clear();
    }
    core.m_outcomes.moveAll(TimerService::wallClockNow());
    logEvent(LogLevel::Info, "zone_given_up", {{"zone", core.m_settings.m_zone.text()}});
}

void ZoneScheduler::setLeaving(const std::vector<std::string> &workers)
{
    auto &core = m_private->m_core;
    const std::lock_guard lock(core.m_shard.m_mutex);
    for (auto &[id, entry] : core.m_shard.m_workers) {
        entry.m_listedLeaving = std::find(workers.begin(), workers.end(), id.text()) != workers.end();
    }
    requestPass(core);
}

// A known outcome that answers the submission, or nothing if it has to be accepted.
static std::shared_ptr<const KnownOutcome> earlierOutcome(const SchedulerCore &core, const RequestKey &key)
{
    auto known = core.m_outcomes.find(key);
    if (!known || known->m_moved || known->m_outcome.m_kind == OutcomeKind::NotRun) {
        return nullptr;
    }
    return known;
}

static std::optional<Error> refusal(SchedulerCore &core, const Organisation &organisation, const JobClass &jobClass, Instant now)
{
    if (const auto reason = whyNeverRunnable(makeWorkerStates(core.m_shard, now), jobClass.m_shape)) {
        return Error(ErrorKind::NeverRunnable, *reason, "submit a class whose shape the zone's workers can hold, or ask the operator to add such workers");
    }
    const AdmissionLoad load{.m_queued = queuedByOrganisation(core.m_shard), .m_startsPerSecond = startsPerSecond(core.m_shard, now)};
    if (auto error = admissionError(load, organisation)) {
        core.m_metrics.increment(Counter::AdmissionsRefused, organisation.m_id.text());
        return error;
    }
    if (jobClass.m_durable && (!core.m_callbacks.m_storeReachable() || core.m_records->backlog() > acceptanceBacklog)) {
        return storeUnreachable();
    }
    return std::nullopt;
}

static Request requestFor(const SchedulerCore &core, const SubmitCall &call, const JobClass &jobClass, Instant now)
{
    return Request{
        .m_key = call.m_key,
        .m_organisation = call.m_organisation,
        .m_jobClass = call.m_jobClass,
        .m_zone = core.m_settings.m_zone,
        .m_payload = call.m_payload,
        .m_declaredRunTime = call.m_declaredRunTime > Duration(0) ? call.m_declaredRunTime : jobClass.m_expectedRunTime,
        .m_submittedAt = now,
    };
}

static void acceptJob(SchedulerCore &core, Outgoing &outgoing, const Request &request, const JobClass &jobClass, Instant now)
{
    const auto job = std::make_shared<const Job>(newJob(request, jobClass));
    core.m_shard.m_jobs.emplace(request.m_key, job);
    core.m_outcomes.publish(request.m_key, knownOutcomeOf(*job, now));
    core.m_metrics.increment(Counter::RequestsSubmitted, jobClass.m_id.text());
    recordJobEvent(core, request.m_key, "submitted", formatFields({{"class", jobClass.m_id.text()}, {"organisation", request.m_organisation.text()}}), now);
    if (jobClass.m_durable) {
        const auto writer
            = core.m_settings.m_vm.text() + '/' + std::to_string(core.m_settings.m_incarnation) + '/' + std::to_string(core.m_shard.m_nextOperation++);
        outgoing.m_records.push_back(RecordWrite{.m_kind = RecordKind::Acceptance, .m_job = job, .m_fence = *core.m_shard.m_fence, .m_writer = writer});
        return;
    }
    if (!adoptOrphan(core, outgoing, request.m_key, now)) {
        applyEvent(core, outgoing, AddressedEvent{.m_key = request.m_key, .m_event = JobEvent{.m_kind = JobEventKind::Accepted}}, now);
    }
}

// Accepts the call or joins an earlier request with the same key; an error means that nothing was changed.
static std::optional<Error> beginSubmit(SchedulerCore &core, Outgoing &outgoing, const SubmitCall &call, Instant now)
{
    const std::lock_guard lock(core.m_shard.m_mutex);
    if (!core.m_shard.m_fence || !core.m_shard.m_configuration) {
        return notOwner();
    }
    if (core.m_shard.m_recovering) {
        return stillRecovering();
    }
    const auto *jobClass = findJobClass(*core.m_shard.m_configuration, call.m_jobClass);
    const auto *organisation = findOrganisation(*core.m_shard.m_configuration, call.m_organisation);
    if (!jobClass || !organisation) {
        return Error(ErrorKind::InvalidArgument,
                     "job class '" + call.m_jobClass.text() + "' or organisation '" + call.m_organisation.text() + "' is not configured",
                     "use one that 'primrosectl config show' lists");
    }
    const auto request = requestFor(core, call, *jobClass, now);
    const auto existing = core.m_shard.m_jobs.find(call.m_key);
    if (existing != core.m_shard.m_jobs.end()) {
        return requestFingerprint(existing->second->m_request) == requestFingerprint(request) ? std::nullopt : std::optional(keyConflict(call.m_key));
    }
    if (const auto known = earlierOutcome(core, call.m_key)) {
        return known->m_fingerprint == requestFingerprint(request) ? std::nullopt : std::optional(keyConflict(call.m_key));
    }
    if (auto error = refusal(core, *organisation, *jobClass, now)) {
        return error;
    }
    if (jobClass->m_durable && encodeJob(newJob(request, *jobClass)).size() > maxRecordBytes) {
        return Error(ErrorKind::TooLarge, "the record of the request would exceed " + std::to_string(maxRecordBytes) + " bytes", "send a smaller payload");
    }
    acceptJob(core, outgoing, request, *jobClass, now);
    flushWorkers(core, outgoing, now);
    return std::nullopt;
}

static Result<SchedulerAnswer> awaitOutcome(const SchedulerCore &core, const RequestKey &key, const OrganisationId &organisation, Duration wait)
{
    const auto known = core.m_outcomes.wait(key, wait);
    if (!known || known->m_organisation != organisation) {
        return unknownKey(key);
    }
    if (known->m_moved) {
        return zoneMoved();
    }
    return SchedulerAnswer{.m_outcome = known->m_outcome, .m_otherZone = known->m_otherZone};
}

Result<SchedulerAnswer> ZoneScheduler::submit(const SubmitCall &call, Duration wait)
{
    auto &core = m_private->m_core;
    Outgoing outgoing;
    const auto error = beginSubmit(core, outgoing, call, TimerService::wallClockNow());
    dispatch(core, outgoing);
    if (error) {
        return *error;
    }
    const auto known = core.m_outcomes.wait(call.m_key, wait);
    // The record may have shown that the key belongs to a request that another zone accepted.
    const auto fingerprint = fnv1aDigest(call.m_organisation.text() + '/' + call.m_jobClass.text() + '/' + call.m_payload);
    if (known && known->m_fingerprint != fingerprint) {
        return keyConflict(call.m_key);
    }
    return awaitOutcome(core, call.m_key, call.m_organisation, Duration(0));
}

static std::optional<Error> checkOwning(SchedulerCore &core)
{
    const std::lock_guard lock(core.m_shard.m_mutex);
    if (!core.m_shard.m_fence) {
        return notOwner();
    }
    if (core.m_shard.m_recovering) {
        return stillRecovering();
    }
    return std::nullopt;
}

Result<SchedulerAnswer> ZoneScheduler::get(const RequestKey &key, const OrganisationId &organisation, Duration wait)
{
    auto &core = m_private->m_core;
    const auto known = core.m_outcomes.find(key);
    const bool answered = known && !known->m_moved;
    if (!answered) {
        if (const auto error = checkOwning(core)) {
            return *error;
        }
        return unknownKey(key);
    }
    return awaitOutcome(core, key, organisation, wait);
}

Result<SchedulerAnswer> ZoneScheduler::cancel(const RequestKey &key, const OrganisationId &organisation, Duration wait)
{
    auto &core = m_private->m_core;
    if (const auto error = checkOwning(core)) {
        return *error;
    }
    Outgoing outgoing;
    {
        const auto now = TimerService::wallClockNow();
        const std::lock_guard lock(core.m_shard.m_mutex);
        const auto found = core.m_shard.m_jobs.find(key);
        if (found != core.m_shard.m_jobs.end() && found->second->m_request.m_organisation == organisation) {
            recordJobEvent(core, key, "cancel_requested", {}, now);
            applyEvent(core, outgoing, AddressedEvent{.m_key = key, .m_event = JobEvent{.m_kind = JobEventKind::Cancel}}, now);
            flushWorkers(core, outgoing, now);
        }
    }
    dispatch(core, outgoing);
    return get(key, organisation, wait);
}

static std::vector<GangMember> membersOf(const Job &job)
{
    std::vector<GangMember> members;
    members.reserve(job.m_members.size());
    for (const auto &member : job.m_members) {
        members.push_back(member.m_member);
    }
    return members;
}

Result<JobReport> ZoneScheduler::explain(const RequestKey &key, const OrganisationId &organisation)
{
    auto &core = m_private->m_core;
    {
        const std::lock_guard lock(core.m_shard.m_mutex);
        const auto found = core.m_shard.m_jobs.find(key);
        if (found != core.m_shard.m_jobs.end() && found->second->m_request.m_organisation == organisation) {
            const auto &job = *found->second;
            const auto explained = core.m_shard.m_explanations.find(key);
            const bool known = explained != core.m_shard.m_explanations.end();
            // The outcome of a finished job may not be published yet.
            const auto published = core.m_outcomes.find(key);
            return JobReport{
                .m_phase = std::string(jobPhaseName(job.m_phase)),
                .m_outcome = published ? published->m_outcome : job.m_outcome,
                .m_members = membersOf(job),
                .m_rule = known ? std::string(decisionRuleName(explained->second->m_rule)) : std::string(),
                .m_text = known ? explained->second->m_text : std::string(),
            };
        }
    }
    const auto answer = get(key, organisation, Duration(0));
    if (!answer.ok()) {
        return answer.error();
    }
    return JobReport{.m_phase = "finished", .m_outcome = answer.value().m_outcome, .m_members = {}, .m_rule = {}, .m_text = answer.value().m_outcome.m_reason};
}

std::optional<ZoneSummary> ZoneScheduler::summary(const std::string &peerAddress)
{
    return summarizeZone(m_private->m_core, peerAddress);
}

ZoneReport ZoneScheduler::report()
{
    return reportZone(m_private->m_core);
}

bool ZoneScheduler::recordsWritten() const
{
    return m_private->m_core.m_records->backlog() == 0;
}

} // namespace PrimroseBridge
