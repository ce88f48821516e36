#include "primrosebridge/Fleet/workerspeed.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <numeric>

namespace PrimroseBridge {

// Whole percents are too coarse to measure the speed in a shorter time.
static constexpr Duration minProgressTime(600);
// Progress is reported in whole percents: at 4 percent the error is up to a quarter, as much as the tasks of a step differ.
static constexpr int minProgressPercent = 4;
// The time of a shorter run consists mostly of the delays of calls.
static constexpr Duration minRunTime(100);
static constexpr std::size_t minRunsToCompare = 3;
// A single run may be one of the few that take several times as long as others.
static constexpr std::size_t minSamples = 2;
// Tasks of a step that wait for capacity start seconds after the others, and the speeds of machines that are learnt meanwhile improve the comparison.
static constexpr Duration stepRetention(5'000);
static constexpr Duration weightHalfLife(1'800'000);
static constexpr double minWeight = 0.25;
// A recorded estimate counts as this many runs in the median, so that a few more runs of the machine can overturn it.
static constexpr int maxRecordedSamples = 4;
// Differences of up to a quarter are noise: the tasks of one step differ by 15 to 30 percent.
static constexpr double minNoticeableRatio = 1.25;
// A machine that deviates this much over as many runs as its median covers does so by more than chance, also if no other machine does: with tasks that
// differ by 30 percent, less than one in 10,000 equal machines would. The weight of eight runs has decayed a little.
static constexpr double decisiveRatio = 1.75;
static constexpr double decisiveWeight = 7.5;
// Machines needed to tell differences between machines from those between runs.
static constexpr std::size_t minMachinesForSpread = 8;
// After a takeover, so many machines, or half of the known ones, must have been measured again before the recorded value is replaced.
static constexpr std::size_t sufficientMachinesForSpread = 30;
// Larger deviations come from single tasks that take several times as long, and would hide the differences between machines.
static constexpr double maxLogDeviation = 1.2;

std::string machineOf(const WorkerReport &report)
{
    return report.m_machine.empty() ? report.m_incarnation.m_worker : report.m_machine;
}

bool isSpeedComparable(const JobStep &step, const TaskState &task, const std::string &rack)
{
    const bool mayHaveResumed = task.m_runNumber > 1 && !task.m_checkpoint.empty();
    const bool remote = !step.m_dataRack.empty() && step.m_dataRack != rack;
    return !step.m_longRunning && !mayHaveResumed && !remote;
}

std::optional<Instant> progressSince(const StepState &state, const JobStep &step, const TaskState &task)
{
    if (task.m_phase != TaskPhase::Running) {
        return std::nullopt;
    }
    if (!step.m_gang) {
        return task.m_phaseSince;
    }
    auto since = task.m_phaseSince;
    for (const auto &member : state.m_tasks) {
        if (member->m_phase != TaskPhase::Running) {
            return std::nullopt;
        }
        since = std::max(since, member->m_phaseSince);
    }
    return since;
}

static MeasuredRun *measuredRun(SpeedEstimates &estimates, const TaskReference &task, std::int64_t runNumber, const std::string &machine, Instant now)
{
    const ComparedStep key{.m_job = task.m_job, .m_occurrence = task.m_occurrence, .m_step = task.m_step};
    const auto run = std::pair(task.m_index, runNumber);
    const auto known = estimates.m_steps.find(key);
    const bool isNew = known == estimates.m_steps.end() || !known->second.m_runs.contains(run);
    if (isNew && estimates.m_runCount >= SpeedLimits::maxRuns) {
        return nullptr;
    }
    auto &step = estimates.m_steps[key];
    step.m_lastSeenAt = now;
    if (isNew) {
        ++estimates.m_runCount;
        step.m_runs.emplace(
            run,
            MeasuredRun{
                .m_sequence = estimates.m_nextSequence++, .m_machine = machine, .m_startPercent = 0, .m_startedAt = std::nullopt, .m_logRate = std::nullopt});
    }
    return &step.m_runs.at(run);
}

void addRunInProgress(SpeedEstimates &estimates, const TaskReference &task, std::int64_t runNumber, const std::string &machine, int percent, Instant now)
{
    if (auto *run = measuredRun(estimates, task, runNumber, machine, now)) {
        run->m_machine = machine;
        run->m_startPercent = percent;
        run->m_startedAt = now;
        run->m_logRate.reset();
    }
}

void addRunSample(SpeedEstimates &estimates, const RunSample &sample, Instant now)
{
    auto *run = measuredRun(estimates, sample.m_task, sample.m_runNumber, sample.m_machine, now);
    const auto shortest = sample.m_percent < 100 ? minProgressTime : minRunTime;
    if (!run || run->m_machine != sample.m_machine) {
        return;
    }
    const auto elapsed = sample.m_reachedAt - run->m_startedAt.value_or(sample.m_startedAt);
    const auto progress = sample.m_percent - run->m_startPercent;
    if (progress < minProgressPercent || elapsed < shortest) {
        return;
    }
    run->m_logRate = std::log(static_cast<double>(progress) / static_cast<double>(elapsed.count()));
}

static double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return values.size() % 2 == 1 ? *middle : (*middle + *std::max_element(values.begin(), middle)) / 2;
}

// Returns the median; of an even number of values, the one of the two in the middle that is nearer to 0, so that of two runs a single one that takes
// several times as long does not count.
static double cautiousMedian(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto upper = values[values.size() / 2];
    const auto lower = values[(values.size() - 1) / 2];
    return std::abs(lower) < std::abs(upper) ? lower : upper;
}

static std::vector<double> valuesOf(const std::map<std::int64_t, double> &samples)
{
    std::vector<double> values;
    values.reserve(samples.size());
    for (const auto &[sequence, value] : samples) {
        values.push_back(value);
    }
    return values;
}

static bool isKnown(const MachineSamples &machine)
{
    return machine.m_logSpeeds.size() >= minSamples;
}

// Returns the samples of the machine, or null if they are not kept because of the limit.
static MachineSamples *machineSamples(SpeedEstimates &estimates, const std::string &machine)
{
    const auto found = estimates.m_machines.find(machine);
    if (found != estimates.m_machines.end()) {
        return &found->second;
    }
    return estimates.m_machines.size() < SpeedLimits::maxMachines ? &estimates.m_machines[machine] : nullptr;
}

static void setSample(MachineSamples &machine, MeasuredRun &run, double logSpeed)
{
    machine.m_logSpeeds.insert_or_assign(run.m_sequence, logSpeed);
    if (machine.m_logSpeeds.size() > SpeedLimits::maxSamplesPerMachine) {
        machine.m_logSpeeds.erase(machine.m_logSpeeds.begin());
    }
    if (!run.m_counted) {
        run.m_counted = true;
        machine.m_weight = std::min(machine.m_weight + 1.0, SpeedLimits::maxWeight);
    }
}

// Compares the runs of a step with each other. Runs on one machine alone say nothing about the speed of machines.
static void compareRuns(SpeedEstimates &estimates, MeasuredStep &step)
{
    std::vector<MeasuredRun *> runs;
    for (auto &[key, run] : step.m_runs) {
        if (run.m_logRate) {
            runs.push_back(&run);
        }
    }
    const bool severalMachines = std::any_of(runs.begin(), runs.end(), [&runs](const auto *run) { return run->m_machine != runs.front()->m_machine; });
    if (runs.size() < minRunsToCompare || !severalMachines) {
        return;
    }
    std::vector<MachineSamples *> machines;
    std::vector<double> rates;
    for (const auto *run : runs) {
        auto *machine = machineSamples(estimates, run->m_machine);
        machines.push_back(machine);
        rates.push_back(*run->m_logRate - (machine && isKnown(*machine) ? machine->m_logSpeed : 0.0));
    }
    const auto stepRate = median(std::move(rates));
    for (std::size_t index = 0; index < runs.size(); ++index) {
        if (machines[index]) {
            setSample(*machines[index], *runs[index], *runs[index]->m_logRate - stepRate);
        }
    }
}

// Returns the median of the shortest range that holds more than half of the values. While a third of the machines is slow, the median of all lies at
// the lower edge of the others. Precondition: there is a value.
static double typicalValue(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto half = values.size() / 2;
    std::size_t first = 0;
    for (std::size_t index = 1; index + half < values.size(); ++index) {
        if (values[index + half] - values[index] < values[first + half] - values[first]) {
            first = index;
        }
    }
    return values[first + half / 2];
}

// Shifts all speeds so that the typical machine has the speed 1.
static void centreSpeeds(SpeedEstimates &estimates)
{
    std::vector<double> speeds;
    for (const auto &[name, machine] : estimates.m_machines) {
        if (isKnown(machine)) {
            speeds.push_back(machine.m_logSpeed);
        }
    }
    if (speeds.empty()) {
        return;
    }
    const auto typical = typicalValue(std::move(speeds));
    for (auto &[name, machine] : estimates.m_machines) {
        machine.m_logSpeed -= typical;
        for (auto &[sequence, value] : machine.m_logSpeeds) {
            value -= typical;
        }
    }
}

// Compares the differences between machines with those between runs on one machine.
//
// The covariance of two halves of the runs of each machine is the variance between machines, because the differences between runs are independent. It
// counts only as far as it exceeds twice its standard error, so that the speeds of equal machines stay 1 however much their runs differ.
static void updateRunsForHalfWeight(SpeedEstimates &estimates)
{
    std::vector<double> products;
    std::vector<double> squares;
    std::size_t machines = 0;
    for (const auto &[name, machine] : estimates.m_machines) {
        std::vector<double> measured;
        for (const auto &[sequence, value] : machine.m_logSpeeds) {
            if (sequence >= 0) {
                measured.push_back(std::clamp(value, -maxLogDeviation, maxLogDeviation));
            }
        }
        machines += measured.size() >= 2 ? 1 : 0;
        for (std::size_t index = 0; index + 1 < measured.size(); index += 2) {
            products.push_back(measured[index] * measured[index + 1]);
            squares.push_back((measured[index] * measured[index] + measured[index + 1] * measured[index + 1]) / 2);
        }
    }
    if (machines < std::clamp(estimates.m_machines.size() / 2, minMachinesForSpread, sufficientMachinesForSpread)) {
        const bool mayBeEqual = !estimates.m_spreadMeasured && estimates.m_machines.size() >= minMachinesForSpread;
        estimates.m_runsForHalfWeight = mayBeEqual ? std::numeric_limits<double>::infinity() : estimates.m_runsForHalfWeight;
        return;
    }
    estimates.m_spreadMeasured = true;
    const auto count = static_cast<double>(products.size());
    const auto covariance = std::accumulate(products.begin(), products.end(), 0.0) / count;
    const auto variance = std::accumulate(squares.begin(), squares.end(), 0.0) / count;
    double deviations = 0.0;
    for (const auto product : products) {
        deviations += (product - covariance) * (product - covariance);
    }
    const auto betweenMachines = covariance - 2 * std::sqrt(deviations) / count;
    estimates.m_runsForHalfWeight = betweenMachines > 0 ? std::max((variance - covariance) / betweenMachines, 1.0) : std::numeric_limits<double>::infinity();
}

static void decayWeights(SpeedEstimates &estimates, Instant now)
{
    const auto elapsed = estimates.m_updatedAt ? std::max(now - *estimates.m_updatedAt, Duration(0)) : Duration(0);
    estimates.m_updatedAt = now;
    const auto factor = std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(weightHalfLife.count()));
    for (auto &[name, machine] : estimates.m_machines) {
        machine.m_weight *= factor;
    }
    std::erase_if(estimates.m_machines, [](const auto &entry) { return entry.second.m_weight < minWeight; });
}

