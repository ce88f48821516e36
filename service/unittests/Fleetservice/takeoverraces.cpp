#include "nodefixture.h"
#include "ownersimulation.h"
#include "session.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/loopbackhttpserver.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"
#include "primrosebridge/Http/bootclock.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <thread>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

// Duration of a write while the store is slow.
static constexpr Duration slowStoreDelay(330);
static const std::string jobId = "5c0e7a21d94b36f8";

namespace {

// Holds back the answers of one VM's store calls that a test chooses. The calls are executed at once.
class DelayingStore
{
public:
    explicit DelayingStore(StandinStore &store)
        : m_server([this, &store](const StandinCall &call) {
            auto answer = store.handle(call);
            if (m_mustHold && m_mustHold(call)) {
                m_holding = true;
                // Shorter than the time-out of a store call, so that the late answer still counts.
                waitUntil([this] { return m_released.load(); }, 850);
            }
            return answer;
        })
    {
    }

    std::function<bool(const StandinCall &)> m_mustHold; // Set before the first call.
    std::atomic<bool> m_holding = false;
    std::atomic<bool> m_released = false;
    LoopbackHttpServer m_server;
};

// A session of one VM, and the last ownership that it has reported.
class ElectionMember
{
public:
    ElectionMember(const std::string &vm, const std::string &storeAddress)
        : m_self(PeerVm{.m_vm = vm, .m_address = "127.0.0.1:1", .m_incarnation = "1", .m_processorCores = 1.0})
        , m_session(m_self,
                    Duration(1000),
                    std::make_shared<PlatformStore>(storeAddress, HttpClient::create().take()),
                    SessionCallbacks{.m_mayTakeOwnership = [] { return true; },
                                     .m_electionDelay = [] { return Duration(0); },
                                     .m_onOwnershipGained = [this](std::int64_t fence) { m_fence = fence; },
                                     .m_onOwnershipLost = [](std::int64_t, const std::string &) {}})
    {
        m_session.start();
    }

    [[nodiscard]] bool isSoleOwnerNow() const
    {
        return m_session.leaseEnd(m_fence) > bootClockNow();
    }

    const PeerVm m_self;
    std::atomic<std::int64_t> m_fence = 0;
    Session m_session;
};

// Forwards the calls of some owners to a worker and drops those of the others, as a cut between zones does.
class PartlyReachableWorker
{
public:
    explicit PartlyReachableWorker(const StandinWorker &worker)
        : m_address(nlohmann::json::parse(worker.entry("ready")).at("addr").get<std::string>())
        , m_server([this](const StandinCall &call) { return forward(call); })
    {
    }

    [[nodiscard]] std::string entryOf(const StandinWorker &worker) const
    {
        auto entry = nlohmann::json::parse(worker.entry("ready"));
        entry["addr"] = m_server.address();
        return entry.dump();
    }

    // Calls with a fence outside of these limits are dropped.
    std::atomic<std::int64_t> m_firstFence = 0;
    std::atomic<std::int64_t> m_lastFence = std::numeric_limits<std::int64_t>::max();

private:
    StandinAnswer forward(const StandinCall &call)
    {
        const auto fence = nlohmann::json::parse(call.m_body).value("fence", std::int64_t(0));
        if (fence < m_firstFence || fence > m_lastFence) {
            return StandinAnswer{.m_status = 0, .m_body = {}};
        }
        const auto answer = m_client->call(HttpClientCall{
            .m_address = m_address, .m_method = call.m_method, .m_path = call.m_path, .m_body = call.m_body, .m_headers = {}, .m_timeout = Duration(5000)});
        return answer.ok() ? StandinAnswer{.m_status = answer.value().m_status, .m_body = answer.value().m_body} : StandinAnswer{.m_status = 0, .m_body = {}};
    }

    const std::string m_address;
    const std::shared_ptr<HttpClient> m_client = HttpClient::create().take();
    LoopbackHttpServer m_server;
};

} // namespace

