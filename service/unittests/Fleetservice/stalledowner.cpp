#include "nodefixture.h"
#include "session.h"

#include "primrosebridge/Fleetstandin/standinstore.h"

#include <catch2/catch.hpp>

#include <atomic>

namespace PrimroseBridge {

namespace {

// A session whose owner's thread makes progress as the test says.
class SupervisedMember
{
public:
    SupervisedMember(const std::string &vm, const StandinStore &store)
        : m_session(PeerVm{.m_vm = vm, .m_address = "127.0.0.1:1", .m_incarnation = "1", .m_processorCores = 1.0},
                    Duration(1000),
                    std::make_shared<PlatformStore>(store.address(), HttpClient::create().take()),
                    SessionCallbacks{.m_mayTakeOwnership = [] { return true; },
                                     .m_electionDelay = [] { return Duration(0); },
                                     .m_onOwnershipGained =
                                         [this](std::int64_t fence) {
                                             m_fence = fence;
                                             ++m_gained;
                                         },
                                     .m_onOwnershipLost = [this](std::int64_t, const std::string &) { m_fence = 0; },
                                     .m_ownerIterations = [this] { return m_progresses ? ++m_iterations : m_iterations.load(); }})
    {
        m_session.start();
    }

    std::atomic<std::int64_t> m_fence = 0;
    std::atomic<int> m_gained = 0;
    std::atomic<bool> m_progresses = true;
    std::atomic<std::uint64_t> m_iterations = 0;
    Session m_session;
};

} // namespace

// Guards against a fleet without decisions (LOST, review case 9): the thread of the owner hangs, but the lease is renewed on another thread, so that no
// other VM takes over.
TEST_CASE("an owner whose thread makes no progress gives the ownership up until it does")
{
    StandinStore store;
    SupervisedMember first("vm-1", store);
    first.m_session.setKnownOwner(std::nullopt);
    REQUIRE(waitUntil([&] { return first.m_fence != 0; }));
    first.m_progresses = false;
    REQUIRE(waitUntil([&] { return first.m_fence == 0; }, 12'000));
    // The store has no owner, and this VM does not take the key again.
    std::this_thread::sleep_for(Duration(1'000));
    CHECK(first.m_gained == 1);
    SupervisedMember second("vm-2", store);
    second.m_session.setKnownOwner(std::nullopt);
    REQUIRE(waitUntil([&] { return second.m_fence != 0; }));
    second.m_session.close();
    first.m_progresses = true;
    CHECK(waitUntil([&] { return first.m_fence != 0; }));
}

// Guards against an owner that gives up although its thread only works on something long, or although the whole process was suspended.
TEST_CASE("an owner whose thread makes progress now and then keeps the ownership")
{
    StandinStore store;
    SupervisedMember member("vm-1", store);
    member.m_session.setKnownOwner(std::nullopt);
    REQUIRE(waitUntil([&] { return member.m_fence != 0; }));
    for (int round = 0; round < 3; ++round) {
        member.m_progresses = false;
        std::this_thread::sleep_for(Duration(3'000));
        member.m_progresses = true;
        std::this_thread::sleep_for(Duration(600));
    }
    CHECK(member.m_fence != 0);
    CHECK(member.m_gained == 1);
}

} // namespace PrimroseBridge
