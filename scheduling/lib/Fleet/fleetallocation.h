#pragma once

#include "candidates.h"

#include "primrosebridge/Fleet/placement.h"

#include <optional>
#include <vector>

namespace PrimroseBridge {

/// Amounts that change while a pass plans.
struct ResourceAmounts {
    std::int64_t m_milliCores = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_accelerators = 0;
};

void addTaskNeeds(ResourceAmounts &room, const JobStep &step, int tasks);
void subtractTaskNeeds(ResourceAmounts &room, const JobStep &step, int tasks);
/// Tasks of the step that fit into the room, at most @p limit.
int countFittingTasks(const ResourceAmounts &room, const JobStep &step, int limit);

/// A task that takes up room on a worker.
struct PlacedTask {
    std::size_t m_job; ///< Index in PlacementInput::m_jobs.
    std::int64_t m_occurrence;
    int m_stepNumber;
    int m_index;
    const TaskState *m_state;
    const JobStep *m_step;
    UrgencyRank m_rank;
    bool m_stopping;
    std::size_t m_worker;
    std::optional<std::size_t> m_gang; ///< Index in FleetAllocation::m_gangs.
    double m_evictionCost; ///< Core-seconds of work that stopping it throws away; an accelerator counts as eight cores.
};

/// The placed members of a gang, which end together.
struct PlacedGang {
    std::vector<std::size_t> m_tasks; ///< Indices in FleetAllocation::m_placedTasks.
    double m_evictionCost = 0.0; ///< Of all of them.
};

/// The workers with what is free on them, updated as the pass takes decisions.
struct FleetAllocation {
    const PlacementInput *m_input = nullptr;
    std::vector<ResourceAmounts> m_free; ///< By worker; may be negative after a worker's capacity shrank.
    std::vector<ResourceAmounts> m_reclaimable; ///< By worker; what no urgent work holds, free or not.
    std::vector<ResourceAmounts> m_releasing; ///< Held by tasks that are being stopped.
    std::vector<std::vector<std::size_t>> m_tasksByWorker; ///< By worker; indices in m_placedTasks.
    std::vector<std::size_t> m_rackByWorker; ///< By worker; racks are numbered in the order of their names.
    std::size_t m_rackCount = 0;
    std::vector<PlacedTask> m_placedTasks;
    std::vector<PlacedGang> m_gangs;
    std::vector<bool> m_evicted; ///< By index in m_placedTasks: the pass stops this task.
    std::vector<bool> m_drained; ///< By worker: runs end there to make room for a gang, see PlacementScope::m_drainWorkers; only guaranteed work starts.
};

/// The plan before any decision of the pass.
FleetAllocation makeFleetAllocation(const PlacementInput &input, const std::vector<UrgencyRank> &ranks);

/// Where a step's tasks go.
struct StepPlacement {
    std::vector<std::size_t> m_workers; ///< One entry a task; indices of workers.
    std::vector<std::size_t> m_victims; ///< Indices in FleetAllocation::m_placedTasks.
    bool m_mustWait; ///< Some places are free only once tasks that are being stopped have ended.
    double m_evictionCost; ///< Of all victims; with PlacementScope::m_drainWorkers the seconds until they end, summed over workers.
};

/// What a placement may use.
struct PlacementScope {
    const std::vector<std::size_t> &m_workers;
    bool m_useReleasing;
    bool m_mayEvict;
    bool m_allowPartial; ///< Fewer tasks than wanted are acceptable.
    bool m_drainWorkers = false; ///< With m_mayEvict: the victims are runs to wait for, those that end soonest, and none is to be stopped.
};

/// The task in the words of orders and logs.
TaskReference taskReferenceOf(const FleetAllocation &plan, const PlacedTask &task);

/// Finds places for up to @p wanted tasks of the candidate's step. Empty if none was found.
std::optional<StepPlacement> placeTasks(const FleetAllocation &plan, const Candidate &candidate, int wanted, const PlacementScope &scope);

} // namespace PrimroseBridge
