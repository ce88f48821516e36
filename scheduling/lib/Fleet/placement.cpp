#include "primrosebridge/Fleet/placement.h"

#include "candidates.h"
#include "fleetallocation.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace PrimroseBridge {

// Steps that are not urgent and reserve capacity in one pass. Less urgent work cannot use reserved capacity, so more reservations would
// leave too much of it idle.
constexpr int maxReservations = 4;
// A same-rack gang may be spread over racks, and a task may be placed outside the rack of its data, while at least this share of the
// accelerators is free. Both multiply the run time, so on a busier fleet only overdue steps and steps that fit into no rack may do so.
constexpr double minFreeShareToSpread = 0.5;

// The shortest notice with which workers of the users' deployments leave. Work that takes longer may be lost on a worker that is replaced.
constexpr Duration shortestLeaveNotice(2000);

// Half-life of the urgent demand peaks. It is several times the run time of urgent work, but shorter than a pause of urgent work that is
// long enough for other work.
constexpr double demandHalfLifeSeconds = 10.0;

// Largest share of the fleet that is reserved for urgent work while less than half of the fleet is free. Without a limit, a backlog of
// urgent work that needs many times the fleet would reserve all of it.
constexpr double maxReserveShare = 0.4;
// The same limit while at least half of the fleet is free. With a quarter, a gang that needs at most half of the free capacity always
// starts.
constexpr double maxReserveShareWhileIdle = 0.25;
// Capacity is reserved for this many jobs as large as the largest recent urgent one. Reserving for fewer jobs lowers the mean value of
// the results.
constexpr double reserveLargestJobs = 3.0;
// Workers are drained for an aged gang only while less than this share of the accelerators is free. On an emptier fleet the gang finds
// enough capacity without a drain, which would delay other work to no benefit.
constexpr double maxFreeShareToDrain = 0.5;

// Aged gangs that a pass examines to find one to drain workers for. The limit bounds the cost of a pass with a long backlog.
constexpr int maxDrainCandidates = 4;

static double usableAccelerators(const PlacementInput &input)
{
    double accelerators = 0.0;
    for (const auto &worker : input.m_workers) {
        accelerators += worker.m_usable ? static_cast<double>(worker.m_report->m_capacity.m_accelerators) : 0.0;
    }
    return accelerators;
}

UrgentDemandPeak updatedUrgentDemandPeak(const UrgentDemandPeak &peak, const CurrentUrgentDemand &current, Instant now)
{
    const auto seconds = std::chrono::duration<double>(now - peak.m_updatedAt).count();
    const auto decay = std::exp2(-std::max(seconds, 0.0) / demandHalfLifeSeconds);
    return UrgentDemandPeak{.m_peakAccelerators = std::max(peak.m_peakAccelerators * decay, current.m_totalAccelerators),
                            .m_largestJobAccelerators = std::max(peak.m_largestJobAccelerators * decay, current.m_largestJobAccelerators),
                            .m_updatedAt = now};
}

static double acceleratorsOfUnfinishedTasks(const JobState &job)
{
    double needed = 0.0;
    for (const auto &occurrence : job.m_occurrences) {
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            const auto &state = *occurrence->m_steps[step];
            const auto unfinished = static_cast<double>(state.m_tasks.size()) - state.m_doneTaskCount;
            needed += unfinished * static_cast<double>(job.m_spec->m_steps[step].m_taskResources.m_accelerators);
        }
    }
    return needed;
}

static CurrentUrgentDemand currentUrgentDemandOf(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies)
{
    double total = 0.0;
    double largest = 0.0;
    for (std::size_t index = 0; index < input.m_jobs.size(); ++index) {
        const auto &job = *input.m_jobs[index];
        if (policies[index] && policies[index]->m_priority == 0 && job.m_outcome == JobOutcome::Active) {
            const auto needed = acceleratorsOfUnfinishedTasks(job);
            total += needed;
            largest = std::max(largest, needed);
        }
    }
    return CurrentUrgentDemand{.m_totalAccelerators = total, .m_largestJobAccelerators = largest};
}

