#include "fleetallocation.h"

#include "primrosebridge/Fleet/taskprogress.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace PrimroseBridge {

constexpr double coreEquivalentsPerAccelerator = 8.0; // As in the users' price list.
// A checkpointing task saves a checkpoint when it is stopped. It only loses the work done while the stop is under way and the time to
// restore the checkpoint, 0.1 to 0.6 s on the users' deployments.
constexpr double maxCheckpointedLossSeconds = 1.0;
// Added for each guaranteed victim. Larger than the other costs, so that any number of other victims is stopped first.
constexpr double guaranteedVictimCost = 1e14;
// A task that is not urgent and was started more often than this is protected: it is stopped only for overdue guaranteed work, and
// after all other tasks that are not guaranteed. Otherwise it could be preempted again and again, and each stop may lose nearly a whole
// run time of work.
constexpr std::int64_t startsBeforeProtection = 4;
// Added for each protected victim. Larger than the lost work of a whole fleet and than the difference between two ranks in the sort key.
constexpr double protectedVictimCost = 1e10;

void addTaskNeeds(ResourceAmounts &amounts, const JobStep &step, int tasks)
{
    amounts.m_milliCores += step.m_filler ? 0 : step.m_taskResources.m_milliCores * tasks;
    amounts.m_memoryMb += step.m_taskResources.m_memoryMb * tasks;
    amounts.m_accelerators += step.m_taskResources.m_accelerators * tasks;
}

void subtractTaskNeeds(ResourceAmounts &amounts, const JobStep &step, int tasks)
{
    addTaskNeeds(amounts, step, -tasks);
}

static void limitTaskCount(int &tasks, std::int64_t available, std::int64_t need)
{
    if (need > 0) {
        tasks = static_cast<int>(std::min<std::int64_t>(tasks, std::max<std::int64_t>(available, 0) / need));
    }
}

bool isPositive(const ResourceAmounts &amounts)
{
    return amounts.m_milliCores > 0 || amounts.m_memoryMb > 0 || amounts.m_accelerators > 0;
}

int countFittingTasks(const ResourceAmounts &amounts, const JobStep &step, int limit)
{
    int tasks = limit;
    limitTaskCount(tasks, amounts.m_milliCores, step.m_filler ? 0 : step.m_taskResources.m_milliCores);
    limitTaskCount(tasks, amounts.m_memoryMb, step.m_taskResources.m_memoryMb);
    limitTaskCount(tasks, amounts.m_accelerators, step.m_taskResources.m_accelerators);
    return tasks;
}

// Returns true if a task of the step fits; equal to countFittingTasks() with limit 1, without divisions.
static bool fitsTask(const ResourceAmounts &amounts, const JobStep &step)
{
    const auto fits = [](std::int64_t available, std::int64_t need) { return need <= 0 || available >= need; };
    const auto &needs = step.m_taskResources;
    return fits(amounts.m_accelerators, needs.m_accelerators) && fits(amounts.m_milliCores, step.m_filler ? 0 : needs.m_milliCores)
           && fits(amounts.m_memoryMb, needs.m_memoryMb);
}

static double coreEquivalentsOfTask(const JobStep &step)
{
    return static_cast<double>(step.m_taskResources.m_milliCores) / 1000.0
           + coreEquivalentsPerAccelerator * static_cast<double>(step.m_taskResources.m_accelerators);
}

double estimatedCoreSeconds(const JobStep &step, int tasks)
{
    return coreEquivalentsOfTask(step) * std::chrono::duration<double>(step.m_estimate).count() * tasks;
}

static double evictionCostOf(const PlacementInput &input, const TaskState &task, const JobStep &step)
{
    const auto cores = coreEquivalentsOfTask(step);
    const auto seconds = std::max(std::chrono::duration<double>(input.m_now - task.m_phaseSince).count(), 0.0);
    return cores * (step.m_checkpointing ? std::min(seconds, maxCheckpointedLossSeconds) : seconds);
}

namespace {

// Finds the index of a worker by its WorkerIncarnation. Tasks share the WorkerIncarnation object of their worker, so nearly all lookups
// succeed by the address of the object; the others compare its value.
class WorkerIndex
{
public:
    explicit WorkerIndex(const std::vector<PlacementWorker> &workers)
        : m_workers(workers)
    {
        m_byAddress.reserve(workers.size());
        for (std::size_t worker = 0; worker < workers.size(); ++worker) {
            m_byAddress.emplace(workers[worker].m_incarnation.get(), worker);
        }
    }

