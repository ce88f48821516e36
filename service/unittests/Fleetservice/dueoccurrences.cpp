#include "ownersimulation.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

// A job that is due @p times times at once, whose only task needs @p accelerators.
static JobSpecPointer repeatedJob(const std::string &name, std::int64_t times, std::int64_t accelerators)
{
    const Resources resources{.m_milliCores = 100, .m_memoryMb = 10, .m_accelerators = accelerators};
    return Sim::jobOfStep(
        name, "queue", Sim::policy(4), Sim::stepOf(1, resources), JobSchedule{.m_count = times, .m_firstDue = fromMilliseconds(0), .m_interval = Duration(1)});
}

// Guards against an owner that a single job keeps from deciding anything (LOST, review case 9): 52,560 due occurrences that fit on no worker.
TEST_CASE("a job with very many due occurrences does not keep other jobs from starting")
{
    const std::string urgent = "5c0e7a21d94b36f8";
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = repeatedJob("5c0e7a21d94b36f0", 52'560, 16)}, Sim::at(10));
    sim.apply(JobSubmitted{.m_spec = Sim::job(urgent, "queue", Sim::policy(4))}, Sim::at(20));
    sim.place(Sim::at(30));
    CHECK(sim.workerOf(urgent) == "w1");
    CHECK(sim.jobState("5c0e7a21d94b36f0")->m_occurrences.size() == OccurrenceLimits::maxUnstarted);
    sim.review(Sim::at(100));
    sim.place(Sim::at(110));
    CHECK(sim.jobState("5c0e7a21d94b36f0")->m_occurrences.size() == OccurrenceLimits::maxUnstarted);
}

// Guards against occurrences that are left out: every one has to run, in order, once those before it have started.
TEST_CASE("all occurrences of a job that is due very often are run")
{
    constexpr std::int64_t times = 700;
    const std::string name = "5c0e7a21d94b36f0";
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = repeatedJob(name, times, 0)}, Sim::at(10));
    std::size_t ended = 0;
    for (int nowMs = 20; sim.jobState(name)->m_outcome == JobOutcome::Active && nowMs < 20'000; nowMs += 100) {
        sim.place(Sim::at(nowMs));
        std::vector<RunEnd> ends;
        for (; ended < sim.m_startOrders.size() && ends.size() < maxListedEnds - 1; ++ended) {
            const auto &order = sim.m_startOrders[ended];
            REQUIRE(order.m_task.m_occurrence == static_cast<std::int64_t>(ended));
            ends.push_back(RunEnd{.m_number = static_cast<std::int64_t>(ended) + 1,
                                  .m_task = order.m_task,
                                  .m_runNumber = order.m_runNumber,
                                  .m_kind = RunEndKind::Done,
                                  .m_checkpoint = {}});
        }
        sim.answer("w1", std::nullopt, std::move(ends), Sim::at(nowMs + 50));
    }
    CHECK(sim.jobState(name)->m_outcome == JobOutcome::Complete);
    CHECK(sim.m_startOrders.size() == times);
}

// Guards against two runs of one task (TWICE, seed 1014733 of the simulation): a new owner creates an occurrence of a repeated job when it is due, or when a
// worker reports a run of it, which is later than the request of that report. The report is no older than anything that the owner knows of the run.
TEST_CASE("a run of an occurrence that was created after the report was requested is adopted")
{
    const std::string name = "5c0e7a21d94b36f0";
    const bool createdByPass = GENERATE(true, false);
    CAPTURE(createdByPass);
    Sim sim;
    if (createdByPass) {
        sim.configure(1, {"queue"});
    }
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")},
                    {newJobState(repeatedJob(name, 1, 8), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = std::nullopt},
                     RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = std::nullopt}});
    sim.place(Sim::at(10)); // Creates the occurrence if there is a configuration.
    sim.answer("w2", std::nullopt, {}, Sim::at(15));
    sim.apply(
        PollCompleted{.m_incarnation = *sim.m_state.m_workers.at("w1").m_incarnation,
                      .m_fence = Sim::fence,
                      .m_sentAt = Sim::at(5),
                      .m_leaseRenewed = false,
                      .m_immediate = false,
                      .m_reply
                      = RunReportReply{.m_answer = OrderAnswer::Accepted,
                                       .m_runReport = WorkerRunReport{.m_startedAtMs = 1, .m_clockMs = 5, .m_running = {Sim::running(name, 1)}, .m_ends = {}}}},
        Sim::at(20));
    sim.configure(1, {"queue"});
    sim.review(Sim::at(60));
    sim.place(Sim::at(60));
    CHECK(sim.m_startOrders.empty());
    CHECK(sim.workerOf(name) == "w1");
}

} // namespace PrimroseBridge
