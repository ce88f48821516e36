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

// Steps that wait for places keep them from less urgent work; more of them at a time would leave too much idle.
constexpr int maxReservations = 4;
// A gang may be spread over racks, at a multiple of its run time, only while at least this share of the accelerators is free.
constexpr double spreadFreeShare = 0.5;

// A peak counts half after this time: several times the run time of urgent work, shorter than a lull that is worth filling.
constexpr double peakHalfLifeSeconds = 10.0;

// Largest share of the fleet that is kept free while it is busy. A backlog of urgent work can need many times the fleet.
constexpr double maxKeptShare = 0.4;
// The same while at least half of it is free. With a quarter, a gang for which there is room twice over always starts.
constexpr double maxKeptIdleShare = 0.25;
// Room is kept for this many jobs of the size of the largest recent urgent one. With none, one, two and three the mean worth of the
// standard days was 0.61, 0.63, 0.65 and 0.67 on the grown deployment with most preemptions.
constexpr double keptLargestJobs = 3.0;
// A gang that has aged has workers drained for it only while less than this share of the accelerators is free: on an emptier fleet it
// finds room, and others would wait for nothing.
constexpr double drainFreeShare = 0.5;

// Gangs that are examined in a pass to find the one to drain workers for, so that a long backlog costs no more than a short one.
constexpr int maxDrainCandidates = 4;

static double usableAccelerators(const PlacementInput &input)
{
    double accelerators = 0.0;
    for (const auto &worker : input.m_workers) {
        accelerators += worker.m_usable ? static_cast<double>(worker.m_report->m_capacity.m_accelerators) : 0.0;
    }
    return accelerators;
}

UrgentDemandPeak updatedUrgentDemandPeak(const UrgentDemandPeak &demand, const CurrentUrgentDemand &need, Instant now)
{
    const auto seconds = std::chrono::duration<double>(now - demand.m_updatedAt).count();
    const auto fading = std::exp2(-std::max(seconds, 0.0) / peakHalfLifeSeconds);
    return UrgentDemandPeak{
        .m_peakAccelerators = std::max(demand.m_peakAccelerators * fading, need.m_totalAccelerators), .m_largestJobAccelerators = std::max(demand.m_largestJobAccelerators * fading, need.m_largestJobAccelerators), .m_updatedAt = now};
}

static double activeAccelerators(const JobState &job)
{
    double needed = 0.0;
    for (const auto &occurrence : job.m_occurrences) {
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            const auto &state = *occurrence->m_steps[step];
            const auto open = static_cast<double>(state.m_tasks.size()) - state.m_doneTaskCount;
            needed += open * static_cast<double>(job.m_spec->m_steps[step].m_taskResources.m_accelerators);
        }
    }
    return needed;
}

static CurrentUrgentDemand urgentNeedOf(const PlacementInput &input, const std::vector<const QueueSettings *> &queues)
{
    double total = 0.0;
    double largest = 0.0;
    for (std::size_t index = 0; index < input.m_jobs.size(); ++index) {
        const auto &job = *input.m_jobs[index];
        if (queues[index] && queues[index]->m_priority == 0 && job.m_outcome == JobOutcome::Active) {
            const auto needed = activeAccelerators(job);
            total += needed;
            largest = std::max(largest, needed);
        }
    }
    return CurrentUrgentDemand{.m_totalAccelerators = total, .m_largestJobAccelerators = largest};
}

