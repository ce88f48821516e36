#pragma once

#include "primrosebridge/Model/id.h"

#include <compare>
#include <cstdint>
#include <string>

namespace PrimroseBridge {

/// Maximum number of accelerators on one worker. An AcceleratorSet has one bit for each accelerator.
constexpr int maxAcceleratorsPerWorker = 32;

/// A set of accelerators of one worker: bit i stands for the accelerator with index i. Consecutive indices are adjacent.
using AcceleratorSet = std::uint32_t;

/// Returns the set of the accelerators with indices 0 to @p count - 1. Precondition: 0 <= count <= 32. Thread-safe.
constexpr AcceleratorSet firstAccelerators(int count)
{
    return count >= maxAcceleratorsPerWorker ? ~AcceleratorSet(0) : (AcceleratorSet(1) << count) - 1;
}

/// State of the backend server that a worker runs on, as the platform reports it.
enum class BackendServerStatus {
    Live,
    Draining, ///< Running tasks may finish; new tasks are not placed.
    Gone, ///< The server is unreachable and no longer listed; its tasks stop when their leases expire.
};

/// A worker as the configuration declares it.
struct Worker {
    const WorkerId m_id;
    const ZoneId m_zone;
    const RackId m_rack;
    const int m_cores;
    const std::int64_t m_memoryMb;
    const int m_accelerators;
    const std::string m_address; ///< IP address and port of the worker's gRPC interface.

    bool operator==(const Worker &) const = default;
};

/// Fencing token of a zone's owner: the store revision at which its ownership key was created, which is higher for each new owner.
struct Fence {
    const std::int64_t m_number;

    auto operator<=>(const Fence &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

} // namespace PrimroseBridge
