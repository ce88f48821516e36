#include "primrosebridge/Routing/routing.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

static Worker makeWorker(const std::string &id, const std::string &zone, int accelerators)
{
    return Worker{
        .m_id = WorkerId::create(id).value(),
        .m_zone = ZoneId::create(zone).value(),
        .m_rack = RackId::create(zone + "-r1").value(),
        .m_cores = 32,
        .m_memoryMb = 1024,
        .m_accelerators = accelerators,
        .m_address = "127.0.0.1:1",
    };
}

static Configuration makeConfiguration(const std::vector<Guarantee> &guarantees)
{
    return Configuration{
        .m_version = 1,
        .m_deployment = "test",
        .m_operatorTokenSha256 = {},
        .m_weights = ObjectiveWeights{0.5, 0.5},
        .m_regions = {},
        .m_workers = {makeWorker("a1", "a", 8), makeWorker("b1", "b", 8), makeWorker("c1", "c", 2)},
        .m_organisations = {},
        .m_jobClasses = {},
        .m_guarantees = guarantees,
    };
}

static JobClass makeClass(int accelerators)
{
    return JobClass{
        .m_id = JobClassId::create("kiln").value(),
        .m_tier = Tier::Standard,
        .m_shape = Shape{.m_accelerators = accelerators, .m_adjacency = Adjacency::SameWorker, .m_cores = 1, .m_memoryMb = 1},
        .m_idempotent = true,
        .m_durable = true,
        .m_checkpointable = true,
        .m_restartable = true,
        .m_expectedRunTime = Duration(1000),
        .m_maxRunTime = Duration(10000),
        .m_maxAttempts = 2,
    };
}

static ZoneSummary summary(const std::string &zone, int free, int queued)
{
    return ZoneSummary{
        .m_zone = ZoneId::create(zone).value(),
        .m_owner = "vm-" + zone,
        .m_ownerAddress = "127.0.0.1:1",
        .m_fence = 1,
        .m_sequence = 1,
        .m_freeAccelerators = free,
        .m_queued = queued,
    };
}

static MembershipView makeView(const std::vector<ZoneSummary> &zones)
{
    std::map<ZoneId, ZoneSummary> byZone;
    for (const auto &zone : zones) {
        byZone.emplace(zone.m_zone, zone);
    }
    return MembershipView{.m_self = VmId::create("vm-a").value(), .m_selfZone = ZoneId::create("a").value(), .m_peers = {}, .m_zones = byZone};
}

static std::vector<std::string> rankedZoneNames(const Configuration &configuration, const MembershipView &view, int accelerators)
{
    std::vector<std::string> names;
    for (const auto &zone : rankZones(configuration, view, OrganisationId::create("bakery").value(), makeClass(accelerators))) {
        names.push_back(zone.text());
    }
    return names;
}

// Guards against routing a request to a zone that must reject it although another zone could take it.
TEST_CASE("zones whose fleet can never hold the class are omitted")
{
    CHECK(rankedZoneNames(makeConfiguration({}), makeView({summary("a", 8, 0), summary("b", 8, 0), summary("c", 2, 0)}), 8)
          == std::vector<std::string>{"a", "b"});
}

TEST_CASE("a known owner takes precedence over free capacity, and free capacity over the local zone")
{
    CHECK(rankedZoneNames(makeConfiguration({}), makeView({summary("a", 0, 0), summary("b", 8, 0)}), 8) == std::vector<std::string>{"b", "a"});
    CHECK(rankedZoneNames(makeConfiguration({}), makeView({summary("b", 0, 9)}), 8) == std::vector<std::string>{"b", "a"});
}

// Guards against routing a job away from the zone in which its organisation can reclaim guaranteed capacity.
TEST_CASE("a zone with a guarantee of the organisation comes first")
{
    const Guarantee guarantee{
        .m_organisation = OrganisationId::create("bakery").value(),
        .m_zone = ZoneId::create("b").value(),
        .m_shape = makeClass(8).m_shape,
        .m_count = 1,
        .m_reclaimWithin = Duration(1000),
        .m_priority = 1,
    };
    CHECK(rankedZoneNames(makeConfiguration({guarantee}), makeView({summary("a", 8, 0), summary("b", 0, 5)}), 8) == std::vector<std::string>{"b", "a"});
}
