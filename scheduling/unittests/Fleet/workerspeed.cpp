#include "primrosebridge/Fleet/workerspeed.h"

#include "fleetbuilder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace PrimroseBridge {

namespace {

constexpr int machineCount = 350;
constexpr double slowSpeed = 0.7 / 1.7;

/// Runs steps of tasks on random machines; the tasks of a step differ by 30 percent, and 3 percent of them take seven times as long.
class RunSimulation
{
public:
    explicit RunSimulation(std::vector<double> speeds, double spread = 0.3)
        : m_speeds(std::move(speeds))
        , m_spread(spread)
    {
    }

    static std::string machine(std::size_t index)
    {
        return "m" + std::to_string(index);
    }

    /// Runs a step whose estimate is off by an unknown factor, so that only the rates within the step can be compared.
    void runStep(int tasks)
    {
        const auto job = std::to_string(m_jobs++);
        const auto duration = 2000.0 * std::exp(m_normal(m_random));
        for (int task = 0; task < tasks; ++task) {
            const auto index = m_machine(m_random) % m_speeds.size();
            const auto tail = m_uniform(m_random) < 0.03 ? 7.0 : 1.0;
            const auto factor = std::exp(m_spread * m_normal(m_random)) * tail / m_speeds[index];
            add(job, task, machine(index), static_cast<int>(duration * factor) + 200);
        }
        m_now += Duration(100);
    }

    void add(const std::string &job, int task, const std::string &machine, int runTimeMs)
    {
        addRunSample(m_estimates,
                     RunSample{.m_task = TaskReference{.m_job = job, .m_occurrence = 0, .m_step = 0, .m_index = task},
                               .m_runNumber = 1,
                               .m_machine = machine,
                               .m_percent = 100,
                               .m_startedAt = m_now,
                               .m_reachedAt = m_now + Duration(runTimeMs)},
                     m_now);
    }

    /// Runs steps of @p tasks until each machine has had @p runs runs on average.
    void runUntil(int runs, int tasks)
    {
        const auto steps = runs * static_cast<int>(m_speeds.size()) / tasks;
        for (int step = 0; step < steps; ++step) {
            runStep(tasks);
            if (step % 3 == 0) {
                updateSpeedEstimates(m_estimates, m_now);
            }
        }
        updateSpeedEstimates(m_estimates, m_now);
    }

    /// Returns the share of the machines from @p first to @p last whose speed for placement is in the range.
    [[nodiscard]] double shareWithin(std::size_t first, std::size_t last, double least, double most) const
    {
        int within = 0;
        for (auto index = first; index < last; ++index) {
            const auto speed = placementSpeed(m_estimates, machine(index));
            within += speed >= least && speed <= most ? 1 : 0;
        }
        return static_cast<double>(within) / static_cast<double>(last - first);
    }

    SpeedEstimates m_estimates;
    Instant m_now = fromMilliseconds(1'000'000);

private:
    std::vector<double> m_speeds;
    double m_spread;
    std::mt19937 m_random{7};
    std::normal_distribution<double> m_normal;
    std::uniform_real_distribution<double> m_uniform;
    std::uniform_int_distribution<std::size_t> m_machine;
    int m_jobs = 0;
};

} // namespace

// Guards against urgent gangs that run at the speed of a slow member: on the deployment with uneven workers, a third of the machines takes 1.7 of the
// stated time and the others 0.7.
TEST_CASE("machines of two speeds are told apart within a few runs")
{
    std::vector<double> speeds(machineCount, 1.0);
    const std::size_t slow = machineCount / 3;
    std::fill(speeds.begin(), speeds.begin() + slow, slowSpeed);
    RunSimulation simulation(speeds, 0.2);
    const int tasks = GENERATE(5, 13, 39);
    CAPTURE(tasks);
    simulation.runUntil(4, tasks);
    CHECK(simulation.shareWithin(0, slow, 0.3, 0.79) > 0.7);
    CHECK(simulation.shareWithin(slow, machineCount, 1.0, 1.0) > 0.85);
    simulation.runUntil(6, tasks);
    CHECK(simulation.shareWithin(0, slow, 0.3, 0.7) > 0.95);
    CHECK(simulation.shareWithin(slow, machineCount, 1.0, 1.0) > 0.9);
}

