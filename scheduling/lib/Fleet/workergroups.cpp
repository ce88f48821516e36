#include "placementpass.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>

namespace PrimroseBridge {

// A same-rack gang may be spread over racks, and a task may be placed outside the rack of its data, while at least this share of the
// accelerators is free. Both multiply the run time, so on a busier fleet only overdue steps and steps that fit into no rack may do so.
constexpr double minFreeShareToSpread = 0.5;

const JobStep &stepOf(const Pass &pass, const Candidate &candidate)
{
    return pass.m_input.m_jobs[candidate.m_job]->m_spec->m_steps[static_cast<std::size_t>(candidate.m_step)];
}

// Returns true if the worker is of the pool and has the label that the step requires.
static bool mayRunStep(const WorkerReport &report, const JobStep &step, const std::string &pool)
{
    const bool hasLabel
        = step.m_requiredLabel.empty() || std::find(report.m_labels.begin(), report.m_labels.end(), step.m_requiredLabel) != report.m_labels.end();
    return report.m_pool == pool && hasLabel;
}

static bool isEligible(const PlacementWorker &worker, const JobStep &step, const std::string &pool)
{
    return worker.m_usable && mayRunStep(*worker.m_report, step, pool);
}

// Returns the workers on which a run of the step failed.
static std::set<std::string_view> workersWithFailedRuns(const StepState &state)
{
    std::set<std::string_view> workers;
    for (const auto &task : state.m_tasks) {
        workers.insert(task->m_failedWorkers.begin(), task->m_failedWorkers.end());
    }
    return workers;
}

const std::vector<std::size_t> &usableWorkersWithLabel(Pass &pass, const std::string &pool, const JobStep &step)
{
    const auto [entry, added] = pass.m_workersByPoolAndLabel.try_emplace({pool, step.m_requiredLabel});
    if (added) {
        for (std::size_t index = 0; index < pass.m_input.m_workers.size(); ++index) {
            if (isEligible(pass.m_input.m_workers[index], step, pool)) {
                entry->second.push_back(index);
            }
        }
    }
    return entry->second;
}

bool isDrainedFor(const Pass &pass, const Candidate &candidate)
{
    const auto *gang = pass.m_drainedFor;
    return gang && gang->m_job == candidate.m_job && gang->m_occurrence == candidate.m_occurrence && gang->m_step == candidate.m_step;
}

bool mustAvoidDrainedWorkers(const Pass &pass, const Candidate &candidate)
{
    return pass.m_drainedFor && candidate.m_rank != UrgencyRank::Guaranteed && !isDrainedFor(pass, candidate);
}

std::vector<std::size_t> eligibleWorkers(Pass &pass, const Candidate &candidate, bool allowUnreliable)
{
    const auto &all = usableWorkersWithLabel(pass, pass.m_policies[candidate.m_job]->m_workerPool, stepOf(pass, candidate));
    const bool excludesDrained = mustAvoidDrainedWorkers(pass, candidate);
    if (allowUnreliable && !excludesDrained) {
        return all;
    }
    const auto failed = allowUnreliable ? std::set<std::string_view>() : workersWithFailedRuns(*candidate.m_state);
    std::vector<std::size_t> workers;
    workers.reserve(all.size());
    for (const auto index : all) {
        const auto &worker = pass.m_input.m_workers[index];
        if (excludesDrained && pass.m_allocation.m_drained[index]) {
            continue;
        }
        if ((allowUnreliable || !worker.m_isolated) && (failed.empty() || !failed.contains(worker.m_incarnation->m_worker))) {
            workers.push_back(index);
        }
    }
    return workers;
}

bool canFitOnEmptyWorkers(const Pass &pass, const std::vector<std::size_t> &workers, const JobStep &step, int tasks)
{
    int fitting = 0;
    for (const auto worker : workers) {
        const auto &capacity = pass.m_input.m_workers[worker].m_report->m_capacity;
        const ResourceAmounts empty{.m_milliCores = capacity.m_milliCores, .m_memoryMb = capacity.m_memoryMb, .m_accelerators = capacity.m_accelerators};
        fitting += countFittingTasks(empty, step, step.m_maxPerWorker > 0 ? std::min(tasks, step.m_maxPerWorker) : tasks);
        if (fitting >= tasks) {
            return true;
        }
    }
    return false;
}

static const std::vector<std::size_t> &zoneDrainedWorkersWithLabel(Pass &pass, const std::string &pool, const JobStep &step)
{
    const auto [entry, added] = pass.m_zoneDrainedByPoolAndLabel.try_emplace({pool, step.m_requiredLabel});
    if (added) {
        for (std::size_t index = 0; index < pass.m_input.m_workers.size(); ++index) {
            const auto &worker = pass.m_input.m_workers[index];
            if (worker.m_zoneDrained && mayRunStep(*worker.m_report, step, pool)) {
                entry->second.push_back(index);
            }
        }
    }
    return entry->second;
}

bool needsDrainedZones(Pass &pass, const Candidate &candidate, int tasks)
{
    const auto &step = stepOf(pass, candidate);
    const auto &pool = pass.m_policies[candidate.m_job]->m_workerPool;
    const auto &drained = zoneDrainedWorkersWithLabel(pass, pool, step);
    if (drained.empty()) {
        return false;
    }
    auto workers = usableWorkersWithLabel(pass, pool, step);
    if (canFitOnEmptyWorkers(pass, workers, step, tasks)) {
        return false;
    }
    workers.insert(workers.end(), drained.begin(), drained.end());
    return canFitOnEmptyWorkers(pass, workers, step, tasks);
}

// Groups the workers by rack number. The group of a rack without any of the workers is empty.
static std::vector<std::vector<std::size_t>> groupByRack(const Pass &pass, const std::vector<std::size_t> &workers)
{
    std::vector<std::vector<std::size_t>> racks(pass.m_allocation.m_rackCount);
    for (const auto worker : workers) {
        racks[pass.m_allocation.m_rackByWorker[worker]].push_back(worker);
    }
    return racks;
}

double freeAcceleratorShare(const Pass &pass, const std::vector<std::size_t> &workers)
{
    double free = 0.0;
    double all = 0.0;
    for (const auto worker : workers) {
        free += static_cast<double>(std::max<std::int64_t>(pass.m_allocation.m_free[worker].m_accelerators, 0));
        all += static_cast<double>(pass.m_input.m_workers[worker].m_report->m_capacity.m_accelerators);
    }
    return all > 0.0 ? free / all : 0.0;
}

bool isBoundToRacks(const JobStep &step)
{
    return (step.m_gang && step.m_sameRack) || !step.m_dataRack.empty();
}

std::vector<WorkerGroup> workerGroupsFor(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers)
{
    const auto &step = stepOf(pass, candidate);
    const auto tasks = static_cast<int>(candidate.m_waitingTasks.size());
    if (!isBoundToRacks(step)) {
        return {WorkerGroup{.m_workers = workers, .m_remote = false}};
    }
    std::vector<WorkerGroup> groups;
    for (auto &members : groupByRack(pass, workers)) {
        if (members.empty()) {
            continue;
        }
        const bool isNearData = step.m_dataRack.empty() || step.m_dataRack == pass.m_input.m_workers[members.front()].m_report->m_rack;
        const bool mayHoldGang = !(step.m_gang && step.m_sameRack) || canFitOnEmptyWorkers(pass, members, step, tasks);
        if (isNearData && mayHoldGang) {
            groups.push_back(WorkerGroup{.m_workers = std::move(members), .m_remote = false});
        }
    }
    if (groups.empty() || candidate.m_overdue || freeAcceleratorShare(pass, workers) >= minFreeShareToSpread) {
        groups.push_back(WorkerGroup{.m_workers = workers, .m_remote = true});
    }
    return groups;
}

static std::int64_t freeAccelerators(const Pass &pass, const std::vector<std::size_t> &workers)
{
    std::int64_t free = 0;
    for (const auto worker : workers) {
        free += std::max<std::int64_t>(pass.m_allocation.m_free[worker].m_accelerators, 0);
    }
    return free;
}

// Returns true if the run time of the step grows by the remote factor with the placement.
static bool isRemotePlacement(const Pass &pass, const JobStep &step, const StepPlacement &placement)
{
    const auto rackOf = [&pass](std::size_t worker) -> const std::string & { return pass.m_input.m_workers[worker].m_report->m_rack; };
    return std::any_of(placement.m_workers.begin(), placement.m_workers.end(), [&](std::size_t worker) {
        return (!step.m_dataRack.empty() && rackOf(worker) != step.m_dataRack)
               || (step.m_gang && step.m_sameRack && rackOf(worker) != rackOf(placement.m_workers.front()));
    });
}

// Returns the place of the slowest member of the placement, with which the step ends.
static PlaceSpeed slowestPlace(const Pass &pass, const Candidate &candidate, const StepPlacement &placement, Duration wait)
{
    const auto slowest = *std::min_element(placement.m_workers.begin(), placement.m_workers.end(), [&pass](std::size_t left, std::size_t right) {
        return pass.m_input.m_workers[left].m_speed < pass.m_input.m_workers[right].m_speed;
    });
    const auto factor = isRemotePlacement(pass, stepOf(pass, candidate), placement) ? pass.m_input.m_remoteFactor : 1.0;
    return placeSpeedOf(pass.m_allocation, slowest, factor, wait);
}

bool isInTime(const Pass &pass, const Candidate &candidate, const StepPlacement &placement, Duration wait)
{
    return meetsObjective(candidate.m_finishDemand, slowestPlace(pass, candidate, placement, wait));
}

// Compares two placements of equally many tasks by their estimated finish: one in time is better than one that is late, and of two late ones one
// that ends earlier by more than a speed tier. Returns 0 if neither is better.
static int compareFinish(const Pass &pass, const Candidate &candidate, const StepPlacement &left, const StepPlacement &right)
{
    const auto placeOf = [&](const StepPlacement &placement) {
        return slowestPlace(pass, candidate, placement, placement.m_mustWait ? pass.m_input.m_stopBound : Duration(0));
    };
    const auto &demand = candidate.m_finishDemand;
    const auto leftPlace = placeOf(left);
    const auto rightPlace = placeOf(right);
    const bool isLeftInTime = meetsObjective(demand, leftPlace);
    if (isLeftInTime != meetsObjective(demand, rightPlace)) {
        return isLeftInTime ? -1 : 1;
    }
    if (isLeftInTime) {
        return 0;
    }
    const auto leftFinish = estimatedFinish(demand, leftPlace);
    const auto rightFinish = estimatedFinish(demand, rightPlace);
    if (leftFinish * speedTierFactor < rightFinish) {
        return -1;
    }
    return rightFinish * speedTierFactor < leftFinish ? 1 : 0;
}

namespace {

struct PlacementInGroup {
    const StepPlacement &m_placement;
    const WorkerGroup &m_group;
};

} // namespace

static bool isBetterPlacement(const Pass &pass, const Candidate &candidate, CapacityUse use, const PlacementInGroup &left, const PlacementInGroup &right)
{
    const auto &leftPlacement = left.m_placement;
    const auto &rightPlacement = right.m_placement;
    const bool sameSize = leftPlacement.m_workers.size() == rightPlacement.m_workers.size();
    if (pass.m_allocation.m_speedsDiffer && use != CapacityUse::Drain && sameSize) {
        // A faster placement is not worth stopping more work than the step itself does.
        const auto ownWork = estimatedCoreSeconds(stepOf(pass, candidate), static_cast<int>(leftPlacement.m_workers.size()));
        const auto better = compareFinish(pass, candidate, leftPlacement, rightPlacement);
        const auto extraCost = (leftPlacement.m_evictionCost - rightPlacement.m_evictionCost) * (better < 0 ? 1.0 : -1.0);
        if (better != 0 && extraCost <= ownWork) {
            return better < 0;
        }
    }
    if (left.m_group.m_remote != right.m_group.m_remote) {
        return !left.m_group.m_remote;
    }
    if (!sameSize) {
        return leftPlacement.m_workers.size() > rightPlacement.m_workers.size();
    }
    if (leftPlacement.m_mustWait != rightPlacement.m_mustWait) {
        return !leftPlacement.m_mustWait;
    }
    if (leftPlacement.m_evictionCost != rightPlacement.m_evictionCost) {
        return leftPlacement.m_evictionCost < rightPlacement.m_evictionCost;
    }
    // Prefer the rack with the fewest free accelerators, so that others stay empty for the largest gangs.
    return freeAccelerators(pass, left.m_group.m_workers) < freeAccelerators(pass, right.m_group.m_workers);
}

std::optional<StepPlacement> bestPlacement(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups, CapacityUse use)
{
    const auto &step = stepOf(pass, candidate);
    std::optional<StepPlacement> best;
    const WorkerGroup *bestGroup = nullptr;
    for (const auto &group : groups) {
        auto placement = placeTasks(pass.m_allocation,
                                    candidate,
                                    static_cast<int>(candidate.m_waitingTasks.size()),
                                    PlacementScope{.m_workers = group.m_workers,
                                                   .m_useReleasing = use != CapacityUse::Free,
                                                   .m_mayEvict = use == CapacityUse::Eviction || use == CapacityUse::Drain,
                                                   .m_allowPartial = !step.m_gang,
                                                   .m_drainWorkers = use == CapacityUse::Drain,
                                                   .m_runTimeFactor = group.m_remote ? pass.m_input.m_remoteFactor : 1.0});
        if (placement && (!best || isBetterPlacement(pass, candidate, use, {*placement, group}, {*best, *bestGroup}))) {
            best = std::move(placement);
            bestGroup = &group;
        }
    }
    return best;
}

std::vector<WorkerGroup>
groupsInTime(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups, const std::function<Duration(std::size_t)> &waitOn)
{
    std::vector<WorkerGroup> inTime;
    for (const auto &group : groups) {
        const auto factor = group.m_remote ? pass.m_input.m_remoteFactor : 1.0;
        WorkerGroup rest{.m_workers = {}, .m_remote = group.m_remote};
        std::copy_if(group.m_workers.begin(), group.m_workers.end(), std::back_inserter(rest.m_workers), [&](std::size_t worker) {
            return meetsObjective(candidate.m_finishDemand, placeSpeedOf(pass.m_allocation, worker, factor, waitOn(worker)));
        });
        if (!rest.m_workers.empty()) {
            inTime.push_back(std::move(rest));
        }
    }
    return inTime;
}

// A stop that takes longer than its bound may never end, so nothing is in time that waits for it.
constexpr Duration overdueStopTime = std::chrono::hours(24);

// Returns the time after which all stops on the worker that are under way have ended.
static Duration remainingStopTime(const Pass &pass, std::size_t worker)
{
    const auto &allocation = pass.m_allocation;
    Duration longest(0);
    for (const auto task : allocation.m_tasksByWorker[worker]) {
        const auto &placed = allocation.m_placedTasks[task];
        if (allocation.m_evicted[task]) {
            longest = pass.m_input.m_stopBound;
        } else if (placed.m_stopping) {
            const auto left = pass.m_input.m_stopBound - (pass.m_input.m_now - placed.m_state->m_phaseSince);
            longest = std::max(longest, left < Duration(0) ? overdueStopTime : left);
        }
    }
    return longest;
}

Duration waitFor(const Pass &pass, const StepPlacement &placement)
{
    if (!placement.m_mustWait) {
        return Duration(0);
    }
    if (!placement.m_victims.empty()) {
        return pass.m_input.m_stopBound;
    }
    Duration longest(0);
    for (const auto worker : placement.m_workers) {
        longest = std::max(longest, remainingStopTime(pass, worker));
    }
    return longest;
}

// Returns the lowest speed tier among the workers of the placement.
static int slowestTier(const Pass &pass, const StepPlacement &placement)
{
    int tier = std::numeric_limits<int>::max();
    for (const auto worker : placement.m_workers) {
        tier = std::min(tier, pass.m_allocation.m_speedTier[worker]);
    }
    return tier;
}

// Returns true if the candidate should wait for the placement rather than start late with the free one.
static bool isWorthWaitingFor(const Pass &pass, const Candidate &candidate, const StepPlacement &placement, const StepPlacement &free)
{
    // A placement that is in time only because it is near, not because it is faster, is left to the rules for racks.
    if (slowestTier(pass, placement) <= slowestTier(pass, free)) {
        return false;
    }
    const auto wait = waitFor(pass, placement);
    // The wait must not use up the time within which guaranteed work may preempt other guaranteed work.
    const bool keepsGuarantee = candidate.m_rank != UrgencyRank::Guaranteed || candidate.m_age + wait <= pass.m_input.m_reclaimDelay;
    const bool stopsUrgentWork = std::any_of(placement.m_victims.begin(), placement.m_victims.end(), [&pass](std::size_t victim) {
        return isUrgent(pass.m_allocation.m_placedTasks[victim].m_rank);
    });
    return keepsGuarantee && !stopsUrgentWork && isInTime(pass, candidate, placement, wait)
           && placement.m_evictionCost <= estimatedCoreSeconds(stepOf(pass, candidate), static_cast<int>(placement.m_workers.size()));
}

std::optional<StepPlacement>
placementWorthWaitingFor(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups, const StepPlacement &free)
{
    const auto stopBound = pass.m_input.m_stopBound;
    auto placement
        = bestPlacement(pass, candidate, groupsInTime(pass, candidate, groups, [stopBound](std::size_t) { return stopBound; }), CapacityUse::Eviction);
    if (placement && isWorthWaitingFor(pass, candidate, *placement, free)) {
        return placement;
    }
    const bool hasReleasing = std::any_of(groups.begin(), groups.end(), [&pass](const WorkerGroup &group) {
        return std::any_of(
            group.m_workers.begin(), group.m_workers.end(), [&pass](std::size_t worker) { return isPositive(pass.m_allocation.m_releasing[worker]); });
    });
    if (!hasReleasing) {
        return std::nullopt;
    }
    // Stops that are under way end earlier than after the whole bound. The second round leaves out workers that are late by the wait of the first.
    Duration minimumWait(0);
    for (int round = 0; round < 2; ++round) {
        const auto waitOn = [&pass, minimumWait](std::size_t worker) { return std::max(minimumWait, remainingStopTime(pass, worker)); };
        placement = bestPlacement(pass, candidate, groupsInTime(pass, candidate, groups, waitOn), CapacityUse::Releasing);
        if (!placement || isWorthWaitingFor(pass, candidate, *placement, free)) {
            return placement;
        }
        minimumWait = waitFor(pass, *placement);
    }
    return std::nullopt;
}

} // namespace PrimroseBridge
