#include "nodefixture.h"
#include "ownersimulation.h"
#include "session.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Http/bootclock.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <thread>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";
static constexpr int stepMs = 50;
// The leases of a worker have ended for certain this long after the last renewal: 3% more than the task lease, and 300 ms.
static constexpr int leasesOverAfterMs = 3'390;
// A former owner goes on with known jobs for half a task lease after its store lease has ended.
static constexpr int schedulingGraceMs = 1'500;

// Applies one iteration of the owner's thread at which the store lease ends at @p storeLeaseEndMs: w1 does not answer, w2 does.
static void iterate(Sim &sim, int nowMs, int storeLeaseEndMs)
{
    const auto now = Sim::at(nowMs);
    updateAuthority(sim.m_state, Sim::at(storeLeaseEndMs), now);
    sim.missPoll("w1", now);
    sim.answer("w2", std::nullopt, {}, now);
    sim.review(now);
    if (mayScheduleKnownJobs(authorityOf(sim.m_state), now)) {
        sim.place(now);
    }
}

// Starts a task on w1 and reports the idle worker w2. The leases of w1 are renewed for the last time at @p lastRenewalMs.
static void startOnWorkerThatFallsSilent(Sim &sim, int lastRenewalMs)
{
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(40));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(lastRenewalMs));
    sim.missPoll("w1", Sim::at(lastRenewalMs), true);
    // Without an answer the worker gets two more polls, of which the first still renews its leases.
    sim.missPoll("w1", Sim::at(lastRenewalMs));
    sim.missPoll("w1", Sim::at(lastRenewalMs));
}

// Guards against two runs of one task (TWICE on zdz-crockplan, issue 33): a worker is silent to the owner, whose store lease then ends. A
// successor reaches the worker and renews its leases, while the former owner counts them from its own last renewal and starts the task again.
TEST_CASE("a former owner does not count leases as ended that its successor may have renewed")
{
    constexpr int lastRenewalMs = 1'000;
    constexpr int leasesOverMs = lastRenewalMs + leasesOverAfterMs;
    for (const int storeLeaseEndMs : {leasesOverMs - 1, leasesOverMs - 200, leasesOverMs - schedulingGraceMs + stepMs, leasesOverMs - schedulingGraceMs}) {
        CAPTURE(storeLeaseEndMs);
        Sim sim;
        startOnWorkerThatFallsSilent(sim, lastRenewalMs);
        for (int nowMs = lastRenewalMs + stepMs; nowMs <= storeLeaseEndMs + 10 * schedulingGraceMs; nowMs += stepMs) {
            iterate(sim, nowMs, storeLeaseEndMs);
            REQUIRE(sim.workerOf(jobId) == "w1");
        }
    }
}

