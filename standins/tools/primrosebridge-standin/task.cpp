#include "task.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace PrimroseBridge::Standin {

namespace {

constexpr Duration defaultRunTime(100);
constexpr Duration longestRunTime(std::chrono::hours(24));

Duration clampedRunTime(std::int64_t milliseconds)
{
    return std::clamp(Duration(milliseconds), Duration(0), longestRunTime);
}

// Speeds are percentages, and a product of two of them has the unit 1/10000.
std::int64_t speedOf(const Task &task, int workerPercent)
{
    return std::max<std::int64_t>(1, std::int64_t(task.m_progress.m_throttlePercent) * workerPercent);
}

} // namespace

RunPlan planFromPayload(const std::string &payload, const std::string &key)
{
    const auto document = nlohmann::json::parse(payload, nullptr, false);
    RunPlan fallback{defaultRunTime, "ok:" + key, false, 0};
    if (!document.is_object()) {
        return fallback;
    }
    try {
        return {clampedRunTime(document.value("runMs", defaultRunTime.count())),
                document.value("result", fallback.m_result),
                document.value("fail", false),
                document.value("usedMemoryMb", std::int64_t(0))};
    } catch (const nlohmann::json::exception &) {
        return fallback;
    }
}

std::uint64_t resultDigest(const TaskName &task, const std::string &result)
{
    return fnv1aDigest(task.m_key + '/' + std::to_string(task.m_fence) + '/' + std::to_string(task.m_attempt) + '/' + std::to_string(task.m_member) + '/'
                       + result);
}

bool occupies(const Task &task)
{
    return task.m_life.m_state == TaskStatus::Held || task.m_life.m_state == TaskStatus::Running;
}

TaskPointer withLife(const Task &task, const TaskLife &life)
{
    return std::make_shared<const Task>(Task{task.m_name, task.m_jobClass, task.m_demand, task.m_plan, task.m_resumed, life, task.m_progress, task.m_leaseEnd});
}

TaskPointer withProgress(const Task &task, const TaskProgress &progress)
{
    return std::make_shared<const Task>(Task{task.m_name, task.m_jobClass, task.m_demand, task.m_plan, task.m_resumed, task.m_life, progress, task.m_leaseEnd});
}

TaskPointer withLease(const Task &task, Instant leaseEnd)
{
    return std::make_shared<const Task>(Task{task.m_name, task.m_jobClass, task.m_demand, task.m_plan, task.m_resumed, task.m_life, task.m_progress, leaseEnd});
}

TaskPointer started(const Task &task, Instant now)
{
    const auto running = withLife(task, {TaskStatus::Running, task.m_life.m_heldAt, now, std::nullopt, ""});
    return withProgress(*running, {task.m_progress.m_done, now, task.m_progress.m_throttlePercent});
}

TaskPointer ended(const Task &task, TaskStatus state, const std::string &ending, Instant now)
{
    return withLife(task, {state, task.m_life.m_heldAt, task.m_life.m_startedAt, now, ending});
}

Duration doneAt(const Task &task, int workerPercent, Instant now)
{
    if (task.m_life.m_state != TaskStatus::Running) {
        return task.m_progress.m_done;
    }
    const Duration passed = std::max(Duration(0), now - task.m_progress.m_since);
    return task.m_progress.m_done + passed * speedOf(task, workerPercent) / 10000;
}

Instant finishAt(const Task &task, int workerPercent)
{
    const Duration left = std::max(Duration(0), task.m_plan.m_runTime - task.m_progress.m_done);
    const auto speed = speedOf(task, workerPercent);
    return task.m_progress.m_since + (left * 10000 + Duration(speed - 1)) / speed;
}

} // namespace PrimroseBridge::Standin
