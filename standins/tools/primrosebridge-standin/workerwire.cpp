#include "workerwire.h"

#include <algorithm>
#include <iterator>

namespace PrimroseBridge::Standin {

namespace Wire = primrosebridge::wire;

static TaskName fromWire(const Wire::TaskIdentity &message)
{
    return {message.key(), message.fence(), message.attempt(), message.member()};
}

static CommandKind fromWire(Wire::Command::Kind kind)
{
    switch (kind) {
    case Wire::Command::START:
        return CommandKind::Start;
    case Wire::Command::STOP:
        return CommandKind::Stop;
    case Wire::Command::CHECKPOINT:
        return CommandKind::Checkpoint;
    case Wire::Command::THROTTLE:
        return CommandKind::Throttle;
    default:
        return CommandKind::Hold;
    }
}

static Wire::CommandResult::Code toWire(CommandCode code)
{
    switch (code) {
    case CommandCode::Ok:
        return Wire::CommandResult::OK;
    case CommandCode::NoCapacity:
        return Wire::CommandResult::NO_CAPACITY;
    case CommandCode::Leaving:
        return Wire::CommandResult::LEAVING;
    case CommandCode::UnknownTask:
        return Wire::CommandResult::UNKNOWN_TASK;
    case CommandCode::Refused:
        return Wire::CommandResult::REFUSED;
    }
    return Wire::CommandResult::REFUSED;
}

static Wire::TaskReport::State toWire(TaskStatus state)
{
    switch (state) {
    case TaskStatus::Held:
        return Wire::TaskReport::HELD;
    case TaskStatus::Running:
        return Wire::TaskReport::RUNNING;
    case TaskStatus::Checkpointed:
        return Wire::TaskReport::CHECKPOINTED;
    case TaskStatus::Done:
        return Wire::TaskReport::DONE;
    case TaskStatus::Failed:
        return Wire::TaskReport::FAILED;
    case TaskStatus::Stopped:
        return Wire::TaskReport::STOPPED;
    }
    return Wire::TaskReport::STOPPED;
}

static void toWire(const ReportedTask &reported, Wire::TaskReport &message)
{
    const Task &task = *reported.m_task;
    message.mutable_task()->set_key(task.m_name.m_key);
    message.mutable_task()->set_fence(task.m_name.m_fence);
    message.mutable_task()->set_attempt(task.m_name.m_attempt);
    message.mutable_task()->set_member(task.m_name.m_member);
    message.set_state(toWire(task.m_life.m_state));
    message.set_ever_started(task.m_life.m_startedAt.has_value());
    message.set_run_time_ms(reported.m_runTime.count());
    message.set_used_memory_mb(task.m_plan.m_usedMemoryMb);
    message.set_result(reported.m_resultBytes);
    message.set_result_length(reported.m_resultLength);
    message.set_result_digest(reported.m_resultDigest);
    message.set_accelerators(task.m_demand.m_accelerators);
    message.set_cores(task.m_demand.m_cores);
    message.set_memory_mb(task.m_demand.m_memoryMb);
}

Authority fromWire(const Wire::Authority &message)
{
    return {message.fence(), message.sequence()};
}

TaskCommand fromWire(const Wire::Command &message)
{
    return {fromWire(message.kind()),
            fromWire(message.task()),
            {message.accelerators(), message.cores(), message.memory_mb()},
            Duration(message.lease_ms()),
            message.job_class(),
            message.payload(),
            message.resume_from_checkpoint(),
            message.speed_percent()};
}

PollQuestion fromWire(const Wire::PollRequest &message)
{
    std::vector<TaskName> taken;
    std::transform(message.taken().begin(), message.taken().end(), std::back_inserter(taken), [](const Wire::TaskIdentity &task) { return fromWire(task); });
    return {fromWire(message.authority()), Duration(message.lease_ms()), Duration(message.wait_ms()), message.seen_version(), std::move(taken)};
}

void toWire(const ExecuteAnswer &answer, Wire::ExecuteReply &message)
{
    message.set_accepted(answer.m_accepted);
    message.set_current_fence(answer.m_fence);
    message.set_incarnation(answer.m_incarnation);
    message.set_leaving(answer.m_leaving);
    for (const auto &one : answer.m_answers) {
        auto *result = message.add_results();
        result->set_code(toWire(one.m_code));
        result->set_message(one.m_message);
    }
}

void toWire(const PollAnswer &answer, Wire::PollReply &message)
{
    message.set_accepted(answer.m_accepted);
    message.set_current_fence(answer.m_fence);
    message.set_incarnation(answer.m_incarnation);
    message.set_leaving(answer.m_leaving);
    message.set_version(answer.m_version);
    message.set_usage_percent(answer.m_usagePercent);
    message.set_usable_accelerators(answer.m_usable);
    for (const auto &reported : answer.m_tasks) {
        toWire(reported, *message.add_tasks());
    }
}

} // namespace PrimroseBridge::Standin