// Guards against decisions that change on a fleet of equal machines: because of wrong estimates, tasks that differ by 30 percent, and single ones that
// take seven times as long.
TEST_CASE("the speeds of equal machines stay exactly 1")
{
    const int tasks = GENERATE(3, 5, 39);
    const int machines = GENERATE(60, machineCount);
    CAPTURE(tasks, machines);
    RunSimulation simulation(std::vector<double>(static_cast<std::size_t>(machines), 1.0), 0.3);
    for (int round = 0; round < 10; ++round) {
        simulation.runUntil(2, tasks);
        CHECK(simulation.shareWithin(0, static_cast<std::size_t>(machines), 1.0, 1.0) == 1.0);
    }
}

// Guards against a machine that counts as slow after one task that took seven times as long.
TEST_CASE("a single slow run of a machine does not count, two do")
{
    RunSimulation simulation({1.0});
    const auto runStep = [&](const std::string &job, int runTimeMs) {
        simulation.add(job, 0, "suspect", runTimeMs);
        for (int task = 1; task < 5; ++task) {
            simulation.add(job, task, "m" + std::to_string(task), 1000);
        }
        updateSpeedEstimates(simulation.m_estimates, simulation.m_now);
    };
    runStep("tail", 7000);
    CHECK(placementSpeed(simulation.m_estimates, "suspect") == 1.0);
    SECTION("with a usual run after it")
    {
        runStep("usual", 1000);
        CHECK(placementSpeed(simulation.m_estimates, "suspect") == 1.0);
    }
    SECTION("with a slow run after it")
    {
        runStep("slow", 2400);
        // Shrunk by 2 / (2 + 1) from 0.42.
        CHECK(placementSpeed(simulation.m_estimates, "suspect") == Approx(std::pow(1 / 2.4, 2.0 / 3.0)).epsilon(0.001));
    }
}

// Guards against conclusions from runs that have nothing to be compared with.
TEST_CASE("a step with less than three runs, or with one machine, shows no speed")
{
    RunSimulation simulation({1.0});
    for (int job = 0; job < 4; ++job) {
        simulation.add("pair" + std::to_string(job), 0, "a", 1000);
        simulation.add("pair" + std::to_string(job), 1, "b", 9000);
        for (int task = 0; task < 3; ++task) {
            simulation.add("alone" + std::to_string(job), task, "c", 1000 + 5000 * task);
        }
    }
    updateSpeedEstimates(simulation.m_estimates, simulation.m_now);
    CHECK(simulation.m_estimates.m_machines.empty());
}

// Guards against a takeover after which every adopted run looks fast, because its new owner has not seen its start.
TEST_CASE("a run that is seen in progress is measured from there")
{
    RunSimulation simulation({1.0});
    const auto sample = [&](int task, std::int64_t reachedAtMs, int percent) {
        return RunSample{.m_task = TaskReference{.m_job = "job", .m_occurrence = 0, .m_step = 0, .m_index = task},
                         .m_runNumber = 1,
                         .m_machine = "m" + std::to_string(task),
                         .m_percent = percent,
                         .m_startedAt = simulation.m_now,
                         .m_reachedAt = simulation.m_now + Duration(reachedAtMs)};
    };
    for (int task = 0; task < 3; ++task) {
        addRunSample(simulation.m_estimates, sample(task, 1000, 20), simulation.m_now);
    }
    const auto adopted = sample(3, 0, 60);
    addRunInProgress(simulation.m_estimates, adopted.m_task, 1, "m3", 60, simulation.m_now);
    addRunSample(simulation.m_estimates, adopted, simulation.m_now);
    addRunSample(simulation.m_estimates, sample(3, 1000, 80), simulation.m_now);
    updateSpeedEstimates(simulation.m_estimates, simulation.m_now);
    CHECK(simulation.m_estimates.m_machines.at("m3").m_logSpeed == Approx(0.0).margin(0.01));
}