    [[nodiscard]] std::optional<std::size_t> find(const WorkerIncarnation &incarnation)
    {
        if (const auto found = m_byAddress.find(&incarnation); found != m_byAddress.end()) {
            return found->second;
        }
        if (m_byName.empty()) {
            for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
                m_byName.emplace(m_workers[worker].m_incarnation->m_worker, worker);
            }
        }
        const auto found = m_byName.find(incarnation.m_worker);
        return found != m_byName.end() && *m_workers[found->second].m_incarnation == incarnation ? std::optional(found->second) : std::nullopt;
    }

private:
    const std::vector<PlacementWorker> &m_workers;
    std::unordered_map<const WorkerIncarnation *, std::size_t> m_byAddress;
    std::unordered_map<std::string_view, std::size_t> m_byName;
};

} // namespace

// Adds the tasks of one step that hold resources of a known worker.
static void addPlacedTasks(FleetAllocation &allocation, WorkerIndex &workers, const PlacedTask &prototype, const StepState &state)
{
    std::optional<std::size_t> gang;
    for (std::size_t index = 0; index < state.m_tasks.size(); ++index) {
        const auto &task = *state.m_tasks[index];
        if (!task.m_assignedWorker) {
            continue;
        }
        const auto worker = workers.find(*task.m_assignedWorker);
        if (!worker) {
            continue;
        }
        auto placed = prototype;
        placed.m_index = static_cast<int>(index);
        placed.m_state = &task;
        placed.m_stopping = task.m_phase == TaskPhase::Stopping;
        placed.m_worker = *worker;
        placed.m_evictionCost = evictionCostOf(*allocation.m_input, task, *prototype.m_step);
        if (prototype.m_step->m_gang) {
            if (!gang) {
                gang = allocation.m_gangs.size();
                allocation.m_gangs.emplace_back();
            }
            allocation.m_gangs[*gang].m_tasks.push_back(allocation.m_placedTasks.size());
            allocation.m_gangs[*gang].m_evictionCost += placed.m_evictionCost;
            placed.m_gang = gang;
        }
        subtractTaskNeeds(allocation.m_free[*worker], *prototype.m_step, 1);
        if (isUrgent(placed.m_rank)) {
            subtractTaskNeeds(allocation.m_reclaimable[*worker], *prototype.m_step, 1);
        }
        if (placed.m_stopping) {
            addTaskNeeds(allocation.m_releasing[*worker], *prototype.m_step, 1);
        }
        allocation.m_tasksByWorker[*worker].push_back(allocation.m_placedTasks.size());
        allocation.m_placedTasks.push_back(placed);
    }
}

static void assignRackIndices(FleetAllocation &allocation)
{
    std::map<std::string_view, std::size_t> racks;
    for (const auto &worker : allocation.m_input->m_workers) {
        racks.emplace(worker.m_report->m_rack, 0);
    }
    for (auto &[name, number] : racks) {
        number = allocation.m_rackCount++;
    }
    for (const auto &worker : allocation.m_input->m_workers) {
        allocation.m_rackByWorker.push_back(racks[worker.m_report->m_rack]);
    }
}

static void compareSpeeds(FleetAllocation &allocation)
{
    const auto &input = *allocation.m_input;
    std::optional<int> usableTier;
    for (const auto &worker : input.m_workers) {
        const auto tier = speedTier(worker.m_speed);
        allocation.m_speedTier.push_back(tier);
        if (worker.m_usable) {
            allocation.m_speedsDiffer = allocation.m_speedsDiffer || worker.m_cold || tier != usableTier.value_or(tier);
            usableTier = tier;
        }
    }
    allocation.m_holdsReserve.resize(input.m_workers.size(), true);
    if (!allocation.m_speedsDiffer) {
        return;
    }
    std::map<std::string_view, double> minimumByPool;
    for (std::size_t worker = 0; worker < input.m_workers.size(); ++worker) {
        const auto &pool = input.m_workers[worker].m_report->m_pool;
        const auto [entry, added] = minimumByPool.try_emplace(pool, 0.0);
        if (added) {
            entry->second = minimumUrgentSpeed(*input.m_configuration, pool);
        }
        allocation.m_holdsReserve[worker] = input.m_workers[worker].m_speed >= entry->second;
    }
}

