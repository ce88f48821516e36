#pragma once

#include "primrosebridge/Placement/zonestate.h"

#include <unordered_map>
#include <vector>

namespace PrimroseBridge {

/// What a member occupies, with its worker as an index into FleetIndex.
struct Slot {
    const int m_worker;
    const AcceleratorSet m_accelerators;
    const int m_cores;
    const std::int64_t m_memoryMb;

    bool operator==(const Slot &) const = default;
};

using Slots = std::vector<Slot>;

/// Workers and racks of one zone by index. Racks are in the order of their identifiers, workers in that of the zone state.
struct FleetIndex {
    const std::vector<WorkerId> m_workers;
    const std::unordered_map<WorkerId, int> m_indexOf;
    const std::vector<std::vector<int>> m_racks; ///< The workers of each rack.
    const std::vector<int> m_rackOf; ///< The rack of each worker.

    bool operator==(const FleetIndex &) const = default;
};

/// Resources of each worker of a FleetIndex; what they are (free, reclaimable, ...) depends on the context.
struct Capacity {
    const std::vector<AcceleratorSet> m_accelerators;
    const std::vector<int> m_cores;
    const std::vector<std::int64_t> m_memoryMb;

    bool operator==(const Capacity &) const = default;
};

/// Indexes @p workers. Precondition: worker identifiers are unique. Thread-safe.
FleetIndex indexFleet(const std::vector<WorkerState> &workers);

/// True if new work may be placed on the worker. Thread-safe.
bool acceptsWork(const WorkerState &worker);

/// Everything that the workers which accept work offer when empty. Thread-safe.
Capacity usableCapacity(const std::vector<WorkerState> &workers);

/// Everything that the workers would offer, empty and with all declared parts. Thread-safe.
Capacity declaredCapacity(const std::vector<WorkerState> &workers);

/// @p capacity without @p slots; amounts do not fall below 0. Thread-safe.
Capacity without(const Capacity &capacity, const Slots &slots);

/// @p capacity without all of @p groups; one copy instead of one for each group. Thread-safe.
Capacity withoutAll(const Capacity &capacity, const std::vector<Slots> &groups);

/// As above. Thread-safe.
Capacity withoutAll(const Capacity &capacity, const std::vector<const Slots *> &groups);

/// @p capacity with the parts of @p slots that @p limit contains. Thread-safe.
Capacity with(const Capacity &capacity, const Slots &slots, const Capacity &limit);

/// The members as slots; members on workers that the index lacks are left out. Thread-safe.
Slots slotsOf(const FleetIndex &fleet, const std::vector<GangMember> &members);

/// Inverse of slotsOf(). Thread-safe.
std::vector<GangMember> membersOf(const FleetIndex &fleet, const Slots &slots);

/// Number of accelerators. Thread-safe.
int countAccelerators(const Capacity &capacity);

/// Number of accelerators. Thread-safe.
int countAccelerators(const Slots &slots);

} // namespace PrimroseBridge
