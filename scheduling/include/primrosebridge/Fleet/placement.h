#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Progress/jobstate.h"
#include "primrosebridge/Work/fleetconfiguration.h"

#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Accelerators that active jobs of priority 0 hold or wait for.
struct CurrentUrgentDemand {
    const double m_totalAccelerators;
    const double m_largestJobAccelerators; ///< Of the job that needs most.

    bool operator==(const CurrentUrgentDemand &) const = default;
};

/// What urgent work lately needed, as maxima that fade.
///
/// Less urgent work leaves room for it, so that the next urgent job starts at once instead of waiting for victims to stop, whose
/// work would be lost.
struct UrgentDemandPeak {
    const double m_peakAccelerators; ///< Accelerators of all urgent jobs at once.
    const double m_largestJobAccelerators; ///< Accelerators of one urgent job.
    const Instant m_updatedAt; ///< Boot clock at the last update.

    bool operator==(const UrgentDemandPeak &) const = default;
};

/// The demand after @p need was seen at @p now. Thread-safe.
UrgentDemandPeak updatedUrgentDemandPeak(const UrgentDemandPeak &demand, const CurrentUrgentDemand &need, Instant now);

/// What one pass decides from. Nothing here is read from a clock or the network.
struct PlacementInput {
    const Instant m_now; ///< Boot clock of the deciding VM.
    const Instant m_wallNow; ///< Wall clock, for the age of jobs.
    const FleetConfigurationPointer m_configuration;
    const std::vector<JobPointer> m_jobs; ///< In the order of acceptance.
    const std::vector<PlacementWorker> m_workers;
    const double m_remoteFactor; ///< Run time of a task away from its data or of a gang over several racks, as a multiple.
    const std::vector<std::string> m_lockedJobs; ///< Sorted; their waiting tasks may still run on a worker that has not answered.
    /// Guaranteed work that has not begun after this time may take the places of other guaranteed work that has.
    const Duration m_reclaimDelay = Duration(2000);
    const UrgentDemandPeak m_urgentDemand = {.m_peakAccelerators = 0.0, .m_largestJobAccelerators = 0.0, .m_updatedAt = Instant()};
};

/// Why a task is stopped.
enum class StopReason {
    Cancelled,
    Preempted, ///< Its place is needed for more urgent work.
    Superseded, ///< Its job has ended or another run took its place.
    GangIncomplete,
    Stalled,
    WorkerLeaves,
    Unconfirmed, ///< Its start got no answer and the worker does not list it.
};

/// The reason's name in lower_snake_case, for logs. Thread-safe.
std::string_view stopReasonName(StopReason reason);

/// One task to start.
struct StartDecision {
    const TaskReference m_task;
    const std::size_t m_worker; ///< Index in PlacementInput::m_workers.
    const std::int64_t m_run;
    const std::string m_checkpoint;

    bool operator==(const StartDecision &) const = default;
};

/// One run to stop.
struct StopDecision {
    const TaskReference m_task;
    const WorkerIncarnation m_assignedWorker;
    const std::int64_t m_run;
    const StopReason m_reason;

    bool operator==(const StopDecision &) const = default;
};

/// How urgent work is; a lower rank goes first and may preempt a higher one, see mayPreempt().
enum class UrgencyRank {
    Guaranteed, ///< Priority 0 within its organisation's guarantee.
    Urgent, ///< Priority 0 beyond the guarantee.
    Normal, ///< Priority 1.
    Background, ///< Priority 2 and higher.
};

/// The rank's name in lower_snake_case, for logs. Thread-safe.
std::string_view urgencyRankName(UrgencyRank rank);

/// Why a step that is ready has tasks without a place.
enum class WaitReason {
    NoEligibleWorker, ///< No usable worker of the pool may run it.
    KeptFree, ///< What is free is kept for urgent work.
    NoRoom,
    NoRoomInRack, ///< There may be room outside the racks that have the step's data or hold its gang.
    BeingFreed, ///< Work that holds its places is being stopped.
    Draining, ///< Workers are drained for it: runs there end and others do not start.
    KeptForGang, ///< The workers that may run it are drained for a gang.
    Locked, ///< The job's tasks may still run on a worker that has not answered this owner.
};

/// The reason's name in lower_snake_case, for logs. Thread-safe.
std::string_view waitReasonName(WaitReason reason);

/// A step that is ready and of which tasks could not be placed.
struct WaitingStep {
    const std::size_t m_job; ///< Index in PlacementInput::m_jobs.
    const std::int64_t m_occurrence;
    const int m_step;
    const int m_tasks; ///< Tasks without a place.
    const UrgencyRank m_rank;
    const WaitReason m_reason;
    const Duration m_age; ///< Wall-clock time since the occurrence was due.

    bool operator==(const WaitingStep &) const = default;
};

/// The amounts that a pass decided from, in accelerators of usable workers. They explain its WaitingSteps.
struct AcceleratorBudget {
    const double m_usableAccelerators;
    const double m_freeAccelerators; ///< Before the pass; the scarcest resource of each worker counts.
    const double m_reservedAccelerators; ///< Of m_freeAccelerators, what only urgent work may take.
    const CurrentUrgentDemand m_currentUrgentDemand;

    bool operator==(const AcceleratorBudget &) const = default;
};

/// What a pass decided.
struct PlacementDecisions {
    const std::vector<StartDecision> m_starts; ///< The members of a gang are adjacent.
    const std::vector<StopDecision> m_stops;
    const std::vector<WaitingStep> m_waiting;
    const AcceleratorBudget m_acceleratorBudget;
};

/// True if work of rank @p rank may stop running work of rank @p victim. Thread-safe.
bool mayPreempt(UrgencyRank rank, UrgencyRank victim);

/// The need of the jobs of @p input. Thread-safe.
CurrentUrgentDemand currentUrgentDemand(const PlacementInput &input);

/// Decides which waiting tasks start where, and which running ones are stopped for more urgent work.
///
/// Gangs are placed whole or not at all. A step that cannot be placed reserves the places that it waits for, so that less
/// urgent work does not take them. Pure; thread-safe.
PlacementDecisions decidePlacement(const PlacementInput &input);

} // namespace PrimroseBridge
