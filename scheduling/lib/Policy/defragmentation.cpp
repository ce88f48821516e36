#include "defragmentation.h"

#include "primrosebridge/Placement/defragment.h"

#include <algorithm>

namespace PrimroseBridge {

/// Assumed pause of a task that is checkpointed and resumed; the workers report none.
constexpr Duration movePause = std::chrono::minutes(1);
/// Work younger than this is not moved, so that nothing is moved again and again.
constexpr Duration youngestMoved = std::chrono::minutes(10);
/// Work that ends sooner than this frees its place without a move.
constexpr Duration shortestRemainder = std::chrono::minutes(5);
/// Longest time for which a gain is counted, because estimates of the far future are worthless.
constexpr Duration longestGain = std::chrono::minutes(30);

/// The shape that is to be made possible and how long it would otherwise have to wait.
struct DefragmentationGoal {
    const Shape m_shape;
    const Duration m_benefit;
    const std::string m_reason;
};

static std::optional<DefragmentationGoal> goalOfReservation(const PassContext &context, const PassDraft &draft)
{
    const auto found = std::find_if(draft.m_reservations.begin(), draft.m_reservations.end(), [](const Reservation &one) { return !one.m_firm; });
    if (found == draft.m_reservations.end()) {
        return std::nullopt;
    }
    const auto &job = context.m_state.m_queue[found->m_job];
    const Duration wait = found->m_expectedStart - context.m_now;
    return DefragmentationGoal{job.m_shape, std::min(wait, longestGain), "moved to make room for job " + job.m_key.text()};
}

static std::optional<DefragmentationGoal> goalOfGuarantees(const PassContext &context)
{
    const auto &claims = context.m_claims;
    const auto largest = std::max_element(
        claims.begin(), claims.end(), [](const Claim &left, const Claim &right) { return left.m_shape.m_accelerators < right.m_shape.m_accelerators; });
    if (largest == claims.end()) {
        return std::nullopt;
    }
    return DefragmentationGoal{largest->m_shape, longestGain / 3, "moved so that the largest guaranteed shape fits once more into free capacity"};
}

/// The free capacity beside the positions at which @p shape fits already.
static Capacity remainder(const FleetIndex &fleet, const Capacity &free, const Shape &shape)
{
    auto rest = std::make_shared<const Capacity>(free);
    while (const auto slots = fit(fleet, *rest, shape)) {
        rest = std::make_shared<const Capacity>(without(*rest, *slots));
    }
    return *rest;
}

static std::vector<Movable> movablesOf(const PassContext &context)
{
    std::vector<Movable> movables;
    for (int index = 0; index < static_cast<int>(context.m_holdings.size()); ++index) {
        const auto &allocation = context.m_state.m_allocations[index];
        const Duration age = context.m_now - allocation.m_startedAt;
        const bool suitable = allocation.m_checkpointable && allocation.m_tier != Tier::Urgent && allocation.m_shape.m_accelerators > 0;
        if (suitable && age >= youngestMoved && allocation.m_expectedRunTime - age >= shortestRemainder) {
            movables.push_back({index, allocation.m_shape, context.m_holdings[index].m_slots});
        }
    }
    return movables;
}

static bool isWorthwhile(const ObjectiveWeights &weights, const DefragmentationGoal &goal, int movedAccelerators)
{
    const auto gain = static_cast<double>(goal.m_shape.m_accelerators * goal.m_benefit.count());
    const auto loss = static_cast<double>(movedAccelerators * movePause.count());
    return gain * weights.m_fragmentation > loss * weights.m_completion;
}

static bool isBusy(const PassContext &context, const PassDraft &draft)
{
    const auto &allocations = context.m_state.m_allocations;
    return !draft.m_releases.empty() || std::any_of(allocations.begin(), allocations.end(), [](const Allocation &one) { return one.m_releasing; });
}

void defragment(const PassContext &context, PassDraft &draft)
{
    if (isBusy(context, draft) || context.m_state.m_weights.m_fragmentation <= 0) {
        return;
    }
    auto goal = goalOfReservation(context, draft);
    if (!goal) {
        goal.emplace(goalOfGuarantees(context).value_or(DefragmentationGoal{{0, Adjacency::SameWorker, 0, 0}, Duration(0), ""}));
    }
    const int accelerators = goal->m_shape.m_accelerators;
    if (accelerators < 2) {
        return;
    }
    const Capacity rest = remainder(context.m_fleet, *draft.m_free, goal->m_shape);
    if (countAccelerators(rest) < accelerators) {
        return;
    }
    const auto plan = planDefragmentation(context.m_fleet, context.m_usable, rest, movablesOf(context), goal->m_shape);
    if (!plan || !isWorthwhile(context.m_state.m_weights, *goal, plan->m_movedAccelerators)) {
        return;
    }
    for (const int index : plan->m_moved) {
        const auto &allocation = context.m_state.m_allocations[index];
        draft.m_released[index] = true;
        draft.m_releases.push_back({allocation.m_key, allocation.m_attempt, ReleaseMode::Checkpoint, goal->m_reason});
    }
}

} // namespace PrimroseBridge
