#include "loadsimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace PrimroseBridge {

// The results of the jobs of one queue whose final deadline lies within the simulated time.
struct QueueResults {
    int m_jobs = 0;
    int m_missedDeadlines = 0; // Jobs that did not complete before their final deadline.
    Duration m_longestLatency = Duration(0);
    int m_maxPreemptionsOfTask = 0;
};

static QueueResults queueResultsOf(const std::vector<JobResult> &results, const std::string &queue, Duration end)
{
    QueueResults queueResults;
    for (const auto &result : results) {
        const auto timeToDeadline = timeToFinalDeadline(result.m_job);
        if (result.m_job.m_queue != queue || result.m_job.m_acceptedAt + timeToDeadline > Instant() + end) {
            continue;
        }
        ++queueResults.m_jobs;
        const auto latency = result.m_completedAt.value_or(Instant() + end) - result.m_job.m_acceptedAt;
        queueResults.m_missedDeadlines += !result.m_completedAt || latency > timeToDeadline ? 1 : 0;
        queueResults.m_longestLatency = std::max(queueResults.m_longestLatency, latency);
        for (const auto &[task, count] : result.m_preemptions) {
            queueResults.m_maxPreemptionsOfTask = std::max(queueResults.m_maxPreemptionsOfTask, count);
        }
    }
    return queueResults;
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

// Generates a load that uses two thirds to three quarters of a fleet of 48 workers, so that all jobs can meet their final deadline. The
// estimates of background jobs are their run time multiplied by backgroundEstimateRatio.
static std::vector<SimulatedJob> sustainableLoad(unsigned seed, Duration end, double backgroundEstimateRatio)
{
    auto background = backgroundBatches(0.6);
    background.m_estimate = std::chrono::duration_cast<Duration>(background.m_runTime * backgroundEstimateRatio);
    return generateArrivals({urgentGangs("a", 1.5), urgentGangs("b", 1.0), normalGangs(0.7), background}, end, seed);
}

static std::vector<JobResult> simulateSustainableLoad(unsigned seed, Duration end, double backgroundEstimateRatio)
{
    return simulatePlacement(guaranteedFleet(), sustainableLoad(seed, end, backgroundEstimateRatio), end);
}

static void checkFinalDeadlinesMet(const std::vector<JobResult> &results, Duration end)
{
    for (const auto *queue : {"urgent", "normal", "background"}) {
        const auto queueResults = queueResultsOf(results, queue, end);
        CAPTURE(queue, queueResults.m_jobs, queueResults.m_longestLatency.count(), queueResults.m_maxPreemptionsOfTask);
        CHECK(queueResults.m_missedDeadlines == 0);
    }
}

// Guards against the starvation or endless preemption of less urgent work while urgent work keeps arriving and capacity is reserved for it.
// The failure occurs with batches and wide gangs beside a steady urgent load, on a fleet with capacity for all of them.
TEST_CASE("less urgent work meets its final deadline under a steady urgent load")
{
    const Duration end(240'000);
    for (const unsigned seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        checkFinalDeadlinesMet(simulateSustainableLoad(seed, end, 1.0), end);
    }
}

// Guards against tasks that are preempted each time they run and lose their work. The failure occurs under the same load after an eighth of
// the fleet is lost.
TEST_CASE("no task is preempted more than four times")
{
    const Duration end(240'000);
    auto fleet = guaranteedFleet();
    fleet.m_workersPerRack = 7;
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto results = simulatePlacement(fleet, sustainableLoad(seed, end, 1.0), end);
        for (const auto *queue : {"normal", "background"}) {
            CAPTURE(seed, queue);
            CHECK(queueResultsOf(results, queue, end).m_maxPreemptionsOfTask <= 4);
        }
    }
}

// Guards against the starvation of late work by newer work of the same rank. The failure occurs with batches whose stated estimate is a
// fifth of their run time, so that their estimated end soon exceeds the latency objective or the final deadline.
TEST_CASE("work with far too low estimates meets its final deadline")
{
    const Duration end(240'000);
    for (const unsigned seed : {1U, 2U, 3U}) {
        CAPTURE(seed);
        checkFinalDeadlinesMet(simulateSustainableLoad(seed, end, 0.2), end);
    }
}

} // namespace PrimroseBridge
