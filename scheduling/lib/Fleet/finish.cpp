#include "finish.h"

#include <algorithm>
#include <chrono>

namespace PrimroseBridge {

// Limits the number of tiers. Speeds of 0.01 and 100 are within it.
constexpr int maxTier = 20;

// Margin of an estimated finish: a share of the run time for the difference between the tasks of a step, and a time for the start order and the
// report of the end.
constexpr double marginShare = 0.1;
constexpr Duration marginTime(150);

int speedTier(double speed)
{
    // Products rather than logarithms, because results of std::log may differ between platforms at the bounds.
    int tier = 0;
    for (double bound = speedTierFactor; speed > bound && tier < maxTier; bound *= speedTierFactor) {
        ++tier;
    }
    for (double bound = 1.0 / speedTierFactor; speed < bound && tier > -maxTier; bound /= speedTierFactor) {
        --tier;
    }
    return tier;
}

// Bounds the run time on a worker whose speed is unusable.
constexpr double minSpeed = 0.01;

static Duration runTime(const FinishDemand &demand, const PlaceSpeed &place, double share)
{
    return std::chrono::duration_cast<Duration>(demand.m_estimate * (share * place.m_runTimeFactor / std::max(place.m_speed, minSpeed)));
}

Duration estimatedFinish(const FinishDemand &demand, const PlaceSpeed &place)
{
    return place.m_wait + runTime(demand, place, 1.0);
}

bool meetsObjective(const FinishDemand &demand, const PlaceSpeed &place)
{
    return place.m_wait + runTime(demand, place, 1.0 + marginShare) + marginTime + demand.m_rest <= demand.m_timeLeft;
}

double minimumUrgentSpeed(const FleetConfiguration &configuration, const std::string &pool)
{
    // The latency goal covers the fixed part of the margin, so that the slack alone decides for work of any length.
    double speed = 0.0;
    for (const auto &queue : configuration.m_queues) {
        if (queue.m_policy.m_priority <= 0 && queue.m_policy.m_workerPool == pool) {
            speed = std::max(speed, std::min(1.0, (1.0 + marginShare) / std::max(queue.m_policy.m_slackFactor, 1.0)));
        }
    }
    return speed;
}

} // namespace PrimroseBridge