PlaceSpeed placeSpeedOf(const FleetAllocation &allocation, std::size_t worker, double runTimeFactor, Duration wait)
{
    return PlaceSpeed{.m_speed = allocation.m_input->m_workers[worker].m_speed, .m_runTimeFactor = runTimeFactor, .m_wait = wait};
}

FleetAllocation makeFleetAllocation(const PlacementInput &input, const std::vector<UrgencyRank> &ranks)
{
    FleetAllocation allocation;
    allocation.m_input = &input;
    WorkerIndex workers(input.m_workers);
    for (const auto &worker : input.m_workers) {
        const auto &capacity = worker.m_report->m_capacity;
        allocation.m_free.push_back(
            ResourceAmounts{.m_milliCores = capacity.m_milliCores, .m_memoryMb = capacity.m_memoryMb, .m_accelerators = capacity.m_accelerators});
    }
    allocation.m_reclaimable = allocation.m_free;
    allocation.m_releasing.resize(allocation.m_free.size());
    allocation.m_tasksByWorker.resize(allocation.m_free.size());
    allocation.m_drained.resize(allocation.m_free.size(), false);
    assignRackIndices(allocation);
    compareSpeeds(allocation);
    for (std::size_t job = 0; job < input.m_jobs.size(); ++job) {
        const auto &spec = *input.m_jobs[job]->m_spec;
        for (const auto &occurrence : input.m_jobs[job]->m_occurrences) {
            for (std::size_t step = 0; step < spec.m_steps.size(); ++step) {
                const PlacedTask prototype{
                    .m_job = job,
                    .m_occurrence = occurrence->m_number,
                    .m_stepNumber = static_cast<int>(step),
                    .m_index = 0,
                    .m_state = nullptr,
                    .m_step = &spec.m_steps[step],
                    .m_rank = ranks[job],
                    .m_stopping = false,
                    .m_worker = 0,
                    .m_gang = std::nullopt,
                    .m_evictionCost = 0.0,
                };
                addPlacedTasks(allocation, workers, prototype, *occurrence->m_steps[step]);
            }
        }
    }
    allocation.m_evicted.resize(allocation.m_placedTasks.size(), false);
    return allocation;
}

TaskReference taskReferenceOf(const FleetAllocation &allocation, const PlacedTask &task)
{
    return TaskReference{
        .m_job = allocation.m_input->m_jobs[task.m_job]->m_spec->m_id, .m_occurrence = task.m_occurrence, .m_step = task.m_stepNumber, .m_index = task.m_index};
}

namespace {

// The working state of one placeTasks() call.
struct Search {
    const FleetAllocation &m_allocation;
    const Candidate &m_candidate;
    const JobStep &m_step;
    std::vector<ResourceAmounts> m_available; // By worker; what the search may still use.
    std::vector<bool> m_isVictim; // By index in FleetAllocation::m_placedTasks; empty if no task may be evicted.
    bool m_drainsWorkers; // See PlacementScope::m_drainWorkers.
    double m_runTimeFactor; // See PlacementScope::m_runTimeFactor.
    int m_tasksOnReserveLeft; // How many more tasks may be placed on workers that hold the urgent reserve.
    StepPlacement m_placement = {};
};

} // namespace

static bool belongsToCandidateStep(const Search &search, const PlacedTask &task)
{
    const auto &candidate = search.m_candidate;
    return task.m_job == candidate.m_job && task.m_occurrence == candidate.m_occurrence && task.m_stepNumber == candidate.m_step;
}

// Returns how many more tasks of the candidate's step the worker may take under the step's limit per worker, at most wanted. The
// result is negative if the worker already has more tasks than the limit.
static int remainingPerWorkerLimit(const Search &search, std::size_t worker, int wanted)
{
    if (search.m_step.m_maxPerWorker <= 0) {
        return wanted;
    }
    const auto &here = search.m_allocation.m_tasksByWorker[worker];
    const auto present
        = std::count_if(here.begin(), here.end(), [&](std::size_t task) { return belongsToCandidateStep(search, search.m_allocation.m_placedTasks[task]); });
    const auto chosen = std::count(search.m_placement.m_workers.begin(), search.m_placement.m_workers.end(), worker);
    return std::min(wanted, search.m_step.m_maxPerWorker - static_cast<int>(present + chosen));
}

