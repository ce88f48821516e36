#include "primrosebridge/Election/zoneelection.h"

#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Store/storeclient.h"

#include "Store/fakestore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>

using namespace PrimroseBridge;
using FakeStore::Fault;

static const bool logging = (startLogging("test", LogLevel::Error), true);
static const auto noord = ZoneId::create("noord").value();

static bool waitFor(Duration longest, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + longest;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(Duration(5));
    }
    return true;
}

// One entry VM that takes part in the election.
struct Vm {
    Vm(const std::string &name, const FakeStore::Server &store, std::atomic<int> &owners)
        : m_store(StoreClient::create({"127.0.0.1", store.port(), Duration(300), 1000, 1000}).value())
        , m_events(name, 100)
    {
        const ElectionSettings settings{VmId::create(name).value(), noord, 1'700'000'000'000, "127.0.0.1:7000"};
        const ElectionCallbacks callbacks{
            .m_started =
                [this, &owners](Fence) {
                    ++m_starts;
                    ++owners;
                },
            .m_stopped =
                [this, &owners] {
                    ++m_stops;
                    --owners;
                },
        };
        m_election = ZoneElection::create(settings, m_store, m_timers, m_events, callbacks).take();
    }

    bool isIn(OwnershipRole role) const
    {
        return m_election->state().m_role == role;
    }
    bool becomes(OwnershipRole role, Duration longest = Duration(4500)) const
    {
        return waitFor(longest, [&] { return isIn(role); });
    }
    bool hasEvent(std::string_view kind) const
    {
        const auto events = m_events.since(Instant(), "");
        return std::any_of(events.begin(), events.end(), [&](const auto &event) { return event.m_kind == kind; });
    }

    std::atomic<int> m_starts = 0;
    std::atomic<int> m_stops = 0;
    std::shared_ptr<TimerService> m_timers = TimerService::create().value();
    std::shared_ptr<StoreClient> m_store;
    EventLog m_events;
    std::unique_ptr<ZoneElection> m_election;
};

// Two owners at a time, or none for longer than urgent work may wait, are the faults that the election exists to prevent.
TEST_CASE("one VM owns the zone and the other takes over within 4.5 s of its loss")
{
    FakeStore::Server store;
    std::atomic<int> owners = 0;
    Vm first("vm-1", store, owners);
    REQUIRE(first.becomes(OwnershipRole::Owner, Duration(1000)));
    Vm second("vm-2", store, owners);
    REQUIRE(waitFor(Duration(1000), [&] { return second.m_election->owner().has_value(); }));
    CHECK(second.m_election->owner()->m_vm == "vm-1");
    CHECK(second.m_election->owner()->m_peerAddress == "127.0.0.1:7000");
    std::this_thread::sleep_for(Duration(3500)); // Longer than a lease: the renewals must keep it.
    CHECK(first.isIn(OwnershipRole::Owner));
    CHECK(second.isIn(OwnershipRole::Standby));
    CHECK(second.m_election->storeReachable());
    CHECK(owners == 1);

    const auto oldFence = *first.m_election->state().m_fence;
    const auto lostAt = std::chrono::steady_clock::now();
    first.m_election.reset();
    REQUIRE(second.becomes(OwnershipRole::Owner, Duration(4500)));
    const auto withoutOwner = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - lostAt);
    CAPTURE(withoutOwner.count());
    CHECK(withoutOwner <= Duration(4500));
    CHECK(oldFence.m_number < second.m_election->state().m_fence->m_number);
    CHECK(second.hasEvent("zone_owned"));
}

// A lost answer taken for a failure would leave the zone blocked by a key that nobody renews.
TEST_CASE("a lost answer to the creation of the key is settled by reading it back")
{
    FakeStore::Server store;
    const auto fault = GENERATE(Fault::CutBefore, Fault::CutAfter, Fault::SlowAfter, Fault::Garbage);
    std::atomic<int> left = 1;
    store.setFaults([&](const std::string &path, const std::string &) { return path == "/v3/kv/txn" && left-- > 0 ? fault : Fault::None; });
    std::atomic<int> owners = 0;
    Vm vm("vm-1", store, owners);
    REQUIRE(vm.becomes(OwnershipRole::Owner, Duration(2500)));
    const auto entries = store.contents().entries();
    REQUIRE(entries.contains("primrosebridge/control/owners/noord"));
    CHECK(entries.at("primrosebridge/control/owners/noord").m_create == vm.m_election->state().m_fence->m_number);
    CHECK(vm.m_election->owner()->m_fence == *vm.m_election->state().m_fence);
    CHECK(owners == 1);
}

