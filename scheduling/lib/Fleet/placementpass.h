#pragma once

#include "candidates.h"
#include "fleetallocation.h"

#include "primrosebridge/Fleet/placement.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// A group of workers within which a step may be placed.
struct WorkerGroup {
    std::vector<std::size_t> m_workers;
    bool m_remote; ///< The group allows tasks outside the rack of their data, or a same-rack gang on several racks.
};

/// The last candidate of a step, in any occurrence, for which nothing was placed and nothing was stopped.
struct UnplacedCandidate {
    Duration m_age;
    bool m_overdue;
    WaitReason m_reason;
};

struct Pass {
    const PlacementInput &m_input;
    const std::vector<const QueuePolicy *> m_policies; ///< By index in PlacementInput::m_jobs.
    FleetAllocation m_allocation;
    // Usable workers by pool and required label; computed at the first use.
    std::map<std::pair<std::string_view, std::string_view>, std::vector<std::size_t>> m_workersByPoolAndLabel = {};
    // Workers that are not usable because their zones are drained, likewise.
    std::map<std::pair<std::string_view, std::string_view>, std::vector<std::size_t>> m_zoneDrainedByPoolAndLabel = {};
    std::vector<StartDecision> m_starts;
    std::vector<StopDecision> m_stops;
    std::vector<WaitingStep> m_waiting = {};
    std::map<std::pair<std::size_t, int>, UnplacedCandidate> m_unplaced = {}; ///< By job and step.
    std::size_t m_placements = 0; ///< Starts and reservations so far.
    int m_reservationCount = 0;
    const Candidate *m_drainedFor = nullptr; ///< The gang for which workers are drained, or null.
    double m_urgentReserveAccelerators = 0.0; ///< Accelerators that only urgent work may take.
};

/// Returns the step of the candidate.
const JobStep &stepOf(const Pass &pass, const Candidate &candidate);

/// Returns true if workers are drained for the candidate.
bool isDrainedFor(const Pass &pass, const Candidate &candidate);
/// Returns true if the candidate may not use drained workers.
bool mustAvoidDrainedWorkers(const Pass &pass, const Candidate &candidate);
/// Returns the usable workers of the pool that have the label that the step requires.
const std::vector<std::size_t> &usableWorkersWithLabel(Pass &pass, const std::string &pool, const JobStep &step);
/// Returns the workers that may run the step. With @p allowUnreliable, these include isolated workers and workers on which a run of the
/// step failed.
std::vector<std::size_t> eligibleWorkers(Pass &pass, const Candidate &candidate, bool allowUnreliable);
/// Returns true if the given number of tasks of the step would fit on the workers if nothing else ran there.
bool canFitOnEmptyWorkers(const Pass &pass, const std::vector<std::size_t> &workers, const JobStep &step, int tasks);
/// Returns true if the given number of tasks of the candidate's step would fit on empty workers of its pool only together with those that are not
/// usable because their zones are drained.
bool needsDrainedZones(Pass &pass, const Candidate &candidate, int tasks);
/// Returns the free share of the accelerators of the workers, from 0 to 1.
double freeAcceleratorShare(const Pass &pass, const std::vector<std::size_t> &workers);
/// Returns true if the step prefers a rack, that of its data or one for the whole gang.
bool isBoundToRacks(const JobStep &step);
/// Returns the groups of workers to try for the step. Remote placement is possible only in the last group.
std::vector<WorkerGroup> workerGroupsFor(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers);
/// The capacity that a placement may use.
enum class CapacityUse {
    Free,
    Releasing, ///< Also that of tasks that are being stopped.
    Eviction, ///< Also that of running tasks, which are stopped.
    Drain, ///< Also that of the runs that end soonest, which are waited for.
};

/// Returns the best placement of the candidate in any of the groups, if there is one.
std::optional<StepPlacement> bestPlacement(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups, CapacityUse use);

/// Returns the groups without the workers on which the candidate does not meet its objective, if a task starts there after the time that @p waitOn
/// returns for the worker. Groups without any worker left are left out.
std::vector<WorkerGroup>
groupsInTime(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups, const std::function<Duration(std::size_t)> &waitOn);
/// Returns true if the candidate meets its objective with the placement, which starts after @p wait.
bool isInTime(const Pass &pass, const Candidate &candidate, const StepPlacement &placement, Duration wait);
/// Returns a placement on faster workers that urgent work should wait for rather than start late with the placement @p free: the work is in time there
/// after the stops that it waits for, and these cost other work no more than the step itself needs. Returns nullopt if there is none.
std::optional<StepPlacement>
placementWorthWaitingFor(const Pass &pass, const Candidate &candidate, const std::vector<WorkerGroup> &groups, const StepPlacement &free);

/// Returns the time after which the tasks of the placement can start: the rest of the stops that it waits for, or the stop bound if it has victims.
Duration waitFor(const Pass &pass, const StepPlacement &placement);

/// Returns the urgent demand of the jobs of @p input, whose policies are @p policies.
CurrentUrgentDemand currentUrgentDemandOf(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies);
/// How many waiting tasks of a candidate may start without using the capacity that is reserved for urgent work.
struct ReserveAllowance {
    int m_tasks; ///< On all workers together.
    int m_tasksOnReserve; ///< On workers that hold the reserve; more than m_tasks if these are not counted separately.
};

/// Returns the allowance of the candidate on the workers.
ReserveAllowance tasksAllowedByReserve(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers);
/// Computes the totals at the start of the pass and from them the reserve for urgent work.
AcceleratorBudget acceleratorBudgetOf(const Pass &pass, const CurrentUrgentDemand &urgent);

} // namespace PrimroseBridge