// Returns how many tasks the worker may take under the limit for workers that hold the urgent reserve, at most wanted.
static int limitOnReserve(const Search &search, std::size_t worker, int wanted)
{
    return search.m_allocation.m_holdsReserve[worker] ? std::min(wanted, search.m_tasksOnReserveLeft) : wanted;
}

// Adds the worker to the placement once per task and subtracts the needs of the tasks from its available resources.
static void assignTasks(Search &search, std::size_t worker, int tasks)
{
    subtractTaskNeeds(search.m_available[worker], search.m_step, tasks);
    search.m_placement.m_workers.insert(search.m_placement.m_workers.end(), static_cast<std::size_t>(tasks), worker);
    search.m_tasksOnReserveLeft -= search.m_allocation.m_holdsReserve[worker] ? tasks : 0;
}

// Returns the accelerators that count as available on the worker when the packing order is chosen. For urgent work this includes
// accelerators held by less urgent tasks, which it may preempt. Small urgent tasks then share few workers, and the other workers can be
// cleared for urgent gangs that need whole workers.
static std::int64_t packingKeyAccelerators(const Search &search, std::size_t worker)
{
    const auto &available = isUrgent(search.m_candidate.m_rank) ? search.m_allocation.m_reclaimable[worker] : search.m_available[worker];
    return std::max<std::int64_t>(available.m_accelerators, 0);
}

namespace {

enum class PlaceClass {
    InTime, // The job meets its objective with a task there.
    InTimeIfWarm, // It would, but the worker is cold, so that urgent work prefers others.
    Late,
    Excluded, // Not to be used in this search.
};

// How the speed of a worker counts for the candidate; lower values come first.
struct SpeedPreference {
    PlaceClass m_class = PlaceClass::InTime;
    int m_tier = 0; // Slower tiers first if the place is in time, otherwise faster ones.

    auto operator<=>(const SpeedPreference &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

// Tasks that fit on a group of workers.
struct FittingTasks {
    int m_onReserve = 0; // On workers that hold the urgent reserve.
    int m_elsewhere = 0;
};

} // namespace

static bool isAvoidedAsCold(const Search &search, std::size_t worker)
{
    return isUrgent(search.m_candidate.m_rank) && search.m_allocation.m_input->m_workers[worker].m_cold;
}

static SpeedPreference speedPreferenceOf(const Search &search, std::size_t worker)
{
    const auto tier = search.m_allocation.m_speedTier[worker];
    if (!meetsObjective(search.m_candidate.m_finishDemand, placeSpeedOf(search.m_allocation, worker, search.m_runTimeFactor, Duration(0)))) {
        return SpeedPreference{.m_class = PlaceClass::Late, .m_tier = -tier};
    }
    return SpeedPreference{.m_class = isAvoidedAsCold(search, worker) ? PlaceClass::InTimeIfWarm : PlaceClass::InTime, .m_tier = tier};
}

// Returns the first preferences, in the order of the map, up to the one at which the wanted number of tasks fits. Returns nullopt if they do not fit.
static std::optional<SpeedPreference> lastPreferenceNeeded(const Search &search, const std::map<SpeedPreference, FittingTasks> &fitting, int wanted)
{
    FittingTasks sum;
    for (const auto &[preference, tasks] : fitting) {
        sum.m_onReserve += tasks.m_onReserve;
        sum.m_elsewhere += tasks.m_elsewhere;
        if (std::min(sum.m_onReserve, search.m_tasksOnReserveLeft) + sum.m_elsewhere >= wanted) {
            return preference;
        }
    }
    return std::nullopt;
}

// Changes the preferences, one for each of the workers, for a gang that does not fit on places in time alone. It ends with its slowest member, so it
// takes the fastest speeds that suffice, and among these slower places first: faster ones would not make it any earlier, and other work can use them.
static void preferForLateGang(const Search &search, const std::vector<std::size_t> &workers, int wanted, std::vector<SpeedPreference> &preferences)
{
    const auto &allocation = search.m_allocation;
    std::map<SpeedPreference, FittingTasks> fitting;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto worker = workers[index];
        if (fitsTask(search.m_available[worker], search.m_step)) {
            const int tasks = countFittingTasks(search.m_available[worker], search.m_step, remainingPerWorkerLimit(search, worker, wanted));
            auto &entry = fitting[preferences[index]];
            (allocation.m_holdsReserve[worker] ? entry.m_onReserve : entry.m_elsewhere) += std::max(tasks, 0);
        }
    }
    const auto last = lastPreferenceNeeded(search, fitting, wanted);
    if (!last || last->m_class != PlaceClass::Late) {
        return;
    }
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto worker = workers[index];
        auto &preference = preferences[index];
        const auto used = isAvoidedAsCold(search, worker) ? PlaceClass::InTimeIfWarm : PlaceClass::InTime;
        preference = SpeedPreference{.m_class = *last < preference ? PlaceClass::Excluded : used, .m_tier = allocation.m_speedTier[worker]};
    }
}

