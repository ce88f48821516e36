#pragma once

#include "candidates.h"

#include "primrosebridge/Fleet/placement.h"

#include <optional>
#include <vector>

namespace PrimroseBridge {

/// Amounts of each resource that a pass adds to and subtracts from. Amounts may be negative.
struct ResourceAmounts {
    std::int64_t m_milliCores = 0;
    std::int64_t m_memoryMb = 0;
    std::int64_t m_accelerators = 0;
};

/// Adds the resources that @p tasks tasks of the step need to @p amounts. The CPU of filler steps is not counted.
void addTaskNeeds(ResourceAmounts &amounts, const JobStep &step, int tasks);
/// Subtracts what addTaskNeeds() adds.
void subtractTaskNeeds(ResourceAmounts &amounts, const JobStep &step, int tasks);
/// Returns true if any of the amounts is positive.
bool isPositive(const ResourceAmounts &amounts);
/// Returns the number of tasks of the step that fit into @p amounts, at most @p limit.
int countFittingTasks(const ResourceAmounts &amounts, const JobStep &step, int limit);

/// A task that holds resources of a worker.
struct PlacedTask {
    std::size_t m_job; ///< Index in PlacementInput::m_jobs.
    std::int64_t m_occurrence;
    int m_stepNumber; ///< Index in JobSpec::m_steps.
    int m_index; ///< Index of the task in its step.
    const TaskState *m_state;
    const JobStep *m_step;
    UrgencyRank m_rank;
    bool m_stopping; ///< A stop order is under way.
    std::size_t m_worker; ///< Index in PlacementInput::m_workers.
    std::optional<std::size_t> m_gang; ///< Index in FleetAllocation::m_gangs.
    double m_evictionCost; ///< Core-seconds of work that are lost if the task is stopped; an accelerator counts as eight cores.
};

/// The placed members of a gang. Stopping one of them ends all of them.
struct PlacedGang {
    std::vector<std::size_t> m_tasks; ///< Indices in FleetAllocation::m_placedTasks.
    double m_evictionCost = 0.0; ///< Core-seconds, summed over the members.
};

/// The resources that tasks hold and leave free on each worker. The pass updates them with each decision.
struct FleetAllocation {
    const PlacementInput *m_input = nullptr;
    std::vector<ResourceAmounts> m_free; ///< By worker; negative if the capacity of a worker has shrunk below what its tasks hold.
    std::vector<ResourceAmounts> m_reclaimable; ///< By worker; capacity that is free or held by work that is not urgent.
    std::vector<ResourceAmounts> m_releasing; ///< By worker; resources held by tasks that are being stopped.
    std::vector<std::vector<std::size_t>> m_tasksByWorker; ///< Indices in m_placedTasks.
    std::vector<std::size_t> m_rackByWorker; ///< Rack numbers, in the order of the rack names.
    std::size_t m_rackCount = 0;
    std::vector<PlacedTask> m_placedTasks;
    std::vector<PlacedGang> m_gangs;
    std::vector<bool> m_evicted; ///< By index in m_placedTasks; true if this pass stops the task.
    std::vector<bool> m_drained; ///< By worker; true if it is drained for a gang, see PlacementScope::m_drainWorkers. Only guaranteed work starts there.
    bool m_speedsDiffer = false; ///< Usable workers are in different speed tiers, or one is cold. Otherwise speed has no effect on decisions.
    std::vector<int> m_speedTier; ///< By worker, see speedTier().
    std::vector<bool> m_holdsReserve; ///< By worker; true if new urgent work is in time there, so that the urgent reserve is held on it.
};

/// Returns the core-seconds of the given number of tasks of the step by its estimate; an accelerator counts as eight cores.
double estimatedCoreSeconds(const JobStep &step, int tasks);

/// Returns the allocation before any decision of the pass. Keeps a pointer to @p input.
FleetAllocation makeFleetAllocation(const PlacementInput &input, const std::vector<UrgencyRank> &ranks);

/// The workers chosen for tasks of a step, and the tasks that must end first.
struct StepPlacement {
    std::vector<std::size_t> m_workers; ///< One entry per task; indices in PlacementInput::m_workers.
    std::vector<std::size_t> m_victims; ///< Tasks that must end first; indices in FleetAllocation::m_placedTasks.
    bool m_mustWait; ///< Some of the resources become free only when victims or tasks that are already being stopped have ended.
    /// Lost core-seconds plus the penalties for protected and guaranteed victims. With PlacementScope::m_drainWorkers, the seconds until
    /// the victims end, summed over the assignments.
    double m_evictionCost;
};

/// The workers and the capacity that a search for a placement may use.
struct PlacementScope {
    const std::vector<std::size_t> &m_workers; ///< Indices in PlacementInput::m_workers.
    bool m_useReleasing; ///< Resources of tasks that are being stopped may be used.
    bool m_mayEvict; ///< Running tasks may be chosen as victims.
    bool m_allowPartial; ///< Fewer tasks than wanted may be placed.
    bool m_drainWorkers = false; ///< With m_mayEvict: the victims are the runs that finish soonest. They are not stopped but waited for.
    double m_runTimeFactor = 1.0; ///< Factor of the run time within the scope, see PlaceSpeed::m_runTimeFactor.
};

/// Returns the speed of the worker for the candidate's step. Thread-safe.
PlaceSpeed placeSpeedOf(const FleetAllocation &allocation, std::size_t worker, double runTimeFactor, Duration wait);

/// Returns the reference that orders and logs use for the task.
TaskReference taskReferenceOf(const FleetAllocation &allocation, const PlacedTask &task);

/// Finds workers for up to @p wanted tasks of the candidate's step. Returns nullopt if no task can be placed, and also if fewer than
/// @p wanted tasks can be placed and PlacementScope::m_allowPartial is false.
std::optional<StepPlacement> placeTasks(const FleetAllocation &allocation, const Candidate &candidate, int wanted, const PlacementScope &scope);

} // namespace PrimroseBridge
