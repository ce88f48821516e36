#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Membership/clockoffset.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace PrimroseBridge;

static const Instant start = fromMilliseconds(1'800'000'000'000);

static VmId vm(const std::string &name)
{
    return VmId::create(name).value();
}

static ZoneId zone(const std::string &name)
{
    return ZoneId::create(name).value();
}

static Heartbeat heartbeat(const std::string &name, const std::string &zoneName, std::int64_t incarnation, std::int64_t version = 0, bool reaches = false)
{
    return Heartbeat{vm(name), zone(zoneName), incarnation, "127.0.0.1:7000", version, reaches, false, {}};
}

static ZoneSummary summary(const std::string &zoneName, std::int64_t fence, std::int64_t sequence)
{
    return ZoneSummary{zone(zoneName), "vm-o", "127.0.0.1:7001", fence, sequence, 8, 0};
}

static MembershipView viewOf(const std::vector<Heartbeat> &heartbeats, const std::string &self = "vm-m")
{
    auto view = std::make_unique<const MembershipView>(initialMembership(vm(self), zone("north")));
    for (const auto &message : heartbeats) {
        view = std::make_unique<const MembershipView>(receiveHeartbeat(*view, message, start));
    }
    return *view;
}

static PeerStatus statusOf(const MembershipView &view, const std::string &name)
{
    return view.m_peers.at(vm(name)).m_status;
}

// A peer that is silent for three heartbeats must get no new requests, and after one task lease it must not be counted any more.
TEST_CASE("a silent peer is suspected after 3 s and removed after 10 s")
{
    const auto view = viewOf({heartbeat("vm-a", "north", 1)});
    CHECK(statusOf(advanceMembership(view, start + Duration(2999)), "vm-a") == PeerStatus::Alive);
    CHECK(statusOf(advanceMembership(view, start + Duration(3000)), "vm-a") == PeerStatus::Suspected);
    CHECK(statusOf(advanceMembership(view, start + Duration(9999)), "vm-a") == PeerStatus::Suspected);
    const auto removed = advanceMembership(view, start + Duration(10000));
    CHECK(statusOf(removed, "vm-a") == PeerStatus::Removed);
    const auto again = receiveHeartbeat(removed, heartbeat("vm-a", "north", 1), start + Duration(11000));
    CHECK(statusOf(again, "vm-a") == PeerStatus::Alive);
}

// A clock that is set back must not keep a dead peer alive.
TEST_CASE("a clock set back does not prolong the life of a silent peer")
{
    const auto setBack = advanceMembership(viewOf({heartbeat("vm-a", "north", 1)}), start - std::chrono::hours(1));
    CHECK(statusOf(advanceMembership(setBack, start - std::chrono::hours(1) + Duration(3000)), "vm-a") == PeerStatus::Suspected);
}

// A late message of a process that has been replaced must not bring it back.
TEST_CASE("a higher incarnation replaces the old one and late heartbeats of the old one are ignored")
{
    const auto restarted = viewOf({heartbeat("vm-a", "north", 5, 9), heartbeat("vm-a", "north", 6, 2)});
    CHECK(restarted.m_peers.at(vm("vm-a")).m_configurationVersion == 2);
    CHECK(isStaleHeartbeat(restarted, heartbeat("vm-a", "north", 5, 9)));
    CHECK(receiveHeartbeat(restarted, heartbeat("vm-a", "north", 5, 9), start + Duration(1)) == restarted);
}

// Two processes with one name would otherwise each see themselves as their own peer.
TEST_CASE("a process never becomes its own peer")
{
    const auto view = viewOf({});
    CHECK(receiveHeartbeat(view, heartbeat("vm-m", "north", 99), start) == view);
    CHECK(addKnownPeer(view, vm("vm-m"), zone("north"), "127.0.0.1:1", start) == view);
}

