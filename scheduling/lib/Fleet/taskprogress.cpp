#include "primrosebridge/Fleet/taskprogress.h"

#include <algorithm>
#include <chrono>
#include <map>

namespace PrimroseBridge {

// Workers report progress about once a second, so two reports without any are needed.
static constexpr Duration shortestStall(2200);
// Progress is reported in hundredths. With an estimate ten times too short, one of them takes a tenth of the estimate.
static constexpr double stallEstimates = 0.25;
// A prediction from whole hundredths is this uncertain at least.
static constexpr Duration predictionSlack(500);

// Whole hundredths of a short sample are too coarse to compare.
static constexpr Duration shortestSpeedSample(600);
static constexpr std::size_t smallestComparison = 3;
// Sound workers differ by less than a third, and the tasks of one step by about as much.
static constexpr double slowShare = 0.45;

bool hasStalled(const TaskState &task, const JobStep &step, Instant reportedAt)
{
    const auto patience = std::max(shortestStall, std::chrono::duration_cast<Duration>(step.m_estimate * stallEstimates));
    // A member of a gang that has done its own work stays at 100 until the others have.
    const bool waitsForOthers = task.m_percent >= 100;
    return task.m_phase == TaskPhase::Running && !waitsForOthers && reportedAt - task.m_progressAt >= patience && reportedAt - task.m_phaseSince >= patience;
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

bool endsAfterWorkerLeaves(Duration remaining, Duration left)
{
    return remaining > left + predictionSlack;
}

namespace {

struct TaskSpeed {
    double m_percentPerMs;
    const WorkerIncarnation *m_worker;
};

struct SpeedSum {
    double m_relative = 0.0;
    int m_tasks = 0;
};

} // namespace

static std::vector<TaskSpeed> speedsOf(const StepState &step, Instant now)
{
    std::vector<TaskSpeed> speeds;
    for (const auto &task : step.m_tasks) {
        const auto measured = std::max(task->m_progressAt - task->m_phaseSince, Duration(1));
        const bool atWork = task->m_phase == TaskPhase::Running && task->m_percent > 0 && task->m_percent < 100;
        if (atWork && now - task->m_phaseSince >= shortestSpeedSample && measured >= shortestSpeedSample) {
            speeds.push_back(
                TaskSpeed{.m_percentPerMs = static_cast<double>(task->m_percent) / static_cast<double>(measured.count()), .m_worker = task->m_assignedWorker.get()});
        }
    }
    return speeds;
}

static double medianOf(const std::vector<TaskSpeed> &speeds)
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
    std::map<WorkerIncarnation, SpeedSum> sums;
    for (const auto &job : jobs) {
        for (const auto &occurrence : job->m_occurrences) {
            for (const auto &step : occurrence->m_steps) {
                const auto speeds = speedsOf(*step, now);
                if (speeds.size() < smallestComparison) {
                    continue;
                }
                const auto median = medianOf(speeds);
                for (const auto &speed : speeds) {
                    auto &sum = sums[*speed.m_worker];
                    sum.m_relative += speed.m_percentPerMs / median;
                    ++sum.m_tasks;
                }
            }
        }
    }
    std::vector<WorkerIncarnation> slow;
    for (const auto &[worker, sum] : sums) {
        if (sum.m_relative < slowShare * sum.m_tasks) {
            slow.push_back(worker);
        }
    }
    return slow;
}

} // namespace PrimroseBridge
