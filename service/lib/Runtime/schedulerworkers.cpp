#include "schedulercore.h"

#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace PrimroseBridge {

static Authority nextAuthority(SchedulerCore &core, WorkerEntry &entry)
{
    return Authority{.m_fence = core.m_shard.m_fence->m_number, .m_sequence = ++entry.m_sequence};
}

void flushWorkers(SchedulerCore &core, Outgoing &outgoing, Instant now)
{
    if (!core.m_shard.m_fence || !core.m_callbacks.m_mayCommand(now)) {
        return;
    }
    for (auto &[id, entry] : core.m_shard.m_workers) {
        const bool ready = entry.m_fenced && !entry.m_lost && !entry.m_executeInFlight && now >= entry.m_nextExecuteAt;
        if (!ready || entry.m_pending.empty()) {
            continue;
        }
        std::vector<WorkerCommand> commands;
        commands.swap(entry.m_pending);
        entry.m_executeInFlight = true;
        outgoing.m_executes.push_back(ExecuteCall{
            .m_worker = id,
            .m_address = entry.m_worker->m_address,
            .m_authority = nextAuthority(core, entry),
            .m_commands = commands,
        });
    }
}

static void pollWorker(SchedulerCore &core, Outgoing &outgoing, const WorkerId &id, WorkerEntry &entry)
{
    entry.m_pollInFlight = true;
    outgoing.m_polls.push_back(PollCall{
        .m_worker = id,
        .m_address = entry.m_worker->m_address,
        .m_authority = nextAuthority(core, entry),
        .m_lease = taskLease,
        .m_wait = entry.m_fenced ? pollWait : Duration(0),
        .m_seenVersion = entry.m_seenVersion,
        // While commands are on their way, a worker must not forget a task that they may hold again.
        .m_taken = entry.m_executeInFlight ? std::vector<TaskId>{} : entry.m_taken,
    });
}

void pollWorkers(SchedulerCore &core, Outgoing &outgoing, Instant now)
{
    const bool owning = core.m_shard.m_fence && !core.m_shard.m_recovering;
    if (!owning || !core.m_callbacks.m_mayCommand(now)) {
        return;
    }
    for (auto &[id, entry] : core.m_shard.m_workers) {
        if (!entry.m_pollInFlight && now >= entry.m_nextPollAt) {
            pollWorker(core, outgoing, id, entry);
        }
    }
}

static bool isOwnAnswer(const SchedulerCore &core, const WorkerAnswer &answer)
{
    return core.m_shard.m_fence && core.m_shard.m_fence->m_number == answer.m_authority.m_fence;
}

// Commands that were not answered are sent again before newer ones, as long as their attempt is current.
static void restoreCommands(SchedulerCore &core, WorkerEntry &entry, const std::vector<WorkerCommand> &commands)
{
    std::vector<WorkerCommand> pending;
    for (const auto &command : commands) {
        const auto job = core.m_shard.m_jobs.find(command.m_task.m_key);
        const bool starts = command.m_kind == CommandKind::Hold || command.m_kind == CommandKind::Start;
        const bool current
            = job != core.m_shard.m_jobs.end() && job->second->m_attempt == command.m_task.m_attempt && job->second->m_fence == command.m_task.m_fence;
        const bool wanted = current && (job->second->m_phase == JobPhase::Holding || job->second->m_phase == JobPhase::Starting);
        if (!starts || wanted) {
            pending.push_back(command);
        }
    }
    std::copy(entry.m_pending.begin(), entry.m_pending.end(), std::back_inserter(pending));
    entry.m_pending.swap(pending);
}

static void hearFrom(WorkerEntry &entry, const WorkerAnswer &answer, Instant now)
{
    entry.m_heardAt = now;
    entry.m_answering = true;
    entry.m_lost = false;
    entry.m_leaving = answer.m_leaving;
    entry.m_incarnation = answer.m_incarnation;
}