// Ends the lease of the ownership key that the call has written. Returns false if the call has written none.
static bool endLeaseOfOwnershipKey(StandinStore &store, const StandinCall &call)
{
    if (call.m_path != "/kv-txn" || call.m_body.find(StoreKeys::owner) == std::string::npos) {
        return false;
    }
    const auto lease = nlohmann::json::parse(call.m_body).at("setKeys").at(0).at("lease").get<std::int64_t>();
    store.handle(StandinCall{.m_method = "DELETE", .m_path = "/kv-lease-end/" + std::to_string(lease), .m_query = {}, .m_headers = {}, .m_body = {}});
    return true;
}

// Guards against two VMs that both renew task leases, and so against two runs of one task: the answer to the write of the ownership key arrives
// after the session has ended, because the VM was suspended or its renewals were lost. The ownership must not live on the next session's lease.
TEST_CASE("an ownership key that was written under a former session gives no ownership under the next one")
{
    StandinStore store;
    DelayingStore delaying(store);
    delaying.m_mustHold = [&](const StandinCall &call) { return !delaying.m_holding && endLeaseOfOwnershipKey(store, call); };
    ElectionMember first("vm-1", delaying.m_server.address());
    ElectionMember second("vm-2", store.address());
    const std::string firstKey = std::string(StoreKeys::vms) + "vm-1";
    REQUIRE(waitUntil([&] { return store.value(firstKey) && store.value(std::string(StoreKeys::vms) + "vm-2"); }));
    const auto firstRegistration = store.revisionOf(firstKey);
    first.m_session.setKnownOwner(std::nullopt);
    REQUIRE(waitUntil([&] { return delaying.m_holding.load(); }));
    second.m_session.setKnownOwner(std::nullopt);
    REQUIRE(waitUntil([&] { return second.m_fence != 0; }));
    first.m_session.setKnownOwner(FleetOwnerRecord{.m_vm = second.m_self, .m_fence = second.m_fence});
    REQUIRE(waitUntil([&] { return store.value(firstKey) && store.revisionOf(firstKey) > firstRegistration; }, 800));
    std::this_thread::sleep_for(Duration(50)); // The answer to the registration.
    delaying.m_released = true;
    bool bothOwnedAtOnce = false;
    for (int round = 0; round < 30; ++round) {
        std::this_thread::sleep_for(Duration(50));
        REQUIRE(second.isSoleOwnerNow());
        bothOwnedAtOnce = bothOwnedAtOnce || first.isSoleOwnerNow();
    }
    CAPTURE(first.m_fence.load(), second.m_fence.load());
    CHECK_FALSE(bothOwnedAtOnce);
    CHECK_FALSE(first.isSoleOwnerNow());
}

// Guards against a VM that answers callers from the state of an ended ownership until it owns the fleet again: the ownership ends while the VM
// still reads the records of its takeover.
TEST_CASE("an ownership that ends during the takeover does not begin afterwards")
{
    StandinStore store;
    store.put("op/config", configurationText(1, R"("k1")"));
    DelayingStore delaying(store);
    delaying.m_mustHold = [&](const StandinCall &call) {
        const auto prefix = call.m_query.find("prefix");
        return call.m_path == "/kv-range" && prefix != call.m_query.end() && prefix->second == StoreKeys::progress;
    };
    const auto node = FleetNode::create(settingsOf("vm-1", delaying.m_server.address())).take();
    REQUIRE(waitUntil([&] { return delaying.m_holding.load(); }));
    REQUIRE(store.value(std::string(StoreKeys::owner)));
    const PeerVm other{.m_vm = "vm-2", .m_address = "127.0.0.1:1", .m_incarnation = "2", .m_processorCores = 1.0};
    store.put(std::string(StoreKeys::owner), encodePeer(other));
    std::this_thread::sleep_for(Duration(300)); // The watch reports the successor.
    CHECK_FALSE(node->waitingJobCount("q"));
    delaying.m_released = true;
    std::this_thread::sleep_for(Duration(3000)); // Longer than a store lease and half a task lease.
    CHECK_FALSE(node->waitingJobCount("q"));
}