// Messages of one incarnation can be overtaken; a stop that was announced must stay announced.
TEST_CASE("a planned stop is not taken back by an older message of the same incarnation")
{
    const Heartbeat stopping{vm("vm-a"), zone("north"), 5, "127.0.0.1:7000", 4, true, true, {}};
    const auto view = viewOf({stopping, heartbeat("vm-a", "north", 5, 3, true)});
    CHECK(statusOf(view, "vm-a") == PeerStatus::Stopping);
    CHECK(view.m_peers.at(vm("vm-a")).m_configurationVersion == 4);
    CHECK_FALSE(zonePeerReachesStore(view));
    CHECK(statusOf(viewOf({stopping, heartbeat("vm-a", "north", 6)}), "vm-a") == PeerStatus::Alive);
}

// A faulty peer that invents names must not exhaust the memory of the others.
TEST_CASE("peers and zones are bounded")
{
    auto view = std::make_unique<const MembershipView>(viewOf({}));
    for (std::size_t index = 0; index < maxPeers + 5; ++index) {
        view = std::make_unique<const MembershipView>(receiveHeartbeat(*view, heartbeat("vm-" + std::to_string(index), "north", 1), start));
    }
    CHECK(view->m_peers.size() == maxPeers);
    std::vector<ZoneSummary> zones;
    for (std::size_t index = 0; index < maxZones + 5; ++index) {
        zones.push_back(summary("zone-" + std::to_string(index), 1, 1));
    }
    CHECK(mergeZoneSummaries(*view, zones).m_zones.size() == maxZones);
}

// With more than two watchers in a zone the calls to the store would grow with the fleet; with none, changes would not be seen.
TEST_CASE("the first two live members of a zone watch the store")
{
    CHECK(isStoreWatcher(viewOf({})));
    CHECK(isStoreWatcher(viewOf({heartbeat("vm-a", "north", 1), heartbeat("vm-b", "south", 1)})));
    const auto third = viewOf({heartbeat("vm-a", "north", 1), heartbeat("vm-b", "north", 1)});
    CHECK_FALSE(isStoreWatcher(third));
    CHECK(isStoreWatcher(advanceMembership(third, start + Duration(3000))));
    const auto known = addKnownPeer(viewOf({heartbeat("vm-a", "north", 1)}), vm("vm-b"), zone("north"), "127.0.0.1:1", start);
    CHECK(isStoreWatcher(known));
}

// Peers of another zone are contacted in turn; with the times of the own zone they would be suspected and found alive again all the time.
TEST_CASE("live peers of a large zone are never suspected while heartbeats pass")
{
    auto view = std::make_unique<const MembershipView>(viewOf({}));
    for (int index = 0; index < 8; ++index) {
        view = std::make_unique<const MembershipView>(receiveHeartbeat(*view, heartbeat("vm-" + std::to_string(index), "south", 1), start));
    }
    view = std::make_unique<const MembershipView>(addKnownPeer(*view, vm("vm-dead"), zone("south"), "127.0.0.1:1", start));
    for (std::int64_t round = 0; round < 200; ++round) {
        const Instant now = start + Duration(1000) * round;
        view = std::make_unique<const MembershipView>(advanceMembership(*view, now));
        for (const auto &target : heartbeatTargets(*view, round)) {
            if (target.m_vm != vm("vm-dead")) {
                view = std::make_unique<const MembershipView>(receiveHeartbeat(*view, heartbeat(target.m_vm.text(), "south", 1), now));
            }
        }
        for (int index = 0; index < 8; ++index) {
            REQUIRE(statusOf(*view, "vm-" + std::to_string(index)) == PeerStatus::Alive);
        }
    }
    CHECK(statusOf(*view, "vm-dead") == PeerStatus::Removed);
}

// A live zone of which no peer is contacted would be cut off although the link works.
TEST_CASE("heartbeats go to the whole own zone and to every peer of another zone in turn")
{
    auto view = viewOf({heartbeat("vm-a", "north", 1), heartbeat("vm-b", "north", 1), heartbeat("vm-c", "south", 1), heartbeat("vm-d", "south", 1)});
    std::set<std::string> reached;
    for (std::int64_t round = 0; round < 8; ++round) {
        const auto targets = heartbeatTargets(view, round);
        REQUIRE(targets.size() == 3);
        for (const auto &target : targets) {
            reached.insert(target.m_vm.text());
        }
    }
    CHECK(reached == std::set<std::string>{"vm-a", "vm-b", "vm-c", "vm-d"});
}

