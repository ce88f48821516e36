#include "capacity.h"

#include "packing.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace PrimroseBridge {

using FreeZones = std::map<std::string, FreeZone>;

static std::string holderName(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::SameWorker:
        return "worker";
    case Adjacency::SameRack:
        return "rack";
    case Adjacency::Nearest:
        return "availability zone";
    }
    return "worker";
}

static void checkJobClass(const JobClass &jobClass, const std::string &path, const FreeZones &zones, FaultList &faults)
{
    const bool holdable = std::any_of(zones.begin(), zones.end(), [&jobClass](const auto &zone) {
        auto scratch = zone.second;
        return placeShapes(scratch, jobClass.m_shape, 1) == 1;
    });
    if (!holdable) {
        faults.add(path,
                   "is " + describeShape(jobClass.m_shape) + ", which no " + holderName(jobClass.m_shape.m_adjacency) + " of the declared fleet can hold",
                   "use a smaller shape or a wider adjacency, or declare larger workers");
    }
}

static FreeZone zoneOrEmpty(const FreeZones &zones, const std::string &id)
{
    const auto found = zones.find(id);
    return found == zones.end() ? FreeZone() : found->second;
}

static void checkAlone(const Guarantee &guarantee, const std::string &path, const FreeZones &zones, FaultList &faults)
{
    auto scratch = zoneOrEmpty(zones, guarantee.m_zone.text());
    const int placed = placeShapes(scratch, guarantee.m_shape, guarantee.m_count);
    if (placed < guarantee.m_count) {
        faults.add(path + "/count",
                   "is " + std::to_string(guarantee.m_count) + ", but the empty zone " + inQuotes(guarantee.m_zone.text()) + " holds only "
                       + std::to_string(placed) + " of " + describeShape(guarantee.m_shape),
                   "lower the count or use a smaller shape");
    }
}

/// Shapes with the strictest adjacency and the most accelerators first: they have the fewest possible places.
static std::vector<std::size_t> packingOrder(const std::vector<Guarantee> &guarantees)
{
    std::vector<std::size_t> order(guarantees.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(), [&guarantees](std::size_t left, std::size_t right) {
        const auto &a = guarantees[left].m_shape;
        const auto &b = guarantees[right].m_shape;
        return std::tuple(a.m_adjacency, -a.m_accelerators, -a.m_memoryMb) < std::tuple(b.m_adjacency, -b.m_accelerators, -b.m_memoryMb);
    });
    return order;
}

static void checkTogether(const std::vector<Guarantee> &guarantees, FreeZones zones, FaultList &faults)
{
    for (const auto index : packingOrder(guarantees)) {
        const auto &guarantee = guarantees[index];
        const int placed = placeShapes(zones[guarantee.m_zone.text()], guarantee.m_shape, guarantee.m_count);
        if (placed < guarantee.m_count) {
            faults.add(joinPath("/guarantees", index) + "/count",
                       "is " + std::to_string(guarantee.m_count) + ", but beside the other guarantees the zone " + inQuotes(guarantee.m_zone.text())
                           + " holds only " + std::to_string(placed) + " of " + describeShape(guarantee.m_shape),
                       "lower the counts of the zone's guarantees, or declare more workers");
        }
    }
}

void checkCapacity(const Configuration &configuration, FaultList &faults)
{
    if (faults.covers("/regions") || faults.covers("/workers")) {
        return; // The fleet is not known well enough.
    }
    const auto zones = freeZones(configuration.m_workers);
    for (std::size_t i = 0; i < configuration.m_jobClasses.size(); ++i) {
        const auto path = joinPath("/jobClasses", i) + "/shape";
        if (!faults.covers(path)) {
            checkJobClass(configuration.m_jobClasses[i], path, zones, faults);
        }
    }
    for (std::size_t i = 0; i < configuration.m_guarantees.size(); ++i) {
        const auto path = joinPath("/guarantees", i);
        if (!faults.covers(path)) {
            checkAlone(configuration.m_guarantees[i], path, zones, faults);
        }
    }
    if (!faults.covers("/guarantees")) {
        checkTogether(configuration.m_guarantees, zones, faults);
    }
}

} // namespace PrimroseBridge
