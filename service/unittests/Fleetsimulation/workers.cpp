#include "workerfixture.h"

#include <catch2/catch.hpp>

#include <chrono>

namespace PrimroseBridge {

using Names = std::vector<std::string>;

static WorkerFixture fleetOfOneJob(const WorkerFixture::StepOptions &step)
{
    return WorkerFixture({WorkerFixture::job("job", std::vector{step})});
}

static const auto task0 = WorkerFixture::task("job", 0);
static const auto task1 = WorkerFixture::task("job", 1);

// Guards against a former owner whose orders still have an effect after its successor has reached the worker.
TEST_CASE("a call with a lower fence has no effect")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000)});
    CHECK(fleet.start("w1", task0, 1, 0, 3000, 0) == OrderAnswer::Accepted);
    CHECK(fleet.report("w1", 0, 900, std::nullopt, 11).m_answer == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", task1, 1, 900, 3900, 10) == OrderAnswer::Fenced);
    CHECK(fleet.stop("w1", task0, 1, 900, 10) == OrderAnswer::Fenced);
    CHECK(fleet.start("w1", task1, 1, 900, 3900, 11) == OrderAnswer::Accepted);
    CHECK(fleet.report("w1", 1, 1000, 3999, 10).m_answer == OrderAnswer::Fenced);
    CHECK(fleet.listedEnds("w1", 1000) == Names{"1:job.0.0.0:1:done"});
    CHECK_FALSE(fleet.run(0).m_acknowledgedAt);
    CHECK(fleet.start("w2", task1, 2, 1000, 3900, 10) == OrderAnswer::Accepted); // The other worker has not seen the higher fence.
}

// Guards against a second run of a number that is there, or that is over.
TEST_CASE("a worker executes a run number once")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000)});
    CHECK(fleet.start("w1", task0, 2, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", task0, 2, 500, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", task0, 2, 1000, 3000) == OrderAnswer::Outdated);
    CHECK(fleet.start("w1", task0, 1, 1000, 3000) == OrderAnswer::Outdated);
    CHECK(fleet.m_workers.history().size() == 1);
    CHECK(fleet.stop("w1", task1, 4, 1000) == OrderAnswer::Accepted); // Not there yet.
    CHECK(fleet.start("w1", task1, 4, 1000, 3000) == OrderAnswer::Outdated);
    CHECK(fleet.start("w1", task1, 5, 1000, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.m_workers.history().size() == 2);
}

