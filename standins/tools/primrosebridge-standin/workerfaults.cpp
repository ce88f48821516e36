#include "worker.h"

#include <mutex>
#include <string>

namespace PrimroseBridge::Standin {

std::string newIncarnation(Instant now)
{
    static std::mutex mutex;
    static int counter = 0;
    const std::lock_guard lock(mutex);
    return std::to_string(toMilliseconds(now)) + "-" + std::to_string(++counter);
}

bool takeOne(int &left)
{
    if (left == 0) {
        return false;
    }
    --left;
    return true;
}

void Worker::endTasksOnLostAccelerators(Instant now)
{
    const auto tasks = m_tasks;
    for (const auto &[name, task] : tasks) {
        if (occupies(*task) && (task->m_demand.m_accelerators & ~m_faults->m_usable) != 0) {
            const bool running = task->m_life.m_state == TaskStatus::Running;
            end(task, running ? TaskStatus::Failed : TaskStatus::Stopped, "accelerator removed", now);
        }
    }
}

void Worker::settleProgress(Instant now)
{
    for (auto &[name, task] : m_tasks) {
        if (task->m_life.m_state == TaskStatus::Running) {
            task = withProgress(*task, {doneAt(*task, m_faults->m_speedPercent, now), now, task->m_progress.m_throttlePercent});
        }
    }
}

void Worker::restart(Instant now)
{
    const auto tasks = m_tasks;
    for (const auto &[name, task] : tasks) {
        if (occupies(*task)) {
            end(task, TaskStatus::Stopped, "worker restarted", now);
        }
    }
    m_tasks.clear();
    m_bookNumbers.clear();
    m_incarnation = newIncarnation(now);
    m_highest = {0, 0};
    m_version = 1;
}

void Worker::takeCountedFaults(const FaultChange &change)
{
    m_loseAnswers = change.m_loseAnswers.value_or(m_loseAnswers);
    m_losePollAnswers = change.m_losePollAnswers.value_or(m_losePollAnswers);
    m_truncateResults = change.m_truncateResults.value_or(m_truncateResults);
    m_crossResults = change.m_crossResults.value_or(m_crossResults);
}

void Worker::takeFaults(const FaultChange &change, Instant now)
{
    const WorkerFaults &old = *m_faults;
    const WorkerFaults faults{change.m_failTasks.value_or(old.m_failTasks),
                              change.m_frozen.value_or(old.m_frozen),
                              change.m_leaving.value_or(old.m_leaving),
                              change.m_speedPercent.value_or(old.m_speedPercent),
                              Duration(change.m_answerDelayMs.value_or(static_cast<int>(old.m_answerDelay.count()))),
                              change.m_usable.value_or(old.m_usable) & firstAccelerators(m_spec.m_accelerators)};
    if (faults.m_leaving != old.m_leaving || faults.m_usable != old.m_usable) {
        ++m_version;
    }
    settleProgress(now);
    m_faults = std::make_shared<const WorkerFaults>(faults);
    takeCountedFaults(change);
}

} // namespace PrimroseBridge::Standin
