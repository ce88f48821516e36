#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Fleetwire/workerorders.h"
#include "primrosebridge/Model/time.h"
#include "primrosebridge/Work/job.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// The properties of a simulated worker that stay the same over its incarnations.
struct SimulatedWorkerSettings {
    std::string m_identifier;
    std::string m_machine;
    std::string m_zone;
    std::string m_rack;
    std::string m_pool = "pool"; ///< Name of the worker pool.
    std::string m_address; ///< Empty for an address of the worker's own.
    Resources m_capacity{.m_milliCores = 32000, .m_memoryMb = 131072, .m_accelerators = 8};
    Duration m_longestLease{3000}; ///< A longer task lease is shortened to this.
    Duration m_stopTime{300}; ///< From a stop order to the end of the run; at most 900 ms on the platform.
    Duration m_gangTimeout{3000}; ///< A gang member ends as GangMembersMissing if it waits this long for the others.
    double m_clockRate = 1.0; ///< Speed of the worker's clock, from 0.98 to 1.
};

/// How an order or a report request reached a worker.
struct OrderDelivery {
    bool m_late = false; ///< The sender got no answer, and the worker executed the call seconds later.
    bool m_afterRestart = false; ///< The worker has crashed or restarted since the call was sent.
    bool m_onLaterConnection = false; ///< There was no connection that OrderTarget::m_connectedBefore allows.
    /// Set by the worker for a start: its process had not yet accepted a report request, those that it executed late aside. Until then no owner
    /// can have made the process refuse calls that were meant for its predecessor.
    bool m_beforeFirstAnswer = false;
    Instant m_sentAt = {}; ///< When the call left its sender, on the simulation's clock.

    bool operator==(const OrderDelivery &) const = default;
};

/// One run of a task on a simulated worker.
struct SimulatedRun {
    TaskReference m_task;
    std::int64_t m_runNumber = 0;
    std::string m_worker;
    std::int64_t m_incarnation = 0; ///< Start of the worker, as in WorkerIncarnation::m_startedAtMs.
    std::int64_t m_fence = 0; ///< Fence of the start order.
    std::string m_sender; ///< The VM that sent the start order.
    Instant m_startedAt;
    OrderDelivery m_delivery = {}; ///< Of the start order.
    std::optional<Instant> m_endedAt;
    std::optional<RunEndKind> m_endKind; ///< Empty if the run goes on, or if its worker has crashed or left.
    std::optional<Instant> m_acknowledgedAt; ///< When a report request acknowledged the end, while the lease still held.

    bool operator==(const SimulatedRun &) const = default;
};

/// The workers of a simulated fleet, as the platform's protocol describes them, with time as a value. Not thread-safe.
///
/// Every call first brings the workers to @p now, which must not decrease. A gang runs across workers, so one object holds them all. Calls do
/// not fail by themselves: loss, delay and late execution of calls are up to the caller, which may make a call long after it was sent.
///
/// Where the protocol leaves a choice, the workers do what is harder for the scheduler: a run that is ordered to stop still ends as done or failed if
/// its work ends first; a worker starts a run although another run of the same task, which was not ordered to stop, goes on there; and a
/// restarted worker executes calls that were sent to its earlier incarnation. A start of a run that is there, or that has
/// ended, is answered Accepted or Outdated even if its lease end has passed. Leases lapse before runs end at the same time. Checkpoints are always empty.
class SimulatedWorkers
{
public:
    explicit SimulatedWorkers(std::vector<JobSpecPointer> jobs);
    ~SimulatedWorkers();
    SimulatedWorkers(const SimulatedWorkers &) = delete;
    SimulatedWorkers &operator=(const SimulatedWorkers &) = delete;

