#include "fleetbuilder.h"

#include "primrosebridge/Fleet/preview.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace PrimroseBridge {

// Returns the description of a job with one step, as a submission would contain it.
static JobSpec specOf(const std::string &queue, const TestStep &step)
{
    FleetBuilder builder;
    return *builder.addJob("preview", queue, step).input().m_jobs.back()->m_spec;
}

// Guards against a preview that differs from what the fleet does when the same job is submitted, on a fleet that is partly in use.
TEST_CASE("a preview names the places that a submission gets")
{
    FleetBuilder builder;
    builder.addRacks(2, 2).addRunningJob("other", "background", TestStep{.m_tasks = 4}, {"w1-0", "w1-0", "w1-0", "w1-0"}, 90'000);
    const TestStep gang{.m_tasks = 3, .m_accelerators = 4, .m_gang = true, .m_sameRack = true};
    const auto input = builder.input();
    const auto preview = previewPlacement(input, specOf("urgent", gang));
    const auto submitted = builder.addJob("preview", "urgent", gang).input();
    std::multiset<std::string> expected;
    for (const auto &start : decidePlacement(submitted).m_starts) {
        expected.insert(submitted.m_workers[start.m_worker].m_report->m_incarnation.m_worker);
    }
    std::multiset<std::string> places;
    for (const auto &place : preview.m_places) {
        places.insert(place.m_worker);
        CHECK(place.m_zone == "zone");
        CHECK(place.m_estimatedRunTime == Duration(2500));
    }
    CHECK(preview.m_decision == PreviewDecision::Starts);
    CHECK(preview.m_rank == UrgencyRank::Urgent);
    CHECK(expected.size() == 3);
    CHECK(places == expected);
    CHECK(preview.m_waitingTasks == 0);
    CHECK_FALSE(preview.m_waitReason.has_value());
    CHECK(preview.m_estimatedWait == Duration(0));
    CHECK(input.m_jobs.size() == 1);
}

// Guards against victims of other work that are reported as victims of the job, when an urgent job arrives at the same time.
TEST_CASE("a preview names only the runs that are stopped for its job")
{
    FleetBuilder builder;
    builder.setGuarantee("org", 16).addWorker("w", "r").addWorker("v", "r");
    builder.addRunningJob("scan", "background", TestStep{.m_tasks = 1, .m_accelerators = 8}, {"w"}, 99'000);
    builder.addRunningJob("curve", "normal", TestStep{.m_tasks = 1, .m_accelerators = 8}, {"v"}, 99'000);
    builder.addJob("check", "urgent", TestStep{.m_accelerators = 8});
    const auto preview = previewPlacement(builder.input(), specOf("urgent", TestStep{.m_accelerators = 8}));
    CHECK(preview.m_decision == PreviewDecision::Preempts);
    CHECK(preview.m_rank == UrgencyRank::Guaranteed);
    CHECK(preview.m_waitReason == WaitReason::CapacityBeingReleased);
    REQUIRE(preview.m_victims.size() == 1);
    CHECK(preview.m_victims[0].m_task.m_job == "curve");
    CHECK(preview.m_victims[0].m_worker == "v");
}

// Guards against a wait estimate that counts work which the job does not wait for: less urgent work, and the part of a run that is over.
TEST_CASE("the estimated wait counts the unfinished work of the same or a more urgent rank")
{
    FleetBuilder builder;
    builder.addWorker("w", "r");
    builder.addRunningJob("run", "normal", TestStep{.m_tasks = 1, .m_accelerators = 8, .m_estimateMs = 3000}, {"w"}, 99'000);
    builder.addJob("queued", "normal", TestStep{.m_tasks = 2, .m_accelerators = 8, .m_estimateMs = 4000});
    builder.addJob("later", "background", TestStep{.m_tasks = 2, .m_accelerators = 8, .m_estimateMs = 60'000});
    const auto preview = previewPlacement(builder.input(), specOf("normal", TestStep{.m_tasks = 2}));
    CHECK(preview.m_decision == PreviewDecision::Waits);
    CHECK(preview.m_rank == UrgencyRank::Normal);
    CHECK(preview.m_waitingTasks == 2);
    CHECK(preview.m_waitReason == WaitReason::InsufficientCapacity);
    CHECK(preview.m_estimatedWait == Duration(2000 + 2 * 4000));
}

// Guards against a wait of 0 ms on a fleet without any usable worker.
TEST_CASE("a preview on an empty fleet waits without an estimate")
{
    const auto preview = previewPlacement(FleetBuilder().input(), specOf("normal", TestStep{}));
    CHECK(preview.m_decision == PreviewDecision::Waits);
    CHECK(preview.m_waitReason == WaitReason::NoEligibleWorker);
    CHECK_FALSE(preview.m_estimatedWait.has_value());
}

} // namespace PrimroseBridge
