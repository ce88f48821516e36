#include "logcapture.h"
#include "ownersimulation.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;
using Lines = std::vector<std::string>;

static const std::string jobId = "5c0e7a21d94b36f8";
static const std::string line = "event=task_placed_again request=5c0e7a21d94b36f8 task=5c0e7a21d94b36f8.0.0.0 ";
static const std::string metric = "primrosebridge_fleet_tasks_placed_again_total";
// A task lease of 3000 ms is over for certain, although the worker's clock may be 2% slow, and although it was renewed up to 50 ms later.
static constexpr int leaseOverMs = 3'500;

static WorkerReportPointer workerOnMachine(const std::string &name, const std::string &machine, std::int64_t startedAtMs)
{
    const auto report = Sim::worker(name, std::nullopt, startedAtMs);
    return std::make_shared<const WorkerReport>(WorkerReport{
        .m_incarnation = report->m_incarnation,
        .m_machine = machine,
        .m_address = report->m_address,
        .m_pool = report->m_pool,
        .m_zone = report->m_zone,
        .m_rack = report->m_rack,
        .m_labels = report->m_labels,
        .m_capacity = report->m_capacity,
        .m_draining = report->m_draining,
        .m_leavesIn = report->m_leavesIn,
        .m_softwareVersion = report->m_softwareVersion,
        .m_reportedAtClockMs = report->m_reportedAtClockMs,
    });
}

// Runs the job's task as run 1 on w1, which lists it last at 100 ms. w2 is idle and is known from 60 ms on.
static void runOnFirstWorker(Sim &sim)
{
    sim.configure(1, {"queue"});
    sim.becomeOwner({workerOnMachine("w1", "m1", 1)});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.apply(WorkerReported{.m_report = workerOnMachine("w2", "m2", 1)}, Sim::at(60));
    sim.answer("w2", std::nullopt, {}, Sim::at(70));
    sim.answer("w1", Sim::running(jobId, 1, 0), {}, Sim::at(100));
}

static void placeOnSecondWorker(Sim &sim, int nowMs)
{
    sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
    sim.place(Sim::at(nowMs));
    REQUIRE(sim.workerOf(jobId) == "w2");
}

static void missPollsUntilLeasesEnd(Sim &sim)
{
    sim.missPoll("w1", Sim::at(150));
    sim.missPoll("w1", Sim::at(400));
    sim.review(Sim::at(100 + leaseOverMs));
}

// The tests of this file guard against a second run of a task that no warning explains (issue 36).

TEST_CASE("a start after the leases of a silent worker have ended is logged with the worker's last answer")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    runOnFirstWorker(sim);
    missPollsUntilLeasesEnd(sim);
    placeOnSecondWorker(sim, 3'700);
    CHECK(log.lines("task_placed_again")
          == Lines{line + "run=2 worker=w2 former_run=1 former_worker=w1 belief=leases_lapsed answered_ms_ago=3600 successor=none sole_owner=yes"});
    CHECK(FleetMetrics::instance().serialize().find(metric + "{belief=\"leases_lapsed\"}") != std::string::npos);
}

TEST_CASE("a start after a later start of the worker is logged with the worker as its own successor")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    runOnFirstWorker(sim);
    sim.apply(WorkerReported{.m_report = workerOnMachine("w1", "m1", 2)}, Sim::at(200));
    sim.answer("w1", std::nullopt, {}, Sim::at(250));
    sim.missPoll("w1", Sim::at(260)); // Otherwise the task would start on w1 again.
    placeOnSecondWorker(sim, 300);
    CHECK(log.lines("task_placed_again")
          == Lines{line + "run=2 worker=w2 former_run=1 former_worker=w1 belief=worker_restarted answered_ms_ago=50 successor=w1 sole_owner=yes"});
}

TEST_CASE("a later start of a worker is logged with what was known of the earlier one")
{
    const LogCapture log(LogLevel::Info);
    Sim sim;
    runOnFirstWorker(sim);
    sim.apply(WorkerReported{.m_report = workerOnMachine("w1", "m1", 2)}, Sim::at(200));
    CHECK(log.lines("worker_life_over")
          == Lines{"event=worker_life_over worker=w1 started_ms=1 successor_started_ms=2 answered_ms_ago=100 entry_present=yes tasks=1"});
}

