#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Model/time.h"
#include "primrosebridge/Progress/jobstate.h"
#include "primrosebridge/Work/job.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// The estimated speed of a machine.
struct WorkerSpeed {
    const double m_relative; ///< Speed relative to the typical machine of the fleet: at 0.5, tasks take twice as long. Not shrunk yet.
    const double m_weight; ///< Decayed number of comparable runs.

    bool operator==(const WorkerSpeed &) const = default;
};

/// The estimates that outlive an owner, by machine.
struct SpeedRecord {
    const std::int64_t m_version;
    /// Number of runs at which an estimate counts half, see SpeedEstimates::m_runsForHalfWeight.
    const double m_runsForHalfWeight = 1.0;
    const std::map<std::string, WorkerSpeed> m_speeds = {};

    bool operator==(const SpeedRecord &) const = default;
};

/// Limits of the estimates, so that neither many machines nor many runs exhaust the memory of a VM.
struct SpeedLimits {
    static constexpr std::size_t maxMachines = 2000;
    static constexpr std::size_t maxSamplesPerMachine = 8;
    static constexpr std::size_t maxRuns = 20'000; ///< Runs that are measured at a time; further ones are not.
    static constexpr double minRelative = 0.01;
    static constexpr double maxRelative = 100.0;
    static constexpr double maxWeight = 1000.0;
};

/// Identifies the runs that are compared with each other: those of one step of one occurrence of a job.
struct ComparedStep {
    const std::string m_job;
    const std::int64_t m_occurrence;
    const int m_step;

    bool operator==(const ComparedStep &) const = default;
    auto operator<=>(const ComparedStep &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// One run whose speed is measured.
struct MeasuredRun {
    std::int64_t m_sequence; ///< Increases with each run that is measured.
    std::string m_machine;
    int m_startPercent = 0; ///< Progress at which the measurement began; above 0 if this owner did not see the start of the run.
    std::optional<Instant> m_startedAt; ///< Boot clock; when the run had m_startPercent, if that is above 0.
    std::optional<double> m_logRate; ///< Logarithm of percent per millisecond; empty until the run can be measured.
    bool m_counted = false; ///< The run is part of MachineSamples::m_weight.

    bool operator==(const MeasuredRun &) const = default;
};

/// The runs of one step.
struct MeasuredStep {
    std::map<std::pair<int, std::int64_t>, MeasuredRun> m_runs; ///< By index of the task and run number.
    Instant m_lastSeenAt; ///< Boot clock; when a run of the step was last seen.

    bool operator==(const MeasuredStep &) const = default;
};

/// The newest measurements of one machine.
struct MachineSamples {
    std::map<std::int64_t, double> m_logSpeeds; ///< Logarithm of the relative speed by MeasuredRun::m_sequence; negative numbers come from the record.
    double m_logSpeed = 0.0; ///< Logarithm of the estimate; see updateSpeedEstimates().
    double m_weight = 0.0; ///< Decayed number of comparable runs.

    bool operator==(const MachineSamples &) const = default;
};

/// The learnt speeds of machines and the measurements behind them.
struct SpeedEstimates {
    std::map<std::string, MachineSamples> m_machines;
    std::map<ComparedStep, MeasuredStep> m_steps;
    std::size_t m_runCount = 0; ///< Number of runs in m_steps.
    std::int64_t m_nextSequence = 0;
    /// Number of runs at which the shrunk estimate lies half way between 1 and the measured speed. It is 1 if machines differ at least as much as the
    /// runs on one machine, and grows as the differences between machines disappear in those between runs.
    double m_runsForHalfWeight = 1.0;
    bool m_spreadMeasured = false; ///< m_runsForHalfWeight comes from measurements of this owner or the previous one.
    std::optional<Instant> m_updatedAt; ///< Boot clock; weights decay from here.

    bool operator==(const SpeedEstimates &) const = default;
};

/// One measurement of a run.
struct RunSample {
    const TaskReference m_task;
    const std::int64_t m_runNumber;
    const std::string m_machine;
    const int m_percent; ///< 100 for a run that has ended as done.
    const Instant m_startedAt; ///< Boot clock; since when the run makes progress. Ignored after addRunInProgress().
    const Instant m_reachedAt; ///< Boot clock; when the owner learnt of m_percent.

    bool operator==(const RunSample &) const = default;
};

/// Returns the name under which the speed of the worker's hardware is kept: the machine, or the worker's identifier if no machine is reported.
/// Thread-safe.
std::string machineOf(const WorkerReport &report);

/// Returns true if the speed of a run on a worker in @p rack says something about its machine: not for long-running tasks, runs outside the rack
/// of their data, and runs that may have resumed from a checkpoint. Thread-safe.
bool isSpeedComparable(const JobStep &step, const TaskState &task, const std::string &rack);

/// Returns from when on the running task makes progress: since its start, or for a member of a gang, since the start of the last member. Empty if the
/// task is not running or waits for other members. Thread-safe.
std::optional<Instant> progressSince(const StepState &state, const JobStep &step, const TaskState &task);

/// Measures the run from @p percent on, because the owner has not seen its start. Not thread-safe.
void addRunInProgress(SpeedEstimates &estimates, const TaskReference &task, std::int64_t runNumber, const std::string &machine, int percent, Instant now);

/// Adds a measurement, which replaces the earlier ones of the run. Samples that are too short to be exact are ignored. Not thread-safe.
void addRunSample(SpeedEstimates &estimates, const RunSample &sample, Instant now);

/// Computes the estimates from all measurements, and drops the measurements of steps of which no run has been seen for a while.
///
/// Each call is one round of a median polish, which goes on with the next call: the rate of a step is the median of its runs, each divided by the known speed
/// of its machine; the speed of a machine is the median of its newest runs, each divided by the rate of its step. Not thread-safe.
void updateSpeedEstimates(SpeedEstimates &estimates, Instant now);

/// Returns the speed of the machine for placement: shrunk towards 1, and exactly 1 if unknown or within the range of noise, 0.8 to 1.25.
/// Thread-safe as long as the estimates do not change.
double placementSpeed(const SpeedEstimates &estimates, const std::string &machine);

/// Returns the estimates to record, of machines with at least two measured runs. Thread-safe as long as the estimates do not change.
SpeedRecord speedRecord(const SpeedEstimates &estimates, std::int64_t version);

/// Returns the estimates of a new owner from those that the previous one has recorded. Thread-safe.
SpeedEstimates speedsFromRecord(const SpeedRecord &record);

} // namespace PrimroseBridge
