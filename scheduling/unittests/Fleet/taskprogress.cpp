#include "primrosebridge/Fleet/taskprogress.h"

#include "fleetbuilder.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

static TaskPointer runningTask(int percent, std::int64_t sinceMs, std::int64_t progressMs)
{
    return std::make_shared<const TaskState>(TaskState{
        .m_phase = TaskPhase::Running,
        .m_assignedWorker = nullptr,
        .m_runNumber = 1,
        .m_highestRunNumber = 1,
        .m_failedRuns = {},
        .m_checkpoint = {},
        .m_percent = percent,
        .m_phaseSince = fromMilliseconds(sinceMs),
        .m_progressAt = fromMilliseconds(progressMs),
        .m_orderUnanswered = false,
        .m_failedWorkers = {},
    });
}

static JobStep stepWithEstimate(int estimateMs)
{
    FleetBuilder builder;
    return builder.addJob("job", "urgent", TestStep{.m_estimateMs = estimateMs}).input().m_jobs.front()->m_spec->m_steps.front();
}

// Guards against tasks that stay on a hanging worker, and against slow tasks that are stopped as stalled. The failure occurs with workers
// that still report while their tasks make no progress.
TEST_CASE("a task without progress has stalled, a slow one has not")
{
    CHECK(hasStalled(*runningTask(10, 0, 1000), stepWithEstimate(2500), fromMilliseconds(3300)));
    CHECK_FALSE(hasStalled(*runningTask(10, 0, 1000), stepWithEstimate(2500), fromMilliseconds(3000)));
    CHECK_FALSE(hasStalled(*runningTask(100, 0, 1000), stepWithEstimate(2500), fromMilliseconds(60'000)));
    CHECK_FALSE(hasStalled(*runningTask(10, 0, 1000), stepWithEstimate(3'600'000), fromMilliseconds(600'000)));
}

// Guards against work that is lost when its worker leaves, and against stopping work that would have finished before.
TEST_CASE("the remaining time is estimated from the progress")
{
    CHECK(estimatedRemainingTime(*runningTask(0, 0, 0), stepWithEstimate(2500), fromMilliseconds(100)) == Duration(2500));
    CHECK(estimatedRemainingTime(*runningTask(25, 0, 1000), stepWithEstimate(100), fromMilliseconds(1000)) == Duration(3000));
    CHECK(estimatedRemainingTime(*runningTask(25, 0, 1000), stepWithEstimate(100), fromMilliseconds(2000)) == Duration(2000));
    CHECK(endsAfterWorkerLeaves(Duration(3000), Duration(2000)));
    CHECK_FALSE(endsAfterWorkerLeaves(Duration(2400), Duration(2000)));
}

// Guards against urgent gangs that run at the speed of their slowest member. The failure occurs when a worker becomes slow.
TEST_CASE("a worker is slow if its tasks progress more slowly than the median of their steps")
{
    FleetBuilder builder;
    builder.addRacks(1, 4).addRunningJob("scan", "background", TestStep{.m_tasks = 4}, {"w0-0", "w0-1", "w0-2", "w0-3"}, 90'000);
    builder.addRunningJob("pair", "background", TestStep{.m_tasks = 2}, {"w0-0", "w0-1"}, 90'000);
    auto jobs = builder.input().m_jobs;
    const auto report = [&](std::size_t job, int index, int percent) {
        const TaskReference task{.m_job = jobs[job]->m_spec->m_id, .m_occurrence = 0, .m_step = 0, .m_index = index};
        const auto state = findTask(*jobs[job], task);
        jobs[job] = withTask(*jobs[job], task, reportedTask(*state, state->m_assignedWorker, 1, {}, percent, fromMilliseconds(92'000)));
    };
    report(0, 0, 40);
    report(0, 1, 44);
    report(0, 2, 7);
    report(0, 3, 30);
    report(1, 0, 2);
    report(1, 1, 80);
    const auto slow = slowWorkers(jobs, fromMilliseconds(92'000));
    REQUIRE(slow.size() == 1);
    CHECK(slow.front().m_worker == "w0-2");
}

} // namespace PrimroseBridge
