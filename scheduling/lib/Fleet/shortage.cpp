#include "shortage.h"

#include "primrosebridge/Fleet/taskprogress.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <numbers>
#include <set>
#include <string_view>

namespace PrimroseBridge {

// Half-life of the recent use of organisations: several run times of urgent work, so that a burst of 4 to 6 s still counts when its work ends.
constexpr double useHalfLifeSeconds = 10.0;
// Steps of a rank that are chosen from, in the order of acceptance. The others follow unchanged. The limit bounds the cost of a pass.
constexpr std::size_t maxChosenFrom = 1000;
// Releases of running tasks are summed over this many intervals up to the last deadline, which bounds the cost for each step.
constexpr std::size_t releaseIntervals = 32;
// Jobs above this quantile of the work in their queue are large. They keep at least largeJobMinShare of the queue's share of jobs in time.
constexpr double largeJobQuantile = 0.9;
constexpr double largeJobMinShare = 0.5;

static double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

OrganisationUse updatedOrganisationUse(const PlacementInput &input)
{
    const auto &previous = input.m_organisationUse;
    const auto decay = std::exp2(-std::max(secondsOf(input.m_now - previous.m_updatedAt), 0.0) / useHalfLifeSeconds);
    std::map<std::string, double> use;
    for (const auto &[organisation, seconds] : previous.m_acceleratorSeconds) {
        if (seconds * decay >= 0.01) {
            use.emplace(organisation, seconds * decay);
        }
    }
    // The integral of a constant use of one accelerator since the last update, decayed to now.
    const auto secondsPerAccelerator = (1.0 - decay) * useHalfLifeSeconds / std::numbers::ln2;
    for (const auto &job : input.m_jobs) {
        double held = 0.0;
        for (const auto &occurrence : job->m_occurrences) {
            for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
                const auto &tasks = occurrence->m_steps[step]->m_tasks;
                const auto running = std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return task->m_assignedWorker != nullptr; });
                held += static_cast<double>(running * job->m_spec->m_steps[step].m_taskResources.m_accelerators);
            }
        }
        if (held > 0.0) {
            use[job->m_spec->m_organisation] += held * secondsPerAccelerator;
        }
    }
    return OrganisationUse{.m_acceleratorSeconds = std::move(use), .m_updatedAt = input.m_now};
}

// Returns the largest share of the total that the amounts take of any resource.
static double largestShare(const ResourceAmounts &amounts, const ResourceAmounts &total)
{
    const auto share = [](std::int64_t part, std::int64_t all) { return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0.0; };
    return std::max(
        {share(amounts.m_milliCores, total.m_milliCores), share(amounts.m_memoryMb, total.m_memoryMb), share(amounts.m_accelerators, total.m_accelerators)});
}

static bool isUsableIn(std::string_view pool, const PlacementWorker &worker)
{
    return worker.m_usable && worker.m_report->m_pool == pool;
}

namespace {

// The accelerators that tasks take. Tasks that need much CPU or memory count as taking the accelerators that cannot be used beside them, as
// in AcceleratorBudget::m_freeAccelerators.
class AcceleratorNeeds
{
public:
    AcceleratorNeeds(const PlacementInput &input, std::string_view pool)
    {
        for (const auto &worker : input.m_workers) {
            if (isUsableIn(pool, worker)) {
                const auto &capacity = worker.m_report->m_capacity;
                m_capacity.m_milliCores += capacity.m_milliCores;
                m_capacity.m_memoryMb += capacity.m_memoryMb;
                m_capacity.m_accelerators += capacity.m_accelerators;
            }
        }
    }

