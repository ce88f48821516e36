#include "primrosebridge/Fleetservice/fleetapi.h"
#include "primrosebridge/Fleetservice/fleetnode.h"
#include "primrosebridge/Fleetservice/peerdirectory.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"

#include "nodefixture.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

static std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

static std::string entryOnPort(const std::string &port)
{
    return R"({"service":"pool","addr":"127.0.0.1:)" + port
           + R"(","zone":"zone-a","version":"1","slots":8,"state":"ready","capacity":{"cpu":96000,"memMb":9000,"gpu":8},"labels":["a","r1"],)"
             R"("seq":1,"born":1700000000000,"machine":"m-w1"})";
}

// Writes entries that no program of the deployment writes, under each prefix that the VMs read.
static void putOddEntries(StandinStore &store, const std::string &suffix)
{
    const std::string oddSubmission = R"({"layout":1,"id":"odd","queue":"q","organisation":"","accepted":0,"payload":"x","times":0,"first_due":0,"interval":0,)"
                                      R"("steps":[{"tasks":2147483647,"cores":1,"memory":1,"accelerators":1,"estimate":1,"after":[7],"gang":false,)"
                                      R"("same_rack":false,"label":"","data_rack":"","max_per_worker":0,"speculative":false,"checkpointing":false,)"
                                      R"("long_running":false,"image":"","tail_latency":0,"filler":false,"max_unavailable":0}]})";
    const std::vector<std::string> values = {nested(100'000),
                                             R"({"service":)" + nested(100'000) + "}",
                                             R"({"capacity":{"cpu":1e400}})",
                                             R"({"capacity":{"cpu":18446744073709551616}})",
                                             entryOnPort("0"),
                                             entryOnPort("65536"),
                                             entryOnPort("-1"),
                                             "\xff\xfe",
                                             std::string(1024 * 1024, 'x'),
                                             std::string(),
                                             oddSubmission,
                                             R"({"vm":"vm-1","address":"127.0.0.1:65536","incarnation":"x","processor":1e300})",
                                             R"({"vm":"vm-1","address":"127.0.0.1:1","incarnation":"x","processor":1})"};
    int number = 0;
    for (const auto &value : values) {
        const auto name = "odd" + std::to_string(number++) + suffix;
        store.put("servers/" + name, value);
        store.put(std::string(StoreKeys::submissions) + name, value);
        store.put(std::string(StoreKeys::cancellations) + name, value);
        store.put(std::string(StoreKeys::progress) + name, value);
        store.put(std::string(StoreKeys::vms) + name, value);
        store.put("op/" + name, value);
    }
}

// Guards against processes that end, or stop following a list, because another writer left an odd entry in it: nested very deeply, with
// a number too large, with a port out of range, with bytes that cannot be read, very long, or copied from another key.
TEST_CASE("odd entries of other writers are skipped and the entries after them are followed")
{
    StandinStore store;
    store.put("op/config", configurationText(1, R"("k1")"));
    putOddEntries(store, "-before");
    auto first = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return store.value(std::string(StoreKeys::owner)).has_value(); }));
    const auto second = FleetNode::create(settingsOf("vm-2", store)).take();
    REQUIRE(waitUntil([&] { return first->ready() && second->ready(); }));
    putOddEntries(store, "-while");
    StandinWorker worker("w1", "r1", Duration(100));
    store.put("servers/w1", worker.entry("ready"));
    CHECK(answerFleetCall(*second, callOf("POST", "/q/job1", oneTaskJob)).m_status == 200);
    CHECK(waitUntil([&] { return isComplete(*first, "/q/job1") && isComplete(*second, "/q/job1"); }));
    store.put("op/config", configurationText(2, R"("k1","k2")"));
    CHECK(waitUntil([&] { return first->configuration()->m_version == 2 && second->configuration()->m_version == 2; }, 2000));

    // The successor reads every list again.
    first->beginShutdown();
    first->handOver();
    REQUIRE(answerFleetCall(*second, callOf("POST", "/q/job2", oneTaskJob)).m_status == 200);
    CHECK(waitUntil([&] { return isComplete(*second, "/q/job2"); }));
    CHECK(worker.runHistory().size() == 2);
}

// Guards against a copy of a job's record under another key, which would make the job known twice after a takeover, and start each of
// its tasks twice in one pass.
TEST_CASE("a copy of a submission under another key runs nothing")
{
    StandinStore store;
    StandinWorker worker("w1", "r1", Duration(300));
    StandinWorker other("w2", "r1", Duration(300));
    store.put("op/config", configurationText(1, R"("k1")"));
    auto first = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return first->ready(); }));
    const std::string wholeWorkerJob = R"({"spec":"x","phases":[{"count":1,"cpu":1000,"memMb":10,"gpu":8,"estimateMs":300}]})";
    REQUIRE(answerFleetCall(*first, callOf("POST", "/q/job1", wholeWorkerJob)).m_status == 200);
    store.put(submissionKey("copy"), store.value(submissionKey("job1")).value());
    first->beginShutdown();
    first->handOver();
    store.put("servers/w1", worker.entry("ready"));
    store.put("servers/w2", other.entry("ready"));
    const auto second = FleetNode::create(settingsOf("vm-2", store)).take();
    REQUIRE(waitUntil([&] { return isComplete(*second, "/q/job1"); }));
    std::this_thread::sleep_for(Duration(500));
    CHECK(worker.runHistory().size() + other.runHistory().size() == 1);
}

// Guards against a VM record of another writer that redirects the calls between VMs to another address.
TEST_CASE("a VM record with an address that is no IP address and port is refused")
{
    const PeerVm peer{.m_vm = "vm-1", .m_address = "10.0.0.1:7000", .m_incarnation = "1", .m_processorCores = 0.25};
    CHECK(decodePeer(encodePeer(peer)) == peer);
    for (const std::string address : {"10.0.0.1:65536", "10.0.0.1:0", "10.0.0.1:-1", "vm.example:7000", ""}) {
        CHECK_FALSE(decodePeer(encodePeer(PeerVm{.m_vm = "vm-1", .m_address = address, .m_incarnation = "1", .m_processorCores = 0.25})));
    }
    CHECK_FALSE(decodePeer(encodePeer(PeerVm{.m_vm = "vm-1", .m_address = "10.0.0.1:7000", .m_incarnation = "1", .m_processorCores = -1.0})));
}

} // namespace PrimroseBridge