// Guards against a task that waits for ever: the leases had ended before the store lease did, so no successor can have renewed them. The VM
// may learn of that late, because it was suspended in between.
TEST_CASE("leases that ended before the store lease are over, however late the former owner notices")
{
    constexpr int leasesOverMs = 1'000 + leasesOverAfterMs;
    for (const int suspendedMs : {0, stepMs, schedulingGraceMs - stepMs}) {
        CAPTURE(suspendedMs);
        Sim sim;
        startOnWorkerThatFallsSilent(sim, 1'000);
        for (int nowMs = 1'000 + stepMs; nowMs < leasesOverMs; nowMs += stepMs) {
            iterate(sim, nowMs, leasesOverMs);
        }
        REQUIRE(sim.workerOf(jobId) == "w1");
        iterate(sim, leasesOverMs + suspendedMs, leasesOverMs);
        CHECK(sim.workerOf(jobId) == "w2");
    }
}

// Guards against a task that waits for ever after outages of the store in which no other VM took over, once or several times.
TEST_CASE("leases are over once the store lease is renewed after their end")
{
    for (const int outages : {1, 3}) {
        CAPTURE(outages);
        constexpr int lastRenewalMs = 1'000;
        Sim sim;
        startOnWorkerThatFallsSilent(sim, lastRenewalMs);
        int nowMs = lastRenewalMs;
        int storeLeaseEndMs = lastRenewalMs + leasesOverAfterMs - 1'200;
        for (int outage = 0; outage < outages; ++outage) {
            // A renewal that ends before the task leases do shows nothing.
            storeLeaseEndMs += 300;
            for (const int endMs = storeLeaseEndMs + 250; nowMs < endMs; nowMs += stepMs) {
                iterate(sim, nowMs, storeLeaseEndMs);
                REQUIRE(sim.workerOf(jobId) == "w1");
            }
        }
        nowMs = lastRenewalMs + leasesOverAfterMs + 100;
        iterate(sim, nowMs, nowMs + 900);
        CHECK(sim.workerOf(jobId) == "w2");
    }
}

// Guards against the same belief in an owner that has not heard from a worker since its takeover: its successor may have reached the worker,
// adopted the run of the owner before both, and renewed its leases.
TEST_CASE("an owner that has lost its store lease does not unlock jobs because leases have ended")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    const RosterEntry w2{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = {}};
    const auto [jobsIfCordoned, description]
        = GENERATE(std::pair<std::optional<std::vector<std::string>>, const char *>(std::nullopt, "awaited"),
                   std::pair<std::optional<std::vector<std::string>>, const char *>(std::vector<std::string>{jobId}, "cordoned"));
    CAPTURE(description);
    for (const int storeLeaseEndMs : {leasesOverAfterMs - 1, leasesOverAfterMs - schedulingGraceMs + stepMs}) {
        CAPTURE(storeLeaseEndMs);
        Sim sim;
        sim.configure(1, {"queue"});
        sim.becomeOwner(
            {Sim::worker("w2")}, {newJobState(spec, 4, Sim::at(0))}, {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = jobsIfCordoned}, w2});
        for (int nowMs = stepMs; nowMs <= storeLeaseEndMs + 10 * schedulingGraceMs; nowMs += stepMs) {
            iterate(sim, nowMs, storeLeaseEndMs);
            REQUIRE(sim.workerOf(jobId).empty());
        }
    }
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner(
        {Sim::worker("w2")}, {newJobState(spec, 4, Sim::at(0))}, {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = jobsIfCordoned}, w2});
    for (int nowMs = stepMs; nowMs <= leasesOverAfterMs + stepMs; nowMs += stepMs) {
        iterate(sim, nowMs, nowMs + 900);
    }
    CHECK(sim.workerOf(jobId) == "w2");
}

namespace {

// A session that takes part in the election at a stand-in store.
class SessionFixture
{
public:
    SessionFixture()
        : m_session(PeerVm{.m_vm = "vm-1", .m_address = "127.0.0.1:1", .m_incarnation = "1", .m_processorCores = 1.0},
                    Duration(1000),
                    std::make_shared<PlatformStore>(m_store.address(), HttpClient::create().take()),
                    SessionCallbacks{.m_mayTakeOwnership = [this] { return m_mayTakeOwnership.load(); },
                                     .m_electionDelay = [] { return Duration(0); },
                                     .m_onOwnershipGained = [this](std::int64_t fence) { m_fence = fence; },
                                     .m_onOwnershipLost =
                                         [this](std::int64_t, const std::string &) {
                                             m_mayTakeOwnership = false;
                                             m_lostAtMs = toMilliseconds(bootClockNow());
                                         }})
    {
        m_session.start();
        m_session.setKnownOwner(std::nullopt);
    }

    static bool waitFor(const std::function<bool()> &condition)
    {
        for (int round = 0; round < 500 && !condition(); ++round) {
            std::this_thread::sleep_for(Duration(10));
        }
        return condition();
    }

    StandinStore m_store;
    std::atomic<bool> m_mayTakeOwnership = true;
    std::atomic<std::int64_t> m_fence = 0;
    std::atomic<std::int64_t> m_lostAtMs = 0;
    Session m_session;
};

} // namespace

