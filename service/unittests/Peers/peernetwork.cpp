#include "testnode.h"

#include "primrosebridge/Wire/heartbeat.h"
#include "primrosebridge/Wire/peer.grpc.pb.h"

#include <catch2/catch.hpp>
#include <grpcpp/create_channel.h>

#include <atomic>

using namespace PrimroseBridge;
namespace wire = primrosebridge::wire;

static ZoneSummary ownedZone(const std::string &zone, const std::string &owner, std::int64_t sequence)
{
    return ZoneSummary{ZoneId::create(zone).value(), owner, "127.0.0.1:7000", 12, sequence, 8, 1};
}

static grpc::Status sendRaw(const TestNode &node, const wire::HeartbeatMessage &message)
{
    const auto stub = wire::PeerService::NewStub(grpc::CreateChannel(node.network().address(), grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + Duration(2000));
    wire::HeartbeatMessage reply;
    return stub->Heartbeat(&context, message, &reply);
}

static wire::HeartbeatMessage rawHeartbeat(const std::string &vm, std::int64_t incarnation, std::int64_t version = 0)
{
    wire::HeartbeatMessage message;
    const Heartbeat heartbeat{VmId::create(vm).value(), ZoneId::create("Deventer").value(), incarnation, "127.0.0.1:9", version, false, false, {}};
    encodeHeartbeat(StampedHeartbeat{heartbeat, TimerService::wallClockNow()}, &message);
    return message;
}

// A process that is named only in the settings of others must still learn of them, or it would stay alone after a restart.
TEST_CASE("heartbeats make processes known to each other and carry zone summaries")
{
    std::atomic<int> reports = 0;
    auto callbacks = idleCallbacks();
    const TestNode first(testSettings("vm-1", "Deventer"),
                         PeerCallbacks{callbacks.m_answerForward,
                                       [] { return std::vector<ZoneSummary>{ownedZone("Deventer", "vm-1", 5)}; },
                                       [] { return true; },
                                       callbacks.m_zonePeerReachesStore});
    const TestNode second(testSettings("vm-2", "Deventer"),
                          PeerCallbacks{callbacks.m_answerForward, callbacks.m_localZones, callbacks.m_storeReachable, [&reports] { ++reports; }});
    const TestNode third(testSettings("vm-3", "Kampen"));
    first.knows(second);
    third.knows(first);
    CHECK(eventually(Duration(4000), [&] {
        return statusAt(first, "vm-2") == PeerStatus::Alive && statusAt(second, "vm-1") == PeerStatus::Alive && statusAt(first, "vm-3") == PeerStatus::Alive
               && statusAt(third, "vm-1") == PeerStatus::Alive;
    }));
    CHECK(eventually(Duration(4000), [&] { return second.network().view().m_zones.size() == 1 && third.network().view().m_zones.size() == 1; }));
    CHECK(third.network().view().m_zones.at(first.m_settings.m_zone) == ownedZone("Deventer", "vm-1", 5));
    CHECK(eventually(Duration(4000), [&] { return zonePeerReachesStore(second.network().view()) && reports > 0; }));
    CHECK(first.network().heartbeatBytes() > 0);
}

// An accepted version must be in force in every zone within 4 s, also where it arrives over two hops.
TEST_CASE("a configuration offered to one process reaches the others within 4 s")
{
    TestNode first(testSettings("vm-1", "Deventer"));
    const TestNode second(testSettings("vm-2", "Kampen"));
    const TestNode third(testSettings("vm-3", "Zwolle-Noord"));
    second.knows(first);
    third.knows(second);
    REQUIRE(eventually(Duration(4000), [&] { return statusAt(first, "vm-2") == PeerStatus::Alive && statusAt(second, "vm-3") == PeerStatus::Alive; }));
    for (const std::int64_t version : {4, 5}) {
        CHECK(first.m_configuration.offer(testDocument(version)).value());
        CHECK(eventually(Duration(4000), [&] { return second.m_configuration.version() == version && third.m_configuration.version() == version; }));
    }
    CHECK(third.m_configuration.current()->m_document == testDocument(5));
}

// A new process that reaches peers but not the store takes its configuration from them.
TEST_CASE("a new process fetches the configuration from a peer")
{
    TestNode holder(testSettings("vm-1", "Deventer"));
    const TestNode empty(testSettings("vm-2", "Deventer"));
    const TestNode joining(testSettings("vm-3", "Kampen"));
    REQUIRE(holder.m_configuration.offer(testDocument(7)).value());
    CHECK_FALSE(joining.network().fetchConfiguration(0));
    joining.knows(empty);
    joining.knows(holder);
    CHECK_FALSE(joining.network().fetchConfiguration(8));
    // A heartbeat may have been faster than this call; either way the version is in force.
    joining.network().fetchConfiguration(0);
    CHECK(joining.m_configuration.version() == 7);
}

// A late message of a process that has been replaced must not direct requests to it again.
TEST_CASE("a restarted process replaces its old incarnation, and late messages are refused")
{
    const TestNode first(testSettings("vm-1", "Deventer"));
    std::string oldAddress;
    {
        const TestNode old(testSettings("vm-2", "Deventer", 1000));
        oldAddress = old.network().address();
        old.knows(first);
        REQUIRE(eventually(Duration(4000), [&] { return statusAt(first, "vm-2") == PeerStatus::Alive; }));
    }
    const TestNode restarted(testSettings("vm-2", "Deventer", 2000));
    restarted.knows(first);
    const auto vm = VmId::create("vm-2").value();
    CHECK(eventually(Duration(4000), [&] { return first.network().view().m_peers.at(vm).m_incarnation == 2000; }));
    CHECK(sendRaw(first, rawHeartbeat("vm-2", 1000)).error_code() == grpc::StatusCode::ABORTED);
    CHECK(first.network().view().m_peers.at(vm).m_address == restarted.network().address());
    CHECK(first.network().view().m_peers.at(vm).m_address != oldAddress);
}

// A peer with a fault must not change what others believe or make them fetch what does not exist for ever.
TEST_CASE("hostile heartbeats are refused and a version that nobody has is harmless")
{
    const TestNode node(testSettings("vm-1", "Deventer"));
    auto malformed = rawHeartbeat("vm-2", 5);
    malformed.set_vm("../vm");
    CHECK(sendRaw(node, malformed).error_code() == grpc::StatusCode::INVALID_ARGUMENT);
    CHECK(sendRaw(node, rawHeartbeat("vm-1", 999999)).error_code() == grpc::StatusCode::ABORTED);
    CHECK(node.network().view().m_peers.empty());
    CHECK(sendRaw(node, rawHeartbeat("vm-2", 5, 1'000'000)).ok());
    CHECK(statusAt(node, "vm-2") == PeerStatus::Alive);
    CHECK(node.m_configuration.version() == 0);
}

// Peers must stop choosing a process before it closes its connections.
TEST_CASE("a planned stop is announced at once")
{
    const TestNode first(testSettings("vm-1", "Deventer"));
    const TestNode second(testSettings("vm-2", "Deventer"));
    first.knows(second);
    REQUIRE(eventually(Duration(4000), [&] { return statusAt(second, "vm-1") == PeerStatus::Alive; }));
    first.network().announceStop();
    CHECK(eventually(Duration(2000), [&] { return statusAt(second, "vm-1") == PeerStatus::Stopping; }));
}

// The merged timeline must correct clocks, keep causes and say which processes are missing from it.
TEST_CASE("events of peers are fetched and missing processes are named")
{
    const TestNode first(testSettings("vm-1", "Deventer"));
    TestNode second(testSettings("vm-2", "Kampen"));
    first.knows(second);
    first.network().addPeer(VmId::create("vm-9").value(), ZoneId::create("Kampen").value(), "127.0.0.1:9");
    const Instant start = TimerService::wallClockNow();
    second.m_events.record(start, "task_started", "key", EventReference{"vm-1", 7}, "text=\xff");
    const auto [answers, missing] = first.network().fetchEvents(start - Duration(1000), "key");
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().m_vm == "vm-2");
    CHECK(answers.front().m_events == second.m_events.since(start, "key"));
    CHECK(answers.front().m_clockOffset.count() == Approx(0).margin(200));
    CHECK(missing == std::vector<std::string>{"vm-9"});
}

// An address in use must be reported when the process starts, not show as lost messages later.
TEST_CASE("an address that is taken or malformed is refused")
{
    const TestNode first(testSettings("vm-1", "Deventer"));
    const auto settings = testSettings("vm-2", "Deventer");
    const TestNode taken(PeerSettings{settings.m_vm, settings.m_zone, 1, first.network().address()});
    CHECK(taken.m_created.error().kind() == ErrorKind::Unavailable);
    const TestNode malformed(PeerSettings{settings.m_vm, settings.m_zone, 1, "localhost:0"});
    CHECK(malformed.m_created.error().kind() == ErrorKind::InvalidArgument);
}
