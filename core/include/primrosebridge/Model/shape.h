#pragma once

#include "primrosebridge/Model/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Where the accelerators of one job may lie relative to each other.
enum class Adjacency {
    SameWorker, ///< Neighbouring indices on one worker.
    SameRack, ///< One rack; neighbouring indices on each of its workers.
    Nearest, ///< One rack if possible, else the fewest racks of the zone.
};

/// The name as written in the configuration, for example `SameRack`. Thread-safe.
std::string_view adjacencyName(Adjacency adjacency);

/// Inverse of adjacencyName(); InvalidArgument lists the accepted names. Thread-safe.
Result<Adjacency> adjacencyFromName(std::string_view name);

/// What a job occupies. Cores and memory are totals, divided among gang members in proportion to their accelerators.
struct Shape {
    const int m_accelerators; ///< 0 for a job that needs only cores and memory.
    const Adjacency m_adjacency;
    const int m_cores;
    const std::int64_t m_memoryMb;

    bool operator==(const Shape &) const = default;
};

/// A short text such as "8 accelerators SameWorker, 16 cores, 65536 MB". Thread-safe.
std::string describeShape(const Shape &shape);

} // namespace PrimroseBridge
