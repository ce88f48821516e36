#include "ownersimulation.h"
#include "session.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Pipeline/bootclock.h"

#include <catch2/catch.hpp>

#include <atomic>
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

} // namespace PrimroseBridge
