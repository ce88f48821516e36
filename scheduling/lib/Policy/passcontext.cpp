#include "passcontext.h"

#include <cassert>

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

PassContext makeContext(const ZoneState &state, const PassSettings &settings, Instant now)
{
    assert(settings.m_maxPlacements > 0 && settings.m_agingPeriod > Duration(0) && "the settings are positive");
    FleetIndex fleet = indexFleet(state.m_workers);
    std::vector<Holding> holdings = holdingsOf(state, fleet);
    std::vector<int> order;
    std::vector<Claim> claims = claimsOf(state, order);
    return {state,
            settings,
            now,
            std::move(fleet),
            usableCapacity(state.m_workers),
            declaredCapacity(state.m_workers),
            std::move(holdings),
            std::move(order),
            std::move(claims),
            organisationsOfQueue(state)};
}

PassDraft makeDraft(const PassContext &context)
{
    std::vector<Slots> occupied;
    std::vector<int> usage(context.m_state.m_organisations.size());
    occupied.reserve(context.m_holdings.size());
    for (const auto &holding : context.m_holdings) {
        occupied.push_back(holding.m_slots);
        if (holding.m_organisation >= 0) {
            usage[holding.m_organisation] += countAccelerators(holding.m_slots);
        }
    }
    PassDraft draft;
    draft.m_free = std::make_shared<const Capacity>(withoutAll(context.m_usable, occupied));
    draft.m_plan = std::make_shared<const GuaranteePlan>(planGuarantees(context.m_fleet, context.m_usable, context.m_holdings, context.m_claims));
    draft.m_usage = std::move(usage);
    draft.m_released.resize(context.m_holdings.size());
    draft.m_explanations.resize(context.m_state.m_queue.size());
    return draft;
}

} // namespace PrimroseBridge
