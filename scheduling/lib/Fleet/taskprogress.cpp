#include "primrosebridge/Fleet/taskprogress.h"

#include <algorithm>
#include <chrono>
#include <map>

namespace PrimroseBridge {

// Workers report progress about once a second, so a stall spans at least two reports without progress.
static constexpr Duration minStallTime(2200);
// Minimum stall time as a share of the estimate. Progress is reported in whole percent: if the estimate is ten times too short, one
// percent takes a tenth of the estimate.
static constexpr double stallEstimateShare = 0.25;
// Minimum error of a remaining time that is computed from whole percents.
static constexpr Duration remainingTimeTolerance(500);

// Whole percents are too coarse to compare the speeds of shorter samples.
static constexpr Duration minSpeedSampleTime(600);
static constexpr std::size_t minTasksToCompare = 3;
// A worker below this mean ratio to the median speed is slow. The speeds of healthy workers differ by less than a third, and those of
// the tasks of one step by about as much.
static constexpr double slowSpeedRatio = 0.45;

bool hasStalled(const TaskState &task, const JobStep &step, Instant reportedAt)
{
    const auto stallTime = std::max(minStallTime, std::chrono::duration_cast<Duration>(step.m_estimate * stallEstimateShare));
    // A member of a gang that has finished its own work stays at 100 percent until the other members have finished.
    const bool waitsForGang = task.m_percent >= 100;
    return task.m_phase == TaskPhase::Running && !waitsForGang && reportedAt - task.m_progressAt >= stallTime && reportedAt - task.m_phaseSince >= stallTime;
}

Duration estimatedRemainingTime(const TaskState &task, const JobStep &step, Instant now)
{
    if (task.m_percent <= 0) {
        return step.m_estimate;
    }
    const auto elapsed = std::chrono::duration<double, std::milli>(task.m_progressAt - task.m_phaseSince).count();
    const auto needed = elapsed * (100.0 - task.m_percent) / task.m_percent;
    const auto since = std::chrono::duration<double, std::milli>(now - task.m_progressAt).count();
    return Duration(static_cast<Duration::rep>(std::max(needed - since, 0.0)));
}

bool endsAfterWorkerLeaves(Duration remaining, Duration timeToLeave)
{
    return remaining > timeToLeave + remainingTimeTolerance;
}

namespace {

struct TaskSpeed {
    double m_percentPerMs;
    const WorkerIncarnation *m_worker;
};

struct RelativeSpeedSum {
    double m_relativeSpeeds = 0.0; // Sum of the ratios of task speeds to the median speeds of their steps.
    int m_tasks = 0;
};

} // namespace

static std::vector<TaskSpeed> taskSpeeds(const StepState &step, Instant now)
{
    std::vector<TaskSpeed> speeds;
    for (const auto &task : step.m_tasks) {
        const auto sampleTime = std::max(task->m_progressAt - task->m_phaseSince, Duration(1));
        const bool isProgressing = task->m_phase == TaskPhase::Running && task->m_percent > 0 && task->m_percent < 100;
        if (isProgressing && now - task->m_phaseSince >= minSpeedSampleTime && sampleTime >= minSpeedSampleTime) {
            speeds.push_back(TaskSpeed{.m_percentPerMs = static_cast<double>(task->m_percent) / static_cast<double>(sampleTime.count()),
                                       .m_worker = task->m_assignedWorker.get()});
        }
    }
    return speeds;
}

static double medianSpeed(const std::vector<TaskSpeed> &speeds)
{
    std::vector<double> values;
    values.reserve(speeds.size());
    for (const auto &speed : speeds) {
        values.push_back(speed.m_percentPerMs);
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

std::vector<WorkerIncarnation> slowWorkers(const std::vector<JobPointer> &jobs, Instant now)
{
    std::map<WorkerIncarnation, RelativeSpeedSum> sums;
    for (const auto &job : jobs) {
        for (const auto &occurrence : job->m_occurrences) {
            for (const auto &step : occurrence->m_steps) {
                const auto speeds = taskSpeeds(*step, now);
                if (speeds.size() < minTasksToCompare) {
                    continue;
                }
                const auto median = medianSpeed(speeds);
                for (const auto &speed : speeds) {
                    auto &sum = sums[*speed.m_worker];
                    sum.m_relativeSpeeds += speed.m_percentPerMs / median;
                    ++sum.m_tasks;
                }
            }
        }
    }
    std::vector<WorkerIncarnation> slow;
    for (const auto &[worker, sum] : sums) {
        if (sum.m_relativeSpeeds < slowSpeedRatio * sum.m_tasks) {
            slow.push_back(worker);
        }
    }
    return slow;
}

} // namespace PrimroseBridge