// Guards against an owner that goes on after its ownership has ended, because it takes the lease of the VM's next session for its own: its
// thread may still have a backlog of events when the next session is open.
TEST_CASE("the lease of a later session does not prolong an ownership that has ended")
{
    SessionFixture fixture;
    REQUIRE(SessionFixture::waitFor([&] { return fixture.m_fence != 0; }));
    const auto fence = fixture.m_fence.load();
    REQUIRE(fixture.m_session.leaseEnd(fence) > bootClockNow());
    const std::string vmKey = std::string(StoreKeys::vms) + "vm-1";
    const auto firstRegistration = fixture.m_store.revisionOf(vmKey);
    fixture.m_session.requestOwnershipRelease(fence, "the test asks for it");
    REQUIRE(SessionFixture::waitFor([&] { return fixture.m_lostAtMs != 0; }));
    REQUIRE(SessionFixture::waitFor([&] { return fixture.m_store.value(vmKey) && fixture.m_store.revisionOf(vmKey) != firstRegistration; }));
    std::this_thread::sleep_for(Duration(300)); // At least one renewal of the next session.
    CHECK(toMilliseconds(fixture.m_session.leaseEnd(fence)) <= fixture.m_lostAtMs);
    CHECK(fixture.m_session.leaseEnd(fence + 1) == Instant());
}

// Guards against two runs of one task: a worker that a new owner awaits restarts under its identifier and executes a late start order of the
// former owner. The order does not name the incarnation, and the new incarnation has seen no fence yet.
TEST_CASE("a takeover also awaits the next incarnation of a worker that restarts before it has answered")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    const RosterEntry w2{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = {}};
    const auto [jobsIfCordoned, description]
        = GENERATE(std::pair<std::optional<std::vector<std::string>>, const char *>(std::nullopt, "awaited"),
                   std::pair<std::optional<std::vector<std::string>>, const char *>(std::vector<std::string>{jobId}, "cordoned"));
    CAPTURE(description);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner(
        {Sim::worker("w2")}, {newJobState(spec, 4, Sim::at(0))}, {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = jobsIfCordoned}, w2});
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.apply(WorkerReported{.m_report = Sim::worker("w1", std::nullopt, 2)}, Sim::at(100));
    sim.review(Sim::at(100));
    sim.place(Sim::at(100));
    REQUIRE(sim.workerOf(jobId).empty());
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(120));
    sim.review(Sim::at(120));
    sim.place(Sim::at(120));
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.task(jobId)->m_runNumber == 1);
}

// Guards against a worker that gets no starts, or gets them before the roster names it: a watch or a write of a former term of this VM reports
// after the snapshot of the present term.
TEST_CASE("reports of a former term are dropped")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    const auto recordedRoster = sim.m_state.m_recordedRosterVersion;
    sim.apply(EventOfTerm{.m_fence = Sim::fence - 1, .m_event = WorkerEntryRemoved{.m_worker = "w1"}}, Sim::at(10));
    sim.apply(EventOfTerm{.m_fence = Sim::fence - 1, .m_event = RosterRecorded{.m_version = 1'000}}, Sim::at(10));
    sim.apply(EventOfTerm{.m_fence = Sim::fence - 1, .m_event = JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}}, Sim::at(10));
    CHECK(sim.m_state.m_workers.at("w1").m_entryPresent);
    CHECK(sim.m_state.m_recordedRosterVersion == recordedRoster);
    CHECK_FALSE(sim.jobState(jobId));
    sim.apply(EventOfTerm{.m_fence = Sim::fence, .m_event = JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}}, Sim::at(20));
    sim.place(Sim::at(20));
    CHECK(sim.workerOf(jobId) == "w1");
    sim.apply(EventOfTerm{.m_fence = Sim::fence, .m_event = WorkerEntryRemoved{.m_worker = "w1"}}, Sim::at(30));
    CHECK_FALSE(sim.m_state.m_workers.at("w1").m_entryPresent);
}

