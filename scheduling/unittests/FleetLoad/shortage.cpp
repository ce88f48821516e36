#include "loadsimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <map>

namespace PrimroseBridge {

constexpr Duration end(180'000);
constexpr Duration burstStart(15'000);
constexpr Duration burstLength(6'000);

// A fleet of workers of the first deployment of docs/design/hard-load.md, whose arrival rates, sizes and run times the loads below have.
static SimulatedFleet fleetOf(int racks, int workersPerRack)
{
    return SimulatedFleet{.m_racks = racks, .m_workersPerRack = workersPerRack, .m_organisations = {}};
}

static JobKind urgentGangs()
{
    return JobKind{.m_queue = "urgent",
                   .m_organisation = {},
                   .m_perSecond = 7.3,
                   .m_meanTasks = 5.0,
                   .m_maxTasks = 30,
                   .m_accelerators = {1, 2, 4, 8},
                   .m_milliCores = 15'000,
                   .m_runTime = Duration(2500),
                   .m_estimate = Duration(2500),
                   .m_gang = true,
                   .m_sameRack = true};
}

static JobKind normalJobs()
{
    return JobKind{.m_queue = "normal",
                   .m_organisation = {},
                   .m_perSecond = 1.4,
                   .m_meanTasks = 13.0,
                   .m_maxTasks = 78,
                   .m_accelerators = {1, 2, 4, 8},
                   .m_milliCores = 52'000,
                   .m_runTime = Duration(11'000),
                   .m_estimate = Duration(11'000)};
}

static JobKind backgroundJobs()
{
    return JobKind{.m_queue = "background",
                   .m_organisation = {},
                   .m_perSecond = 2.1,
                   .m_meanTasks = 39.0,
                   .m_maxTasks = 234,
                   .m_accelerators = {1},
                   .m_milliCores = 11'000,
                   .m_runTime = Duration(6100),
                   .m_estimate = Duration(6100)};
}

// Divides the arrivals of a kind equally among ten organisations.
static std::vector<JobKind> dividedAmongOrganisations(const JobKind &kind)
{
    std::vector<JobKind> kinds;
    for (int organisation = 0; organisation < 10; ++organisation) {
        auto part = kind;
        part.m_organisation = "org" + std::to_string(organisation);
        part.m_perSecond /= 10.0;
        kinds.push_back(part);
    }
    return kinds;
}

// Adds arrivals at the given multiple of the kinds' rates during the burst.
static void addBurst(std::vector<SimulatedJob> &jobs, const std::vector<JobKind> &kinds, double factor, unsigned seed)
{
    auto faster = kinds;
    for (auto &kind : faster) {
        kind.m_perSecond *= factor - 1.0;
    }
    for (auto job : generateArrivals(faster, burstLength, seed + 1000)) {
        job.m_name = "burst-" + job.m_name;
        job.m_acceptedAt += burstStart;
        jobs.push_back(job);
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto &left, const auto &right) { return left.m_acceptedAt < right.m_acceptedAt; });
}

static std::vector<SimulatedJob> loadWithBurst(const std::vector<JobKind> &usual, const std::vector<JobKind> &burst, unsigned seed)
{
    std::vector<JobKind> kinds;
    for (const auto &kind : usual) {
        const auto divided = dividedAmongOrganisations(kind);
        kinds.insert(kinds.end(), divided.begin(), divided.end());
    }
    auto jobs = generateArrivals(kinds, Duration(45'000), seed);
    addBurst(jobs, burst, 2.5, seed);
    return jobs;
}

namespace {

// The jobs of one queue, summed over the seeds.
struct Served {
    int m_jobs = 0;
    int m_inTime = 0;
    int m_large = 0; // The largest tenth of the queue.
    int m_largeInTime = 0;
    int m_tooLate = 0; // Not complete by the final deadline.
    double m_longestWaitInObjectives = 0.0; // The longest time from acceptance to the end, less the run time, in latency objectives.
};

} // namespace

static std::int64_t workOf(const SimulatedJob &job)
{
    return job.m_tasks * std::max(job.m_accelerators * 16'000, job.m_milliCores);
}

static void addServed(Served &served, const std::vector<JobResult> &results, const std::string &queue)
{
    std::vector<std::int64_t> sizes;
    for (const auto &result : results) {
        if (result.m_job.m_queue == queue) {
            sizes.push_back(workOf(result.m_job));
        }
    }
    std::sort(sizes.begin(), sizes.end());
    const auto largeFrom = sizes.empty() ? 0 : sizes[sizes.size() * 9 / 10];
    for (const auto &result : results) {
        if (result.m_job.m_queue != queue) {
            continue;
        }
        const auto latency = result.m_completedAt.value_or(Instant() + end) - result.m_job.m_acceptedAt;
        const bool inTime = result.m_completedAt && latency <= latencyObjective(result.m_job);
        const bool large = workOf(result.m_job) >= largeFrom;
        ++served.m_jobs;
        served.m_inTime += inTime ? 1 : 0;
        served.m_large += large ? 1 : 0;
        served.m_largeInTime += inTime && large ? 1 : 0;
        served.m_tooLate += !result.m_completedAt || latency > timeToFinalDeadline(result.m_job) ? 1 : 0;
        const auto wait = static_cast<double>((latency - result.m_job.m_runTime).count());
        served.m_longestWaitInObjectives = std::max(served.m_longestWaitInObjectives, wait / static_cast<double>(latencyObjective(result.m_job).count()));
    }
}

static void print(const std::string &load, const std::string &queue, const std::string &order, const Served &served)
{
    std::cout << load << ", " << queue << " " << order << ": " << served.m_inTime << " of " << served.m_jobs << " in time, largest tenth "
              << served.m_largeInTime << " of " << served.m_large << ", too late " << served.m_tooLate << ", longest wait " << served.m_longestWaitInObjectives
              << " objectives\n";
}

// The load of three seeds on a fleet, and the results by queue in both orders, summed over the seeds.
struct Comparison {
    std::map<std::string, Served> m_before; // In order of acceptance.
    std::map<std::string, Served> m_after; // In the order under shortage.
};

// Simulates both orders and prints the results. Counts only the jobs of the other organisations if one is given.
static Comparison compareOrders(
    const std::string &name, const SimulatedFleet &fleet, const std::vector<JobKind> &usual, const std::vector<JobKind> &burst, const std::string &without = {})
{
    Comparison comparison;
    for (const unsigned seed : {1U, 2U, 3U}) {
        const auto jobs = loadWithBurst(usual, burst, seed);
        for (const auto order : {ShortageOrder::Acceptance, ShortageOrder::MostValue}) {
            auto results = simulatePlacement(fleet, jobs, end, order);
            std::erase_if(results, [&without](const auto &result) { return result.m_job.m_organisation == without; });
            auto &byQueue = order == ShortageOrder::Acceptance ? comparison.m_before : comparison.m_after;
            for (const auto &kind : usual) {
                addServed(byQueue[kind.m_queue], results, kind.m_queue);
            }
        }
    }
    for (const auto &[queue, results] : comparison.m_before) {
        print(name, queue, "in order of acceptance", results);
        print(name, queue, "in order under shortage", comparison.m_after.at(queue));
    }
    return comparison;
}

static int countInTime(const std::map<std::string, Served> &byQueue)
{
    int count = 0;
    for (const auto &[queue, results] : byQueue) {
        count += results.m_inTime;
    }
    return count;
}

static void checkMoreInTime(const Comparison &comparison, const std::string &queue)
{
    CHECK(comparison.m_after.at(queue).m_inTime > comparison.m_before.at(queue).m_inTime);
    CHECK(countInTime(comparison.m_after) > countInTime(comparison.m_before));
}

static void checkBounds(const Comparison &comparison)
{
    for (const auto &[queue, results] : comparison.m_after) {
        CAPTURE(queue);
        CHECK(2 * results.m_largeInTime * results.m_jobs >= results.m_inTime * results.m_large);
        CHECK(results.m_longestWaitInObjectives <= 1.5);
        CHECK(results.m_tooLate == 0);
    }
}

// Guards against an order under shortage that serves fewer callers in time than the order of acceptance, that gives up large jobs, or that starves
// work. The load is a burst of 2.5 of the normal class for 6 s while half of the first deployment is drained. The whole deployment serves this burst without a
// shortage.
TEST_CASE("a burst of normal work that exceeds the fleet leaves more callers in time than in order of acceptance")
{
    const std::vector<JobKind> usual = {urgentGangs(), normalJobs(), backgroundJobs()};
    const auto comparison = compareOrders("normal burst", fleetOf(10, 18), usual, dividedAmongOrganisations(normalJobs()));
    checkMoreInTime(comparison, "normal");
    checkBounds(comparison);
}

// Guards against the first two faults in a burst of 2.5 of the urgent class for 6 s. The fleet is one seventh of the first deployment, and no other
// class is present, because urgent work may preempt the others. No bound of the wait is checked, because urgent work does not age: gangs of up to
// 240 accelerators wait for nine objectives in either order.
TEST_CASE("a burst of urgent work that exceeds the fleet leaves no fewer callers in time than in order of acceptance")
{
    const auto comparison = compareOrders("urgent burst", fleetOf(2, 25), {urgentGangs()}, dividedAmongOrganisations(urgentGangs()));
    const auto &after = comparison.m_after.at("urgent");
    CHECK(after.m_inTime >= comparison.m_before.at("urgent").m_inTime);
    CHECK(2 * after.m_largeInTime * after.m_jobs >= after.m_inTime * after.m_large);
}

// Guards against one organisation's burst that makes the callers of the others late. The load is a burst of normal jobs, as large as one of 2.5
// of all organisations together, by one of ten while half of the first deployment is drained.
TEST_CASE("one organisation's burst delays others less than in order of acceptance")
{
    auto burst = normalJobs();
    burst.m_organisation = "org0";
    const std::vector<JobKind> usual = {urgentGangs(), normalJobs(), backgroundJobs()};
    checkMoreInTime(compareOrders("burst of one organisation, others", fleetOf(10, 16), usual, {burst}, "org0"), "normal");
}

} // namespace PrimroseBridge
