#include "loadsimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace PrimroseBridge {

// Jobs of the queue that were accepted early enough to end within their useful time, and of these the ones that did not.
struct Unserved {
    int m_jobs = 0;
    int m_unserved = 0;
    Duration m_longest = Duration(0);
    int m_mostPreemptions = 0;
};

static Unserved unservedOf(const std::vector<JobResult> &results, const std::string &queue, Duration end)
{
    Unserved unserved;
    for (const auto &result : results) {
        const auto useful = timeToFinalDeadline(result.m_job);
        if (result.m_job.m_queue != queue || result.m_job.m_acceptedAt + useful > Instant() + end) {
            continue;
        }
        ++unserved.m_jobs;
        const auto took = result.m_completedAt.value_or(Instant() + end) - result.m_job.m_acceptedAt;
        unserved.m_unserved += !result.m_completedAt || took > useful ? 1 : 0;
        unserved.m_longest = std::max(unserved.m_longest, took);
        for (const auto &[task, count] : result.m_preemptions) {
            unserved.m_mostPreemptions = std::max(unserved.m_mostPreemptions, count);
        }
    }
    return unserved;
}

static SimulatedFleet guaranteedFleet()
{
    return SimulatedFleet{.m_organisations = {{.m_name = "a", .m_apiKeys = {}, .m_guaranteedAccelerators = 128},
                                              {.m_name = "b", .m_apiKeys = {}, .m_guaranteedAccelerators = 96}}};
}

static JobKind urgentGangs(const std::string &organisation, double perSecond)
{
    return JobKind{.m_queue = "urgent",
                   .m_organisation = organisation,
                   .m_perSecond = perSecond,
                   .m_meanTasks = 3.0,
                   .m_maxTasks = 18,
                   .m_accelerators = {1, 2, 4, 8, 8},
                   .m_milliCores = 15000,
                   .m_runTime = Duration(2500),
                   .m_estimate = Duration(2500),
                   .m_gang = true,
                   .m_sameRack = true};
}

static JobKind normalGangs(double perSecond)
{
    return JobKind{.m_queue = "normal",
                   .m_organisation = "a",
                   .m_perSecond = perSecond,
                   .m_meanTasks = 4.0,
                   .m_maxTasks = 24,
                   .m_accelerators = {1, 2, 4, 8, 8},
                   .m_milliCores = 52000,
                   .m_runTime = Duration(8500),
                   .m_estimate = Duration(8500),
                   .m_gang = true,
                   .m_sameRack = false};
}

static JobKind backgroundBatches(double perSecond)
{
    return JobKind{.m_queue = "background",
                   .m_organisation = "b",
                   .m_perSecond = perSecond,
                   .m_meanTasks = 14.0,
                   .m_maxTasks = 72,
                   .m_accelerators = {1},
                   .m_milliCores = 11000,
                   .m_runTime = Duration(9500),
                   .m_estimate = Duration(9500)};
}

// Sound load for two thirds to three quarters of a fleet of 48 workers, so that there is room for all of it in time.
static std::vector<SimulatedJob> soundLoadArrivals(unsigned seed, Duration end, double backgroundEstimate)
{
    auto background = backgroundBatches(0.6);
    background.m_estimate = std::chrono::duration_cast<Duration>(background.m_runTime * backgroundEstimate);
    return generateArrivals({urgentGangs("a", 1.5), urgentGangs("b", 1.0), normalGangs(0.7), background}, end, seed);
}

static std::vector<JobResult> soundLoad(unsigned seed, Duration end, double backgroundEstimate)
{
    return simulatePlacement(guaranteedFleet(), soundLoadArrivals(seed, end, backgroundEstimate), end);
}

static void checkAllServed(const std::vector<JobResult> &results, Duration end)
{
    for (const auto *queue : {"urgent", "normal", "background"}) {
        const auto unserved = unservedOf(results, queue, end);
        CAPTURE(queue, unserved.m_jobs, unserved.m_longest.count(), unserved.m_mostPreemptions);
        CHECK(unserved.m_unserved == 0);
    }
}

// Guards against work that never runs, or is stopped again each time it does, because room is kept for urgent work as long as urgent
// work arrives: pattern of a steady urgent load beside batches and wide gangs on a fleet that has room for all of them.
TEST_CASE("less urgent work ends while it is useful beside a steady urgent load")
{
    const Duration end(240'000);
    for (const unsigned seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        checkAllServed(soundLoad(seed, end, 1.0), end);
    }
}

// Guards against tasks that are stopped each time they run, so that their work is thrown away again and again: pattern of the same load
// after an eighth of the fleet is lost.
TEST_CASE("no task is stopped more than four times")
{
    const Duration end(240'000);
    auto fleet = guaranteedFleet();
    fleet.m_workersPerRack = 7;
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto results = simulatePlacement(fleet, soundLoadArrivals(seed, end, 1.0), end);
        for (const auto *queue : {"normal", "background"}) {
            CAPTURE(seed, queue);
            CHECK(unservedOf(results, queue, end).m_mostPreemptions <= 4);
        }
    }
}

// Guards against late work that is passed by all newer work of its rank: pattern of batches whose submitters state a fifth of the run
// time, so that they count as late or lost soon after they were accepted.
TEST_CASE("work with estimates far too low ends while it is useful")
{
    const Duration end(240'000);
    for (const unsigned seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        checkAllServed(soundLoad(seed, end, 0.2), end);
    }
}

} // namespace PrimroseBridge
