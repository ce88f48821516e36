#include "baselines.h"

#include "primrosebridge/Placement/fit.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <tuple>

namespace PrimroseBridge {

static PassResult inOrder(const ZoneState &state, FitRule rule, bool passesOver)
{
    const FleetIndex fleet = indexFleet(state.m_workers);
    std::vector<Slots> occupied;
    for (const auto &allocation : state.m_allocations) {
        occupied.push_back(slotsOf(fleet, allocation.m_members));
    }
    auto free = std::make_shared<const Capacity>(withoutAll(usableCapacity(state.m_workers), occupied));
    std::vector<int> order(state.m_queue.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&state](int left, int right) {
        const auto &one = state.m_queue[left];
        const auto &other = state.m_queue[right];
        return std::tie(one.m_submittedAt, one.m_key.text()) < std::tie(other.m_submittedAt, other.m_key.text());
    });
    std::vector<Placement> placements;
    for (const int job : order) {
        const auto &queued = state.m_queue[job];
        const auto slots = fit(fleet, *free, queued.m_shape, rule);
        if (!slots && !passesOver) {
            break;
        }
        if (slots) {
            placements.push_back({queued.m_key, queued.m_attempt, membersOf(fleet, *slots)});
            free = std::make_shared<const Capacity>(without(*free, *slots));
        }
    }
    return {std::move(placements), {}, {}, {}, 0};
}

PassResult firstComeFirstServed(const ZoneState &state, const PassSettings & /*settings*/, Instant /*now*/)
{
    return inOrder(state, FitRule::First, false);
}

PassResult bestFitOnly(const ZoneState &state, const PassSettings & /*settings*/, Instant /*now*/)
{
    return inOrder(state, FitRule::Best, true);
}

} // namespace PrimroseBridge
