#include "primrosebridge/Placement/guaranteeplan.h"

#include <algorithm>
#include <memory>
#include <numeric>
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

/// The parts of a plan while it is made.
struct Draft {
    std::vector<PlannedUnit> m_units;
    std::vector<int> m_met;
};

/// Capacities that one planning run looks at.
struct PlanningView {
    const FleetIndex &m_fleet;
    const Capacity &m_usable;
    const std::vector<Holding> &m_holdings;
    const std::vector<Claim> &m_claims;
    const Capacity m_free; ///< In use by nobody.
    const Capacity m_unpinned; ///< Free or reclaimable.
};

static PlanningView viewOf(const FleetIndex &fleet, const Capacity &usable, const std::vector<Holding> &holdings, const std::vector<Claim> &claims)
{
    std::vector<Slots> all;
    std::vector<Slots> pinned;
    for (const auto &holding : holdings) {
        all.push_back(holding.m_slots);
        if (!holding.m_reclaimable) {
            pinned.push_back(holding.m_slots);
        }
    }
    return {fleet, usable, holdings, claims, withoutAll(usable, all), withoutAll(usable, pinned)};
}

/// What one organisation can use for its units: @p base plus its own holdings less the units planned so far.
static Capacity available(const PlanningView &view, const Capacity &base, int organisation, bool pinnedOnly, const Draft &draft)
{
    auto sets = base.m_accelerators;
    auto cores = base.m_cores;
    auto memory = base.m_memoryMb;
    for (const auto &holding : view.m_holdings) {
        if (holding.m_organisation != organisation || organisation < 0 || (pinnedOnly && holding.m_reclaimable)) {
            continue;
        }
        for (const auto &slot : holding.m_slots) {
            sets[slot.m_worker] |= slot.m_accelerators & view.m_usable.m_accelerators[slot.m_worker];
            cores[slot.m_worker] = std::min(view.m_usable.m_cores[slot.m_worker], cores[slot.m_worker] + slot.m_cores);
            memory[slot.m_worker] = std::min(view.m_usable.m_memoryMb[slot.m_worker], memory[slot.m_worker] + slot.m_memoryMb);
        }
    }
    std::vector<Slots> planned;
    planned.reserve(draft.m_units.size());
    for (const auto &unit : draft.m_units) {
        planned.push_back(unit.m_slots);
    }
    return withoutAll({std::move(sets), std::move(cores), std::move(memory)}, planned);
}

static bool isWithin(const Slots &slots, const Capacity &capacity)
{
    return std::all_of(slots.begin(), slots.end(), [&capacity](const Slot &slot) {
        const int worker = slot.m_worker;
        return (slot.m_accelerators & ~capacity.m_accelerators[worker]) == 0 && slot.m_cores <= capacity.m_cores[worker]
               && slot.m_memoryMb <= capacity.m_memoryMb[worker];
    });
}

/// Units that the organisation's own allocations of exactly this size already hold.
static void planExactHoldings(const PlanningView &view, int claimIndex, Draft &draft)
{
    const Claim &claim = view.m_claims[claimIndex];
    if (claim.m_organisation < 0) {
        return;
    }
    for (const auto &holding : view.m_holdings) {
        if (draft.m_met[claimIndex] == claim.m_count) {
            return;
        }
        const bool own = holding.m_organisation == claim.m_organisation;
        if (!own || holding.m_slots.empty() || countAccelerators(holding.m_slots) != claim.m_shape.m_accelerators) {
            continue;
        }
        // A gang over several workers does not hold a unit that must lie on one worker.
        if (claim.m_shape.m_adjacency == Adjacency::SameWorker && holding.m_slots.size() != 1) {
            continue;
        }
        if (isWithin(holding.m_slots, available(view, view.m_free, claim.m_organisation, false, draft))) {
            draft.m_units.push_back({claimIndex, UnitSource::Held, holding.m_slots});
            ++draft.m_met[claimIndex];
        }
    }
}

