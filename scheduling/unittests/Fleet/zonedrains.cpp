#include "fleetbuilder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace PrimroseBridge {

static std::set<std::string> startWorkers(const PlacementInput &input, const PlacementDecisions &decisions)
{
    std::set<std::string> workers;
    for (const auto &start : decisions.m_starts) {
        workers.insert(input.m_workers[start.m_worker].m_incarnation->m_worker);
    }
    return workers;
}

static std::vector<WaitReason> waitReasons(const PlacementDecisions &decisions)
{
    std::vector<WaitReason> reasons;
    for (const auto &step : decisions.m_waiting) {
        reasons.push_back(step.m_reason);
    }
    return reasons;
}

using Reasons = std::vector<WaitReason>;

// Guards against starts in a drained zone, and against an operator who cannot tell why work waits.
TEST_CASE("work that only a drained zone could run waits for the zone")
{
    FleetBuilder builder;
    builder.addDrainedWorker("w", "r0").addDrainedWorker("v", "r1");
    for (const auto *queue : {"urgent", "normal", "background"}) {
        builder.addJob(queue, queue, TestStep{.m_tasks = 2});
    }
    const auto decisions = decidePlacement(builder.input());
    CHECK(decisions.m_starts.empty());
    CHECK(waitReasons(decisions) == Reasons(3, WaitReason::ZoneDrained));
    CHECK(waitReasonName(WaitReason::ZoneDrained) == "zone_drained");
}