CurrentUrgentDemand currentUrgentDemand(const PlacementInput &input)
{
    return urgentNeedOf(input, queuesOfJobs(input));
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
    case WaitReason::KeptFree:
        return "kept_free";
    case WaitReason::NoRoom:
        return "no_room";
    case WaitReason::NoRoomInRack:
        return "no_room_in_rack";
    case WaitReason::BeingFreed:
        return "being_freed";
    case WaitReason::Draining:
        return "draining";
    case WaitReason::KeptForGang:
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

// One group of workers within which a step may be placed, and the run time that it has there.
struct Scope {
    std::vector<std::size_t> m_workers;
    bool m_remote; // Away from the data, or a same-rack gang spread over racks.
};

struct Pass {
    const PlacementInput &m_input;
    const std::vector<const QueueSettings *> m_queues; // By job.
    FleetAllocation m_allocation;
    // Workers of a pool with a label, by pool and label.
    std::map<std::pair<std::string_view, std::string_view>, std::vector<std::size_t>> m_eligible = {};
    std::vector<StartDecision> m_starts;
    std::vector<StopDecision> m_stops;
    std::vector<WaitingStep> m_waiting = {};
    int m_reservations = 0;
    const Candidate *m_drainedFor = nullptr; // The gang for which workers are drained.
    double m_keptFree = 0.0; // Accelerators that only urgent work may take.
};

} // namespace

static const JobStep &stepOf(const Pass &pass, const Candidate &candidate)
{
    return pass.m_input.m_jobs[candidate.m_job]->m_spec->m_steps[static_cast<std::size_t>(candidate.m_step)];
}

static const StepState &stateOf(const Pass &pass, const Candidate &candidate)
{
    for (const auto &occurrence : pass.m_input.m_jobs[candidate.m_job]->m_occurrences) {
        if (occurrence->m_number == candidate.m_occurrence) {
            return *occurrence->m_steps[static_cast<std::size_t>(candidate.m_step)];
        }
    }
    throw Error(ErrorKind::Internal, "a candidate names an occurrence that its job does not have", "report this as a fault of the scheduler");
}

static bool isEligible(const PlacementWorker &worker, const JobStep &step, const std::string &pool)
{
    const auto &report = *worker.m_report;
    if (!worker.m_usable || report.m_pool != pool) {
        return false;
    }
    return step.m_requiredLabel.empty() || std::find(report.m_labels.begin(), report.m_labels.end(), step.m_requiredLabel) != report.m_labels.end();
}

// Workers on which a run of the step failed.
static std::set<std::string_view> failedOn(const StepState &state)
{
    std::set<std::string_view> workers;
    for (const auto &task : state.m_tasks) {
        workers.insert(task->m_failedWorkers.begin(), task->m_failedWorkers.end());
    }
    return workers;
}

static const std::vector<std::size_t> &workersOf(Pass &pass, const std::string &pool, const JobStep &step)
{
    const auto [entry, added] = pass.m_eligible.try_emplace({pool, step.m_requiredLabel});
    if (added) {
        for (std::size_t index = 0; index < pass.m_input.m_workers.size(); ++index) {
            if (isEligible(pass.m_input.m_workers[index], step, pool)) {
                entry->second.push_back(index);
            }
        }
    }
    return entry->second;
}

// Workers are drained for the candidate's gang.
static bool isDrainedFor(const Pass &pass, const Candidate &candidate)
{
    const auto *gang = pass.m_drainedFor;
    return gang && gang->m_job == candidate.m_job && gang->m_occurrence == candidate.m_occurrence && gang->m_step == candidate.m_step;
}

// Drained workers are kept from the candidate.
static bool avoidsDrained(const Pass &pass, const Candidate &candidate)
{
    return pass.m_drainedFor && candidate.m_rank != UrgencyRank::Guaranteed && !isDrainedFor(pass, candidate);
}

// Workers that may run the step. Isolated ones, and those on which a run of the step failed, count only if @p lenient.
static std::vector<std::size_t> eligibleWorkers(Pass &pass, const Candidate &candidate, bool lenient)
{
    const auto &all = workersOf(pass, pass.m_queues[candidate.m_job]->m_workerPool, stepOf(pass, candidate));
    const bool avoids = avoidsDrained(pass, candidate);
    if (lenient && !avoids) {
        return all;
    }
    const auto failed = lenient ? std::set<std::string_view>() : failedOn(stateOf(pass, candidate));
    std::vector<std::size_t> workers;
    workers.reserve(all.size());
    for (const auto index : all) {
        const auto &worker = pass.m_input.m_workers[index];
        if (avoids && pass.m_allocation.m_drained[index]) {
            continue;
        }
        if ((lenient || !worker.m_isolated) && (failed.empty() || !failed.contains(worker.m_life->m_worker))) {
            workers.push_back(index);
        }
    }
    return workers;
}

