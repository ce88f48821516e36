#include "packing.h"

#include <algorithm>
#include <numeric>

namespace PrimroseBridge {

std::map<std::string, ZoneCapacity> zoneCapacities(const std::vector<Worker> &workers)
{
    std::map<std::string, ZoneCapacity> zones;
    for (const auto &worker : workers) {
        zones[worker.m_zone.text()].push_back({worker.m_rack.text(), worker.m_accelerators, worker.m_cores, worker.m_memoryMb});
    }
    for (auto &zone : zones) {
        std::stable_sort(
            zone.second.begin(), zone.second.end(), [](const WorkerCapacity &left, const WorkerCapacity &right) { return left.m_rack < right.m_rack; });
    }
    return zones;
}

/// Returns how many jobs of the shape fit on the worker.
static std::int64_t countFittingShapes(const WorkerCapacity &worker, const Shape &shape)
{
    const auto byCoresAndMemory = std::min(worker.m_cores / shape.m_cores, worker.m_memoryMb / shape.m_memoryMb);
    return shape.m_accelerators == 0 ? byCoresAndMemory : std::min<std::int64_t>(byCoresAndMemory, worker.m_accelerators / shape.m_accelerators);
}

/// Returns the largest number of accelerators that a gang member can use on the worker, which must also have the member's share of
/// the cores and the memory.
static std::int64_t usableAccelerators(const WorkerCapacity &worker, const Shape &shape)
{
    const std::int64_t accelerators = shape.m_accelerators;
    return std::min({std::int64_t(worker.m_accelerators), worker.m_cores * accelerators / shape.m_cores, worker.m_memoryMb * accelerators / shape.m_memoryMb});
}

static std::int64_t divideRoundingUp(std::int64_t dividend, std::int64_t divisor)
{
    return (dividend + divisor - 1) / divisor;
}

/// Subtracts a gang member with @p accelerators accelerators, and its share of cores and memory, from the worker.
static void subtractMember(WorkerCapacity &worker, const Shape &shape, std::int64_t accelerators)
{
    worker.m_accelerators -= static_cast<int>(accelerators);
    worker.m_cores -= divideRoundingUp(shape.m_cores * accelerators, shape.m_accelerators);
    worker.m_memoryMb -= divideRoundingUp(shape.m_memoryMb * accelerators, shape.m_accelerators);
}

static int packOntoSingleWorkers(ZoneCapacity &zone, const Shape &shape, int count)
{
    std::vector<std::size_t> order(zone.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(
        order.begin(), order.end(), [&zone](std::size_t left, std::size_t right) { return zone[left].m_accelerators < zone[right].m_accelerators; });
    int placed = 0;
    for (const auto index : order) {
        auto &worker = zone[index];
        const auto placedHere = std::min<std::int64_t>(countFittingShapes(worker, shape), count - placed);
        worker.m_accelerators -= static_cast<int>(placedHere * shape.m_accelerators);
        worker.m_cores -= placedHere * shape.m_cores;
        worker.m_memoryMb -= placedHere * shape.m_memoryMb;
        placed += static_cast<int>(placedHere);
    }
    return placed;
}

/// A gang member that is planned on one worker.
struct PlannedMember {
    const std::size_t m_worker; ///< Index in the zone.
    const std::int64_t m_accelerators;

    bool operator==(const PlannedMember &) const = default;
};

/// Plans the members of one gang on the workers from position @p next of @p order on. Returns no members if the gang does not fit.
static std::vector<PlannedMember> planGang(const ZoneCapacity &zone, const std::vector<std::size_t> &order, std::size_t next, const Shape &shape)
{
    std::vector<PlannedMember> members;
    std::int64_t missing = shape.m_accelerators;
    for (auto i = next; i < order.size() && missing > 0; ++i) {
        const auto taken = std::min(usableAccelerators(zone[order[i]], shape), missing);
        if (taken > 0) {
            members.push_back({order[i], taken});
            missing -= taken;
        }
    }
    return missing == 0 ? members : std::vector<PlannedMember>();
}

/// Places up to @p count gangs on the candidate workers and returns how many were placed. The workers are filled one after the
/// other, so the run time is linear in the number of workers plus placed members, not in their product.
static int packGangs(ZoneCapacity &zone, const std::vector<std::size_t> &candidates, const Shape &shape, int count)
{
    auto order = candidates;
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return usableAccelerators(zone[left], shape) > usableAccelerators(zone[right], shape);
    });
    std::size_t next = 0;
    for (int placed = 0; placed < count; ++placed) {
        while (next < order.size() && usableAccelerators(zone[order[next]], shape) == 0) {
            ++next;
        }
        const auto members = planGang(zone, order, next, shape);
        if (members.empty()) {
            return placed;
        }
        for (const auto &member : members) {
            subtractMember(zone[member.m_worker], shape, member.m_accelerators);
        }
    }
    return count;
}

/// Returns the sets of workers among which one gang may be spread: one set for each rack if the adjacency is SameRack, else one set
/// with all workers.
static std::vector<std::vector<std::size_t>> candidateSets(const ZoneCapacity &zone, Adjacency adjacency)
{
    std::map<std::string, std::vector<std::size_t>> racks;
    for (std::size_t i = 0; i < zone.size(); ++i) {
        racks[adjacency == Adjacency::SameRack ? zone[i].m_rack : std::string()].push_back(i);
    }
    std::vector<std::vector<std::size_t>> sets;
    sets.reserve(racks.size());
    for (auto &rack : racks) {
        sets.push_back(std::move(rack.second));
    }
    return sets;
}

int packShapes(ZoneCapacity &zone, const Shape &shape, int count)
{
    if (shape.m_adjacency == Adjacency::SameWorker || shape.m_accelerators == 0) {
        return packOntoSingleWorkers(zone, shape, count);
    }
    int placed = 0;
    for (const auto &candidates : candidateSets(zone, shape.m_adjacency)) {
        placed += packGangs(zone, candidates, shape, count - placed);
    }
    return placed;
}

} // namespace PrimroseBridge
