#include "primrosebridge/Fleet/placement.h"

#include "placementpass.h"
#include "shortage.h"

#include <algorithm>

namespace PrimroseBridge {

// Steps that are not urgent and reserve capacity in one pass. Less urgent work cannot use reserved capacity, so more reservations would
// leave too much of it idle.
constexpr int maxReservations = 4;
// The shortest notice with which workers of the users' deployments leave. Work that takes longer may be lost on a worker that is replaced.
constexpr Duration shortestLeaveNotice(2000);
// Workers are drained for an aged gang only while less than this share of the accelerators is free. On an emptier fleet the gang finds
// enough capacity without a drain, which would delay other work to no benefit.
constexpr double maxFreeShareToDrain = 0.5;

// Aged gangs that a pass examines to find one to drain workers for. The limit bounds the cost of a pass with a long backlog.
constexpr int maxDrainCandidates = 4;

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
    const auto placement = bestPlacement(pass, candidate, groups, CapacityUse::Free);
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
    auto placement = bestPlacement(pass, candidate, groups, CapacityUse::Eviction);
    if (!placement) {
        return false;
    }
    if (isUrgent(candidate.m_rank) && pass.m_allocation.m_speedsDiffer && !isInTime(pass, candidate, *placement, waitFor(pass, *placement))) {
        const auto waitOn = [&pass](std::size_t) { return pass.m_input.m_stopBound; };
        auto inTime = bestPlacement(pass, candidate, groupsInTime(pass, candidate, groups, waitOn), CapacityUse::Eviction);
        // Victims on workers on which the candidate is in time are not worth more than its own work.
        if (inTime && inTime->m_workers.size() == placement->m_workers.size()
            && inTime->m_evictionCost
                   <= placement->m_evictionCost + estimatedCoreSeconds(stepOf(pass, candidate), static_cast<int>(placement->m_workers.size()))) {
            placement = std::move(inTime);
        }
    }
    addStopDecisions(pass, *placement);
    subtractPlacement(pass, candidate, *placement);
    return true;
}

