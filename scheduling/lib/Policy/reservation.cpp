#include "reservation.h"

#include "primrosebridge/Placement/reclaim.h"

#include "joborder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace PrimroseBridge {

unsigned blockingReservations(const PassContext &context, const PassDraft &draft, int job, int level)
{
    // Claimed guarantees and urgent work go ahead of estimate-based reservations; those of starving jobs are firm.
    if (level < FirstAgingLevel) {
        return 0;
    }
    const auto &queued = context.m_state.m_queue[job];
    unsigned blocking = 0;
    for (std::size_t i = 0; i < draft.m_reservations.size() && i < 32; ++i) {
        const auto &reservation = draft.m_reservations[i];
        const bool late = context.m_now + queued.m_expectedRunTime > reservation.m_expectedStart;
        if (!reservation.m_firm && reservation.m_job != job && (late || isPinned(queued))) {
            blocking |= 1U << i;
        }
    }
    return blocking;
}

Capacity viewFor(const PassContext &context, const PassDraft &draft, int job, unsigned blocking, bool spareUnits)
{
    std::vector<const Slots *> excluded;
    for (std::size_t i = 0; i < draft.m_reservations.size() && i < 32; ++i) {
        if ((blocking >> i & 1U) != 0) {
            excluded.push_back(&draft.m_reservations[i].m_slots);
        }
    }
    if (spareUnits) {
        const auto units = unitsOfOthers(*draft.m_plan, context.m_claims, context.m_organisationOf[job]);
        excluded.insert(excluded.end(), units.begin(), units.end());
    }
    return withoutAll(*draft.m_free, excluded);
}

bool hasReservation(const PassDraft &draft)
{
    return std::any_of(draft.m_reservations.begin(), draft.m_reservations.end(), [](const Reservation &one) { return !one.m_firm; });
}

/// Capacity that is being released is expected at once. An overdue task is expected to run on for as long as it is overdue, at least 1 s.
static Instant expectedEnd(const PassContext &context, const Allocation &allocation)
{
    if (allocation.m_releasing) {
        return context.m_now;
    }
    const Instant end = allocation.m_startedAt + allocation.m_expectedRunTime;
    return end > context.m_now ? end : context.m_now + std::max(Duration(1000), Duration(context.m_now - end));
}

void reserve(const PassContext &context, PassDraft &draft, int job)
{
    std::vector<std::pair<Instant, const Slots *>> ends;
    for (std::size_t i = 0; i < context.m_holdings.size(); ++i) {
        ends.emplace_back(expectedEnd(context, context.m_state.m_allocations[i]), &context.m_holdings[i].m_slots);
    }
    for (std::size_t i = 0; i < draft.m_placed.size(); ++i) {
        ends.emplace_back(draft.m_placedUntil[i], &draft.m_placed[i].m_slots);
    }
    std::stable_sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<const Slots *> groups;
    groups.reserve(ends.size());
    for (const auto &end : ends) {
        groups.push_back(end.second);
    }
    std::vector<const Slots *> excluded;
    for (const auto &reservation : draft.m_reservations) {
        excluded.push_back(&reservation.m_slots);
    }
    const auto &wanted = context.m_state.m_queue[job];
    if (isPinned(wanted)) {
        const auto units = unitsOfOthers(*draft.m_plan, context.m_claims, context.m_organisationOf[job]);
        excluded.insert(excluded.end(), units.begin(), units.end());
    }
    const auto future = fitAfterRelease(context.m_fleet, context.m_usable, *draft.m_free, groups, excluded, wanted.m_shape);
    if (future) {
        const Instant start = future->m_considered == 0 ? context.m_now : ends[future->m_considered - 1].first;
        draft.m_reservations.push_back({job, future->m_slots, start, false});
    }
}

static bool isLarge(const PassContext &context, const PassDraft &draft, int job)
{
    const int organisation = context.m_organisationOf[job];
    const int accelerators = context.m_state.m_queue[job].m_shape.m_accelerators;
    return accelerators > 1 && organisation >= 0
           && draft.m_usage[organisation] + accelerators <= context.m_state.m_organisations[organisation].m_quotaAccelerators;
}

void reserveForOldestLarge(const PassContext &context, PassDraft &draft, const std::vector<int> &levels)
{
    const auto &queue = context.m_state.m_queue;
    std::vector<int> order;
    for (int job = 0; job < static_cast<int>(queue.size()); ++job) {
        if (levels[job] >= FirstAgingLevel && !draft.m_explanations[job] && isLarge(context, draft, job)) {
            order.push_back(job);
        }
    }
    std::sort(order.begin(), order.end(), [&](int left, int right) {
        return std::tie(levels[left], queue[left].m_submittedAt, queue[left].m_key.text())
               < std::tie(levels[right], queue[right].m_submittedAt, queue[right].m_key.text());
    });
    std::set<ShapeKey> fitting;
    for (const int job : order) {
        if (fitting.contains(shapeKey(queue[job].m_shape))) {
            continue;
        }
        if (!fit(context.m_fleet, *draft.m_free, queue[job].m_shape)) {
            reserve(context, draft, job);
            return;
        }
        fitting.insert(shapeKey(queue[job].m_shape));
    }
}

} // namespace PrimroseBridge
