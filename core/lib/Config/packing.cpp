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
        std::stable_sort(zone.second.begin(), zone.second.end(), [](const WorkerCapacity &left, const WorkerCapacity &right) { return left.m_rack < right.m_rack; });
    }
    return zones;
}

/// How many whole shapes one worker holds.
static std::int64_t wholeShapes(const WorkerCapacity &worker, const Shape &shape)
{
    const auto bySize = std::min(worker.m_cores / shape.m_cores, worker.m_memoryMb / shape.m_memoryMb);
    return shape.m_accelerators == 0 ? bySize : std::min<std::int64_t>(bySize, worker.m_accelerators / shape.m_accelerators);
}

/// How many accelerators of a gang's member the worker holds, with its share of the cores and the memory.
static std::int64_t usableAccelerators(const WorkerCapacity &worker, const Shape &shape)
{
    const std::int64_t accelerators = shape.m_accelerators;
    return std::min({std::int64_t(worker.m_accelerators), worker.m_cores * accelerators / shape.m_cores, worker.m_memoryMb * accelerators / shape.m_memoryMb});
}

static std::int64_t dividedRoundingUp(std::int64_t dividend, std::int64_t divisor)
{
    return (dividend + divisor - 1) / divisor;
}

static void takeMember(WorkerCapacity &worker, const Shape &shape, std::int64_t accelerators)
{
    worker.m_accelerators -= static_cast<int>(accelerators);
    worker.m_cores -= dividedRoundingUp(shape.m_cores * accelerators, shape.m_accelerators);
    worker.m_memoryMb -= dividedRoundingUp(shape.m_memoryMb * accelerators, shape.m_accelerators);
}

static int placeOnWorkers(ZoneCapacity &zone, const Shape &shape, int count)
{
    std::vector<std::size_t> order(zone.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(
        order.begin(), order.end(), [&zone](std::size_t left, std::size_t right) { return zone[left].m_accelerators < zone[right].m_accelerators; });
    int placed = 0;
    for (const auto index : order) {
        auto &worker = zone[index];
        const auto here = std::min<std::int64_t>(wholeShapes(worker, shape), count - placed);
        worker.m_accelerators -= static_cast<int>(here * shape.m_accelerators);
        worker.m_cores -= here * shape.m_cores;
        worker.m_memoryMb -= here * shape.m_memoryMb;
        placed += static_cast<int>(here);
    }
    return placed;
}

/// Accelerators that one worker contributes to a gang.
struct MemberPlan {
    const std::size_t m_worker;
    const std::int64_t m_accelerators;

    bool operator==(const MemberPlan &) const = default;
};

/// Members of one gang on the workers from @p next on; incomplete if these cannot hold the gang.
static std::vector<MemberPlan> planGang(const ZoneCapacity &zone, const std::vector<std::size_t> &order, std::size_t next, const Shape &shape)
{
    std::vector<MemberPlan> members;
    std::int64_t missing = shape.m_accelerators;
    for (auto i = next; i < order.size() && missing > 0; ++i) {
        const auto taken = std::min(usableAccelerators(zone[order[i]], shape), missing);
        if (taken > 0) {
            members.push_back({order[i], taken});
            missing -= taken;
        }
    }
    return missing == 0 ? members : std::vector<MemberPlan>();
}

/// Fills the candidates one after the other, so the time grows with the workers and the members placed, not with their product.
static int placeGangs(ZoneCapacity &zone, const std::vector<std::size_t> &candidates, const Shape &shape, int count)
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
            takeMember(zone[member.m_worker], shape, member.m_accelerators);
        }
    }
    return count;
}

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
        return placeOnWorkers(zone, shape, count);
    }
    int placed = 0;
    for (const auto &candidates : candidateSets(zone, shape.m_adjacency)) {
        placed += placeGangs(zone, candidates, shape, count - placed);
    }
    return placed;
}

} // namespace PrimroseBridge
