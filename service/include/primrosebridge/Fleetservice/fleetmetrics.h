#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Counters of an entry VM. docs/OPERATIONS.md lists names, units and alarms.
enum class FleetCounter {
    CallsAnswered, ///< Label: status.
    StartOrdersAnswered, ///< Label: how the worker answered.
    RunsEnded, ///< Label: how the run ended.
    StopsOrdered, ///< Label: reason.
    WorkerCallsUnanswered, ///< Counts calls that the worker may still execute seconds later. Label: call.
    RunsOutlivedLeases, ///< Counts runs that a worker lists although their leases should have ended.
    EndsMissing, ///< Counts lists of run ends in which numbers are missing that this owner has not acknowledged.
    TasksReleased, ///< Counts tasks that the owner places again without an end of their run. Label: reason.
    TasksPlacedAgain, ///< Counts starts of tasks whose former run was released without the word of its worker. Label: belief.
    JobsEnded, ///< Label: outcome.
    Takeovers,
    RecordsRefused, ///< Counts records that the store refused for what they hold.
    RecordsSkipped, ///< Counts entries of the store that cannot be decoded.
    StartsHeld, ///< Counts starts that were decided or due again and not sent because of zone drains. Label: reason.
    StepsPutOff, ///< Counts steps that wait because the capacity of their rank does not suffice for all work in time. Label: queue.
    StepWaitSeconds, ///< Sums the time in which steps have tasks that are not placed. Labels: rank, reason.
};

/// Histograms of durations in seconds.
enum class FleetHistogram {
    CallSeconds, ///< From the start of handling a caller's call to its answer.
    SubmissionDelaySeconds, ///< From the acceptance of a job until the owner has read it.
    StartOrderSeconds, ///< From sending a start order to the worker's answer.
    JobSeconds, ///< From the acceptance of a job to its recorded outcome.
    PassSeconds, ///< The duration of a placement pass.
};

/// Gauges of an entry VM.
enum class FleetGauge {
    OwnsFleet,
    ActiveJobs,
    WaitingSteps,
    Workers,
    LongestWaitSeconds, ///< The longest wait of any step with tasks that are not placed.
    FreeAccelerators, ///< Free accelerators of usable workers, limited by the scarcest resource of each worker.
    DrainedZones, ///< Zones that the operator has asked to drain.
    SlowMachines, ///< Machines whose learnt speed is below that of equal ones.
    FastMachines, ///< Machines whose learnt speed is above that of equal ones.
    ReservedAccelerators, ///< Free accelerators that are reserved for urgent work.
    LockedJobs, ///< Jobs of the previous owner that start nothing, because they may still run on workers that have not answered.
    ConfigurationVersion,
    StoreReads,
    StoreWrites,
    StoreRenewals,
    StoreWatches,
    StoreFailures,
    LogLinesDropped,
};

/// The metrics of this process, of which there is one instance. Thread-safe.
class FleetMetrics
{
public:
    static FleetMetrics &instance();

    /// Adds one to the counter; pass an empty label for counters without one.
    void increment(FleetCounter counter, std::string_view label = {});
    /// Adds @p amount to the counter. @p labels holds one value for each label that the counter has.
    void add(FleetCounter counter, double amount, std::initializer_list<std::string_view> labels);
    /// Adds an observation in seconds.
    void observe(FleetHistogram histogram, double seconds);
    void set(FleetGauge gauge, double value);
    /// Returns all metrics in Prometheus's text format.
    [[nodiscard]] std::string serialize() const;

private:
    FleetMetrics();
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