// Guards against a drain that is given as the reason although no zone could run the step, or although it fits elsewhere once others end.
TEST_CASE("work that waits for something else than a drained zone says so")
{
    FleetBuilder builder;
    builder.addDrainedWorker("w", "r0").addWorker("v", "r1").addRunningJob("running", "urgent", TestStep{.m_accelerators = 8}, {"v"}, 99'000);
    builder.addJob("labelled", "normal", TestStep{.m_label = "other"});
    builder.addJob("full", "normal", TestStep{});
    builder.addJob("wide", "normal", TestStep{.m_tasks = 3, .m_accelerators = 8, .m_gang = true});
    const auto decisions = decidePlacement(builder.input());
    CHECK(decisions.m_starts.empty());
    CHECK(waitReasons(decisions) == Reasons{WaitReason::NoEligibleWorker, WaitReason::InsufficientCapacity, WaitReason::InsufficientCapacity});
}

// Guards against a gang of which the members start that fit outside of the drained zone.
TEST_CASE("a gang wider than the other zones waits whole, and one that fits there starts")
{
    FleetBuilder builder;
    builder.addDrainedWorker("w", "r0").addWorker("v", "r1").addWorker("u", "r2");
    builder.addJob("wide", "urgent", TestStep{.m_tasks = 3, .m_accelerators = 8, .m_gang = true});
    builder.addJob("narrow", "normal", TestStep{.m_tasks = 2, .m_accelerators = 8, .m_gang = true});
    const auto input = builder.input();
    const auto decisions = decidePlacement(input);
    CHECK(startWorkers(input, decisions) == std::set<std::string>{"u", "v"});
    CHECK(std::all_of(decisions.m_starts.begin(), decisions.m_starts.end(), [](const auto &start) { return start.m_task.m_job == "narrow"; }));
    CHECK(waitReasons(decisions) == Reasons{WaitReason::ZoneDrained});
}

// Guards against guaranteed work that waits for the drained zone, or preempts there: the runs are cheap to stop there, but nothing may start.
TEST_CASE("guaranteed work is met from other zones, and runs in the drained zone go on")
{
    FleetBuilder builder;
    builder.setGuarantee("org", 8).addDrainedWorker("w", "r0").addWorker("v", "r1");
    builder.addRunningJob("there", "background", TestStep{.m_accelerators = 8}, {"w"}, 99'900);
    builder.addRunningJob("here", "normal", TestStep{.m_accelerators = 8}, {"v"}, 90'000);
    builder.addJob("guaranteed", "urgent", TestStep{.m_accelerators = 8});
    const auto decisions = decidePlacement(builder.input());
    CHECK(decisions.m_starts.empty());
    REQUIRE(decisions.m_stops.size() == 1);
    CHECK(decisions.m_stops.front().m_task.m_job == "here");
    CHECK(waitReasons(decisions) == Reasons{WaitReason::CapacityBeingReleased});
}

// Guards against a reserve for urgent work that counts on workers which no urgent work may use.
TEST_CASE("the capacity of a drained zone does not count towards the reserve for urgent work")
{
    FleetBuilder builder;
    builder.setUrgentDemandPeak(8, 8).addDrainedWorker("w", "r0").addWorker("v", "r1");
    builder.addJob("normal", "normal", TestStep{.m_accelerators = 8});
    const auto decisions = decidePlacement(builder.input());
    CHECK(decisions.m_acceleratorBudget.m_usableAccelerators == 8.0);
    CHECK(decisions.m_acceleratorBudget.m_freeAccelerators == 8.0);
    CHECK(decisions.m_starts.empty());
}

// Returns the input in which the workers that are not usable are in no drained zone.
static PlacementInput withoutDrains(const PlacementInput &input)
{
    std::vector<PlacementWorker> workers;
    for (const auto &worker : input.m_workers) {
        workers.push_back(
            PlacementWorker{.m_report = worker.m_report, .m_incarnation = worker.m_incarnation, .m_usable = worker.m_usable, .m_isolated = worker.m_isolated});
    }
    return PlacementInput{.m_now = input.m_now,
                          .m_wallNow = input.m_wallNow,
                          .m_configuration = input.m_configuration,
                          .m_jobs = input.m_jobs,
                          .m_workers = workers,
                          .m_remoteFactor = input.m_remoteFactor,
                          .m_lockedJobs = input.m_lockedJobs,
                          .m_urgentDemand = input.m_urgentDemand};
}

// Guards against a drain that changes more than which workers may be used, and against its reason where no zone is drained.
TEST_CASE("a drained zone differs from silent workers in the reason for waiting only")
{
    std::mt19937 random(20261207);
    const auto pick = [&](int count) { return static_cast<int>(random() % static_cast<unsigned>(count)); };
    const std::vector<std::string> queues = {"urgent", "normal", "background"};
    int drainedWaits = 0;
    for (int round = 0; round < 200; ++round) {
        FleetBuilder builder;
        builder.setGuarantee("org", 16).setUrgentDemandPeak(pick(20), pick(8));
        for (int worker = 0; worker < 6; ++worker) {
            const auto name = "w" + std::to_string(worker);
            builder.addWorker(name, "r" + std::to_string(worker / 2), false, false, pick(3) == 0);
            builder.addRunningJob("running-" + name, queues[static_cast<std::size_t>(pick(3))], TestStep{.m_accelerators = 1 + pick(8)}, {name}, 90'000);
        }
        for (int job = 0; job < 6; ++job) {
            builder.addJob("job" + std::to_string(job),
                           queues[static_cast<std::size_t>(pick(3))],
                           TestStep{.m_tasks = 1 + pick(5), .m_accelerators = 1 << pick(4), .m_gang = pick(2) == 0, .m_sameRack = pick(2) == 0});
        }
        const auto input = builder.input();
        const auto drained = decidePlacement(input);
        const auto silent = decidePlacement(withoutDrains(input));
        CHECK(drained.m_starts == silent.m_starts);
        CHECK(drained.m_stops == silent.m_stops);
        REQUIRE(drained.m_waiting.size() == silent.m_waiting.size());
        for (std::size_t index = 0; index < silent.m_waiting.size(); ++index) {
            CHECK(silent.m_waiting[index].m_reason != WaitReason::ZoneDrained);
            const bool zoneDrained = drained.m_waiting[index].m_reason == WaitReason::ZoneDrained;
            CHECK((zoneDrained || drained.m_waiting[index] == silent.m_waiting[index]));
            drainedWaits += zoneDrained ? 1 : 0;
        }
    }
    CHECK(drainedWaits > 0);
}

} // namespace PrimroseBridge
