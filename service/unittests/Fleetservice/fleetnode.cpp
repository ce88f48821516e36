#include "primrosebridge/Fleetservice/fleetnode.h"
#include "primrosebridge/Fleetservice/fleetapi.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/loopbackhttpserver.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"

#include "nodefixture.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace PrimroseBridge {

// Guards against any failure on the path through two VMs, the store and a worker, and against a fleet that stays without an owner for
// longer than a lease after the owner has stopped.
TEST_CASE("jobs run through any VM, also after the owner has stopped")
{
    StandinStore store;
    StandinWorker worker("w1", "r1", Duration(100));
    store.put("op/config", configurationText(1, R"("k1")"));
    store.put("servers/w1", worker.entry("ready"));
    store.put("servers/odd", "not a worker");
    auto first = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return store.value(std::string(StoreKeys::owner)).has_value(); }));
    const auto second = FleetNode::create(settingsOf("vm-2", store)).take();
    REQUIRE(waitUntil([&] { return first->ready() && second->ready(); }));
    CHECK(answerFleetCall(*second, callOf("POST", "/q/job1", oneTaskJob)).m_status == 200);
    CHECK(answerFleetCall(*first, callOf("POST", "/q/job1", oneTaskJob)).m_status == 200);
    CHECK(waitUntil([&] { return isComplete(*first, "/q/job1") && isComplete(*second, "/q/job1"); }));
    CHECK(worker.runHistory().size() == 1);
    CHECK(answerFleetCall(*second, callOf("GET", "/q/", {})).m_body == R"({"pending":0})");

    first->beginShutdown();
    first->handOver();
    CHECK_FALSE(first->ready());
    CHECK(answerFleetCall(*second, callOf("POST", "/q/job2", oneTaskJob)).m_status == 200);
    CHECK(waitUntil([&] { return isComplete(*second, "/q/job2"); }));
    CHECK(isComplete(*second, "/q/job1"));
    CHECK(worker.runHistory().size() == 2);
}

// Guards against a fleet that never gets an owner again. The store loses its answers, and executes the write of the ownership key after
// the VM has read the key and found it absent.
TEST_CASE("a VM becomes the owner if its write of the ownership key is executed late")
{
    StandinStore store;
    StandinWorker worker("w1", "r1", Duration(100));
    store.put("op/config", configurationText(1, R"("k1")"));
    store.put("servers/w1", worker.entry("ready"));
    std::atomic<int> commits = 0;
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(900);
    store.setFaults([&](StoreCall call) {
        const bool late = call == StoreCall::Commit && commits++ > 0 && std::chrono::steady_clock::now() < until;
        return late ? StoreFault::ExecutedLate : StoreFault::None;
    });
    const auto node = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return store.value(std::string(StoreKeys::owner)).has_value() && node->ready(); }));
    std::this_thread::sleep_for(Duration(1000));
    CHECK(answerFleetCall(*node, callOf("POST", "/q/job", oneTaskJob)).m_status == 200);
    CHECK(waitUntil([&] { return isComplete(*node, "/q/job"); }));
    CHECK(commits > 2);
}

// Guards against a small VM that keeps the ownership because it started first, which delays every decision.
TEST_CASE("a small owner hands over to a larger VM")
{
    StandinStore store;
    StandinWorker worker("w1", "r1", Duration(100));
    store.put("op/config", configurationText(1, R"("k1")"));
    store.put("servers/w1", worker.entry("ready"));
    const auto ownerIs = [&](const std::string &vm) { return store.value(std::string(StoreKeys::owner)).value_or("").find(vm) != std::string::npos; };
    const auto small = FleetNode::create(settingsOf("vm-small", store, 0.1)).take();
    REQUIRE(waitUntil([&] { return ownerIs("vm-small"); }));
    const auto large = FleetNode::create(settingsOf("vm-large", store, 0.5)).take();
    CHECK(waitUntil([&] { return ownerIs("vm-large"); }));
    REQUIRE(waitUntil([&] { return small->ready(); }));
    CHECK(answerFleetCall(*small, callOf("POST", "/q/job", oneTaskJob)).m_status == 200);
    CHECK(waitUntil([&] { return isComplete(*small, "/q/job"); }));
    CHECK(ownerIs("vm-large"));
}

