#include "primrosebridge/Placement/fit.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <numeric>
#include <tuple>

namespace PrimroseBridge {

/// A maximal series of consecutive accelerators.
struct Run {
    const int m_start;
    const int m_length; ///< 0 if there is none.
};

static Run nextRun(AcceleratorSet set, int from)
{
    const AcceleratorSet rest = from >= maxAcceleratorsPerWorker ? 0 : set & (~AcceleratorSet(0) << from);
    if (rest == 0) {
        return {maxAcceleratorsPerWorker, 0};
    }
    const int start = std::countr_zero(rest);
    return {start, std::countr_one(rest >> start)};
}

static int longestRun(AcceleratorSet set)
{
    int length = 0;
    while (set != 0) {
        set &= set << 1;
        ++length;
    }
    return length;
}

/// The run of at least @p count accelerators that the rule prefers; length 0 if there is none.
static Run chooseRun(AcceleratorSet set, int count, FitRule rule)
{
    int start = 0;
    int length = 0;
    for (int from = 0; from < maxAcceleratorsPerWorker;) {
        const Run run = nextRun(set, from);
        from = run.m_start + run.m_length;
        if (run.m_length >= count && (length == 0 || run.m_length < length)) {
            start = run.m_start;
            length = run.m_length;
            if (rule == FitRule::First || length == count) {
                break;
            }
        }
    }
    return {start, length};
}

int contribution(const Capacity &capacity, int worker, const Shape &shape)
{
    const std::int64_t all = shape.m_accelerators;
    std::int64_t most = longestRun(capacity.m_accelerators[worker]);
    if (shape.m_cores > 0) {
        most = std::min(most, capacity.m_cores[worker] * all / shape.m_cores);
    }
    if (shape.m_memoryMb > 0) {
        most = std::min(most, capacity.m_memoryMb[worker] * all / shape.m_memoryMb);
    }
    return static_cast<int>(std::min(most, all));
}

static Slot slotOn(const Capacity &capacity, int worker, int count, const Shape &shape, FitRule rule)
{
    const Run run = chooseRun(capacity.m_accelerators[worker], count, rule);
    assert(run.m_length >= count && "the worker holds the member");
    return {worker,
            firstAccelerators(count) << run.m_start,
            static_cast<int>(proportion(shape.m_cores, count, shape.m_accelerators)),
            proportion(shape.m_memoryMb, count, shape.m_accelerators)};
}

/// A worker without many accelerators is preferred, so that cores beside free accelerators stay for those.
static std::optional<Slots> fitWithoutAccelerators(const Capacity &capacity, const Shape &shape, FitRule rule)
{
    int best = -1;
    std::pair<int, int> bestCost;
    for (int worker = 0; worker < static_cast<int>(capacity.m_cores.size()); ++worker) {
        // A worker that offers nothing may be one that accepts no work; even a job that asks for nothing must not go there.
        const bool offers = capacity.m_cores[worker] > 0 || capacity.m_memoryMb[worker] > 0;
        if (!offers || capacity.m_cores[worker] < shape.m_cores || capacity.m_memoryMb[worker] < shape.m_memoryMb) {
            continue;
        }
        const std::pair cost(std::popcount(capacity.m_accelerators[worker]), capacity.m_cores[worker]);
        if (best < 0 || cost < bestCost) {
            best = worker;
            bestCost = cost;
        }
        if (rule == FitRule::First) {
            break;
        }
    }
    if (best < 0) {
        return std::nullopt;
    }
    return Slots{{best, 0, shape.m_cores, shape.m_memoryMb}};
}

static std::vector<int> freeOfRacks(const FleetIndex &fleet, const Capacity &capacity)
{
    std::vector<int> free(fleet.m_racks.size());
    for (std::size_t worker = 0; worker < fleet.m_rackOf.size(); ++worker) {
        free[fleet.m_rackOf[worker]] += std::popcount(capacity.m_accelerators[worker]);
    }
    return free;
}

static std::optional<Slots> fitOnWorker(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, FitRule rule)
{
    const std::vector<int> rackFree = freeOfRacks(fleet, capacity);
    int best = -1;
    std::tuple<int, int, int> bestCost;
    for (int worker = 0; worker < static_cast<int>(capacity.m_cores.size()); ++worker) {
        const AcceleratorSet set = capacity.m_accelerators[worker];
        if (std::popcount(set) < shape.m_accelerators || contribution(capacity, worker, shape) < shape.m_accelerators) {
            continue;
        }
        const std::tuple cost(
            rule == FitRule::FullestRack ? rackFree[fleet.m_rackOf[worker]] : 0, chooseRun(set, shape.m_accelerators, rule).m_length, std::popcount(set));
        if (best < 0 || cost < bestCost) {
            best = worker;
            bestCost = cost;
        }
        if (rule == FitRule::First) {
            break;
        }
    }
    if (best < 0) {
        return std::nullopt;
    }
    return Slots{slotOn(capacity, best, shape.m_accelerators, shape, rule)};
}

/// Takes the largest contributions first, so that the gang has few members, and the smallest sufficient one for the rest.
static Slots takeFrom(const std::vector<int> &workers, const std::vector<int> &contributions, const Capacity &capacity, const Shape &shape, FitRule rule)
{
    std::vector<int> order = workers;
    if (rule != FitRule::First) {
        std::stable_sort(order.begin(), order.end(), [&](int left, int right) { return contributions[left] > contributions[right]; });
    }
    Slots slots;
    int remaining = shape.m_accelerators;
    for (std::size_t i = 0; i < order.size() && remaining > 0; ++i) {
        std::size_t chosen = i;
        if (rule != FitRule::First && contributions[order[i]] >= remaining) {
            while (chosen + 1 < order.size() && contributions[order[chosen + 1]] >= remaining) {
                ++chosen;
            }
        }
        const int count = std::min(remaining, contributions[order[chosen]]);
        if (count > 0) {
            slots.push_back(slotOn(capacity, order[chosen], count, shape, rule));
            remaining -= count;
        }
    }
    assert(remaining == 0 && "the workers together hold the shape");
    return slots;
}

static int chooseRack(const std::vector<int> &sums, int needed, FitRule rule)
{
    int best = -1;
    for (int rack = 0; rack < static_cast<int>(sums.size()); ++rack) {
        if (sums[rack] < needed || (best >= 0 && sums[rack] >= sums[best])) {
            continue;
        }
        best = rack;
        if (rule == FitRule::First) {
            break;
        }
    }
    return best;
}

/// Workers of the fewest racks that hold the shape together, in rack order; empty if all racks do not.
static std::vector<int> workersOfFewestRacks(const FleetIndex &fleet, const std::vector<int> &sums, int needed)
{
    std::vector<int> order(sums.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&sums](int left, int right) { return sums[left] > sums[right]; });
    std::vector<int> racks;
    int total = 0;
    for (const int rack : order) {
        if (total >= needed) {
            break;
        }
        total += sums[rack];
        racks.push_back(rack);
    }
    if (total < needed) {
        return {};
    }
    std::sort(racks.begin(), racks.end());
    std::vector<int> workers;
    for (const int rack : racks) {
        workers.insert(workers.end(), fleet.m_racks[rack].begin(), fleet.m_racks[rack].end());
    }
    return workers;
}

