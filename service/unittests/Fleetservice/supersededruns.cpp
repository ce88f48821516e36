#include "ownersimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";
static const std::string otherJobId = "81b6f3c2a7d04e95";

static JobSpecPointer gangJob(const std::string &name, int members)
{
    const auto plain = Sim::job(name, "queue", Sim::policy(4));
    const auto &step = plain->m_steps.front();
    return std::make_shared<const JobSpec>(JobSpec{
        .m_id = plain->m_id,
        .m_queue = plain->m_queue,
        .m_acceptedPolicy = plain->m_acceptedPolicy,
        .m_organisation = plain->m_organisation,
        .m_acceptedAt = plain->m_acceptedAt,
        .m_payload = plain->m_payload,
        .m_steps = {JobStep{.m_taskCount = members,
                            .m_taskResources = step.m_taskResources,
                            .m_estimate = step.m_estimate,
                            .m_after = {},
                            .m_gang = true,
                            .m_sameRack = false,
                            .m_requiredLabel = {},
                            .m_dataRack = {},
                            .m_maxPerWorker = 0,
                            .m_speculative = false,
                            .m_checkpointing = false,
                            .m_longRunning = false,
                            .m_image = {},
                            .m_tailLatencyTarget = Duration(0),
                            .m_filler = false,
                            .m_maxUnavailable = 0}},
        .m_schedule = plain->m_schedule,
    });
}

