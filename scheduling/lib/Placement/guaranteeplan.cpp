#include "primrosebridge/Placement/guaranteeplan.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <tuple>

namespace PrimroseBridge {

int organisationIndex(const ZoneState &state, const OrganisationId &organisation)
{
    const auto &all = state.m_organisations;
    const auto found = std::find_if(all.begin(), all.end(), [&organisation](const Organisation &one) { return one.m_id == organisation; });
    return found == all.end() ? -1 : static_cast<int>(found - all.begin());
}

std::vector<Claim> claimsOf(const ZoneState &state, std::vector<int> &order)
{
    const auto &guarantees = state.m_guarantees;
    order.resize(guarantees.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&guarantees](int left, int right) {
        const auto &one = guarantees[left];
        const auto &other = guarantees[right];
        return std::tie(one.m_priority, one.m_organisation.text()) < std::tie(other.m_priority, other.m_organisation.text());
    });
    std::vector<Claim> claims;
    claims.reserve(order.size());
    for (const int index : order) {
        const auto &guarantee = guarantees[index];
        claims.push_back({organisationIndex(state, guarantee.m_organisation), guarantee.m_shape, guarantee.m_count});
    }
    return claims;
}

std::vector<Holding> holdingsOf(const ZoneState &state, const FleetIndex &fleet)
{
    std::unordered_map<OrganisationId, int> indexOf;
    for (const auto &organisation : state.m_organisations) {
        indexOf.emplace(organisation.m_id, static_cast<int>(indexOf.size()));
    }
    std::vector<Holding> holdings;
    holdings.reserve(state.m_allocations.size());
    for (const auto &allocation : state.m_allocations) {
        const auto found = indexOf.find(allocation.m_organisation);
        const bool reclaimable = allocation.m_checkpointable || allocation.m_restartable || allocation.m_releasing;
        holdings.push_back({found == indexOf.end() ? -1 : found->second, reclaimable, slotsOf(fleet, allocation.m_members)});
    }
    return holdings;
}

using ShapeText = std::string;

/// The parts of a plan while it is made. The capacities shrink with each unit.
struct Draft {
    std::vector<PlannedUnit> m_units;
    std::vector<int> m_met;
    std::shared_ptr<const Capacity> m_free; ///< In use by nobody.
    std::shared_ptr<const Capacity> m_unpinned; ///< Free or reclaimable.
    std::set<ShapeText> m_notFree = {}; ///< Shapes that no longer fit into free capacity.
    std::set<ShapeText> m_notUnpinned = {};
};

/// What one planning run looks at.
struct PlanningView {
    const FleetIndex &m_fleet;
    const Capacity &m_usable;
    const std::vector<Claim> &m_claims;
    const std::unordered_map<int, std::vector<const Holding *>> m_holdingsOf; ///< Of each organisation that has claims.
    const std::shared_ptr<const Capacity> m_free;
    const std::shared_ptr<const Capacity> m_unpinned;
};

static PlanningView viewOf(const FleetIndex &fleet, const Capacity &usable, const std::vector<Holding> &holdings, const std::vector<Claim> &claims)
{
    std::unordered_map<int, std::vector<const Holding *>> byOrganisation;
    for (const auto &claim : claims) {
        byOrganisation[claim.m_organisation];
    }
    std::vector<const Slots *> all;
    std::vector<const Slots *> pinned;
    all.reserve(holdings.size());
    for (const auto &holding : holdings) {
        all.push_back(&holding.m_slots);
        if (!holding.m_reclaimable) {
            pinned.push_back(&holding.m_slots);
        }
        const auto found = byOrganisation.find(holding.m_organisation);
        if (found != byOrganisation.end() && holding.m_organisation >= 0) {
            found->second.push_back(&holding);
        }
    }
    return {fleet,
            usable,
            claims,
            std::move(byOrganisation),
            std::make_shared<const Capacity>(withoutAll(usable, all)),
            std::make_shared<const Capacity>(withoutAll(usable, pinned))};
}

static void addUnit(Draft &draft, int claim, UnitSource source, Slots slots)
{
    draft.m_units.push_back({claim, source, std::move(slots)});
    ++draft.m_met[claim];
}

static void subtract(std::shared_ptr<const Capacity> &capacity, const Slots &slots)
{
    capacity = std::make_shared<const Capacity>(without(*capacity, slots));
}

static bool isUsable(const Capacity &usable, const Slots &slots)
{
    return std::all_of(slots.begin(), slots.end(), [&usable](const Slot &slot) { return (slot.m_accelerators & ~usable.m_accelerators[slot.m_worker]) == 0; });
}

/// True if what @p holding occupies can be a unit of @p shape; a gang over several workers cannot if it must lie on one.
static bool formsUnit(const FleetIndex &fleet, const Holding &holding, const Shape &shape)
{
    const auto &slots = holding.m_slots;
    if (slots.empty() || countAccelerators(slots) < shape.m_accelerators || shape.m_accelerators == 0) {
        return false;
    }
    if (shape.m_adjacency == Adjacency::SameWorker) {
        return slots.size() == 1;
    }
    return shape.m_adjacency == Adjacency::Nearest
           || std::all_of(slots.begin(), slots.end(), [&](const Slot &slot) { return fleet.m_rackOf[slot.m_worker] == fleet.m_rackOf[slots[0].m_worker]; });
}