TEST_CASE("a poll that is answered under another start time is a warning, once for each start time")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    runOnFirstWorker(sim);
    for (const int nowMs : {200, 450, 700}) {
        const RunReportReply reply{.m_answer = OrderAnswer::Accepted,
                                   .m_runReport = WorkerRunReport{.m_startedAtMs = 2, .m_clockMs = nowMs, .m_running = {}, .m_ends = {}}};
        sim.apply(PollCompleted{.m_incarnation = {.m_worker = "w1", .m_startedAtMs = 1},
                                .m_fence = Sim::fence,
                                .m_sentAt = Sim::at(nowMs),
                                .m_leaseRenewed = false,
                                .m_immediate = false,
                                .m_reply = reply},
                  Sim::at(nowMs));
    }
    placeOnSecondWorker(sim, 800);
    CHECK(log.lines("worker_start_differs")
          == Lines{"event=worker_start_differs worker=w1 address=127.0.0.1:1 expected_started_ms=1 started_ms=2 answered_ms_ago=100 tasks=1"});
    CHECK(log.lines("task_placed_again")
          == Lines{line + "run=2 worker=w2 former_run=1 former_worker=w1 belief=other_start_answered answered_ms_ago=700 successor=w1 sole_owner=yes"});
}

TEST_CASE("a start after a list has lost the run is logged")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    runOnFirstWorker(sim);
    sim.answer("w1", std::nullopt, {}, Sim::at(200));
    sim.missPoll("w1", Sim::at(210)); // Otherwise the task would start on w1 again.
    placeOnSecondWorker(sim, 300);
    CHECK(log.lines("task_placed_again")
          == Lines{line + "run=2 worker=w2 former_run=1 former_worker=w1 belief=run_vanished answered_ms_ago=100 successor=none sole_owner=yes"});
}