// Guards against two runs of one task: a worker answers a new owner and then restarts under its identifier. The new incarnation has seen no fence
// and may execute a late start order of the former owner, while the job is still locked for another worker.
TEST_CASE("a takeover also awaits the next incarnation of a worker that restarts after it has answered")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = std::nullopt},
                     RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = std::nullopt}});
    sim.answer("w1", std::nullopt, {}, Sim::at(50));
    sim.apply(WorkerReported{.m_report = Sim::worker("w1", std::nullopt, 2)}, Sim::at(100));
    sim.answer("w2", std::nullopt, {}, Sim::at(150));
    sim.review(Sim::at(150));
    sim.place(Sim::at(150));
    CHECK(sim.workerOf(jobId).empty());
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(200));
    sim.review(Sim::at(200));
    sim.place(Sim::at(200));
    CHECK(sim.workerOf(jobId) == "w1");
}

// Guards against two runs of one task: a roster that this release cannot read says nothing about where the former owner has started tasks, so
// that the jobs of the takeover have to stay locked until the longest task lease has passed.
TEST_CASE("jobs stay locked after a takeover with a roster that cannot be read")
{
    StandinStore store;
    StandinWorker worker("w2", "r1", Duration(100));
    store.put("op/config", configurationText(1, R"("k1")"));
    {
        const auto former = FleetNode::create(settingsOf("vm-1", store)).take();
        REQUIRE(waitUntil([&] { return former->ready(); }));
        REQUIRE(answerFleetCall(*former, callOf("POST", "/q/job", oneTaskJob)).m_status == 200);
    }
    store.put(std::string(StoreKeys::roster), R"({"version":7,"workers":[{"worker":"w1"}]})");
    store.put("servers/w2", worker.entry("ready"));
    const auto node = FleetNode::create(settingsOf("vm-2", store)).take();
    REQUIRE(waitUntil([&] { return node->waitingJobCount("q").has_value(); }));
    std::this_thread::sleep_for(Duration(2000)); // Shorter than the task lease of 3 s.
    CHECK(worker.runHistory().empty());
    CHECK(waitUntil([&] { return isComplete(*node, "/q/job"); }));
}

// Guards against two runs of one task: the same delay as above, with workers that only one of the VMs reaches. The VM whose key is gone
// renews the leases of a worker, which the successor counts as ended after its takeover.
TEST_CASE("no task runs twice at a time if the answer to the write of the ownership key outlives the session")
{
    StandinStore store;
    StandinWorker near("w1", "r1", Duration(20'000), Duration(3000));
    StandinWorker far("w2", "r1", Duration(20'000), Duration(3000));
    PartlyReachableWorker nearLink(near);
    PartlyReachableWorker farLink(far);
    store.put("op/config", configurationText(1, R"("k1")"));
    store.put("servers/w1", nearLink.entryOf(near));
    DelayingStore delaying(store);
    delaying.m_mustHold = [&](const StandinCall &call) {
        if (delaying.m_holding) {
            if (call.m_body.find(StoreKeys::roster) != std::string::npos) {
                std::this_thread::sleep_for(slowStoreDelay);
            }
            return false;
        }
        const auto fence = store.revisionOf(std::string(StoreKeys::owner));
        if (!endLeaseOfOwnershipKey(store, call)) {
            return false;
        }
        nearLink.m_lastFence = fence;
        farLink.m_firstFence = fence + 1;
        return true;
    };
    {
        const auto former = FleetNode::create(settingsOf("vm-0", store)).take();
        REQUIRE(waitUntil([&] { return former->ready(); }));
        REQUIRE(answerFleetCall(*former, callOf("POST", "/q/job", oneTaskJob)).m_status == 200);
        REQUIRE(waitUntil([&] { return near.runningTasks().size() == 1; }));
        store.put("servers/w2", farLink.entryOf(far));
        std::this_thread::sleep_for(Duration(300));
    }
    const auto first = FleetNode::create(settingsOf("vm-1", delaying.m_server.address())).take();
    REQUIRE(waitUntil([&] { return delaying.m_holding.load(); }));
    const auto second = FleetNode::create(settingsOf("vm-2", store)).take();
    REQUIRE(waitUntil([&] { return !near.runHistory().front().m_endKind.empty() && !far.runHistory().empty(); }, 10'000));
    const auto firstRun = near.runHistory().front();
    CAPTURE(firstRun.m_endKind);
    const auto overlap = firstRun.m_endedAt - far.runHistory().front().m_startedAt;
    CHECK(std::chrono::duration_cast<Duration>(overlap).count() <= 0);
}

} // namespace PrimroseBridge