static std::optional<Slots> fitGang(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, FitRule rule)
{
    std::vector<int> contributions(fleet.m_workers.size());
    std::vector<int> sums(fleet.m_racks.size());
    for (std::size_t worker = 0; worker < contributions.size(); ++worker) {
        contributions[worker] = capacity.m_accelerators[worker] == 0 ? 0 : contribution(capacity, static_cast<int>(worker), shape);
        sums[fleet.m_rackOf[worker]] += contributions[worker];
    }
    const int rack = chooseRack(sums, shape.m_accelerators, rule);
    if (rack >= 0) {
        return takeFrom(fleet.m_racks[rack], contributions, capacity, shape, rule);
    }
    if (shape.m_adjacency == Adjacency::SameRack) {
        return std::nullopt;
    }
    const auto workers = workersOfFewestRacks(fleet, sums, shape.m_accelerators);
    if (workers.empty()) {
        return std::nullopt;
    }
    return takeFrom(workers, contributions, capacity, shape, rule);
}

std::optional<Slots> fit(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, FitRule rule)
{
    assert(shape.m_accelerators >= 0 && shape.m_cores >= 0 && shape.m_memoryMb >= 0 && "shape amounts are not negative");
    if (shape.m_accelerators == 0) {
        return fitWithoutAccelerators(capacity, shape, rule);
    }
    if (shape.m_adjacency == Adjacency::SameWorker) {
        return fitOnWorker(fleet, capacity, shape, rule);
    }
    return fitGang(fleet, capacity, shape, rule);
}

static int countFitsFrom(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, int limit)
{
    if (limit <= 0) {
        return 0;
    }
    const auto slots = fit(fleet, capacity, shape);
    return slots ? 1 + countFitsFrom(fleet, without(capacity, *slots), shape, limit - 1) : 0;
}

int countFits(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, int limit)
{
    return countFitsFrom(fleet, capacity, shape, limit);
}

} // namespace PrimroseBridge
