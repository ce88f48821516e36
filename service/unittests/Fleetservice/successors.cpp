#include "ownersimulation.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";
static const std::string machine = "m-1";
static constexpr int answerPeriodMs = 500;
// The leases of a worker have ended for certain this long after the last renewal: 3% more than the task lease, and 300 ms.
static constexpr int leasesOverAfterMs = 3'390;

static WorkerReportPointer onMachine(const std::string &name, std::int64_t startedAtMs, std::optional<Duration> leavesIn = std::nullopt)
{
    return Sim::worker(name, leavesIn, startedAtMs, machine);
}

// Starts a task on w1, which runs on the machine, and reports the idle worker w2 on another one.
static void startOnMachine(Sim &sim)
{
    sim.configure(1, {"queue"});
    sim.becomeOwner({onMachine("w1", 1)});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(40));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(60));
}

static void reviewAndPlace(Sim &sim, int nowMs)
{
    sim.review(Sim::at(nowMs));
    sim.place(Sim::at(nowMs));
}

// Guards against two runs of one task without a warning (issue 36): an entry names the machine of a worker and a later start. The entry may come from
// another writer, or from a worker that replaces one that has not left yet, so it does not show that the earlier worker runs nothing.
TEST_CASE("an entry with the machine of a worker does not end the runs of that worker while it answers")
{
    const bool drains = GENERATE(false, true);
    const bool successorAnswers = GENERATE(false, true);
    const bool entryRemoved = GENERATE(false, true);
    for (const int entries : {1, 3}) {
        CAPTURE(drains, successorAnswers, entryRemoved, entries);
        Sim sim;
        startOnMachine(sim);
        if (drains) {
            sim.apply(WorkerReported{.m_report = onMachine("w1", 1, Duration(60'000))}, Sim::at(70));
        }
        if (entryRemoved) {
            sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(80));
        }
        int nowMs = 100;
        for (int entry = 0; entry < entries; ++entry) {
            sim.apply(WorkerReported{.m_report = onMachine("w9", 1'000 + entry)}, Sim::at(nowMs));
            for (const int endMs = nowMs + 20'000; nowMs < endMs; nowMs += answerPeriodMs) {
                if (successorAnswers) {
                    sim.answer("w9", std::nullopt, {}, Sim::at(nowMs));
                } else {
                    sim.missPoll("w9", Sim::at(nowMs));
                }
                sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
                reviewAndPlace(sim, nowMs);
                REQUIRE(sim.workerOf(jobId) == "w1");
                REQUIRE(sim.task(jobId)->m_runNumber == 1);
                sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(nowMs));
                // One lost answer shows nothing either.
                sim.missPoll("w1", Sim::at(nowMs));
            }
        }
    }
}

// Guards against two runs of one task: a worker goes on beside a later one on its machine and cannot be reached. The answers of the later one
// show nothing of it, so its tasks wait for the end of its leases, and no longer.
TEST_CASE("a silent worker keeps its runs until its leases are over although a later worker on its machine answers")
{
    const bool drains = GENERATE(false, true);
    CAPTURE(drains);
    Sim sim;
    startOnMachine(sim);
    constexpr int lastRenewalMs = 200;
    if (drains) {
        sim.apply(WorkerReported{.m_report = onMachine("w1", 1, Duration(60'000))}, Sim::at(100));
    }
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(lastRenewalMs));
    sim.apply(WorkerReported{.m_report = onMachine("w9", 1'000)}, Sim::at(300));
    int nowMs = 300;
    // The first missed poll still renews the leases.
    for (; nowMs < lastRenewalMs + leasesOverAfterMs; nowMs += 100) {
        sim.answer("w9", std::nullopt, {}, Sim::at(nowMs));
        sim.missPoll("w1", Sim::at(nowMs));
        reviewAndPlace(sim, nowMs);
        REQUIRE(sim.workerOf(jobId) == "w1");
    }
    for (const int endMs = nowMs + leasesOverAfterMs; nowMs < endMs; nowMs += 100) {
        sim.answer("w9", std::nullopt, {}, Sim::at(nowMs));
        sim.missPoll("w1", Sim::at(nowMs));
        reviewAndPlace(sim, nowMs);
    }
    CHECK(sim.workerOf(jobId) != "w1");
    CHECK(sim.task(jobId)->m_runNumber == 2);
}

// Guards against the same belief at a takeover: the roster names a worker that still runs, and the store's list a later one on its machine.
TEST_CASE("a takeover awaits a worker although the store names a later one on its machine")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w2"), onMachine("w9", 1'000)},
                    {newJobState(spec, 4, Sim::at(0))},
                    {RosterEntry{.m_worker = onMachine("w1", 1), .m_jobsIfCordoned = {}}, RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = {}}});
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.answer("w9", std::nullopt, {}, Sim::at(50));
    reviewAndPlace(sim, 60);
    REQUIRE(sim.workerOf(jobId).empty());
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(100));
    reviewAndPlace(sim, 110);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.task(jobId)->m_runNumber == 1);
}

// Guards against two runs of one task: the entry of a worker names a later start, but the worker still lists the run. Only a report of that
// start shows what it runs.
TEST_CASE("an entry with a later start of a worker does not end runs that the worker still lists")
{
    const bool lists = GENERATE(true, false);
    CAPTURE(lists);
    Sim sim;
    startOnMachine(sim);
    sim.apply(WorkerReported{.m_report = onMachine("w1", 2)}, Sim::at(100));
    sim.answer("w2", std::nullopt, {}, Sim::at(110));
    reviewAndPlace(sim, 110);
    REQUIRE(sim.workerOf(jobId) == "w1");
    REQUIRE(sim.task(jobId)->m_runNumber == 1);
    sim.answer("w1", lists ? std::optional(Sim::running(jobId, 1)) : std::nullopt, {}, Sim::at(120));
    reviewAndPlace(sim, 120);
    CHECK(sim.task(jobId)->m_runNumber == (lists ? 1 : 2));
    CHECK((!lists || sim.workerOf(jobId) == "w1"));
}

// Guards against two runs of one task: the report of a worker names another start than its entry, and lists the run.
TEST_CASE("a report that names another start of a worker does not end the runs that it lists")
{
    for (const std::int64_t startedAtMs : {std::int64_t(2), std::int64_t(1'000'000)}) {
        CAPTURE(startedAtMs);
        Sim sim;
        startOnMachine(sim);
        for (int nowMs = 100; nowMs < 2'000; nowMs += 100) {
            sim.answerWithStart("w1", startedAtMs, {Sim::running(jobId, 1)}, Sim::at(nowMs));
            sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
            reviewAndPlace(sim, nowMs);
            REQUIRE(sim.workerOf(jobId) == "w1");
            REQUIRE(sim.task(jobId)->m_runNumber == 1);
        }
        // The later start runs nothing, so the run of the earlier one is over.
        sim.answerWithStart("w1", startedAtMs, {}, Sim::at(2'000));
        sim.answer("w2", std::nullopt, {}, Sim::at(2'000));
        reviewAndPlace(sim, 2'000);
        CHECK(sim.workerOf(jobId) == "w2");
    }
}

} // namespace PrimroseBridge
