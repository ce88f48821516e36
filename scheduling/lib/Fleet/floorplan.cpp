#include "floorplan.h"

#include <algorithm>
#include <limits>
#include <map>
#include <string_view>
#include <tuple>

namespace PrimroseBridge {

constexpr double coresPerAccelerator = 8.0; // The users' price list counts an accelerator as eight cores.
// A checkpointing task loses what it did since its last checkpoint and the time to restore it.
constexpr double checkpointingLossShare = 0.2;

void addTo(Room &room, const JobStep &step, int tasks)
{
    room.m_milliCores += step.m_filler ? 0 : step.m_needs.m_milliCores * tasks;
    room.m_memoryMb += step.m_needs.m_memoryMb * tasks;
    room.m_accelerators += step.m_needs.m_accelerators * tasks;
}

void takeFrom(Room &room, const JobStep &step, int tasks)
{
    addTo(room, step, -tasks);
}

static void limitTo(int &tasks, std::int64_t room, std::int64_t need)
{
    if (need > 0) {
        tasks = static_cast<int>(std::min<std::int64_t>(tasks, std::max<std::int64_t>(room, 0) / need));
    }
}

int fittingTasks(const Room &room, const JobStep &step, int limit)
{
    int tasks = limit;
    limitTo(tasks, room.m_milliCores, step.m_filler ? 0 : step.m_needs.m_milliCores);
    limitTo(tasks, room.m_memoryMb, step.m_needs.m_memoryMb);
    limitTo(tasks, room.m_accelerators, step.m_needs.m_accelerators);
    return tasks;
}

static double lossOf(const PlacementInput &input, const TaskState &task, const JobStep &step)
{
    const auto cores = static_cast<double>(step.m_needs.m_milliCores) / 1000.0 + coresPerAccelerator * static_cast<double>(step.m_needs.m_accelerators);
    const auto seconds = std::chrono::duration<double>(input.m_now - task.m_phaseSince).count();
    return cores * std::max(seconds, 0.0) * (step.m_checkpointing ? checkpointingLossShare : 1.0);
}

// Adds the tasks of one step that are at a known worker.
static void addPlaced(FloorPlan &plan, const std::map<WorkerLife, std::size_t> &indices, const PlacedTask &pattern, const StepState &state)
{
    for (std::size_t index = 0; index < state.m_tasks.size(); ++index) {
        const auto &task = *state.m_tasks[index];
        if (!task.m_place) {
            continue;
        }
        const auto found = indices.find(*task.m_place);
        if (found == indices.end()) {
            continue;
        }
        const bool stopping = task.m_phase == TaskPhase::Stopping;
        const auto worker = found->second;
        takeFrom(plan.m_free[worker], *pattern.m_step, 1);
        if (stopping) {
            addTo(plan.m_soonFree[worker], *pattern.m_step, 1);
        }
        plan.m_tasksOn[worker].push_back(plan.m_placed.size());
        plan.m_placed.push_back(PlacedTask{
            .m_job = pattern.m_job,
            .m_task = TaskReference{.m_job = pattern.m_task.m_job,
                                    .m_occurrence = pattern.m_task.m_occurrence,
                                    .m_step = pattern.m_task.m_step,
                                    .m_index = static_cast<int>(index)},
            .m_state = &task,
            .m_step = pattern.m_step,
            .m_rank = pattern.m_rank,
            .m_stopping = stopping,
            .m_gang = pattern.m_gang,
            .m_loss = lossOf(*plan.m_input, task, *pattern.m_step),
        });
    }
}

FloorPlan makeFloorPlan(const PlacementInput &input, const std::vector<UrgencyRank> &ranks)
{
    FloorPlan plan;
    plan.m_input = &input;
    std::map<WorkerLife, std::size_t> indices;
    for (std::size_t worker = 0; worker < input.m_workers.size(); ++worker) {
        const auto &capacity = input.m_workers[worker].m_report->m_capacity;
        plan.m_free.push_back(Room{.m_milliCores = capacity.m_milliCores, .m_memoryMb = capacity.m_memoryMb, .m_accelerators = capacity.m_accelerators});
        indices[*input.m_workers[worker].m_life] = worker;
    }
    plan.m_soonFree.resize(plan.m_free.size());
    plan.m_tasksOn.resize(plan.m_free.size());
    for (std::size_t job = 0; job < input.m_jobs.size(); ++job) {
        const auto &spec = *input.m_jobs[job]->m_spec;
        for (const auto &occurrence : input.m_jobs[job]->m_occurrences) {
            for (std::size_t step = 0; step < spec.m_steps.size(); ++step) {
                const PlacedTask pattern{
                    .m_job = job,
                    .m_task = TaskReference{.m_job = spec.m_id, .m_occurrence = occurrence->m_number, .m_step = static_cast<int>(step), .m_index = 0},
                    .m_state = nullptr,
                    .m_step = &spec.m_steps[step],
                    .m_rank = ranks[job],
                    .m_stopping = false,
                    .m_gang = spec.m_steps[step].m_gang,
                    .m_loss = 0.0,
                };
                addPlaced(plan, indices, pattern, *occurrence->m_steps[step]);
            }
        }
    }
    plan.m_evicted.resize(plan.m_placed.size(), false);
    return plan;
}

// The state of one search: copies of what it changes.
struct Search {
    const FloorPlan &m_plan;
    const Candidate &m_candidate;
    const JobStep &m_step;
    std::map<std::size_t, Room> m_room; // Of the workers touched so far.
    std::vector<std::size_t> m_victims;
    std::vector<bool> m_isVictim;
    StepPlacement m_placement = {};
};

static bool sameStep(const PlacedTask &left, const TaskReference &right)
{
    return left.m_task.m_job == right.m_job && left.m_task.m_occurrence == right.m_occurrence && left.m_task.m_step == right.m_step;
}

// Tasks of the candidate's step that may still be added to the worker.
static int perWorkerLimit(const Search &search, std::size_t worker, int wanted)
{
    if (search.m_step.m_maxPerWorker <= 0) {
        return wanted;
    }
    const auto &input = *search.m_plan.m_input;
    const TaskReference step{.m_job = input.m_jobs[search.m_candidate.m_job]->m_spec->m_id,
                             .m_occurrence = search.m_candidate.m_occurrence,
                             .m_step = search.m_candidate.m_step,
                             .m_index = 0};
    const auto &here = search.m_plan.m_tasksOn[worker];
    const auto present = std::count_if(here.begin(), here.end(), [&](std::size_t task) { return sameStep(search.m_plan.m_placed[task], step); });
    const auto chosen = std::count(search.m_placement.m_workers.begin(), search.m_placement.m_workers.end(), worker);
    return std::min(wanted, search.m_step.m_maxPerWorker - static_cast<int>(present + chosen));
}

static Room &roomOn(Search &search, std::size_t worker)
{
    return search.m_room.try_emplace(worker, search.m_plan.m_free[worker]).first->second;
}

static void assign(Search &search, std::size_t worker, int tasks)
{
    takeFrom(roomOn(search, worker), search.m_step, tasks);
    search.m_placement.m_workers.insert(search.m_placement.m_workers.end(), static_cast<std::size_t>(tasks), worker);
}

// Fills the racks, and in them the workers, with the least room first, so that whole ones stay free for large gangs and tasks.
static int fillFree(Search &search, const std::vector<std::size_t> &workers, int wanted)
{
    const auto &fleet = search.m_plan.m_input->m_workers;
    std::map<std::string_view, std::int64_t> rackRoom;
    for (const auto worker : workers) {
        rackRoom[fleet[worker].m_report->m_rack] += std::max<std::int64_t>(roomOn(search, worker).m_accelerators, 0);
    }
    std::vector<std::tuple<std::int64_t, std::int64_t, std::size_t>> order;
    for (const auto worker : workers) {
        if (fittingTasks(roomOn(search, worker), search.m_step, 1) > 0) {
            order.emplace_back(rackRoom[fleet[worker].m_report->m_rack], roomOn(search, worker).m_accelerators, worker);
        }
    }
    std::sort(order.begin(), order.end());
    for (const auto &[rack, room, worker] : order) {
        if (wanted == 0) {
            break;
        }
        const int tasks = std::max(0, fittingTasks(roomOn(search, worker), search.m_step, perWorkerLimit(search, worker, wanted)));
        assign(search, worker, tasks);
        wanted -= tasks;
    }
    return wanted;
}

// Stopping one member of a gang ends all of them, wherever they are.
static std::vector<std::size_t> unitOf(const FloorPlan &plan, std::size_t task)
{
    const auto &placed = plan.m_placed[task];
    if (!placed.m_gang) {
        return {task};
    }
    std::vector<std::size_t> unit;
    for (std::size_t other = 0; other < plan.m_placed.size(); ++other) {
        const auto &candidate = plan.m_placed[other];
        if (candidate.m_job == placed.m_job && sameStep(candidate, placed.m_task)) {
            unit.push_back(other);
        }
    }
    return unit;
}

static double lossOfUnit(const FloorPlan &plan, const std::vector<std::size_t> &unit)
{
    double loss = 0.0;
    for (const auto task : unit) {
        loss += plan.m_placed[task].m_loss;
    }
    return loss;
}

static bool isEvictable(const Search &search, std::size_t task)
{
    const auto &placed = search.m_plan.m_placed[task];
    return !placed.m_stopping && !search.m_plan.m_evicted[task] && !search.m_isVictim[task] && placed.m_state->m_phase == TaskPhase::Running
           && placed.m_step->m_maxUnavailable == 0 && mayPreempt(search.m_candidate.m_rank, placed.m_rank);
}

// What has to be stopped on one worker so that one more task fits there.
struct Eviction {
    std::vector<std::size_t> m_tasks;
    double m_loss = std::numeric_limits<double>::infinity();
};

static Eviction cheapestEviction(Search &search, std::size_t worker)
{
    if (perWorkerLimit(search, worker, 1) < 1) {
        return {};
    }
    std::vector<std::pair<double, std::size_t>> order;
    for (const auto task : search.m_plan.m_tasksOn[worker]) {
        if (isEvictable(search, task)) {
            const auto rank = static_cast<double>(search.m_plan.m_placed[task].m_rank);
            // The least urgent work goes first, whatever it loses.
            order.emplace_back(lossOfUnit(search.m_plan, unitOf(search.m_plan, task)) - 1e9 * rank, task);
        }
    }
    std::sort(order.begin(), order.end());
    auto room = roomOn(search, worker);
    Eviction eviction{.m_tasks = {}, .m_loss = 0.0};
    for (const auto &[key, task] : order) {
        if (fittingTasks(room, search.m_step, 1) > 0) {
            break;
        }
        addTo(room, *search.m_plan.m_placed[task].m_step, 1);
        for (const auto member : unitOf(search.m_plan, task)) {
            eviction.m_tasks.push_back(member);
            eviction.m_loss += search.m_plan.m_placed[member].m_loss;
        }
    }
    return fittingTasks(room, search.m_step, 1) > 0 ? eviction : Eviction{};
}

static void evict(Search &search, const Eviction &eviction)
{
    for (const auto task : eviction.m_tasks) {
        if (search.m_isVictim[task] || search.m_plan.m_placed[task].m_stopping) {
            continue;
        }
        search.m_isVictim[task] = true;
        search.m_placement.m_victims.push_back(task);
    }
    search.m_placement.m_loss += eviction.m_loss;
    search.m_placement.m_mustWait = true;
}

static std::size_t workerOf(const FloorPlan &plan, std::size_t task)
{
    for (std::size_t worker = 0; worker < plan.m_tasksOn.size(); ++worker) {
        const auto &here = plan.m_tasksOn[worker];
        if (std::find(here.begin(), here.end(), task) != here.end()) {
            return worker;
        }
    }
    return plan.m_tasksOn.size();
}

static int makeRoom(Search &search, const std::vector<std::size_t> &workers, int wanted)
{
    while (wanted > 0) {
        Eviction best;
        std::size_t bestWorker = 0;
        for (const auto worker : workers) {
            auto eviction = cheapestEviction(search, worker);
            if (eviction.m_loss < best.m_loss) {
                best = std::move(eviction);
                bestWorker = worker;
            }
        }
        if (best.m_tasks.empty()) {
            break;
        }
        const auto before = search.m_placement.m_victims.size();
        evict(search, best);
        for (auto victim = before; victim < search.m_placement.m_victims.size(); ++victim) {
            const auto task = search.m_placement.m_victims[victim];
            addTo(roomOn(search, workerOf(search.m_plan, task)), *search.m_plan.m_placed[task].m_step, 1);
        }
        const int tasks = std::max(1, fittingTasks(roomOn(search, bestWorker), search.m_step, perWorkerLimit(search, bestWorker, wanted)));
        assign(search, bestWorker, tasks);
        wanted -= tasks;
    }
    return wanted;
}

std::optional<StepPlacement> placeTasks(const FloorPlan &plan, const Candidate &candidate, int wanted, const PlacementScope &scope)
{
    const auto &step = plan.m_input->m_jobs[candidate.m_job]->m_spec->m_steps[static_cast<std::size_t>(candidate.m_step)];
    Search search{.m_plan = plan,
                  .m_candidate = candidate,
                  .m_step = step,
                  .m_room = {},
                  .m_victims = {},
                  .m_isVictim = std::vector<bool>(scope.m_mayEvict ? plan.m_placed.size() : 0, false)};
    int left = fillFree(search, scope.m_workers, wanted);
    if (left > 0 && scope.m_useSoonFree) {
        for (const auto worker : scope.m_workers) {
            auto &room = roomOn(search, worker);
            room.m_milliCores += plan.m_soonFree[worker].m_milliCores;
            room.m_memoryMb += plan.m_soonFree[worker].m_memoryMb;
            room.m_accelerators += plan.m_soonFree[worker].m_accelerators;
        }
        const auto before = left;
        left = fillFree(search, scope.m_workers, left);
        search.m_placement.m_mustWait = left < before;
    }
    if (left > 0 && scope.m_mayEvict) {
        left = makeRoom(search, scope.m_workers, left);
    }
    if (search.m_placement.m_workers.empty() || (left > 0 && !scope.m_partial)) {
        return std::nullopt;
    }
    return std::move(search.m_placement);
}

} // namespace PrimroseBridge
