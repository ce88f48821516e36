#pragma once

#include "primrosebridge/Placement/guaranteeplan.h"
#include "primrosebridge/Policy/pass.h"

#include <memory>
#include <tuple>

namespace PrimroseBridge {

/// Shapes that compare equal have equal keys.
using ShapeKey = std::tuple<int, Adjacency, int, std::int64_t>;

/// Thread-safe.
inline ShapeKey shapeKey(const Shape &shape)
{
    return {shape.m_accelerators, shape.m_adjacency, shape.m_cores, shape.m_memoryMb};
}

/// What a pass derives from its arguments once. Refers to the arguments, which outlive it.
struct PassContext {
    const ZoneState &m_state;
    const PassSettings &m_settings;
    const Instant m_now;
    const FleetIndex m_fleet;
    const Capacity m_usable;
    const Capacity m_declared;
    const std::vector<Holding> m_holdings; ///< In the order of the allocations.
    const std::vector<int> m_claimOrder; ///< For each claim, its index in ZoneState::m_guarantees.
    const std::vector<Claim> m_claims;
    const std::vector<int> m_guaranteed; ///< Accelerators that each organisation is guaranteed.
    const std::vector<int> m_organisationOf; ///< For each queued job, as in Holding.
    const std::vector<int> m_releaseOrder; ///< Allocations that can be released or are being released, cheapest first.
};

/// A position that is kept for a job which cannot start yet.
struct Reservation {
    const int m_job; ///< Index in the queue.
    const Slots m_slots;
    const Instant m_expectedStart;
    const bool m_firm; ///< Nothing may be placed on it, not even backfill.
};

/// The decisions of a pass while it runs. Each step replaces whole values.
struct PassDraft {
    std::shared_ptr<const Capacity> m_free;
    std::shared_ptr<const GuaranteePlan> m_plan;
    std::shared_ptr<const std::vector<bool>> m_covered; ///< For each allocation, see coveredHoldings(); follows the plan.
    std::shared_ptr<const std::vector<bool>> m_held; ///< For each allocation, whether it holds a unit; follows the plan.
    std::vector<int> m_usage; ///< Accelerators in use by each organisation.
    std::vector<bool> m_released; ///< For each allocation, whether this pass releases it.
    std::vector<Reservation> m_reservations;
    std::vector<Placement> m_placements;
    std::vector<Holding> m_placed; ///< In the order of m_placements.
    std::vector<Instant> m_placedUntil; ///< Expected ends, in the order of m_placements.
    std::vector<Release> m_releases;
    std::vector<std::optional<Explanation>> m_explanations; ///< One for each queued job.
    int m_replans = 0; ///< Full guarantee plans made for single placements.
};

/// Derives the context. Preconditions as for runPass(). Thread-safe.
PassContext makeContext(const ZoneState &state, const PassSettings &settings, Instant now);

/// Replaces the plan and what follows from it. Thread-safe.
void setPlan(const PassContext &context, PassDraft &draft, GuaranteePlan plan);

/// The draft before the first decision. Thread-safe.
PassDraft makeDraft(const PassContext &context);

/// True if the job can be neither checkpointed nor run again. Thread-safe.
inline bool isPinned(const QueuedJob &job)
{
    return !job.m_checkpointable && !job.m_restartable;
}

/// True if the allocation can give up its resources and has not been told to. Thread-safe.
inline bool isReclaimable(const Allocation &allocation)
{
    return (allocation.m_checkpointable || allocation.m_restartable) && !allocation.m_releasing;
}

} // namespace PrimroseBridge
