#include "../../lib/Fleet/finish.h"

#include "fleetbuilder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace PrimroseBridge {

// Two racks with six workers of typical speed, and one with three slow workers.
static FleetBuilder unequalFleet(double slowSpeed = 0.41)
{
    FleetBuilder fleet;
    fleet.addRacks(2, 3).setWorkerSpeed(slowSpeed);
    return fleet.addWorker("s0", "slow").addWorker("s1", "slow").addWorker("s2", "slow");
}

// Returns how many starts of the job are on slow workers of unequalFleet(), and on others.
static std::pair<int, int> slowAndFastStarts(const PlacementDecisions &decisions, const std::string &job)
{
    std::pair<int, int> starts;
    for (const auto &start : decisions.m_starts) {
        if (start.m_task.m_job == job) {
            ++(start.m_worker >= 6 ? starts.first : starts.second);
        }
    }
    return starts;
}

static const std::vector<std::string> fastNames{"w0-0", "w0-1", "w0-2", "w1-0", "w1-1", "w1-2"};

// Guards against equal workers in different tiers because of the noise of the estimates.
TEST_CASE("speeds within a factor of 1.25 of the typical one are one tier")
{
    for (const double speed : {0.8, 0.9, 1.0, 1.25}) {
        CHECK(speedTier(speed) == 0);
    }
    CHECK(speedTier(1.26) == 1);
    CHECK(speedTier(0.79) == -1);
    CHECK(speedTier(0.41) == -3);
    CHECK(speedTier(0.0) < speedTier(0.02));
}

// Guards against a finish without the remote factor, the wait, the margin or the steps that follow.
TEST_CASE("a place meets the objective with its margin and the rest of the chain")
{
    const FinishDemand demand{.m_estimate = Duration(1000), .m_rest = Duration(500), .m_timeLeft = Duration(2850)};
    CHECK(meetsObjective(demand, {.m_speed = 0.5, .m_runTimeFactor = 1.0, .m_wait = Duration(0)}));
    CHECK_FALSE(meetsObjective(demand, {.m_speed = 0.5, .m_runTimeFactor = 1.0, .m_wait = Duration(1)}));
    CHECK_FALSE(meetsObjective(demand, {.m_speed = 1.0, .m_runTimeFactor = 3.0, .m_wait = Duration(0)}));
    CHECK(estimatedFinish(demand, {.m_speed = 0.5, .m_runTimeFactor = 3.0, .m_wait = Duration(100)}) == Duration(6100));
}