// Returns true if the answer was accepted and may be interpreted.
static bool checkAccepted(SchedulerCore &core, Outgoing &outgoing, WorkerEntry &entry, const WorkerAnswer &answer)
{
    if (!answer.m_delivered) {
        if (entry.m_answering) {
            logEvent(LogLevel::Warn, "worker_not_answering", {{"worker", answer.m_worker.text()}});
            requestPass(core);
        }
        entry.m_answering = false;
        return false;
    }
    if (!answer.m_accepted && answer.m_currentFence > answer.m_authority.m_fence) {
        outgoing.m_higherFence = answer.m_currentFence;
        return false;
    }
    return answer.m_accepted;
}

// A refused sequence under the same fence only means that a newer message overtook this one, so it is sent again at once; waiting for the
// next tick delayed answers by 250 ms. After a refusal for a higher fence, sending again at once would only repeat it.
static bool wasOvertaken(const WorkerAnswer &answer)
{
    return answer.m_delivered && answer.m_currentFence <= answer.m_authority.m_fence;
}

void onExecuted(SchedulerCore &core, Outgoing &outgoing, const ExecuteAnswer &answer, Instant now)
{
    const auto found = core.m_shard.m_workers.find(answer.m_answer.m_worker);
    if (found == core.m_shard.m_workers.end() || !isOwnAnswer(core, answer.m_answer)) {
        return;
    }
    auto &entry = found->second;
    entry.m_executeInFlight = false;
    if (!checkAccepted(core, outgoing, entry, answer.m_answer)) {
        restoreCommands(core, entry, answer.m_commands);
        entry.m_nextExecuteAt = wasOvertaken(answer.m_answer) ? now : now + retryPause;
        return;
    }
    hearFrom(entry, answer.m_answer, now);
    if (std::find(answer.m_codes.begin(), answer.m_codes.end(), CommandCode::Leaving) != answer.m_codes.end()) {
        entry.m_leaving = true;
    }
    for (const auto &event : concludeExecute(core.m_shard.m_jobs, answer)) {
        applyEvent(core, outgoing, event, now);
    }
}

static void forgetTaken(WorkerEntry &entry, const std::vector<TaskId> &taken)
{
    std::vector<TaskId> kept;
    std::copy_if(entry.m_taken.begin(), entry.m_taken.end(), std::back_inserter(kept), [&taken](const TaskId &task) {
        return std::find(taken.begin(), taken.end(), task) == taken.end();
    });
    entry.m_taken.swap(kept);
}

static bool isLive(const ReportedTask &task)
{
    return task.m_report.m_state == TaskStatus::Held || task.m_report.m_state == TaskStatus::Running;
}

static void addOrphan(SchedulerCore &core, WorkerEntry &entry, const PollAnswer &answer, const ReportedTask &task, Instant now)
{
    const auto &id = task.m_report.m_task;
    const auto known = core.m_outcomes.find(id.m_key);
    const bool answered = known && isFinal(known->m_outcome.m_kind);
    if (answered && !isLive(task)) {
        entry.m_taken.push_back(id);
        return;
    }
    const auto existing = core.m_shard.m_orphans.find(id);
    const auto seenAt = existing == core.m_shard.m_orphans.end() ? now : existing->second->m_seenAt;
    core.m_shard.m_orphans.insert_or_assign(id,
                                            std::make_shared<const OrphanTask>(OrphanTask{
                                                .m_worker = answer.m_answer.m_worker,
                                                .m_incarnation = answer.m_answer.m_incarnation,
                                                .m_sequence = answer.m_answer.m_authority.m_sequence,
                                                .m_task = task,
                                                .m_seenAt = seenAt,
                                            }));
}

static void replaceOrphans(SchedulerCore &core, WorkerEntry &entry, const PollAnswer &answer, const std::vector<ReportedTask> &orphans, Instant now)
{
    for (const auto &task : orphans) {
        addOrphan(core, entry, answer, task, now);
    }
    std::erase_if(core.m_shard.m_orphans, [&](const auto &known) {
        const bool here = known.second->m_worker == answer.m_answer.m_worker;
        return here && std::none_of(orphans.begin(), orphans.end(), [&](const ReportedTask &task) { return task.m_report.m_task == known.first; });
    });
}

