#include "primrosebridge/Placement/guaranteeplan.h"
#include "primrosebridge/Placement/reclaim.h"
#include "primrosebridge/Policy/pass.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>

using namespace PrimroseBridge;

/// Sizes at the target scale; the argument of each benchmark scales them in quarters.
constexpr int targetWorkers = 420;
constexpr int targetTeams = 230;
constexpr int targetTasks = 1800;
/// Jobs waiting: a day's 250 jobs at once.
constexpr int targetQueue = 250;

static const Instant start = fromMilliseconds(1'000'000'000);

static std::string numbered(const char *prefix, int number)
{
    return prefix + std::to_string(100'000 + number);
}

/// Every twelfth worker has five accelerators and the others one, which gives the 560 of the target scale.
static int acceleratorsOf(int worker)
{
    return worker % 12 == 0 ? 5 : 1;
}

static std::vector<WorkerState> makeWorkers(int count)
{
    std::vector<WorkerState> workers;
    workers.reserve(count);
    for (int i = 0; i < count; ++i) {
        workers.push_back({{WorkerId::create(numbered("w", i)).value(),
                            ZoneId::create("z").value(),
                            RackId::create(numbered("r", i / 12)).value(),
                            64,
                            262'144,
                            acceleratorsOf(i),
                            "127.0.0.1:1"},
                           BackendServerStatus::Live,
                           firstAccelerators(acceleratorsOf(i)),
                           false});
    }
    return workers;
}

static std::vector<Organisation> makeTeams(int count)
{
    std::vector<Organisation> teams;
    teams.reserve(count);
    for (int i = 0; i < count; ++i) {
        teams.push_back({OrganisationId::create(numbered("team", i)).value(), 1.0 + i % 3, 64, 1000, ""});
    }
    return teams;
}

/// Every fifth team is guaranteed two accelerators.
static std::vector<Guarantee> makeGuarantees(const std::vector<Organisation> &teams)
{
    std::vector<Guarantee> guarantees;
    for (std::size_t i = 0; i < teams.size(); i += 5) {
        const Shape shape{i % 10 == 0 ? 2 : 4, Adjacency::SameRack, 2, 1024};
        guarantees.push_back({teams[i].m_id, ZoneId::create("z").value(), shape, 1, std::chrono::minutes(1), static_cast<int>(i)});
    }
    return guarantees;
}

static Shape drawShape(std::mt19937 &random)
{
    const int accelerators = std::discrete_distribution<int>({30, 30, 15, 0, 10, 0, 0, 0, 10})(random);
    return {accelerators, accelerators <= 1 ? Adjacency::SameWorker : Adjacency::Nearest, 2, 2048};
}

static std::vector<QueuedJob> makeQueue(std::mt19937 &random, const std::vector<Organisation> &teams, int count, const char *prefix)
{
    std::vector<QueuedJob> queue;
    for (int i = 0; i < count; ++i) {
        const auto &team = teams[std::uniform_int_distribution<std::size_t>(0, teams.size() - 1)(random)];
        const auto tier = static_cast<Tier>(std::discrete_distribution<int>({20, 50, 30})(random));
        queue.push_back({RequestKey::create(numbered(prefix, i)).value(),
                         1,
                         team.m_id,
                         JobClassId::create("class").value(),
                         tier,
                         drawShape(random),
                         std::chrono::minutes(std::uniform_int_distribution<int>(5, 300)(random)),
                         i % 3 == 0,
                         i % 3 == 1,
                         start - std::chrono::minutes(std::uniform_int_distribution<int>(0, 120)(random))});
    }
    return queue;
}

static ZoneState withRunning(const ZoneState &state, std::vector<Allocation> allocations, std::vector<QueuedJob> queue)
{
    return {state.m_zone, state.m_workers, std::move(allocations), std::move(queue), state.m_guarantees, state.m_organisations, state.m_weights};
}

/// 1,800 tasks: those with accelerators as the pass places them, the rest with cores only, spread over the workers.
static std::vector<Allocation> makeRunning(std::mt19937 &random, const ZoneState &empty, int count)
{
    const auto &teams = empty.m_organisations;
    const auto jobs = makeQueue(random, teams, count, "run");
    const PassSettings unlimited{std::chrono::minutes(10), std::chrono::hours(10), count};
    const auto placed = runPass(withRunning(empty, {}, jobs), unlimited, start);
    std::vector<Allocation> allocations;
    for (const auto &placement : placed.m_placements) {
        const auto &job = *std::find_if(jobs.begin(), jobs.end(), [&](const QueuedJob &one) { return one.m_key == placement.m_key; });
        allocations.push_back({job.m_key,
                               1,
                               job.m_organisation,
                               job.m_jobClass,
                               job.m_tier,
                               job.m_shape,
                               placement.m_members,
                               start - std::chrono::minutes(30),
                               job.m_expectedRunTime,
                               job.m_checkpointable,
                               job.m_restartable,
                               false});
    }
    const Shape cores{0, Adjacency::SameWorker, 1, 512};
    for (int i = static_cast<int>(allocations.size()); i < count; ++i) {
        const auto &worker = empty.m_workers[i % empty.m_workers.size()].m_worker;
        allocations.push_back({RequestKey::create(numbered("cpu", i)).value(),
                               1,
                               teams[i % teams.size()].m_id,
                               JobClassId::create("class").value(),
                               Tier::Batch,
                               cores,
                               {{worker.m_id, 0, 1, 512}},
                               start - std::chrono::minutes(30),
                               std::chrono::hours(2),
                               true,
                               false,
                               false});
    }
    return allocations;
}

static ZoneState makeState(int quarters)
{
    std::mt19937 random(20261204);
    const auto teams = makeTeams(targetTeams * quarters / 4);
    const ZoneState empty{ZoneId::create("z").value(), makeWorkers(targetWorkers * quarters / 4), {}, {}, makeGuarantees(teams), teams, {0.5, 0.5}};
    auto running = makeRunning(random, empty, targetTasks * quarters / 4);
    return withRunning(empty, std::move(running), makeQueue(random, teams, targetQueue * quarters / 4, "wait"));
}

static Capacity freeOf(const ZoneState &state, const FleetIndex &fleet)
{
    std::vector<Slots> occupied;
    for (const auto &allocation : state.m_allocations) {
        occupied.push_back(slotsOf(fleet, allocation.m_members));
    }
    return withoutAll(usableCapacity(state.m_workers), occupied);
}

static void onePlacement(benchmark::State &run)
{
    const auto workers = makeWorkers(targetWorkers * static_cast<int>(run.range(0)) / 4);
    const auto fleet = indexFleet(workers);
    const auto capacity = usableCapacity(workers);
    const Shape shape{32, Adjacency::Nearest, 64, 65'536};
    for (auto step : run) {
        benchmark::DoNotOptimize(fit(fleet, capacity, shape));
    }
    run.SetComplexityN(run.range(0));
}

static void reclaimPlan(benchmark::State &run)
{
    const auto state = makeState(static_cast<int>(run.range(0)));
    const auto fleet = indexFleet(state.m_workers);
    const auto usable = usableCapacity(state.m_workers);
    const auto free = freeOf(state, fleet);
    const auto holdings = holdingsOf(state, fleet);
    std::vector<const Slots *> groups;
    for (const auto &holding : holdings) {
        if (holding.m_reclaimable) {
            groups.push_back(&holding.m_slots);
        }
    }
    const Shape shape{12, Adjacency::SameRack, 12, 12'288};
    for (auto step : run) {
        benchmark::DoNotOptimize(fitAfterRelease(fleet, usable, free, groups, {}, shape));
    }
    run.SetComplexityN(run.range(0));
}

static void guaranteePlan(benchmark::State &run)
{
    const auto state = makeState(static_cast<int>(run.range(0)));
    const auto fleet = indexFleet(state.m_workers);
    const auto usable = usableCapacity(state.m_workers);
    const auto holdings = holdingsOf(state, fleet);
    std::vector<int> order;
    const auto claims = claimsOf(state, order);
    for (auto step : run) {
        benchmark::DoNotOptimize(planGuarantees(fleet, usable, holdings, claims));
    }
    run.SetComplexityN(run.range(0));
}

static void fullPass(benchmark::State &run)
{
    const auto state = makeState(static_cast<int>(run.range(0)));
    const auto settings = defaultPassSettings();
    PassResult last = runPass(state, settings, start);
    for (auto step : run) {
        benchmark::DoNotOptimize(runPass(state, settings, start));
    }
    run.counters["placements"] = static_cast<double>(last.m_placements.size());
    run.counters["releases"] = static_cast<double>(last.m_releases.size());
    run.SetComplexityN(run.range(0));
}

// The argument is the scale in quarters: 1 is 0.25 times the target scale, 64 is 16 times.
BENCHMARK(onePlacement)->Arg(1)->Arg(4)->Arg(16)->Arg(64)->Unit(benchmark::kMicrosecond)->Complexity();
BENCHMARK(reclaimPlan)->Arg(1)->Arg(4)->Arg(16)->Arg(64)->Unit(benchmark::kMicrosecond)->Complexity();
BENCHMARK(guaranteePlan)->Arg(1)->Arg(4)->Arg(16)->Arg(64)->Unit(benchmark::kMicrosecond)->Complexity();
BENCHMARK(fullPass)->Arg(1)->Arg(4)->Arg(16)->Arg(64)->Unit(benchmark::kMicrosecond)->Complexity();

BENCHMARK_MAIN();