static RosterEntry cordoned(const std::string &worker, std::vector<std::string> jobs)
{
    return RosterEntry{.m_worker = Sim::worker(worker, Duration(60'000)), .m_jobsIfCordoned = std::move(jobs)};
}

static RosterEntry listed(const std::string &worker)
{
    return RosterEntry{.m_worker = Sim::worker(worker), .m_jobsIfCordoned = std::nullopt};
}

static RunEnd endOf(const TaskReference &task, std::int64_t number, std::int64_t runNumber, RunEndKind kind)
{
    return RunEnd{.m_number = number, .m_task = task, .m_runNumber = runNumber, .m_kind = kind, .m_checkpoint = {}};
}

static StopOrderCompleted acceptedStop(const Sim &sim, const std::string &worker, const TaskReference &task, std::int64_t runNumber)
{
    return StopOrderCompleted{.m_task = task,
                              .m_runNumber = runNumber,
                              .m_incarnation = *sim.m_state.m_workers.at(worker).m_incarnation,
                              .m_fence = Sim::fence,
                              .m_reply = OrderReply{.m_answer = OrderAnswer::Accepted, .m_workerClockMs = std::nullopt}};
}

static bool isStarted(const Sim &sim, const std::string &job)
{
    return std::any_of(sim.m_startOrders.begin(), sim.m_startOrders.end(), [&](const auto &order) { return order.m_task.m_job == job; });
}

// Starts run 2 of a gang on w1 and w2; run 1 was on w0, which drains and answers nobody since.
static void startSecondRunOfGang(Sim &sim)
{
    sim.configure(1, {"queue"});
    auto job = newJobState(gangJob(jobId, 2), 4, Sim::at(0));
    for (int index = 0; index < 2; ++index) {
        job = applyRunEnd(job, endOf(Sim::reference(jobId, index), 1, 1, RunEndKind::LeaseExpired), "w0", Sim::at(0)).m_job;
    }
    sim.becomeOwner({Sim::worker("w0", Duration(60'000)), Sim::worker("w1"), Sim::worker("w2")}, {job}, {cordoned("w0", {}), listed("w1"), listed("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.answer("w2", std::nullopt, {}, Sim::at(5));
    sim.review(Sim::at(10));
    sim.place(Sim::at(20));
    sim.acceptStart(jobId, Sim::at(30), 0);
    sim.acceptStart(jobId, Sim::at(30), 1);
    REQUIRE(sim.m_startOrders.size() == 2);
    REQUIRE(sim.m_startOrders.front().m_runNumber == 2);
}

// Guards against work beyond the capacity of a worker (LIMIT, soak seeds 750007 and 750013): an earlier run of a gang is reported as done while
// a newer one goes on, and other tasks are started beside the newer one.
TEST_CASE("the completion of an earlier run of a gang does not free the capacity of its newer run")
{
    Sim sim;
    startSecondRunOfGang(sim);
    sim.answer("w0", std::nullopt, {endOf(Sim::reference(jobId, 0), 1, 1, RunEndKind::Done)}, Sim::at(100));
    CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Complete);
    // Both runs are stopped at once; the worker of a run gets nothing before it has listed the end of the run.
    for (int index = 0; index < 2; ++index) {
        const auto start = sim.m_startOrders.at(static_cast<std::size_t>(index));
        CHECK(sim.stopCount(start.m_worker, start.m_task, 2) == 1);
    }
    sim.apply(JobSubmitted{.m_spec = Sim::job(otherJobId, "queue", Sim::policy(4))}, Sim::at(110));
    sim.place(Sim::at(120));
    CHECK_FALSE(isStarted(sim, otherJobId));
    for (const auto *name : {"w1", "w2"}) {
        const auto start = *std::find_if(sim.m_startOrders.begin(), sim.m_startOrders.end(), [&](const auto &order) { return order.m_worker == name; });
        const RunningTask run{.m_task = start.m_task, .m_runNumber = 2, .m_checkpoint = {}, .m_percent = 50, .m_load = 0.0};
        sim.answer(name, run, {}, Sim::at(130));
    }
    sim.place(Sim::at(140));
    CHECK_FALSE(isStarted(sim, otherJobId));
    const auto first = sim.m_startOrders.front();
    sim.answer(first.m_worker, std::nullopt, {endOf(first.m_task, 1, 2, RunEndKind::Stopped)}, Sim::at(200));
    sim.place(Sim::at(210));
    CHECK(sim.workerOf(otherJobId) == first.m_worker);
    // The gang itself is done, so that no member is started a second time.
    CHECK(sim.m_startOrders.size() == 3);
}

// Guards against capacity that stays unused for ever: the stop order of a superseded run or its answer is lost, or its worker falls silent.
TEST_CASE("the stop of a superseded run is repeated until the run is over")
{
    Sim sim;
    startSecondRunOfGang(sim);
    const auto first = sim.m_startOrders.front();
    sim.answer("w0", std::nullopt, {endOf(Sim::reference(jobId, 0), 1, 1, RunEndKind::Done)}, Sim::at(100));
    sim.review(Sim::at(1000));
    CHECK(sim.stopCount(first.m_worker, first.m_task, 2) == 2);
    sim.apply(acceptedStop(sim, first.m_worker, first.m_task, 2), Sim::at(1010));
    sim.review(Sim::at(2000));
    CHECK(sim.stopCount(first.m_worker, first.m_task, 2) == 2);
    sim.apply(JobSubmitted{.m_spec = Sim::job(otherJobId, "queue", Sim::policy(4))}, Sim::at(2000));
    // A list that was requested before the answer to the stop may have been made before the stop. The one that the answer causes was not.
    sim.answer(first.m_worker, std::nullopt, {}, Sim::at(1009));
    sim.place(Sim::at(2010));
    CHECK_FALSE(isStarted(sim, otherJobId));
    sim.answer(first.m_worker, std::nullopt, {}, Sim::at(1010), true);
    sim.place(Sim::at(2030));
    CHECK(sim.workerOf(otherJobId) == first.m_worker);
    // The worker of the other member is silent until its leases have ended.
    const auto second = sim.m_startOrders.at(1);
    sim.missPoll(second.m_worker, Sim::at(2100));
    sim.missPoll(second.m_worker, Sim::at(2100)); // The first poll without an answer may still have renewed the leases.
    sim.review(Sim::at(10'000));
    CHECK(sim.m_state.m_workers.at(second.m_worker).m_supersededRuns.empty());
}

// Guards against capacity that stays unused after each gang: its members end at the same time, and their workers report it one after the other.
TEST_CASE("the members of a completed run of a gang are not stopped before their workers can have reported their ends")
{
    Sim sim;
    startSecondRunOfGang(sim);
    const auto first = sim.m_startOrders.front();
    const auto second = sim.m_startOrders.at(1);
    sim.answer(first.m_worker, std::nullopt, {endOf(first.m_task, 1, 2, RunEndKind::Done)}, Sim::at(100));
    sim.review(Sim::at(200));
    CHECK(sim.m_stopOrders.empty());
    sim.apply(JobSubmitted{.m_spec = Sim::job(otherJobId, "queue", Sim::policy(4), false, 2)}, Sim::at(210));
    sim.place(Sim::at(220));
    CHECK(sim.m_startOrders.size() == 3);
    sim.answer(second.m_worker, std::nullopt, {endOf(second.m_task, 1, 2, RunEndKind::Done)}, Sim::at(230));
    sim.place(Sim::at(240));
    CHECK(sim.m_startOrders.size() == 4);
}

// Guards against two runs of one task (TWICE), and against a task that stays assigned for ever (soak seed 740009): a new owner has started run 1
// when a worker that it could not reach reports the end of its predecessor's run 2. Run 1 must go on, and later runs have higher numbers than both.
TEST_CASE("the end of a predecessor's run with a higher number leaves the present run alone")
{
    const auto kind = GENERATE(RunEndKind::LeaseExpired, RunEndKind::Failed);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w0", Duration(60'000)), Sim::worker("w1"), Sim::worker("w2")},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {cordoned("w0", {}), listed("w1"), listed("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.answer("w2", std::nullopt, {}, Sim::at(5));
    sim.review(Sim::at(10));
    sim.place(Sim::at(20));
    sim.acceptStart(jobId, Sim::at(30));
    REQUIRE(sim.m_startOrders.size() == 1);
    const auto first = sim.m_startOrders.front();
    REQUIRE(first.m_runNumber == 1);
    sim.answer("w0", std::nullopt, {endOf(first.m_task, 1, 2, kind)}, Sim::at(100));
    sim.answer(first.m_worker, Sim::running(jobId, 1), {}, Sim::at(200));
    sim.review(Sim::at(210));
    sim.place(Sim::at(210));
    CHECK(sim.m_stopOrders.empty());
    CHECK(sim.m_startOrders.size() == 1);
    CHECK(sim.workerOf(jobId) == first.m_worker);
    sim.answer(first.m_worker, std::nullopt, {endOf(first.m_task, 1, 1, RunEndKind::Stopped)}, Sim::at(300));
    CHECK(sim.task(jobId)->m_phase == TaskPhase::Waiting);
    sim.place(Sim::at(310));
    REQUIRE(sim.m_startOrders.size() == 2);
    CHECK(sim.m_startOrders.back().m_runNumber == 3);
}

// A job whose occurrence 0 is due now.
static JobSpecPointer repeatedJob()
{
    const auto plain = Sim::job(jobId, "queue", Sim::policy(4));
    return std::make_shared<const JobSpec>(JobSpec{
        .m_id = plain->m_id,
        .m_queue = plain->m_queue,
        .m_acceptedPolicy = plain->m_acceptedPolicy,
        .m_organisation = plain->m_organisation,
        .m_acceptedAt = plain->m_acceptedAt,
        .m_payload = plain->m_payload,
        .m_steps = plain->m_steps,
        .m_schedule = JobSchedule{.m_count = 3, .m_firstDue = plain->m_acceptedAt, .m_interval = Duration(3'600'000)},
    });
}

// The worker w1 lists @p runNumber of a task of jobId at 50 ms, and still lists it at 100 ms, after the stop that the owner may have ordered.
// Checks that no second run starts before the first is over, and that one starts then.
static void checkStopIsAwaited(Sim &sim, std::int64_t runNumber)
{
    sim.answer("w1", Sim::running(jobId, runNumber), {}, Sim::at(50));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    REQUIRE(sim.stopCount("w1", Sim::reference(jobId), runNumber) == 1);
    sim.m_wallClockOffset = Duration(0);
    sim.review(Sim::at(60));
    sim.place(Sim::at(60));
    CHECK_FALSE(isStarted(sim, jobId));
    sim.apply(acceptedStop(sim, "w1", Sim::reference(jobId), runNumber), Sim::at(70));
    sim.place(Sim::at(80));
    CHECK_FALSE(isStarted(sim, jobId));
    sim.answer("w1", Sim::running(jobId, runNumber), {}, Sim::at(100));
    sim.place(Sim::at(110));
    CHECK_FALSE(isStarted(sim, jobId));
    sim.answer("w1", std::nullopt, {endOf(Sim::reference(jobId), 1, runNumber, RunEndKind::Stopped)}, Sim::at(200));
    sim.review(Sim::at(210));
    sim.place(Sim::at(210));
    CHECK(isStarted(sim, jobId));
}

// Guards against two runs of one task (TWICE): the clock of a new owner is behind that of its predecessor, so that it has not created the
// occurrence of a listed run. The run must go on, and no second one may start when the occurrence becomes due.
TEST_CASE("a run of an occurrence that is not due on the clock of a new owner is adopted and not started again")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.m_wallClockOffset = Duration(-10'000);
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")}, {newJobState(repeatedJob(), 4, Sim::at(0))}, {listed("w1"), listed("w2")});
    for (int nowMs = 50; nowMs <= 1'000; nowMs += 50) {
        sim.m_wallClockOffset = Duration(nowMs < 500 ? -10'000 : 0);
        sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
        REQUIRE(sim.workerOf(jobId) == "w1");
        REQUIRE(sim.m_startOrders.empty());
        REQUIRE(sim.m_stopOrders.empty());
    }
    sim.answer("w1", std::nullopt, {endOf(Sim::reference(jobId), 1, 1, RunEndKind::Failed)}, Sim::at(1'050));
    sim.place(Sim::at(1'060));
    REQUIRE(sim.m_startOrders.size() == 1);
    CHECK(sim.m_startOrders.back().m_runNumber == 2);
}

// Guards against two runs of one task (TWICE): a progress record names a higher run than the one that a worker still lists.
TEST_CASE("a task is not started while an earlier run of it still has to stop")
{
    Sim sim;
    sim.configure(1, {"queue"});
    auto job = newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0));
    job = applyRunEnd(job, endOf(Sim::reference(jobId), 1, 2, RunEndKind::Failed), "w2", Sim::at(0)).m_job;
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")}, {job}, {listed("w1"), listed("w2")});
    checkStopIsAwaited(sim, 1);
}

// Guards against two runs of one task (TWICE): a worker lists a run of a job that the owner learns of only afterwards.
TEST_CASE("a job that arrives after a run of it was listed is not started before the run has stopped")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")}, {}, {listed("w1"), listed("w2")});
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(20));
    sim.answer("w2", std::nullopt, {}, Sim::at(20));
    sim.review(Sim::at(25));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(30));
    sim.place(Sim::at(40));
    CHECK_FALSE(isStarted(sim, jobId));
    sim.answer("w1", std::nullopt, {endOf(Sim::reference(jobId), 1, 1, RunEndKind::Stopped)}, Sim::at(100));
    sim.place(Sim::at(110));
    CHECK(isStarted(sim, jobId));
}

// Guards against two runs of one task (TWICE): a worker lists a run with a higher number than the present one, which is stopped in its favour. The
// newer run ends first, and the task is placed again while the other still runs.
TEST_CASE("a task is not started while the run that an adopted one has replaced still has to stop")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w0", Duration(60'000)), Sim::worker("w1"), Sim::worker("w2")},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {cordoned("w0", {}), listed("w1"), listed("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.answer("w2", std::nullopt, {}, Sim::at(5));
    sim.review(Sim::at(10));
    sim.place(Sim::at(20));
    sim.acceptStart(jobId, Sim::at(30));
    REQUIRE(sim.m_startOrders.size() == 1);
    const auto first = sim.m_startOrders.front();
    sim.answer("w0", Sim::running(jobId, 2), {}, Sim::at(50));
    CHECK(sim.stopCount(first.m_worker, first.m_task, 1) == 1);
    CHECK(sim.workerOf(jobId) == "w0");
    sim.answer("w0", std::nullopt, {endOf(first.m_task, 1, 2, RunEndKind::LeaseExpired)}, Sim::at(60));
    sim.review(Sim::at(70));
    sim.place(Sim::at(70));
    CHECK(sim.m_startOrders.size() == 1);
    sim.answer(first.m_worker, std::nullopt, {endOf(first.m_task, 1, 1, RunEndKind::Stopped)}, Sim::at(100));
    sim.place(Sim::at(110));
    CHECK(sim.m_startOrders.size() == 2);
}

// Guards against jobs that wait for runs of which none can start again: the task is done, so its remaining run holds back its worker only.
TEST_CASE("the remaining run of a completed task holds back no other task of its job")
{
    Sim sim;
    sim.configure(1, {"queue"});
    auto job = newJobState(Sim::job(jobId, "queue", Sim::policy(4), false, 2), 4, Sim::at(0));
    job = applyRunEnd(job, endOf(Sim::reference(jobId), 1, 1, RunEndKind::Done), "w2", Sim::at(0)).m_job;
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")}, {job}, {listed("w1"), listed("w2")});
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(50));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.review(Sim::at(60));
    sim.place(Sim::at(60));
    REQUIRE(sim.m_startOrders.size() == 1);
    CHECK(sim.m_startOrders.front().m_worker == "w2");
    CHECK(sim.m_startOrders.front().m_task == Sim::reference(jobId, 1));
}

// Guards against two runs of one task (TWICE): the start of a superseded run was left unanswered, and its worker restarts under its identifier. The
// next incarnation may execute the order, and has seen no stop.
TEST_CASE("a superseded run that was never listed is awaited over a restart of its worker")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w0", Duration(60'000)), Sim::worker("w1")},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {cordoned("w0", {}), listed("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.review(Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    const auto task = Sim::reference(jobId);
    sim.answer("w0", Sim::running(jobId, 2), {}, Sim::at(50));
    REQUIRE(sim.workerOf(jobId) == "w0");
    sim.apply(WorkerReported{.m_report = Sim::worker("w1", std::nullopt, 2)}, Sim::at(100));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(100));
    sim.answer("w2", std::nullopt, {}, Sim::at(110));
    sim.answer("w0", std::nullopt, {endOf(task, 1, 2, RunEndKind::LeaseExpired)}, Sim::at(120));
    sim.review(Sim::at(130));
    sim.place(Sim::at(130));
    CHECK(sim.m_startOrders.size() == 1);
    SECTION("it lists the run and its end")
    {
        sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(140));
        sim.place(Sim::at(150));
        CHECK(sim.m_startOrders.size() == 1);
        sim.answer("w1", std::nullopt, {endOf(task, 1, 1, RunEndKind::Stopped)}, Sim::at(200));
    }
    SECTION("it answers the stop and does not list the run")
    {
        sim.answer("w1", std::nullopt, {}, Sim::at(140));
        sim.place(Sim::at(150));
        CHECK(sim.m_startOrders.size() == 1);
        sim.review(Sim::at(800));
        CHECK(sim.stopCount("w1", task, 1) == 2);
        sim.apply(acceptedStop(sim, "w1", task, 1), Sim::at(810));
        sim.answer("w1", std::nullopt, {}, Sim::at(820));
    }
    sim.answer("w2", std::nullopt, {}, Sim::at(900));
    sim.place(Sim::at(910));
    CHECK(sim.m_startOrders.size() == 2);
}

} // namespace PrimroseBridge
