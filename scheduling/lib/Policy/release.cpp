#include "release.h"

#include <algorithm>

namespace PrimroseBridge {

ReleaseMode releaseModeOf(const Allocation &allocation)
{
    return allocation.m_checkpointable ? ReleaseMode::Checkpoint : ReleaseMode::Stop;
}

/// Work of other tiers younger than this is not interrupted for urgent jobs, so that nothing is interrupted again and again.
constexpr Duration youngestInterrupted = std::chrono::minutes(10);

/// True if a guarantee of its own organisation protects the allocation: it lies on a unit, or the organisation does not use more
/// than its guarantees.
static bool isProtected(const PassContext &context, const PassDraft &draft, int index)
{
    const int organisation = context.m_holdings[index].m_organisation;
    return (*draft.m_covered)[index] || (organisation >= 0 && draft.m_usage[organisation] <= context.m_guaranteed[organisation]);
}

static bool mayReleaseForUrgent(const PassContext &context, const Allocation &allocation)
{
    const bool old = context.m_now - allocation.m_startedAt >= youngestInterrupted;
    return allocation.m_tier == Tier::Batch || (allocation.m_tier == Tier::Standard && allocation.m_checkpointable && old);
}

/// Only batch work and work that exceeds its estimate: jobs that starve would otherwise displace each other in turn.
static bool mayReleaseForStarving(const PassContext &context, const Allocation &allocation)
{
    const bool overdue = context.m_now > allocation.m_startedAt + allocation.m_expectedRunTime;
    return allocation.m_tier == Tier::Batch || (allocation.m_tier == Tier::Standard && overdue);
}

static bool mayRelease(const PassContext &context, const PassDraft &draft, int index, int job, ReleaseScope scope)
{
    const auto &allocation = context.m_state.m_allocations[index];
    if (!isReclaimable(allocation)) {
        return false;
    }
    const bool ownBatch = context.m_holdings[index].m_organisation == context.m_organisationOf[job] && allocation.m_tier == Tier::Batch
                          && context.m_state.m_queue[job].m_tier == Tier::Urgent;
    const bool available = ownBatch || !isProtected(context, draft, index);
    switch (scope) {
    case ReleaseScope::Guarantee:
        return available;
    case ReleaseScope::GuaranteeOrCovered:
        return !(*draft.m_held)[index];
    case ReleaseScope::Urgent:
        return available && mayReleaseForUrgent(context, allocation);
    case ReleaseScope::Starving:
        return available && mayReleaseForStarving(context, allocation);
    }
    return false;
}

/// Allocations that are being released already, then those that may be, cheapest first.
static std::vector<int> releasableInOrder(const PassContext &context, const PassDraft &draft, int job, ReleaseScope scope)
{
    const auto &allocations = context.m_state.m_allocations;
    std::vector<int> order;
    std::vector<int> allowed;
    for (const int index : context.m_releaseOrder) {
        if (allocations[index].m_releasing || draft.m_released[index]) {
            order.push_back(index);
        } else if (mayRelease(context, draft, index, job, scope)) {
            allowed.push_back(index);
        }
    }
    order.insert(order.end(), allowed.begin(), allowed.end());
    return order;
}

/// The allocations that are not in @p releasable, by the time of their start.
static std::vector<int> othersByStart(const PassContext &context, const std::vector<int> &releasable)
{
    const auto &allocations = context.m_state.m_allocations;
    std::vector<bool> listed(allocations.size());
    for (const int index : releasable) {
        listed[index] = true;
    }
    std::vector<int> others;
    for (int index = 0; index < static_cast<int>(allocations.size()); ++index) {
        if (!listed[index]) {
            others.push_back(index);
        }
    }
    std::stable_sort(
        others.begin(), others.end(), [&allocations](int left, int right) { return allocations[left].m_startedAt < allocations[right].m_startedAt; });
    return others;
}

static std::vector<const Slots *> excludedFor(const PassContext &context, const PassDraft &draft, int job)
{
    std::vector<const Slots *> excluded;
    for (const auto &reservation : draft.m_reservations) {
        if (reservation.m_firm && reservation.m_job != job) {
            excluded.push_back(&reservation.m_slots);
        }
    }
    if (isPinned(context.m_state.m_queue[job])) {
        const auto units = unitsOfOthers(*draft.m_plan, context.m_claims, context.m_organisationOf[job]);
        excluded.insert(excluded.end(), units.begin(), units.end());
    }
    return excluded;
}

std::optional<ReleasePlan> planRelease(const PassContext &context, const PassDraft &draft, int job, ReleaseScope scope)
{
    const auto &wanted = context.m_state.m_queue[job];
    auto order = releasableInOrder(context, draft, job, scope);
    const int releasable = static_cast<int>(order.size());
    if (scope == ReleaseScope::Starving) {
        const auto others = othersByStart(context, order);
        order.insert(order.end(), others.begin(), others.end());
    }
    std::vector<const Slots *> groups;
    groups.reserve(order.size());
    for (const int index : order) {
        groups.push_back(&context.m_holdings[index].m_slots);
    }
    const auto excluded = excludedFor(context, draft, job);
    const auto future = fitAfterRelease(context.m_fleet, context.m_usable, *draft.m_free, groups, excluded, wanted.m_shape);
    if (!future) {
        return std::nullopt;
    }
    std::vector<int> toRelease;
    bool waitsForEnd = false;
    for (const int position : future->m_released) {
        const int index = order[position];
        if (position >= releasable) {
            waitsForEnd = true;
        } else if (!context.m_state.m_allocations[index].m_releasing && !draft.m_released[index]) {
            toRelease.push_back(index);
        }
    }
    // Work is not interrupted before it helps: the last tasks in the way may still run for a long time.
    return ReleasePlan{future->m_slots, waitsForEnd ? std::vector<int>() : toRelease, waitsForEnd};
}

void applyRelease(const PassContext &context, PassDraft &draft, int job, const ReleasePlan &plan, const std::string &reason)
{
    for (const int index : plan.m_toRelease) {
        const auto &allocation = context.m_state.m_allocations[index];
        draft.m_released[index] = true;
        draft.m_releases.push_back({allocation.m_key, allocation.m_attempt, releaseModeOf(allocation), reason});
    }
    draft.m_reservations.push_back({job, plan.m_slots, context.m_now, true});
    draft.m_free = std::make_shared<const Capacity>(without(*draft.m_free, plan.m_slots));
}

} // namespace PrimroseBridge
