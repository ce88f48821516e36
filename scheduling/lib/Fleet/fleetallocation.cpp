#include "fleetallocation.h"

#include "primrosebridge/Fleet/taskprogress.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace PrimroseBridge {

constexpr double coresPerAccelerator = 8.0; // The users' price list counts an accelerator as eight cores.
// A stop saves a checkpoint, so that a checkpointing task loses the time to restore it, 0.1 to 0.6 s on the users' deployments, and what
// it does until the stop.
constexpr double longestCheckpointingLossSeconds = 1.0;
// Added for each guaranteed victim, so that any number of others is stopped first; more than any loss below.
constexpr double guaranteedVictimLoss = 1e14;
// A task that has been started more often is stopped only for guaranteed work, and only if nothing else will do, so that it is not
// stopped again and again. Each of these runs may have thrown away a whole run time.
constexpr std::int64_t startsBeforeProtection = 4;
// Added for each victim that has been started more often; more than the loss of a whole fleet and the difference between two ranks.
constexpr double protectedVictimLoss = 1e10;

void addTaskNeeds(ResourceAmounts &room, const JobStep &step, int tasks)
{
    room.m_milliCores += step.m_filler ? 0 : step.m_taskResources.m_milliCores * tasks;
    room.m_memoryMb += step.m_taskResources.m_memoryMb * tasks;
    room.m_accelerators += step.m_taskResources.m_accelerators * tasks;
}

void subtractTaskNeeds(ResourceAmounts &room, const JobStep &step, int tasks)
{
    addTaskNeeds(room, step, -tasks);
}

static void limitTo(int &tasks, std::int64_t room, std::int64_t need)
{
    if (need > 0) {
        tasks = static_cast<int>(std::min<std::int64_t>(tasks, std::max<std::int64_t>(room, 0) / need));
    }
}

int countFittingTasks(const ResourceAmounts &room, const JobStep &step, int limit)
{
    int tasks = limit;
    limitTo(tasks, room.m_milliCores, step.m_filler ? 0 : step.m_taskResources.m_milliCores);
    limitTo(tasks, room.m_memoryMb, step.m_taskResources.m_memoryMb);
    limitTo(tasks, room.m_accelerators, step.m_taskResources.m_accelerators);
    return tasks;
}

static double lossOf(const PlacementInput &input, const TaskState &task, const JobStep &step)
{
    const auto cores
        = static_cast<double>(step.m_taskResources.m_milliCores) / 1000.0 + coresPerAccelerator * static_cast<double>(step.m_taskResources.m_accelerators);
    const auto seconds = std::max(std::chrono::duration<double>(input.m_now - task.m_phaseSince).count(), 0.0);
    return cores * (step.m_checkpointing ? std::min(seconds, longestCheckpointingLossSeconds) : seconds);
}

namespace {

// Finds a worker's index by its life. Lives are shared by the tasks that run there, so that nearly all are found by their address.
class WorkerIndex
{
public:
    explicit WorkerIndex(const std::vector<PlacementWorker> &workers)
        : m_workers(workers)
    {
        m_byAddress.reserve(workers.size());
        for (std::size_t worker = 0; worker < workers.size(); ++worker) {
            m_byAddress.emplace(workers[worker].m_life.get(), worker);
        }
    }

    [[nodiscard]] std::optional<std::size_t> find(const WorkerIncarnation &life)
    {
        if (const auto found = m_byAddress.find(&life); found != m_byAddress.end()) {
            return found->second;
        }
        if (m_byName.empty()) {
            for (std::size_t worker = 0; worker < m_workers.size(); ++worker) {
                m_byName.emplace(m_workers[worker].m_life->m_worker, worker);
            }
        }
        const auto found = m_byName.find(life.m_worker);
        return found != m_byName.end() && *m_workers[found->second].m_life == life ? std::optional(found->second) : std::nullopt;
    }

private:
    const std::vector<PlacementWorker> &m_workers;
    std::unordered_map<const WorkerIncarnation *, std::size_t> m_byAddress;
    std::unordered_map<std::string_view, std::size_t> m_byName;
};

} // namespace

