#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// What a VM of a fleet counts. docs/OPERATIONS.md lists names, units and alarms.
enum class FleetCounter {
    CallsAnswered, ///< Label: status.
    StartOrdersAnswered, ///< Start orders. Label: how the worker answered.
    RunsEnded, ///< Label: how.
    StopsOrdered, ///< Label: reason.
    JobsEnded, ///< Label: outcome.
    Takeovers,
    RecordsSkipped, ///< Entries of the store that cannot be read.
    StepWaitSeconds, ///< Of steps with tasks without a place. Labels: rank, reason.
};

/// Durations whose distribution is kept, in seconds.
enum class FleetHistogram {
    CallSeconds, ///< A caller's call, from its decoding to its answer.
    SubmissionDelaySeconds, ///< From the acceptance of a job until the owner knows it.
    StartOrderSeconds, ///< From a start order to its answer.
    JobSeconds, ///< From the acceptance of a job to its recorded outcome.
    PassSeconds, ///< One placement pass.
};

/// What a VM measures as of now.
enum class FleetGauge {
    OwnsFleet,
    ActiveJobs,
    WaitingSteps,
    Workers,
    LongestWaitSeconds, ///< In seconds, of the steps that have tasks without a place.
    FreeAccelerators, ///< Of usable workers; the scarcest resource of each counts.
    ReservedAccelerators, ///< Of the free ones, what only urgent work may take.
    LockedJobs, ///< Known before this VM became the owner; they may still run on workers that have not answered.
    ConfigurationVersion,
    StoreReads,
    StoreWrites,
    StoreRenewals,
    StoreWatches,
    StoreFailures,
    LogLinesDropped,
};

/// The metrics of this process. One set for each process; thread-safe.
class FleetMetrics
{
public:
    static FleetMetrics &instance();

    void count(FleetCounter counter, std::string_view label = {});
    /// Adds @p amount to the counter with one label value for each label that it has.
    void add(FleetCounter counter, double amount, std::initializer_list<std::string_view> labels);
    void observe(FleetHistogram histogram, double seconds);
    void set(FleetGauge gauge, double value);
    /// Everything in Prometheus's text format.
    [[nodiscard]] std::string serialize() const;

private:
    FleetMetrics();
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