// Adds random running and waiting jobs. Equal seeds give equal jobs.
static void addRandomJobs(FleetBuilder &fleet, unsigned seed)
{
    std::mt19937 random(seed);
    const auto below = [&random](unsigned bound) { return static_cast<int>(random() % bound); };
    const auto randomStep = [&below] {
        const std::int64_t accelerators = 1 + below(8);
        return TestStep{.m_tasks = 1 + below(6),
                        .m_accelerators = accelerators,
                        .m_milliCores = 1000 + 1000 * below(12),
                        .m_gang = below(2) == 0,
                        .m_sameRack = below(2) == 0,
                        .m_checkpointing = below(4) == 0,
                        .m_maxPerWorker = below(3),
                        .m_estimateMs = 200 + below(5000)};
    };
    const std::vector<std::string> queues{"urgent", "normal", "background", "background"};
    fleet.setGuarantee("org", below(60)).setUrgentDemandPeak(below(80), below(20));
    for (int job = 0; job < 10; ++job) {
        auto step = randomStep();
        std::vector<std::string> workers;
        workers.reserve(static_cast<std::size_t>(step.m_tasks));
        for (int task = 0; task < step.m_tasks; ++task) {
            workers.push_back("w" + std::to_string(below(4)) + "-" + std::to_string(below(4)));
        }
        step.m_accelerators = 1 + below(3);
        fleet.addRunningJob("running" + std::to_string(job), queues[random() % 4], step, workers, 90'000 + below(10'000), "org", 1 + below(6));
    }
    for (int job = 0; job < 12; ++job) {
        fleet.setJobAge(below(3) == 0 ? 0 : below(12'000));
        fleet.addJob("waiting" + std::to_string(job), queues[random() % 4], randomStep());
    }
}

static void checkEqualDecisions(const PlacementDecisions &left, const PlacementDecisions &right)
{
    CHECK(left.m_starts == right.m_starts);
    CHECK(left.m_stops == right.m_stops);
    CHECK(left.m_waiting == right.m_waiting);
    CHECK(left.m_acceleratorBudget == right.m_acceleratorBudget);
}

// Guards against effects of speed where it does not matter. A slow worker of another pool turns the comparison of speeds on, so that the order by
// speed is compared with the order without it.
TEST_CASE("equal speeds do not change any decision")
{
    int starts = 0;
    int stops = 0;
    for (unsigned seed = 0; seed < 400; ++seed) {
        CAPTURE(seed);
        const auto decide = [seed](double speed, double speedInOtherPool) {
            FleetBuilder fleet;
            fleet.setWorkerSpeed(speed).addRacks(4, 4).addWorker("isolated", "r0", true).addWorker("outdated", "r1", false, true);
            fleet.setWorkerPool("other").setWorkerSpeed(speedInOtherPool).addWorker("other", "r2");
            addRandomJobs(fleet, seed);
            return decidePlacement(fleet.input());
        };
        const auto typical = decide(1.0, 1.0);
        checkEqualDecisions(typical, decide(0.6, 0.6));
        checkEqualDecisions(typical, decide(1.0, 0.3));
        starts += static_cast<int>(typical.m_starts.size());
        stops += static_cast<int>(typical.m_stops.size());
    }
    CHECK(starts > 1000);
    CHECK(stops > 100);
}

// Guards against a gang that is late by a slow member which today's packing order prefers.
TEST_CASE("an urgent gang avoids workers on which it is late")
{
    auto fleet = unequalFleet().addRunningJob("filler", "urgent", {.m_tasks = 3, .m_accelerators = 2}, {"s0", "s1", "s2"}, 99'000);
    fleet.addJob("gang", "urgent", {.m_tasks = 5, .m_accelerators = 4, .m_gang = true});
    CHECK(slowAndFastStarts(decidePlacement(fleet.input()), "gang") == std::pair(0, 5));
}

// Guards against the use of the fastest workers by work that is in time on slower ones.
TEST_CASE("an urgent gang takes slower workers on which it is in time")
{
    auto fleet = unequalFleet(0.75).addJob("gang", "urgent", {.m_tasks = 3, .m_accelerators = 8, .m_gang = true});
    CHECK(slowAndFastStarts(decidePlacement(fleet.input()), "gang") == std::pair(3, 0));
}

// Guards against fast places that a late gang takes without ending earlier, while another urgent gang is in time only there.
TEST_CASE("a gang that is late on slow workers leaves fast ones to other urgent work")
{
    auto fleet = unequalFleet().addRunningJob("busy", "urgent", {.m_tasks = 4, .m_accelerators = 8}, {"w0-0", "w0-1", "w0-2", "w1-0"}, 99'900);
    fleet.addJob("late", "urgent", {.m_tasks = 3, .m_accelerators = 8, .m_gang = true})
        .addJob("other", "urgent", {.m_tasks = 2, .m_accelerators = 8, .m_gang = true});
    const auto decisions = decidePlacement(fleet.input());
    CHECK(slowAndFastStarts(decisions, "late") == std::pair(3, 0));
    CHECK(slowAndFastStarts(decisions, "other") == std::pair(0, 2));
}

// Guards against a gang that stays on slow workers alone where only some members need them, or waits instead of starting late.
TEST_CASE("a gang that fits on no fast and no slow workers alone uses both")
{
    auto fleet = unequalFleet().addRunningJob("busy", "urgent", {.m_tasks = 4, .m_accelerators = 8}, {"w0-0", "w0-1", "w0-2", "w1-0"}, 99'900);
    fleet.addJob("late", "urgent", {.m_tasks = 5, .m_accelerators = 8, .m_gang = true});
    CHECK(slowAndFastStarts(decidePlacement(fleet.input()), "late") == std::pair(3, 2));
}

// Guards against slow places for a gang that is late wherever it runs: its caller waits longer, and it holds the places for longer.
TEST_CASE("a gang that is late on all workers takes the fastest that suffice")
{
    auto late = unequalFleet().setJobAge(3000).addJob("gang", "urgent", {.m_tasks = 3, .m_accelerators = 8, .m_gang = true});
    CHECK(slowAndFastStarts(decidePlacement(late.input()), "gang") == std::pair(0, 3));
}

// Guards against non-urgent work on fast workers that urgent work needs, and against work that is late because it leaves them.
TEST_CASE("work that is not urgent takes slow workers if it is in time there")
{
    auto fleet = unequalFleet().addJob("batch", "normal", {.m_tasks = 3, .m_accelerators = 8});
    CHECK(slowAndFastStarts(decidePlacement(fleet.input()), "batch") == std::pair(3, 0));
    auto late = unequalFleet().setJobAge(3000).addJob("batch", "normal", {.m_tasks = 3, .m_accelerators = 8});
    CHECK(slowAndFastStarts(decidePlacement(late.input()), "batch") == std::pair(0, 3));
}

// Guards against a reserve of slow workers, on which urgent work is late, and against an unused slow part of the fleet.
TEST_CASE("the urgent reserve is held on workers on which urgent work is in time")
{
    // Of the 48 accelerators of the fast workers, a quarter may be reserved. The older batch is late on slow workers and so prefers fast ones.
    for (const std::int64_t ageMs : {0, 3000}) {
        auto fleet = unequalFleet().setUrgentDemandPeak(48, 16).setJobAge(ageMs).addJob("batch", "background", {.m_tasks = 50});
        const auto decisions = decidePlacement(fleet.input());
        CAPTURE(ageMs);
        CHECK(decisions.m_acceleratorBudget.m_reservedAccelerators == 12.0);
        // By its age, 8.9 of the 12 accelerators are closed to the older batch.
        CHECK(slowAndFastStarts(decisions, "batch") == (ageMs == 0 ? std::pair(24, 26) : std::pair(11, 39)));
    }
}

// Guards against urgent work on cold workers while warm ones are free.
TEST_CASE("urgent work takes cold workers last")
{
    FleetBuilder fleet;
    fleet.setWorkerSpeed(1.0, true).addWorker("cold", "r0").setWorkerSpeed(1.0).addRacks(1, 1);
    const auto started = decidePlacement(fleet.addJob("task", "urgent", {.m_accelerators = 8}).input()).m_starts;
    REQUIRE(started.size() == 1);
    CHECK(started.front().m_worker == 1);
    const auto both = decidePlacement(fleet.addJob("second", "urgent", {.m_accelerators = 8}).input()).m_starts;
    CHECK(both.size() == 2);
}

// Guards against a spread that is later than slow workers in one rack, and against slow workers that are later than a spread.
TEST_CASE("a gang bound to a rack weighs its rack and the speed of its workers")
{
    for (const double nearSpeed : {0.41, 0.2}) {
        auto fleet = unequalFleet(nearSpeed).addRunningJob("busy", "urgent", {.m_tasks = 2, .m_accelerators = 8}, {"w0-0", "w1-0"}, 99'900);
        fleet.addJob("gang", "urgent", {.m_tasks = 3, .m_accelerators = 8, .m_gang = true, .m_sameRack = true});
        // Spread over two racks, the run takes three times as long.
        CAPTURE(nearSpeed);
        CHECK(slowAndFastStarts(decidePlacement(fleet.input()), "gang") == (nearSpeed > 0.3 ? std::pair(3, 0) : std::pair(0, 3)));
    }
}

// Guards against urgent work that is late on free slow workers although stopping little other work makes it in time, and against stops that cost
// more than they save or that end too late.
TEST_CASE("urgent work preempts for speed only if it is worth it and in time")
{
    const TestStep gang{.m_tasks = 2, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 4000};
    const auto decide = [&gang](std::int64_t runningSinceMs, std::int64_t ageMs, const std::string &victimQueue) {
        auto fleet = unequalFleet().addRunningJob("victim", victimQueue, {.m_tasks = 6, .m_accelerators = 8}, fastNames, runningSinceMs);
        return decidePlacement(fleet.setJobAge(ageMs).addJob("gang", "urgent", gang).input());
    };
    const auto worth = decide(99'000, 0, "background");
    CHECK(worth.m_starts.empty());
    CHECK(worth.m_stops.size() == 2);
    REQUIRE(worth.m_waiting.size() == 1);
    CHECK(worth.m_waiting.front().m_reason == WaitReason::CapacityBeingReleased);
    for (const auto &late : {decide(90'000, 0, "background"), decide(99'000, 900, "background"), decide(99'000, 0, "urgent")}) {
        CHECK(slowAndFastStarts(late, "gang") == std::pair(2, 0));
        CHECK(late.m_stops.empty());
    }
}

// Guards against victims that are cheaper but on workers on which urgent work is late, where no place is free.
TEST_CASE("urgent work preempts on workers on which it is in time")
{
    auto fleet = unequalFleet().addRunningJob("fast", "background", {.m_tasks = 6, .m_accelerators = 8}, fastNames, 99'000);
    fleet.addRunningJob("slow", "background", {.m_tasks = 3, .m_accelerators = 8}, {"s0", "s1", "s2"}, 99'900);
    const auto decisions = decidePlacement(fleet.addJob("gang", "urgent", {.m_tasks = 2, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 4000}).input());
    CHECK(decisions.m_stops.size() == 2);
    CHECK(std::all_of(decisions.m_stops.begin(), decisions.m_stops.end(), [](const auto &stop) { return stop.m_task.m_job == "fast"; }));
}

// Guards against the loss of urgent work of others for the sake of speed alone.
TEST_CASE("guaranteed work does not preempt urgent work for speed")
{
    auto fleet = unequalFleet().setGuarantee("org", 16).addRunningJob("victim", "urgent", {.m_tasks = 6, .m_accelerators = 8}, fastNames, 99'000, "other");
    fleet.addJob("gang", "urgent", {.m_tasks = 2, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 8000});
    const auto decisions = decidePlacement(fleet.input());
    CHECK(decisions.m_stops.empty());
    CHECK(slowAndFastStarts(decisions, "gang") == std::pair(2, 0));
}

// Guards against urgent work on slow workers where outdated ones, which may leave soon, are fast.
TEST_CASE("urgent work that is late on current workers takes outdated ones")
{
    FleetBuilder fleet;
    fleet.addWorker("outdated", "r0", false, true).setWorkerSpeed(0.41).addWorker("current", "r1");
    const auto starts = decidePlacement(fleet.addJob("task", "urgent", {}).input()).m_starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().m_worker == 0);
}

// Guards against a wait with a free member that is in time only without the wait, and against a late start where another place avoids this.
TEST_CASE("urgent work that waits takes only places that are in time after the wait")
{
    // The gang has 3,200 ms left. It needs 2,350 ms on typical workers, 3,083 ms at 0.75, and the stops end within 400 ms.
    for (const int stopping : {1, 2}) {
        FleetBuilder fleet;
        fleet.addRacks(1, stopping).setWorkerSpeed(0.75).addWorker("free", "r0").setWorkerSpeed(0.41).addWorker("slow0", "r0").addWorker("slow1", "r0");
        std::vector<std::string> workers{"w0-0", "w0-1"};
        workers.resize(static_cast<std::size_t>(stopping));
        fleet.addRunningJob("victim", "background", {.m_tasks = stopping, .m_accelerators = 8}, workers, 98'000).stopLastJob(99'500);
        fleet.setJobAge(100).addJob("gang", "urgent", {.m_tasks = 2, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 2000});
        CAPTURE(stopping);
        CHECK(decidePlacement(fleet.input()).m_starts.size() == (stopping == 2 ? 0 : 2));
    }
}

// Guards against a gang that gives up the places that it has preempted while they are being stopped, and against one that waits for them beyond its
// objective, which it then misses by more.
TEST_CASE("urgent work waits for preempted places as long as it ends in time")
{
    const auto decide = [](std::int64_t stoppingSinceMs, std::int64_t ageMs) {
        auto fleet = unequalFleet().addRunningJob("victim", "background", {.m_tasks = 6, .m_accelerators = 8}, fastNames, 98'000).stopLastJob(stoppingSinceMs);
        return decidePlacement(
            fleet.setJobAge(ageMs).addJob("gang", "urgent", {.m_tasks = 2, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 4000}).input());
    };
    // The objective is 6,300 ms, and the run needs 4,550 ms. 400 ms of the stop bound are left.
    CHECK(decide(99'500, 1350).m_starts.empty());
    CHECK(slowAndFastStarts(decide(99'500, 1351), "gang") == std::pair(2, 0));
    // A stop that is overdue may never end.
    CHECK(decide(99'100, 900).m_starts.empty());
    CHECK(slowAndFastStarts(decide(99'099, 900), "gang") == std::pair(2, 0));
    CHECK(slowAndFastStarts(decide(98'000, 0), "gang") == std::pair(2, 0));
}

// Guards against guaranteed work that gives its free place to less urgent work of the same pass, to wait for a stop that does not end.
TEST_CASE("guaranteed work does not wait for a stop that is overdue")
{
    FleetBuilder fleet;
    fleet.setGuarantee("org", 8).addRacks(1, 1).setWorkerSpeed(0.41).addWorker("slow", "r0");
    fleet.addRunningJob("victim", "background", {.m_accelerators = 8}, {"w0-0"}, 98'000).stopLastJob(98'600);
    fleet.addJob("guaranteed", "urgent", {.m_accelerators = 8, .m_estimateMs = 4000}).addJob("urgent", "urgent", {.m_accelerators = 8}, "other");
    const auto starts = decidePlacement(fleet.input()).m_starts;
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().m_task.m_job == "guaranteed");
}

// Guards against guaranteed work that waits for fast workers until after the time at which it may preempt other guaranteed work.
TEST_CASE("guaranteed work waits for fast workers only within the time after which it preempts any work")
{
    for (const std::int64_t ageMs : {1100, 1101}) {
        auto fleet = unequalFleet().setGuarantee("org", 16).addRunningJob("victim", "background", {.m_tasks = 6, .m_accelerators = 8}, fastNames, 99'000);
        fleet.setJobAge(ageMs).addJob("gang", "urgent", {.m_tasks = 2, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 8000});
        CHECK(slowAndFastStarts(decidePlacement(fleet.input()), "gang") == (ageMs == 1100 ? std::pair(0, 0) : std::pair(2, 0)));
    }
}

// Guards against a slow place that leaves too little time for the steps that follow, and against following steps that count as slow too.
TEST_CASE("a place is in time only if the following steps are")
{
    // The objective is 7,800 ms. The step takes 4,231 ms and 5,500 ms with the margin of 10%, and the following one 2,500 ms.
    for (const double speed : {0.65, 0.5}) {
        auto fleet = unequalFleet(speed).addJob("job", "urgent", {.m_tasks = 3, .m_accelerators = 8, .m_estimateMs = 2500, .m_followingMs = 2500});
        CAPTURE(speed);
        CHECK(slowAndFastStarts(decidePlacement(fleet.input()), "job") == (speed > 0.6 ? std::pair(3, 0) : std::pair(0, 3)));
    }
}

// Guards against aged work that waits without a bound on a fleet of unequal speeds, because its limit on fast workers is rounded down although nothing
// is reserved against it any more.
TEST_CASE("aged work may use workers that hold the urgent reserve as on a fleet of equal speeds")
{
    for (const double otherSpeed : {1.0, 0.41}) {
        FleetBuilder fleet;
        fleet.addRacks(1, 1).setWorkerSpeed(otherSpeed).addWorker("other", "r0");
        fleet.addRunningJob("cores", "urgent", {.m_accelerators = 0, .m_milliCores = 4000}, {"w0-0"}, 99'000);
        fleet.addRunningJob("half", "urgent", {.m_accelerators = 4}, {"other"}, 99'000).setUrgentDemandPeak(40, 8);
        fleet.setJobAge(12'000).addJob("aged", "normal", {.m_accelerators = 8, .m_milliCores = 20'000});
        CAPTURE(otherSpeed);
        CHECK(decidePlacement(fleet.input()).m_starts.size() == 1);
    }
}

} // namespace PrimroseBridge
