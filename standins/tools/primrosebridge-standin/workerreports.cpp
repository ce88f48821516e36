#include "worker.h"

#include <cstddef>

namespace PrimroseBridge::Standin {

constexpr Duration usageLag(2000);

std::vector<ReportedTask> Worker::reports(Instant now)
{
    std::vector<TaskPointer> tasks;
    std::vector<std::size_t> withResult;
    for (const auto &[name, task] : m_tasks) {
        if (task->m_life.m_state == TaskState::Done && !task->m_plan.m_result.empty()) {
            withResult.push_back(tasks.size());
        }
        tasks.push_back(task);
    }
    const bool cross = withResult.size() >= 2 && takeOne(m_crossResults);
    std::vector<ReportedTask> reported;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto &task = tasks[index];
        std::string bytes = task->m_life.m_state == TaskState::Done ? task->m_plan.m_result : "";
        if (cross && index == withResult[0]) {
            bytes = tasks[withResult[1]]->m_plan.m_result;
        } else if (!bytes.empty() && takeOne(m_truncateResults)) {
            bytes.resize(bytes.size() / 2);
        }
        reported.push_back({task, bytes, doneAt(*task, m_faults->m_speedPercent, now)});
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
        used += task->m_life.m_state == TaskState::Running ? task->m_demand.m_cores : 0;
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
