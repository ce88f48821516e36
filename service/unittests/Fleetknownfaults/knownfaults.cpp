#include "ownersimulation.h"

#include <catch2/catch.hpp>

// Each test of this binary fails because of a fault that KNOWN-RED.txt lists.

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";

static void reviewAndPlace(Sim &sim, int nowMs)
{
    sim.review(Sim::at(nowMs));
    sim.place(Sim::at(nowMs));
}

static RosterEntry listed(const std::string &worker)
{
    return RosterEntry{.m_worker = Sim::worker(worker), .m_jobsIfCordoned = std::nullopt};
}

static StopOrderCompleted stopAnswered(const Sim &sim, const std::string &worker, std::int64_t runNumber, OrderAnswer answer)
{
    return StopOrderCompleted{.m_task = Sim::reference(jobId),
                              .m_runNumber = runNumber,
                              .m_incarnation = *sim.m_state.m_workers.at(worker).m_incarnation,
                              .m_fence = Sim::fence,
                              .m_reply = OrderReply{.m_answer = answer, .m_workerClockMs = std::nullopt}};
}

// Guards against a job that waits for ever: a worker leaves the start of a run without an answer and refuses the stop as unhealthy, but answers each poll
// and does not list the run. The lease end of the start has passed long ago, so that the worker refuses a late start.
TEST_CASE("a superseded run that is never listed does not lock its job for longer than its lease")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w0", Duration(60'000)), Sim::worker("w1")},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = Sim::worker("w0", Duration(60'000)), .m_jobsIfCordoned = std::vector<std::string>()}, listed("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    reviewAndPlace(sim, 20);
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.answer("w0", Sim::running(jobId, 2), {}, Sim::at(50));
    REQUIRE(sim.workerOf(jobId) == "w0");
    sim.answer("w0", std::nullopt, {Sim::ended(jobId, 1, 2, RunEndKind::Failed)}, Sim::at(60));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(70));
    for (int nowMs = 100; nowMs < 20'000; nowMs += 500) {
        sim.apply(stopAnswered(sim, "w1", 1, OrderAnswer::Unhealthy), Sim::at(nowMs));
        sim.answer("w1", std::nullopt, {}, Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        reviewAndPlace(sim, nowMs);
    }
    CHECK(sim.workerOf(jobId) == "w2");
}

// Guards against an acknowledgement before a record: the end of a run is listed before the owner knows its job. The worker drops an acknowledged end, so
// that the job, once it is known, is run again.
TEST_CASE("the end of a run of a job that is not known yet is not acknowledged")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")}, {}, {listed("w1")});
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Done)}, Sim::at(20));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(30));
    CHECK(sim.m_state.m_workers.at("w1").m_lastAcknowledgedEnd == 0);
    reviewAndPlace(sim, 40);
    CHECK(sim.m_startOrders.empty());
}

// Guards against more attempts than the job allows (BUDGET): an owner that knows no run of its predecessor numbers its runs from 1 again, so that two
// failed runs on different workers have one number.
TEST_CASE("failed runs of two owners with the same number on different workers count as two attempts")
{
    auto job = newJobState(Sim::job(jobId, "queue", Sim::policy(2)), 2, Sim::at(0));
    job = applyRunEnd(job, Sim::ended(jobId, 1, 1, RunEndKind::Failed), "w1", Sim::at(10)).m_job;
    // The worker lists the end again until it is acknowledged.
    job = applyRunEnd(job, Sim::ended(jobId, 1, 1, RunEndKind::Failed), "w1", Sim::at(20)).m_job;
    REQUIRE(job->m_outcome == JobOutcome::Active);
    job = applyRunEnd(job, Sim::ended(jobId, 1, 1, RunEndKind::Failed), "w2", Sim::at(30)).m_job;
    CHECK(job->m_outcome == JobOutcome::Failed);
}

} // namespace PrimroseBridge