    [[nodiscard]] double ofTasks(const JobStep &step, int tasks) const
    {
        ResourceAmounts amounts;
        addTaskNeeds(amounts, step, tasks);
        return largestShare(amounts, m_capacity) * static_cast<double>(m_capacity.m_accelerators);
    }

private:
    ResourceAmounts m_capacity; // Of all usable workers of the pool.
};

// A step to choose from.
struct Choice {
    std::size_t m_candidate; // Index in the candidates of the pass.
    std::string_view m_queue;
    std::string_view m_organisation;
    double m_work; // Accelerator-seconds of the waiting tasks.
    double m_runSeconds; // Estimated run time of a task.
    double m_deadlineSeconds; // Time until the end of a run that starts at the latest start.
    double m_density; // Value to the caller per accelerator-second.
    bool m_large;
    bool m_mayBePutOff;
    bool m_putOff;
};

// The work of the active jobs of a queue.
struct QueueWork {
    std::vector<double> m_jobs;
    double m_mean;
    double m_largeFrom; // Jobs with more work than this are large.
};

// How many steps of a queue have been taken so far, and how many are not put off.
struct QueueCounts {
    int m_taken = 0;
    int m_kept = 0;
    int m_largeTaken = 0;
    int m_largeKept = 0;
};

// The workers of one pool, for which only the work of its queues competes.
struct Pool {
    std::string_view m_name;
    AcceleratorNeeds m_needs;
    double m_freeOnReserve; // Accelerators of workers that hold the urgent reserve, as in AcceleratorBudget::m_freeAccelerators.
    double m_freeElsewhere; // The same of the other workers.
    double m_reclaimable; // Accelerators that are free or held by work that is not urgent.
    double m_neededByHigherRanks = 0.0;
};

// Accelerators that become available to a rank.
struct RankCapacity {
    double m_now;
    double m_intervalSeconds;
    std::array<double, releaseIntervals> m_released; // During each interval from now on.
};

} // namespace

static const JobSpec &specOf(const ShortageContext &context, std::size_t job)
{
    return *context.m_allocation.m_input->m_jobs[job]->m_spec;
}

static const JobStep &stepOf(const ShortageContext &context, const Candidate &candidate)
{
    return specOf(context, candidate.m_job).m_steps[static_cast<std::size_t>(candidate.m_step)];
}

static double needOf(const ShortageContext &context, const AcceleratorNeeds &needs, const Candidate &candidate)
{
    return needs.ofTasks(stepOf(context, candidate), static_cast<int>(candidate.m_waitingTasks.size()));
}

static double workOfJob(const AcceleratorNeeds &needs, const JobSpec &spec)
{
    double work = 0.0;
    for (const auto &step : spec.m_steps) {
        work += needs.ofTasks(step, step.m_taskCount) * secondsOf(step.m_estimate);
    }
    return work;
}

// Returns the accelerators of the usable workers of the pool that hold the urgent reserve, or of those that do not, reduced on each to the share of its
// scarcest resource that is in @p amounts.
static double usableAmounts(const FleetAllocation &allocation, std::string_view pool, bool holdsReserve, const std::vector<ResourceAmounts> &amounts)
{
    const auto &input = *allocation.m_input;
    double sum = 0.0;
    for (std::size_t worker = 0; worker < input.m_workers.size(); ++worker) {
        if (!isUsableIn(pool, input.m_workers[worker]) || allocation.m_holdsReserve[worker] != holdsReserve) {
            continue;
        }
        const auto &capacity = input.m_workers[worker].m_report->m_capacity;
        const ResourceAmounts total{.m_milliCores = capacity.m_milliCores, .m_memoryMb = capacity.m_memoryMb, .m_accelerators = capacity.m_accelerators};
        const auto &free = amounts[worker];
        const ResourceAmounts used{.m_milliCores = total.m_milliCores - free.m_milliCores,
                                   .m_memoryMb = total.m_memoryMb - free.m_memoryMb,
                                   .m_accelerators = total.m_accelerators - free.m_accelerators};
        sum += std::clamp(1.0 - largestShare(used, total), 0.0, 1.0) * static_cast<double>(capacity.m_accelerators);
    }
    return sum;
}

// Returns the capacity of a rank up to the horizon. Capacity that more urgent ranks hold is not counted, because their next work takes it
// again. Guaranteed and urgent work count as one rank here: what one of them releases, the other may take.
static RankCapacity capacityOf(const ShortageContext &context, const Pool &pool, UrgencyRank rank, double acceleratorsNow, double horizonSeconds)
{
    RankCapacity capacity{.m_now = acceleratorsNow, .m_intervalSeconds = horizonSeconds / static_cast<double>(releaseIntervals), .m_released = {}};
    const auto now = context.m_allocation.m_input->m_now;
    for (const auto &task : context.m_allocation.m_placedTasks) {
        if (!isUsableIn(pool.m_name, context.m_allocation.m_input->m_workers[task.m_worker])) {
            continue;
        }
        // Work that urgent work may preempt is part of m_now.
        if (isUrgent(rank) != isUrgent(task.m_rank) || (!isUrgent(rank) && task.m_rank < rank)) {
            continue;
        }
        const auto elapsed = task.m_state->m_percent > 0 ? Duration(0) : now - task.m_state->m_phaseSince;
        if (task.m_step->m_longRunning) {
            continue;
        }
        // A run that has taken longer than its estimate is expected to take as much longer again.
        const auto left = estimatedRemainingTime(*task.m_state, *task.m_step, now) - elapsed;
        const auto seconds = std::abs(secondsOf(left));
        if (seconds < horizonSeconds) {
            const auto interval = std::min(static_cast<std::size_t>(seconds / capacity.m_intervalSeconds), releaseIntervals - 1);
            capacity.m_released[interval] += pool.m_needs.ofTasks(*task.m_step, 1);
        }
    }
    // What lacks now, because the reserve or higher ranks take it, is taken from the first releases.
    for (auto &released : capacity.m_released) {
        const auto lacking = std::min(std::max(-capacity.m_now, 0.0), released);
        capacity.m_now += lacking;
        released -= lacking;
    }
    capacity.m_now = std::max(capacity.m_now, 0.0);
    return capacity;
}

