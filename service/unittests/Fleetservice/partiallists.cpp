#include "ownersimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

// Guards against conclusions from a list of run ends that is not whole (TWICE, review case 6): a worker lists 500 ends at a time, so a run that its
// report does not list at all may have ended as done. Each test has a run whose end follows after the listed part.

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";

// A job whose tasks are so small that one worker holds more than a thousand of them.
static JobSpecPointer jobOfSmallTasks(int tasks)
{
    return Sim::jobOfStep(jobId, "queue", Sim::policy(4), Sim::stepOf(tasks, Resources{.m_milliCores = 10, .m_memoryMb = 10, .m_accelerators = 0}));
}

// The ends that a worker lists of @p total runs that are done, if those up to @p acknowledged have been acknowledged.
static std::vector<RunEnd> doneEnds(std::int64_t acknowledged, int total)
{
    std::vector<RunEnd> ends;
    for (auto number = acknowledged + 1; number <= total && ends.size() < maxListedEnds; ++number) {
        ends.push_back(Sim::ended(jobId, number, 1, RunEndKind::Done, static_cast<int>(number) - 1));
    }
    return ends;
}

// Ends of a job that the owner does not know.
static std::vector<RunEnd> endsOfOthers(std::size_t count)
{
    std::vector<RunEnd> ends;
    for (std::size_t index = 0; index < count; ++index) {
        ends.push_back(Sim::ended("5c0e7a21d94b36ff", static_cast<std::int64_t>(index) + 1, 1, RunEndKind::Stopped));
    }
    return ends;
}

static void reviewAndPlace(Sim &sim, int nowMs)
{
    sim.review(Sim::at(nowMs));
    sim.place(Sim::at(nowMs));
}

static void recordProgress(Sim &sim, int nowMs)
{
    const auto job = sim.jobState(jobId);
    sim.apply(ProgressRecorded{.m_job = jobId, .m_version = job->m_version, .m_outcome = job->m_outcome}, Sim::at(nowMs));
}

// The worker w1 lists its ends part by part as they are acknowledged, while w2 is idle. Returns the number of starts until the job is complete.
static std::size_t startsUntilComplete(Sim &sim, int tasks)
{
    int nowMs = 1'000;
    while (sim.jobState(jobId)->m_outcome == JobOutcome::Active && nowMs < 60'000) {
        sim.answer("w1", std::nullopt, doneEnds(sim.m_state.m_workers.at("w1").m_lastAcknowledgedEnd, tasks), Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        reviewAndPlace(sim, nowMs + 10);
        recordProgress(sim, nowMs + 20);
        reviewAndPlace(sim, nowMs + 30);
        nowMs += 100;
    }
    REQUIRE(sim.jobState(jobId)->m_outcome == JobOutcome::Complete);
    sim.answer("w1", std::nullopt, {}, Sim::at(nowMs));
    reviewAndPlace(sim, nowMs + 10);
    return sim.m_startOrders.size();
}

TEST_CASE("a task whose run may have ended beyond the listed ends is not started again")
{
    const int tasks = GENERATE(499, 500, 501, 1'200);
    CAPTURE(tasks);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = jobOfSmallTasks(tasks)}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.m_startOrders.size() == static_cast<std::size_t>(tasks));
    for (int index = 0; index < tasks; ++index) {
        sim.acceptStart(jobId, Sim::at(30), index);
    }
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(40));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    CHECK(startsUntilComplete(sim, tasks) == static_cast<std::size_t>(tasks));
    CHECK(sim.m_stopOrders.empty());
}

TEST_CASE("a takeover waits until a worker has listed all its ends")
{
    const int tasks = GENERATE(499, 500, 501, 1'200);
    const bool cordoned = GENERATE(false, true);
    CAPTURE(tasks, cordoned);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")},
                    {newJobState(jobOfSmallTasks(tasks), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = cordoned ? std::optional(std::vector<std::string>{jobId}) : std::nullopt},
                     RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = std::nullopt}});
    CHECK(startsUntilComplete(sim, tasks) == 0);
    CHECK(sim.m_state.m_awaitedWorkers.empty());
    CHECK(sim.m_state.m_lockedJobs.empty());
}

