#include "logcapture.h"
#include "nodefixture.h"
#include "ownersimulation.h"
#include "snapshot.h"
#include "storewatch.h"

#include "primrosebridge/Fleetservice/currentzonedrains.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/loopbackhttpserver.h"
#include "primrosebridge/Fleetstandin/standinworker.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <set>

namespace PrimroseBridge {

namespace {

using Sim = OwnerSimulation;
using Zones = std::set<std::string>;

constexpr Duration bound(5'000);
// The drains count as unknown after the bound less the time in which a start leaves the VM.
constexpr int knownForMs = 4'400;
const std::string jobId(16, 'a');

/// An owner with the idle worker w1 in zone-a and, if wanted, w2 in zone-b. It knows at 0 ms that no zone is drained.
struct Fleet : OwnerSimulation {
    explicit Fleet(bool twoZones, std::optional<Duration> zoneDrainBound = bound)
        : OwnerSimulation(zoneDrainBound)
    {
        m_zoneDrains.replace({}, 1, at(0));
        configure(1, {"queue"});
        std::vector<WorkerReportPointer> workers = {worker("w1")};
        if (twoZones) {
            workers.push_back(inZone("w2", "zone-b"));
        }
        becomeOwner(workers);
        for (const auto &worker : workers) {
            answer(worker->m_incarnation.m_worker, std::nullopt, {}, at(5));
        }
    }

    static WorkerReportPointer inZone(const std::string &name, const std::string &zone)
    {
        return worker(name, std::nullopt, 1, {}, 0, zone);
    }

    void submit(int tasks = 1, bool gang = false)
    {
        const Resources wholeWorker{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 8};
        apply(JobSubmitted{.m_spec = jobOfStep(jobId, "queue", policy(4), stepOf(tasks, wholeWorker, false, 0, gang))}, at(10));
    }

    /// The drains change at @p ms to @p zones.
    void drain(const Zones &zones, int ms)
    {
        m_zoneDrains.replace(zones, ++m_revision, at(ms));
    }

    [[nodiscard]] std::vector<std::string> startWorkers() const
    {
        std::vector<std::string> workers;
        for (const auto &order : m_startOrders) {
            workers.push_back(order.m_worker);
        }
        return workers;
    }

    std::int64_t m_revision = 1;
};

using Names = std::vector<std::string>;

} // namespace

// Guards against a start in a drained zone, and against a zone that stays unused after its drain.
TEST_CASE("no task starts in a drained zone until the drain ends")
{
    Fleet sim(false);
    sim.submit();
    sim.drain({"zone-a"}, 15);
    const LogCapture log(LogLevel::Info);
    sim.place(Sim::at(20));
    CHECK(sim.m_startOrders.empty());
    CHECK(log.lines("zone_drain_requested") == Names{"event=zone_drain_requested zone=zone-a workers=1 tasks=0"});
    CHECK(log.lines("step_waits").front().find("reason=zone_drained") != std::string::npos);
    sim.drain({}, 30);
    sim.place(Sim::at(40));
    CHECK(sim.startWorkers() == Names{"w1"});
    CHECK(log.lines("zone_drain_ended").size() == 1);
}

// Guards against a task that waits although another zone could run it, and against a drain that stops the other zones or ends with another one.
TEST_CASE("each zone is drained for itself")
{
    Fleet sim(true);
    sim.submit(2);
    sim.drain({"zone-a"}, 15);
    sim.place(Sim::at(20));
    CHECK(sim.startWorkers() == Names{"w2"});
    sim.drain({"zone-a", "zone-b"}, 30);
    sim.place(Sim::at(40));
    sim.drain({"zone-a"}, 50);
    sim.place(Sim::at(60));
    CHECK(sim.m_startOrders.size() == 1);
    sim.drain({}, 70);
    sim.place(Sim::at(80));
    CHECK(sim.startWorkers() == Names{"w2", "w1"});
}

// Guards against starts on workers that appear in a zone after the request, and against a request for another zone that holds anything back.
TEST_CASE("a drain of a zone without workers covers those that appear there later")
{
    Fleet sim(false);
    sim.drain({"zone-c"}, 5);
    sim.submit(2);
    sim.place(Sim::at(20));
    CHECK(sim.startWorkers() == Names{"w1"});
    sim.apply(WorkerReported{.m_report = Fleet::inZone("w3", "zone-c")}, Sim::at(30));
    sim.answer("w3", std::nullopt, {}, Sim::at(35));
    sim.place(Sim::at(40));
    CHECK(sim.startWorkers() == Names{"w1"});
}

// Guards against a start or a part of a gang that leaves because the drain became known between the pass and the sending.
TEST_CASE("a drain that becomes known after the pass holds its starts back, a gang whole")
{
    for (const bool gang : {false, true}) {
        Fleet sim(true);
        sim.submit(2, gang);
        int reads = 0;
        sim.m_readZoneDrains = [&] {
            sim.drain(++reads == 1 ? Zones() : Zones{"zone-a"}, 15);
            return sim.m_zoneDrains.current();
        };
        const LogCapture log(LogLevel::Info);
        sim.place(Sim::at(20));
        CHECK(sim.startWorkers() == (gang ? Names() : Names{"w2"}));
        REQUIRE(log.lines("start_held").size() == 1);
        CHECK(log.lines("start_held").front().find("worker=w1 zone=zone-a reason=zone_drained") != std::string::npos);
        CHECK(log.lines("placed").front().find(gang ? "starts=0" : "starts=1") != std::string::npos);
        CHECK(findTask(*sim.jobState(jobId), Sim::reference(jobId, 0))->m_phase == (gang ? TaskPhase::Waiting : sim.task(jobId)->m_phase));
        sim.m_readZoneDrains = nullptr;
        sim.drain({}, 30);
        sim.place(Sim::at(40));
        CHECK(sim.m_startOrders.size() == 2);
    }
}

// Guards against a repeated start in a drained zone: the worker has left the first one, which was sent before the drain, unanswered.
TEST_CASE("an unanswered start is not repeated in a drained zone, nor while the drains are unknown")
{
    for (const auto *zone : {"zone-a", "zone-b", "unknown"}) {
        Fleet sim(false);
        sim.submit();
        sim.place(Sim::at(20));
        REQUIRE(sim.m_startOrders.size() == 1);
        sim.apply(StartOrderCompleted{.m_task = Sim::reference(jobId),
                                      .m_runNumber = 1,
                                      .m_checkpoint = {},
                                      .m_incarnation = *sim.task(jobId)->m_assignedWorker,
                                      .m_fence = Sim::fence,
                                      .m_sentAt = Sim::at(20),
                                      .m_reply = OrderReply{.m_answer = OrderAnswer::Unanswered, .m_workerClockMs = std::nullopt},
                                      .m_workerFence = sim.m_state.m_workers.at("w1").m_fence},
                  Sim::at(520));
        const bool unknown = std::string(zone) == "unknown";
        const auto answeredAt = Sim::at(unknown ? knownForMs + 1 : 530);
        if (!unknown) {
            sim.drain({zone}, 525);
        }
        sim.answer("w1", std::nullopt, {}, answeredAt, true);
        const bool repeated = std::string(zone) == "zone-b";
        CHECK(sim.m_startOrders.size() == (repeated ? 2U : 1U));
        CHECK(sim.m_stopOrders.size() == (repeated ? 0U : 1U));
    }
}

// Guards against work that is lost by a drain: what runs in the zone goes on.
TEST_CASE("a run in a drained zone keeps its lease and ends as usual")
{
    Fleet sim(false);
    sim.submit();
    sim.place(Sim::at(20));
    sim.acceptStart(jobId, Sim::at(30));
    sim.drain({"zone-a"}, 40);
    const LogCapture log(LogLevel::Info);
    for (int nowMs = 100; nowMs < 4'000; nowMs += 500) {
        sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
        CHECK(sim.m_reportRequests.back().m_leaseEndMs);
    }
    CHECK(log.lines("zone_drain_requested") == Names{"event=zone_drain_requested zone=zone-a workers=1 tasks=1"});
    CHECK(sim.m_stopOrders.empty());
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Done)}, Sim::at(4'000));
    CHECK(sim.task(jobId)->m_phase == TaskPhase::Done);
}

// Guards against a start in a zone whose drain this VM cannot have read, because its watch is lost or the store refuses it.
TEST_CASE("nothing starts once the drains have not been confirmed for too long")
{
    Fleet sim(true);
    sim.place(Sim::at(knownForMs));
    sim.submit(2);
    const LogCapture log(LogLevel::Info);
    sim.place(Sim::at(knownForMs + 1));
    CHECK(sim.m_startOrders.empty());
    CHECK(log.lines("drains_unknown").size() == 1);
    sim.m_zoneDrains.confirm(1, Sim::at(knownForMs));
    sim.place(Sim::at(knownForMs + 10));
    CHECK(sim.m_startOrders.size() == 2);
    CHECK(log.lines("drains_known").size() == 1);
}

// Guards against a fleet that stops where the deployment sets no bound: known drains are respected, however old they are.
TEST_CASE("without a bound the drains never count as unknown")
{
    Fleet sim(true, std::nullopt);
    sim.drain({"zone-a"}, 5);
    sim.submit(2);
    sim.place(Sim::at(1'000'000));
    CHECK(sim.startWorkers() == Names{"w2"});
    CHECK(sim.m_startEnds == std::vector<std::optional<Instant>>{std::nullopt});
}

// Guards against a start that leaves too late because this VM is suspended between the check and the sending, which may take longer than the time that
// is left for it.
TEST_CASE("a start is sent within the bound after the last confirmation or not at all")
{
    Fleet sim(false);
    sim.submit();
    sim.m_zoneDrains.confirm(1, Sim::at(700));
    sim.place(Sim::at(2'000));
    CHECK(sim.m_startEnds == std::vector<std::optional<Instant>>{Sim::at(700) + bound});
}

// Guards against a worker that counts as cold for longer each time that its unchanged entry is listed again.
TEST_CASE("a worker is cold from the report on that says so")
{
    const auto coldWorker = [] { return Sim::worker("w1", std::nullopt, 1, {}, 7, "zone-a", Duration(1'000)); };
    Fleet sim(false);
    sim.apply(WorkerReported{.m_report = coldWorker()}, Sim::at(100));
    sim.apply(WorkerReported{.m_report = coldWorker()}, Sim::at(900));
    CHECK(sim.m_state.m_workers.at("w1").m_coldUntil == Sim::at(1'100));
}

// Guards against a worker that counts as cold for too long because a new owner reads its entry, or any owner gets it, long after it was written.
TEST_CASE("the time for which a worker is cold counts on its own clock")
{
    const auto usual = *Sim::worker("w1");
    const auto report = std::make_shared<const WorkerReport>(WorkerReport{.m_incarnation = usual.m_incarnation,
                                                                          .m_machine = usual.m_machine,
                                                                          .m_address = usual.m_address,
                                                                          .m_pool = usual.m_pool,
                                                                          .m_zone = usual.m_zone,
                                                                          .m_rack = usual.m_rack,
                                                                          .m_labels = usual.m_labels,
                                                                          .m_capacity = usual.m_capacity,
                                                                          .m_draining = false,
                                                                          .m_leavesIn = std::nullopt,
                                                                          .m_softwareVersion = {},
                                                                          .m_reportedAtClockMs = 100,
                                                                          .m_coldFor = Duration(1'000),
                                                                          .m_entryRevision = 7});
    Fleet known(false);
    known.apply(WorkerReported{.m_report = report}, Sim::at(900));
    CHECK(known.m_state.m_workers.at("w1").m_coldUntil == Sim::at(1'100));
    Sim successor;
    successor.becomeOwner({report}, {}, {}, Sim::at(900));
    successor.answer("w1", std::nullopt, {}, Sim::at(910));
    CHECK(successor.m_state.m_workers.at("w1").m_coldUntil == Sim::at(1'100));
}

// Guards against a state that goes back: a read of a takeover and the watch arrive in either order, and each may be behind.
TEST_CASE("the drains never go back to an older revision")
{
    CurrentZoneDrains drains;
    drains.change("early", true, 3);
    drains.confirm(3, Sim::at(1));
    CHECK_FALSE(drains.current().m_drains);
    drains.replace({"a"}, 10, Sim::at(10));
    drains.change("b", true, 9);
    drains.change("a", false, 10);
    drains.replace({"c"}, 9, Sim::at(50));
    drains.confirm(9, Sim::at(60));
    CHECK(*drains.current().m_drains == ZoneDrains{.m_zones = {"a"}, .m_revision = 10});
    CHECK(drains.current().m_confirmedAt == Sim::at(10));
    drains.change("a", true, 12); // A second request for the same zone.
    drains.change("b", true, 13);
    drains.change("a", false, 14);
    CHECK(*drains.current().m_drains == ZoneDrains{.m_zones = {"b"}, .m_revision = 14});
    drains.confirm(20, Sim::at(30));
    drains.confirm(20, Sim::at(20));
    CHECK(drains.current().m_confirmedAt == Sim::at(30));
    drains.replace({}, 21, Sim::at(25));
    CHECK(drains.current().m_drains->m_zones.empty());
    CHECK(drains.current().m_confirmedAt == Sim::at(30));
}

// Guards against a drain that is missed because its value cannot be read, and against a key without a zone that hides the others.
TEST_CASE("the keys of a listing are read, whatever their values say")
{
    const auto item = [](const std::string &key, const std::string &value) {
        return StoreItem{.m_key = key, .m_value = value, .m_revision = 2, .m_createRevision = 2, .m_leaseId = 0};
    };
    const LogCapture log(LogLevel::Info);
    const auto zones = decodeZoneDrains(
        StoreListing{.m_items = {item("op/config", "{}"), item("op/evacuate/", "{}"), item("op/evacuate/zone-a", "{not json"), item("op/evacuate/zone-b", "")},
                     .m_revision = 5});
    CHECK(zones == Zones{"zone-a", "zone-b"});
    REQUIRE(log.lines("record_skipped").size() == 1);
    CHECK(log.lines("record_skipped").front().find("key=op/evacuate/ ") != std::string::npos);
}

// Guards against a confirmation from a time at which the store had not answered yet: an answer without changes that was given at once may arrive as
// late as one at the end of the wait, and a drain may have been requested in between.
TEST_CASE("an answer to a watch confirms the time at which the store was asked")
{
    StandinStore store;
    std::atomic<std::int64_t> askedAtMs = 0;
    LoopbackHttpServer slowLink([&](const StandinCall &call) {
        if (call.m_path != "/kv-watch") {
            return store.handle(call);
        }
        askedAtMs = toMilliseconds(bootClockNow());
        std::this_thread::sleep_for(watchTimeout + Duration(100));
        return StandinAnswer{.m_status = 200, .m_body = R"({"events":[],"atRev":1000})"};
    });
    PlatformStore client(slowLink.address(), HttpClient::create().take());
    std::vector<std::pair<std::int64_t, Instant>> confirmations;
    watchPrefix(client,
                "op/",
                std::nullopt,
                WatchHandlers{.m_listed = [](const StoreListing &) {},
                              .m_changed = [](const StoreChange &) {},
                              .m_confirmed = [&](std::int64_t revision, Instant at) { confirmations.emplace_back(revision, at); }},
                [&] { return confirmations.size() < 2; });
    REQUIRE(confirmations.size() == 2);
    CHECK(confirmations.back().first == 1000);
    CHECK(confirmations.back().second <= fromMilliseconds(askedAtMs));
}

// Guards against a successor that starts tasks in a zone whose drain was requested while its own watch was lost.
TEST_CASE("a new owner reads the drains before its first start, and a withdrawn one does not hold it back")
{
    for (const bool withdrawn : {false, true}) {
        StandinStore store;
        StandinWorker worker("w1", "r1", Duration(100));
        store.put("op/config", configurationText(1, R"("k1")"));
        store.put("servers/w1", worker.entry("ready"));
        auto first = FleetNode::create(settingsOf("vm-1", store)).take();
        REQUIRE(waitUntil([&] { return store.value(std::string(StoreKeys::owner)).has_value() && first->ready(); }));
        LoopbackHttpServer linkOfSecond([&](const StandinCall &call) {
            const auto prefix = call.m_query.find("prefix");
            const bool operatorWatch = call.m_path == "/kv-watch" && prefix != call.m_query.end() && prefix->second == "op/";
            return operatorWatch ? StandinAnswer{.m_status = 503, .m_body = "{}"} : store.handle(call);
        });
        const auto second = FleetNode::create(settingsOf("vm-2", linkOfSecond.address())).take();
        REQUIRE(waitUntil([&] { return second->ready(); }));
        store.put("op/evacuate/zone-a", "{}");
        if (withdrawn) {
            store.remove("op/evacuate/zone-a");
        }
        first->beginShutdown();
        first->handOver();
        CHECK(answerFleetCall(*second, callOf("POST", "/q/job", oneTaskJob)).m_status == 200);
        CHECK(waitUntil([&] { return isComplete(*second, "/q/job"); }, 2'500) == withdrawn);
        CHECK(worker.runHistory().size() == (withdrawn ? 1U : 0U));
    }
}

// Guards against a number of drained zones that is missing on VMs which own nothing, or that stays after the end of an ownership.
TEST_CASE("each VM shows how many drained zones it knows")
{
    StandinStore store;
    store.put("op/evacuate/zone-a", "{}");
    const auto node = FleetNode::create(settingsOf("vm-1", store)).take(); // Without a configuration, no pass is run.
    const auto shows
        = [&](const std::string &zones) { return node->metrics().find("\nprimrosebridge_fleet_drained_zones " + zones + "\n") != std::string::npos; };
    CHECK(waitUntil([&] { return shows("1"); }));
    store.remove("op/evacuate/zone-a");
    CHECK(waitUntil([&] { return shows("0"); }));
}

} // namespace PrimroseBridge