// Removes tasks from the front of the candidate's waiting tasks until the given number is left.
static void keepLastWaitingTasks(Candidate &candidate, std::size_t left)
{
    candidate.m_waitingTasks.erase(candidate.m_waitingTasks.begin(), candidate.m_waitingTasks.end() - static_cast<std::ptrdiff_t>(left));
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

static WaitReason waitReasonWithoutCapacity(Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups)
{
    if (isDrainedFor(pass, candidate)) {
        return WaitReason::Draining;
    }
    if (needsDrainedZones(pass, candidate, stepOf(pass, candidate).m_gang ? static_cast<int>(candidate.m_waitingTasks.size()) : 1)) {
        return WaitReason::ZoneDrained;
    }
    const bool isLimitedToRacks
        = isBoundToRacks(stepOf(pass, candidate)) && std::none_of(groups.begin(), groups.end(), [](const auto &group) { return group.m_remote; });
    return isLimitedToRacks ? WaitReason::InsufficientRackCapacity : WaitReason::InsufficientCapacity;
}

// Returns the groups without the workers on which the candidate does not meet its objective if it starts now.
static std::vector<WorkerGroup> freeGroupsInTime(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups)
{
    return groupsInTime(pass, candidate, groups, [](std::size_t) { return Duration(0); });
}

// Starts the candidate's tasks on reliable workers that are not outdated, if all of them fit there at once. Otherwise the candidate does not
// wait for these workers. Returns true if the tasks start.
static bool startOnCurrentWorkers(Pass &pass, const Candidate &candidate)
{
    const auto &step = stepOf(pass, candidate);
    const auto eligible = eligibleWorkers(pass, candidate, false);
    auto workers = eligible;
    const auto removed = std::erase_if(workers, [&pass](std::size_t worker) { return pass.m_input.m_workers[worker].m_outdated; });
    if (removed == 0 || workers.empty() || step.m_estimate <= shortestLeaveNotice || isBoundToRacks(step)) {
        return false;
    }
    const std::vector<WorkerGroup> groups{WorkerGroup{.m_workers = std::move(workers), .m_remote = false}};
    const auto placement = bestPlacement(pass, candidate, groups, CapacityUse::Free);
    if (!placement || placement->m_workers.size() < candidate.m_waitingTasks.size()) {
        return false;
    }
    if (isUrgent(candidate.m_rank) && pass.m_allocation.m_speedsDiffer && !isInTime(pass, candidate, *placement, Duration(0))) {
        // Outdated workers are better than workers on which the candidate is late.
        const auto all = bestPlacement(pass, candidate, freeGroupsInTime(pass, candidate, {{.m_workers = eligible, .m_remote = false}}), CapacityUse::Free);
        if (all && all->m_workers.size() == placement->m_workers.size()) {
            return false;
        }
    }
    addStartDecisions(pass, candidate, *placement);
    subtractPlacement(pass, candidate, *placement);
    return true;
}

// Starts tasks of urgent work on free places that are in time. Tasks without such a place wait if capacity on which they are in time can be freed soon
// enough at a cost that they are worth, and otherwise start late on free places. Removes these tasks from the candidate.
static void startOrWaitInTime(Pass &pass, Candidate &candidate, const std::vector<WorkerGroup> &groups)
{
    const auto inTime = freeGroupsInTime(pass, candidate, groups);
    if (inTime.empty()) {
        return;
    }
    keepLastWaitingTasks(candidate, startFittingTasks(pass, candidate, inTime));
    if (candidate.m_waitingTasks.empty()) {
        return;
    }
    const auto late = bestPlacement(pass, candidate, groups, CapacityUse::Free);
    if (!late) {
        return; // The candidate waits in any case.
    }
    if (const auto placement = placementWorthWaitingFor(pass, candidate, groups, *late)) {
        addStopDecisions(pass, *placement);
        subtractPlacement(pass, candidate, *placement);
        addWaitingStep(pass, candidate, placement->m_workers.size(), WaitReason::CapacityBeingReleased);
        keepLastWaitingTasks(candidate, candidate.m_waitingTasks.size() - placement->m_workers.size());
        return;
    }
    addStartDecisions(pass, candidate, *late);
    subtractPlacement(pass, candidate, *late);
    keepLastWaitingTasks(candidate, candidate.m_waitingTasks.size() - late->m_workers.size());
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
        const auto [allowed, allowedOnReserve] = tasksAllowedByReserve(pass, candidate, workers);
        candidate.m_maxTasksOnReserve = allowedOnReserve;
        if (allowed < static_cast<int>(candidate.m_waitingTasks.size())) {
            addWaitingStep(pass, candidate, candidate.m_waitingTasks.size() - static_cast<std::size_t>(allowed), WaitReason::ReservedForUrgent);
            candidate.m_waitingTasks.resize(static_cast<std::size_t>(allowed));
        }
        if (candidate.m_waitingTasks.empty() || (!allowUnreliable && startOnCurrentWorkers(pass, candidate))) {
            return;
        }
        const auto groups = workerGroupsFor(pass, candidate, workers);
        if (isUrgent(candidate.m_rank) && pass.m_allocation.m_speedsDiffer) {
            startOrWaitInTime(pass, candidate, groups);
            if (candidate.m_waitingTasks.empty()) {
                return;
            }
        }
        const auto left = startFittingTasks(pass, candidate, groups);
        if (left == 0) {
            return;
        }
        keepLastWaitingTasks(candidate, left);
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
    if (needsDrainedZones(pass, candidate, 1)) {
        addWaitingStep(pass, candidate, candidate.m_waitingTasks.size(), WaitReason::ZoneDrained);
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
        if (workers.empty() || freeAcceleratorShare(pass, workers) >= maxFreeShareToDrain || bestPlacement(pass, candidate, groups, CapacityUse::Free)) {
            continue;
        }
        if (const auto placement = bestPlacement(pass, candidate, groups, CapacityUse::Drain)) {
            for (const auto worker : placement->m_workers) {
                pass.m_allocation.m_drained[worker] = true;
            }
            pass.m_drainedFor = &candidate;
            return;
        }
    }
}

PlacementDecisions decidePlacement(const PlacementInput &input, ShortageOrder order)
{
    auto policies = policiesOfJobs(input);
    const auto ranks = rankJobs(input, policies);
    auto candidates = findCandidates(input, policies, ranks);
    const auto urgent = currentUrgentDemandOf(input, policies);
    Pass pass{.m_input = input, .m_policies = std::move(policies), .m_allocation = makeFleetAllocation(input, ranks), .m_starts = {}, .m_stops = {}};
    const auto budget = acceleratorBudgetOf(pass, urgent);
    pass.m_urgentReserveAccelerators = budget.m_reservedAccelerators;
    std::vector<RankShortage> shortages;
    std::vector<PutOffStep> putOff;
    if (order == ShortageOrder::MostValue) {
        const ShortageContext context{
            .m_allocation = pass.m_allocation, .m_policies = pass.m_policies, .m_reservedAccelerators = budget.m_reservedAccelerators};
        auto ordered = orderUnderShortage(context, std::move(candidates));
        candidates = std::move(ordered.m_candidates);
        shortages = std::move(ordered.m_shortages);
        putOff = std::move(ordered.m_putOff);
    }
    drainForAgedGang(pass, candidates);
    for (const auto &candidate : candidates) {
        placeCandidate(pass, candidate);
    }
    return PlacementDecisions{.m_starts = std::move(pass.m_starts),
                              .m_stops = std::move(pass.m_stops),
                              .m_waiting = std::move(pass.m_waiting),
                              .m_acceleratorBudget = budget,
                              .m_shortages = std::move(shortages),
                              .m_putOff = std::move(putOff)};
}

} // namespace PrimroseBridge
