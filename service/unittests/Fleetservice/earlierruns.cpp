#include "ownersimulation.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";

// Starts a task on one of two workers as run 1, while the other worker still has the end of run 2 by an earlier owner. Returns the first worker.
static std::string startBesideAnEarlierEnd(Sim &sim)
{
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.answer("w2", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.task(jobId)->m_runNumber == 1);
    return sim.workerOf(jobId);
}

static std::string otherWorker(const std::string &name)
{
    return name == "w1" ? "w2" : "w1";
}

// Guards against two runs of one task: the lapsed end of a higher run by an earlier owner arrives from another worker while the task runs.
TEST_CASE("a task whose run is listed is not started elsewhere because of the end of a higher run")
{
    Sim sim;
    const auto first = startBesideAnEarlierEnd(sim);
    sim.acceptStart(jobId, Sim::at(30));
    sim.answer(otherWorker(first), std::nullopt, {Sim::ended(jobId, 1, 2, RunEndKind::LeaseExpired)}, Sim::at(40));
    sim.answer(first, Sim::running(jobId, 1), {}, Sim::at(50));
    sim.place(Sim::at(60));
    CHECK(sim.workerOf(jobId) == first);
}

// Guards against a task that waits for ever: the same end arrives while the start is not answered yet (soak seed 941005).
TEST_CASE("a task is started again after the end of a higher run was listed during its start")
{
    Sim sim;
    const auto first = startBesideAnEarlierEnd(sim);
    sim.answer(otherWorker(first), std::nullopt, {Sim::ended(jobId, 1, 2, RunEndKind::LeaseExpired)}, Sim::at(40));
    sim.apply(StartOrderCompleted{.m_task = Sim::reference(jobId),
                                  .m_runNumber = 1,
                                  .m_checkpoint = {},
                                  .m_incarnation = WorkerIncarnation{.m_worker = first, .m_startedAtMs = 1},
                                  .m_fence = Sim::fence,
                                  .m_sentAt = Sim::at(20),
                                  .m_reply = OrderReply{.m_answer = OrderAnswer::Accepted, .m_workerClockMs = std::nullopt}},
              Sim::at(50));
    sim.answer(first, Sim::running(jobId, 1), {}, Sim::at(60));
    sim.answer(first, std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Stopped)}, Sim::at(70));
    for (int nowMs = 100; nowMs <= 10'000; nowMs += 50) {
        sim.answer("w1", std::nullopt, {}, Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
    }
    CHECK(sim.task(jobId)->m_runNumber == 3);
}

} // namespace PrimroseBridge