// Both sides of a partition remove each other; if neither kept sending, they would never meet again.
TEST_CASE("removed peers are still contacted, and forgotten after an hour unless their zone is silent")
{
    const auto view = viewOf({heartbeat("vm-a", "north", 1), heartbeat("vm-c", "south", 1)});
    const auto cut = advanceMembership(view, start + Duration(60000));
    CHECK(heartbeatTargets(cut, 0).size() == 2);
    const auto later = advanceMembership(cut, start + forgetAfter);
    CHECK(later.m_peers.count(vm("vm-a")) == 0);
    CHECK(later.m_peers.count(vm("vm-c")) == 1);
}

// An older summary that arrives at second hand must not hide the present owner of a zone.
TEST_CASE("the summary with the highest fence and sequence wins in any order")
{
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &stamps) {
        auto view = std::make_unique<const MembershipView>(viewOf({}));
        std::pair<std::int64_t, std::int64_t> highest{0, 0};
        for (const auto &[fence, sequence] : stamps) {
            view = std::make_unique<const MembershipView>(mergeZoneSummaries(*view, {summary("south", fence, sequence)}));
            highest = std::max(highest, {fence, sequence});
        }
        RC_PRE(!stamps.empty());
        const auto &known = view->m_zones.at(zone("south"));
        RC_ASSERT(std::pair(known.m_fence, known.m_sequence) == highest);
    }));
}

// Every heartbeat with every zone would exceed the bandwidth of a node at the target scale.
TEST_CASE("a heartbeat carries the own zone and one other in turn")
{
    const auto view = mergeZoneSummaries(viewOf({}), {summary("north", 1, 1), summary("south", 1, 1), summary("east", 1, 1), summary("west", 1, 1)});
    std::set<std::string> carried;
    for (std::int64_t round = 0; round < 4; ++round) {
        const auto zones = heartbeatZones(view, zone("south"), round);
        REQUIRE(zones.size() == 2);
        CHECK(zones.front().m_zone == zone("north"));
        carried.insert(zones.back().m_zone.text());
    }
    CHECK(carried == std::set<std::string>{"east", "west"});
}

// A silent peer cannot hand over its configuration.
TEST_CASE("the live peer with the highest newer configuration is chosen")
{
    const auto view = viewOf({heartbeat("vm-a", "north", 1, 7), heartbeat("vm-b", "south", 1, 9), heartbeat("vm-c", "south", 1, 8)});
    CHECK(peerWithNewerConfiguration(view, 6)->m_vm == vm("vm-b"));
    CHECK_FALSE(peerWithNewerConfiguration(view, 9).has_value());
    // vm-a is suspected after 3 s; the two peers of the other zone after twice that time.
    CHECK_FALSE(peerWithNewerConfiguration(advanceMembership(view, start + Duration(6000)), 6).has_value());
}

// A slow exchange gives a wrong offset and must not replace a good one at once.
TEST_CASE("the clock offset comes from the exchange with the shortest round trip")
{
    const auto sample = [](Duration sent, Duration trip, Duration peerAhead) {
        return ClockSample{1, start + sent, start + sent + trip / 2 + peerAhead, start + sent + trip};
    };
    const auto first = updateClockOffset(std::nullopt, sample(Duration(0), Duration(10), Duration(500)));
    CHECK(first->m_offset == Duration(-500));
    CHECK(updateClockOffset(first, sample(Duration(1000), Duration(700), Duration(900))) == first);
    CHECK(updateClockOffset(first, sample(Duration(70000), Duration(700), Duration(900)))->m_offset == Duration(-900));
    CHECK(updateClockOffset(first, ClockSample{1, start, start, start - Duration(5)}) == first);
}
