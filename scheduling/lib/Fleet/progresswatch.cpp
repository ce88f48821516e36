#include "primrosebridge/Fleet/progresswatch.h"

#include <algorithm>
#include <chrono>

namespace PrimroseBridge {

// Workers report progress about once a second, so two reports without any are needed.
static constexpr Duration shortestStall(2200);
// Progress is reported in hundredths. With an estimate ten times too short, one of them takes a tenth of the estimate.
static constexpr double stallEstimates = 0.25;
// A prediction from whole hundredths is this uncertain at least.
static constexpr Duration predictionSlack(500);

bool hasStalled(const TaskState &task, const JobStep &step, Instant reportedAt)
{
    const auto patience = std::max(shortestStall, std::chrono::duration_cast<Duration>(step.m_estimate * stallEstimates));
    // A member of a gang that has done its own work stays at 100 until the others have.
    const bool waitsForOthers = task.m_percent >= 100;
    return task.m_phase == TaskPhase::Running && !waitsForOthers && reportedAt - task.m_progressAt >= patience && reportedAt - task.m_phaseSince >= patience;
}

Duration remainingTime(const TaskState &task, const JobStep &step, Instant now)
{
    if (task.m_percent <= 0) {
        return step.m_estimate;
    }
    const auto elapsed = std::chrono::duration<double, std::milli>(task.m_progressAt - task.m_phaseSince).count();
    const auto needed = elapsed * (100.0 - task.m_percent) / task.m_percent;
    const auto since = std::chrono::duration<double, std::milli>(now - task.m_progressAt).count();
    return Duration(static_cast<Duration::rep>(std::max(needed - since, 0.0)));
}

bool outlivesWorker(Duration remaining, Duration left)
{
    return remaining > left + predictionSlack;
}

} // namespace PrimroseBridge