// Guards against an order of a former owner that reaches a worker process which its successor does not know (TWICE, review case 7). Neither the fence
// nor the identifier stops it, as the process has seen no fence and kept the identifier.
TEST_CASE("an order names the time after which no worker process that has started may receive it")
{
    constexpr int leaseEndMs = 500;
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    updateAuthority(sim.m_state, Sim::at(leaseEndMs), Sim::at(10));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.apply(JobSubmitted{.m_spec = Sim::job("5c0e7a21d94b36f9", "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_connectionBounds == std::vector<std::optional<Instant>>{Sim::at(leaseEndMs)});
    sim.acceptStart(jobId, Sim::at(30));
    sim.answer("w2", std::nullopt, {}, Sim::at(40));
    sim.m_connectionBounds.clear();
    updateAuthority(sim.m_state, Sim::at(leaseEndMs), Sim::at(leaseEndMs));
    sim.place(Sim::at(leaseEndMs + 10));
    REQUIRE(sim.workerOf("5c0e7a21d94b36f9") == "w2");
    CHECK(sim.m_connectionBounds == std::vector<std::optional<Instant>>{Sim::at(40)});
    // An answer after the lease shows that the process is up, but not that the successor knows it.
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(leaseEndMs + 20));
    sim.apply(JobCancelled{.m_job = jobId}, Sim::at(leaseEndMs + 30));
    REQUIRE(sim.m_stopOrders.size() == 1);
    CHECK(sim.m_connectionBounds.back() == Sim::at(leaseEndMs));
}

// Guards against an end that nobody has handled and that its worker drops (TWICE, seeds 1011116 and 1015565 of the simulation on b8e037e): numbers of ends
// start anew with each process of a worker, so an acknowledgement must not reach the next one.
TEST_CASE("an acknowledgement is bound to connections of the process that listed the ends")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    CHECK(sim.m_reportBounds == std::vector<std::optional<Instant>>{std::nullopt});
    sim.answer("w1", std::nullopt, {Sim::ended("5c0e7a21d94b36f9", 1, 1, RunEndKind::Stopped)}, Sim::at(20));
    REQUIRE(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 1);
    CHECK(sim.m_reportBounds.back() == Sim::at(20));
    // The worker lists the end again, because the request went over a new connection; the next request follows soon.
    const auto requests = sim.m_reportRequests.size();
    sim.answer("w1", std::nullopt, {Sim::ended("5c0e7a21d94b36f9", 1, 1, RunEndKind::Stopped)}, Sim::at(40));
    sim.review(Sim::at(300));
    REQUIRE(sim.m_reportRequests.size() == requests + 1);
    CHECK(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 1);
    CHECK(sim.m_reportBounds.back() == Sim::at(40));
}

// The same with real connections: the worker restarts and counts its ends anew before the owner asks again.
TEST_CASE("a restarted worker keeps an end that nobody has handled")
{
    StandinWorker worker("w1", "r1", Duration(30));
    const auto client = HttpClient::create().take();
    const auto address = nlohmann::json::parse(worker.entry("ready")).at("addr").get<std::string>();
    const auto targetBefore = [&](std::optional<Instant> connectedBefore) {
        return OrderTarget{.m_worker = "w1", .m_address = address, .m_fence = 1, .m_timeout = Duration(1000), .m_connectedBefore = connectedBefore};
    };
    const auto runOneTask = [&](const std::string &job) {
        sendStartOrder(*client,
                       targetBefore(std::nullopt),
                       StartOrder{.m_task = Sim::reference(job), .m_runNumber = 1, .m_payload = {}, .m_checkpoint = {}, .m_leaseEndMs = 60'000},
                       [](const OrderReply &) {});
        return waitUntil([&] {
            const auto runs = worker.runHistory(); // Ends the runs that are due.
            return !runs.empty() && worker.unacknowledgedEndCount() == 1;
        });
    };
    const auto acknowledgeFirstEnd = [&](std::optional<Instant> connectedBefore) {
        std::promise<std::size_t> listed;
        requestRunReport(*client,
                         targetBefore(connectedBefore),
                         RunReportRequest{.m_lastAcknowledgedEnd = 1, .m_leaseEndMs = std::nullopt, .m_wait = Duration(0)},
                         [&](const RunReportReply &reply) { listed.set_value(reply.m_runReport ? reply.m_runReport->m_ends.size() : 99); });
        return listed.get_future().get();
    };
    REQUIRE(runOneTask("5c0e7a21d94b36f8"));
    std::this_thread::sleep_for(Duration(5));
    const auto connected = bootClockNow();
    CHECK(acknowledgeFirstEnd(connected) == 0);
    worker.restart(true);
    REQUIRE(runOneTask("5c0e7a21d94b36f9"));
    CHECK(acknowledgeFirstEnd(connected) == 1);
    CHECK(worker.unacknowledgedEndCount() == 1);
}

namespace {

// Runs the iterations of an owner by hand, with calls over HTTP, so that a test decides which answers the owner has seen.
class OwnerByHand
{
public:
    OwnerByHand()
        : m_state(OwnerContext{.m_settings = settingsOf("vm-1", std::string()),
                               .m_workerCalls = workerCallsOver(HttpClient::create().take()),
                               .m_configuration = m_configuration,
                               .m_enqueueRecord =
                                   [this](std::int64_t, const DurableRecord &record) {
                                       if (!record.m_job) {
                                           m_state.m_events->tryPush(RosterRecorded{.m_version = record.m_version});
                                       }
                                   },
                               .m_leaseEnd = [this](std::int64_t) { return m_leaseEnd; },
                               .m_onSuperseded = [](std::int64_t, const std::string &) {},
                               .m_bootClock = bootClockNow,
                               .m_wallClock = [this] { return m_wallClock; }})
    {
        m_state.m_events = std::make_shared<BoundedQueue<OwnerEvent>>(1000);
    }

    /// Applies the events that have arrived, and then reviews and places if that is due.
    void iterate()
    {
        runOwnerIteration(m_state, m_pacing, m_state.m_events->popBatchFor(100, Duration(20)), bootClockNow());
    }
    /// The iteration of a thread that was suspended before it took any event: it reviews and places on what it knew before.
    void iterateWithoutEvents()
    {
        m_pacing = OwnerPacing();
        m_state.m_placementNeeded = true;
        runOwnerIteration(m_state, m_pacing, {}, bootClockNow());
    }

    CurrentConfiguration m_configuration;
    Instant m_leaseEnd = bootClockNow() + Duration(60'000);
    Instant m_wallClock = fromMilliseconds(1'700'000'000'000);
    OwnerPacing m_pacing;
    OwnerState m_state;
};

} // namespace

// Guards against two runs of one task (TWICE, review case 7): the owner is suspended, another VM takes over and starts a task that has become due, and a
// worker restarts. The former owner wakes and starts the task on that worker, which refuses neither its fence nor the order's lease end.
TEST_CASE("a former owner that was suspended starts nothing on a worker that has restarted since")
{
    constexpr Duration dueIn(10'000);
    StandinWorker worker("w1", "r1", Duration(60'000), Duration(3'000));
    OwnerByHand owner;
    owner.m_configuration.installIfNewer(std::make_shared<const FleetConfiguration>(
        FleetConfiguration{.m_version = 1, .m_queues = {}, .m_organisations = {}, .m_pools = {}, .m_maxBodyBytes = 1000}));
    const auto report = std::make_shared<const WorkerReport>(decodeWorkerReport("w1", worker.entry("ready")).value());
    owner.m_state.m_events->tryPush(
        OwnershipGained{.m_snapshot = std::make_shared<const FleetSnapshot>(
                            FleetSnapshot{.m_fence = 10, .m_jobs = {}, .m_cancelledJobs = {}, .m_workers = {report}, .m_roster = {}, .m_rosterVersion = 0})});
    owner.m_state.m_events->tryPush(
        JobSubmitted{.m_spec = Sim::jobOfStep(jobId,
                                              "queue",
                                              Sim::policy(4),
                                              Sim::stepOf(1, Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 8}),
                                              JobSchedule{.m_count = 1, .m_firstDue = owner.m_wallClock + dueIn, .m_interval = Duration(1)})});
    const auto isUsableWorker = [&] {
        const auto found = owner.m_state.m_workers.find("w1");
        return found != owner.m_state.m_workers.end() && isUsable(owner.m_state, found->second, bootClockNow());
    };
    for (int round = 0; round < 200 && !isUsableWorker(); ++round) {
        owner.iterate();
    }
    REQUIRE(isUsableWorker());
    owner.m_leaseEnd = bootClockNow();
    worker.restart(true);
    owner.m_wallClock += dueIn;
    owner.iterateWithoutEvents();
    CHECK(findTask(*owner.m_state.m_jobs.find(jobId), Sim::reference(jobId))->m_phase == TaskPhase::Starting); // The order was sent.
    std::this_thread::sleep_for(Duration(300));
    CHECK(worker.runHistory().empty());
}

} // namespace PrimroseBridge
