#include "joborder.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <tuple>

namespace PrimroseBridge {

/// Standard jobs start this many aging steps ahead of batch jobs.
constexpr int levelsPerTier = 4;

bool fitsUnit(const Shape &wanted, const Shape &unit)
{
    const bool amounts = wanted.m_accelerators <= unit.m_accelerators && wanted.m_cores <= unit.m_cores && wanted.m_memoryMb <= unit.m_memoryMb;
    const bool adjacency = wanted.m_adjacency >= unit.m_adjacency || wanted.m_accelerators <= 1;
    return amounts && adjacency;
}

/// What is left of the guarantees.
struct Entitlements {
    std::vector<int> m_unheld; ///< Units of each claim that its organisation does not hold.
    std::vector<int> m_accelerators; ///< Accelerators for each organisation, less those that its other work uses.
};

static Entitlements entitlementsOf(const PassContext &context, const PassDraft &draft)
{
    Entitlements left{std::vector<int>(context.m_claims.size()), std::vector<int>(context.m_state.m_organisations.size())};
    for (std::size_t organisation = 0; organisation < left.m_accelerators.size(); ++organisation) {
        left.m_accelerators[organisation] = -draft.m_usage[organisation];
    }
    for (const auto &unit : draft.m_plan->m_units) {
        const auto &claim = context.m_claims[unit.m_claim];
        if (claim.m_organisation < 0) {
            continue;
        }
        const bool held = unit.m_source == UnitSource::Held;
        // Own work that cannot be removed uses the unit up, and no release of other work would free it.
        left.m_unheld[unit.m_claim] += held || unit.m_source == UnitSource::OwnWork ? 0 : 1;
        left.m_accelerators[claim.m_organisation] += held ? countAccelerators(unit.m_slots) : claim.m_shape.m_accelerators;
    }
    return left;
}

/// A job of the size of the unit claims it whatever else its organisation runs. Smaller jobs claim what the organisation does
/// not use of its guarantees.
static bool takeEntitlement(const PassContext &context, int job, int claimIndex, Entitlements &left)
{
    const Shape &wanted = context.m_state.m_queue[job].m_shape;
    const Claim &claim = context.m_claims[claimIndex];
    if (left.m_unheld[claimIndex] == 0 || !fitsUnit(wanted, claim.m_shape)) {
        return false;
    }
    const bool whole = wanted.m_accelerators == claim.m_shape.m_accelerators;
    if (!whole && (wanted.m_accelerators == 0 || wanted.m_accelerators > left.m_accelerators[claim.m_organisation])) {
        return false;
    }
    left.m_unheld[claimIndex] -= whole ? 1 : 0;
    left.m_accelerators[claim.m_organisation] -= wanted.m_accelerators;
    return true;
}

static int levelByAge(const PassContext &context, const QueuedJob &job)
{
    if (job.m_tier == Tier::Urgent) {
        return UrgentLevel;
    }
    const auto steps = std::max<std::int64_t>(0, (context.m_now - job.m_submittedAt) / context.m_settings.m_agingPeriod);
    const int first = FirstAgingLevel + static_cast<int>(job.m_tier) * levelsPerTier;
    return static_cast<int>(std::max<std::int64_t>(FirstAgingLevel, first - steps));
}

/// True if the job could start if everything that is not guaranteed to others were free, and its quota allows it now.
static bool canEventuallyStart(const PassContext &context, const PassDraft &draft, int job)
{
    const auto &queued = context.m_state.m_queue[job];
    const int organisation = context.m_organisationOf[job];
    if (organisation < 0 || draft.m_usage[organisation] + queued.m_shape.m_accelerators > context.m_state.m_organisations[organisation].m_quotaAccelerators) {
        return false;
    }
    if (!isPinned(queued)) {
        return fit(context.m_fleet, context.m_usable, queued.m_shape).has_value();
    }
    const auto units = unitsOfOthers(*draft.m_plan, context.m_claims, organisation);
    return fit(context.m_fleet, withoutAll(context.m_usable, units), queued.m_shape).has_value();
}

/// The longest-waiting job beyond the limit, -1 if there is none. A job that cannot start at all does not keep others from it.
static int oldestStarving(const PassContext &context, const PassDraft &draft)
{
    const auto &queue = context.m_state.m_queue;
    std::vector<int> starving;
    for (int job = 0; job < static_cast<int>(queue.size()); ++job) {
        if (context.m_now - queue[job].m_submittedAt >= context.m_settings.m_longestWait) {
            starving.push_back(job);
        }
    }
    std::sort(starving.begin(), starving.end(), [&queue](int left, int right) {
        return std::tie(queue[left].m_submittedAt, queue[left].m_key.text()) < std::tie(queue[right].m_submittedAt, queue[right].m_key.text());
    });
    std::set<std::tuple<ShapeKey, int, bool>> refused;
    for (const int job : starving) {
        const std::tuple key(shapeKey(queue[job].m_shape), context.m_organisationOf[job], isPinned(queue[job]));
        if (refused.contains(key)) {
            continue;
        }
        if (canEventuallyStart(context, draft, job)) {
            return job;
        }
        refused.insert(key);
    }
    return -1;
}

static void markEntitled(const PassContext &context, const PassDraft &draft, std::vector<int> &levels)
{
    const auto &queue = context.m_state.m_queue;
    auto left = entitlementsOf(context, draft);
    std::vector<std::vector<int>> claimsOf(context.m_state.m_organisations.size());
    for (int claim = 0; claim < static_cast<int>(context.m_claims.size()); ++claim) {
        if (context.m_claims[claim].m_organisation >= 0) {
            claimsOf[context.m_claims[claim].m_organisation].push_back(claim);
        }
    }
    std::vector<int> order(queue.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&queue](int one, int other) { return queue[one].m_submittedAt < queue[other].m_submittedAt; });
    for (const int job : order) {
        const int organisation = context.m_organisationOf[job];
        if (organisation < 0) {
            continue;
        }
        for (const int claim : claimsOf[organisation]) {
            if (takeEntitlement(context, job, claim, left)) {
                levels[job] = EntitledLevel;
                break;
            }
        }
    }
}

