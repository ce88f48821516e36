#include "workload.h"

#include <algorithm>
#include <cmath>

namespace PrimroseBridge {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/// One job class with its arrivals. Shapes are drawn with equal probability from the list.
struct ClassLoad {
    const JobClass m_class;
    const std::vector<Shape> m_shapes;
    const double m_perHour;
    const int m_burst; ///< Jobs in one burst.
    const bool m_small;
};

static Shape shape(int accelerators, Adjacency adjacency)
{
    return {accelerators, adjacency, accelerators * 2, accelerators * 4096};
}

static JobClass jobClass(const char *name, Tier tier, const Shape &usual, bool checkpointable, bool restartable, Duration runTime)
{
    return {JobClassId::create(name).value(), tier, usual, restartable, true, checkpointable, restartable, runTime, runTime * 3, 5};
}

static std::vector<ClassLoad> classesOf(Deployment deployment)
{
    const Shape one = shape(1, Adjacency::SameWorker);
    const Shape two = shape(2, Adjacency::SameWorker);
    const Shape eight = shape(8, Adjacency::SameWorker);
    const Shape sixteen = shape(16, Adjacency::SameRack);
    const Shape large = shape(32, Adjacency::SameRack);
    if (deployment == Deployment::Zwolle) {
        const std::vector<Shape> curves = {eight, eight, eight, eight, eight, eight, eight, sixteen, sixteen, large};
        return {{jobClass("kiln-curve", Tier::Standard, eight, true, false, hours(2)), curves, 1.8, 8, false},
                {jobClass("glaze-check", Tier::Urgent, one, false, true, minutes(2)), {one}, 120, 300, true},
                {jobClass("crack-scan", Tier::Batch, one, false, false, minutes(30)), {one, two}, 24, 100, true}};
    }
    const std::vector<Shape> profiles = {eight, eight, eight, eight, eight, sixteen, sixteen, large};
    return {{jobClass("fermentation-profile", Tier::Standard, eight, true, false, minutes(90)), profiles, 3, 8, false},
            {jobClass("moisture-check", Tier::Urgent, one, false, true, minutes(1)), {one}, 200, 300, true},
            {jobClass("spectral-batch", Tier::Batch, two, true, true, minutes(20)), {two, shape(3, Adjacency::SameWorker)}, 30, 100, true}};
}

static std::vector<Worker> workersOf(Deployment deployment)
{
    const bool zwolle = deployment == Deployment::Zwolle;
    const int perRack = zwolle ? 6 : 8;
    std::vector<Worker> workers;
    workers.reserve(2 * perRack);
    for (int i = 0; i < 2 * perRack; ++i) {
        workers.push_back({WorkerId::create("w" + std::to_string(100 + i)).value(),
                           ZoneId::create("zone").value(),
                           RackId::create("r" + std::to_string(i / perRack)).value(),
                           zwolle ? 32 : 128,
                           zwolle ? 131'072 : 262'144,
                           8,
                           "127.0.0.1:1"});
    }
    return workers;
}

static std::vector<Organisation> organisations()
{
    const std::vector<double> weights = {4, 3, 1, 1};
    std::vector<Organisation> result;
    result.reserve(weights.size());
    for (int i = 0; i < 4; ++i) {
        result.push_back({OrganisationId::create("org" + std::to_string(i)).value(), weights[i], 1000, 100'000, ""});
    }
    return result;
}

static std::vector<Guarantee> guaranteesOf(Deployment deployment, const std::vector<Organisation> &all)
{
    const ZoneId zone = ZoneId::create("zone").value();
    const Shape eight = shape(8, Adjacency::SameWorker);
    const Shape large = shape(deployment == Deployment::Zwolle ? 16 : 32, Adjacency::SameRack);
    return {{all[0].m_id, zone, large, 1, minutes(1), 1}, {all[1].m_id, zone, eight, 2, minutes(1), 2}};
}

static Duration varied(std::mt19937 &random, Duration mean)
{
    const double factor = std::lognormal_distribution<double>(-0.08, 0.4)(random);
    return Duration(std::llround(static_cast<double>(mean.count()) * std::clamp(factor, 0.2, 3.0)));
}

static Duration declaredFor(std::mt19937 &random, Duration actual, Scenario scenario)
{
    if (scenario != Scenario::WrongSizes) {
        return actual;
    }
    const double factor = std::pow(10.0, std::uniform_real_distribution<double>(-1, 1)(random));
    return Duration(std::llround(static_cast<double>(actual.count()) * factor));
}

static int drawOrganisation(std::mt19937 &random)
{
    return std::discrete_distribution<int>({4, 3, 1, 1})(random);
}

/// Times of arrival of one class: a Poisson process and the bursts of the scenario.
static std::vector<Instant> arrivalTimes(std::mt19937 &random, const ClassLoad &load, Scenario scenario, Instant start, Instant end)
{
    std::vector<Instant> times;
    std::exponential_distribution<double> gap(load.m_perHour / 3'600'000.0);
    for (Instant at = start + Duration(std::llround(gap(random))); at < end; at += Duration(1 + std::llround(gap(random)))) {
        times.push_back(at);
    }
    const bool bursts = (scenario == Scenario::SmallBursts && load.m_small) || (scenario == Scenario::LargeBursts && !load.m_small);
    for (Instant at = start + hours(1); bursts && at < end; at += hours(3)) {
        for (int i = 0; i < load.m_burst; ++i) {
            times.push_back(at + seconds(std::uniform_int_distribution<int>(0, 59)(random)));
        }
    }
    std::sort(times.begin(), times.end());
    return times;
}

static std::vector<Arrival> arrivalsOf(std::mt19937 &random, Deployment deployment, Scenario scenario, Instant start, Instant end)
{
    const auto all = organisations();
    const auto loads = classesOf(deployment);
    std::vector<std::pair<Instant, int>> times;
    for (int index = 0; index < static_cast<int>(loads.size()); ++index) {
        for (const auto at : arrivalTimes(random, loads[index], scenario, start, end)) {
            times.emplace_back(at, index);
        }
    }
    std::sort(times.begin(), times.end());
    std::vector<Arrival> arrivals;
    for (const auto &[at, index] : times) {
        const auto &load = loads[index];
        const auto &drawn = load.m_shapes[std::uniform_int_distribution<std::size_t>(0, load.m_shapes.size() - 1)(random)];
        const Duration actual = varied(random, load.m_class.m_expectedRunTime);
        const auto key = RequestKey::create("j" + std::to_string(100'000 + arrivals.size())).value();
        arrivals.push_back({at, key, all[drawOrganisation(random)].m_id, load.m_class, drawn, declaredFor(random, actual, scenario), actual});
    }
    return arrivals;
}

/// A quarter of the workers lose half of their accelerators or leave, spread over the day.
static std::vector<FleetChange> shrinkage(int workers, Instant start, Instant end)
{
    std::vector<FleetChange> changes;
    const int lost = workers / 4;
    for (int i = 0; i < lost; ++i) {
        const Instant at = start + (end - start) * (i + 1) / (lost + 2);
        const bool leaves = i % 2 == 1;
        changes.push_back(
            {at, i * 4 + 1, leaves ? AcceleratorSet(0xff) : AcceleratorSet(0x5f), leaves ? BackendServerStatus::Draining : BackendServerStatus::Live});
    }
    return changes;
}

const char *deploymentName(Deployment deployment)
{
    return deployment == Deployment::Zwolle ? "Zwolle" : "Stara Zagora";
}

const char *scenarioName(Scenario scenario)
{
    switch (scenario) {
    case Scenario::NormalDay:
        return "normal day";
    case Scenario::SmallBursts:
        return "bursts of small jobs";
    case Scenario::LargeBursts:
        return "bursts of large jobs";
    case Scenario::WrongSizes:
        return "wrong declared run times";
    case Scenario::ShrinkingFleet:
        return "shrinking fleet";
    case Scenario::FailingWorkers:
        return "failing workers";
    }
    return "";
}

Workload makeWorkload(Deployment deployment, Scenario scenario, unsigned seed)
{
    std::mt19937 random(seed);
    const Instant start = fromMilliseconds(1'764'800'000'000);
    const Instant end = start + (deployment == Deployment::Zwolle ? hours(24) : hours(10));
    auto workers = workersOf(deployment);
    auto all = organisations();
    auto guarantees = guaranteesOf(deployment, all);
    auto changes = scenario == Scenario::ShrinkingFleet ? shrinkage(static_cast<int>(workers.size()), start, end) : std::vector<FleetChange>();
    auto failing = scenario == Scenario::FailingWorkers ? std::vector<int>{2, 9} : std::vector<int>();
    const ObjectiveWeights weights = deployment == Deployment::Zwolle ? ObjectiveWeights{0.7, 0.3} : ObjectiveWeights{0.3, 0.7};
    auto arrivals = arrivalsOf(random, deployment, scenario, start, end);
    return {std::move(workers), std::move(all), std::move(guarantees), weights, std::move(arrivals), std::move(changes), std::move(failing), start, end};
}

} // namespace PrimroseBridge