static void applyConclusions(SchedulerCore &core, Outgoing &outgoing, WorkerEntry &entry, const PollAnswer &answer, Instant now)
{
    const auto conclusions = concludePoll(core.m_shard.m_jobs, answer);
    for (const auto check : conclusions.m_dropped) {
        core.m_metrics.increment(Counter::AnswersDropped, answerCheckName(check));
        logEvent(LogLevel::Warn, "answer_dropped", {{"worker", answer.m_answer.m_worker.text()}, {"check", std::string(answerCheckName(check))}});
    }
    if (!conclusions.m_dropped.empty()) {
        // Asks for the whole report again, but not in a tight loop.
        entry.m_seenVersion = 0;
        entry.m_nextPollAt = now + damagedAnswerPause;
    }
    for (const auto &task : conclusions.m_stop) {
        entry.m_pending.push_back(WorkerCommand{.m_kind = CommandKind::Stop, .m_task = task});
    }
    std::copy(conclusions.m_taken.begin(), conclusions.m_taken.end(), std::back_inserter(entry.m_taken));
    replaceOrphans(core, entry, answer, conclusions.m_orphans, now);
    for (const auto &event : conclusions.m_events) {
        applyEvent(core, outgoing, event, now);
    }
}

void onPolled(SchedulerCore &core, Outgoing &outgoing, const PollAnswer &answer, Instant now)
{
    const auto found = core.m_shard.m_workers.find(answer.m_answer.m_worker);
    if (found == core.m_shard.m_workers.end() || !isOwnAnswer(core, answer.m_answer)) {
        return;
    }
    auto &entry = found->second;
    entry.m_pollInFlight = false;
    if (!checkAccepted(core, outgoing, entry, answer.m_answer)) {
        entry.m_nextPollAt = wasOvertaken(answer.m_answer) ? now : now + retryPause;
        pollWorkers(core, outgoing, now);
        return;
    }
    const auto usable = answer.m_usable & firstAccelerators(entry.m_worker->m_accelerators);
    const bool changed = !entry.m_fenced || !entry.m_answering || usable != entry.m_usable || entry.m_leaving != answer.m_answer.m_leaving;
    hearFrom(entry, answer.m_answer, now);
    entry.m_fenced = true;
    entry.m_usable = usable;
    entry.m_seenVersion = answer.m_version;
    entry.m_nextPollAt = now;
    forgetTaken(entry, answer.m_taken);
    applyConclusions(core, outgoing, entry, answer, now);
    if (changed) {
        requestPass(core);
    }
    pollWorkers(core, outgoing, now);
}

static void declareLost(SchedulerCore &core, Outgoing &outgoing, const WorkerId &id, WorkerEntry &entry, Instant now)
{
    entry.m_lost = true;
    entry.m_fenced = false;
    std::vector<WorkerCommand> kept;
    std::copy_if(entry.m_pending.begin(), entry.m_pending.end(), std::back_inserter(kept), [](const WorkerCommand &command) {
        return command.m_kind == CommandKind::Stop;
    });
    entry.m_pending.swap(kept);
    logEvent(LogLevel::Warn, "worker_lost", {{"worker", id.text()}});
    core.m_events.record(now, "worker_lost", {}, EventReference{{}, 0}, formatFields({{"worker", id.text()}}));
    for (const auto &event : concludeLost(core.m_shard.m_jobs, id)) {
        applyEvent(core, outgoing, event, now);
    }
}

static void giveUpOrphans(SchedulerCore &core, Instant now)
{
    for (auto orphan = core.m_shard.m_orphans.begin(); orphan != core.m_shard.m_orphans.end();) {
        const auto &value = *orphan->second;
        const auto worker = core.m_shard.m_workers.find(value.m_worker);
        if (worker == core.m_shard.m_workers.end()) {
            orphan = core.m_shard.m_orphans.erase(orphan);
            continue;
        }
        if (now - value.m_seenAt < orphanGrace) {
            ++orphan;
            continue;
        }
        if (isLive(value.m_task)) {
            worker->second.m_pending.push_back(WorkerCommand{.m_kind = CommandKind::Stop, .m_task = orphan->first});
        } else {
            worker->second.m_taken.push_back(orphan->first);
        }
        orphan = core.m_shard.m_orphans.erase(orphan);
    }
}