// Adds the tasks of one step that are at a known worker.
static void addPlaced(FleetAllocation &plan, WorkerIndex &workers, const PlacedTask &pattern, const StepState &state)
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
        auto placed = pattern;
        placed.m_index = static_cast<int>(index);
        placed.m_state = &task;
        placed.m_stopping = task.m_phase == TaskPhase::Stopping;
        placed.m_worker = *worker;
        placed.m_evictionCost = lossOf(*plan.m_input, task, *pattern.m_step);
        if (pattern.m_step->m_gang) {
            if (!gang) {
                gang = plan.m_gangs.size();
                plan.m_gangs.emplace_back();
            }
            plan.m_gangs[*gang].m_tasks.push_back(plan.m_placedTasks.size());
            plan.m_gangs[*gang].m_evictionCost += placed.m_evictionCost;
            placed.m_gang = gang;
        }
        subtractTaskNeeds(plan.m_free[*worker], *pattern.m_step, 1);
        if (isUrgent(placed.m_rank)) {
            subtractTaskNeeds(plan.m_reclaimable[*worker], *pattern.m_step, 1);
        }
        if (placed.m_stopping) {
            addTaskNeeds(plan.m_releasing[*worker], *pattern.m_step, 1);
        }
        plan.m_tasksByWorker[*worker].push_back(plan.m_placedTasks.size());
        plan.m_placedTasks.push_back(placed);
    }
}

static void numberRacks(FleetAllocation &plan)
{
    std::map<std::string_view, std::size_t> racks;
    for (const auto &worker : plan.m_input->m_workers) {
        racks.emplace(worker.m_report->m_rack, 0);
    }
    for (auto &[name, number] : racks) {
        number = plan.m_rackCount++;
    }
    for (const auto &worker : plan.m_input->m_workers) {
        plan.m_rackByWorker.push_back(racks[worker.m_report->m_rack]);
    }
}