    /// Starts a worker for the first time. @p startedAtMs is its Unix time in its entry and in its run reports.
    void startWorker(const SimulatedWorkerSettings &settings, std::int64_t startedAtMs, Instant now);
    /// Starts the worker again under its identifier: it runs and knows nothing, and has seen no fence. Precondition: it is down.
    void restartWorker(const std::string &worker, std::int64_t startedAtMs, Instant now);
    /// Ends the worker and everything that runs on it, without an end in any report.
    void crashWorker(const std::string &worker, Instant now);
    /// The worker's entry and reports say from now on that it drains; it goes on until the caller ends it.
    void drainWorker(const std::string &worker, Duration remaining, Instant now);
    [[nodiscard]] bool isUp(const std::string &worker) const;
    /// Makes each later run of @p task take @p runTime and end as @p kind (Done or Failed). By default, runs take their step's estimate and are
    /// done, and long-running ones do not end by themselves. A gang that is not failed by a member ends when the slowest member is done.
    void setRunResult(const TaskReference &task, Duration runTime, RunEndKind kind);

    /// The worker's entry in the store as of the last call. Precondition: the worker is up.
    [[nodiscard]] WorkerReportPointer entry(const std::string &worker) const;
    /// Orders go to the worker at the address of @p target, or by identifier if no worker has had that address; NotSent if that worker is down.
    /// Malformed if no job has the task.
    OrderReply startOrder(const OrderTarget &target, const StartOrder &order, const std::string &sender, const OrderDelivery &delivery, Instant now);
    OrderReply stopOrder(const OrderTarget &target, const TaskReference &task, std::int64_t runNumber, Instant now);
    /// Applies the fence, the lease end and the acknowledgement of a request and returns the report as of now; RunReportRequest::m_wait is up to
    /// the caller, see endCount().
    RunReportReply report(const OrderTarget &target, const RunReportRequest &request, const OrderDelivery &delivery, Instant now);
    /// Returns the report as of now without applying a request: what a delayed answer to report() contains.
    RunReportReply currentReport(const std::string &worker, Instant now);
    /// Number of ends that the incarnation has counted so far. A report request that waits is answered when it changes.
    [[nodiscard]] std::int64_t endCount(const std::string &worker) const;
    /// The next time at which a run ends, a lease lapses or a gang gives up, if any.
    [[nodiscard]] std::optional<Instant> nextChange() const;
    /// Brings the workers to @p now.
    void advance(Instant now);
    /// Every run so far, in the order of their starts.
    [[nodiscard]] const std::vector<SimulatedRun> &history() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// A time in which the operator's request to drain a zone was in the store.
struct ZoneDrainTime {
    std::string m_zone;
    Instant m_from;
    Instant m_until;
};

/// A broken rule in a history of runs.
struct RuleViolation {
    std::string m_rule; ///< TWICE, BUDGET, ORDER, GANG or DRAIN.
    Instant m_at;
    std::string m_text;

    bool operator==(const RuleViolation &) const = default;
};

/// Returns the violations in @p history up to @p now, in the order of time. Thread-safe.
///
/// TWICE and BUDGET are reported at the start that breaks them, although an end that is acknowledged later may decide, so a later call may
/// return violations at earlier times. A start is reported once for each rule, and takes logarithmic time. Not checked, because a history does not tell which
/// VMs were in touch: the time bounds of TWICE and BUDGET, among them all of these rules for speculative steps, and ORDER's due times, which are on a wall
/// clock. For the same reason GANG is reported for every member that waited in vain; the caller drops those near a disruption or after the job's cancellation.
/// LIMIT cannot be broken, because the workers enforce their capacity. Jobs without an entry in @p maxAttemptsByJob are not checked for BUDGET.
std::vector<RuleViolation> findViolations(const std::vector<SimulatedRun> &history,
                                          const std::vector<JobSpecPointer> &jobs,
                                          const std::map<std::string, int> &maxAttemptsByJob,
                                          Instant now);

/// Returns a violation DRAIN for each run whose worker accepted it in a drained zone although the start was sent @p bound or more after the request.
/// @p zones are the zones of the workers. Thread-safe.
std::vector<RuleViolation> findStartsInDrainedZones(const std::vector<SimulatedRun> &history,
                                                    const std::map<std::string, std::string> &zones,
                                                    const std::vector<ZoneDrainTime> &drains,
                                                    Duration bound);

} // namespace PrimroseBridge
