#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/shape.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Remaining capacity of one worker while shapes are packed onto an empty zone.
struct WorkerCapacity {
    std::string m_rack;
    int m_accelerators;
    std::int64_t m_cores;
    std::int64_t m_memoryMb;

    bool operator==(const WorkerCapacity &) const = default;
};

/// Remaining capacity of the workers of one zone.
using ZoneCapacity = std::vector<WorkerCapacity>;

/// Returns the capacity of the empty workers of each zone, by zone identifier. The workers of a zone are sorted by rack. Thread-safe.
std::map<std::string, ZoneCapacity> zoneCapacities(const std::vector<Worker> &workers);

/// Places up to @p count jobs of @p shape in @p zone, subtracts their resources from the zone, and returns how many were placed.
///
/// SameWorker shapes are placed on the workers with the fewest remaining accelerators (best fit), other shapes on the workers with
/// the most, so that few workers are partly used. Cores and memory are divided among the members of a gang in proportion to their
/// accelerators, rounded up.
int packShapes(ZoneCapacity &zone, const Shape &shape, int count);

} // namespace PrimroseBridge
