#include "candidates.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <unordered_map>

namespace PrimroseBridge {

// The final deadline in latency objectives after the due time. A later result is worth nothing to the submitter.
constexpr double finalDeadlineObjectives = 3.0;

static std::int64_t largestStepAccelerators(const JobSpec &spec)
{
    std::int64_t largest = 0;
    for (const auto &step : spec.m_steps) {
        largest = std::max(largest, step.m_taskCount * step.m_taskResources.m_accelerators);
    }
    return largest;
}

static UrgencyRank rankOfPriority(int priority)
{
    if (priority <= 0) {
        return UrgencyRank::Urgent;
    }
    return priority == 1 ? UrgencyRank::Normal : UrgencyRank::Background;
}

static std::int64_t guaranteedAccelerators(const FleetConfiguration &configuration, const std::string &organisation)
{
    for (const auto &candidate : configuration.m_organisations) {
        if (candidate.m_name == organisation) {
            return candidate.m_guaranteedAccelerators;
        }
    }
    return 0;
}

std::vector<const QueuePolicy *> policiesOfJobs(const PlacementInput &input)
{
    std::unordered_map<std::string_view, const QueuePolicy *> byName;
    for (const auto &queue : input.m_configuration->m_queues) {
        byName.emplace(queue.m_name, &queue.m_policy);
    }
    std::vector<const QueuePolicy *> policies;
    policies.reserve(input.m_jobs.size());
    for (const auto &job : input.m_jobs) {
        const auto found = byName.find(job->m_spec->m_queue);
        const auto &accepted = job->m_spec->m_acceptedPolicy;
        policies.push_back(found != byName.end() ? found->second : (accepted ? &*accepted : nullptr));
    }
    return policies;
}

std::vector<UrgencyRank> rankJobs(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies)
{
    std::map<std::string, std::int64_t> guaranteeUsed;
    std::vector<UrgencyRank> ranks;
    ranks.reserve(input.m_jobs.size());
    for (std::size_t index = 0; index < input.m_jobs.size(); ++index) {
        const auto &job = input.m_jobs[index];
        const auto *policy = policies[index];
        const auto rank = rankOfPriority(policy ? policy->m_priority : 1);
        if (rank != UrgencyRank::Urgent || job->m_outcome != JobOutcome::Active) {
            ranks.push_back(rank);
            continue;
        }
        const auto &organisation = job->m_spec->m_organisation;
        const auto needed = largestStepAccelerators(*job->m_spec);
        auto &total = guaranteeUsed[organisation];
        const bool withinGuarantee = total + needed <= guaranteedAccelerators(*input.m_configuration, organisation);
        total += withinGuarantee ? needed : 0;
        ranks.push_back(withinGuarantee ? UrgencyRank::Guaranteed : UrgencyRank::Urgent);
    }
    return ranks;
}

// Returns the estimated run time of the critical path through the steps from firstStep on.
static Duration criticalPathEstimate(const JobSpec &spec, int firstStep)
{
    std::vector<Duration> ends(spec.m_steps.size(), Duration(0));
    Duration longest(0);
    for (std::size_t step = static_cast<std::size_t>(firstStep); step < spec.m_steps.size(); ++step) {
        Duration start(0);
        for (const auto predecessor : spec.m_steps[step].m_after) {
            start = std::max(start, ends[static_cast<std::size_t>(predecessor)]);
        }
        ends[step] = start + spec.m_steps[step].m_estimate;
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

// Returns, by step, the estimated run time of the longest chain of steps that follows the step. Steps come after those that they depend on.
static std::vector<Duration> followingChainEstimates(const JobSpec &spec)
{
    std::vector<Duration> following(spec.m_steps.size(), Duration(0));
    for (std::size_t step = spec.m_steps.size(); step-- > 0;) {
        for (const auto predecessor : spec.m_steps[step].m_after) {
            auto &chain = following[static_cast<std::size_t>(predecessor)];
            chain = std::max(chain, following[step] + spec.m_steps[step].m_estimate);
        }
    }
    return following;
}

static Instant dueTime(const JobSpec &spec, std::int64_t occurrence)
{
    return spec.m_schedule.m_count > 0 ? spec.m_schedule.m_firstDue + spec.m_schedule.m_interval * occurrence : spec.m_acceptedAt;
}

static std::vector<int> waitingTasks(const StepState &step)
{
    std::vector<int> waiting;
    for (std::size_t index = 0; index < step.m_tasks.size(); ++index) {
        if (step.m_tasks[index]->m_phase == TaskPhase::Waiting) {
            waiting.push_back(static_cast<int>(index));
        }
    }
    return waiting;
}

static bool hasStartedTask(const StepState &step)
{
    return std::any_of(step.m_tasks.begin(), step.m_tasks.end(), [](const auto &task) { return task->m_runNumber > 0; });
}

namespace {

// What all candidates of a job have in common.
struct JobTraits {
    std::size_t m_index; // In PlacementInput::m_jobs.
    UrgencyRank m_rank;
    bool m_locked;
    Duration m_objective;
    std::vector<Duration> m_remainingPath; // Estimated run time of the critical path from each step on.
    std::vector<Duration> m_followingChain; // Estimated run time of the longest chain after each step.
};

} // namespace

static JobTraits traitsOf(const PlacementInput &input, std::size_t index, const QueuePolicy &policy, UrgencyRank rank)
{
    const auto &spec = *input.m_jobs[index]->m_spec;
    std::vector<Duration> remainingPath;
    remainingPath.reserve(spec.m_steps.size());
    for (std::size_t step = 0; step < spec.m_steps.size(); ++step) {
        remainingPath.push_back(criticalPathEstimate(spec, static_cast<int>(step)));
    }
    const auto objective = std::chrono::duration_cast<Duration>(remainingPath.front() * policy.m_slackFactor) + policy.m_latencyGoal;
    return JobTraits{.m_index = index,
                     .m_rank = rank,
                     .m_locked = std::binary_search(input.m_lockedJobs.begin(), input.m_lockedJobs.end(), spec.m_id),
                     .m_objective = objective,
                     .m_remainingPath = std::move(remainingPath),
                     .m_followingChain = followingChainEstimates(spec)};
}

static void addReadySteps(const PlacementInput &input, const JobTraits &traits, const OccurrenceState &occurrence, std::vector<Candidate> &candidates)
{
    const auto &spec = *input.m_jobs[traits.m_index]->m_spec;
    const auto rank = traits.m_rank;
    for (std::size_t step = 0; step < spec.m_steps.size(); ++step) {
        const auto &state = *occurrence.m_steps[step];
        if (state.m_doneTaskCount == static_cast<int>(state.m_tasks.size()) || !isStepReady(spec, occurrence, static_cast<int>(step))) {
            continue;
        }
        auto waiting = waitingTasks(state);
        // The members of a gang start together, so all of them must be waiting.
        if (waiting.empty() || (spec.m_steps[step].m_gang && waiting.size() != state.m_tasks.size())) {
            continue;
        }
        const auto objective = traits.m_objective;
        const auto end = input.m_wallNow + traits.m_remainingPath[step];
        const auto due = dueTime(spec, occurrence.m_number);
        const bool missesFinalDeadline = end > due + std::chrono::duration_cast<Duration>(objective * finalDeadlineObjectives);
        const bool aged
            = !isUrgent(rank) && !missesFinalDeadline && input.m_wallNow - due >= std::chrono::duration_cast<Duration>(objective * agedAfterObjectives);
        candidates.push_back(Candidate{
            .m_job = traits.m_index,
            .m_occurrence = occurrence.m_number,
            .m_step = static_cast<int>(step),
            .m_rank = rank,
            .m_missesFinalDeadline = missesFinalDeadline,
            .m_missesObjective = end > due + objective,
            .m_aged = aged,
            .m_overdue = rank == UrgencyRank::Guaranteed && !hasStartedTask(state) && input.m_wallNow - due >= input.m_reclaimDelay,
            .m_jobLocked = traits.m_locked,
            .m_latencyObjective = objective,
            .m_age = input.m_wallNow - due,
            .m_finishDemand = FinishDemand{.m_estimate = spec.m_steps[step].m_estimate,
                                           .m_rest = traits.m_followingChain[step],
                                           .m_timeLeft = due + objective - input.m_wallNow},
            .m_untilLatestStart = due + objective - end,
            .m_state = &state,
            .m_waitingTasks = std::move(waiting),
        });
    }
}

std::vector<Candidate> findCandidates(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies, const std::vector<UrgencyRank> &ranks)
{
    std::vector<Candidate> candidates;
    for (std::size_t index = 0; index < input.m_jobs.size(); ++index) {
        const auto &job = *input.m_jobs[index];
        const auto *policy = policies[index];
        // Workers refuse starts without a ticket from the placement advice service. No ticket is requested yet, so these jobs stay queued.
        if (job.m_outcome != JobOutcome::Active || !policy || policy->m_needsPlacementAdvice) {
            continue;
        }
        const auto traits = traitsOf(input, index, *policy, ranks[index]);
        for (const auto &occurrence : job.m_occurrences) {
            addReadySteps(input, traits, *occurrence, candidates);
        }
    }
    // Work that misses its latency objective goes after work of its rank that can still meet it, until it has aged. The sort is stable,
    // so that otherwise equal work stays in the order of acceptance.
    std::stable_sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) {
        const bool leftLate = left.m_missesObjective && !left.m_aged && left.m_rank != UrgencyRank::Guaranteed;
        const bool rightLate = right.m_missesObjective && !right.m_aged && right.m_rank != UrgencyRank::Guaranteed;
        return std::tuple(left.m_missesFinalDeadline && left.m_rank != UrgencyRank::Guaranteed, left.m_rank, leftLate)
               < std::tuple(right.m_missesFinalDeadline && right.m_rank != UrgencyRank::Guaranteed, right.m_rank, rightLate);
    });
    return candidates;
}

} // namespace PrimroseBridge
