#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Counters of this process. Their names and help texts are in metrics.cpp.
enum class Counter {
    RequestsSubmitted, ///< Label: job class.
    Outcomes, ///< Label: outcome.
    Decisions, ///< Label: rule.
    AnswersDropped, ///< Label: the check that failed.
    AttemptsStarted, ///< Label: job class.
    Retries, ///< Label: tier.
    AdmissionsRefused, ///< Label: organisation.
    Takeovers,
    StoreCalls, ///< Label: kind.
};

/// Gauges of this process.
enum class Gauge {
    QueuedJobs,
    RunningJobs,
    FreeAccelerators,
    Fragmentation,
    ConfigurationVersion,
    OwnsZone,
    StoreReachable,
    PeersAlive,
    ResidentMemoryBytes,
    HeartbeatBytes,
};

/// Histograms of durations in seconds.
enum class Histogram {
    WaitSeconds, ///< From submission to the start of the first attempt. Label: job class.
    PassSeconds,
    ReclaimSeconds, ///< From the command to give back reclaimed capacity until it is free.
};

/// The metrics of this process.
///
/// Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds one to the counter with the label value @p label; pass an empty label for counters without one.
    void increment(Counter counter, std::string_view label = {});
    /// Raises the counter with the label value @p label to @p total, which is counted elsewhere. A lower total changes nothing.
    void raiseTo(Counter counter, std::string_view label, double total);
    void set(Gauge gauge, double value);
    /// Adds an observation in seconds; pass an empty label for histograms without one.
    void observe(Histogram histogram, double seconds, std::string_view label = {});
    /// Returns all metrics in Prometheus's text format.
    [[nodiscard]] std::string serialize() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