// Returns how the speed of each of the workers counts. All results are equal if speed has no effect.
static std::vector<SpeedPreference> speedPreferences(const Search &search, const std::vector<std::size_t> &workers, int wanted)
{
    std::vector<SpeedPreference> preferences(workers.size());
    if (!search.m_allocation.m_speedsDiffer) {
        return preferences;
    }
    std::transform(workers.begin(), workers.end(), preferences.begin(), [&](std::size_t worker) { return speedPreferenceOf(search, worker); });
    if (search.m_step.m_gang) {
        preferForLateGang(search, workers, wanted, preferences);
    }
    return preferences;
}

// Assigns tasks to available capacity. Places that are in time come first, slower ones before faster ones. Among equal ones best fit comes first: racks
// with the fewest available accelerators, and within a rack workers with the fewest, so that empty racks and workers stay free for large gangs and
// tasks. Drained workers come last. Returns the number of tasks left over.
static int packAvailableCapacity(Search &search, const std::vector<std::size_t> &workers, int wanted)
{
    const auto &rackByWorker = search.m_allocation.m_rackByWorker;
    std::vector<std::int64_t> acceleratorsByRack(search.m_allocation.m_rackCount, 0);
    for (const auto worker : workers) {
        acceleratorsByRack[rackByWorker[worker]] += packingKeyAccelerators(search, worker);
    }
    const auto preferences = speedPreferences(search, workers, wanted);
    std::vector<std::tuple<bool, SpeedPreference, std::int64_t, std::int64_t, std::size_t>> order;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        const auto worker = workers[index];
        if (preferences[index].m_class != PlaceClass::Excluded && fitsTask(search.m_available[worker], search.m_step)) {
            order.emplace_back(search.m_allocation.m_drained[worker],
                               preferences[index],
                               acceleratorsByRack[rackByWorker[worker]],
                               packingKeyAccelerators(search, worker),
                               worker);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[drained, preference, rackAccelerators, available, worker] : order) {
        if (wanted == 0) {
            break;
        }
        const int limit = remainingPerWorkerLimit(search, worker, limitOnReserve(search, worker, wanted));
        const int tasks = std::max(0, countFittingTasks(search.m_available[worker], search.m_step, limit));
        assignTasks(search, worker, tasks);
        wanted -= tasks;
    }
    return wanted;
}

static bool isProtected(const PlacedTask &task)
{
    return !isUrgent(task.m_rank) && task.m_state->m_runNumber > startsBeforeProtection;
}

static bool isEvictable(const Search &search, std::size_t task)
{
    const auto &placed = search.m_allocation.m_placedTasks[task];
    if (search.m_drainsWorkers) {
        return !placed.m_stopping && !search.m_allocation.m_evicted[task] && !search.m_isVictim[task] && !placed.m_step->m_longRunning;
    }
    if (isProtected(placed) && !search.m_candidate.m_overdue) {
        return false;
    }
    // Overdue work may preempt work of any rank. Otherwise small guaranteed tasks on most workers could block a guaranteed gang of whole
    // workers forever. Work that has started once is never overdue, so two jobs cannot preempt each other in turn.
    const bool mayBeStopped = mayPreempt(search.m_candidate.m_rank, placed.m_rank) || search.m_candidate.m_overdue;
    return mayBeStopped && !placed.m_stopping && !search.m_allocation.m_evicted[task] && !search.m_isVictim[task]
           && placed.m_state->m_phase == TaskPhase::Running && placed.m_step->m_maxUnavailable == 0;
}

// The tasks that must end so that one more task fits on one worker.
struct Eviction {
    std::vector<std::size_t> m_tasks;
    double m_evictionCost = std::numeric_limits<double>::infinity(); // As in StepPlacement; infinite if no such tasks exist.
};

