#include "placementpass.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace PrimroseBridge {

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

CurrentUrgentDemand currentUrgentDemandOf(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies)
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

ReserveAllowance tasksAllowedByReserve(const Pass &pass, const Candidate &candidate, const std::vector<std::size_t> &workers)
{
    const auto wanted = static_cast<int>(candidate.m_waitingTasks.size());
    if (isUrgent(candidate.m_rank) || pass.m_urgentReserveAccelerators <= 0.0) {
        return ReserveAllowance{.m_tasks = wanted, .m_tasksOnReserve = std::numeric_limits<int>::max()};
    }
    const auto reserved = pass.m_urgentReserveAccelerators * reserveShareFor(candidate);
    double freeOnReserve = -reserved;
    double freeElsewhere = 0.0;
    for (const auto worker : workers) {
        (pass.m_allocation.m_holdsReserve[worker] ? freeOnReserve : freeElsewhere) += effectiveFreeAccelerators(pass, worker);
    }
    const auto &step = stepOf(pass, candidate);
    const auto each = std::max(static_cast<double>(step.m_taskResources.m_accelerators), 1.0);
    const auto tasksIn = [each, wanted](double accelerators) { return static_cast<int>(std::clamp(accelerators / each, 0.0, static_cast<double>(wanted))); };
    const int allowed = tasksIn(std::max(freeOnReserve, 0.0) + freeElsewhere);
    // Nothing is reserved against work that has aged. Rounded down beside the total, the limit could keep it waiting for ever.
    const bool isLimitedOnReserve = pass.m_allocation.m_speedsDiffer && reserved > 0.0;
    return ReserveAllowance{.m_tasks = step.m_gang && allowed < wanted ? 0 : allowed,
                            .m_tasksOnReserve = isLimitedOnReserve ? tasksIn(freeOnReserve) : std::numeric_limits<int>::max()};
}

AcceleratorBudget acceleratorBudgetOf(const Pass &pass, const CurrentUrgentDemand &urgent)
{
    double free = 0.0;
    double freeOnReserve = 0.0;
    double usableOnReserve = 0.0;
    for (std::size_t worker = 0; worker < pass.m_input.m_workers.size(); ++worker) {
        if (!pass.m_input.m_workers[worker].m_usable) {
            continue;
        }
        const auto available = effectiveFreeAccelerators(pass, worker);
        free += available;
        if (pass.m_allocation.m_holdsReserve[worker]) {
            freeOnReserve += available;
            usableOnReserve += static_cast<double>(pass.m_input.m_workers[worker].m_report->m_capacity.m_accelerators);
        }
    }
    const auto usable = usableAccelerators(pass.m_input);
    // The reserve is a share of the workers on which urgent work is in time. Other workers stay open to other work anyway.
    const auto share = freeOnReserve >= usableOnReserve / 2.0 ? maxReserveShareWhileIdle : maxReserveShare;
    const auto &peak = pass.m_input.m_urgentDemand;
    const auto reserved = std::clamp(
        std::max(peak.m_peakAccelerators - urgent.m_totalAccelerators, reserveLargestJobs * peak.m_largestJobAccelerators), 0.0, share * usableOnReserve);
    return AcceleratorBudget{.m_usableAccelerators = usable, .m_freeAccelerators = free, .m_reservedAccelerators = reserved, .m_currentUrgentDemand = urgent};
}

} // namespace PrimroseBridge