// The leases of the former owner show nothing of a worker that answers: its ends stay listed, and this owner renews its leases.
TEST_CASE("a takeover waits for further ends for longer than a task lease")
{
    constexpr int tasks = 501;
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")},
                    {newJobState(jobOfSmallTasks(tasks), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = std::nullopt},
                     RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = std::nullopt}});
    // The store records nothing for three task leases, so that the worker lists the same part again and again.
    for (int nowMs = 100; nowMs < 3 * Sim::taskLease.count(); nowMs += 300) {
        sim.answer("w1", std::nullopt, doneEnds(0, tasks), Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        reviewAndPlace(sim, nowMs + 10);
        reviewAndPlace(sim, nowMs + 260); // Polls w1 again.
        REQUIRE(sim.m_startOrders.empty());
    }
    // Silent workers lose their leases, and the list with them.
    for (int nowMs = 3 * Sim::taskLease.count(); nowMs < 6 * Sim::taskLease.count(); nowMs += 250) {
        sim.missPoll("w1", Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        reviewAndPlace(sim, nowMs + 10);
    }
    CHECK(sim.m_startOrders.size() == 1);
}

TEST_CASE("a superseded run is not over because a part of the ends lacks it")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w0"), Sim::worker("w1")},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = Sim::worker("w0"), .m_jobsIfCordoned = std::vector<std::string>()},
                     RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = std::nullopt}});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    reviewAndPlace(sim, 20);
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.answer("w0", Sim::running(jobId, 2), {}, Sim::at(50));
    sim.answer("w0", std::nullopt, {Sim::ended(jobId, 1, 2, RunEndKind::Failed)}, Sim::at(60));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(70));
    sim.answer("w2", std::nullopt, {}, Sim::at(80));
    sim.answer("w1", std::nullopt, endsOfOthers(maxListedEnds), Sim::at(100));
    reviewAndPlace(sim, 110);
    CHECK(sim.workerOf(jobId).empty());
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 501, 1, RunEndKind::Done)}, Sim::at(200));
    reviewAndPlace(sim, 210);
    CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Complete);
    CHECK(sim.m_startOrders.size() == 1);
}

// Runs a task on w1, with w2 idle.
static void runOnFirstWorker(Sim &sim)
{
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    sim.acceptStart(jobId, Sim::at(30));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(40));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(50));
    sim.answer("w2", std::nullopt, {}, Sim::at(60));
}

TEST_CASE("a stopped task waits until its worker has listed all its ends")
{
    Sim sim;
    runOnFirstWorker(sim);
    const auto incarnation = *sim.m_state.m_workers.at("w1").m_incarnation;
    orderStop(sim.m_state, incarnation, Sim::reference(jobId), 1, StopReason::Stalled, Sim::at(70));
    sim.apply(StopOrderCompleted{.m_task = Sim::reference(jobId),
                                 .m_runNumber = 1,
                                 .m_incarnation = incarnation,
                                 .m_fence = Sim::fence,
                                 .m_reply = OrderReply{.m_answer = OrderAnswer::Accepted, .m_workerClockMs = std::nullopt}},
              Sim::at(80));
    sim.answer("w1", std::nullopt, endsOfOthers(maxListedEnds), Sim::at(100));
    reviewAndPlace(sim, 110);
    CHECK(sim.m_startOrders.size() == 1);
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 501, 1, RunEndKind::Done)}, Sim::at(200));
    reviewAndPlace(sim, 210);
    CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Complete);
    CHECK(sim.m_startOrders.size() == 1);
}

// The next process of a worker may have executed a start that its predecessor had listed, because the order was repeated.
TEST_CASE("the first report of a restarted worker releases nothing if it lists a part of the ends")
{
    Sim sim;
    runOnFirstWorker(sim);
    const bool entryFirst = GENERATE(true, false);
    CAPTURE(entryFirst);
    if (entryFirst) {
        sim.apply(WorkerReported{.m_report = Sim::worker("w1", std::nullopt, 2)}, Sim::at(70));
        sim.answer("w1", std::nullopt, endsOfOthers(maxListedEnds), Sim::at(100));
    } else {
        std::vector<RunEnd> ends = endsOfOthers(maxListedEnds);
        sim.apply(PollCompleted{.m_incarnation = *sim.m_state.m_workers.at("w1").m_incarnation,
                                .m_fence = Sim::fence,
                                .m_sentAt = Sim::at(100),
                                .m_leaseRenewed = false,
                                .m_immediate = false,
                                .m_reply = RunReportReply{.m_answer = OrderAnswer::Accepted,
                                                          .m_runReport = WorkerRunReport{.m_startedAtMs = 2,
                                                                                         .m_clockMs = 100,
                                                                                         .m_running = {},
                                                                                         .m_ends = std::move(ends),
                                                                                         .m_listedEnds = listedEnds(maxListedEnds)}}},
                  Sim::at(100));
        sim.apply(WorkerReported{.m_report = Sim::worker("w1", std::nullopt, 2)}, Sim::at(105));
    }
    reviewAndPlace(sim, 110);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.size() == 1);
    sim.answer("w1", std::nullopt, {}, Sim::at(200));
    reviewAndPlace(sim, 210);
    CHECK(sim.m_startOrders.size() == 2);
}

// Guards against ends that wait for the time-out of a long poll although the worker has further ones.
TEST_CASE("further ends are requested at once after an acknowledgement")
{
    constexpr int tasks = 501;
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")}, {newJobState(jobOfSmallTasks(tasks), 4, Sim::at(0))}, {});
    sim.answer("w1", std::nullopt, doneEnds(0, tasks), Sim::at(50));
    recordProgress(sim, 60);
    REQUIRE(!sim.m_reportRequests.empty());
    CHECK(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 500);
    CHECK(sim.m_reportRequests.back().m_wait == Duration(0));
    sim.answer("w1", std::nullopt, doneEnds(500, tasks), Sim::at(70));
    recordProgress(sim, 80);
    CHECK(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 501);
    CHECK(sim.m_reportRequests.back().m_wait > Duration(0));
}

} // namespace PrimroseBridge
