#pragma once

#include "primrosebridge/Fleet/placement.h"

#include <vector>

namespace PrimroseBridge {

/// A step of one occurrence that has waiting tasks and whose earlier steps are done.
struct Candidate {
    std::size_t m_job; ///< Index in PlacementInput::m_jobs.
    std::int64_t m_occurrence;
    int m_step;
    UrgencyRank m_rank;
    bool m_missesFinalDeadline; ///< It can no longer end while its result is worth anything to its submitter.
    bool m_missesObjective; ///< It can no longer meet its latency objective.
    bool m_aged; ///< Less urgent, waits for agedAfterObjectives latency objectives, and its result is still worth something.
    bool m_overdue; ///< Guaranteed, has not begun, and has waited for PlacementInput::m_reclaimDelay.
    bool m_jobLocked; ///< Nothing of the job may start, see PlacementInput::m_lockedJobs.
    Duration m_latencyObjective; ///< Latency objective of the job, counted from the time when the occurrence was due.
    Duration m_age; ///< Wall-clock time since the occurrence was due.
    std::vector<int> m_waiting; ///< Indices of the waiting tasks.
};

/// Less urgent work that has waited for this many latency objectives is held back no longer. Half of the time for which a result is
/// useful to its submitter, so that work which waits can still end in time.
constexpr double agedAfterObjectives = 1.5;

/// True for work of priority 0.
constexpr bool isUrgent(UrgencyRank rank)
{
    return rank == UrgencyRank::Guaranteed || rank == UrgencyRank::Urgent;
}

/// The settings of each job's queue, or null if the configuration no longer has it. A configuration may hold hundreds of queues.
std::vector<const QueueSettings *> queuesOfJobs(const PlacementInput &input);

/// The rank of each job of @p input. Guarantees are used up in the order of acceptance.
std::vector<UrgencyRank> rankJobs(const PlacementInput &input, const std::vector<const QueueSettings *> &queues);

/// Every step that could start now, the most urgent first.
std::vector<Candidate> findCandidates(const PlacementInput &input, const std::vector<const QueueSettings *> &queues, const std::vector<UrgencyRank> &ranks);

} // namespace PrimroseBridge
