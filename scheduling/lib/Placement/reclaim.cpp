#include "primrosebridge/Placement/reclaim.h"

#include <algorithm>

namespace PrimroseBridge {

static Capacity released(const Capacity &usable, const Capacity &free, const std::vector<const Slots *> &groups, int count)
{
    auto sets = free.m_accelerators;
    auto cores = free.m_cores;
    auto memory = free.m_memoryMb;
    for (int i = 0; i < count; ++i) {
        for (const auto &slot : *groups[i]) {
            const int worker = slot.m_worker;
            sets[worker] |= slot.m_accelerators & usable.m_accelerators[worker];
            cores[worker] = std::min(usable.m_cores[worker], cores[worker] + slot.m_cores);
            memory[worker] = std::min(usable.m_memoryMb[worker], memory[worker] + slot.m_memoryMb);
        }
    }
    return {std::move(sets), std::move(cores), std::move(memory)};
}

static const Slot *slotOnWorker(const Slots &slots, int worker)
{
    const auto found = std::find_if(slots.begin(), slots.end(), [worker](const Slot &slot) { return slot.m_worker == worker; });
    return found == slots.end() ? nullptr : &*found;
}

/// Cores and memory that the position still lacks on each of its workers.
struct Lack {
    std::vector<int> m_cores;
    std::vector<std::int64_t> m_memoryMb;
};

static Lack lackOf(const Slots &wanted, const Capacity &free)
{
    Lack lack;
    for (const auto &slot : wanted) {
        lack.m_cores.push_back(slot.m_cores - free.m_cores[slot.m_worker]);
        lack.m_memoryMb.push_back(slot.m_memoryMb - free.m_memoryMb[slot.m_worker]);
    }
    return lack;
}

static void subtractGroup(const Slots &wanted, const Slots &group, Lack &lack)
{
    for (const auto &held : group) {
        if (const Slot *slot = slotOnWorker(wanted, held.m_worker)) {
            const auto index = slot - wanted.data();
            lack.m_cores[index] -= held.m_cores;
            lack.m_memoryMb[index] -= held.m_memoryMb;
        }
    }
}

static bool blocksAccelerators(const Slots &wanted, const Slots &group)
{
    return std::any_of(group.begin(), group.end(), [&wanted](const Slot &held) {
        const Slot *slot = slotOnWorker(wanted, held.m_worker);
        return slot != nullptr && (slot->m_accelerators & held.m_accelerators) != 0;
    });
}

static bool relievesLack(const Slots &wanted, const Slots &group, const Lack &lack)
{
    return std::any_of(group.begin(), group.end(), [&](const Slot &held) {
        const Slot *slot = slotOnWorker(wanted, held.m_worker);
        if (slot == nullptr) {
            return false;
        }
        const auto index = slot - wanted.data();
        return (lack.m_cores[index] > 0 && held.m_cores > 0) || (lack.m_memoryMb[index] > 0 && held.m_memoryMb > 0);
    });
}

/// The groups of the prefix that lie on the wanted accelerators, and as many more as the cores and memory need.
static std::vector<int> groupsInTheWay(const Slots &wanted, const Capacity &free, const std::vector<const Slots *> &groups, int count)
{
    Lack lack = lackOf(wanted, free);
    std::vector<bool> chosen(count);
    for (int i = 0; i < count; ++i) {
        if (blocksAccelerators(wanted, *groups[i])) {
            chosen[i] = true;
            subtractGroup(wanted, *groups[i], lack);
        }
    }
    for (int i = 0; i < count; ++i) {
        if (!chosen[i] && relievesLack(wanted, *groups[i], lack)) {
            chosen[i] = true;
            subtractGroup(wanted, *groups[i], lack);
        }
    }
    std::vector<int> indices;
    for (int i = 0; i < count; ++i) {
        if (chosen[i]) {
            indices.push_back(i);
        }
    }
    return indices;
}

std::optional<FutureFit> fitAfterRelease(const FleetIndex &fleet,
                                         const Capacity &usable,
                                         const Capacity &free,
                                         const std::vector<const Slots *> &groups,
                                         const std::vector<const Slots *> &excluded,
                                         const Shape &shape)
{
    const auto fitWith = [&](int count) { return fit(fleet, withoutAll(released(usable, free, groups, count), excluded), shape); };
    int most = static_cast<int>(groups.size());
    if (!fitWith(most)) {
        return std::nullopt;
    }
    int least = 0;
    while (least < most) {
        const int middle = least + (most - least) / 2;
        if (fitWith(middle)) {
            most = middle;
        } else {
            least = middle + 1;
        }
    }
    const auto slots = fitWith(most);
    // Capacity that excluded positions take is not free to the wanted position either.
    return FutureFit{*slots, groupsInTheWay(*slots, withoutAll(free, excluded), groups, most), most};
}

} // namespace PrimroseBridge
