#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Progress/jobstate.h"
#include "primrosebridge/Work/fleetconfiguration.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Accelerators that the unfinished tasks of active priority 0 jobs need, whether these tasks run or wait.
struct CurrentUrgentDemand {
    const double m_totalAccelerators;
    const double m_largestJobAccelerators; ///< Need of the job that needs the most.

    bool operator==(const CurrentUrgentDemand &) const = default;
};

/// Recent peaks of the urgent demand, which decay exponentially.
///
/// Placement reserves capacity according to them, so that the next urgent job starts immediately. Without the reserve, it would wait
/// until victims have stopped, and their work would be lost.
struct UrgentDemandPeak {
    const double m_peakAccelerators; ///< Total need of all urgent jobs.
    const double m_largestJobAccelerators; ///< Need of the largest urgent job.
    const Instant m_updatedAt; ///< Boot clock at the last update; the decay counts from here.

    bool operator==(const UrgentDemandPeak &) const = default;
};

/// Returns @p peak decayed to @p now and raised to at least @p current. Thread-safe.
UrgentDemandPeak updatedUrgentDemandPeak(const UrgentDemandPeak &peak, const CurrentUrgentDemand &current, Instant now);

/// The accelerator-seconds that each organisation has recently used. They decay exponentially.
///
/// If capacity is short, work of organisations that have used less goes first among work of equal cost.
struct OrganisationUse {
    const std::map<std::string, double> m_acceleratorSeconds; ///< By organisation; organisations without recent use are absent.
    const Instant m_updatedAt; ///< Boot clock at the last update; the decay counts from here.

    bool operator==(const OrganisationUse &) const = default;
};

/// The input of one placement pass. A pass reads neither clocks nor the network, so equal inputs give equal decisions.
struct PlacementInput {
    const Instant m_now; ///< Boot clock of the deciding VM.
    const Instant m_wallNow; ///< Wall clock, from which the age of jobs is computed.
    const FleetConfigurationPointer m_configuration;
    const std::vector<JobPointer> m_jobs; ///< Sorted by acceptance.
    const std::vector<PlacementWorker> m_workers;
    const double m_remoteFactor; ///< Factor by which the run time grows for a task outside the rack of its data or a gang over several racks.
    /// Sorted ids of locked jobs: tasks that are recorded as waiting may still run on a worker that has not answered this owner.
    const std::vector<std::string> m_lockedJobs;
    /// Guaranteed work that has not started this long after it was due may preempt other guaranteed work.
    const Duration m_reclaimDelay = Duration(2000);
    const UrgentDemandPeak m_urgentDemand = {.m_peakAccelerators = 0.0, .m_largestJobAccelerators = 0.0, .m_updatedAt = Instant()};
    /// Time that a stop takes at most. Urgent work waits for faster workers only if it ends in time after such a stop.
    const Duration m_stopBound = Duration(900);
    const OrganisationUse m_organisationUse = {.m_acceleratorSeconds = {}, .m_updatedAt = Instant()};
};

/// Returns PlacementInput::m_organisationUse of @p input decayed to its m_now, plus what the tasks that hold workers have used since the last
/// update. After a long pause, such as before the first pass of an owner, present use counts as if it had always been the same. Thread-safe.
OrganisationUse updatedOrganisationUse(const PlacementInput &input);

/// Why a task is stopped.
enum class StopReason {
    Cancelled,
    Preempted, ///< Its resources are needed for more urgent work.
    Superseded, ///< Its job has ended or another run of the task has replaced it.
    GangIncomplete,
    Stalled,
    WorkerLeaves,
    Unconfirmed, ///< The start order got no answer and the worker does not list the run.
};

/// Returns the name of @p reason in lower_snake_case, for logs. Thread-safe.
std::string_view stopReasonName(StopReason reason);

/// Order to start one task.
struct StartDecision {
    const TaskReference m_task;
    const std::size_t m_worker; ///< Index in PlacementInput::m_workers.
    const std::int64_t m_runNumber; ///< Run number, above that of all earlier runs of the task.
    const std::string m_checkpoint; ///< Checkpoint to start from; empty if there is none.

    bool operator==(const StartDecision &) const = default;
};

/// Order to stop one run.
struct StopDecision {
    const TaskReference m_task;
    const WorkerIncarnation m_assignedWorker; ///< The worker that holds the run.
    const std::int64_t m_runNumber; ///< Run number.
    const StopReason m_reason;

    bool operator==(const StopDecision &) const = default;
};

/// How urgent a job is. Ranks are listed in the order of placement; mayPreempt() tells which rank may preempt which.
enum class UrgencyRank {
    Guaranteed, ///< Priority 0, within the guaranteed accelerators of its organisation.
    Urgent, ///< Priority 0, beyond the guaranteed accelerators of its organisation.
    Normal, ///< Priority 1.
    Background, ///< Priority 2 and higher.
};

