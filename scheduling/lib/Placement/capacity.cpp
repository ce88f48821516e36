#include "primrosebridge/Placement/capacity.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <map>

namespace PrimroseBridge {

FleetIndex indexFleet(const std::vector<WorkerState> &workers)
{
    std::vector<WorkerId> ids;
    std::unordered_map<WorkerId, int> indexOf;
    std::map<std::string_view, std::vector<int>> byRack;
    ids.reserve(workers.size());
    indexOf.reserve(workers.size());
    for (const auto &worker : workers) {
        const int index = static_cast<int>(ids.size());
        ids.push_back(worker.m_worker.m_id);
        [[maybe_unused]] const bool inserted = indexOf.emplace(worker.m_worker.m_id, index).second;
        assert(inserted && "worker identifiers are unique");
        byRack[worker.m_worker.m_rack.text()].push_back(index);
    }
    std::vector<std::vector<int>> racks;
    std::vector<int> rackOf(workers.size());
    for (auto &[rack, members] : byRack) {
        for (const int member : members) {
            rackOf[member] = static_cast<int>(racks.size());
        }
        racks.push_back(std::move(members));
    }
    return {std::move(ids), std::move(indexOf), std::move(racks), std::move(rackOf)};
}

bool acceptsWork(const WorkerState &worker)
{
    return worker.m_status == BackendServerStatus::Live && !worker.m_ejected;
}

static Capacity capacityOf(const std::vector<WorkerState> &workers, AcceleratorSet (*accelerators)(const WorkerState &), bool (*counts)(const WorkerState &))
{
    std::vector<AcceleratorSet> sets;
    std::vector<int> cores;
    std::vector<std::int64_t> memory;
    for (const auto &worker : workers) {
        const bool counted = counts(worker);
        sets.push_back(counted ? accelerators(worker) : 0);
        cores.push_back(counted ? worker.m_worker.m_cores : 0);
        memory.push_back(counted ? worker.m_worker.m_memoryMb : 0);
    }
    return {std::move(sets), std::move(cores), std::move(memory)};
}

Capacity usableCapacity(const std::vector<WorkerState> &workers)
{
    return capacityOf(
        workers, [](const WorkerState &worker) { return worker.m_usable & firstAccelerators(worker.m_worker.m_accelerators); }, acceptsWork);
}

Capacity declaredCapacity(const std::vector<WorkerState> &workers)
{
    return capacityOf(
        workers, [](const WorkerState &worker) { return firstAccelerators(worker.m_worker.m_accelerators); }, [](const WorkerState &) { return true; });
}

Capacity withoutAll(const Capacity &capacity, const std::vector<const Slots *> &groups)
{
    auto sets = capacity.m_accelerators;
    auto cores = capacity.m_cores;
    auto memory = capacity.m_memoryMb;
    for (const auto *slots : groups) {
        for (const auto &slot : *slots) {
            sets[slot.m_worker] &= ~slot.m_accelerators;
            cores[slot.m_worker] = std::max(0, cores[slot.m_worker] - slot.m_cores);
            memory[slot.m_worker] = std::max<std::int64_t>(0, memory[slot.m_worker] - slot.m_memoryMb);
        }
    }
    return {std::move(sets), std::move(cores), std::move(memory)};
}

Capacity withoutAll(const Capacity &capacity, const std::vector<Slots> &groups)
{
    std::vector<const Slots *> pointers;
    pointers.reserve(groups.size());
    for (const auto &slots : groups) {
        pointers.push_back(&slots);
    }
    return withoutAll(capacity, pointers);
}

Capacity without(const Capacity &capacity, const Slots &slots)
{
    return withoutAll(capacity, std::vector{&slots});
}

Capacity with(const Capacity &capacity, const Slots &slots, const Capacity &limit)
{
    auto sets = capacity.m_accelerators;
    auto cores = capacity.m_cores;
    auto memory = capacity.m_memoryMb;
    for (const auto &slot : slots) {
        const int worker = slot.m_worker;
        sets[worker] |= slot.m_accelerators & limit.m_accelerators[worker];
        cores[worker] = std::min(limit.m_cores[worker], cores[worker] + slot.m_cores);
        memory[worker] = std::min(limit.m_memoryMb[worker], memory[worker] + slot.m_memoryMb);
    }
    return {std::move(sets), std::move(cores), std::move(memory)};
}

Slots slotsOf(const FleetIndex &fleet, const std::vector<GangMember> &members)
{
    Slots slots;
    slots.reserve(members.size());
    for (const auto &member : members) {
        const auto found = fleet.m_indexOf.find(member.m_worker);
        if (found != fleet.m_indexOf.end()) {
            slots.push_back({found->second, member.m_accelerators, member.m_cores, member.m_memoryMb});
        }
    }
    return slots;
}

std::vector<GangMember> membersOf(const FleetIndex &fleet, const Slots &slots)
{
    std::vector<GangMember> members;
    members.reserve(slots.size());
    for (const auto &slot : slots) {
        members.push_back({fleet.m_workers[slot.m_worker], slot.m_accelerators, slot.m_cores, slot.m_memoryMb});
    }
    return members;
}

int countAccelerators(const Capacity &capacity)
{
    int count = 0;
    for (const auto set : capacity.m_accelerators) {
        count += std::popcount(set);
    }
    return count;
}

int countAccelerators(const Slots &slots)
{
    int count = 0;
    for (const auto &slot : slots) {
        count += std::popcount(slot.m_accelerators);
    }
    return count;
}

} // namespace PrimroseBridge
