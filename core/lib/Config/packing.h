#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/shape.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// What is left of one worker while shapes are packed onto an empty zone.
struct WorkerCapacity {
    std::string m_rack;
    int m_accelerators;
    std::int64_t m_cores;
    std::int64_t m_memoryMb;

    bool operator==(const WorkerCapacity &) const = default;
};

using ZoneCapacity = std::vector<WorkerCapacity>;

/// The empty workers of each zone, sorted by rack. Thread-safe.
std::map<std::string, ZoneCapacity> zoneCapacities(const std::vector<Worker> &workers);

/// Places up to @p count of @p shape onto @p zone, takes what they occupy, and returns how many were placed.
///
/// SameWorker shapes go to the workers with the fewest accelerators left, the others to the workers with the most, so
/// that few workers are split. Cores and memory are divided among members in proportion to their accelerators, rounded up.
int packShapes(ZoneCapacity &zone, const Shape &shape, int count);

} // namespace PrimroseBridge