TEST_CASE("a start after the leases of a listed run whose stop was not confirmed is logged")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    runOnFirstWorker(sim);
    missPollsUntilLeasesEnd(sim);
    placeOnSecondWorker(sim, 3'700);
    sim.acceptStart(jobId, Sim::at(3'710));
    // w1 is reached again and lists the run that was taken for over, beside the present one.
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(3'800));
    sim.answer("w2", std::nullopt, {Sim::ended(jobId, 1, 2, RunEndKind::Failed)}, Sim::at(3'900));
    sim.place(Sim::at(4'000));
    REQUIRE(log.lines("task_placed_again").size() == 1); // The stop is waited for.
    sim.missPoll("w1", Sim::at(4'100));
    sim.missPoll("w1", Sim::at(4'400));
    sim.review(Sim::at(4'400 + leaseOverMs));
    placeOnSecondWorker(sim, 8'000);
    const auto lines = log.lines("task_placed_again");
    REQUIRE(lines.size() == 2);
    CHECK(lines.back() == line + "run=3 worker=w2 former_run=1 former_worker=w1 belief=stop_unconfirmed answered_ms_ago=4200 successor=none sole_owner=yes");
}

TEST_CASE("a start after a takeover that has waited in vain for a worker is logged with that worker")
{
    for (const bool cordoned : {false, true}) {
        const LogCapture log(LogLevel::Warn);
        Sim sim;
        sim.configure(1, {"queue"});
        const RosterEntry silent{.m_worker = workerOnMachine("w1", "m1", 1),
                                 .m_jobsIfCordoned = cordoned ? std::optional(std::vector<std::string>{jobId}) : std::nullopt};
        sim.becomeOwner({workerOnMachine("w2", "m2", 1)},
                        {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                        {silent, RosterEntry{.m_worker = workerOnMachine("w2", "m2", 1), .m_jobsIfCordoned = std::nullopt}});
        sim.answer("w2", std::nullopt, {}, Sim::at(50));
        sim.missPoll("w1", Sim::at(400));
        sim.review(Sim::at(leaseOverMs));
        placeOnSecondWorker(sim, 3'600);
        CHECK(log.lines("task_placed_again")
              == Lines{line + "run=1 worker=w2 former_run=unknown former_worker=w1 belief=takeover answered_ms_ago=never successor=none sole_owner=yes"});
    }
}

TEST_CASE("a start after a takeover that has waited in vain for a worker with a successor on its machine is logged")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({workerOnMachine("w2", "m2", 1), workerOnMachine("w3", "m1", 2)},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = workerOnMachine("w1", "m1", 1), .m_jobsIfCordoned = std::nullopt},
                     RosterEntry{.m_worker = workerOnMachine("w2", "m2", 1), .m_jobsIfCordoned = std::nullopt}});
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.answer("w3", std::nullopt, {}, Sim::at(50));
    sim.missPoll("w3", Sim::at(60)); // Otherwise the task would start on w3.
    sim.missPoll("w1", Sim::at(70));
    sim.missPoll("w1", Sim::at(90));
    sim.review(Sim::at(100));
    sim.place(Sim::at(100));
    REQUIRE(sim.workerOf(jobId).empty());
    sim.review(Sim::at(leaseOverMs));
    placeOnSecondWorker(sim, 3'600);
    CHECK(log.lines("task_placed_again")
          == Lines{line + "run=1 worker=w2 former_run=unknown former_worker=w1 belief=takeover answered_ms_ago=never successor=none sole_owner=yes"});
}

// Guards against lines that say nothing: they would hide the ones that explain a second run.
TEST_CASE("no start is logged as a second one if the worker itself has told that the former run is over")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    runOnFirstWorker(sim);
    SECTION("it lists the end")
    {
        sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Failed)}, Sim::at(200));
    }
    SECTION("it no longer lists the run after it has answered the stop")
    {
        sim.apply(WorkerReported{.m_report = Sim::worker("w1", Duration(2'000))}, Sim::at(150));
        sim.review(Sim::at(160));
        REQUIRE(sim.task(jobId)->m_phase == TaskPhase::Stopping);
        sim.apply(StopOrderCompleted{.m_task = Sim::reference(jobId),
                                     .m_runNumber = 1,
                                     .m_incarnation = {.m_worker = "w1", .m_startedAtMs = 1},
                                     .m_fence = Sim::fence,
                                     .m_reply = OrderReply{.m_answer = OrderAnswer::Accepted, .m_workerClockMs = std::nullopt}},
                  Sim::at(180));
        sim.answer("w1", std::nullopt, {}, Sim::at(200));
    }
    SECTION("it lists the end after its leases have ended")
    {
        missPollsUntilLeasesEnd(sim);
        sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::LeaseExpired)}, Sim::at(3'650));
    }
    SECTION("it lists the run again before the next start, and then the end")
    {
        missPollsUntilLeasesEnd(sim);
        sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(3'650));
        sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Failed)}, Sim::at(3'700));
    }
    sim.answer("w2", std::nullopt, {}, Sim::at(3'800));
    sim.place(Sim::at(3'800));
    CHECK(sim.task(jobId)->m_runNumber == 2);
    CHECK(log.lines("task_placed_again").empty());
}

TEST_CASE("a takeover that a restarted worker has answered logs no start as a second one")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({workerOnMachine("w1", "m1", 2), workerOnMachine("w2", "m2", 1)},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = workerOnMachine("w1", "m1", 1), .m_jobsIfCordoned = std::nullopt}});
    sim.review(Sim::at(40));
    sim.place(Sim::at(40));
    REQUIRE(sim.workerOf(jobId).empty()); // Nothing is given up before the worker has answered.
    sim.answer("w1", std::nullopt, {}, Sim::at(50));
    sim.missPoll("w1", Sim::at(60));
    sim.answer("w2", std::nullopt, {}, Sim::at(70));
    sim.review(Sim::at(100));
    placeOnSecondWorker(sim, 150);
    CHECK(log.lines("former_runs_given_up").empty());
    CHECK(log.lines("task_placed_again").empty());
}

TEST_CASE("a takeover that every worker has answered logs no start as a second one")
{
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({workerOnMachine("w2", "m2", 1)},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = workerOnMachine("w2", "m2", 1), .m_jobsIfCordoned = std::nullopt}});
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.review(Sim::at(100));
    placeOnSecondWorker(sim, 150);
    CHECK(log.lines("task_placed_again").empty());
}

TEST_CASE("a worker that is no longer tracked is logged with the reason and its last answer")
{
    const LogCapture log(LogLevel::Info);
    Sim sim;
    runOnFirstWorker(sim);
    sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(120));
    missPollsUntilLeasesEnd(sim);
    CHECK(log.lines("worker_forgotten") == Lines{"event=worker_forgotten worker=w1 reason=leases_lapsed started_ms=1 answered_ms_ago=3500 missed=2 tasks=1"});
    // The idle worker is taken for gone without a wait for its leases.
    sim.apply(WorkerEntryRemoved{.m_worker = "w2"}, Sim::at(3'710));
    sim.missPoll("w2", Sim::at(3'720));
    sim.review(Sim::at(3'730));
    REQUIRE(log.lines("worker_forgotten").size() == 2);
    CHECK(log.lines("worker_forgotten").back().find("worker=w2 reason=") != std::string::npos);
}

} // namespace PrimroseBridge