void updateSpeedEstimates(SpeedEstimates &estimates, Instant now)
{
    decayWeights(estimates, now);
    std::erase_if(estimates.m_steps, [&estimates, now](const auto &entry) {
        const bool expired = now - entry.second.m_lastSeenAt > stepRetention;
        estimates.m_runCount -= expired ? entry.second.m_runs.size() : 0;
        return expired;
    });
    for (auto &[key, step] : estimates.m_steps) {
        compareRuns(estimates, step);
    }
    for (auto &[name, machine] : estimates.m_machines) {
        machine.m_logSpeed = machine.m_logSpeeds.empty() ? 0.0 : cautiousMedian(valuesOf(machine.m_logSpeeds));
    }
    centreSpeeds(estimates);
    updateRunsForHalfWeight(estimates);
}

double placementSpeed(const SpeedEstimates &estimates, const std::string &machine)
{
    const auto found = estimates.m_machines.find(machine);
    if (found == estimates.m_machines.end() || !isKnown(found->second)) {
        return 1.0;
    }
    const auto weight = found->second.m_weight;
    const auto logSpeed = found->second.m_logSpeed;
    const bool decisive = weight >= decisiveWeight && std::abs(logSpeed) >= std::log(decisiveRatio);
    const auto speed = std::exp(logSpeed * weight / (weight + (decisive ? 1.0 : estimates.m_runsForHalfWeight)));
    return speed >= 1 / minNoticeableRatio && speed <= minNoticeableRatio ? 1.0 : speed;
}

