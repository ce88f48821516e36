#include "simulatedworkers.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <string_view>

namespace PrimroseBridge {

namespace {

struct StepKey {
    std::string_view m_job;
    std::int64_t m_occurrence;
    int m_step;

    auto operator<=>(const StepKey &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

using Runs = std::vector<const SimulatedRun *>;

/// The runs of one step of one occurrence, by task index, in the order of their starts.
struct StepRuns {
    const JobStep *m_step = nullptr;
    std::map<int, Runs> m_byIndex;
};

using RunsByStep = std::map<StepKey, StepRuns>;

const JobStep *findStep(const JobSpecPointer &job, int step)
{
    return job && step >= 0 && static_cast<std::size_t>(step) < job->m_steps.size() ? &job->m_steps[static_cast<std::size_t>(step)] : nullptr;
}

std::string describe(const SimulatedRun &run)
{
    const auto &delivery = run.m_delivery;
    return taskName(run.m_task) + " run " + std::to_string(run.m_runNumber) + " on " + run.m_worker + " from " + std::to_string(toMilliseconds(run.m_startedAt))
           + (run.m_endedAt ? " to " + std::to_string(toMilliseconds(*run.m_endedAt)) : std::string()) + " by " + run.m_sender + " fence "
           + std::to_string(run.m_fence) + (delivery.m_late ? " late" : "") + (delivery.m_afterRestart ? " sent before a restart" : "")
           + (delivery.m_late && delivery.m_afterRestart && delivery.m_beforeFirstAnswer ? " before its process's first answer" : "");
}

bool hasEnded(const SimulatedRun &run, RunEndKind kind, Instant now)
{
    return run.m_endKind == kind && run.m_endedAt && *run.m_endedAt <= now;
}

bool endsLater(const SimulatedRun &run, const SimulatedRun &other)
{
    return other.m_endedAt && (!run.m_endedAt || *run.m_endedAt > *other.m_endedAt);
}

bool isAcknowledged(const SimulatedRun &run, RunEndKind kind, Instant now)
{
    return hasEnded(run, kind, now) && run.m_acknowledgedAt && *run.m_acknowledgedAt <= now;
}

// Time from the restart of a worker until its owner must have noticed that the former process does not answer: the longest poll with its time-out.
constexpr Duration longestNotice(3'000);

// Returns true if nobody could prevent the violation: one of the runs is a late start that its process executed before its first answer, and the other
// one was started while the worker's former process could still answer. Later the owner has to hold the task back.
bool isUnavoidable(const SimulatedRun &first, const SimulatedRun &second)
{
    const auto isLate = [](const SimulatedRun &run) { return run.m_delivery.m_late && run.m_delivery.m_beforeFirstAnswer; };
    const auto startedBeforeNotice
        = [](const SimulatedRun &run, const SimulatedRun &late) { return run.m_startedAt <= fromMilliseconds(late.m_incarnation) + longestNotice; };
    return (isLate(first) && startedBeforeNotice(second, first)) || (isLate(second) && startedBeforeNotice(first, second));
}

std::string suffixOf(const SimulatedRun &first, const SimulatedRun &second)
{
    return isUnavoidable(first, second) ? ", unavoidable" : "";
}

void findTwice(const StepRuns &step, Instant now, std::vector<RuleViolation> &violations)
{
    if (step.m_step->m_speculative) {
        return;
    }
    for (const auto &[index, runs] : step.m_byIndex) {
        const SimulatedRun *longest = nullptr; // The earlier run that ends last.
        const SimulatedRun *done = nullptr; // The last earlier run whose end as done is acknowledged.
        for (const auto *run : runs) {
            if (longest && (!longest->m_endedAt || *longest->m_endedAt > run->m_startedAt)) {
                violations.push_back(RuleViolation{.m_rule = "TWICE",
                                                   .m_at = run->m_startedAt,
                                                   .m_text = describe(*longest) + " and " + describe(*run) + " at the same time" + suffixOf(*longest, *run)});
            } else if (done) {
                violations.push_back(RuleViolation{
                    .m_rule = "TWICE", .m_at = run->m_startedAt, .m_text = describe(*run) + " after the end of " + describe(*done) + suffixOf(*done, *run)});
            }
            longest = !longest || endsLater(*run, *longest) ? run : longest;
            if (isAcknowledged(*run, RunEndKind::Done, now)) {
                done = run;
            }
        }
    }
}

void findOverBudget(const StepRuns &step, int maxAttempts, Instant now, std::vector<RuleViolation> &violations)
{
    if (step.m_step->m_speculative || step.m_step->m_longRunning) {
        return;
    }
    for (const auto &[index, runs] : step.m_byIndex) {
        std::multiset<Instant> failures; // Ends of the earlier runs.
        for (const auto *run : runs) {
            const auto failed = std::distance(failures.begin(), failures.upper_bound(run->m_startedAt));
            if (failed >= maxAttempts) {
                violations.push_back(RuleViolation{
                    .m_rule = "BUDGET", .m_at = run->m_startedAt, .m_text = describe(*run) + " after " + std::to_string(failed) + " failed runs"});
            }
            if (isAcknowledged(*run, RunEndKind::Failed, now)) {
                failures.insert(*run->m_endedAt);
            }
        }
    }
}

// The time at which all tasks of the step had ended as done. One such end represents all members of a gang.
std::optional<Instant> doneAt(const RunsByStep &runsByStep, const StepKey &key, const JobStep &step)
{
    const auto found = runsByStep.find(key);
    if (found == runsByStep.end()) {
        return std::nullopt;
    }
    std::vector<Instant> firstEnds;
    for (const auto &[index, runs] : found->second.m_byIndex) {
        std::optional<Instant> first;
        for (const auto *run : runs) {
            if (run->m_endKind == RunEndKind::Done && run->m_endedAt && (!first || *run->m_endedAt < *first)) {
                first = run->m_endedAt;
            }
        }
        if (first) {
            firstEnds.push_back(*first);
        }
    }
    if (firstEnds.empty() || (!step.m_gang && firstEnds.size() < static_cast<std::size_t>(step.m_taskCount))) {
        return std::nullopt;
    }
    return step.m_gang ? *std::min_element(firstEnds.begin(), firstEnds.end()) : *std::max_element(firstEnds.begin(), firstEnds.end());
}

void findOutOfOrder(const RunsByStep &runsByStep, const StepKey &key, const StepRuns &step, const JobSpecPointer &job, std::vector<RuleViolation> &violations)
{
    for (const auto after : step.m_step->m_after) {
        const auto *earlierStep = findStep(job, after);
        const auto done
            = earlierStep ? doneAt(runsByStep, StepKey{.m_job = key.m_job, .m_occurrence = key.m_occurrence, .m_step = after}, *earlierStep) : std::nullopt;
        for (const auto &[index, runs] : step.m_byIndex) {
            for (const auto *run : runs) {
                if (!done || run->m_startedAt < *done) {
                    violations.push_back(RuleViolation{
                        .m_rule = "ORDER", .m_at = run->m_startedAt, .m_text = describe(*run) + " before step " + std::to_string(after) + " was done"});
                }
            }
        }
    }
}

} // namespace

std::vector<RuleViolation> findViolations(const std::vector<SimulatedRun> &history,
                                          const std::vector<JobSpecPointer> &jobs,
                                          const std::map<std::string, int> &maxAttemptsByJob,
                                          Instant now)
{
    std::map<std::string_view, JobSpecPointer> jobsByIdentifier;
    for (const auto &job : jobs) {
        jobsByIdentifier.emplace(job->m_id, job);
    }
    std::vector<RuleViolation> violations;
    RunsByStep runsByStep;
    for (const auto &run : history) {
        const auto job = jobsByIdentifier.find(run.m_task.m_job);
        const auto *step = job == jobsByIdentifier.end() ? nullptr : findStep(job->second, run.m_task.m_step);
        if (!step || run.m_startedAt > now) {
            continue;
        }
        auto &stepRuns = runsByStep[StepKey{.m_job = run.m_task.m_job, .m_occurrence = run.m_task.m_occurrence, .m_step = run.m_task.m_step}];
        stepRuns.m_step = step;
        stepRuns.m_byIndex[run.m_task.m_index].push_back(&run);
        if (hasEnded(run, RunEndKind::GangMembersMissing, now)) {
            violations.push_back(RuleViolation{.m_rule = "GANG", .m_at = *run.m_endedAt, .m_text = describe(run) + " waited in vain for its gang"});
        }
    }
    for (const auto &[key, step] : runsByStep) {
        findTwice(step, now, violations);
        const auto maxAttempts = maxAttemptsByJob.find(std::string(key.m_job));
        if (maxAttempts != maxAttemptsByJob.end()) {
            findOverBudget(step, maxAttempts->second, now, violations);
        }
        findOutOfOrder(runsByStep, key, step, jobsByIdentifier.at(key.m_job), violations);
    }
    std::stable_sort(violations.begin(), violations.end(), [](const RuleViolation &left, const RuleViolation &right) { return left.m_at < right.m_at; });
    return violations;
}

std::vector<RuleViolation> findStartsInDrainedZones(const std::vector<SimulatedRun> &history,
                                                    const std::map<std::string, std::string> &zones,
                                                    const std::vector<ZoneDrainTime> &drains,
                                                    Duration bound)
{
    std::vector<RuleViolation> violations;
    for (const auto &run : history) {
        const auto zone = zones.find(run.m_worker);
        const auto sentAt = run.m_delivery.m_sentAt;
        const bool tooLate = zone != zones.end() && std::any_of(drains.begin(), drains.end(), [&](const ZoneDrainTime &drain) {
                                 return drain.m_zone == zone->second && sentAt >= drain.m_from + bound && run.m_startedAt < drain.m_until;
                             });
        if (tooLate) {
            violations.push_back(RuleViolation{.m_rule = "DRAIN",
                                               .m_at = run.m_startedAt,
                                               .m_text = describe(run) + " sent at " + std::to_string(toMilliseconds(sentAt)) + " in drained " + zone->second});
        }
    }
    return violations;
}

} // namespace PrimroseBridge