// Guards against samples that say nothing of the machine: those of a resumed run, of a run that reads its data from another rack, and of a member of a
// gang that waits for others.
TEST_CASE("runs whose speed depends on more than the machine are left out")
{
    FleetBuilder builder;
    builder.addRacks(1, 2).addRunningJob("gang", "urgent", TestStep{.m_tasks = 2, .m_gang = true}, {"w0-0", "w0-1"}, 90'000);
    const auto job = builder.input().m_jobs.front();
    const auto &step = job->m_spec->m_steps.front();
    const auto &state = *job->m_occurrences.front()->m_steps.front();
    const auto &task = *state.m_tasks.front();
    CHECK(isSpeedComparable(step, task, "r0"));
    const TaskReference first{.m_job = "gang", .m_occurrence = 0, .m_step = 0, .m_index = 0};
    const TaskReference second{.m_job = "gang", .m_occurrence = 0, .m_step = 0, .m_index = 1};
    const auto later = withTask(*job, second, taskInPhase(task, TaskPhase::Running, false, fromMilliseconds(91'000)));
    const auto &laterState = *later->m_occurrences.front()->m_steps.front();
    CHECK(progressSince(laterState, step, task) == fromMilliseconds(91'000));
    const auto waits = withTask(*job, second, waitingTask(task, fromMilliseconds(91'000)));
    CHECK_FALSE(progressSince(*waits->m_occurrences.front()->m_steps.front(), step, task));
    const auto resumed = reportedTask(task, task.m_assignedWorker, 2, "checkpoint", 10, fromMilliseconds(92'000));
    CHECK_FALSE(isSpeedComparable(step, *resumed, "r0"));
    const auto saving = reportedTask(task, task.m_assignedWorker, 1, "checkpoint", 10, fromMilliseconds(92'000));
    CHECK(isSpeedComparable(step, *saving, "r0"));
}

// Guards against memory that grows with the runs and machines of a long life.
TEST_CASE("the estimates forget ended steps and long unused machines, and are limited")
{
    RunSimulation simulation({1.0});
    for (std::size_t run = 0; run < SpeedLimits::maxRuns + 100; ++run) {
        simulation.add("job" + std::to_string(run / 4), static_cast<int>(run % 4), "m" + std::to_string(run), 1000);
    }
    CHECK(simulation.m_estimates.m_runCount == SpeedLimits::maxRuns);
    updateSpeedEstimates(simulation.m_estimates, simulation.m_now);
    CHECK(simulation.m_estimates.m_machines.size() == SpeedLimits::maxMachines);
    updateSpeedEstimates(simulation.m_estimates, simulation.m_now + Duration(20'000));
    CHECK(simulation.m_estimates.m_steps.empty());
    CHECK(simulation.m_estimates.m_runCount == 0);
    CHECK(simulation.m_estimates.m_machines.size() == SpeedLimits::maxMachines);
    updateSpeedEstimates(simulation.m_estimates, simulation.m_now + Duration(24 * 3'600'000));
    CHECK(simulation.m_estimates.m_machines.empty());
}

// Guards against a takeover after which the speeds have to be learnt anew, and against one that can never be corrected.
TEST_CASE("a new owner starts from the recorded estimates and corrects them")
{
    std::vector<double> speeds(60, 1.0);
    std::fill(speeds.begin(), speeds.begin() + 20, slowSpeed);
    RunSimulation before(speeds);
    before.runUntil(12, 13);
    const auto record = speedRecord(before.m_estimates, 1);
    RunSimulation after(speeds);
    after.m_estimates = speedsFromRecord(record);
    for (std::size_t index = 0; index < speeds.size(); ++index) {
        const auto machine = RunSimulation::machine(index);
        CHECK(placementSpeed(after.m_estimates, machine) == Approx(placementSpeed(before.m_estimates, machine)));
    }
    for (int round = 0; round < 4; ++round) {
        after.runUntil(1, 13);
        CHECK(after.shareWithin(0, 20, 0.3, 0.79) > 0.9);
    }
    RunSimulation replaced(std::vector<double>(speeds.size(), 1.0));
    replaced.m_estimates = speedsFromRecord(record);
    replaced.runUntil(12, 13);
    CHECK(replaced.shareWithin(0, speeds.size(), 1.0, 1.0) == 1.0);
}

} // namespace PrimroseBridge