static bool overlaps(const PlannedUnit &unit, const Slot &held)
{
    return std::any_of(unit.m_slots.begin(), unit.m_slots.end(), [&held](const Slot &slot) {
        return slot.m_worker == held.m_worker && (slot.m_accelerators & held.m_accelerators) != 0;
    });
}

/// True if a unit that was planned before lies on the holding; claims served earlier may have taken reclaimable work.
static bool isTaken(const Draft &draft, const Holding &holding)
{
    return std::any_of(draft.m_units.begin(), draft.m_units.end(), [&holding](const PlannedUnit &unit) {
        return std::any_of(holding.m_slots.begin(), holding.m_slots.end(), [&unit](const Slot &slot) { return overlaps(unit, slot); });
    });
}

/// Units that running work of the organisation of at least their size holds. Smaller work of its own does not count: it would
/// otherwise take the organisation's claim to the whole shape away.
static void planHeld(const PlanningView &view, int claimIndex, Draft &draft, bool keepsReclaimable)
{
    const Claim &claim = view.m_claims[claimIndex];
    for (const auto *holding : view.m_holdingsOf.at(claim.m_organisation)) {
        if (draft.m_met[claimIndex] == claim.m_count) {
            return;
        }
        const bool suits = formsUnit(view.m_fleet, *holding, claim.m_shape) && isUsable(view.m_usable, holding->m_slots);
        if (!suits || (holding->m_reclaimable && !keepsReclaimable) || isTaken(draft, *holding)) {
            continue;
        }
        if (holding->m_reclaimable) {
            // Other organisations must not plan to reclaim what a guarantee covers.
            subtract(draft.m_unpinned, holding->m_slots);
        }
        addUnit(draft, claimIndex, UnitSource::Held, holding->m_slots);
    }
}

/// The unpinned capacity and what the organisation's own pinned work occupies outside the units it holds.
static Capacity withOwnPinned(const PlanningView &view, int organisation, const Draft &draft)
{
    Slots own;
    for (const auto *holding : view.m_holdingsOf.at(organisation)) {
        if (!holding->m_reclaimable) {
            std::copy(holding->m_slots.begin(), holding->m_slots.end(), std::back_inserter(own));
        }
    }
    const Capacity capacity = with(*draft.m_unpinned, own, view.m_usable);
    auto sets = capacity.m_accelerators;
    for (const auto &unit : draft.m_units) {
        if (view.m_claims[unit.m_claim].m_organisation == organisation) {
            for (const auto &slot : unit.m_slots) {
                sets[slot.m_worker] &= ~slot.m_accelerators;
            }
        }
    }
    return {std::move(sets), capacity.m_cores, capacity.m_memoryMb};
}

static bool planUnit(const PlanningView &view, int claimIndex, UnitSource source, const Capacity &capacity, Draft &draft)
{
    const auto slots = fit(view.m_fleet, capacity, view.m_claims[claimIndex].m_shape);
    if (!slots) {
        return false;
    }
    subtract(draft.m_free, *slots);
    subtract(draft.m_unpinned, *slots);
    addUnit(draft, claimIndex, source, *slots);
    return true;
}

/// Free capacity first, then lent capacity, and last the positions of the organisation's own work that cannot be removed.
static void planRest(const PlanningView &view, int claimIndex, Draft &draft)
{
    const Claim &claim = view.m_claims[claimIndex];
    const ShapeText shape = describeShape(claim.m_shape);
    const auto isOpen = [&] { return draft.m_met[claimIndex] < claim.m_count; };
    // Both capacities only shrink, so what does not fit once is not tried again.
    while (isOpen() && !draft.m_notFree.contains(shape) && planUnit(view, claimIndex, UnitSource::Free, *draft.m_free, draft)) { }
    if (!isOpen()) {
        return;
    }
    draft.m_notFree.insert(shape);
    while (isOpen() && !draft.m_notUnpinned.contains(shape) && planUnit(view, claimIndex, UnitSource::Reclaimable, *draft.m_unpinned, draft)) { }
    if (!isOpen()) {
        return;
    }
    draft.m_notUnpinned.insert(shape);
    while (isOpen() && planUnit(view, claimIndex, UnitSource::OwnWork, withOwnPinned(view, claim.m_organisation, draft), draft)) { }
}

/// @p capacity on those workers only on which the organisation runs work that cannot be removed.
static Capacity besideOwnPinned(const PlanningView &view, int organisation, const Capacity &capacity)
{
    std::vector<AcceleratorSet> sets(capacity.m_accelerators.size());
    for (const auto *holding : view.m_holdingsOf.at(organisation)) {
        for (const auto &slot : holding->m_slots) {
            sets[slot.m_worker] = holding->m_reclaimable ? sets[slot.m_worker] : capacity.m_accelerators[slot.m_worker];
        }
    }
    return {std::move(sets), capacity.m_cores, capacity.m_memoryMb};
}

