#include "worker.h"

namespace PrimroseBridge::Standin {

constexpr Duration usageLag(2000);

static bool hasResult(const Task &task)
{
    return task.m_life.m_state == TaskStatus::Done && !task.m_plan.m_result.empty();
}

// Reports @p task with the result of @p source, which is another task if the answer is crossed.
static ReportedTask reportOf(const TaskPointer &task, const Task &source, bool truncated, Duration runTime)
{
    const std::string result = hasResult(source) ? source.m_plan.m_result : "";
    const std::string sent = truncated ? result.substr(0, result.size() / 2) : result;
    return {task, sent, result.size(), resultDigest(source.m_name, result), runTime};
}

std::vector<ReportedTask> Worker::reports(Instant now)
{
    std::vector<TaskPointer> withResult;
    for (const auto &[name, task] : m_tasks) {
        if (hasResult(*task)) {
            withResult.push_back(task);
        }
    }
    const bool cross = withResult.size() >= 2 && takeOne(m_crossResults);
    std::vector<ReportedTask> reported;
    for (const auto &[name, task] : m_tasks) {
        const bool crossed = cross && task == withResult[0];
        const bool truncated = !crossed && hasResult(*task) && takeOne(m_truncateResults);
        reported.push_back(reportOf(task, crossed ? *withResult[1] : *task, truncated, doneAt(*task, m_faults->m_speedPercent, now)));
    }
    return reported;
}

PollAnswer Worker::pollAnswer(bool accepted, Instant now)
{
    if (!accepted) {
        return {false, m_highest.first, m_incarnation, m_faults->m_leaving, 0, {}, 0.0, 0};
    }
    return {true, m_highest.first, m_incarnation, m_faults->m_leaving, m_version, reports(now), laggingUsage(now), m_faults->m_usable};
}

void Worker::noteUsage(Instant now)
{
    int used = 0;
    for (const auto &[name, task] : m_tasks) {
        used += task->m_life.m_state == TaskStatus::Running ? task->m_demand.m_cores : 0;
    }
    m_usage.emplace_back(now, m_spec.m_cores == 0 ? 0.0 : 100.0 * used / m_spec.m_cores);
    while (m_usage.size() > 1 && m_usage[1].first <= now - usageLag) {
        m_usage.pop_front();
    }
}

double Worker::laggingUsage(Instant now) const
{
    double usage = 0.0;
    for (const auto &[at, percent] : m_usage) {
        if (at <= now - usageLag) {
            usage = percent;
        }
    }
    return usage;
}

} // namespace PrimroseBridge::Standin