static void sleepThroughOutage(FakeStore::Server &store, Vm &vm)
{
    REQUIRE(vm.becomes(OwnershipRole::Owner, Duration(1000)));
    store.stop();
    REQUIRE(vm.becomes(OwnershipRole::Degraded));
    CHECK(vm.m_starts == 1);
    CHECK(vm.m_stops == 0);
    CHECK_FALSE(vm.m_election->storeReachable());
    CHECK(vm.hasEvent("zone_degraded"));
}

// The zone must not lose its owner with the store, and must have exactly one again afterwards.
TEST_CASE("an owner is degraded while the store is down and owns again if its lease was kept")
{
    FakeStore::Server store;
    std::atomic<int> owners = 0;
    Vm vm("vm-1", store, owners);
    sleepThroughOutage(store, vm);
    const auto fence = vm.m_election->state().m_fence;
    store.contents().renewAllLeases();
    store.start();
    REQUIRE(vm.becomes(OwnershipRole::Owner, Duration(2500)));
    CHECK(vm.m_election->state().m_fence == fence);
    CHECK(vm.m_stops == 0);
    CHECK(vm.hasEvent("zone_restored"));
}

TEST_CASE("a degraded owner whose lease is gone stops and acquires the zone with a higher fence")
{
    FakeStore::Server store;
    std::atomic<int> owners = 0;
    Vm vm("vm-1", store, owners);
    sleepThroughOutage(store, vm);
    const auto fence = *vm.m_election->state().m_fence;
    store.contents().expireAllLeases();
    store.start();
    REQUIRE(waitFor(Duration(2500), [&] { return vm.m_starts == 2; }));
    CHECK(vm.m_stops == 1);
    CHECK(fence.m_number < vm.m_election->state().m_fence->m_number);
}

TEST_CASE("a degraded owner that finds a successor becomes a standby")
{
    FakeStore::Server store;
    std::atomic<int> owners = 0;
    Vm vm("vm-1", store, owners);
    sleepThroughOutage(store, vm);
    store.contents().expireAllLeases();
    store.contents().put(ownershipKey(noord), R"({"vm":"vm-9","incarnation":1,"address":"a","operation":"o"})");
    store.start();
    REQUIRE(vm.becomes(OwnershipRole::Standby, Duration(2500)));
    REQUIRE(waitFor(Duration(1000), [&] { return vm.m_election->owner()->m_vm == "vm-9"; }));
    CHECK(owners == 0);
}

// An owner cut off from the store alone must make room for a peer that reaches it, also if no worker tells it.
TEST_CASE("a degraded owner steps down for a peer that reaches the store")
{
    FakeStore::Server store;
    std::atomic<int> owners = 0;
    Vm vm("vm-1", store, owners);
    sleepThroughOutage(store, vm);
    REQUIRE(waitFor(Duration(2500), [&] {
        vm.m_election->notify({.m_kind = OwnershipEventKind::PeerReachesStore});
        return vm.isIn(OwnershipRole::Standby);
    }));
    REQUIRE(waitFor(Duration(500), [&] { return owners == 0; }));
    CHECK(vm.hasEvent("zone_given_up"));
}

// A planned stop that waits for the lease would leave the zone without an owner for 3 s at every restart.
TEST_CASE("resign hands the zone over at once and the process does not acquire again")
{
    FakeStore::Server store;
    std::atomic<int> owners = 0;
    Vm first("vm-1", store, owners);
    REQUIRE(first.becomes(OwnershipRole::Owner, Duration(1000)));
    Vm second("vm-2", store, owners);
    REQUIRE(waitFor(Duration(1000), [&] { return second.m_election->owner().has_value(); }));
    first.m_election->resign(Duration(2000));
    CHECK(owners == 0);
    CHECK(store.contents().entries().empty());
    second.m_election->ownershipKeyChanged();
    REQUIRE(second.becomes(OwnershipRole::Owner, Duration(500)));
    REQUIRE(waitFor(Duration(1500), [&] { return first.m_election->owner().has_value(); }));
    CHECK(first.m_election->owner()->m_vm == "vm-2");
    second.m_election->resign(Duration(2000));
    std::this_thread::sleep_for(Duration(1500));
    CHECK(store.contents().entries().empty());
}

// A value that cannot be read may be a newer version's; deleting it would depose a live owner.
TEST_CASE("a malformed ownership key is left alone")
{
    FakeStore::Server store;
    store.contents().put(ownershipKey(noord), "");
    std::atomic<int> owners = 0;
    Vm vm("vm-1", store, owners);
    std::this_thread::sleep_for(Duration(1500));
    CHECK(vm.isIn(OwnershipRole::Standby));
    CHECK(store.contents().entries().size() == 1);
    CHECK_FALSE(vm.m_election->owner().has_value());
}