// Returns the accelerator-seconds in which runs of the given length can start and end before the deadline.
static double usableSeconds(const RankCapacity &capacity, double runSeconds, double deadlineSeconds)
{
    const auto whole
        = [runSeconds](double seconds) { return seconds <= 0.0 ? 0.0 : (runSeconds > 0.0 ? std::floor(seconds / runSeconds + 1e-9) * runSeconds : seconds); };
    double sum = capacity.m_now * whole(deadlineSeconds);
    for (std::size_t interval = 0; interval < releaseIntervals; ++interval) {
        if (capacity.m_released[interval] > 0.0) {
            sum += capacity.m_released[interval] * whole(deadlineSeconds - static_cast<double>(interval + 1) * capacity.m_intervalSeconds);
        }
    }
    return sum;
}

static std::map<std::string_view, QueueWork> workByQueue(const ShortageContext &context, const AcceleratorNeeds &needs)
{
    std::map<std::string_view, QueueWork> queues;
    for (const auto &job : context.m_allocation.m_input->m_jobs) {
        if (job->m_outcome == JobOutcome::Active) {
            queues[job->m_spec->m_queue].m_jobs.push_back(workOfJob(needs, *job->m_spec));
        }
    }
    for (auto &[name, queue] : queues) {
        auto &jobs = queue.m_jobs;
        double sum = 0.0;
        for (const auto work : jobs) {
            sum += work;
        }
        queue.m_mean = sum / static_cast<double>(jobs.size());
        const auto quantile
            = jobs.begin() + static_cast<std::ptrdiff_t>(std::min(largeJobQuantile * static_cast<double>(jobs.size()), static_cast<double>(jobs.size() - 1)));
        std::nth_element(jobs.begin(), quantile, jobs.end());
        queue.m_largeFrom = *quantile;
    }
    return queues;
}

// Returns true if any task of the step has been started. Putting off such a step wastes what its other tasks have done or, if it has been preempted,
// makes it pay twice.
static bool hasStarted(const Candidate &candidate)
{
    const auto &tasks = candidate.m_state->m_tasks;
    return std::any_of(tasks.begin(), tasks.end(), [](const auto &task) { return task->m_highestRunNumber > 0; });
}

static Choice choiceOf(const ShortageContext &context,
                       const AcceleratorNeeds &needs,
                       const std::map<std::string_view, QueueWork> &queues,
                       const Candidate &candidate,
                       std::size_t index)
{
    const auto &spec = specOf(context, candidate.m_job);
    const auto &queue = queues.at(spec.m_queue);
    const auto jobWork = workOfJob(needs, spec);
    const auto runSeconds = secondsOf(stepOf(context, candidate).m_estimate);
    const auto work = needOf(context, needs, candidate) * runSeconds;
    // The caller of a larger job loses more by a delay, but less than in proportion.
    const auto value = 1.0 + (queue.m_mean > 0.0 ? std::sqrt(jobWork / queue.m_mean) : 0.0);
    return Choice{.m_candidate = index,
                  .m_queue = spec.m_queue,
                  .m_organisation = spec.m_organisation,
                  .m_work = work,
                  .m_runSeconds = runSeconds,
                  .m_deadlineSeconds = secondsOf(candidate.m_untilLatestStart) + runSeconds,
                  .m_density = work > 0.0 ? value / work : std::numeric_limits<double>::infinity(),
                  .m_large = jobWork >= queue.m_largeFrom && jobWork > queue.m_mean,
                  .m_mayBePutOff = work > 0.0 && !hasStarted(candidate),
                  .m_putOff = false};
}