// Guards against a simulation that hides two runs of a task on one worker.
TEST_CASE("a worker starts a further run of a task whose earlier run goes on")
{
    auto fleet = fleetOfOneJob({.m_tasks = 1, .m_estimate = Duration(1000)});
    CHECK(fleet.start("w1", task0, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", task0, 2, 999, 3000) == OrderAnswer::Accepted);
    const auto violations = findViolations(fleet.m_workers.history(), fleet.m_jobs, {}, WorkerFixture::at(999));
    REQUIRE(violations.size() == 1);
    CHECK(violations.front().m_rule == "TWICE");
    CHECK(violations.front().m_at == WorkerFixture::at(999));
}

// Guards against leases that end on the VM's clock, which runs faster than a worker's.
TEST_CASE("a lease ends on the worker's own clock")
{
    WorkerFixture fleet({WorkerFixture::job("job", std::vector<WorkerFixture::StepOptions>{{.m_tasks = 2, .m_estimate = Duration(60'000)}})}, {});
    auto slow = WorkerFixture::settings("slow");
    slow.m_clockRate = 0.98;
    fleet.m_workers.startWorker(slow, 1, WorkerFixture::at(0));
    CHECK(fleet.start("slow", task0, 1, 1000, 3920) == OrderAnswer::Accepted); // The clock shows 980.
    CHECK(fleet.m_workers.entry("slow")->m_reportedAtClockMs == 980);
    CHECK(fleet.m_workers.nextChange() == WorkerFixture::at(4000));
    CHECK(fleet.listedEnds("slow", 3999).empty());
    CHECK(fleet.listedEnds("slow", 4000) == Names{"1:job.0.0.0:1:expired"});
    CHECK(fleet.run(0).m_endedAt == WorkerFixture::at(4000));
    CHECK_FALSE(fleet.m_workers.nextChange());
    CHECK(fleet.start("slow", task1, 1, 4000, 3920) == OrderAnswer::LeaseEndPassed);
    CHECK(fleet.start("slow", task1, 1, 4000, 3921) == OrderAnswer::Accepted);
}

// Guards against a lease that ends while the worker's clock, which shows whole milliseconds, is still before its end.
TEST_CASE("a lease end between two times of the worker's clock is rounded up")
{
    WorkerFixture fleet({WorkerFixture::job("job", std::vector<WorkerFixture::StepOptions>{{.m_estimate = Duration(60'000)}})}, {});
    auto slow = WorkerFixture::settings("slow");
    slow.m_clockRate = 0.98;
    fleet.m_workers.startWorker(slow, 1, WorkerFixture::at(0));
    CHECK(fleet.start("slow", task0, 1, 2000, 3921) == OrderAnswer::Accepted);
    const auto before = fleet.m_workers.currentReport("slow", WorkerFixture::at(4001)).m_runReport.value();
    CHECK(before.m_clockMs == 3920);
    CHECK(before.m_running.size() == 1);
    const auto after = fleet.m_workers.currentReport("slow", WorkerFixture::at(4002)).m_runReport.value();
    CHECK(after.m_clockMs == 3921);
    CHECK(after.m_running.empty());
}

// Guards against a run that is done at the time at which its lease has already lapsed.
TEST_CASE("a run whose work ends at the end of its lease expires")
{
    auto fleet = fleetOfOneJob({.m_tasks = 1, .m_estimate = Duration(1000)});
    CHECK(fleet.start("w1", task0, 1, 0, 1000) == OrderAnswer::Accepted);
    CHECK(fleet.listedEnds("w1", 1000) == Names{"1:job.0.0.0:1:expired"});
}

// Guards against leases that last longer than the longest lease, or that a reordered call shortens.
TEST_CASE("a lease is shortened to the longest lease and by no later call")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(60'000)});
    CHECK(fleet.start("w1", task0, 1, 0, 100'000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", task1, 1, 0, 10) == OrderAnswer::Accepted);
    CHECK(fleet.report("w1", 0, 100, 200).m_answer == OrderAnswer::Accepted);
    CHECK(fleet.m_workers.nextChange() == WorkerFixture::at(3000));
    CHECK(fleet.report("w1", 0, 2999, 4000).m_answer == OrderAnswer::Accepted);
    CHECK(fleet.m_workers.nextChange() == WorkerFixture::at(4000));
    CHECK(fleet.listedEnds("w1", 4000).size() == 2);
}

// Guards against a refused start whose lease end is not taken: the worker's runs then last longer than its owner counts.
TEST_CASE("a start that is refused as outdated or for lack of capacity renews the lease")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(60'000), .m_accelerators = 8});
    CHECK(fleet.start("w1", task0, 1, 0, 1000) == OrderAnswer::Accepted);
    CHECK(fleet.stop("w1", task1, 1, 0) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", task1, 1, 500, 2000) == OrderAnswer::Outdated);
    CHECK(fleet.m_workers.nextChange() == WorkerFixture::at(2000));
    CHECK(fleet.start("w1", task1, 2, 1500, 3000) == OrderAnswer::InsufficientCapacity);
    CHECK(fleet.m_workers.nextChange() == WorkerFixture::at(3000));
    CHECK(fleet.start("w1", task1, 3, 1500, 4000, 9) == OrderAnswer::Fenced);
    CHECK(fleet.m_workers.nextChange() == WorkerFixture::at(3000));
}

// Guards against lost or repeated ends.
TEST_CASE("ends are numbered from 1 and listed until they are acknowledged, 500 at most")
{
    auto fleet = fleetOfOneJob({.m_tasks = 32, .m_estimate = Duration(10)});
    std::int64_t nowMs = 0;
    for (int run = 1; run <= 20; ++run) {
        for (int index = 0; index < 32; ++index) {
            REQUIRE(fleet.start("w1", WorkerFixture::task("job", index), run, nowMs, nowMs + 3000) == OrderAnswer::Accepted);
        }
        nowMs += 10;
    }
    CHECK(fleet.m_workers.endCount("w1") == 19 * 32);
    const auto first = fleet.report("w1", 0, nowMs).m_runReport.value();
    CHECK(fleet.m_workers.endCount("w1") == 640);
    REQUIRE(first.m_ends.size() == 500);
    CHECK(first.m_ends.front().m_number == 1);
    CHECK(first.m_ends.back().m_number == 500);
    const auto second = fleet.report("w1", 500, nowMs).m_runReport.value();
    REQUIRE(second.m_ends.size() == 140);
    CHECK(second.m_ends.front().m_number == 501);
    CHECK(fleet.report("w1", 640, nowMs).m_runReport.value().m_ends.empty());
    CHECK(fleet.report("w1", 0, nowMs).m_runReport.value().m_ends.empty());
}

// Guards against an acknowledgement that is counted although a successor may have been told of the lapsed lease.
TEST_CASE("an acknowledgement counts only if the lease has not lapsed since the end")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000)});
    CHECK(fleet.start("w1", task0, 1, 0, 2000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w2", task1, 1, 0, 2000) == OrderAnswer::Accepted);
    CHECK(fleet.report("w1", 1, 1999).m_answer == OrderAnswer::Accepted);
    CHECK(fleet.run(0).m_acknowledgedAt == WorkerFixture::at(1999));
    // The renewal comes with the acknowledgement, after the lapse.
    CHECK(fleet.report("w2", 1, 2000, 4000).m_answer == OrderAnswer::Accepted);
    CHECK(fleet.run(1).m_endKind == RunEndKind::Done);
    CHECK_FALSE(fleet.run(1).m_acknowledgedAt);
    CHECK(fleet.listedEnds("w2", 2000).empty());
}

// Guards against capacity that counts as free while a run is being stopped.
TEST_CASE("a stop takes its time and frees the capacity at its end")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(60'000), .m_accelerators = 8});
    CHECK(fleet.start("w1", task0, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.stop("w1", task0, 1, 100) == OrderAnswer::Accepted);
    CHECK(fleet.stop("w1", task0, 1, 300) == OrderAnswer::Accepted); // Does not prolong the stop.
    CHECK(fleet.start("w1", task0, 1, 300, 3000) == OrderAnswer::Accepted); // The run is there.
    CHECK(fleet.start("w1", task1, 1, 399, 3000) == OrderAnswer::InsufficientCapacity);
    CHECK(fleet.report("w1", 0, 399).m_runReport.value().m_running.size() == 1);
    CHECK(fleet.start("w1", task1, 1, 400, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.listedEnds("w1", 400) == Names{"1:job.0.0.0:1:stopped"});
    CHECK(fleet.run(0).m_endedAt == WorkerFixture::at(400));
}

// Guards against a simulation in which a run that is being stopped can only end as stopped.
TEST_CASE("a run whose work ends before the stop does ends as done")
{
    auto fleet = fleetOfOneJob({.m_tasks = 1, .m_estimate = Duration(1000)});
    CHECK(fleet.start("w1", task0, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.stop("w1", task0, 1, 900) == OrderAnswer::Accepted);
    CHECK(fleet.listedEnds("w1", 2000) == Names{"1:job.0.0.0:1:done"});
}

// Guards against run results that are not applied.
TEST_CASE("a run takes the time and has the result that were set for its task")
{
    WorkerFixture fleet({WorkerFixture::job("job", std::vector<WorkerFixture::StepOptions>{{.m_tasks = 1}}),
                         WorkerFixture::job("service", std::vector<WorkerFixture::StepOptions>{{.m_tasks = 2, .m_longRunning = true}})});
    fleet.m_workers.setRunResult(task0, Duration(200), RunEndKind::Failed);
    fleet.m_workers.setRunResult(WorkerFixture::task("service", 1), Duration(300), RunEndKind::Failed);
    CHECK(fleet.start("w1", task0, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", WorkerFixture::task("service", 0), 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", WorkerFixture::task("service", 1), 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.m_workers.currentReport("w1", WorkerFixture::at(100)).m_runReport.value().m_running.front().m_percent == 50);
    CHECK(fleet.listedEnds("w1", 2999) == Names{"1:job.0.0.0:1:failed", "2:service.0.0.1:1:failed"});
    CHECK(fleet.m_workers.currentReport("w1", WorkerFixture::at(2999)).m_runReport.value().m_running.front().m_percent == 100);
}

// Guards against members that work before all of them are present.
TEST_CASE("a gang works from the arrival of its last member and ends together")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000), .m_gang = true});
    CHECK(fleet.start("w1", task0, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.m_workers.currentReport("w1", WorkerFixture::at(500)).m_runReport.value().m_running.front().m_percent == 0);
    CHECK(fleet.start("w2", task1, 1, 500, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.listedEnds("w1", 1499).empty());
    CHECK(fleet.listedEnds("w1", 1500) == Names{"1:job.0.0.0:1:done"});
    CHECK(fleet.listedEnds("w2", 1500) == Names{"1:job.0.0.1:1:done"});
}

// Guards against members that end at different times.
TEST_CASE("a gang is done when its slowest member is")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000), .m_gang = true});
    const auto slowest = GENERATE(task0, task1);
    fleet.m_workers.setRunResult(slowest, Duration(1600), RunEndKind::Done);
    CHECK(fleet.start("w1", task0, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w2", task1, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.listedEnds("w1", 1599).empty());
    CHECK(fleet.listedEnds("w1", 1600) == Names{"1:job.0.0.0:1:done"});
    CHECK(fleet.listedEnds("w2", 1600) == Names{"1:job.0.0.1:1:done"});
}

// Guards against a second run of a member that delays its gang, or ends it by waiting.
TEST_CASE("a second run of a gang member works and ends with the gang")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(4000), .m_gang = true});
    CHECK(fleet.start("w1", task0, 1, 0, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w2", task0, 1, 50, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.m_workers.currentReport("w1", WorkerFixture::at(60)).m_runReport.value().m_running.front().m_percent == 0);
    CHECK(fleet.start("w2", task1, 1, 60, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w3", task1, 1, 100, 3000) == OrderAnswer::Accepted);
    for (const auto *worker : {"w1", "w2", "w3"}) {
        fleet.report(worker, 0, 2500, 5500);
    }
    CHECK(fleet.listedEnds("w1", 4059).empty());
    CHECK(fleet.listedEnds("w1", 4060) == Names{"1:job.0.0.0:1:done"});
    CHECK(fleet.listedEnds("w2", 4060) == Names{"1:job.0.0.0:1:done", "2:job.0.0.1:1:done"});
    CHECK(fleet.listedEnds("w3", 4060) == Names{"1:job.0.0.1:1:done"});
}

// Guards against members of different run numbers that are taken for one gang.
TEST_CASE("gang members with different run numbers wait in vain")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000), .m_gang = true});
    CHECK(fleet.start("w1", task0, 1, 0, 10'000) == OrderAnswer::Accepted);
    CHECK(fleet.start("w2", task1, 2, 500, 10'000) == OrderAnswer::Accepted);
    fleet.report("w1", 0, 1000, 4000);
    fleet.report("w2", 0, 1000, 4000);
    CHECK(fleet.listedEnds("w1", 3000) == Names{"1:job.0.0.0:1:members_missing"});
    CHECK(fleet.listedEnds("w2", 3499).empty());
    CHECK(fleet.listedEnds("w2", 3500) == Names{"1:job.0.0.1:2:members_missing"});
    const auto violations = findViolations(fleet.m_workers.history(), fleet.m_jobs, {}, WorkerFixture::at(3500));
    REQUIRE(violations.size() == 2);
    CHECK(violations.front().m_rule == "GANG");
}

// Guards against members that go on without one that has ended.
TEST_CASE("a gang ends with its first member")
{
    auto fleet = fleetOfOneJob({.m_tasks = 3, .m_estimate = Duration(2000), .m_gang = true});
    const auto task2 = WorkerFixture::task("job", 2);
    const auto startAll = [&](std::int64_t run, std::int64_t nowMs) {
        CHECK(fleet.start("w1", task0, run, nowMs, nowMs + 3000) == OrderAnswer::Accepted);
        CHECK(fleet.start("w2", task1, run, nowMs, nowMs + 3000) == OrderAnswer::Accepted);
        CHECK(fleet.start("w1", task2, run, nowMs, nowMs + 3000) == OrderAnswer::Accepted);
    };
    SECTION("by a stop")
    {
        startAll(1, 0);
        CHECK(fleet.stop("w2", task1, 1, 100) == OrderAnswer::Accepted);
        CHECK(fleet.listedEnds("w1", 399).empty());
        CHECK(fleet.listedEnds("w2", 400) == Names{"1:job.0.0.1:1:stopped"});
        CHECK(fleet.listedEnds("w1", 400) == Names{"1:job.0.0.0:1:member_ended", "2:job.0.0.2:1:member_ended"});
        startAll(2, 400);
        CHECK(fleet.listedEnds("w2", 2400) == Names{"1:job.0.0.1:1:stopped", "2:job.0.0.1:2:done"});
    }
    SECTION("by a failure")
    {
        fleet.m_workers.setRunResult(task1, Duration(700), RunEndKind::Failed);
        startAll(1, 0);
        CHECK(fleet.listedEnds("w2", 700) == Names{"1:job.0.0.1:1:failed"});
        CHECK(fleet.listedEnds("w1", 700) == Names{"1:job.0.0.0:1:member_ended", "2:job.0.0.2:1:member_ended"});
    }
    SECTION("by a crash")
    {
        startAll(1, 0);
        fleet.m_workers.crashWorker("w2", WorkerFixture::at(700));
        CHECK(fleet.listedEnds("w1", 700) == Names{"1:job.0.0.0:1:member_ended", "2:job.0.0.2:1:member_ended"});
        CHECK(fleet.run(1).m_endedAt == WorkerFixture::at(700));
        CHECK_FALSE(fleet.run(1).m_endKind);
    }
    SECTION("by the end of a lease")
    {
        CHECK(fleet.start("w1", task0, 1, 0, 1500) == OrderAnswer::Accepted);
        CHECK(fleet.start("w2", task1, 1, 0, 3000) == OrderAnswer::Accepted);
        CHECK(fleet.start("w1", task2, 1, 0, 1500) == OrderAnswer::Accepted);
        CHECK(fleet.listedEnds("w1", 1499).empty());
        CHECK(fleet.listedEnds("w1", 1500) == Names{"1:job.0.0.0:1:expired", "2:job.0.0.2:1:expired"});
        CHECK(fleet.listedEnds("w2", 1500) == Names{"1:job.0.0.1:1:member_ended"});
    }
}

// Guards against cores of fillers that take room from other tasks.
TEST_CASE("the cores of fillers are not counted against the capacity")
{
    WorkerFixture fleet({WorkerFixture::job("job", std::vector<WorkerFixture::StepOptions>{{.m_tasks = 32}}),
                         WorkerFixture::job("filler", std::vector<WorkerFixture::StepOptions>{{.m_tasks = 1, .m_filler = true}})});
    CHECK(fleet.start("w1", WorkerFixture::task("filler"), 1, 0, 3000) == OrderAnswer::Accepted);
    for (int index = 0; index < 32; ++index) {
        REQUIRE(fleet.start("w1", WorkerFixture::task("job", index), 1, 0, 3000) == OrderAnswer::Accepted);
    }
    CHECK(fleet.start("w1", WorkerFixture::task("job", 0), 2, 0, 3000) == OrderAnswer::InsufficientCapacity);
}

// Guards against a restarted worker that keeps its fence, its runs, its ends or its lease.
TEST_CASE("a restarted worker knows nothing of its earlier incarnation")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000)});
    CHECK(fleet.start("w1", task0, 3, 0, 3000, 20) == OrderAnswer::Accepted);
    CHECK(fleet.start("w1", task1, 3, 900, 3000, 20) == OrderAnswer::Accepted);
    const auto earlier = fleet.target("w1", 5);
    fleet.m_workers.crashWorker("w1", WorkerFixture::at(1500));
    CHECK_FALSE(fleet.m_workers.isUp("w1"));
    CHECK_FALSE(fleet.m_workers.nextChange());
    CHECK(fleet.m_workers.stopOrder(earlier, task0, 3, WorkerFixture::at(1600)).m_answer == OrderAnswer::NotSent);
    CHECK(fleet.m_workers.currentReport("w1", WorkerFixture::at(1600)).m_answer == OrderAnswer::NotSent);
    CHECK(fleet.run(0).m_endKind == RunEndKind::Done);
    CHECK_FALSE(fleet.run(1).m_endKind);
    CHECK(fleet.run(1).m_endedAt == WorkerFixture::at(1500));
    fleet.m_workers.restartWorker("w1", 2, WorkerFixture::at(2000));
    CHECK(fleet.m_workers.entry("w1")->m_incarnation.m_startedAtMs == 2);
    CHECK(fleet.m_workers.entry("w1")->m_reportedAtClockMs == 0);
    CHECK(fleet.m_workers.endCount("w1") == 0);
    CHECK(fleet.listedEnds("w1", 2000).empty());
    // An order that was sent to the earlier incarnation names only the identifier.
    const auto late = fleet.m_workers.startOrder(earlier,
                                                 StartOrder{.m_task = task0, .m_runNumber = 1, .m_payload = {}, .m_checkpoint = {}, .m_leaseEndMs = 90'000},
                                                 "vm",
                                                 OrderDelivery{.m_late = true, .m_afterRestart = true},
                                                 WorkerFixture::at(2100));
    CHECK(late == OrderReply{.m_answer = OrderAnswer::Accepted, .m_workerClockMs = 100});
    CHECK(fleet.run(2).m_incarnation == 2);
    CHECK(fleet.run(2).m_delivery == OrderDelivery{.m_late = true, .m_afterRestart = true, .m_beforeFirstAnswer = true});
    CHECK(fleet.listedEnds("w1", 3100) == Names{"1:job.0.0.0:1:done"});
    CHECK(fleet.m_workers.nextChange() == WorkerFixture::at(5100)); // The lease is shortened to the longest one on the new clock.
}

// Guards against late starts that an owner can prevent and that are taken for ones that nobody can prevent. A report request that is executed late
// is answered to nobody, so that no owner knows the process by it.
TEST_CASE("a late start before the first answer of a process is told apart")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000)});
    const OrderDelivery late{.m_late = true, .m_afterRestart = true};
    const auto startLate = [&fleet, &late](std::int64_t run, std::int64_t nowMs) {
        const StartOrder order{.m_task = task0, .m_runNumber = run, .m_payload = {}, .m_checkpoint = {}, .m_leaseEndMs = 90'000};
        return fleet.m_workers.startOrder(fleet.target("w1"), order, "vm", late, WorkerFixture::at(nowMs)).m_answer;
    };
    CHECK(fleet.report("w1", 0, 100).m_answer == OrderAnswer::Accepted);
    fleet.m_workers.crashWorker("w1", WorkerFixture::at(200));
    fleet.m_workers.restartWorker("w1", 2, WorkerFixture::at(700));
    CHECK(startLate(1, 800) == OrderAnswer::Accepted);
    const RunReportRequest request{.m_lastAcknowledgedEnd = 0, .m_leaseEndMs = std::nullopt, .m_wait = Duration(0)};
    CHECK(fleet.m_workers.report(fleet.target("w1"), request, late, WorkerFixture::at(900)).m_answer == OrderAnswer::Accepted);
    CHECK(startLate(2, 1000) == OrderAnswer::Accepted);
    CHECK(fleet.report("w1", 0, 1100, std::nullopt, WorkerFixture::fence - 1).m_answer == OrderAnswer::Fenced);
    CHECK(startLate(3, 1200) == OrderAnswer::Accepted);
    CHECK(fleet.report("w1", 0, 1300).m_answer == OrderAnswer::Accepted);
    CHECK(startLate(4, 1400) == OrderAnswer::Accepted);
    CHECK(fleet.run(0).m_delivery.m_beforeFirstAnswer);
    CHECK(fleet.run(1).m_delivery.m_beforeFirstAnswer);
    CHECK(fleet.run(2).m_delivery.m_beforeFirstAnswer);
    CHECK_FALSE(fleet.run(3).m_delivery.m_beforeFirstAnswer);
}

// Guards against an acknowledgement or a lease end that a late request carries and that is not applied: the numbers of ends and the clock of the
// next process start anew.
TEST_CASE("a late report request to a former process extends leases and drops ends of the next one")
{
    auto fleet = fleetOfOneJob({.m_tasks = 2, .m_estimate = Duration(1000)});
    fleet.m_workers.crashWorker("w1", WorkerFixture::at(50'000));
    fleet.m_workers.restartWorker("w1", 2, WorkerFixture::at(50'500));
    CHECK(fleet.start("w1", task0, 1, 50'600, 1'200) == OrderAnswer::Accepted);
    CHECK(fleet.listedEnds("w1", 51'600) == Names{"1:job.0.0.0:1:done"});
    CHECK(fleet.start("w1", task1, 1, 51'600, 1'200) == OrderAnswer::Accepted);
    const RunReportRequest request{.m_lastAcknowledgedEnd = 3, .m_leaseEndMs = 52'000, .m_wait = Duration(0)};
    const OrderDelivery late{.m_late = true, .m_afterRestart = true};
    CHECK(fleet.m_workers.report(fleet.target("w1"), request, late, WorkerFixture::at(51'650)).m_answer == OrderAnswer::Accepted);
    CHECK(fleet.listedEnds("w1", 52'600) == Names{"2:job.0.0.1:1:done"});
    CHECK(fleet.run(0).m_acknowledgedAt == WorkerFixture::at(51'650));
}

// Guards against orders that a worker executes for another one that had its address.
TEST_CASE("a worker refuses orders for another identifier at its address")
{
    auto fleet = fleetOfOneJob({.m_tasks = 1, .m_estimate = Duration(1000)});
    const auto former = fleet.target("w1");
    fleet.m_workers.crashWorker("w1", WorkerFixture::at(0));
    auto successor = WorkerFixture::settings("w4");
    successor.m_address = former.m_address;
    fleet.m_workers.startWorker(successor, 5, WorkerFixture::at(100));
    CHECK(fleet.m_workers.stopOrder(former, task0, 1, WorkerFixture::at(200)).m_answer == OrderAnswer::WrongWorker);
    CHECK(fleet.start("w4", task0, 1, 200, 3000) == OrderAnswer::Accepted);
    CHECK(fleet.m_workers.history().size() == 1);
}

// Guards against an entry that does not show a drain, or counts its time from the wrong moment.
TEST_CASE("a draining worker announces the time that is left")
{
    auto fleet = fleetOfOneJob({.m_tasks = 1, .m_estimate = Duration(1000)});
    CHECK_FALSE(fleet.m_workers.entry("w1")->m_draining);
    fleet.m_workers.drainWorker("w1", Duration(5000), WorkerFixture::at(1000));
    fleet.m_workers.advance(WorkerFixture::at(3000));
    CHECK(fleet.m_workers.entry("w1")->m_draining);
    CHECK(fleet.m_workers.entry("w1")->m_leavesIn == Duration(3000));
    fleet.m_workers.advance(WorkerFixture::at(9000));
    CHECK(fleet.m_workers.entry("w1")->m_leavesIn == Duration(0));
    CHECK(fleet.start("w1", task0, 1, 9000, 12'000) == OrderAnswer::Accepted);
}

} // namespace PrimroseBridge
