#pragma once

#include "finish.h"

#include "primrosebridge/Fleet/placement.h"

#include <limits>
#include <vector>

namespace PrimroseBridge {

/// A step of one occurrence that is ready to start: it has waiting tasks, and the steps that it depends on are done.
///
/// The final deadline of an occurrence is a multiple of its latency objective; a result after it is worth nothing to the submitter.
struct Candidate {
    std::size_t m_job; ///< Index in PlacementInput::m_jobs.
    std::int64_t m_occurrence;
    int m_step; ///< Index in JobSpec::m_steps.
    UrgencyRank m_rank;
    bool m_missesFinalDeadline; ///< By its estimates, the occurrence can no longer end before the final deadline.
    bool m_missesObjective; ///< By its estimates, the occurrence can no longer meet the latency objective.
    bool m_aged; ///< Not urgent, due at least agedAfterObjectives latency objectives ago, and able to meet the final deadline.
    bool m_overdue; ///< Guaranteed, has never started, and was due at least PlacementInput::m_reclaimDelay ago.
    bool m_jobLocked; ///< No task of the job may start, see PlacementInput::m_lockedJobs.
    Duration m_latencyObjective; ///< Latency objective of the job, measured from the due time of the occurrence.
    Duration m_age; ///< Wall-clock time since the occurrence was due.
    FinishDemand m_finishDemand; ///< Left of the objective and of the job's longest chain; the estimate is that of the step.
    Duration m_untilLatestStart; ///< Time until the latest start that meets the latency objective by the estimates; negative if it has passed.
    const StepState *m_state; ///< The state of the step, which PlacementInput::m_jobs holds.
    std::vector<int> m_waitingTasks; ///< Indices of the waiting tasks.
    /// Most tasks that may be placed on workers on which the urgent reserve is held; see FleetAllocation::m_holdsReserve.
    int m_maxTasksOnReserve = std::numeric_limits<int>::max();
};

/// Work that is not urgent counts as aged after this many latency objectives: capacity reserved for urgent work is then open to it. The
/// value is half of the time until the final deadline, so that aged work can still finish before it.
constexpr double agedAfterObjectives = 1.5;

/// Returns true for work of priority 0.
constexpr bool isUrgent(UrgencyRank rank)
{
    return rank == UrgencyRank::Guaranteed || rank == UrgencyRank::Urgent;
}

/// Returns the queue policy of each job of @p input: that of the configuration or, if the configuration does not have the queue, the one under
/// which the job was accepted, since the route may have been removed or may be newer than the configuration. Null if neither is known. The
/// result is computed once per pass, because a configuration may have hundreds of queues, and refers to @p input.
std::vector<const QueuePolicy *> policiesOfJobs(const PlacementInput &input);

/// Returns the rank of each job of @p input. Jobs use up the guarantee of their organisation in the order of acceptance.
std::vector<UrgencyRank> rankJobs(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies);

/// Returns every step that is ready to start, in the order of placement.
std::vector<Candidate> findCandidates(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies, const std::vector<UrgencyRank> &ranks);

} // namespace PrimroseBridge