namespace {

// The steps that have been taken in the order of their latest start, and which of them are put off.
class Selection
{
public:
    Selection(std::vector<Choice> &choices, const OrganisationUse &use)
        : m_choices(choices)
    {
        for (const auto &[organisation, seconds] : use.m_acceleratorSeconds) {
            m_use.emplace(organisation, seconds);
        }
    }

    void take(std::size_t index)
    {
        const auto &choice = m_choices[index];
        m_work += choice.m_work;
        m_use[choice.m_organisation] += choice.m_work;
        auto &counts = m_counts[choice.m_queue];
        ++counts.m_taken;
        ++counts.m_kept;
        counts.m_largeTaken += choice.m_large ? 1 : 0;
        counts.m_largeKept += choice.m_large ? 1 : 0;
        if (choice.m_mayBePutOff) {
            m_kept[costTier(choice)][choice.m_organisation].insert(Step{.m_density = choice.m_density, .m_index = index});
        }
    }

    // Puts off the step that saves its caller least for the capacity that it takes. Among steps of about equal cost it is one of the
    // organisation that has had the most. Returns false if there is none.
    bool putOffLeast()
    {
        for (auto &[tier, organisations] : m_kept) {
            Steps *chosen = nullptr;
            std::pair<double, std::size_t> largest; // Use of the organisation and index of its step.
            for (auto &[organisation, steps] : organisations) {
                const auto step = firstToPutOff(steps);
                if (step == steps.end()) {
                    continue;
                }
                const std::pair use(m_use[organisation], step->m_index);
                if (!chosen || use > largest) {
                    chosen = &steps;
                    largest = use;
                }
            }
            if (chosen) {
                putOff(*chosen, firstToPutOff(*chosen));
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] double work() const
    {
        return m_work;
    }

private:
    // Sorted by density; of equal steps, the one with the latest start goes first, so that the older one is kept.
    struct Step {
        double m_density;
        std::size_t m_index; // Of the choice.

        bool operator<(const Step &other) const
        {
            return std::pair(m_density, other.m_index) < std::pair(other.m_density, m_index);
        }
    };
    using Steps = std::set<Step>;

    // Steps whose value per accelerator-second differs by less than a factor of two count as of equal cost.
    static int costTier(const Choice &choice)
    {
        return static_cast<int>(std::floor(std::log2(choice.m_density)));
    }

    // Returns true if large jobs would keep too small a part of their queue's share without the step.
    [[nodiscard]] bool isNeededForLargeJobs(const Choice &choice) const
    {
        if (!choice.m_large) {
            return false;
        }
        const auto &counts = m_counts.at(choice.m_queue);
        const auto keptShare = static_cast<double>(counts.m_kept - 1) / static_cast<double>(counts.m_taken);
        return static_cast<double>(counts.m_largeKept - 1) < std::round(largeJobMinShare * keptShare * counts.m_largeTaken);
    }

    [[nodiscard]] Steps::const_iterator firstToPutOff(const Steps &steps) const
    {
        return std::find_if(steps.begin(), steps.end(), [this](const auto &step) { return !isNeededForLargeJobs(m_choices[step.m_index]); });
    }

    void putOff(Steps &steps, Steps::const_iterator step)
    {
        auto &choice = m_choices[step->m_index];
        choice.m_putOff = true;
        m_work -= choice.m_work;
        m_use[choice.m_organisation] -= choice.m_work;
        auto &counts = m_counts[choice.m_queue];
        --counts.m_kept;
        counts.m_largeKept -= choice.m_large ? 1 : 0;
        steps.erase(step);
    }

    std::vector<Choice> &m_choices;
    std::map<std::string_view, double> m_use; // Recent use and the work of the kept steps, by organisation.
    std::map<std::string_view, QueueCounts> m_counts;
    std::map<int, std::map<std::string_view, Steps>> m_kept; // By tier and organisation.
    double m_work = 0.0;
};

} // namespace

// Marks the choices that are put off. Sorts the choices by their latest start.
static void choose(std::vector<Choice> &choices, const RankCapacity &capacity, const OrganisationUse &use)
{
    std::stable_sort(choices.begin(), choices.end(), [](const Choice &left, const Choice &right) {
        return left.m_deadlineSeconds - left.m_runSeconds < right.m_deadlineSeconds - right.m_runSeconds;
    });
    Selection selection(choices, use);
    for (std::size_t index = 0; index < choices.size(); ++index) {
        selection.take(index);
        const auto usable = usableSeconds(capacity, choices[index].m_runSeconds, choices[index].m_deadlineSeconds);
        while (selection.work() > usable && selection.putOffLeast()) { }
    }
}

// Returns the candidates, which are those of one rank and pool, in the order of placement.
static std::vector<std::size_t> orderOfRank(const ShortageContext &context,
                                            const Pool &pool,
                                            const std::vector<Candidate> &candidates,
                                            const std::vector<std::size_t> &ofRank,
                                            double acceleratorsNow,
                                            std::vector<PutOffStep> &putOff)
{
    const auto queues = workByQueue(context, pool.m_needs);
    std::vector<std::size_t> order;
    std::vector<Choice> choices;
    std::vector<std::size_t> others;
    double horizon = 0.0;
    for (const auto index : ofRank) {
        const auto &candidate = candidates[index];
        if (candidate.m_aged) {
            order.push_back(index);
        } else if (!candidate.m_missesObjective && !candidate.m_jobLocked && choices.size() < maxChosenFrom) {
            choices.push_back(choiceOf(context, pool.m_needs, queues, candidate, index));
            horizon = std::max(horizon, choices.back().m_deadlineSeconds);
        } else {
            others.push_back(index);
        }
    }
    if (horizon <= 0.0) {
        order.insert(order.end(), others.begin(), others.end());
        return order;
    }
    double aged = 0.0;
    for (const auto index : order) {
        aged += candidates[index].m_jobLocked ? 0.0 : needOf(context, pool.m_needs, candidates[index]);
    }
    const auto rank = candidates[ofRank.front()].m_rank;
    choose(choices, capacityOf(context, pool, rank, acceleratorsNow - aged, horizon), context.m_allocation.m_input->m_organisationUse);
    std::vector<std::size_t> later;
    for (const auto &choice : choices) {
        (choice.m_putOff ? later : order).push_back(choice.m_candidate);
    }
    std::sort(later.begin(), later.end(), [&](std::size_t left, std::size_t right) {
        return std::pair(-candidates[left].m_age, left) < std::pair(-candidates[right].m_age, right);
    });
    for (const auto index : later) {
        const auto &candidate = candidates[index];
        putOff.push_back(PutOffStep{.m_job = candidate.m_job, .m_occurrence = candidate.m_occurrence, .m_step = candidate.m_step, .m_rank = rank});
    }
    order.insert(order.end(), later.begin(), later.end());
    order.insert(order.end(), others.begin(), others.end());
    return order;
}

static Pool makePool(const ShortageContext &context, std::string_view name)
{
    const auto &allocation = context.m_allocation;
    const AcceleratorNeeds needs(*allocation.m_input, name);
    double reclaimable = usableAmounts(allocation, name, true, allocation.m_reclaimable) + usableAmounts(allocation, name, false, allocation.m_reclaimable);
    for (const auto &task : allocation.m_placedTasks) {
        const bool mayNotBeStopped = !isUrgent(task.m_rank) && task.m_step->m_maxUnavailable > 0;
        reclaimable -= mayNotBeStopped && isUsableIn(name, allocation.m_input->m_workers[task.m_worker]) ? needs.ofTasks(*task.m_step, 1) : 0.0;
    }
    return Pool{.m_name = name,
                .m_needs = needs,
                .m_freeOnReserve = usableAmounts(allocation, name, true, allocation.m_free),
                .m_freeElsewhere = usableAmounts(allocation, name, false, allocation.m_free),
                .m_reclaimable = reclaimable};
}

// Returns true if usable workers of the pool could run the candidate if nothing else ran there. Other work waits for the fleet to change, and keeps no
// capacity from others.
static bool canRunOnEmptyPool(const ShortageContext &context, std::string_view pool, const Candidate &candidate)
{
    const auto &step = stepOf(context, candidate);
    const int needed = step.m_gang ? static_cast<int>(candidate.m_waitingTasks.size()) : 1;
    const int perWorker = step.m_maxPerWorker > 0 ? std::min(needed, step.m_maxPerWorker) : needed;
    int fitting = 0;
    for (const auto &worker : context.m_allocation.m_input->m_workers) {
        const auto &report = *worker.m_report;
        const bool hasLabel
            = step.m_requiredLabel.empty() || std::find(report.m_labels.begin(), report.m_labels.end(), step.m_requiredLabel) != report.m_labels.end();
        if (!hasLabel || !isUsableIn(pool, worker)) {
            continue;
        }
        const auto &capacity = report.m_capacity;
        const ResourceAmounts empty{.m_milliCores = capacity.m_milliCores, .m_memoryMb = capacity.m_memoryMb, .m_accelerators = capacity.m_accelerators};
        fitting += countFittingTasks(empty, step, perWorker);
        if (fitting >= needed) {
            return true;
        }
    }
    return false;
}

// Returns the order of the candidates of one rank and pool, which is unchanged without a shortage, and adds their need to that of the pool.
static std::vector<std::size_t> orderInPool(const ShortageContext &context, Pool &pool, const std::vector<std::size_t> &ofRank, OrderedCandidates &ordered)
{
    const auto &candidates = ordered.m_candidates;
    const auto &first = candidates[ofRank.front()];
    double needed = 0.0;
    std::vector<std::size_t> competing;
    std::map<const JobStep *, bool> runnable; // A repeated job may have hundreds of occurrences of a step.
    for (const auto index : ofRank) {
        const auto [entry, added] = runnable.try_emplace(&stepOf(context, candidates[index]), false);
        if (added) {
            entry->second = canRunOnEmptyPool(context, pool.m_name, candidates[index]);
        }
        if (entry->second) {
            competing.push_back(index);
            needed += candidates[index].m_jobLocked ? 0.0 : needOf(context, pool.m_needs, candidates[index]);
        }
    }
    const auto onReserve = pool.m_freeOnReserve - context.m_reservedAccelerators;
    const auto free = pool.m_freeElsewhere + (pool.m_freeElsewhere > 0.0 ? std::max(onReserve, 0.0) : onReserve);
    const auto available = (isUrgent(first.m_rank) ? pool.m_reclaimable : free) - pool.m_neededByHigherRanks;
    pool.m_neededByHigherRanks += needed;
    if (first.m_rank == UrgencyRank::Guaranteed || first.m_missesFinalDeadline || needed <= std::max(available, 0.0)) {
        return ofRank;
    }
    ordered.m_shortages.push_back(RankShortage{
        .m_pool = std::string(pool.m_name), .m_rank = first.m_rank, .m_neededAccelerators = needed, .m_availableAccelerators = std::max(available, 0.0)});
    // Work that no worker can run keeps its place.
    const auto ranked = orderOfRank(context, pool, candidates, competing, available, ordered.m_putOff);
    auto order = ofRank;
    auto next = ranked.begin();
    for (auto &index : order) {
        if (runnable.at(&stepOf(context, candidates[index]))) {
            index = *next++;
        }
    }
    return order;
}

OrderedCandidates orderUnderShortage(const ShortageContext &context, std::vector<Candidate> candidates)
{
    OrderedCandidates ordered{.m_candidates = std::move(candidates), .m_shortages = {}, .m_putOff = {}};
    std::map<std::string_view, Pool> pools;
    std::vector<std::size_t> order(ordered.m_candidates.size());
    for (std::size_t first = 0; first < order.size();) {
        const auto &head = ordered.m_candidates[first];
        std::map<std::string_view, std::vector<std::size_t>> byPool;
        auto end = first;
        for (; end < order.size(); ++end) {
            const auto &candidate = ordered.m_candidates[end];
            if (candidate.m_rank != head.m_rank || candidate.m_missesFinalDeadline != head.m_missesFinalDeadline) {
                break;
            }
            byPool[context.m_policies[candidate.m_job]->m_workerPool].push_back(end);
        }
        for (const auto &[name, places] : byPool) {
            auto pool = pools.find(name);
            if (pool == pools.end()) {
                pool = pools.emplace(name, makePool(context, name)).first;
            }
            // The candidates of a pool only change places with each other.
            const auto inPool = orderInPool(context, pool->second, places, ordered);
            for (std::size_t place = 0; place < places.size(); ++place) {
                order[places[place]] = inPool[place];
            }
        }
        first = end;
    }
    std::vector<Candidate> sorted;
    sorted.reserve(order.size());
    for (const auto index : order) {
        sorted.push_back(std::move(ordered.m_candidates[index]));
    }
    ordered.m_candidates = std::move(sorted);
    return ordered;
}

} // namespace PrimroseBridge