SpeedRecord speedRecord(const SpeedEstimates &estimates, std::int64_t version)
{
    std::map<std::string, WorkerSpeed> speeds;
    for (const auto &[name, machine] : estimates.m_machines) {
        if (isKnown(machine)) {
            const auto relative = std::clamp(std::exp(machine.m_logSpeed), SpeedLimits::minRelative, SpeedLimits::maxRelative);
            speeds.emplace(name, WorkerSpeed{.m_relative = relative, .m_weight = machine.m_weight});
        }
    }
    return SpeedRecord{.m_version = version, .m_runsForHalfWeight = estimates.m_runsForHalfWeight, .m_speeds = std::move(speeds)};
}

SpeedEstimates speedsFromRecord(const SpeedRecord &record)
{
    SpeedEstimates estimates;
    estimates.m_runsForHalfWeight = record.m_runsForHalfWeight;
    estimates.m_spreadMeasured = !record.m_speeds.empty();
    for (const auto &[name, speed] : record.m_speeds) {
        MachineSamples machine{.m_logSpeeds = {}, .m_logSpeed = std::log(speed.m_relative), .m_weight = speed.m_weight};
        const auto samples = std::clamp(static_cast<int>(speed.m_weight), static_cast<int>(minSamples), maxRecordedSamples);
        for (int sample = 1; sample <= samples; ++sample) {
            machine.m_logSpeeds.emplace(-sample, machine.m_logSpeed);
        }
        estimates.m_machines.emplace(name, std::move(machine));
    }
    return estimates;
}

} // namespace PrimroseBridge
