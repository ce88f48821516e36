#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/shape.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// What is left of one worker while shapes are packed onto an empty zone.
struct FreeWorker {
    std::string m_rack;
    int m_accelerators;
    std::int64_t m_cores;
    std::int64_t m_memoryMb;

    bool operator==(const FreeWorker &) const = default;
};

using FreeZone = std::vector<FreeWorker>;

/// The empty workers of each zone, sorted by rack. Thread-safe.
std::map<std::string, FreeZone> freeZones(const std::vector<Worker> &workers);

/// Places up to @p count of @p shape onto @p zone, takes what they occupy, and returns how many were placed.
///
/// SameWorker shapes go to the workers with the fewest accelerators left, the others to the workers with the most, so
/// that few workers are split. Cores and memory are divided among members in proportion to their accelerators, rounded up.
int placeShapes(FreeZone &zone, const Shape &shape, int count);

} // namespace PrimroseBridge
