#include "capacity.h"

#include "packing.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace PrimroseBridge {

using ZoneCapacities = std::map<std::string, ZoneCapacity>;

/// Returns the name of the unit that has to hold the whole shape, as used in fault texts: a worker, a rack or a zone.
static std::string placementScopeName(Adjacency adjacency)
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

static void checkJobClassFits(const JobClass &jobClass, const std::string &path, const ZoneCapacities &zones, FaultList &faults)
{
    const bool fits = std::any_of(zones.begin(), zones.end(), [&jobClass](const auto &zone) {
        auto remaining = zone.second;
        return packShapes(remaining, jobClass.m_shape, 1) == 1;
    });
    if (!fits) {
        faults.add(path,
                   "is " + describeShape(jobClass.m_shape) + ", which no " + placementScopeName(jobClass.m_shape.m_adjacency)
                       + " of the declared fleet can hold",
                   "use a smaller shape or a wider adjacency, or declare larger workers");
    }
}

static ZoneCapacity capacityOfZone(const ZoneCapacities &zones, const std::string &id)
{
    const auto found = zones.find(id);
    return found == zones.end() ? ZoneCapacity() : found->second;
}

static void checkGuaranteeFitsAlone(const Guarantee &guarantee, const std::string &path, const ZoneCapacities &zones, FaultList &faults)
{
    auto remaining = capacityOfZone(zones, guarantee.m_zone.text());
    const int placed = packShapes(remaining, guarantee.m_shape, guarantee.m_count);
    if (placed < guarantee.m_count) {
        faults.add(path + "/count",
                   "is " + std::to_string(guarantee.m_count) + ", but the empty zone " + quoteTruncated(guarantee.m_zone.text()) + " holds only "
                       + std::to_string(placed) + " of " + describeShape(guarantee.m_shape),
                   "lower the count or use a smaller shape");
    }
}

/// Returns the order in which guarantees are packed: the strictest adjacency and the most accelerators first, because such shapes
/// fit in the fewest places.
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

static void checkGuaranteesFitTogether(const std::vector<Guarantee> &guarantees, ZoneCapacities zones, FaultList &faults)
{
    for (const auto index : packingOrder(guarantees)) {
        const auto &guarantee = guarantees[index];
        const int placed = packShapes(zones[guarantee.m_zone.text()], guarantee.m_shape, guarantee.m_count);
        if (placed < guarantee.m_count) {
            faults.add(joinPath("/guarantees", index) + "/count",
                       "is " + std::to_string(guarantee.m_count) + ", but beside the other guarantees the zone " + quoteTruncated(guarantee.m_zone.text())
                           + " holds only " + std::to_string(placed) + " of " + describeShape(guarantee.m_shape),
                       "lower the counts of the zone's guarantees, or declare more workers");
        }
    }
}

void checkCapacity(const Configuration &configuration, FaultList &faults)
{
    if (faults.hasRelatedFault("/regions") || faults.hasRelatedFault("/workers")) {
        return; // Capacity cannot be checked against an invalid fleet.
    }
    const auto zones = zoneCapacities(configuration.m_workers);
    for (std::size_t i = 0; i < configuration.m_jobClasses.size(); ++i) {
        const auto path = joinPath("/jobClasses", i) + "/shape";
        if (!faults.hasRelatedFault(path)) {
            checkJobClassFits(configuration.m_jobClasses[i], path, zones, faults);
        }
    }
    for (std::size_t i = 0; i < configuration.m_guarantees.size(); ++i) {
        const auto path = joinPath("/guarantees", i);
        if (!faults.hasRelatedFault(path)) {
            checkGuaranteeFitsAlone(configuration.m_guarantees[i], path, zones, faults);
        }
    }
    if (!faults.hasRelatedFault("/guarantees")) {
        checkGuaranteesFitTogether(configuration.m_guarantees, zones, faults);
    }
}

} // namespace PrimroseBridge
