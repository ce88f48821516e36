#pragma once

#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/request.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Policy/pass.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

class EventLog;
class Metrics;
class StoreClient;
class TimerService;

/// Who schedules which zone.
struct SchedulerSettings {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::int64_t m_incarnation;
    const PassSettings m_pass;

    bool operator==(const SchedulerSettings &) const = default;
};

/// What the scheduler asks of the rest of the process; called without any lock of the scheduler.
struct SchedulerCallbacks {
    const std::function<bool()> m_storeReachable;
    const std::function<bool(Instant)> m_mayCommand; ///< False while commands may not be sent to workers.
    const std::function<void(std::int64_t)> m_higherFence; ///< A worker has seen a higher fence.
    const std::function<void()> m_fenceLost; ///< The store refused a record because another owner has taken over.
};

/// A submission as it reaches the owner.
struct SubmitCall {
    const RequestKey m_key;
    const OrganisationId m_organisation;
    const JobClassId m_jobClass;
    const std::string m_payload;
    const Duration m_declaredRunTime; ///< 0 for the class's own.

    bool operator==(const SubmitCall &) const = default;
};

/// What the owner answers.
struct SchedulerAnswer {
    const Outcome m_outcome;
    const std::optional<ZoneId> m_otherZone; ///< Set if another zone's owner accepted the key earlier: ask there.

    bool operator==(const SchedulerAnswer &) const = default;
};

/// One worker as operators see it.
struct WorkerSummary {
    const Worker m_worker;
    const std::string m_status; ///< live, leaving, lost or recovering.
    const bool m_ejected;
    const AcceleratorSet m_usable;
    const AcceleratorSet m_free;
    const int m_tasks;

    bool operator==(const WorkerSummary &) const = default;
};

/// The owned zone as operators see it.
struct ZoneReport {
    const bool m_owned;
    const std::int64_t m_fence;
    const std::vector<WorkerSummary> m_workers;
    const std::vector<GuaranteeStatus> m_guarantees;
    const double m_fragmentation;
    const int m_queued;
    const int m_running;

    bool operator==(const ZoneReport &) const = default;
};

/// How a request stands, for explain.
struct JobReport {
    const std::string m_phase;
    const Outcome m_outcome;
    const std::vector<GangMember> m_members;
    const std::string m_rule; ///< Empty before the first decision.
    const std::string m_text;

    bool operator==(const JobReport &) const = default;
};

/// Owns one availability zone: accepts requests, places them, drives the workers and answers.
///
/// Stages on threads of their own, joined by queues: record, place, collect. Thread-safe.
class ZoneScheduler
{
public:
    /// Starts the stages; nothing is decided before startOwning().
    static Result<std::unique_ptr<ZoneScheduler>> create(const SchedulerSettings &settings,
                                                         const std::shared_ptr<StoreClient> &store,
                                                         const std::shared_ptr<TimerService> &timers,
                                                         EventLog &events,
                                                         Metrics &metrics,
                                                         const SchedulerCallbacks &callbacks);
    /// Stops the stages; waiting callers get what is known.
    ~ZoneScheduler();
    ZoneScheduler(const ZoneScheduler &) = delete;
    ZoneScheduler &operator=(const ZoneScheduler &) = delete;

    /// Ends the stages; calls after that are answered as if the zone were not owned. Called by the destructor as well.
    void shutDown();

    /// Puts a configuration in force. Precondition: versions do not go backwards.
    void applyConfiguration(const Configuration &configuration);
    /// This process owns the zone under @p fence: reads the records and asks every worker what it runs.
    void startOwning(Fence fence);
    /// This process no longer owns the zone: nothing more is sent, and waiting callers are told to ask the new owner.
    void stopOwning();
    /// Workers that the platform's list names as leaving.
    void setLeaving(const std::vector<std::string> &workers);

    /// Accepts a request, or joins the earlier one with the same key, and waits at most @p wait for a final outcome.
    /// Errors: Conflict if the key names a different request; QueueFull; NeverRunnable; Unavailable if this process does not own the
    /// zone or the record cannot be written now (certainly not run).
    Result<SchedulerAnswer> submit(const SubmitCall &call, Duration wait);
    /// Waits at most @p wait for a final outcome. NotFound if the owner does not know the key.
    Result<SchedulerAnswer> get(const RequestKey &key, const OrganisationId &organisation, Duration wait);
    /// Cancels and waits at most @p wait for the outcome. Errors as for get().
    Result<SchedulerAnswer> cancel(const RequestKey &key, const OrganisationId &organisation, Duration wait);
    /// Why the request waits or runs where it does. Errors as for get().
    Result<JobReport> explain(const RequestKey &key, const OrganisationId &organisation);

    /// The summary for heartbeats; empty if this process does not own the zone.
    [[nodiscard]] std::optional<ZoneSummary> summary(const std::string &peerAddress);
    /// The zone as operators see it.
    [[nodiscard]] ZoneReport report();
    /// True if no record waits to be written.
    [[nodiscard]] bool recordsWritten() const;

private:
    struct Private;
    explicit ZoneScheduler(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