CurrentUrgentDemand currentUrgentDemand(const PlacementInput &input)
{
    return currentUrgentDemandOf(input, policiesOfJobs(input));
}

std::string_view stopReasonName(StopReason reason)
{
    switch (reason) {
    case StopReason::Cancelled:
        return "cancelled";
    case StopReason::Preempted:
        return "preempted";
    case StopReason::Superseded:
        return "superseded";
    case StopReason::GangIncomplete:
        return "gang_incomplete";
    case StopReason::Stalled:
        return "stalled";
    case StopReason::WorkerLeaves:
        return "worker_leaves";
    case StopReason::Unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

std::string_view urgencyRankName(UrgencyRank rank)
{
    switch (rank) {
    case UrgencyRank::Guaranteed:
        return "guaranteed";
    case UrgencyRank::Urgent:
        return "urgent";
    case UrgencyRank::Normal:
        return "normal";
    case UrgencyRank::Background:
        return "background";
    }
    return "unknown";
}

std::string_view waitReasonName(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoEligibleWorker:
        return "no_eligible_worker";
    case WaitReason::ReservedForUrgent:
        return "kept_free";
    case WaitReason::InsufficientCapacity:
        return "no_room";
    case WaitReason::InsufficientRackCapacity:
        return "no_room_in_rack";
    case WaitReason::CapacityBeingReleased:
        return "being_freed";
    case WaitReason::Draining:
        return "draining";
    case WaitReason::DrainedForGang:
        return "kept_for_gang";
    case WaitReason::Locked:
        return "locked";
    }
    return "unknown";
}

bool mayPreempt(UrgencyRank rank, UrgencyRank victim)
{
    switch (rank) {
    case UrgencyRank::Guaranteed:
        return victim != UrgencyRank::Guaranteed;
    case UrgencyRank::Urgent:
        return victim == UrgencyRank::Normal || victim == UrgencyRank::Background;
    case UrgencyRank::Normal:
    case UrgencyRank::Background:
        return false;
    }
    return false;
}

namespace {

// A group of workers within which a step may be placed.
struct WorkerGroup {
    std::vector<std::size_t> m_workers;
    bool m_remote; // The group allows tasks outside the rack of their data, or a same-rack gang on several racks.
};

// The last candidate of a step, in any occurrence, for which nothing was placed and nothing was stopped.
struct UnplacedCandidate {
    Duration m_age;
    bool m_overdue;
    WaitReason m_reason;
};

struct Pass {
    const PlacementInput &m_input;
    const std::vector<const QueuePolicy *> m_policies; // By index in PlacementInput::m_jobs.
    FleetAllocation m_allocation;
    // Usable workers by pool and required label; computed at the first use.
    std::map<std::pair<std::string_view, std::string_view>, std::vector<std::size_t>> m_workersByPoolAndLabel = {};
    std::vector<StartDecision> m_starts;
    std::vector<StopDecision> m_stops;
    std::vector<WaitingStep> m_waiting = {};
    std::map<std::pair<std::size_t, int>, UnplacedCandidate> m_unplaced = {}; // By job and step.
    std::size_t m_placements = 0; // Starts and reservations so far.
    int m_reservationCount = 0;
    const Candidate *m_drainedFor = nullptr; // The gang for which workers are drained, or null.
    double m_urgentReserveAccelerators = 0.0; // Accelerators that only urgent work may take.
};

} // namespace

static const JobStep &stepOf(const Pass &pass, const Candidate &candidate)
{
    return pass.m_input.m_jobs[candidate.m_job]->m_spec->m_steps[static_cast<std::size_t>(candidate.m_step)];
}

static bool isEligible(const PlacementWorker &worker, const JobStep &step, const std::string &pool)
{
    const auto &report = *worker.m_report;
    if (!worker.m_usable || report.m_pool != pool) {
        return false;
    }
    return step.m_requiredLabel.empty() || std::find(report.m_labels.begin(), report.m_labels.end(), step.m_requiredLabel) != report.m_labels.end();
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

static const std::vector<std::size_t> &usableWorkersWithLabel(Pass &pass, const std::string &pool, const JobStep &step)
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

// Returns true if workers are drained for the candidate.
static bool isDrainedFor(const Pass &pass, const Candidate &candidate)
{
    const auto *gang = pass.m_drainedFor;
    return gang && gang->m_job == candidate.m_job && gang->m_occurrence == candidate.m_occurrence && gang->m_step == candidate.m_step;
}

// Returns true if the candidate may not use drained workers.
static bool mustAvoidDrainedWorkers(const Pass &pass, const Candidate &candidate)
{
    return pass.m_drainedFor && candidate.m_rank != UrgencyRank::Guaranteed && !isDrainedFor(pass, candidate);
}

// Returns the workers that may run the step. With allowUnreliable, these include isolated workers and workers on which a run of the
// step failed.
static std::vector<std::size_t> eligibleWorkers(Pass &pass, const Candidate &candidate, bool allowUnreliable)
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

// Returns true if the given number of tasks of the step would fit on the workers if nothing else ran there.
static bool canFitOnEmptyWorkers(const Pass &pass, const std::vector<std::size_t> &workers, const JobStep &step, int tasks)
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

// Groups the workers by rack number. The group of a rack without any of the workers is empty.
static std::vector<std::vector<std::size_t>> groupByRack(const Pass &pass, const std::vector<std::size_t> &workers)
{
    std::vector<std::vector<std::size_t>> racks(pass.m_allocation.m_rackCount);
    for (const auto worker : workers) {
        racks[pass.m_allocation.m_rackByWorker[worker]].push_back(worker);
    }
    return racks;
}

static double freeAcceleratorShare(const Pass &pass, const std::vector<std::size_t> &workers)
{
    double free = 0.0;
    double all = 0.0;
    for (const auto worker : workers) {
        free += static_cast<double>(std::max<std::int64_t>(pass.m_allocation.m_free[worker].m_accelerators, 0));
        all += static_cast<double>(pass.m_input.m_workers[worker].m_report->m_capacity.m_accelerators);
    }
    return all > 0.0 ? free / all : 0.0;
}

static bool isBoundToRacks(const JobStep &step)
{
    return (step.m_gang && step.m_sameRack) || !step.m_dataRack.empty();
}

// Returns the groups of workers to try for the step. Remote placement is possible only in the last group.
static std::vector<WorkerGroup> workerGroupsFor(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers)
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

static bool
isBetterPlacement(const Pass &pass, const StepPlacement &left, const WorkerGroup &leftGroup, const StepPlacement &right, const WorkerGroup &rightGroup)
{
    if (leftGroup.m_remote != rightGroup.m_remote) {
        return !leftGroup.m_remote;
    }
    if (left.m_workers.size() != right.m_workers.size()) {
        return left.m_workers.size() > right.m_workers.size();
    }
    if (left.m_mustWait != right.m_mustWait) {
        return !left.m_mustWait;
    }
    if (left.m_evictionCost != right.m_evictionCost) {
        return left.m_evictionCost < right.m_evictionCost;
    }
    // Prefer the rack with the fewest free accelerators, so that others stay empty for the largest gangs.
    return freeAccelerators(pass, leftGroup.m_workers) < freeAccelerators(pass, rightGroup.m_workers);
}

static std::optional<StepPlacement>
bestPlacement(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups, bool allowEviction, bool drainWorkers = false)
{
    const auto &step = stepOf(pass, candidate);
    std::optional<StepPlacement> best;
    const WorkerGroup *bestGroup = nullptr;
    for (const auto &group : groups) {
        auto placement = placeTasks(pass.m_allocation,
                                    candidate,
                                    static_cast<int>(candidate.m_waitingTasks.size()),
                                    PlacementScope{.m_workers = group.m_workers,
                                                   .m_useReleasing = allowEviction,
                                                   .m_mayEvict = allowEviction,
                                                   .m_allowPartial = !step.m_gang,
                                                   .m_drainWorkers = drainWorkers});
        if (placement && (!best || isBetterPlacement(pass, *placement, group, *best, *bestGroup))) {
            best = std::move(placement);
            bestGroup = &group;
        }
    }
    return best;
}

// Returns the accelerators of the worker, multiplied by the free share of its scarcest resource.
static double effectiveFreeAccelerators(const Pass &pass, std::size_t worker)
{
    const auto &available = pass.m_allocation.m_free[worker];
    const auto &capacity = pass.m_input.m_workers[worker].m_report->m_capacity;
    double share = 1.0;
    const auto limit = [&share](std::int64_t free, std::int64_t all) {
        if (all > 0) {
            share = std::min(share, static_cast<double>(std::max<std::int64_t>(free, 0)) / static_cast<double>(all));
        }
    };
    limit(available.m_milliCores, capacity.m_milliCores);
    limit(available.m_memoryMb, capacity.m_memoryMb);
    limit(available.m_accelerators, capacity.m_accelerators);
    return share * static_cast<double>(capacity.m_accelerators);
}

// Returns the share of the urgent reserve that the candidate may not use. It falls from 1 to 0 until the candidate has aged.
static double reserveShareFor(const Candidate &candidate)
{
    // If the share did not fall, a steady urgent load would starve other work.
    const std::chrono::duration<double> limit = candidate.m_latencyObjective * agedAfterObjectives;
    return limit.count() > 0.0 ? std::clamp(1.0 - candidate.m_age / limit, 0.0, 1.0) : 0.0;
}

// Returns how many waiting tasks of the candidate may start without using the capacity that is reserved for urgent work.
static int tasksAllowedByReserve(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers)
{
    const auto wanted = static_cast<int>(candidate.m_waitingTasks.size());
    if (isUrgent(candidate.m_rank) || pass.m_urgentReserveAccelerators <= 0.0) {
        return wanted;
    }
    double free = -pass.m_urgentReserveAccelerators * reserveShareFor(candidate);
    for (const auto worker : workers) {
        free += effectiveFreeAccelerators(pass, worker);
    }
    const auto &step = stepOf(pass, candidate);
    const auto each = std::max(static_cast<double>(step.m_taskResources.m_accelerators), 1.0);
    const int allowed = static_cast<int>(std::clamp(free / each, 0.0, static_cast<double>(wanted)));
    return step.m_gang && allowed < wanted ? 0 : allowed;
}

// Computes the totals at the start of the pass and from them the reserve for urgent work.
static AcceleratorBudget acceleratorBudgetOf(const Pass &pass, const CurrentUrgentDemand &urgent)
{
    double free = 0.0;
    for (std::size_t worker = 0; worker < pass.m_input.m_workers.size(); ++worker) {
        free += pass.m_input.m_workers[worker].m_usable ? effectiveFreeAccelerators(pass, worker) : 0.0;
    }
    const auto usable = usableAccelerators(pass.m_input);
    const auto share = free >= usable / 2.0 ? maxReserveShareWhileIdle : maxReserveShare;
    const auto &peak = pass.m_input.m_urgentDemand;
    const auto reserved
        = std::clamp(std::max(peak.m_peakAccelerators - urgent.m_totalAccelerators, reserveLargestJobs * peak.m_largestJobAccelerators), 0.0, share * usable);
    return AcceleratorBudget{.m_usableAccelerators = usable, .m_freeAccelerators = free, .m_reservedAccelerators = reserved, .m_currentUrgentDemand = urgent};
}

// Subtracts the needs of the placed tasks from the capacity that later candidates of the pass may use.
static void subtractPlacement(Pass &pass, const Candidate &candidate, const StepPlacement &placement)
{
    const auto &step = stepOf(pass, candidate);
    ++pass.m_placements;
    for (const auto worker : placement.m_workers) {
        subtractTaskNeeds(pass.m_allocation.m_free[worker], step, 1);
        if (isUrgent(candidate.m_rank)) {
            subtractTaskNeeds(pass.m_allocation.m_reclaimable[worker], step, 1);
        }
    }
}

// Returns a run number above all earlier ones of the given tasks, or of the whole step if it is a gang.
static std::int64_t nextRunNumber(const StepState &state, const std::vector<int> &tasks, bool gang)
{
    std::int64_t run = 0;
    for (std::size_t index = 0; index < state.m_tasks.size(); ++index) {
        if (gang || std::find(tasks.begin(), tasks.end(), static_cast<int>(index)) != tasks.end()) {
            run = std::max(run, state.m_tasks[index]->m_highestRunNumber);
        }
    }
    return run + 1;
}

// Returns the newest checkpoint of the gang. All members must start from the same one, and the checkpoint of any member is valid for all.
static std::string gangCheckpoint(const StepState &state)
{
    std::string newest;
    for (const auto &task : state.m_tasks) {
        newest = std::max(newest, task->m_checkpoint);
    }
    return newest;
}

static void addStartDecisions(Pass &pass, const Candidate &candidate, const StepPlacement &placement)
{
    const auto &step = stepOf(pass, candidate);
    const auto &state = *candidate.m_state;
    const auto gangRun = nextRunNumber(state, {}, true);
    const auto shared = step.m_gang && step.m_checkpointing ? gangCheckpoint(state) : std::string();
    for (std::size_t position = 0; position < placement.m_workers.size(); ++position) {
        const int index = candidate.m_waitingTasks[position];
        const auto &task = *state.m_tasks[static_cast<std::size_t>(index)];
        pass.m_starts.push_back(StartDecision{
            .m_task = TaskReference{.m_job = pass.m_input.m_jobs[candidate.m_job]->m_spec->m_id,
                                    .m_occurrence = candidate.m_occurrence,
                                    .m_step = candidate.m_step,
                                    .m_index = index},
            .m_worker = placement.m_workers[position],
            .m_runNumber = step.m_gang ? gangRun : task.m_highestRunNumber + 1,
            .m_checkpoint = step.m_gang ? shared : (step.m_checkpointing ? task.m_checkpoint : std::string()),
        });
    }
}

static void addStopDecisions(Pass &pass, const StepPlacement &placement)
{
    for (const auto victim : placement.m_victims) {
        const auto &placed = pass.m_allocation.m_placedTasks[victim];
        if (pass.m_allocation.m_evicted[victim]) {
            continue;
        }
        pass.m_allocation.m_evicted[victim] = true;
        pass.m_unplaced.clear(); // Later candidates may use what the victims release.
        addTaskNeeds(pass.m_allocation.m_releasing[placed.m_worker], *placed.m_step, 1);
        pass.m_stops.push_back(StopDecision{.m_task = taskReferenceOf(pass.m_allocation, placed),
                                            .m_assignedWorker = *placed.m_state->m_assignedWorker,
                                            .m_runNumber = placed.m_state->m_runNumber,
                                            .m_reason = StopReason::Preempted});
    }
}

// Starts as many waiting tasks as fit into the free capacity. Returns the number of tasks that were not placed.
static std::size_t startFittingTasks(Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups)
{
    const auto placement = bestPlacement(pass, candidate, groups, false);
    if (!placement) {
        return candidate.m_waitingTasks.size();
    }
    addStartDecisions(pass, candidate, *placement);
    subtractPlacement(pass, candidate, *placement);
    return candidate.m_waitingTasks.size() - placement->m_workers.size();
}

// Reserves capacity for the tasks that could not start, including capacity that other tasks still hold, and stops the victims among these.
// Returns true if capacity was reserved for at least one task.
static bool preemptAndReserve(Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups)
{
    const auto placement = bestPlacement(pass, candidate, groups, true);
    if (!placement) {
        return false;
    }
    addStopDecisions(pass, *placement);
    subtractPlacement(pass, candidate, *placement);
    return true;
}

static void addWaitingStep(Pass &pass, const Candidate &candidate, std::size_t tasks, WaitReason reason)
{
    pass.m_waiting.push_back(WaitingStep{.m_job = candidate.m_job,
                                         .m_occurrence = candidate.m_occurrence,
                                         .m_step = candidate.m_step,
                                         .m_tasks = static_cast<int>(tasks),
                                         .m_rank = candidate.m_rank,
                                         .m_reason = reason,
                                         .m_age = candidate.m_age});
}

static WaitReason waitReasonWithoutCapacity(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups)
{
    if (isDrainedFor(pass, candidate)) {
        return WaitReason::Draining;
    }
    const bool isLimitedToRacks
        = isBoundToRacks(stepOf(pass, candidate)) && std::none_of(groups.begin(), groups.end(), [](const auto &group) { return group.m_remote; });
    return isLimitedToRacks ? WaitReason::InsufficientRackCapacity : WaitReason::InsufficientCapacity;
}

// Starts the candidate's tasks on reliable workers that are not outdated, if all of them fit there at once. Otherwise the candidate does not
// wait for these workers. Returns true if the tasks start.
static bool startOnCurrentWorkers(Pass &pass, const Candidate &candidate)
{
    const auto &step = stepOf(pass, candidate);
    auto workers = eligibleWorkers(pass, candidate, false);
    const auto removed = std::erase_if(workers, [&pass](std::size_t worker) { return pass.m_input.m_workers[worker].m_outdated; });
    if (removed == 0 || workers.empty() || step.m_estimate <= shortestLeaveNotice || isBoundToRacks(step)) {
        return false;
    }
    const std::vector<WorkerGroup> groups{WorkerGroup{.m_workers = std::move(workers), .m_remote = false}};
    const auto placement = bestPlacement(pass, candidate, groups, false);
    if (!placement || placement->m_workers.size() < candidate.m_waitingTasks.size()) {
        return false;
    }
    addStartDecisions(pass, candidate, *placement);
    subtractPlacement(pass, candidate, *placement);
    return true;
}

// Places, preempts for or reserves for the candidate, or adds the reasons for which its tasks wait.
static void searchPlacement(Pass &pass, Candidate candidate)
{
    if (candidate.m_jobLocked) {
        addWaitingStep(pass, candidate, candidate.m_waitingTasks.size(), WaitReason::Locked);
        return;
    }
    for (const bool allowUnreliable : {false, true}) {
        const auto workers = eligibleWorkers(pass, candidate, allowUnreliable);
        if (workers.empty()) {
            continue;
        }
        const auto allowed = tasksAllowedByReserve(pass, candidate, workers);
        if (allowed < static_cast<int>(candidate.m_waitingTasks.size())) {
            addWaitingStep(pass, candidate, candidate.m_waitingTasks.size() - static_cast<std::size_t>(allowed), WaitReason::ReservedForUrgent);
            candidate.m_waitingTasks.resize(static_cast<std::size_t>(allowed));
        }
        if (candidate.m_waitingTasks.empty() || (!allowUnreliable && startOnCurrentWorkers(pass, candidate))) {
            return;
        }
        const auto groups = workerGroupsFor(pass, candidate, workers);
        const auto left = startFittingTasks(pass, candidate, groups);
        if (left == 0) {
            return;
        }
        candidate.m_waitingTasks.erase(candidate.m_waitingTasks.begin(), candidate.m_waitingTasks.end() - static_cast<std::ptrdiff_t>(left));
        const auto &step = stepOf(pass, candidate);
        if (!allowUnreliable && !canFitOnEmptyWorkers(pass, workers, step, step.m_gang ? static_cast<int>(left) : 1)) {
            continue;
        }
        const bool urgent = isUrgent(candidate.m_rank);
        bool freed = false;
        if (urgent || pass.m_reservationCount < maxReservations) {
            pass.m_reservationCount += urgent ? 0 : 1;
            freed = preemptAndReserve(pass, candidate, groups);
        }
        addWaitingStep(pass, candidate, left, freed ? WaitReason::CapacityBeingReleased : waitReasonWithoutCapacity(pass, candidate, groups));
        return;
    }
    const bool isBlockedByDrain = mustAvoidDrainedWorkers(pass, candidate)
                                  && !usableWorkersWithLabel(pass, pass.m_policies[candidate.m_job]->m_workerPool, stepOf(pass, candidate)).empty();
    addWaitingStep(pass, candidate, candidate.m_waitingTasks.size(), isBlockedByDrain ? WaitReason::DrainedForGang : WaitReason::NoEligibleWorker);
}

// Returns true if all tasks of the step wait and none has failed, so that the placement depends only on the step and not on the occurrence.
static bool isFreshStep(const Candidate &candidate)
{
    const auto &tasks = candidate.m_state->m_tasks;
    return candidate.m_waitingTasks.size() == tasks.size()
           && std::all_of(tasks.begin(), tasks.end(), [](const auto &task) { return task->m_failedWorkers.empty(); });
}

// Returns the reason for which the candidate waits if an equal one, the same step in another occurrence, could not be placed before. Capacity only
// shrinks during a pass, but an older or overdue candidate may use more of it.
static std::optional<WaitReason> waitReasonOfEqualCandidate(const Pass &pass, const Candidate &candidate)
{
    const auto found = pass.m_unplaced.find({candidate.m_job, candidate.m_step});
    if (found == pass.m_unplaced.end() || !isFreshStep(candidate) || isDrainedFor(pass, candidate)) {
        return std::nullopt;
    }
    const auto &earlier = found->second;
    const bool mayUseMore = candidate.m_age > earlier.m_age || (candidate.m_overdue && !earlier.m_overdue);
    return mayUseMore ? std::nullopt : std::optional(earlier.m_reason);
}

// A repeated job may have thousands of occurrences that wait for the same capacity, so that they are not searched one by one.
static void placeCandidate(Pass &pass, const Candidate &candidate)
{
    if (const auto reason = waitReasonOfEqualCandidate(pass, candidate)) {
        addWaitingStep(pass, candidate, candidate.m_waitingTasks.size(), *reason);
        return;
    }
    const auto placements = pass.m_placements;
    const auto waiting = pass.m_waiting.size();
    searchPlacement(pass, candidate);
    if (pass.m_placements == placements && pass.m_waiting.size() == waiting + 1 && isFreshStep(candidate)) {
        pass.m_unplaced.insert_or_assign(
            std::pair(candidate.m_job, candidate.m_step),
            UnplacedCandidate{.m_age = candidate.m_age, .m_overdue = candidate.m_overdue, .m_reason = pass.m_waiting.back().m_reason});
    }
}

// Drains workers for the first aged gang that cannot start. It chooses the workers whose runs end soonest. Without a drain, a wide gang
// would starve: as long as smaller jobs arrive, there are never enough free workers at the same time.
static void drainForAgedGang(Pass &pass, const std::vector<Candidate> &candidates)
{
    int examined = 0;
    for (const auto &candidate : candidates) {
        if (!candidate.m_aged || candidate.m_jobLocked || !stepOf(pass, candidate).m_gang) {
            continue;
        }
        if (examined++ == maxDrainCandidates) {
            return;
        }
        const auto workers = eligibleWorkers(pass, candidate, false);
        const auto groups = workerGroupsFor(pass, candidate, workers);
        if (workers.empty() || freeAcceleratorShare(pass, workers) >= maxFreeShareToDrain || bestPlacement(pass, candidate, groups, false)) {
            continue;
        }
        if (const auto placement = bestPlacement(pass, candidate, groups, true, true)) {
            for (const auto worker : placement->m_workers) {
                pass.m_allocation.m_drained[worker] = true;
            }
            pass.m_drainedFor = &candidate;
            return;
        }
    }
}

PlacementDecisions decidePlacement(const PlacementInput &input)
{
    auto policies = policiesOfJobs(input);
    const auto ranks = rankJobs(input, policies);
    auto candidates = findCandidates(input, policies, ranks);
    const auto urgent = currentUrgentDemandOf(input, policies);
    Pass pass{.m_input = input, .m_policies = std::move(policies), .m_allocation = makeFleetAllocation(input, ranks), .m_starts = {}, .m_stops = {}};
    const auto budget = acceleratorBudgetOf(pass, urgent);
    pass.m_urgentReserveAccelerators = budget.m_reservedAccelerators;
    drainForAgedGang(pass, candidates);
    for (const auto &candidate : candidates) {
        placeCandidate(pass, candidate);
    }
    return PlacementDecisions{
        .m_starts = std::move(pass.m_starts), .m_stops = std::move(pass.m_stops), .m_waiting = std::move(pass.m_waiting), .m_acceleratorBudget = budget};
}

} // namespace PrimroseBridge
