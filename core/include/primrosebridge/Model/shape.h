#pragma once

#include "primrosebridge/Model/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Where the accelerators of one job may be placed relative to each other.
enum class Adjacency {
    SameWorker, ///< All accelerators are on one worker and have consecutive indices.
    SameRack, ///< All accelerators are in one rack and have consecutive indices on each worker.
    Nearest, ///< All accelerators are in one rack if possible, else in as few racks of the zone as possible.
};

/// Returns the name as written in the configuration, for example `SameRack`. Thread-safe.
std::string_view adjacencyName(Adjacency adjacency);

/// Inverse of adjacencyName(). Returns an InvalidArgument error that lists the accepted names if @p name is unknown. Thread-safe.
Result<Adjacency> adjacencyFromName(std::string_view name);

/// Resources that a job occupies. Cores and memory are totals; they are divided among the gang members in proportion to their
/// accelerators.
struct Shape {
    const int m_accelerators; ///< 0 for a job that needs only cores and memory.
    const Adjacency m_adjacency;
    const int m_cores;
    const std::int64_t m_memoryMb;

    bool operator==(const Shape &) const = default;
};

/// Returns a short text such as "8 accelerators SameWorker, 16 cores, 65536 MB". Thread-safe.
std::string describeShape(const Shape &shape);

} // namespace PrimroseBridge