static bool fitsWhenEmpty(const Pass &pass, const std::vector<std::size_t> &workers, const JobStep &step, int tasks)
{
    int places = 0;
    for (const auto worker : workers) {
        const auto &capacity = pass.m_input.m_workers[worker].m_report->m_capacity;
        const ResourceAmounts empty{.m_milliCores = capacity.m_milliCores, .m_memoryMb = capacity.m_memoryMb, .m_accelerators = capacity.m_accelerators};
        places += countFittingTasks(empty, step, step.m_maxPerWorker > 0 ? std::min(tasks, step.m_maxPerWorker) : tasks);
        if (places >= tasks) {
            return true;
        }
    }
    return false;
}

// By rack; empty for racks without any of the workers.
static std::vector<std::vector<std::size_t>> byRack(const Pass &pass, const std::vector<std::size_t> &workers)
{
    std::vector<std::vector<std::size_t>> racks(pass.m_allocation.m_rackCount);
    for (const auto worker : workers) {
        racks[pass.m_allocation.m_rackByWorker[worker]].push_back(worker);
    }
    return racks;
}

static double freeShare(const Pass &pass, const std::vector<std::size_t> &workers)
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

// The groups of workers to try, the better ones first.
static std::vector<Scope> scopesFor(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers)
{
    const auto &step = stepOf(pass, candidate);
    const auto tasks = static_cast<int>(candidate.m_waiting.size());
    if (!isBoundToRacks(step)) {
        return {Scope{.m_workers = workers, .m_remote = false}};
    }
    std::vector<Scope> scopes;
    for (auto &members : byRack(pass, workers)) {
        if (members.empty()) {
            continue;
        }
        const bool hasData = step.m_dataRack.empty() || step.m_dataRack == pass.m_input.m_workers[members.front()].m_report->m_rack;
        const bool wholeStep = !(step.m_gang && step.m_sameRack) || fitsWhenEmpty(pass, members, step, tasks);
        if (hasData && wholeStep) {
            scopes.push_back(Scope{.m_workers = std::move(members), .m_remote = false});
        }
    }
    if (scopes.empty() || candidate.m_overdue || freeShare(pass, workers) >= spreadFreeShare) {
        scopes.push_back(Scope{.m_workers = workers, .m_remote = true});
    }
    return scopes;
}

static std::int64_t freeAccelerators(const Pass &pass, const std::vector<std::size_t> &workers)
{
    std::int64_t free = 0;
    for (const auto worker : workers) {
        free += std::max<std::int64_t>(pass.m_allocation.m_free[worker].m_accelerators, 0);
    }
    return free;
}

