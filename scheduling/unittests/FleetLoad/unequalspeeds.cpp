#include "loadsimulation.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

// A fleet of 48 workers, a third of which are slow.
static SimulatedFleet unequalFleet()
{
    return SimulatedFleet{.m_organisations = {{.m_name = "a", .m_apiKeys = {}, .m_guaranteedAccelerators = 64}}, .m_thirdWorkerSpeed = 0.41};
}

// Urgent gangs of five on average. Runs take 0.7 of the estimate on a worker of typical speed.
static JobKind urgentGangs(double perSecond, const std::vector<std::int64_t> &accelerators, std::int64_t milliCores)
{
    return JobKind{.m_queue = "urgent",
                   .m_organisation = "a",
                   .m_perSecond = perSecond,
                   .m_meanTasks = 5.0,
                   .m_maxTasks = 12,
                   .m_accelerators = accelerators,
                   .m_milliCores = milliCores,
                   .m_runTime = Duration(1470),
                   .m_estimate = Duration(2100),
                   .m_gang = true};
}

static JobKind batches(double perSecond, std::int64_t milliCores)
{
    return JobKind{.m_queue = "background",
                   .m_organisation = "a",
                   .m_perSecond = perSecond,
                   .m_meanTasks = 10.0,
                   .m_maxTasks = 40,
                   .m_accelerators = {1},
                   .m_milliCores = milliCores,
                   .m_runTime = Duration(4300),
                   .m_estimate = Duration(6100)};
}

// Returns the share of the jobs of the queue that completed within their objective, of those whose objective lies within the simulated time.
static double shareInTime(const std::vector<JobResult> &results, const std::string &queue, Duration end)
{
    double jobs = 0.0;
    double inTime = 0.0;
    for (const auto &result : results) {
        const auto objective = result.m_job.m_acceptedAt + timeToObjective(result.m_job);
        if (result.m_job.m_queue == queue && objective <= Instant() + end) {
            jobs += 1.0;
            inTime += result.m_completedAt && *result.m_completedAt <= objective ? 1.0 : 0.0;
        }
    }
    return inTime / jobs;
}

// Guards against urgent gangs that are late because of one member on a slow worker. The failure occurs on a fleet with a third slow workers, most
// of which is free, if placement does not know the speeds.
TEST_CASE("urgent gangs meet their objective on a fleet with a third slow workers")
{
    const Duration end(120'000);
    auto fleet = unequalFleet();
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto jobs = generateArrivals({urgentGangs(1.0, {1, 2, 4}, 4000), batches(0.5, 4000)}, end, seed);
        fleet.m_knowsSpeeds = true;
        const auto informed = simulatePlacement(fleet, jobs, end);
        fleet.m_knowsSpeeds = false;
        const auto uninformed = simulatePlacement(fleet, jobs, end);
        CAPTURE(seed, shareInTime(informed, "urgent", end), shareInTime(uninformed, "urgent", end), shareInTime(informed, "background", end));
        CHECK(shareInTime(informed, "urgent", end) >= 0.95);
        CHECK(shareInTime(uninformed, "urgent", end) < 0.6);
        CHECK(shareInTime(informed, "background", end) >= 0.95);
    }
}

// Guards against the starvation of other work by urgent work that preempts for speed. The failure occurs on a busy fleet, on which urgent gangs are late
// on most free workers.
TEST_CASE("work that is not urgent ends before its final deadline beside urgent work that needs fast workers")
{
    const Duration end(120'000);
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto results
            = simulatePlacement(unequalFleet(), generateArrivals({urgentGangs(3.0, {1, 2, 4, 8}, 15'000), batches(4.0, 11'000)}, end, seed), end);
        int preemptions = 0;
        int missed = 0;
        for (const auto &result : results) {
            const auto finalDeadline = result.m_job.m_acceptedAt + 3 * timeToObjective(result.m_job);
            const bool isMissed = result.m_completedAt ? *result.m_completedAt > finalDeadline : finalDeadline < Instant() + end;
            missed += isMissed ? 1 : 0;
            for (const auto &[task, count] : result.m_preemptions) {
                preemptions += count;
            }
        }
        CAPTURE(seed, preemptions, missed, shareInTime(results, "background", end));
        CHECK(missed == 0);
        CHECK(preemptions > 0);
        CHECK(shareInTime(results, "urgent", end) >= 0.95);
    }
}

} // namespace PrimroseBridge
