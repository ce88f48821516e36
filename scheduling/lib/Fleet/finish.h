#pragma once

#include "primrosebridge/Model/time.h"
#include "primrosebridge/Work/fleetconfiguration.h"

#include <string>

namespace PrimroseBridge {

/// Speeds within this factor of each other are equal: estimates of speeds differ by a few percent on equal workers.
constexpr double speedTierFactor = 1.25;

/// What a step needs to end in time, apart from the place of its tasks.
struct FinishDemand {
    Duration m_estimate; ///< Run time of the step on a worker of typical speed.
    Duration m_rest; ///< Estimated run time of the longest chain of steps that follows the step.
    Duration m_timeLeft; ///< Time until the latency objective of the job; negative if it has passed.

    bool operator==(const FinishDemand &) const = default;
};

/// Where a task would run, as far as its run time depends on it.
struct PlaceSpeed {
    double m_speed; ///< See PlacementWorker::m_speed. Precondition: positive.
    double m_runTimeFactor; ///< Factor of the run time: PlacementInput::m_remoteFactor for a remote placement, otherwise 1.
    Duration m_wait; ///< Time until the task can start.

    bool operator==(const PlaceSpeed &) const = default;
};

/// Returns the number of the speed tier. Tiers are a factor of 1.25 wide; tier 0 is 0.8 to 1.25, and faster tiers have higher numbers.
/// Thread-safe.
int speedTier(double speed);

/// Returns the estimated time from now until a task of the step ends on the place. Thread-safe.
Duration estimatedFinish(const FinishDemand &demand, const PlaceSpeed &place);

/// Returns true if the job meets its latency objective with a task of the step on the place, with a margin for the error of the estimate.
/// Thread-safe.
bool meetsObjective(const FinishDemand &demand, const PlaceSpeed &place);

/// Returns the lowest speed, at most 1, at which a worker of the pool runs new urgent work of any length in time, by the slack of the queues of
/// priority 0. Returns 0 if the pool has no such queue. Thread-safe.
double minimumUrgentSpeed(const FleetConfiguration &configuration, const std::string &pool);

} // namespace PrimroseBridge
