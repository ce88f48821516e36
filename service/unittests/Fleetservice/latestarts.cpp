#include "ownersimulation.h"

#include "primrosebridge/Fleetservice/latestarts.h"
#include "primrosebridge/Fleetservice/storekeys.h"

#include <catch2/catch.hpp>

// A start that the previous owner's worker has left unanswered may be executed by a later process of that worker, which no owner knows of.

namespace PrimroseBridge {

namespace {

using Sim = OwnerSimulation;

constexpr Duration callDelayBound{12'000};
const std::string jobId(16, 'a');
const std::string otherJobId(16, 'b');

/// An owner that has taken over two jobs, of which the previous one recorded a late start on w1. Only w2 has answered.
struct Successor : OwnerSimulation {
    explicit Successor(const std::map<std::string, std::int64_t> &runsOverInMs = {})
    {
        configure(1, {"queue"});
        const auto entry = [](const std::string &name) { return RosterEntry{.m_worker = worker(name), .m_jobsIfCordoned = std::nullopt}; };
        apply(OwnershipGained{.m_snapshot = std::make_shared<const FleetSnapshot>(FleetSnapshot{
                                  .m_fence = fence,
                                  .m_jobs = {newJobState(job(jobId, "queue", policy(4)), 4, at(0)), newJobState(job(otherJobId, "queue", policy(4)), 4, at(0))},
                                  .m_cancelledJobs = {},
                                  .m_workers = {worker("w1"), worker("w2"), worker("w3")},
                                  .m_roster = {entry("w1"), entry("w2"), entry("w3")},
                                  .m_rosterVersion = 1,
                                  .m_lateStarts = LateStartRecord{.m_version = 4, .m_jobsByWorker = {{"w1", {jobId}}}, .m_runsOverInMs = runsOverInMs}})},
              at(0));
        updateAuthority(m_state, fromMilliseconds(1'000'000'000), at(0));
        answer("w2", std::nullopt, {}, at(10));
        answer("w3", std::nullopt, {}, at(10));
        missPoll("w1", at(350));
        missPoll("w1", at(700));
    }

    [[nodiscard]] Instant leasesExpiredBy() const
    {
        return m_state.m_jobsLockedUntil;
    }

    [[nodiscard]] Instant lateRunsExpiredBy() const
    {
        return leasesExpiredBy() + callDelayBound;
    }

    [[nodiscard]] bool isStarted(const std::string &job) const
    {
        return std::any_of(m_startOrders.begin(), m_startOrders.end(), [&](const auto &order) { return order.m_task.m_job == job; });
    }

    void goOnUntil(Instant now)
    {
        review(now);
        place(now);
    }
};

} // namespace

// Guards against a successor that starts a task while a process of a silent worker, which restarted behind a cut, executes the former owner's start.
TEST_CASE("a successor holds back a job with a recorded late start until a late run's lease is over")
{
    Successor sim;
    sim.goOnUntil(sim.leasesExpiredBy());
    CHECK_FALSE(sim.isStarted(jobId));
    CHECK(sim.isStarted(otherJobId)); // Its starts were answered.
    sim.goOnUntil(sim.lateRunsExpiredBy() - Duration(1));
    CHECK_FALSE(sim.isStarted(jobId));
    sim.goOnUntil(sim.lateRunsExpiredBy());
    CHECK(sim.isStarted(jobId));
}

// Guards against a wait for a worker that has listed all its runs, and so refuses the former owner's calls.
TEST_CASE("a job with a recorded late start is unlocked once the worker has listed its runs")
{
    Successor sim;
    sim.answer("w1", std::nullopt, {}, Sim::at(1000));
    sim.goOnUntil(Sim::at(1010));
    CHECK(sim.isStarted(jobId));
    // A later process of the worker may still execute them.
    CHECK(sim.m_state.m_formerLateStarts.contains("w1"));
}

// Guards against a second successor that does not learn of the late starts that the first one still waits for.
TEST_CASE("the record of late starts keeps those of the previous owner while they are waited for")
{
    Successor sim;
    sim.m_state.m_lateStartsChanged = true;
    sim.apply(JobSubmitted{.m_spec = Sim::job(std::string(16, 'c'), "queue", Sim::policy(4))}, Sim::at(720));
    sim.place(Sim::at(730));
    REQUIRE(sim.isStarted(std::string(16, 'c')));
    sim.apply(StartOrderCompleted{.m_task = Sim::reference(std::string(16, 'c')),
                                  .m_runNumber = 1,
                                  .m_checkpoint = {},
                                  .m_incarnation = *sim.task(std::string(16, 'c'))->m_assignedWorker,
                                  .m_fence = Sim::fence,
                                  .m_sentAt = Sim::at(730),
                                  .m_reply = OrderReply{.m_answer = OrderAnswer::Unanswered, .m_workerClockMs = std::nullopt}},
              Sim::at(1230));
    recordLateStartsIfChanged(sim.m_state, Sim::at(1230));
    const auto found = std::find_if(sim.m_records.rbegin(), sim.m_records.rend(), [](const auto &record) { return record.m_key == StoreKeys::lateStarts; });
    REQUIRE(found != sim.m_records.rend());
    const auto record = decodeLateStarts(found->m_value).value();
    CHECK(record.m_version == 5);
    CHECK(record.m_jobsByWorker.at("w1") == std::set<std::string>{jobId});
    CHECK(record.m_jobsByWorker.size() == 2);
}

// Guards against a record that grows for ever, and that locks jobs after each takeover.
TEST_CASE("the record of late starts loses what is excluded")
{
    Successor sim;
    sim.goOnUntil(sim.lateRunsExpiredBy());
    recordLateStartsIfChanged(sim.m_state, sim.lateRunsExpiredBy());
    REQUIRE(sim.m_records.back().m_key == StoreKeys::lateStarts);
    CHECK(decodeLateStarts(sim.m_records.back().m_value).value().m_jobsByWorker.empty());
}

// Guards against jobs that start nothing after each change of the owner for workers that left or crashed for good.
TEST_CASE("a successor does not wait for late starts of a worker that has lost its entry")
{
    Successor sim;
    sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(720));
    sim.goOnUntil(sim.leasesExpiredBy());
    CHECK(sim.isStarted(jobId));
}

// Guards against a wait that each change of the owner starts anew: a job would start nothing while owners change, although its worker is long gone.
TEST_CASE("a successor goes on with the wait of the former owner for a worker that did not answer it")
{
    Successor sim({{"w1", 7000}});
    sim.goOnUntil(Sim::at(6999));
    CHECK_FALSE(sim.isStarted(jobId));
    SECTION("and ends it")
    {
        sim.goOnUntil(Sim::at(7000));
        CHECK(sim.isStarted(jobId));
    }
    SECTION("and records what is left of it")
    {
        recordLateStartsIfChanged(sim.m_state, Sim::at(6999));
        REQUIRE(sim.m_records.back().m_key == StoreKeys::lateStarts);
        CHECK(decodeLateStarts(sim.m_records.back().m_value).value().m_runsOverInMs == std::map<std::string, std::int64_t>{{"w1", 1}});
    }
}

// Guards against a record from which a successor cannot tell that the worker's leases are no longer renewed.
TEST_CASE("the record of late starts says when the runs of a silent worker are over")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(10));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(20));
    sim.place(Sim::at(30));
    sim.apply(StartOrderCompleted{.m_task = Sim::reference(jobId),
                                  .m_runNumber = 1,
                                  .m_checkpoint = {},
                                  .m_incarnation = *sim.task(jobId)->m_assignedWorker,
                                  .m_fence = Sim::fence,
                                  .m_sentAt = Sim::at(30),
                                  .m_reply = OrderReply{.m_answer = OrderAnswer::Unanswered, .m_workerClockMs = std::nullopt}},
              Sim::at(530));
    const auto recorded = [&sim](Instant now) {
        recordLateStartsIfChanged(sim.m_state, now);
        return decodeLateStarts(sim.m_records.back().m_value).value();
    };
    CHECK(recorded(Sim::at(540)).m_runsOverInMs.empty());
    sim.missPoll("w1", Sim::at(700));
    sim.missPoll("w1", Sim::at(950));
    const auto lateRunsExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy + callDelayBound;
    sim.review(Sim::at(3000));
    CHECK(recorded(Sim::at(3000)).m_runsOverInMs.at("w1") == (lateRunsExpiredBy - Sim::at(3000)).count());
    CHECK(recorded(Sim::at(5000)).m_runsOverInMs.at("w1") == (lateRunsExpiredBy - Sim::at(5000)).count());
}

TEST_CASE("a record of late starts is read as it was written, and another text is refused")
{
    const LateStartRecord record{.m_version = 7, .m_jobsByWorker = {{"w1", {jobId, otherJobId}}, {"w2", {jobId}}}, .m_runsOverInMs = {{"w1", 5000}}};
    CHECK(decodeLateStarts(encodeLateStarts(record)).value() == record);
    CHECK_FALSE(decodeLateStarts("{}").ok());
    CHECK_FALSE(decodeLateStarts(R"({"version":1,"workers":{"w1":[1]},"runsOverInMs":{}})").ok());
}

} // namespace PrimroseBridge
