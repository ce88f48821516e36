#include "decide.h"

#include "release.h"
#include "reservation.h"

#include <algorithm>

namespace PrimroseBridge {

/// Most guarantee plans made for single placements in one pass; each takes as long as a hundred placements.
constexpr int maxReplans = 4;

static void explain(const PassContext &context, PassDraft &draft, int job, DecisionRule rule, std::string text)
{
    draft.m_explanations[job].emplace(Explanation{context.m_state.m_queue[job].m_key, rule, std::move(text)});
}

static std::string nameOf(const PassContext &context, int job)
{
    return "job " + context.m_state.m_queue[job].m_key.text();
}

static void place(const PassContext &context, PassDraft &draft, int job, const Slots &slots)
{
    const auto &queued = context.m_state.m_queue[job];
    const int organisation = context.m_organisationOf[job];
    draft.m_free = std::make_shared<const Capacity>(without(*draft.m_free, slots));
    draft.m_usage[organisation] += countAccelerators(slots);
    draft.m_placements.push_back({queued.m_key, queued.m_attempt, membersOf(context.m_fleet, slots)});
    draft.m_placed.push_back({organisation, !isPinned(queued), slots});
    draft.m_placedUntil.push_back(context.m_now + queued.m_expectedRunTime);
}

/// A position that breaks no guarantee though it lies where the current plan has a unit of another organisation.
static std::optional<Slots> fitWithNewPlan(const PassContext &context, PassDraft &draft, int job, const Capacity &view)
{
    auto slots = fit(context.m_fleet, view, context.m_state.m_queue[job].m_shape);
    if (!slots || draft.m_replans >= maxReplans) {
        return std::nullopt;
    }
    ++draft.m_replans;
    auto holdings = context.m_holdings;
    for (const auto &placed : draft.m_placed) {
        holdings.push_back(placed);
    }
    holdings.push_back({context.m_organisationOf[job], false, *slots});
    auto plan = planGuarantees(context.m_fleet, context.m_usable, holdings, context.m_claims);
    if (!meetsAsMuch(*draft.m_plan, plan)) {
        return std::nullopt;
    }
    setPlan(context, draft, std::move(plan));
    return slots;
}

/// True if another organisation's guarantee falls short. Any capacity may then be what it needs.
static bool othersFallShort(const PassContext &context, const GuaranteePlan &plan, int organisation)
{
    for (std::size_t claim = 0; claim < context.m_claims.size(); ++claim) {
        if (context.m_claims[claim].m_organisation != organisation && plan.m_met[claim] < context.m_claims[claim].m_count) {
            return true;
        }
    }
    return false;
}

static std::optional<Slots> findPosition(const PassContext &context, PassDraft &draft, int job, unsigned blocking)
{
    const auto &queued = context.m_state.m_queue[job];
    if (auto slots = fit(context.m_fleet, viewFor(context, draft, job, blocking, true), queued.m_shape)) {
        return slots;
    }
    const Capacity lent = viewFor(context, draft, job, blocking, false);
    return isPinned(queued) ? fitWithNewPlan(context, draft, job, lent) : fit(context.m_fleet, lent, queued.m_shape);
}

/// What keeps a job waiting that fits into the free capacity.
static DecisionRule obstacle(const PassContext &context, const PassDraft &draft, int job)
{
    const auto &queued = context.m_state.m_queue[job];
    const bool free = isPinned(queued) && !fit(context.m_fleet, viewFor(context, draft, job, 0, true), queued.m_shape);
    return free ? DecisionRule::WaitsForGuarantee : DecisionRule::WaitsForReservation;
}

static std::string guaranteeText(const PassContext &context, int job)
{
    const auto &queued = context.m_state.m_queue[job];
    for (const auto &guarantee : context.m_state.m_guarantees) {
        if (guarantee.m_organisation != queued.m_organisation) {
            return "the free accelerators are needed for guarantees, for example " + std::to_string(guarantee.m_count) + " x "
                   + describeShape(guarantee.m_shape) + " of " + guarantee.m_organisation.text() + ", and the job can be neither checkpointed nor rerun";
        }
    }
    return "the free accelerators are needed for guarantees";
}

static std::string waitText(const PassContext &context, const PassDraft &draft, int job, DecisionRule rule)
{
    if (rule == DecisionRule::WaitsForGuarantee) {
        return guaranteeText(context, job);
    }
    const auto kept = std::find_if(draft.m_reservations.begin(), draft.m_reservations.end(), [job](const Reservation &one) { return one.m_job != job; });
    if (rule == DecisionRule::WaitsForReservation && kept != draft.m_reservations.end()) {
        return "would delay " + nameOf(context, kept->m_job) + ", which holds a reservation";
    }
    return "no position is free for " + describeShape(context.m_state.m_queue[job].m_shape);
}

static std::optional<ReleasePlan> releasePlanFor(const PassContext &context, const PassDraft &draft, int job, int level)
{
    if (level != EntitledLevel) {
        return planRelease(context, draft, job, level == StarvingLevel ? ReleaseScope::Starving : ReleaseScope::Urgent);
    }
    auto plan = planRelease(context, draft, job, ReleaseScope::Guarantee);
    return plan ? plan : planRelease(context, draft, job, ReleaseScope::GuaranteeOrCovered);
}

static bool tryRelease(const PassContext &context, PassDraft &draft, int job, int level)
{
    const auto plan = releasePlanFor(context, draft, job, level);
    if (!plan) {
        return false;
    }
    const auto &queued = context.m_state.m_queue[job];
    const std::string reason = level == EntitledLevel   ? "the guarantee of " + queued.m_organisation.text() + " is claimed by " + nameOf(context, job)
                               : level == StarvingLevel ? nameOf(context, job) + " has waited beyond the limit"
                                                        : "urgent " + nameOf(context, job) + " must start";
    applyRelease(context, draft, job, *plan, reason);
    explain(context, draft, job, DecisionRule::WaitsForReclaim, "capacity is kept for it: " + reason);
    return true;
}

static bool refuse(const PassContext &context, PassDraft &draft, int job)
{
    const auto &queued = context.m_state.m_queue[job];
    const int organisation = context.m_organisationOf[job];
    if (organisation < 0) {
        explain(context, draft, job, DecisionRule::WaitsForQuota, "organisation " + queued.m_organisation.text() + " is not configured and has no quota");
        return true;
    }
    const int quota = context.m_state.m_organisations[organisation].m_quotaAccelerators;
    if (draft.m_usage[organisation] + queued.m_shape.m_accelerators > quota) {
        explain(context,
                draft,
                job,
                DecisionRule::WaitsForQuota,
                "organisation " + queued.m_organisation.text() + " uses " + std::to_string(draft.m_usage[organisation]) + " of its quota of "
                    + std::to_string(quota) + " accelerators");
        return true;
    }
    if (static_cast<int>(draft.m_placements.size() + draft.m_releases.size()) >= context.m_settings.m_maxPlacements) {
        explain(context, draft, job, DecisionRule::WaitsBehindOthers, "others have precedence; the next pass considers it");
        return true;
    }
    return false;
}

static void explainPlaced(const PassContext &context, PassDraft &draft, int job, int level)
{
    const auto &queued = context.m_state.m_queue[job];
    const bool ahead = hasReservation(draft);
    if (level == EntitledLevel) {
        explain(context, draft, job, DecisionRule::PlacedReclaim, "placed under the guarantee of " + queued.m_organisation.text());
    } else if (ahead) {
        explain(context,
                draft,
                job,
                DecisionRule::PlacedBackfill,
                "placed ahead of " + nameOf(context, draft.m_reservations.front().m_job) + " without delaying it");
    } else {
        explain(context, draft, job, DecisionRule::Placed, "placed on free capacity");
    }
}

/// What the units of others look like to the job: the same for all organisations without a guarantee.
static int unitsSeenBy(const PassContext &context, int job)
{
    const int organisation = context.m_organisationOf[job];
    const bool claims
        = std::any_of(context.m_claims.begin(), context.m_claims.end(), [organisation](const Claim &claim) { return claim.m_organisation == organisation; });
    return !isPinned(context.m_state.m_queue[job]) ? -1 : claims ? organisation : -2;
}

/// True if the shape does not fit even into everything that is free; remembered, because free capacity only shrinks.
static bool isTooLarge(const PassContext &context, const PassDraft &draft, int job, FailedSearches &failed)
{
    const Shape &shape = context.m_state.m_queue[job].m_shape;
    if (failed.m_unfitting.contains(shapeKey(shape))) {
        return true;
    }
    if (fit(context.m_fleet, *draft.m_free, shape)) {
        return false;
    }
    failed.m_unfitting.insert(shapeKey(shape));
    return true;
}

static void wait(const PassContext &context, PassDraft &draft, int job, DecisionRule rule)
{
    explain(context, draft, job, rule, waitText(context, draft, job, rule));
}

void decideJob(const PassContext &context, int job, int level, PassDraft &draft, FailedSearches &failed)
{
    if (refuse(context, draft, job)) {
        return;
    }
    const auto &queued = context.m_state.m_queue[job];
    if (level != EntitledLevel && isPinned(queued) && othersFallShort(context, *draft.m_plan, context.m_organisationOf[job])) {
        explain(context, draft, job, DecisionRule::WaitsForGuarantee, "a guarantee falls short, and the job can be neither checkpointed nor rerun");
        return;
    }
    const unsigned blocking = blockingReservations(context, draft, job, level);
    const SearchKey key(shapeKey(queued.m_shape), unitsSeenBy(context, job), std::min(level, +FirstAgingLevel), blocking);
    if (const auto found = failed.m_rules.find(key); found != failed.m_rules.end() && level >= UrgentLevel) {
        wait(context, draft, job, found->second);
        return;
    }
    const bool tooLarge = isTooLarge(context, draft, job, failed);
    if (const auto slots = tooLarge ? std::nullopt : findPosition(context, draft, job, blocking)) {
        explainPlaced(context, draft, job, level);
        place(context, draft, job, *slots);
        return;
    }
    if (level <= UrgentLevel && tryRelease(context, draft, job, level)) {
        return;
    }
    const DecisionRule rule = tooLarge ? DecisionRule::WaitsForCapacity : obstacle(context, draft, job);
    if (!hasReservation(draft)) {
        reserve(context, draft, job);
    }
    failed.m_rules.emplace(key, rule);
    wait(context, draft, job, rule);
}

} // namespace PrimroseBridge
