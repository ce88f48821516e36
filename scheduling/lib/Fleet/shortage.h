#pragma once

#include "candidates.h"
#include "fleetallocation.h"

#include "primrosebridge/Fleet/placement.h"

#include <vector>

namespace PrimroseBridge {

/// What the order under shortage depends on beside the candidates.
struct ShortageContext {
    const FleetAllocation &m_allocation; ///< Before any decision of the pass.
    const std::vector<const QueuePolicy *> &m_policies; ///< By index in PlacementInput::m_jobs.
    double m_reservedAccelerators; ///< Accelerators that only urgent work may take.
};

/// The candidates in the order of placement, and why it differs from findCandidates().
struct OrderedCandidates {
    std::vector<Candidate> m_candidates;
    std::vector<RankShortage> m_shortages;
    std::vector<PutOffStep> m_putOff;
};

/// Returns @p candidates in the order of placement. Precondition: they are in the order of findCandidates().
///
/// The order within a rank changes only among the candidates of a worker pool whose waiting tasks need more accelerators than are free or can
/// be preempted for them. Aged work of
/// the rank then comes first, followed by the steps that can be served in time, by their latest start, the steps that are put off, by age,
/// and work that misses its objective. Guaranteed work and work that misses its final deadline keep their place. Thread-safe.
OrderedCandidates orderUnderShortage(const ShortageContext &context, std::vector<Candidate> candidates);

} // namespace PrimroseBridge