/// Returns the name of @p rank in lower_snake_case, for logs. Thread-safe.
std::string_view urgencyRankName(UrgencyRank rank);

/// Why tasks of a ready step were not placed.
enum class WaitReason {
    NoEligibleWorker, ///< No usable worker of the pool may run the step.
    ReservedForUrgent, ///< The free capacity is reserved for urgent work.
    InsufficientCapacity, ///< Too little capacity is free.
    InsufficientRackCapacity, ///< Too little is free in the racks that are allowed for the step's data or gang; other racks were not tried.
    CapacityBeingReleased, ///< Capacity is reserved for the step, and runs that hold it are being stopped.
    Draining, ///< Workers are being drained for the step: their runs finish, and only guaranteed work starts there.
    DrainedForGang, ///< All workers that may run the step are being drained for a gang.
    ZoneDrained, ///< The step would find or fit on workers only in zones that the operator has asked to drain.
    Locked, ///< The job is locked, see PlacementInput::m_lockedJobs.
};

/// Returns the name of @p reason in lower_snake_case, for logs. Thread-safe.
std::string_view waitReasonName(WaitReason reason);

/// A ready step with tasks that could not be placed.
struct WaitingStep {
    const std::size_t m_job; ///< Index in PlacementInput::m_jobs.
    const std::int64_t m_occurrence;
    const int m_step; ///< Index in JobSpec::m_steps.
    const int m_tasks; ///< Number of tasks that were not placed for m_reason.
    const UrgencyRank m_rank;
    const WaitReason m_reason;
    const Duration m_age; ///< Wall-clock time since the occurrence was due.

    bool operator==(const WaitingStep &) const = default;
};

/// Accelerators of the usable workers at the start of a pass. With these totals, a log shows why a WaitingStep was not placed.
struct AcceleratorBudget {
    const double m_usableAccelerators; ///< Capacity of all usable workers.
    const double m_freeAccelerators; ///< Free accelerators, reduced on each worker to the free share of its scarcest resource.
    const double m_reservedAccelerators; ///< Accelerators reserved for urgent work; may exceed m_freeAccelerators.
    const CurrentUrgentDemand m_currentUrgentDemand;

    bool operator==(const AcceleratorBudget &) const = default;
};

/// Waiting work of one rank and worker pool that needs more accelerators than are free or can be preempted for it.
struct RankShortage {
    const std::string m_pool;
    const UrgencyRank m_rank;
    const double m_neededAccelerators; ///< Need of the waiting tasks of the rank.
    const double m_availableAccelerators; ///< Accelerators for the rank in this pass, less the need of higher ranks; at least 0.

    bool operator==(const RankShortage &) const = default;
};

/// A step that goes after the other work of its rank, because the rank's capacity does not suffice to serve all of it in time.
struct PutOffStep {
    const std::size_t m_job; ///< Index in PlacementInput::m_jobs.
    const std::int64_t m_occurrence;
    const int m_step; ///< Index in JobSpec::m_steps.
    const UrgencyRank m_rank;

    bool operator==(const PutOffStep &) const = default;
};

/// The decisions of one pass.
struct PlacementDecisions {
    const std::vector<StartDecision> m_starts; ///< The members of a gang are adjacent.
    const std::vector<StopDecision> m_stops;
    const std::vector<WaitingStep> m_waiting;
    const AcceleratorBudget m_acceleratorBudget;
    const std::vector<RankShortage> m_shortages = {}; ///< The most urgent rank first, and within it by pool.
    const std::vector<PutOffStep> m_putOff = {};
};

/// The order within a rank whose capacity is short.
enum class ShortageOrder {
    MostValue, ///< The steps whose timely end saves callers most come first.
    Acceptance, ///< As without shortage; for comparisons.
};

/// Returns true if work of rank @p rank may preempt running work of rank @p victim. Thread-safe.
bool mayPreempt(UrgencyRank rank, UrgencyRank victim);

/// Returns the urgent demand of the jobs of @p input. Thread-safe.
CurrentUrgentDemand currentUrgentDemand(const PlacementInput &input);

/// Decides which waiting tasks start on which workers, and which running tasks are preempted for more urgent work.
///
/// A gang is placed whole or not at all. A step that cannot start yet may reserve capacity that will become free, so that less urgent
/// work does not take it. Has no side effects; thread-safe.
PlacementDecisions decidePlacement(const PlacementInput &input, ShortageOrder order = ShortageOrder::MostValue);

} // namespace PrimroseBridge
