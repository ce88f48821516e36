#include "primrosebridge/Routing/routing.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace PrimroseBridge {

// The accelerators and workers of a zone.
struct ZoneFleet {
    int m_accelerators = 0;
    int m_largestWorkerAccelerators = 0;
    std::map<RackId, int> m_rackAccelerators;
    int m_workers = 0;
};

// The sort key of a zone. Members are compared in the order of their declaration; the smallest key is the best zone.
struct ZoneRank {
    bool m_ownerUnknown;
    bool m_noGuarantee;
    bool m_noFreeCapacity;
    bool m_otherZone;
    int m_queued;
    ZoneId m_zone;

    auto operator<=>(const ZoneRank &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

static std::map<ZoneId, ZoneFleet> fleetsByZone(const Configuration &configuration)
{
    std::map<ZoneId, ZoneFleet> fleets;
    for (const auto &worker : configuration.m_workers) {
        auto &fleet = fleets[worker.m_zone];
        fleet.m_accelerators += worker.m_accelerators;
        fleet.m_largestWorkerAccelerators = std::max(fleet.m_largestWorkerAccelerators, worker.m_accelerators);
        fleet.m_rackAccelerators[worker.m_rack] += worker.m_accelerators;
        ++fleet.m_workers;
    }
    return fleets;
}

static int largestRackAccelerators(const ZoneFleet &fleet)
{
    int largest = 0;
    for (const auto &[rack, accelerators] : fleet.m_rackAccelerators) {
        largest = std::max(largest, accelerators);
    }
    return largest;
}

static bool canHoldShape(const ZoneFleet &fleet, const Shape &shape)
{
    switch (shape.m_adjacency) {
    case Adjacency::SameWorker:
        return fleet.m_largestWorkerAccelerators >= shape.m_accelerators;
    case Adjacency::SameRack:
        return largestRackAccelerators(fleet) >= shape.m_accelerators;
    case Adjacency::Nearest:
        return fleet.m_accelerators >= shape.m_accelerators;
    }
    return false;
}

static bool hasGuarantee(const Configuration &configuration, const ZoneId &zone, const OrganisationId &organisation, const Shape &shape)
{
    return std::any_of(configuration.m_guarantees.begin(), configuration.m_guarantees.end(), [&](const Guarantee &guarantee) {
        return guarantee.m_zone == zone && guarantee.m_organisation == organisation && guarantee.m_shape.m_accelerators >= shape.m_accelerators;
    });
}

std::vector<ZoneId> rankZones(const Configuration &configuration, const MembershipView &view, const OrganisationId &organisation, const JobClass &jobClass)
{
    std::vector<ZoneRank> ranks;
    for (const auto &[zone, fleet] : fleetsByZone(configuration)) {
        if (!canHoldShape(fleet, jobClass.m_shape)) {
            continue;
        }
        const auto summary = view.m_zones.find(zone);
        const bool known = summary != view.m_zones.end() && !summary->second.m_owner.empty();
        ranks.push_back(ZoneRank{
            .m_ownerUnknown = !known,
            .m_noGuarantee = !hasGuarantee(configuration, zone, organisation, jobClass.m_shape),
            .m_noFreeCapacity = known && summary->second.m_freeAccelerators < jobClass.m_shape.m_accelerators,
            .m_otherZone = zone != view.m_selfZone,
            .m_queued = known ? summary->second.m_queued : 0,
            .m_zone = zone,
        });
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<ZoneId> zones;
    zones.reserve(ranks.size());
    for (const auto &rank : ranks) {
        zones.push_back(rank.m_zone);
    }
    return zones;
}

} // namespace PrimroseBridge
