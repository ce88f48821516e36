#include "ownersimulation.h"

#include "primrosebridge/Fleetservice/roster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";
static const std::string machine = "m-1";
// Shorter than the task lease, so that no lease has ended for certain.
static constexpr int beforeLeasesEndMs = 2'900;

static WorkerReportPointer onMachine(const std::string &name, std::int64_t startedAtMs, std::optional<Duration> leavesIn = std::nullopt)
{
    return Sim::worker(name, leavesIn, startedAtMs, machine);
}

// Returns the roster as a successor reads it from the store.
static std::vector<RosterEntry> recordedRoster(std::vector<RosterEntry> entries)
{
    const auto decoded = decodeRoster(encodeRoster(Roster{.m_version = 1, .m_workers = std::move(entries)}));
    REQUIRE(decoded.ok());
    return decoded.value().m_workers;
}

static void reviewAndPlace(Sim &sim, int nowMs)
{
    sim.review(Sim::at(nowMs));
    sim.place(Sim::at(nowMs));
}

// Starts a task on w1, which runs on the machine, and reports the idle worker w2 on another one.
static void startOnMachine(Sim &sim)
{
    sim.configure(1, {"queue"});
    sim.becomeOwner({onMachine("w1", 1'000)});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(40));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(60));
}

// Guards against two runs of one task: a worker drains, its entry goes, and its successor starts on the machine. The roster, from which the next
// owner knows the worker, does not say that it drains, so that two polls without an answer count as its end.
TEST_CASE("a takeover keeps the runs of a worker that drains without an entry beside its successor")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w2"), onMachine("w9", 2'000)},
                    {newJobState(spec, 4, Sim::at(0))},
                    recordedRoster({RosterEntry{.m_worker = onMachine("w1", 1'000, Duration(60'000)), .m_jobsIfCordoned = std::vector<std::string>{jobId}},
                                    RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = std::nullopt}}));
    for (int nowMs = 50; nowMs < beforeLeasesEndMs; nowMs += 400) {
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.answer("w9", std::nullopt, {}, Sim::at(nowMs));
        if (sim.m_state.m_workers.contains("w1")) {
            sim.missPoll("w1", Sim::at(nowMs + 10));
        }
        reviewAndPlace(sim, nowMs + 20);
        CAPTURE(nowMs);
        REQUIRE(sim.m_startOrders.empty());
    }
}

// Guards against the same belief without a takeover: the watch of the workers is interrupted while a worker begins to drain and its entry goes, so that
// the next listing shows only that the entry has gone. The poll that the listing causes and the regular one are lost at the same moment.
TEST_CASE("a worker whose drain was not seen keeps its runs beside its successor")
{
    Sim sim;
    startOnMachine(sim);
    sim.apply(WorkersListed{.m_workers = {Sim::worker("w2"), onMachine("w9", 2'000)}, .m_removedWorkers = {"w1"}}, Sim::at(100));
    sim.answer("w9", std::nullopt, {}, Sim::at(110));
    sim.missPoll("w1", Sim::at(120), true);
    sim.missPoll("w1", Sim::at(120));
    sim.answer("w2", std::nullopt, {}, Sim::at(130));
    reviewAndPlace(sim, 140);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against two runs of one task: a worker answers, but its entry names a later start. Each of these answers counts as a missed poll, so that a single
// lost answer after that of a later worker on its machine counts as its end.
TEST_CASE("a worker that answers under an earlier start than its entry is not over because of one lost answer")
{
    Sim sim;
    startOnMachine(sim);
    sim.apply(WorkerReported{.m_report = onMachine("w9", 2'000)}, Sim::at(100));
    sim.answerWithStart("w1", 900, {Sim::running(jobId, 1)}, Sim::at(110));
    sim.answer("w9", std::nullopt, {}, Sim::at(120));
    sim.answerWithStart("w1", 900, {Sim::running(jobId, 1)}, Sim::at(370));
    sim.answer("w2", std::nullopt, {}, Sim::at(380));
    reviewAndPlace(sim, 390);
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.missPoll("w1", Sim::at(620));
    sim.answer("w2", std::nullopt, {}, Sim::at(630));
    reviewAndPlace(sim, 640);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against two runs of one task by two owners: a worker that has refused the former owner's fence crashes, and is forgotten as idle before the
// entry of its next start arrives. That start has seen no fence, so that it accepts starts of the former owner.
TEST_CASE("the next start of a worker that was forgotten is awaited while the former owner may still start tasks")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")},
                    {newJobState(spec, 4, Sim::at(0))},
                    {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = {}}, RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = {}}});
    sim.answer("w1", std::nullopt, {}, Sim::at(50));
    const bool entryRemoved = GENERATE(false, true);
    CAPTURE(entryRemoved);
    if (entryRemoved) {
        sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(100));
    }
    sim.missPoll("w1", Sim::at(120));
    reviewAndPlace(sim, 130);
    sim.apply(WorkerReported{.m_report = Sim::worker("w1", std::nullopt, 2)}, Sim::at(200));
    sim.answer("w2", std::nullopt, {}, Sim::at(210));
    reviewAndPlace(sim, 220);
    CHECK(sim.m_startOrders.empty());
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(230));
    reviewAndPlace(sim, 240);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.empty());
}

// Guards against two runs of one task: a worker that was not known at the takeover lists a run to the poll that the removal of its entry causes, and its
// first regular poll, which renews no lease, stays without an answer. The owner has no end of the leases that the former owner gave.
TEST_CASE("an adopted run of a worker that was not known at the takeover is not over before its lease")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    Sim sim;
    sim.configure(1, {"queue"});
    sim.apply(OwnershipGained{.m_snapshot = std::make_shared<const FleetSnapshot>(FleetSnapshot{.m_fence = Sim::fence,
                                                                                                .m_jobs = {newJobState(spec, 4, Sim::at(0))},
                                                                                                .m_cancelledJobs = {},
                                                                                                .m_workers = {Sim::worker("w2")},
                                                                                                .m_roster = {},
                                                                                                .m_rosterVersion = 0,
                                                                                                .m_rosterReadable = false})},
              Sim::at(0));
    updateAuthority(sim.m_state, fromMilliseconds(1'000'000'000), Sim::at(0));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.apply(WorkerReported{.m_report = Sim::worker("w1")}, Sim::at(3'300));
    sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(3'310));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(3'320), true);
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.missPoll("w1", Sim::at(3'330));
    sim.answer("w2", std::nullopt, {}, Sim::at(3'400));
    reviewAndPlace(sim, 3'400);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.empty());
}

} // namespace PrimroseBridge