// Returns the cost of stopping the task. For a member of a gang this is the cost of the gang, because all members end with it.
static double evictionCostWithGang(const FleetAllocation &allocation, std::size_t task)
{
    const auto &placed = allocation.m_placedTasks[task];
    return placed.m_gang ? allocation.m_gangs[*placed.m_gang].m_evictionCost : placed.m_evictionCost;
}

// Estimates the time until the task ends from its progress, or from its estimated run time if it has reported no progress.
static double estimatedSecondsUntilEnd(const FleetAllocation &allocation, const PlacedTask &task)
{
    const auto now = allocation.m_input->m_now;
    const auto remaining = estimatedRemainingTime(*task.m_state, *task.m_step, now);
    const auto elapsed = task.m_state->m_percent > 0 ? Duration(0) : now - task.m_state->m_phaseSince;
    return std::chrono::duration<double>(std::max(remaining - elapsed, Duration(0))).count();
}

// Returns the key by which victims on a worker are chosen, lowest first. The unit is seconds if workers are drained, otherwise
// core-seconds.
static double evictionSortKey(const Search &search, std::size_t task)
{
    const auto &placed = search.m_allocation.m_placedTasks[task];
    if (search.m_drainsWorkers) {
        return estimatedSecondsUntilEnd(search.m_allocation, placed);
    }
    // The weight of a rank exceeds any amount of lost work, so the least urgent tasks are stopped first.
    const auto protectionCost = isProtected(placed) ? protectedVictimCost : 0.0;
    return evictionCostWithGang(search.m_allocation, task) + protectionCost - 1e9 * static_cast<double>(placed.m_rank);
}

