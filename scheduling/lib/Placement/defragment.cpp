#include "primrosebridge/Placement/defragment.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <limits>
#include <memory>
#include <numeric>

namespace PrimroseBridge {

/// Accelerators in use on the emptiest worker of the slots.
static int useOfEmptiestWorker(const Capacity &usable, const Capacity &free, const Slots &slots)
{
    int least = std::numeric_limits<int>::max();
    for (const auto &slot : slots) {
        least = std::min(least, std::popcount(usable.m_accelerators[slot.m_worker] & ~free.m_accelerators[slot.m_worker]));
    }
    return least;
}

static std::vector<int> emptiestFirst(const Capacity &usable, const Capacity &free, const std::vector<Movable> &movables)
{
    std::vector<int> uses;
    uses.reserve(movables.size());
    for (const auto &movable : movables) {
        uses.push_back(useOfEmptiestWorker(usable, free, movable.m_slots));
    }
    std::vector<int> order(movables.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&uses](int left, int right) { return uses[left] < uses[right]; });
    return order;
}

/// True if all of @p moved fit into @p capacity together, the largest first.
static bool fitElsewhere(const FleetIndex &fleet, const Capacity &first, std::vector<const Movable *> moved)
{
    std::stable_sort(
        moved.begin(), moved.end(), [](const Movable *left, const Movable *right) { return left->m_shape.m_accelerators > right->m_shape.m_accelerators; });
    auto capacity = std::make_shared<const Capacity>(first);
    for (const auto *movable : moved) {
        const auto slots = fit(fleet, *capacity, movable->m_shape);
        if (!slots) {
            return false;
        }
        capacity = std::make_shared<const Capacity>(without(*capacity, *slots));
    }
    return true;
}

std::optional<DefragmentationPlan>
planDefragmentation(const FleetIndex &fleet, const Capacity &usable, const Capacity &free, const std::vector<Movable> &movables, const Shape &shape)
{
    const auto order = emptiestFirst(usable, free, movables);
    std::vector<const Slots *> groups;
    groups.reserve(order.size());
    for (const int index : order) {
        groups.push_back(&movables[index].m_slots);
    }
    const auto future = fitAfterRelease(fleet, usable, free, groups, {}, shape);
    if (!future || future->m_released.empty()) {
        return std::nullopt;
    }
    std::vector<const Movable *> moved;
    std::vector<int> indices;
    Slots released;
    for (const int position : future->m_released) {
        const Movable &movable = movables[order[position]];
        moved.push_back(&movable);
        indices.push_back(movable.m_index);
        std::copy(movable.m_slots.begin(), movable.m_slots.end(), std::back_inserter(released));
    }
    if (!fitElsewhere(fleet, without(with(free, released, usable), future->m_slots), moved)) {
        return std::nullopt;
    }
    return DefragmentationPlan{future->m_slots, std::move(indices), countAccelerators(released)};
}

} // namespace PrimroseBridge
