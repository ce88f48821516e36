#include "fleetbuilder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

namespace PrimroseBridge {

static std::vector<std::string> startedJobs(const PlacementDecisions &decisions)
{
    std::vector<std::string> jobs;
    for (const auto &start : decisions.m_starts) {
        if (jobs.empty() || jobs.back() != start.m_task.m_job) {
            jobs.push_back(start.m_task.m_job);
        }
    }
    return jobs;
}

static std::set<std::string> putOffJobs(const PlacementInput &input, const PlacementDecisions &decisions)
{
    std::set<std::string> jobs;
    for (const auto &step : decisions.m_putOff) {
        jobs.insert(input.m_jobs[step.m_job]->m_spec->m_id);
    }
    return jobs;
}

static bool areEqual(const PlacementDecisions &left, const PlacementDecisions &right)
{
    return left.m_starts == right.m_starts && left.m_stops == right.m_stops && left.m_waiting == right.m_waiting;
}

// An urgent gang that needs one whole worker for each task.
static TestStep wholeWorkers(int tasks)
{
    return TestStep{.m_tasks = tasks, .m_accelerators = 8, .m_gang = true};
}

static PlacementInput withUse(const PlacementInput &input, const std::map<std::string, double> &use)
{
    return PlacementInput{.m_now = input.m_now,
                          .m_wallNow = input.m_wallNow,
                          .m_configuration = input.m_configuration,
                          .m_jobs = input.m_jobs,
                          .m_workers = input.m_workers,
                          .m_remoteFactor = input.m_remoteFactor,
                          .m_lockedJobs = input.m_lockedJobs,
                          .m_reclaimDelay = input.m_reclaimDelay,
                          .m_urgentDemand = input.m_urgentDemand,
                          .m_organisationUse = OrganisationUse{.m_acceleratorSeconds = use, .m_updatedAt = input.m_now}};
}

// Guards against a large job, accepted first, that makes many small callers late when an urgent burst exceeds the fleet.
TEST_CASE("under shortage the job that saves callers least for its capacity is put off")
{
    FleetBuilder builder;
    builder.addRacks(1, 4).addJob("large", "urgent", wholeWorkers(4));
    for (const auto *name : {"a", "b", "c", "d"}) {
        builder.addJob(name, "urgent", wholeWorkers(1));
    }
    const auto input = builder.input();
    const auto decisions = decidePlacement(input);
    CHECK(startedJobs(decisions) == std::vector<std::string>{"a", "b", "c", "d"});
    CHECK(putOffJobs(input, decisions) == std::set<std::string>{"large"});
    REQUIRE(decisions.m_shortages.size() == 1);
    CHECK(decisions.m_shortages.front()
          == RankShortage{.m_pool = "pool", .m_rank = UrgencyRank::Urgent, .m_neededAccelerators = 64.0, .m_availableAccelerators = 32.0});
    CHECK(startedJobs(decidePlacement(input, ShortageOrder::Acceptance)) == std::vector<std::string>{"large"});
}

// Guards against any other effect than under shortage. The load is a waiting mix of all ranks, ages and sizes that fits the fleet, as on a
// deployment without a burst; capacity that urgent work may preempt counts as available for it.
TEST_CASE("without shortage the order is that of acceptance")
{
    FleetBuilder builder;
    builder.setGuarantee("org", 16).addRacks(2, 8);
    for (int worker = 0; worker < 8; ++worker) {
        builder.addRunningJob("running-" + std::to_string(worker), "background", {.m_accelerators = 4}, {"w0-" + std::to_string(worker)}, 99'000);
    }
    for (int job = 0; job < 4; ++job) {
        builder.setJobAge(job * 3000).addJob("urgent-" + std::to_string(job), "urgent", wholeWorkers(job % 2 + 1), job % 2 == 0 ? "org" : "other");
        builder.addJob("normal-" + std::to_string(job), "normal", {.m_tasks = 2, .m_accelerators = 2});
        builder.addJob("background-" + std::to_string(job), "background", {.m_tasks = 4 - job});
    }
    const auto input = withUse(builder.input(), {{"org", 1000.0}});
    const auto decisions = decidePlacement(input);
    CHECK(decisions.m_shortages.empty());
    CHECK(decisions.m_putOff.empty());
    CHECK(!decisions.m_starts.empty());
    CHECK(areEqual(decisions, decidePlacement(input, ShortageOrder::Acceptance)));
}

// Guards against a shortage because of work that no worker can run, such as a job that can never be done, on a fleet with enough capacity for the rest.
TEST_CASE("work that no worker can run causes no shortage")
{
    FleetBuilder builder;
    builder.addRacks(1, 4).addJob("impossible", "urgent", wholeWorkers(8));
    builder.addJob("x", "urgent", wholeWorkers(2)).addJob("y", "urgent", wholeWorkers(1));
    const auto decisions = decidePlacement(builder.input());
    CHECK(decisions.m_shortages.empty());
    CHECK(startedJobs(decisions) == std::vector<std::string>{"x", "y"});
}

// Guards against a shortage because of a reserve that is held on fast workers only, while slow ones are free for the work that waits.
TEST_CASE("the urgent reserve takes nothing from slow workers that do not hold it")
{
    FleetBuilder builder;
    builder.addRacks(1, 4).setWorkerSpeed(0.4);
    for (int index = 0; index < 4; ++index) {
        const auto number = std::to_string(index);
        builder.addWorker("slow" + number, "r1").addRunningJob("running" + number, "urgent", {.m_accelerators = 8}, {"w0-" + number}, 99'000);
    }
    builder.setUrgentDemandPeak(40, 8).addJob("waiting", "normal", {.m_tasks = 4, .m_accelerators = 8});
    const auto decisions = decidePlacement(builder.input());
    CHECK(decisions.m_shortages.empty());
    CHECK(decisions.m_starts.size() == 4);
}

// Guards against urgent work that counts on the capacity of runs that may not be stopped, so that a shortage is not seen.
TEST_CASE("runs that may not be stopped do not count as available for urgent work")
{
    FleetBuilder builder;
    builder.addRacks(1, 4).addRunningJob("service", "background", {.m_tasks = 3, .m_accelerators = 8, .m_maxUnavailable = 1}, {"w0-0", "w0-1", "w0-2"}, 99'000);
    builder.addJob("large", "urgent", wholeWorkers(2)).addJob("a", "urgent", wholeWorkers(1)).addJob("b", "urgent", wholeWorkers(1));
    CHECK_FALSE(decidePlacement(builder.input()).m_shortages.empty());
}

// Guards against the same on random mixes of free, running and waiting work: a pass that finds no shortage must decide as in order of acceptance.
TEST_CASE("passes without a shortage decide as in order of acceptance on random mixes")
{
    int withoutShortage = 0;
    int withShortage = 0;
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        const auto below = [&random](unsigned limit) { return static_cast<int>(random() % limit); };
        const std::vector<std::string> queues = {"urgent", "normal", "background"};
        FleetBuilder builder;
        builder.setGuarantee("org0", 16).addRacks(2, 6);
        for (int worker = 0; worker < 6; ++worker) {
            builder.addRunningJob("running-" + std::to_string(worker),
                                  queues[random() % 3],
                                  {.m_accelerators = 1 + below(6)},
                                  {"w" + std::to_string(below(2)) + "-" + std::to_string(worker)},
                                  95'000 + below(5000));
        }
        for (int job = below(15); job >= 0; --job) {
            const TestStep step{.m_tasks = 1 + below(5), .m_accelerators = 1 + below(8), .m_gang = below(2) == 0, .m_estimateMs = 1000 + below(5000)};
            builder.setJobAge(below(20'000)).addJob("job-" + std::to_string(job), queues[random() % 3], step, "org" + std::to_string(below(3)));
        }
        const auto input = withUse(builder.input(), {{"org1", 100.0}});
        const auto decisions = decidePlacement(input);
        ++(decisions.m_shortages.empty() ? withoutShortage : withShortage);
        CAPTURE(seed);
        CHECK((!decisions.m_shortages.empty() || areEqual(decisions, decidePlacement(input, ShortageOrder::Acceptance))));
        CHECK((!decisions.m_shortages.empty() || decisions.m_putOff.empty()));
    }
    CHECK(withoutShortage > 50);
    CHECK(withShortage > 50);
}

// Guards against a shortage that free workers of another pool hide. The failure occurs with several pools of which one is full.
TEST_CASE("only workers of its pool count as available for waiting work")
{
    FleetBuilder builder;
    builder.addRacks(1, 4).addJob("large", "urgent", wholeWorkers(4)).addJob("small", "urgent", wholeWorkers(1));
    const auto input = builder.input();
    auto workers = input.m_workers;
    for (const auto &worker : input.m_workers) {
        const auto &report = *worker.m_report;
        workers.push_back(PlacementWorker{
            .m_report = std::make_shared<const WorkerReport>(WorkerReport{.m_incarnation = {.m_worker = report.m_machine + "-other", .m_startedAtMs = 1},
                                                                          .m_machine = report.m_machine + "-other",
                                                                          .m_address = report.m_address,
                                                                          .m_pool = "other",
                                                                          .m_zone = report.m_zone,
                                                                          .m_rack = report.m_rack,
                                                                          .m_labels = report.m_labels,
                                                                          .m_capacity = report.m_capacity,
                                                                          .m_draining = false,
                                                                          .m_leavesIn = std::nullopt,
                                                                          .m_softwareVersion = {},
                                                                          .m_reportedAtClockMs = std::nullopt}),
            .m_incarnation = std::make_shared<const WorkerIncarnation>(WorkerIncarnation{.m_worker = report.m_machine + "-other", .m_startedAtMs = 1}),
            .m_usable = true,
            .m_isolated = false});
    }
    const PlacementInput twoPools{.m_now = input.m_now,
                                  .m_wallNow = input.m_wallNow,
                                  .m_configuration = input.m_configuration,
                                  .m_jobs = input.m_jobs,
                                  .m_workers = workers,
                                  .m_remoteFactor = input.m_remoteFactor,
                                  .m_lockedJobs = {}};
    const auto decisions = decidePlacement(twoPools);
    REQUIRE(decisions.m_shortages.size() == 1);
    CHECK(decisions.m_shortages.front().m_pool == "pool");
    CHECK(startedJobs(decisions) == std::vector<std::string>{"small"});
}

// Guards against guaranteed work that loses its place to cheaper work when an urgent burst exceeds the fleet.
TEST_CASE("guaranteed work keeps its place under shortage")
{
    FleetBuilder builder;
    builder.setGuarantee("org", 32).addRacks(1, 4);
    builder.addJob("small", "urgent", wholeWorkers(1), "other").addJob("guaranteed", "urgent", wholeWorkers(4));
    CHECK(startedJobs(decidePlacement(builder.input())) == std::vector<std::string>{"guaranteed"});
}

// Guards against the starvation of a large job while smaller ones keep arriving in a long burst.
TEST_CASE("aged work comes first under shortage")
{
    FleetBuilder builder;
    builder.addRacks(1, 4).setJobAge(14'000).addJob("large", "normal", wholeWorkers(4)).setJobAge(0);
    for (const auto *name : {"a", "b", "c", "d"}) {
        builder.addJob(name, "normal", wholeWorkers(1));
    }
    CHECK(startedJobs(decidePlacement(builder.input())) == std::vector<std::string>{"large"});
}

// Guards against equal jobs that overtake each other. The failure occurs with two equal jobs and capacity for one.
TEST_CASE("of equal jobs the older one is kept")
{
    FleetBuilder builder;
    builder.addRacks(1, 1).addJob("older", "normal", wholeWorkers(1)).addJob("newer", "normal", wholeWorkers(1));
    CHECK(startedJobs(decidePlacement(builder.input())) == std::vector<std::string>{"older"});
}

// Guards against one organisation's burst that delays the work of others which was accepted later.
TEST_CASE("among equal jobs those of the organisation with the least recent use are kept")
{
    FleetBuilder builder;
    builder.addRacks(1, 4);
    for (const auto *name : {"burst-1", "burst-2", "burst-3", "burst-4"}) {
        builder.addJob(name, "urgent", wholeWorkers(1), "busy");
    }
    builder.addJob("other-1", "urgent", wholeWorkers(1), "idle").addJob("other-2", "urgent", wholeWorkers(1), "idle");
    const auto input = withUse(builder.input(), {{"busy", 500.0}});
    const auto starts = startedJobs(decidePlacement(input));
    CHECK(std::count(starts.begin(), starts.end(), "other-1") == 1);
    CHECK(std::count(starts.begin(), starts.end(), "other-2") == 1);
    CHECK(starts.size() == 4);
}

// Guards against a use that never fades, or that a takeover forgets: the new owner starts from what runs at present.
TEST_CASE("recent use decays with a half-life of 10 s")
{
    FleetBuilder builder;
    builder.addRacks(1, 1).addRunningJob("job", "normal", {.m_tasks = 1, .m_accelerators = 4}, {"w0-0"}, 90'000, "busy");
    const auto first = updatedOrganisationUse(builder.input());
    CHECK(first.m_acceleratorSeconds.at("busy") == Approx(4.0 * 10.0 / 0.6931).epsilon(0.01));
    FleetBuilder empty;
    empty.addRacks(1, 1);
    const auto input = empty.input();
    const PlacementInput later{.m_now = input.m_now + Duration(10'000),
                               .m_wallNow = input.m_wallNow,
                               .m_configuration = input.m_configuration,
                               .m_jobs = {},
                               .m_workers = input.m_workers,
                               .m_remoteFactor = 1.0,
                               .m_lockedJobs = {},
                               .m_organisationUse = first};
    CHECK(updatedOrganisationUse(later).m_acceleratorSeconds.at("busy") == Approx(first.m_acceleratorSeconds.at("busy") / 2.0));
}

} // namespace PrimroseBridge