// Guards against a configuration that does not come into force, or that is replaced by an older one.
TEST_CASE("a new configuration is in force within two seconds and never reverts")
{
    StandinStore store;
    store.put("op/config", configurationText(5, R"("k1")"));
    const auto node = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return node->ready(); }));
    CHECK(answerFleetCall(*node, callOf("GET", "/q/none", {}, "k2")).m_status == 401);
    store.put("op/config", configurationText(9, R"("k2")"));
    CHECK(waitUntil([&] { return answerFleetCall(*node, callOf("GET", "/q/none", {}, "k2")).m_status == 410; }, 2000));
    CHECK(answerFleetCall(*node, callOf("GET", "/q/none", {}, "k1")).m_status == 401);
    store.put("op/config", configurationText(6, R"("k1")"));
    store.put("op/config", "damaged");
    std::this_thread::sleep_for(Duration(500));
    CHECK(node->configuration()->m_version == 9);
}

// Guards against bad input that changes state, ends the process or blocks the call instead of being refused with a clear status.
TEST_CASE("bad calls are refused at once")
{
    StandinStore store;
    store.put("op/config", configurationText(1, R"("k1")"));
    const auto node = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return node->ready(); }));
    CHECK(answerFleetCall(*node, callOf("POST", "/q/job", "{")).m_status == 400);
    CHECK(answerFleetCall(*node, callOf("POST", "/q/job", R"({"spec":1,"phases":3})")).m_status == 400);
    CHECK(answerFleetCall(*node, callOf("POST", "/q/job", R"({"spec":")" + std::string(5000, 'x') + R"(","phases":[{"count":1}]})")).m_status == 400);
    CHECK(answerFleetCall(*node, callOf("POST", "/q/a/b", oneTaskJob)).m_status == 400);
    CHECK(answerFleetCall(*node, callOf("PUT", "/q/job", oneTaskJob)).m_status == 405);
    CHECK(answerFleetCall(*node, callOf("POST", "/other/job", oneTaskJob)).m_status == 404);
    CHECK(answerFleetCall(*node, callOf("POST", "/q/job", oneTaskJob, "wrong")).m_status == 401);
    CHECK(answerFleetCall(*node, callOf("DELETE", "/q/job", {})).m_status == 410);
    CHECK(answerFleetCall(*node, callOf("GET", "/q/job", {})).m_status == 410);
    CHECK_FALSE(store.value(submissionKey("job")));
}

namespace {

// Answers the watches of the inbox in place of the store, also those that are already waiting, until the inbox is listed.
class InboxWatchCut
{
public:
    explicit InboxWatchCut(StandinStore &store)
        : m_server([this, &store](const StandinCall &call) {
            const auto prefix = call.m_query.find("prefix");
            const bool inbox = prefix != call.m_query.end() && prefix->second == StoreKeys::inbox;
            if (call.m_path == "/kv-range" && inbox && m_status == historyLost) {
                m_status = 0;
            }
            auto answer = m_status == unavailable && inbox ? StandinAnswer{.m_status = unavailable, .m_body = "{}"} : store.handle(call);
            return inbox && call.m_path == "/kv-watch" && m_status != 0 ? StandinAnswer{.m_status = m_status, .m_body = "{}"} : answer;
        })
    {
    }

    static constexpr int unavailable = 503;
    static constexpr int historyLost = 410;
    std::atomic<int> m_status = 0; // Status of the answers to the watches; 0 if the store answers.
    LoopbackHttpServer m_server;
};

} // namespace