// Workers that the configuration no longer lists, but that jobs still have members on; nobody polls them.
static std::set<WorkerId> removedWorkers(const ZoneShard &shard)
{
    std::set<WorkerId> removed;
    for (const auto &[key, job] : shard.m_jobs) {
        for (const auto &member : job->m_members) {
            const bool open = member.m_state == MemberState::NotKnown || member.m_state == MemberState::Held || member.m_state == MemberState::Running;
            if (open && !shard.m_workers.contains(member.m_member.m_worker)) {
                removed.insert(member.m_member.m_worker);
            }
        }
    }
    return removed;
}

void expireWorkers(SchedulerCore &core, Outgoing &outgoing, Instant now)
{
    for (const auto &worker : removedWorkers(core.m_shard)) {
        for (const auto &event : concludeLost(core.m_shard.m_jobs, worker)) {
            applyEvent(core, outgoing, event, now);
        }
    }
    for (auto &[id, entry] : core.m_shard.m_workers) {
        if (!entry.m_lost && now - entry.m_heardAt > lostAfter) {
            declareLost(core, outgoing, id, entry, now);
        }
    }
    giveUpOrphans(core, now);
}

// The newest attempt that workers report for this key; an older one is stopped once the job has its attempt.
static std::shared_ptr<const OrphanTask> newestOrphan(const ZoneShard &shard, const RequestKey &key)
{
    std::shared_ptr<const OrphanTask> newest;
    for (const auto &[task, orphan] : shard.m_orphans) {
        if (task.m_key == key && task.m_member == 0) {
            newest = orphan; // The map is ordered by fence and attempt.
        }
    }
    return newest;
}

static bool canContinue(const OrphanTask &orphan)
{
    return isLive(orphan.m_task) || orphan.m_task.m_report.m_state == TaskStatus::Done;
}

bool adoptOrphan(SchedulerCore &core, Outgoing &outgoing, const RequestKey &key, Instant now)
{
    const auto orphan = newestOrphan(core.m_shard, key);
    const auto found = core.m_shard.m_jobs.find(key);
    assert(found != core.m_shard.m_jobs.end() && "only a submitted job adopts a task");
    const auto job = found->second;
    const auto adjacency = job->m_jobClass.m_shape.m_adjacency;
    // How many members an unrecorded gang had is not known, so only a job that fits one worker is continued.
    const bool singleMember = adjacency == Adjacency::SameWorker || job->m_jobClass.m_shape.m_accelerators <= 1;
    if (!orphan || !singleMember || !job->m_jobClass.m_idempotent || !canContinue(*orphan)) {
        return false;
    }
    const auto &report = orphan->m_task.m_report;
    found->second = std::make_shared<const Job>(Job{
        .m_request = job->m_request,
        .m_jobClass = job->m_jobClass,
        .m_phase = JobPhase::Recovering,
        .m_stopCause = StopCause::None,
        .m_fence = report.m_task.m_fence,
        .m_attempt = report.m_task.m_attempt,
        .m_failures = 0,
        .m_members = {MemberStatus{
            .m_member =
                GangMember{
                    .m_worker = orphan->m_worker,
                    .m_accelerators = orphan->m_task.m_accelerators,
                    .m_cores = orphan->m_task.m_cores,
                    .m_memoryMb = orphan->m_task.m_memoryMb,
                },
            .m_incarnation = orphan->m_incarnation,
            .m_state = MemberState::NotKnown,
            .m_heldAt = 0,
            .m_result = {},
        }},
        .m_startedAt = std::nullopt,
        .m_cancelRequested = false,
        .m_hasCheckpoint = false,
        .m_recorded = false,
        .m_outcome = job->m_outcome,
    });
    core.m_shard.m_orphans.erase(report.m_task);
    recordJobEvent(core, key, "adopted", formatFields({{"worker", orphan->m_worker.text()}, {"attempt", std::to_string(report.m_task.m_attempt)}}), now);
    if (checkAnswer(*found->second, report) == AnswerCheck::Whole) {
        const JobEvent event{
            .m_kind = JobEventKind::MemberReported,
            .m_index = 0,
            .m_state = memberStateOf(report),
            .m_sequence = orphan->m_sequence,
            .m_result = report.m_result,
        };
        applyEvent(core, outgoing, AddressedEvent{.m_key = key, .m_event = event}, now);
    }
    return true;
}

} // namespace PrimroseBridge
