#pragma once

#include "passcontext.h"

#include "primrosebridge/Placement/reclaim.h"

namespace PrimroseBridge {

/// A position for a job and the allocations that must end or be released before it is free.
struct ReleasePlan {
    const Slots m_slots;
    const std::vector<int> m_toRelease; ///< Allocations that this pass has to release.
    const bool m_waitsForEnd; ///< Also needs the end of allocations that cannot be released.
};

/// Which allocations may be released for a job.
enum class ReleaseScope {
    Guarantee, ///< Any that no guarantee of their own organisation covers.
    GuaranteeOrCovered, ///< Any that does not hold a unit; for a claimed guarantee whose cores or memory are in use by covered work.
    Urgent, ///< Of the uncovered ones, batch jobs and older standard jobs that can be checkpointed.
    Starving, ///< Of the uncovered ones, batch jobs and overdue ones; also waits for the end of the others, oldest first.
};

/// A position for @p job after releases, or empty if there is none. Thread-safe.
std::optional<ReleasePlan> planRelease(const PassContext &context, const PassDraft &draft, int job, ReleaseScope scope);

/// Adds the releases of @p plan and keeps its position for @p job. Thread-safe.
void applyRelease(const PassContext &context, PassDraft &draft, int job, const ReleasePlan &plan, const std::string &reason);

/// How the allocation gives up its resources. Thread-safe.
ReleaseMode releaseModeOf(const Allocation &allocation);

} // namespace PrimroseBridge