/// Order among claimed guarantees: the largest first, because smaller ones would take the position that is being freed for it.
static int claimRank(const JobOrder &order, const PassContext &context, int job)
{
    return order.m_levels[job] == EntitledLevel ? -context.m_state.m_queue[job].m_shape.m_accelerators : 0;
}

static void pushHead(JobOrder &order, int organisation, const PassContext &context, const PassDraft &draft)
{
    const auto &jobs = order.m_jobsOf[organisation];
    if (jobs.empty()) {
        return;
    }
    const auto &job = context.m_state.m_queue[jobs.back()];
    const bool known = organisation < static_cast<int>(context.m_state.m_organisations.size());
    const double share = known ? draft.m_usage[organisation] / context.m_state.m_organisations[organisation].m_weight : 0;
    order.m_heads.push_back({{order.m_levels[jobs.back()], claimRank(order, context, jobs.back()), share, job.m_submittedAt, job.m_key.text()}, organisation});
    std::push_heap(order.m_heads.begin(), order.m_heads.end(), std::greater<>());
}

JobOrder makeJobOrder(const PassContext &context, const PassDraft &draft)
{
    const auto &queue = context.m_state.m_queue;
    JobOrder order;
    for (const auto &job : queue) {
        order.m_levels.push_back(levelByAge(context, job));
    }
    if (const int starving = oldestStarving(context, draft); starving >= 0) {
        order.m_levels[starving] = StarvingLevel;
    }
    markEntitled(context, draft, order.m_levels);
    const std::size_t organisations = context.m_state.m_organisations.size();
    order.m_jobsOf.resize(organisations + 1);
    for (int job = 0; job < static_cast<int>(queue.size()); ++job) {
        const int organisation = context.m_organisationOf[job];
        order.m_jobsOf[organisation < 0 ? organisations : organisation].push_back(job);
    }
    const auto later = [&](int left, int right) {
        const int leftRank = claimRank(order, context, left);
        const int rightRank = claimRank(order, context, right);
        return std::tie(order.m_levels[left], leftRank, queue[left].m_submittedAt, queue[left].m_key.text())
               > std::tie(order.m_levels[right], rightRank, queue[right].m_submittedAt, queue[right].m_key.text());
    };
    for (std::size_t organisation = 0; organisation <= organisations; ++organisation) {
        std::sort(order.m_jobsOf[organisation].begin(), order.m_jobsOf[organisation].end(), later);
        pushHead(order, static_cast<int>(organisation), context, draft);
    }
    return order;
}

std::optional<int> popJob(JobOrder &order, const PassContext &context, const PassDraft &draft)
{
    // The organisation popped last is pushed again only now, when its usage is known.
    if (order.m_last >= 0) {
        pushHead(order, order.m_last, context, draft);
        order.m_last = -1;
    }
    if (order.m_heads.empty()) {
        return std::nullopt;
    }
    std::pop_heap(order.m_heads.begin(), order.m_heads.end(), std::greater<>());
    const int organisation = order.m_heads.back().second;
    order.m_heads.pop_back();
    const int job = order.m_jobsOf[organisation].back();
    order.m_jobsOf[organisation].pop_back();
    order.m_last = organisation;
    return job;
}

} // namespace PrimroseBridge