FleetAllocation makeFleetAllocation(const PlacementInput &input, const std::vector<UrgencyRank> &ranks)
{
    FleetAllocation plan;
    plan.m_input = &input;
    WorkerIndex workers(input.m_workers);
    for (const auto &worker : input.m_workers) {
        const auto &capacity = worker.m_report->m_capacity;
        plan.m_free.push_back(ResourceAmounts{.m_milliCores = capacity.m_milliCores, .m_memoryMb = capacity.m_memoryMb, .m_accelerators = capacity.m_accelerators});
    }
    plan.m_reclaimable = plan.m_free;
    plan.m_releasing.resize(plan.m_free.size());
    plan.m_tasksByWorker.resize(plan.m_free.size());
    plan.m_drained.resize(plan.m_free.size(), false);
    numberRacks(plan);
    for (std::size_t job = 0; job < input.m_jobs.size(); ++job) {
        const auto &spec = *input.m_jobs[job]->m_spec;
        for (const auto &occurrence : input.m_jobs[job]->m_occurrences) {
            for (std::size_t step = 0; step < spec.m_steps.size(); ++step) {
                const PlacedTask pattern{
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
                addPlaced(plan, workers, pattern, *occurrence->m_steps[step]);
            }
        }
    }
    plan.m_evicted.resize(plan.m_placedTasks.size(), false);
    return plan;
}

TaskReference taskReferenceOf(const FleetAllocation &plan, const PlacedTask &task)
{
    return TaskReference{
        .m_job = plan.m_input->m_jobs[task.m_job]->m_spec->m_id, .m_occurrence = task.m_occurrence, .m_step = task.m_stepNumber, .m_index = task.m_index};
}

namespace {

// The state of one search: copies of what it changes.
struct Search {
    const FleetAllocation &m_allocation;
    const Candidate &m_candidate;
    const JobStep &m_step;
    std::vector<ResourceAmounts> m_room; // By worker.
    std::vector<bool> m_isVictim; // By placed task; empty if nothing may be evicted.
    bool m_drains; // See PlacementScope::m_drainWorkers.
    StepPlacement m_placement = {};
};

} // namespace

static bool isOfCandidate(const Search &search, const PlacedTask &task)
{
    const auto &candidate = search.m_candidate;
    return task.m_job == candidate.m_job && task.m_occurrence == candidate.m_occurrence && task.m_stepNumber == candidate.m_step;
}

// Tasks of the candidate's step that may still be added to the worker.
static int perWorkerLimit(const Search &search, std::size_t worker, int wanted)
{
    if (search.m_step.m_maxPerWorker <= 0) {
        return wanted;
    }
    const auto &here = search.m_allocation.m_tasksByWorker[worker];
    const auto present = std::count_if(here.begin(), here.end(), [&](std::size_t task) { return isOfCandidate(search, search.m_allocation.m_placedTasks[task]); });
    const auto chosen = std::count(search.m_placement.m_workers.begin(), search.m_placement.m_workers.end(), worker);
    return std::min(wanted, search.m_step.m_maxPerWorker - static_cast<int>(present + chosen));
}

static void assign(Search &search, std::size_t worker, int tasks)
{
    subtractTaskNeeds(search.m_room[worker], search.m_step, tasks);
    search.m_placement.m_workers.insert(search.m_placement.m_workers.end(), static_cast<std::size_t>(tasks), worker);
}

// What counts as room when workers are compared. Urgent work counts what less urgent work holds as room, because that can be
// stopped: small urgent tasks then share few workers, and the others can be cleared for urgent gangs of whole workers.
static std::int64_t comparedRoom(const Search &search, std::size_t worker)
{
    const auto &room = isUrgent(search.m_candidate.m_rank) ? search.m_allocation.m_reclaimable[worker] : search.m_room[worker];
    return std::max<std::int64_t>(room.m_accelerators, 0);
}

// Fills the racks, and in them the workers, with the least room first, so that whole ones stay free for large gangs and tasks.
static int fillFree(Search &search, const std::vector<std::size_t> &workers, int wanted)
{
    const auto &rackOf = search.m_allocation.m_rackByWorker;
    std::vector<std::int64_t> rackRoom(search.m_allocation.m_rackCount, 0);
    for (const auto worker : workers) {
        rackRoom[rackOf[worker]] += comparedRoom(search, worker);
    }
    std::vector<std::tuple<bool, std::int64_t, std::int64_t, std::size_t>> order;
    for (const auto worker : workers) {
        if (countFittingTasks(search.m_room[worker], search.m_step, 1) > 0) {
            order.emplace_back(search.m_allocation.m_drained[worker], rackRoom[rackOf[worker]], comparedRoom(search, worker), worker);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[drained, rack, room, worker] : order) {
        if (wanted == 0) {
            break;
        }
        const int tasks = std::max(0, countFittingTasks(search.m_room[worker], search.m_step, perWorkerLimit(search, worker, wanted)));
        assign(search, worker, tasks);
        wanted -= tasks;
    }
    return wanted;
}

static bool isProtected(const PlacedTask &task)
{
    return !isUrgent(task.m_rank) && task.m_state->m_run > startsBeforeProtection;
}

static bool isEvictable(const Search &search, std::size_t task)
{
    const auto &placed = search.m_allocation.m_placedTasks[task];
    if (search.m_drains) {
        return !placed.m_stopping && !search.m_allocation.m_evicted[task] && !search.m_isVictim[task] && !placed.m_step->m_longRunning;
    }
    if (isProtected(placed) && !search.m_candidate.m_overdue) {
        return false;
    }
    // Small guaranteed tasks on most workers would otherwise keep a guaranteed gang of whole workers from ever beginning. Work that
    // has begun once is never overdue, so the two cannot stop each other in turn.
    const bool yields = mayPreempt(search.m_candidate.m_rank, placed.m_rank) || search.m_candidate.m_overdue;
    return yields && !placed.m_stopping && !search.m_allocation.m_evicted[task] && !search.m_isVictim[task] && placed.m_state->m_phase == TaskPhase::Running
           && placed.m_step->m_maxUnavailable == 0;
}

// What has to be stopped on one worker so that one more task fits there.
struct Eviction {
    std::vector<std::size_t> m_tasks;
    double m_evictionCost = std::numeric_limits<double>::infinity();
};

// Stopping one member of a gang ends all of them, wherever they are.
static double lossWith(const FleetAllocation &plan, std::size_t task)
{
    const auto &placed = plan.m_placedTasks[task];
    return placed.m_gang ? plan.m_gangs[*placed.m_gang].m_evictionCost : placed.m_evictionCost;
}

// By its progress, or by its estimate while it has reported none.
static double secondsUntilEnd(const FleetAllocation &plan, const PlacedTask &task)
{
    const auto now = plan.m_input->m_now;
    const auto remaining = estimatedRemainingTime(*task.m_state, *task.m_step, now);
    const auto elapsed = task.m_state->m_percent > 0 ? Duration(0) : now - task.m_state->m_phaseSince;
    return std::chrono::duration<double>(std::max(remaining - elapsed, Duration(0))).count();
}

// Runs of a worker with a lower value are chosen first.
static double evictionOrder(const Search &search, std::size_t task)
{
    const auto &placed = search.m_allocation.m_placedTasks[task];
    if (search.m_drains) {
        return secondsUntilEnd(search.m_allocation, placed);
    }
    // The least urgent work goes first, whatever it loses.
    const auto protection = isProtected(placed) ? protectedVictimLoss : 0.0;
    return lossWith(search.m_allocation, task) + protection - 1e9 * static_cast<double>(placed.m_rank);
}

static Eviction cheapestEviction(const Search &search, std::size_t worker)
{
    if (perWorkerLimit(search, worker, 1) < 1) {
        return {};
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (const auto task : search.m_allocation.m_tasksByWorker[worker]) {
        if (isEvictable(search, task)) {
            order.emplace_back(evictionOrder(search, task), task);
        }
    }
    std::sort(order.begin(), order.end());
    auto room = search.m_room[worker];
    Eviction eviction{.m_tasks = {}, .m_evictionCost = 0.0};
    for (const auto &[key, task] : order) {
        if (countFittingTasks(room, search.m_step, 1) > 0) {
            break;
        }
        addTaskNeeds(room, *search.m_allocation.m_placedTasks[task].m_step, 1);
        if (const auto gang = search.m_allocation.m_placedTasks[task].m_gang) {
            const auto &members = search.m_allocation.m_gangs[*gang].m_tasks;
            eviction.m_tasks.insert(eviction.m_tasks.end(), members.begin(), members.end());
        } else {
            eviction.m_tasks.push_back(task);
        }
        if (search.m_drains) {
            eviction.m_evictionCost = std::max(eviction.m_evictionCost, secondsUntilEnd(search.m_allocation, search.m_allocation.m_placedTasks[task]));
            continue;
        }
        eviction.m_evictionCost += lossWith(search.m_allocation, task);
        eviction.m_evictionCost += search.m_allocation.m_placedTasks[task].m_rank == UrgencyRank::Guaranteed ? guaranteedVictimLoss : 0.0;
        eviction.m_evictionCost += isProtected(search.m_allocation.m_placedTasks[task]) ? protectedVictimLoss : 0.0;
    }
    return countFittingTasks(room, search.m_step, 1) > 0 ? eviction : Eviction{};
}

static void evict(Search &search, const Eviction &eviction)
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

static int makeRoom(Search &search, const std::vector<std::size_t> &workers, int wanted)
{
    // Only the workers that a round changes are looked at again in the next one.
    std::vector<std::optional<Eviction>> known(search.m_room.size());
    while (wanted > 0) {
        const Eviction *best = nullptr;
        std::size_t bestWorker = 0;
        for (const auto worker : workers) {
            auto &eviction = known[worker];
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
        // Without tasks if earlier victims were members of a gang that also ends here.
        evict(search, *best);
        for (auto victim = before; victim < search.m_placement.m_victims.size(); ++victim) {
            const auto &placed = search.m_allocation.m_placedTasks[search.m_placement.m_victims[victim]];
            addTaskNeeds(search.m_room[placed.m_worker], *placed.m_step, 1);
            known[placed.m_worker].reset();
        }
        const int tasks = std::max(1, countFittingTasks(search.m_room[bestWorker], search.m_step, perWorkerLimit(search, bestWorker, wanted)));
        assign(search, bestWorker, tasks);
        known[bestWorker].reset();
        wanted -= tasks;
    }
    return wanted;
}

// True if the free room alone may hold enough of the step; an upper bound that costs little.
static bool mayFit(const FleetAllocation &plan, const JobStep &step, int wanted, const PlacementScope &scope)
{
    const int needed = scope.m_allowPartial ? 1 : wanted;
    const int perWorker = step.m_maxPerWorker > 0 ? std::min(wanted, step.m_maxPerWorker) : wanted;
    int places = 0;
    for (const auto worker : scope.m_workers) {
        places += std::max(0, countFittingTasks(plan.m_free[worker], step, perWorker));
        if (places >= needed) {
            return true;
        }
    }
    return false;
}

std::optional<StepPlacement> placeTasks(const FleetAllocation &plan, const Candidate &candidate, int wanted, const PlacementScope &scope)
{
    const auto &step = plan.m_input->m_jobs[candidate.m_job]->m_spec->m_steps[static_cast<std::size_t>(candidate.m_step)];
    if (!scope.m_useReleasing && !scope.m_mayEvict && !mayFit(plan, step, wanted, scope)) {
        return std::nullopt;
    }
    Search search{.m_allocation = plan,
                  .m_candidate = candidate,
                  .m_step = step,
                  .m_room = plan.m_free,
                  .m_isVictim = std::vector<bool>(scope.m_mayEvict ? plan.m_placedTasks.size() : 0, false),
                  .m_drains = scope.m_drainWorkers};
    int left = fillFree(search, scope.m_workers, wanted);
    if (left > 0 && scope.m_useReleasing) {
        for (const auto worker : scope.m_workers) {
            auto &room = search.m_room[worker];
            room.m_milliCores += plan.m_releasing[worker].m_milliCores;
            room.m_memoryMb += plan.m_releasing[worker].m_memoryMb;
            room.m_accelerators += plan.m_releasing[worker].m_accelerators;
        }
        const auto before = left;
        left = fillFree(search, scope.m_workers, left);
        search.m_placement.m_mustWait = left < before;
    }
    if (left > 0 && scope.m_mayEvict) {
        left = makeRoom(search, scope.m_workers, left);
    }
    if (search.m_placement.m_workers.empty() || (left > 0 && !scope.m_allowPartial)) {
        return std::nullopt;
    }
    return std::move(search.m_placement);
}

} // namespace PrimroseBridge
