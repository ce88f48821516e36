#include "ownersimulation.h"

#include "primrosebridge/Progress/jobrecord.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";
static const std::string newQueue = "new";
static constexpr int attempts = 4;

// Runs the job once on w1 from @p sinceMs on; the run fails.
static void failRun(Sim &sim, int sinceMs, std::int64_t runNumber)
{
    sim.place(Sim::at(sinceMs));
    REQUIRE(sim.workerOf(jobId) == "w1");
    REQUIRE(sim.task(jobId)->m_runNumber == runNumber);
    sim.acceptStart(jobId, Sim::at(sinceMs + 10));
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, runNumber, runNumber, RunEndKind::Failed)}, Sim::at(sinceMs + 200));
}

// Guards against a job that fails after its first failed run (review/4): the owner learns of the job before it learns of the configuration
// that adds the job's queue, because its watch of the configuration is silent. The delay of the configuration does not matter.
TEST_CASE("a job that arrives before the configuration of its queue keeps the attempts under which it was accepted")
{
    for (const int delayMs : {26, 2'600, 26'000}) {
        Sim sim;
        sim.configure(1, {"old"});
        sim.becomeOwner({Sim::worker("w1")});
        sim.answer("w1", std::nullopt, {}, Sim::at(5));
        sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, newQueue, Sim::policy(attempts))}, Sim::at(10));
        sim.place(Sim::at(10));
        sim.answer("w1", std::nullopt, {}, Sim::at(10 + delayMs));
        sim.configure(2, {"old", newQueue}, attempts);
        int nowMs = 20 + delayMs;
        for (int run = 1; run <= attempts; ++run) {
            CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Active);
            failRun(sim, nowMs, run);
            nowMs += 10'000;
        }
        CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Failed);
    }
}

// Guards against the same failure at a takeover: the new owner holds a configuration without the queue, and an earlier failed run is on
// record. The route may have been added just before the takeover, or removed since the job was accepted.
TEST_CASE("a job restored before the configuration of its queue keeps the attempts under which it was accepted")
{
    const auto spec = Sim::job(jobId, newQueue, Sim::policy(attempts));
    Sim former;
    former.configure(2, {newQueue}, attempts);
    former.becomeOwner({Sim::worker("w1")});
    former.answer("w1", std::nullopt, {}, Sim::at(5));
    former.apply(JobSubmitted{.m_spec = spec}, Sim::at(10));
    failRun(former, 20, 1);
    const auto record = encodeProgress(*former.jobState(jobId));

    Sim sim;
    sim.configure(1, {"old"});
    const auto restored = restoreJob(spec, findMaxAttempts(*spec, sim.m_configuration.current()), record, Sim::at(0)).value();
    sim.becomeOwner({Sim::worker("w1")}, {restored});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.review(Sim::at(10));
    sim.configure(2, {"old", newQueue}, attempts);
    failRun(sim, 20, 2);
    CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Active);
    failRun(sim, 10'000, 3);
    CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Active);
}

// Guards against judging a job by the number of attempts of a configuration that came after its acceptance, twice over and to both sides.
TEST_CASE("later configurations do not change the attempts of an accepted job")
{
    for (const int later : {1, 20}) {
        Sim sim;
        sim.configure(1, {newQueue}, attempts);
        sim.becomeOwner({Sim::worker("w1")});
        sim.answer("w1", std::nullopt, {}, Sim::at(5));
        sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, newQueue, Sim::policy(attempts))}, Sim::at(10));
        failRun(sim, 20, 1);
        sim.configure(2, {newQueue}, later);
        failRun(sim, 10'000, 2);
        sim.configure(3, {newQueue}, later + 1);
        failRun(sim, 20'000, 3);
        CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Active);
        failRun(sim, 30'000, 4);
        CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Failed);
    }
}

// Guards against a rolling upgrade that fails jobs early: a VM of the earlier release accepts a job and does not store the policy. Until a
// configuration with the queue is known, failed runs of a former owner are counted but the job is not judged.
TEST_CASE("a job without a recorded policy is judged once the configuration of its queue is known")
{
    for (const int known : {1, attempts}) {
        Sim sim;
        sim.configure(1, {"old"});
        sim.becomeOwner({Sim::worker("w1")});
        sim.answer("w1", std::nullopt, {}, Sim::at(5));
        sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, newQueue, std::nullopt)}, Sim::at(10));
        sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Failed)}, Sim::at(1'000));
        sim.place(Sim::at(1'100));
        CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Active);
        CHECK(sim.workerOf(jobId).empty());
        sim.configure(2, {"old", newQueue}, known);
        sim.place(Sim::at(10'000));
        const bool fails = known == 1;
        CHECK(sim.jobState(jobId)->m_outcome == (fails ? JobOutcome::Failed : JobOutcome::Active));
        CHECK(sim.workerOf(jobId).empty() == fails);
        REQUIRE(sim.m_records.back().m_job);
        CHECK(sim.m_records.back().m_job->m_outcome == sim.jobState(jobId)->m_outcome);
    }
}

// Guards against accepted jobs that never go on (review/3): the configuration in force has lost their queue. The owner may change meanwhile.
TEST_CASE("a job goes on after its route is removed")
{
    for (const bool ownerChanges : {false, true}) {
        const auto spec = Sim::job(jobId, newQueue, Sim::policy(attempts));
        Sim sim;
        sim.configure(1, {newQueue}, attempts);
        sim.becomeOwner({Sim::worker("w1")});
        sim.answer("w1", std::nullopt, {}, Sim::at(5));
        sim.apply(JobSubmitted{.m_spec = spec}, Sim::at(10));
        sim.configure(2, {"old"});
        if (ownerChanges) {
            sim.becomeOwner({Sim::worker("w1")}, {newJobState(spec, findMaxAttempts(*spec, sim.m_configuration.current()), Sim::at(20))}, {}, Sim::at(20));
            sim.answer("w1", std::nullopt, {}, Sim::at(30));
            sim.review(Sim::at(40));
        }
        failRun(sim, 50, 1);
        failRun(sim, 10'000, 2);
        CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Active);
    }
}

// Guards against an urgent job that waits for a silent watch of the owner, although another VM has accepted it under the newer configuration.
TEST_CASE("a job starts before its owner knows the configuration of its queue")
{
    Sim sim;
    sim.configure(1, {"old"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, newQueue, Sim::policy(attempts))}, Sim::at(10));
    sim.place(Sim::at(20));
    CHECK(sim.workerOf(jobId) == "w1");
}

} // namespace PrimroseBridge
