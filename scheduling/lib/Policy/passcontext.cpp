#include "passcontext.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

namespace PrimroseBridge {

static std::vector<int> organisationsOfQueue(const ZoneState &state)
{
    std::unordered_map<OrganisationId, int> indexOf;
    for (const auto &organisation : state.m_organisations) {
        indexOf.emplace(organisation.m_id, static_cast<int>(indexOf.size()));
    }
    std::vector<int> result;
    result.reserve(state.m_queue.size());
    for (const auto &job : state.m_queue) {
        const auto found = indexOf.find(job.m_organisation);
        result.push_back(found == indexOf.end() ? -1 : found->second);
    }
    return result;
}

static std::vector<int> guaranteedAccelerators(const ZoneState &state, const std::vector<Claim> &claims)
{
    std::vector<int> guaranteed(state.m_organisations.size());
    for (const auto &claim : claims) {
        if (claim.m_organisation >= 0) {
            guaranteed[claim.m_organisation] += claim.m_count * claim.m_shape.m_accelerators;
        }
    }
    return guaranteed;
}

/// Work that a release loses, in accelerator milliseconds; a checkpoint loses none.
static std::int64_t lostWork(const Allocation &allocation, Instant now)
{
    return allocation.m_checkpointable ? 0 : (now - allocation.m_startedAt).count() * std::max(1, allocation.m_shape.m_accelerators);
}

/// Batch work first, then what loses the least, the smallest and the oldest.
static std::vector<int> releaseOrder(const ZoneState &state, Instant now)
{
    std::vector<std::tuple<int, std::int64_t, int, Instant, int>> costs;
    for (int index = 0; index < static_cast<int>(state.m_allocations.size()); ++index) {
        const auto &one = state.m_allocations[index];
        if (one.m_checkpointable || one.m_restartable || one.m_releasing) {
            costs.emplace_back(-static_cast<int>(one.m_tier), lostWork(one, now), one.m_shape.m_accelerators, one.m_startedAt, index);
        }
    }
    std::sort(costs.begin(), costs.end());
    std::vector<int> order;
    order.reserve(costs.size());
    for (const auto &cost : costs) {
        order.push_back(std::get<4>(cost));
    }
    return order;
}

PassContext makeContext(const ZoneState &state, const PassSettings &settings, Instant now)
{
    assert(settings.m_maxPlacements > 0 && settings.m_agingPeriod > Duration(0) && "the settings are positive");
    FleetIndex fleet = indexFleet(state.m_workers);
    std::vector<Holding> holdings = holdingsOf(state, fleet);
    std::vector<int> order;
    std::vector<Claim> claims = claimsOf(state, order);
    std::vector<int> guaranteed = guaranteedAccelerators(state, claims);
    return {state,
            settings,
            now,
            std::move(fleet),
            usableCapacity(state.m_workers),
            declaredCapacity(state.m_workers),
            std::move(holdings),
            std::move(order),
            std::move(claims),
            std::move(guaranteed),
            organisationsOfQueue(state),
            releaseOrder(state, now)};
}

static GuaranteePlan heldPart(const GuaranteePlan &plan)
{
    std::vector<PlannedUnit> held;
    std::copy_if(plan.m_units.begin(), plan.m_units.end(), std::back_inserter(held), [](const PlannedUnit &unit) { return unit.m_source == UnitSource::Held; });
    return {std::move(held), {}};
}

void setPlan(const PassContext &context, PassDraft &draft, GuaranteePlan plan)
{
    draft.m_plan = std::make_shared<const GuaranteePlan>(std::move(plan));
    const int workers = static_cast<int>(context.m_fleet.m_workers.size());
    draft.m_covered = std::make_shared<const std::vector<bool>>(coveredHoldings(*draft.m_plan, context.m_claims, context.m_holdings, workers));
    draft.m_held = std::make_shared<const std::vector<bool>>(coveredHoldings(heldPart(*draft.m_plan), context.m_claims, context.m_holdings, workers));
}

PassDraft makeDraft(const PassContext &context)
{
    std::vector<const Slots *> occupied;
    std::vector<int> usage(context.m_state.m_organisations.size());
    occupied.reserve(context.m_holdings.size());
    for (const auto &holding : context.m_holdings) {
        occupied.push_back(&holding.m_slots);
        if (holding.m_organisation >= 0) {
            usage[holding.m_organisation] += countAccelerators(holding.m_slots);
        }
    }
    PassDraft draft;
    draft.m_free = std::make_shared<const Capacity>(withoutAll(context.m_usable, occupied));
    setPlan(context, draft, planGuarantees(context.m_fleet, context.m_usable, context.m_holdings, context.m_claims));
    draft.m_usage = std::move(usage);
    draft.m_released.resize(context.m_holdings.size());
    draft.m_explanations.resize(context.m_state.m_queue.size());
    return draft;
}

} // namespace PrimroseBridge