// Guards against cancelled jobs that run. The store has compacted its history, so that the owner reads the jobs and their cancellations from
// one listing; a pass that sees a part of the listing starts jobs whose cancellations are in the rest.
TEST_CASE("jobs and their cancellations that are listed together run nothing")
{
    constexpr int jobs = 40;
    StandinStore store;
    InboxWatchCut cut(store);
    StandinWorker worker("w1", "r1", Duration(100));
    store.put("op/config", configurationText(1, R"("k1")"));
    store.put("servers/w1", worker.entry("ready"));
    const auto node = FleetNode::create(settingsOf("vm-1", cut.m_server.address())).take();
    REQUIRE(waitUntil([&] { return node->ready() && store.value(std::string(StoreKeys::owner)); }));
    CHECK(answerFleetCall(*node, callOf("POST", "/q/first", oneTaskJob)).m_status == 200);
    REQUIRE(waitUntil([&] { return isComplete(*node, "/q/first"); }));
    cut.m_status = InboxWatchCut::unavailable;
    for (int job = 0; job < jobs; ++job) {
        const auto path = "/q/job" + std::to_string(job);
        CHECK(answerFleetCall(*node, callOf("POST", path, oneTaskJob)).m_status == 200);
        CHECK(answerFleetCall(*node, callOf("DELETE", path, {})).m_status == 200);
    }
    cut.m_status = InboxWatchCut::historyLost;
    for (int job = 0; job < jobs; ++job) {
        const auto path = "/q/job" + std::to_string(job);
        CHECK(waitUntil([&] { return answerFleetCall(*node, callOf("GET", path, {})).m_body == R"({"state":"canceled"})"; }));
    }
    CHECK(worker.runHistory().size() == 1);
}

// Guards against calls that block until their deadline during an outage of the store.
TEST_CASE("submissions are refused at once while the store is silent")
{
    StandinStore store;
    store.put("op/config", configurationText(1, R"("k1")"));
    const auto node = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return node->ready(); }));
    store.setFaults([](StoreCall) { return StoreFault::Refused; });
    REQUIRE(waitUntil([&] { return !node->ready(); }, 2500));
    const auto startedAt = std::chrono::steady_clock::now();
    const auto refused = answerFleetCall(*node, callOf("POST", "/q/job", oneTaskJob));
    CHECK(refused.m_status == 503);
    CHECK(refused.m_headers.front().first == "Retry-After");
    CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(200));
    store.setFaults([](StoreCall) { return StoreFault::None; });
    CHECK(waitUntil([&] { return node->ready(); }, 3000));
    CHECK_FALSE(store.value(submissionKey("job")));
}

// Guards against a key that was withdrawn, or a worker that has left, being in use again after every VM has restarted: the roster still
// lists the worker, and the VM that starts again knows nothing of the versions before.
TEST_CASE("after a restart neither a withdrawn key nor a worker that has left is used")
{
    StandinStore store;
    StandinWorker left("w1", "r1", Duration(100));
    StandinWorker present("w2", "r1", Duration(100));
    store.put("op/config", configurationText(1, R"("k1","k2")"));
    store.put("servers/w1", left.entry("ready"));
    {
        auto first = FleetNode::create(settingsOf("vm-1", store)).take();
        REQUIRE(waitUntil([&] { return first->ready() && store.value(std::string(StoreKeys::roster)).has_value(); }));
        REQUIRE(answerFleetCall(*first, callOf("POST", "/q/job1", oneTaskJob, "k1")).m_status == 200);
        REQUIRE(waitUntil([&] { return isComplete(*first, "/q/job1"); }));
        store.put("op/config", configurationText(2, R"("k2")"));
        REQUIRE(waitUntil([&] { return first->configuration()->m_version == 2; }));
    }
    store.remove("servers/w1");
    store.put("servers/w2", present.entry("ready"));
    const auto second = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return second->ready(); }));
    CHECK(answerFleetCall(*second, callOf("POST", "/q/job2", oneTaskJob, "k1")).m_status == 401);
    REQUIRE(answerFleetCall(*second, callOf("POST", "/q/job3", oneTaskJob, "k2")).m_status == 200);
    const auto isDone = [&] { return answerFleetCall(*second, callOf("GET", "/q/job3", {}, "k2")).m_body == R"({"state":"complete"})"; };
    CHECK(waitUntil(isDone, 8000));
    CHECK(left.runHistory().size() == 1);
    CHECK(present.runHistory().size() == 1);
}

} // namespace PrimroseBridge
