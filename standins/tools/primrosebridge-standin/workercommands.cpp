#include "worker.h"

namespace PrimroseBridge::Standin {

static CommandAnswer refused(const std::string &message)
{
    return {CommandCode::Refused, message};
}

void Worker::set(const TaskPointer &task, Instant now)
{
    m_tasks.insert_or_assign(task->m_name, task);
    m_books.update(m_bookNumbers.at(task->m_name), task);
    ++m_version;
    noteUsage(now);
}

void Worker::end(const TaskPointer &task, TaskStatus state, const std::string &ending, Instant now)
{
    set(ended(*task, state, ending, now), now);
}

std::optional<CommandAnswer> Worker::refusalOfHold(const TaskDemand &demand) const
{
    if (m_faults->m_leaving) {
        return CommandAnswer{CommandCode::Leaving, "the worker is leaving"};
    }
    if ((demand.m_accelerators & ~m_faults->m_usable) != 0) {
        return CommandAnswer{CommandCode::NoCapacity, "an accelerator is missing"};
    }
    std::int64_t cores = demand.m_cores;
    std::int64_t memoryMb = demand.m_memoryMb;
    for (const auto &[name, task] : m_tasks) {
        if (!occupies(*task)) {
            continue;
        }
        if ((task->m_demand.m_accelerators & demand.m_accelerators) != 0) {
            return CommandAnswer{CommandCode::NoCapacity, "an accelerator is held by " + name.m_key};
        }
        cores += task->m_demand.m_cores;
        memoryMb += task->m_demand.m_memoryMb;
    }
    if (cores > m_spec.m_cores || memoryMb > m_spec.m_memoryMb) {
        return CommandAnswer{CommandCode::NoCapacity, "cores or memory are exhausted"};
    }
    return std::nullopt;
}

CommandAnswer Worker::hold(const TaskCommand &command, Instant now)
{
    if (const auto known = m_tasks.find(command.m_task); known != m_tasks.end()) {
        return !occupies(*known->second) ? refused("the task has ended") : CommandAnswer{CommandCode::Ok, ""};
    }
    if (const auto refusal = refusalOfHold(command.m_demand)) {
        if (refusal->m_code == CommandCode::Leaving) {
            m_books.count("refusedLeaving");
        }
        return *refusal;
    }
    const auto &name = command.m_task;
    const Duration progress = command.m_resume ? m_checkpoints.load(name.m_key, name.m_member) : Duration(0);
    const auto task = std::make_shared<const Task>(Task{name,
                                                        command.m_jobClass,
                                                        command.m_demand,
                                                        planFromPayload(command.m_payload, name.m_key),
                                                        command.m_resume,
                                                        {TaskStatus::Held, now, std::nullopt, std::nullopt, ""},
                                                        {progress, now, 100},
                                                        now + command.m_lease});
    m_bookNumbers.insert_or_assign(name, m_books.add(m_spec.m_id, m_spec.m_zone, task));
    set(task, now);
    return {CommandCode::Ok, ""};
}

CommandAnswer Worker::start(const TaskPointer &task, Instant now)
{
    if (task->m_life.m_startedAt) {
        return {CommandCode::Ok, ""};
    }
    if (!occupies(*task)) {
        return refused("the task was stopped before it started");
    }
    const auto running = started(*task, now);
    set(running, now);
    if (m_faults->m_failTasks) {
        end(running, TaskStatus::Failed, "failed", now);
    }
    return {CommandCode::Ok, ""};
}

CommandAnswer Worker::stop(const TaskPointer &task, Instant now)
{
    if (occupies(*task)) {
        end(task, TaskStatus::Stopped, "stopped", now);
    }
    return {CommandCode::Ok, ""};
}

CommandAnswer Worker::checkpoint(const TaskPointer &task, Instant now)
{
    if (task->m_life.m_state == TaskStatus::Checkpointed) {
        return {CommandCode::Ok, ""};
    }
    if (task->m_life.m_state != TaskStatus::Running) {
        return refused("only a running task can be checkpointed");
    }
    m_checkpoints.save(task->m_name.m_key, task->m_name.m_member, doneAt(*task, m_faults->m_speedPercent, now));
    end(task, TaskStatus::Checkpointed, "checkpointed", now);
    return {CommandCode::Ok, ""};
}

CommandAnswer Worker::throttle(const TaskPointer &task, int percent, Instant now)
{
    if (percent < 1 || percent > 100) {
        return refused("a speed must be 1 to 100 percent");
    }
    if (!occupies(*task)) {
        return refused("the task has ended");
    }
    set(withProgress(*task, {doneAt(*task, m_faults->m_speedPercent, now), now, percent}), now);
    return {CommandCode::Ok, ""};
}

CommandAnswer Worker::run(const TaskCommand &command, Instant now)
{
    if (command.m_kind == CommandKind::Hold) {
        return hold(command, now);
    }
    const auto known = m_tasks.find(command.m_task);
    if (known == m_tasks.end()) {
        return {CommandCode::UnknownTask, "the worker has no such task"};
    }
    const TaskPointer task = known->second;
    switch (command.m_kind) {
    case CommandKind::Start:
        return start(task, now);
    case CommandKind::Stop:
        return stop(task, now);
    case CommandKind::Checkpoint:
        return checkpoint(task, now);
    case CommandKind::Throttle:
        return throttle(task, command.m_speedPercent, now);
    case CommandKind::Hold:
        break;
    }
    return refused("the command is not known");
}

} // namespace PrimroseBridge::Standin