/// Leaves to other claims what only they could not replace: nobody else can use the positions of the organisation's own work.
static void planBesideOwnWork(const PlanningView &view, int claimIndex, Draft &draft)
{
    const Claim &claim = view.m_claims[claimIndex];
    if (claim.m_shape.m_accelerators == 0) {
        return;
    }
    while (draft.m_met[claimIndex] < claim.m_count) {
        const auto capacity = besideOwnPinned(view, claim.m_organisation, withOwnPinned(view, claim.m_organisation, draft));
        if (!planUnit(view, claimIndex, UnitSource::OwnWork, capacity, draft)) {
            return;
        }
    }
}

static Draft emptyDraft(const PlanningView &view)
{
    return {{}, std::vector<int>(view.m_claims.size()), view.m_free, view.m_unpinned};
}

static bool meetsAll(const std::vector<Claim> &claims, const Draft &draft)
{
    for (std::size_t i = 0; i < claims.size(); ++i) {
        if (draft.m_met[i] < claims[i].m_count) {
            return false;
        }
    }
    return true;
}

/// What is held stays where it is, and large shapes choose before small ones: packs best, but ignores the order of service.
static Draft planLargestFirst(const PlanningView &view, bool ownWorkFirst, bool keepsReclaimable)
{
    Draft draft = emptyDraft(view);
    std::vector<int> order(view.m_claims.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&view](int left, int right) {
        return view.m_claims[left].m_shape.m_accelerators > view.m_claims[right].m_shape.m_accelerators;
    });
    for (const int claim : order) {
        planHeld(view, claim, draft, keepsReclaimable);
    }
    for (const int claim : order) {
        if (ownWorkFirst) {
            planBesideOwnWork(view, claim, draft);
        }
        planRest(view, claim, draft);
    }
    return draft;
}

static Draft planInOrder(const PlanningView &view)
{
    Draft draft = emptyDraft(view);
    for (int claim = 0; claim < static_cast<int>(view.m_claims.size()); ++claim) {
        planHeld(view, claim, draft, true);
        planRest(view, claim, draft);
    }
    return draft;
}

GuaranteePlan planGuarantees(const FleetIndex &fleet, const Capacity &usable, const std::vector<Holding> &holdings, const std::vector<Claim> &claims)
{
    const PlanningView view = viewOf(fleet, usable, holdings, claims);
    Draft draft = planLargestFirst(view, false, true);
    if (!meetsAll(claims, draft)) {
        Draft second = planLargestFirst(view, true, true);
        if (meetsAll(claims, second)) {
            return {std::move(second.m_units), std::move(second.m_met)};
        }
        // Work larger than its unit may leave room for others if it can be removed.
        Draft third = planLargestFirst(view, true, false);
        if (meetsAll(claims, third)) {
            return {std::move(third.m_units), std::move(third.m_met)};
        }
        // Too small for all: the documented order of service decides who falls short.
        Draft ordered = planInOrder(view);
        return {std::move(ordered.m_units), std::move(ordered.m_met)};
    }
    return {std::move(draft.m_units), std::move(draft.m_met)};
}

bool meetsAsMuch(const GuaranteePlan &before, const GuaranteePlan &after)
{
    for (std::size_t i = 0; i < before.m_met.size(); ++i) {
        if (after.m_met[i] < before.m_met[i]) {
            return false;
        }
    }
    return true;
}

std::vector<const Slots *> unitsOfOthers(const GuaranteePlan &plan, const std::vector<Claim> &claims, int organisation)
{
    std::vector<const Slots *> units;
    for (const auto &unit : plan.m_units) {
        if (organisation < 0 || claims[unit.m_claim].m_organisation != organisation) {
            units.push_back(&unit.m_slots);
        }
    }
    return units;
}

std::vector<bool> coveredHoldings(const GuaranteePlan &plan, const std::vector<Claim> &claims, const std::vector<Holding> &holdings, int workers)
{
    std::vector<std::vector<const PlannedUnit *>> unitsOn(workers);
    for (const auto &unit : plan.m_units) {
        for (const auto &slot : unit.m_slots) {
            unitsOn[slot.m_worker].push_back(&unit);
        }
    }
    std::vector<bool> covered;
    covered.reserve(holdings.size());
    for (const auto &holding : holdings) {
        bool own = false;
        bool foreign = false;
        for (const auto &held : holding.m_slots) {
            for (const auto *unit : unitsOn[held.m_worker]) {
                const bool shared = overlaps(*unit, held);
                const bool same = claims[unit->m_claim].m_organisation == holding.m_organisation;
                own = own || (shared && same);
                foreign = foreign || (shared && !same);
            }
        }
        // A gang may lie partly on a unit of another organisation, which then relies on its release.
        covered.push_back(own && !foreign);
    }
    return covered;
}

} // namespace PrimroseBridge
