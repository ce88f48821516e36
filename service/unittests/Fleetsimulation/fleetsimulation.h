#pragma once

#include "simulatedworkers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// The result of one simulated fleet.
struct FleetSimulationResult {
    std::vector<RuleViolation> m_violations;
    std::vector<std::string> m_trace; ///< Empty unless tracing was enabled.
    std::size_t m_runs = 0;
    Instant m_lastRunStart; ///< Start of the last run, if any.
};

/// Plays the fleet of @p seed for 30 s of simulated time. The same seed gives the same result, with and without tracing. Thread-safe.
FleetSimulationResult simulateFleet(std::uint64_t seed, bool tracing);

} // namespace PrimroseBridge
