#pragma once

#include "primrosebridge/Model/id.h"

#include <compare>
#include <cstdint>
#include <string>

namespace PrimroseBridge {

/// Most accelerators on one worker; an AcceleratorSet has one bit for each.
constexpr int maxAcceleratorsPerWorker = 32;

/// The accelerators of one worker, one bit for each index. Neighbouring indices are adjacent.
using AcceleratorSet = std::uint32_t;

/// The set of the lowest @p count accelerators. Precondition: 0 <= count <= 32. Thread-safe.
constexpr AcceleratorSet firstAccelerators(int count)
{
    return count >= maxAcceleratorsPerWorker ? ~AcceleratorSet(0) : (AcceleratorSet(1) << count) - 1;
}

/// What the platform says of the backend server that a worker runs on.
enum class BackendServerStatus {
    Live,
    Draining, ///< Running tasks may end, new ones are not placed.
    Gone, ///< Not reachable and not listed; its tasks run out by lease.
};

/// A worker as the configuration declares it.
struct Worker {
    const WorkerId m_id;
    const ZoneId m_zone;
    const RackId m_rack;
    const int m_cores;
    const std::int64_t m_memoryMb;
    const int m_accelerators;
    const std::string m_address; ///< IP number and port of its gRPC interface.

    bool operator==(const Worker &) const = default;
};

/// Fencing number of a zone's owner: the store revision at which the ownership key was created.
struct Fence {
    const std::int64_t m_number;

    auto operator<=>(const Fence &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

} // namespace PrimroseBridge