/// The capacity of only those workers on which the organisation runs something.
static Capacity onOwnWorkers(const PlanningView &view, const Capacity &capacity, int organisation)
{
    std::vector<AcceleratorSet> sets(capacity.m_accelerators.size());
    std::vector<int> cores(sets.size());
    std::vector<std::int64_t> memory(sets.size());
    for (const auto &holding : view.m_holdings) {
        if (holding.m_organisation != organisation) {
            continue;
        }
        for (const auto &slot : holding.m_slots) {
            sets[slot.m_worker] = capacity.m_accelerators[slot.m_worker];
            cores[slot.m_worker] = capacity.m_cores[slot.m_worker];
            memory[slot.m_worker] = capacity.m_memoryMb[slot.m_worker];
        }
    }
    return {std::move(sets), std::move(cores), std::move(memory)};
}

static void planRest(const PlanningView &view, int claimIndex, Draft &draft)
{
    const Claim &claim = view.m_claims[claimIndex];
    const auto add = [&](UnitSource source, const Slots &slots) {
        const bool held = source == UnitSource::Free && claim.m_shape.m_accelerators > 0 && std::none_of(slots.begin(), slots.end(), [&view](const Slot &slot) {
                              return (slot.m_accelerators & view.m_free.m_accelerators[slot.m_worker]) != 0;
                          });
        draft.m_units.push_back({claimIndex, held ? UnitSource::Held : source, slots});
        ++draft.m_met[claimIndex];
    };
    const auto planFrom = [&](UnitSource source, Capacity first) {
        auto capacity = std::make_shared<const Capacity>(std::move(first));
        while (draft.m_met[claimIndex] < claim.m_count) {
            const auto slots = fit(view.m_fleet, *capacity, claim.m_shape);
            if (!slots) {
                return;
            }
            add(source, *slots);
            capacity = std::make_shared<const Capacity>(without(*capacity, *slots));
        }
    };
    if (draft.m_met[claimIndex] < claim.m_count) {
        planFrom(UnitSource::Free, onOwnWorkers(view, available(view, view.m_free, claim.m_organisation, false, draft), claim.m_organisation));
    }
    if (draft.m_met[claimIndex] < claim.m_count) {
        planFrom(UnitSource::Free, available(view, view.m_free, claim.m_organisation, false, draft));
    }
    if (draft.m_met[claimIndex] < claim.m_count) {
        planFrom(UnitSource::Reclaimable, available(view, view.m_unpinned, claim.m_organisation, true, draft));
    }
}

static Draft emptyDraft(const std::vector<Claim> &claims)
{
    return {{}, std::vector<int>(claims.size())};
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
static Draft planLargestFirst(const PlanningView &view)
{
    Draft draft = emptyDraft(view.m_claims);
    std::vector<int> order(view.m_claims.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&view](int left, int right) {
        return view.m_claims[left].m_shape.m_accelerators > view.m_claims[right].m_shape.m_accelerators;
    });
    for (const int claim : order) {
        planExactHoldings(view, claim, draft);
    }
    for (const int claim : order) {
        planRest(view, claim, draft);
    }
    return draft;
}

static Draft planInOrder(const PlanningView &view)
{
    Draft draft = emptyDraft(view.m_claims);
    for (int claim = 0; claim < static_cast<int>(view.m_claims.size()); ++claim) {
        planExactHoldings(view, claim, draft);
        planRest(view, claim, draft);
    }
    return draft;
}

GuaranteePlan planGuarantees(const FleetIndex &fleet, const Capacity &usable, const std::vector<Holding> &holdings, const std::vector<Claim> &claims)
{
    const PlanningView view = viewOf(fleet, usable, holdings, claims);
    Draft draft = planLargestFirst(view);
    if (!meetsAll(claims, draft)) {
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

std::vector<Slots> unitsOfOthers(const GuaranteePlan &plan, const std::vector<Claim> &claims, int organisation)
{
    std::vector<Slots> units;
    for (const auto &unit : plan.m_units) {
        if (organisation < 0 || claims[unit.m_claim].m_organisation != organisation) {
            units.push_back(unit.m_slots);
        }
    }
    return units;
}

static bool overlaps(const PlannedUnit &unit, const Slot &held)
{
    return std::any_of(unit.m_slots.begin(), unit.m_slots.end(), [&held](const Slot &slot) {
        return slot.m_worker == held.m_worker && (slot.m_accelerators & held.m_accelerators) != 0;
    });
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