static bool isBetter(const Pass &pass, const StepPlacement &left, const Scope &leftScope, const StepPlacement &right, const Scope &rightScope)
{
    if (leftScope.m_remote != rightScope.m_remote) {
        return !leftScope.m_remote;
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
    // The fullest rack that fits, so that another stays whole for the largest gangs.
    return freeAccelerators(pass, leftScope.m_workers) < freeAccelerators(pass, rightScope.m_workers);
}

static std::optional<StepPlacement>
bestPlacement(const Pass &pass, const Candidate &candidate, const std::vector<Scope> &scopes, bool evicting, bool draining = false)
{
    const auto &step = stepOf(pass, candidate);
    std::optional<StepPlacement> best;
    const Scope *bestScope = nullptr;
    for (const auto &scope : scopes) {
        auto placement = placeTasks(
            pass.m_allocation,
            candidate,
            static_cast<int>(candidate.m_waiting.size()),
            PlacementScope{.m_workers = scope.m_workers, .m_useReleasing = evicting, .m_mayEvict = evicting, .m_allowPartial = !step.m_gang, .m_drainWorkers = draining});
        if (placement && (!best || isBetter(pass, *placement, scope, *best, *bestScope))) {
            best = std::move(placement);
            bestScope = &scope;
        }
    }
    return best;
}

// What is free on a worker in accelerators: the scarcest of its resources, as a share of the worker, counts.
static double effectiveFree(const Pass &pass, std::size_t worker)
{
    const auto &room = pass.m_allocation.m_free[worker];
    const auto &capacity = pass.m_input.m_workers[worker].m_report->m_capacity;
    double share = 1.0;
    const auto limit = [&share](std::int64_t free, std::int64_t all) {
        if (all > 0) {
            share = std::min(share, static_cast<double>(std::max<std::int64_t>(free, 0)) / static_cast<double>(all));
        }
    };
    limit(room.m_milliCores, capacity.m_milliCores);
    limit(room.m_memoryMb, capacity.m_memoryMb);
    limit(room.m_accelerators, capacity.m_accelerators);
    return share * static_cast<double>(capacity.m_accelerators);
}

// Part of the kept room that is kept from the candidate as well.
static double keptShare(const Candidate &candidate)
{
    // Without this a steady urgent load starves other work.
    const std::chrono::duration<double> limit = candidate.m_latencyObjective * agedAfterObjectives;
    return limit.count() > 0.0 ? std::clamp(1.0 - candidate.m_age / limit, 0.0, 1.0) : 0.0;
}

// Tasks of the step that may start without touching what is kept free for urgent work.
static int tasksWithinReserve(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers)
{
    const auto wanted = static_cast<int>(candidate.m_waiting.size());
    if (isUrgent(candidate.m_rank) || pass.m_keptFree <= 0.0) {
        return wanted;
    }
    double free = -pass.m_keptFree * keptShare(candidate);
    for (const auto worker : workers) {
        free += effectiveFree(pass, worker);
    }
    const auto &step = stepOf(pass, candidate);
    const auto each = std::max(static_cast<double>(step.m_taskResources.m_accelerators), 1.0);
    const int allowed = static_cast<int>(std::clamp(free / each, 0.0, static_cast<double>(wanted)));
    return step.m_gang && allowed < wanted ? 0 : allowed;
}

// What the pass starts from, with the accelerators that less urgent work leaves free.
static AcceleratorBudget figuresOf(const Pass &pass, const CurrentUrgentDemand &urgent)
{
    double free = 0.0;
    for (std::size_t worker = 0; worker < pass.m_input.m_workers.size(); ++worker) {
        free += pass.m_input.m_workers[worker].m_usable ? effectiveFree(pass, worker) : 0.0;
    }
    const auto usable = usableAccelerators(pass.m_input);
    const auto share = free >= usable / 2.0 ? maxKeptIdleShare : maxKeptShare;
    const auto &demand = pass.m_input.m_urgentDemand;
    const auto kept = std::clamp(std::max(demand.m_peakAccelerators - urgent.m_totalAccelerators, keptLargestJobs * demand.m_largestJobAccelerators), 0.0, share * usable);
    return AcceleratorBudget{.m_usable = usable, .m_free = free, .m_reservedAccelerators = kept, .m_currentUrgentDemand = urgent};
}

static void reserve(Pass &pass, const Candidate &candidate, const StepPlacement &placement)
{
    const auto &step = stepOf(pass, candidate);
    for (const auto worker : placement.m_workers) {
        subtractTaskNeeds(pass.m_allocation.m_free[worker], step, 1);
        if (isUrgent(candidate.m_rank)) {
            subtractTaskNeeds(pass.m_allocation.m_reclaimable[worker], step, 1);
        }
    }
}

static std::int64_t nextRun(const StepState &state, const std::vector<int> &tasks, bool gang)
{
    std::int64_t run = 0;
    for (std::size_t index = 0; index < state.m_tasks.size(); ++index) {
        if (gang || std::find(tasks.begin(), tasks.end(), static_cast<int>(index)) != tasks.end()) {
            run = std::max(run, state.m_tasks[index]->m_run);
        }
    }
    return run + 1;
}

// Every member of a gang must carry the same checkpoint; that of any member will do.
static std::string gangCheckpoint(const StepState &state)
{
    std::string newest;
    for (const auto &task : state.m_tasks) {
        newest = std::max(newest, task->m_checkpoint);
    }
    return newest;
}

static void start(Pass &pass, const Candidate &candidate, const StepPlacement &placement)
{
    const auto &step = stepOf(pass, candidate);
    const auto &state = stateOf(pass, candidate);
    const auto gangRun = nextRun(state, {}, true);
    const auto shared = step.m_gang && step.m_checkpointing ? gangCheckpoint(state) : std::string();
    for (std::size_t position = 0; position < placement.m_workers.size(); ++position) {
        const int index = candidate.m_waiting[position];
        const auto &task = *state.m_tasks[static_cast<std::size_t>(index)];
        pass.m_starts.push_back(StartDecision{
            .m_task = TaskReference{.m_job = pass.m_input.m_jobs[candidate.m_job]->m_spec->m_id,
                                    .m_occurrence = candidate.m_occurrence,
                                    .m_step = candidate.m_step,
                                    .m_index = index},
            .m_worker = placement.m_workers[position],
            .m_run = step.m_gang ? gangRun : task.m_run + 1,
            .m_checkpoint = step.m_gang ? shared : (step.m_checkpointing ? task.m_checkpoint : std::string()),
        });
    }
}

static void stopVictims(Pass &pass, const StepPlacement &placement)
{
    for (const auto victim : placement.m_victims) {
        const auto &placed = pass.m_allocation.m_placedTasks[victim];
        if (pass.m_allocation.m_evicted[victim]) {
            continue;
        }
        pass.m_allocation.m_evicted[victim] = true;
        addTaskNeeds(pass.m_allocation.m_releasing[placed.m_worker], *placed.m_step, 1);
        pass.m_stops.push_back(StopDecision{.m_task = taskReferenceOf(pass.m_allocation, placed),
                                            .m_assignedWorker = *placed.m_state->m_assignedWorker,
                                            .m_run = placed.m_state->m_run,
                                            .m_reason = StopReason::Preempted});
    }
}

// Starts what fits now. Returns the number of tasks that were not placed.
static std::size_t startWhatFits(Pass &pass, const Candidate &candidate, const std::vector<Scope> &scopes)
{
    const auto placement = bestPlacement(pass, candidate, scopes, false);
    if (!placement) {
        return candidate.m_waiting.size();
    }
    start(pass, candidate, *placement);
    reserve(pass, candidate, *placement);
    return candidate.m_waiting.size() - placement->m_workers.size();
}

// Returns whether places are being freed for at least some of the tasks.
static bool reservePlaces(Pass &pass, const Candidate &candidate, const std::vector<Scope> &scopes)
{
    const auto placement = bestPlacement(pass, candidate, scopes, true);
    if (!placement) {
        return false;
    }
    stopVictims(pass, *placement);
    reserve(pass, candidate, *placement);
    return true;
}

static void noteWaiting(Pass &pass, const Candidate &candidate, std::size_t tasks, WaitReason reason)
{
    pass.m_waiting.push_back(WaitingStep{.m_job = candidate.m_job,
                                         .m_occurrence = candidate.m_occurrence,
                                         .m_step = candidate.m_step,
                                         .m_tasks = static_cast<int>(tasks),
                                         .m_rank = candidate.m_rank,
                                         .m_reason = reason,
                                         .m_age = candidate.m_age});
}

static WaitReason reasonWithoutRoom(const Pass &pass, const Candidate &candidate, const std::vector<Scope> &scopes)
{
    if (isDrainedFor(pass, candidate)) {
        return WaitReason::Draining;
    }
    const bool racksOnly
        = isBoundToRacks(stepOf(pass, candidate)) && std::none_of(scopes.begin(), scopes.end(), [](const auto &scope) { return scope.m_remote; });
    return racksOnly ? WaitReason::NoRoomInRack : WaitReason::NoRoom;
}

static void placeCandidate(Pass &pass, Candidate candidate)
{
    if (candidate.m_jobLocked) {
        noteWaiting(pass, candidate, candidate.m_waiting.size(), WaitReason::Locked);
        return;
    }
    for (const bool lenient : {false, true}) {
        const auto workers = eligibleWorkers(pass, candidate, lenient);
        if (workers.empty()) {
            continue;
        }
        const auto allowed = tasksWithinReserve(pass, candidate, workers);
        if (allowed < static_cast<int>(candidate.m_waiting.size())) {
            noteWaiting(pass, candidate, candidate.m_waiting.size() - static_cast<std::size_t>(allowed), WaitReason::KeptFree);
            candidate.m_waiting.resize(static_cast<std::size_t>(allowed));
        }
        if (candidate.m_waiting.empty()) {
            return;
        }
        const auto scopes = scopesFor(pass, candidate, workers);
        const auto left = startWhatFits(pass, candidate, scopes);
        if (left == 0) {
            return;
        }
        candidate.m_waiting.erase(candidate.m_waiting.begin(), candidate.m_waiting.end() - static_cast<std::ptrdiff_t>(left));
        const auto &step = stepOf(pass, candidate);
        if (!lenient && !fitsWhenEmpty(pass, workers, step, step.m_gang ? static_cast<int>(left) : 1)) {
            continue;
        }
        const bool urgent = isUrgent(candidate.m_rank);
        bool freed = false;
        if (urgent || pass.m_reservations < maxReservations) {
            pass.m_reservations += urgent ? 0 : 1;
            freed = reservePlaces(pass, candidate, scopes);
        }
        noteWaiting(pass, candidate, left, freed ? WaitReason::BeingFreed : reasonWithoutRoom(pass, candidate, scopes));
        return;
    }
    const bool kept = avoidsDrained(pass, candidate) && !workersOf(pass, pass.m_queues[candidate.m_job]->m_workerPool, stepOf(pass, candidate)).empty();
    noteWaiting(pass, candidate, candidate.m_waiting.size(), kept ? WaitReason::KeptForGang : WaitReason::NoEligibleWorker);
}

// Chooses workers to drain for the first gang that has aged and finds no room: those whose runs end soonest. Without this, wide gangs
// wait until enough workers happen to be free at once, which smaller work prevents for as long as it arrives.
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
        const auto scopes = scopesFor(pass, candidate, workers);
        if (workers.empty() || freeShare(pass, workers) >= drainFreeShare || bestPlacement(pass, candidate, scopes, false)) {
            continue;
        }
        if (const auto placement = bestPlacement(pass, candidate, scopes, true, true)) {
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
    auto queues = queuesOfJobs(input);
    const auto ranks = rankJobs(input, queues);
    auto candidates = findCandidates(input, queues, ranks);
    const auto urgent = urgentNeedOf(input, queues);
    Pass pass{.m_input = input, .m_queues = std::move(queues), .m_allocation = makeFleetAllocation(input, ranks), .m_starts = {}, .m_stops = {}};
    const auto figures = figuresOf(pass, urgent);
    pass.m_keptFree = figures.m_reservedAccelerators;
    drainForAgedGang(pass, candidates);
    for (const auto &candidate : candidates) {
        placeCandidate(pass, candidate);
    }
    return PlacementDecisions{
        .m_starts = std::move(pass.m_starts), .m_stops = std::move(pass.m_stops), .m_waiting = std::move(pass.m_waiting), .m_acceleratorBudget = figures};
}

} // namespace PrimroseBridge
