#pragma once

#include "primrosebridge/Placement/fit.h"

namespace PrimroseBridge {

/// An allocation as the planning code needs it.
struct Holding {
    const int m_organisation; ///< Index into ZoneState::m_organisations, -1 if the organisation is not configured.
    const bool m_reclaimable; ///< Can be checkpointed or stopped, or is already being released.
    const Slots m_slots;

    bool operator==(const Holding &) const = default;
};

/// A guarantee with its organisation as an index.
struct Claim {
    const int m_organisation; ///< As in Holding.
    const Shape m_shape;
    const int m_count;

    bool operator==(const Claim &) const = default;
};

/// Where the claimed capacity comes from.
enum class UnitSource {
    Held, ///< In use by work of the organisation itself of at least the size of the unit.
    Free,
    Reclaimable, ///< Some of it is in use by work that can be checkpointed or stopped.
    OwnWork, ///< Some of it is in use by smaller work of the organisation itself that cannot be removed.
};

/// One unit of a claim and a position at which it can be met.
struct PlannedUnit {
    const int m_claim; ///< Index into the claims.
    const UnitSource m_source;
    const Slots m_slots;

    bool operator==(const PlannedUnit &) const = default;
};

/// Disjoint positions at which the claims can be met simultaneously.
struct GuaranteePlan {
    const std::vector<PlannedUnit> m_units;
    const std::vector<int> m_met; ///< Number of units for each claim.

    bool operator==(const GuaranteePlan &) const = default;
};

/// The claims of the zone in the order in which they are served: by priority, then by organisation identifier.
/// @p order receives the index of each claim's guarantee in ZoneState::m_guarantees. Thread-safe.
std::vector<Claim> claimsOf(const ZoneState &state, std::vector<int> &order);

/// Index of the organisation in the zone state, -1 if it is not there. Thread-safe.
int organisationIndex(const ZoneState &state, const OrganisationId &organisation);

/// The allocations as holdings, in the same order. Thread-safe.
std::vector<Holding> holdingsOf(const ZoneState &state, const FleetIndex &fleet);

/// Plans a position for each unit of each claim.
///
/// A unit may lie on accelerators that are free, lent to others and reclaimable, or in use by the claim's own organisation.
/// A claim is met in full only if a position is found for each unit, so the plan is a proof of the reclaim invariant. If the
/// fleet is too small, claims are served in the order of @p claims and the last ones fall short. The search is greedy: it may
/// report a shortfall in tightly packed fleets for which an exhaustive search finds none, never the other way round.
/// @p usable is the capacity of the empty fleet. Thread-safe.
GuaranteePlan planGuarantees(const FleetIndex &fleet, const Capacity &usable, const std::vector<Holding> &holdings, const std::vector<Claim> &claims);

/// True if no claim of @p after is met less often than in @p before. Thread-safe.
bool meetsAsMuch(const GuaranteePlan &before, const GuaranteePlan &after);

/// The positions planned for other organisations than @p organisation; they live as long as the plan. Thread-safe.
std::vector<const Slots *> unitsOfOthers(const GuaranteePlan &plan, const std::vector<Claim> &claims, int organisation);

/// For each holding, whether it lies on a unit planned for its own organisation and on none of another, so that no other
/// organisation needs to reclaim it.
/// Thread-safe.
std::vector<bool> coveredHoldings(const GuaranteePlan &plan, const std::vector<Claim> &claims, const std::vector<Holding> &holdings, int workers);

} // namespace PrimroseBridge