static Eviction cheapestEviction(const Search &search, std::size_t worker)
{
    if (remainingPerWorkerLimit(search, worker, 1) < 1) {
        return {};
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (const auto task : search.m_allocation.m_tasksByWorker[worker]) {
        if (isEvictable(search, task)) {
            order.emplace_back(evictionSortKey(search, task), task);
        }
    }
    std::sort(order.begin(), order.end());
    auto available = search.m_available[worker];
    Eviction eviction{.m_tasks = {}, .m_evictionCost = 0.0};
    for (const auto &[key, task] : order) {
        if (fitsTask(available, search.m_step)) {
            break;
        }
        addTaskNeeds(available, *search.m_allocation.m_placedTasks[task].m_step, 1);
        if (const auto gang = search.m_allocation.m_placedTasks[task].m_gang) {
            const auto &members = search.m_allocation.m_gangs[*gang].m_tasks;
            eviction.m_tasks.insert(eviction.m_tasks.end(), members.begin(), members.end());
        } else {
            eviction.m_tasks.push_back(task);
        }
        if (search.m_drainsWorkers) {
            eviction.m_evictionCost = std::max(eviction.m_evictionCost, estimatedSecondsUntilEnd(search.m_allocation, search.m_allocation.m_placedTasks[task]));
            continue;
        }
        eviction.m_evictionCost += evictionCostWithGang(search.m_allocation, task);
        eviction.m_evictionCost += search.m_allocation.m_placedTasks[task].m_rank == UrgencyRank::Guaranteed ? guaranteedVictimCost : 0.0;
        eviction.m_evictionCost += isProtected(search.m_allocation.m_placedTasks[task]) ? protectedVictimCost : 0.0;
    }
    return fitsTask(available, search.m_step) ? eviction : Eviction{};
}

static void addVictims(Search &search, const Eviction &eviction)
{
    for (const auto task : eviction.m_tasks) {
        if (search.m_isVictim[task] || search.m_allocation.m_placedTasks[task].m_stopping) {
            continue;
        }
        search.m_isVictim[task] = true;
        search.m_placement.m_victims.push_back(task);
    }
    search.m_placement.m_evictionCost += eviction.m_evictionCost;
    search.m_placement.m_mustWait = true;
}

// Assigns tasks to capacity that victims free, with the cheapest evictions first. Returns the number of tasks left over.
static int placeByEviction(Search &search, const std::vector<std::size_t> &workers, int wanted)
{
    // Evictions by position in workers. Each round recomputes only those of the workers that the previous round changed.
    std::vector<std::optional<Eviction>> evictions(workers.size());
    const auto forget = [&workers, &evictions](std::size_t worker) {
        if (const auto found = std::find(workers.begin(), workers.end(), worker); found != workers.end()) {
            evictions[static_cast<std::size_t>(found - workers.begin())].reset();
        }
    };
    while (wanted > 0) {
        const Eviction *best = nullptr;
        std::size_t bestWorker = 0;
        for (std::size_t position = 0; position < workers.size(); ++position) {
            const auto worker = workers[position];
            auto &eviction = evictions[position];
            if (!eviction) {
                eviction = cheapestEviction(search, worker);
            }
            if (eviction->m_evictionCost < (best ? best->m_evictionCost : std::numeric_limits<double>::infinity())) {
                best = &*eviction;
                bestWorker = worker;
            }
        }
        if (!best) {
            break;
        }
        const auto before = search.m_placement.m_victims.size();
        // The eviction has no tasks if ending the gang of an earlier victim has freed enough on this worker.
        addVictims(search, *best);
        for (auto victim = before; victim < search.m_placement.m_victims.size(); ++victim) {
            const auto &placed = search.m_allocation.m_placedTasks[search.m_placement.m_victims[victim]];
            addTaskNeeds(search.m_available[placed.m_worker], *placed.m_step, 1);
            forget(placed.m_worker);
        }
        const int tasks = std::max(1, countFittingTasks(search.m_available[bestWorker], search.m_step, remainingPerWorkerLimit(search, bestWorker, wanted)));
        assignTasks(search, bestWorker, tasks);
        forget(bestWorker);
        wanted -= tasks;
    }
    return wanted;
}

// Returns false if the free capacity cannot hold enough tasks of the step. The check is cheap but approximate: a search may still fail
// after it has returned true.
static bool mayFitWithoutEviction(const FleetAllocation &allocation, const JobStep &step, int wanted, const PlacementScope &scope)
{
    const int needed = scope.m_allowPartial ? 1 : wanted;
    const int perWorker = step.m_maxPerWorker > 0 ? std::min(wanted, step.m_maxPerWorker) : wanted;
    int fitting = 0;
    for (const auto worker : scope.m_workers) {
        fitting += fitsTask(allocation.m_free[worker], step) ? countFittingTasks(allocation.m_free[worker], step, perWorker) : 0;
        if (fitting >= needed) {
            return true;
        }
    }
    return false;
}

std::optional<StepPlacement> placeTasks(const FleetAllocation &allocation, const Candidate &candidate, int wanted, const PlacementScope &scope)
{
    const auto &step = allocation.m_input->m_jobs[candidate.m_job]->m_spec->m_steps[static_cast<std::size_t>(candidate.m_step)];
    if (!scope.m_useReleasing && !scope.m_mayEvict && !mayFitWithoutEviction(allocation, step, wanted, scope)) {
        return std::nullopt;
    }
    Search search{.m_allocation = allocation,
                  .m_candidate = candidate,
                  .m_step = step,
                  .m_available = allocation.m_free,
                  .m_isVictim = std::vector<bool>(scope.m_mayEvict ? allocation.m_placedTasks.size() : 0, false),
                  .m_drainsWorkers = scope.m_drainWorkers,
                  .m_runTimeFactor = scope.m_runTimeFactor,
                  .m_tasksOnReserveLeft = candidate.m_maxTasksOnReserve};
    int left = packAvailableCapacity(search, scope.m_workers, wanted);
    // Without capacity that is being released, a second attempt finds nothing more.
    const bool hasReleasing = scope.m_useReleasing && std::any_of(scope.m_workers.begin(), scope.m_workers.end(), [&allocation](std::size_t worker) {
                                  return isPositive(allocation.m_releasing[worker]);
                              });
    if (left > 0 && hasReleasing) {
        for (const auto worker : scope.m_workers) {
            auto &available = search.m_available[worker];
            available.m_milliCores += allocation.m_releasing[worker].m_milliCores;
            available.m_memoryMb += allocation.m_releasing[worker].m_memoryMb;
            available.m_accelerators += allocation.m_releasing[worker].m_accelerators;
        }
        const auto before = left;
        left = packAvailableCapacity(search, scope.m_workers, left);
        search.m_placement.m_mustWait = left < before;
    }
    if (left > 0 && scope.m_mayEvict) {
        left = placeByEviction(search, scope.m_workers, left);
    }
    if (search.m_placement.m_workers.empty() || (left > 0 && !scope.m_allowPartial)) {
        return std::nullopt;
    }
    return std::move(search.m_placement);
}

} // namespace PrimroseBridge
