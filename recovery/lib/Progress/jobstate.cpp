#include "primrosebridge/Progress/jobstate.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace PrimroseBridge {

std::string_view outcomeName(JobOutcome outcome)
{
    switch (outcome) {
    case JobOutcome::Active:
        return "active";
    case JobOutcome::Complete:
        return "complete";
    case JobOutcome::Failed:
        return "failed";
    case JobOutcome::Cancelled:
        return "cancelled";
    }
    return "active";
}

static TaskPointer freshTask(Instant now)
{
    return std::make_shared<const TaskState>(TaskState{
        .m_phase = TaskPhase::Waiting,
        .m_assignedWorker = nullptr,
        .m_run = 0,
        .m_failedRuns = {},
        .m_checkpoint = {},
        .m_percent = 0,
        .m_phaseSince = now,
        .m_progressAt = now,
        .m_orderUnanswered = false,
        .m_failedWorkers = {},
    });
}

static OccurrencePointer newOccurrence(const JobSpec &spec, std::int64_t number, Instant now)
{
    std::vector<StepPointer> steps;
    steps.reserve(spec.m_steps.size());
    const auto task = freshTask(now);
    for (const auto &step : spec.m_steps) {
        steps.push_back(
            std::make_shared<const StepState>(StepState{.m_tasks = std::vector<TaskPointer>(static_cast<std::size_t>(step.m_taskCount), task), .m_doneTaskCount = 0}));
    }
    return std::make_shared<const OccurrenceState>(OccurrenceState{.m_number = number, .m_steps = std::move(steps)});
}

// The fields of a job that most changes touch; the rest is taken over.
struct JobChange {
    JobOutcome m_outcome;
    std::vector<OccurrencePointer> m_occurrences;
    std::int64_t m_nextOccurrence;
    std::int64_t m_version;
    Instant m_changedAt;
};

static JobChange changeOf(const JobState &job)
{
    return JobChange{
        .m_outcome = job.m_outcome,
        .m_occurrences = job.m_occurrences,
        .m_nextOccurrence = job.m_nextOccurrence,
        .m_version = job.m_version,
        .m_changedAt = job.m_changedAt,
    };
}

static JobPointer changedJob(const JobState &job, JobChange change)
{
    return std::make_shared<const JobState>(JobState{
        .m_spec = job.m_spec,
        .m_maxAttempts = job.m_maxAttempts,
        .m_outcome = change.m_outcome,
        .m_occurrences = std::move(change.m_occurrences),
        .m_nextOccurrence = change.m_nextOccurrence,
        .m_version = change.m_version,
        .m_recordedVersion = job.m_recordedVersion,
        .m_recordedOutcome = job.m_recordedOutcome,
        .m_changedAt = change.m_changedAt,
    });
}

JobPointer newJobState(JobSpecPointer spec, int attempts, Instant now)
{
    std::vector<OccurrencePointer> occurrences;
    const bool repeated = spec->m_schedule.m_count > 0;
    if (!repeated) {
        occurrences.push_back(newOccurrence(*spec, 0, now));
    }
    return std::make_shared<const JobState>(JobState{
        .m_spec = std::move(spec),
        .m_maxAttempts = attempts,
        .m_outcome = JobOutcome::Active,
        .m_occurrences = std::move(occurrences),
        .m_nextOccurrence = repeated ? 0 : 1,
        .m_version = 0,
        .m_recordedVersion = 0,
        .m_recordedOutcome = JobOutcome::Active,
        .m_changedAt = now,
    });
}

static OccurrencePointer findOccurrence(const JobState &job, std::int64_t number)
{
    for (const auto &occurrence : job.m_occurrences) {
        if (occurrence->m_number == number) {
            return occurrence;
        }
    }
    return nullptr;
}

StepPointer findStep(const JobState &job, std::int64_t occurrence, int step)
{
    const auto found = findOccurrence(job, occurrence);
    if (!found || step < 0 || step >= static_cast<int>(found->m_steps.size())) {
        return nullptr;
    }
    return found->m_steps[static_cast<std::size_t>(step)];
}

TaskPointer findTask(const JobState &job, const TaskReference &task)
{
    const auto step = findStep(job, task.m_occurrence, task.m_step);
    if (!step || task.m_index < 0 || task.m_index >= static_cast<int>(step->m_tasks.size())) {
        return nullptr;
    }
    return step->m_tasks[static_cast<std::size_t>(task.m_index)];
}

static StepPointer makeStep(std::vector<TaskPointer> tasks)
{
    const auto done = std::count_if(tasks.begin(), tasks.end(), [](const auto &task) { return task->m_phase == TaskPhase::Done; });
    return std::make_shared<const StepState>(StepState{.m_tasks = std::move(tasks), .m_doneTaskCount = static_cast<int>(done)});
}

static std::vector<OccurrencePointer> withStep(const JobState &job, std::int64_t number, int step, StepPointer changed)
{
    auto occurrences = job.m_occurrences;
    for (auto &occurrence : occurrences) {
        if (occurrence->m_number != number) {
            continue;
        }
        auto steps = occurrence->m_steps;
        steps[static_cast<std::size_t>(step)] = std::move(changed);
        occurrence = std::make_shared<const OccurrenceState>(OccurrenceState{.m_number = number, .m_steps = std::move(steps)});
        break;
    }
    return occurrences;
}

JobPointer withTask(const JobState &job, const TaskReference &reference, TaskPointer task)
{
    const auto step = findStep(job, reference.m_occurrence, reference.m_step);
    assert(step && "the caller has found the task");
    auto tasks = step->m_tasks;
    tasks[static_cast<std::size_t>(reference.m_index)] = std::move(task);
    auto change = changeOf(job);
    change.m_occurrences = withStep(job, reference.m_occurrence, reference.m_step, makeStep(std::move(tasks)));
    return changedJob(job, std::move(change));
}

JobPointer withDueOccurrences(const JobPointer &job, Instant wallNow, Instant now)
{
    const auto &schedule = job->m_spec->m_schedule;
    if (job->m_outcome != JobOutcome::Active || job->m_nextOccurrence >= schedule.m_count) {
        return job;
    }
    auto change = changeOf(*job);
    while (change.m_nextOccurrence < schedule.m_count && schedule.m_firstDue + schedule.m_interval * change.m_nextOccurrence <= wallNow) {
        change.m_occurrences.push_back(newOccurrence(*job->m_spec, change.m_nextOccurrence, now));
        ++change.m_nextOccurrence;
    }
    return change.m_nextOccurrence == job->m_nextOccurrence ? job : changedJob(*job, std::move(change));
}

// The fields of a task that changes touch.
struct TaskChange {
    TaskPhase m_phase;
    std::shared_ptr<const WorkerIncarnation> m_assignedWorker;
    std::int64_t m_run;
    std::vector<std::int64_t> m_failedRuns;
    std::string m_checkpoint;
    int m_percent;
    Instant m_phaseSince;
    Instant m_progressAt;
    bool m_orderUnanswered;
    std::vector<std::string> m_failedWorkers;
};

static TaskChange changeOf(const TaskState &task)
{
    return TaskChange{
        .m_phase = task.m_phase,
        .m_assignedWorker = task.m_assignedWorker,
        .m_run = task.m_run,
        .m_failedRuns = task.m_failedRuns,
        .m_checkpoint = task.m_checkpoint,
        .m_percent = task.m_percent,
        .m_phaseSince = task.m_phaseSince,
        .m_progressAt = task.m_progressAt,
        .m_orderUnanswered = task.m_orderUnanswered,
        .m_failedWorkers = task.m_failedWorkers,
    };
}

static TaskPointer changedTask(TaskChange change)
{
    return std::make_shared<const TaskState>(TaskState{
        .m_phase = change.m_phase,
        .m_assignedWorker = std::move(change.m_assignedWorker),
        .m_run = change.m_run,
        .m_failedRuns = std::move(change.m_failedRuns),
        .m_checkpoint = std::move(change.m_checkpoint),
        .m_percent = change.m_percent,
        .m_phaseSince = change.m_phaseSince,
        .m_progressAt = change.m_progressAt,
        .m_orderUnanswered = change.m_orderUnanswered,
        .m_failedWorkers = std::move(change.m_failedWorkers),
    });
}

TaskPointer startingTask(const TaskState &task, std::shared_ptr<const WorkerIncarnation> place, std::int64_t run, Instant now)
{
    auto change = changeOf(task);
    change.m_phase = TaskPhase::Starting;
    change.m_assignedWorker = std::move(place);
    change.m_run = run;
    change.m_percent = 0;
    change.m_phaseSince = now;
    change.m_progressAt = now;
    change.m_orderUnanswered = false;
    return changedTask(std::move(change));
}

TaskPointer taskInPhase(const TaskState &task, TaskPhase phase, bool unconfirmed, Instant now)
{
    auto change = changeOf(task);
    change.m_phase = phase;
    change.m_phaseSince = now;
    change.m_orderUnanswered = unconfirmed;
    if (phase == TaskPhase::Running) {
        change.m_progressAt = now;
    }
    return changedTask(std::move(change));
}

TaskPointer waitingTask(const TaskState &task, Instant now)
{
    auto change = changeOf(task);
    change.m_phase = TaskPhase::Waiting;
    change.m_assignedWorker = nullptr;
    change.m_percent = 0;
    change.m_phaseSince = now;
    change.m_orderUnanswered = false;
    return changedTask(std::move(change));
}

TaskPointer
reportedTask(const TaskState &task, std::shared_ptr<const WorkerIncarnation> place, std::int64_t run, const std::string &checkpoint, int percent, Instant now)
{
    auto change = changeOf(task);
    const bool samePhase = task.m_phase == TaskPhase::Running && task.m_run == run;
    if (!samePhase) {
        change.m_phase = TaskPhase::Running;
        change.m_phaseSince = now;
        change.m_orderUnanswered = false;
    }
    if (!samePhase || percent != task.m_percent) {
        change.m_progressAt = now;
    }
    change.m_assignedWorker = std::move(place);
    change.m_run = run;
    change.m_percent = percent;
    if (!checkpoint.empty()) {
        change.m_checkpoint = checkpoint;
    }
    return changedTask(std::move(change));
}

static TaskPointer doneTask(const TaskState &task, std::int64_t run, Instant now)
{
    auto change = changeOf(task);
    change.m_phase = TaskPhase::Done;
    change.m_assignedWorker = nullptr;
    change.m_run = std::max(change.m_run, run);
    change.m_percent = 100;
    change.m_phaseSince = now;
    change.m_orderUnanswered = false;
    return changedTask(std::move(change));
}

static bool isOccurrenceDone(const OccurrenceState &occurrence)
{
    return std::all_of(
        occurrence.m_steps.begin(), occurrence.m_steps.end(), [](const auto &step) { return step->m_doneTaskCount == static_cast<int>(step->m_tasks.size()); });
}

// Drops complete occurrences of a repeated job, so that its state stays bounded, and sets the outcome once nothing is left.
static void settleCompletion(JobChange &change, const JobSpec &spec, Instant now)
{
    if (spec.m_schedule.m_count > 0) {
        std::erase_if(change.m_occurrences, [](const auto &occurrence) { return isOccurrenceDone(*occurrence); });
    }
    const bool allDue = change.m_nextOccurrence >= std::max<std::int64_t>(spec.m_schedule.m_count, 1);
    const bool allDone
        = std::all_of(change.m_occurrences.begin(), change.m_occurrences.end(), [](const auto &occurrence) { return isOccurrenceDone(*occurrence); });
    if (allDue && allDone) {
        change.m_outcome = JobOutcome::Complete;
        change.m_changedAt = now;
    }
}

// A gang's end as done stands for all of its members.
static RunEndEffect applyDone(const JobPointer &job, const RunEnd &end, const StepState &step, bool gang, Instant now)
{
    auto tasks = step.m_tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const bool affected = gang || static_cast<int>(index) == end.m_task.m_index;
        if (affected && tasks[index]->m_phase != TaskPhase::Done) {
            tasks[index] = doneTask(*tasks[index], end.m_run, now);
        }
    }
    auto change = changeOf(*job);
    change.m_occurrences = withStep(*job, end.m_task.m_occurrence, end.m_task.m_step, makeStep(std::move(tasks)));
    change.m_version += 1;
    settleCompletion(change, *job->m_spec, now);
    return RunEndEffect{.m_job = changedJob(*job, std::move(change)), .m_mustRecord = true, .m_countedFailure = false};
}

static bool contains(const std::vector<std::int64_t> &runs, std::int64_t run)
{
    return std::find(runs.begin(), runs.end(), run) != runs.end();
}

int failedAttempts(const JobSpec &spec, const StepState &state, int step, int index)
{
    if (!spec.m_steps[static_cast<std::size_t>(step)].m_gang) {
        return static_cast<int>(state.m_tasks[static_cast<std::size_t>(index)]->m_failedRuns.size());
    }
    std::set<std::int64_t> runs;
    for (const auto &task : state.m_tasks) {
        runs.insert(task->m_failedRuns.begin(), task->m_failedRuns.end());
    }
    return static_cast<int>(runs.size());
}

static TaskPointer afterEnd(const TaskState &task, const RunEnd &end, const std::string &worker, Instant now)
{
    auto change = changeOf(task);
    if (!end.m_checkpoint.empty()) {
        change.m_checkpoint = end.m_checkpoint;
    }
    const bool current = task.m_run == end.m_run && task.m_assignedWorker && task.m_assignedWorker->m_worker == worker;
    if (current) {
        change.m_phase = TaskPhase::Waiting;
        change.m_assignedWorker = nullptr;
        change.m_percent = 0;
        change.m_phaseSince = now;
        change.m_orderUnanswered = false;
    }
    change.m_run = std::max(change.m_run, end.m_run);
    if (end.m_kind == RunEndKind::Failed) {
        if (!contains(change.m_failedRuns, end.m_run)) {
            change.m_failedRuns.push_back(end.m_run);
        }
        if (std::find(change.m_failedWorkers.begin(), change.m_failedWorkers.end(), worker) == change.m_failedWorkers.end()) {
            change.m_failedWorkers.push_back(worker);
        }
    }
    return changedTask(std::move(change));
}

static RunEndEffect applyOtherEnd(const JobPointer &job, const RunEnd &end, const StepState &step, const JobStep &spec, const std::string &worker, Instant now)
{
    const auto index = static_cast<std::size_t>(end.m_task.m_index);
    auto tasks = step.m_tasks;
    const bool settled = tasks[index]->m_phase == TaskPhase::Done;
    const bool counted = contains(tasks[index]->m_failedRuns, end.m_run);
    const bool failure = end.m_kind == RunEndKind::Failed && !spec.m_longRunning && !settled && !counted;
    if (!settled) {
        tasks[index] = afterEnd(*tasks[index], end, worker, now);
    }
    const auto changed = makeStep(std::move(tasks));
    auto change = changeOf(*job);
    change.m_occurrences = withStep(*job, end.m_task.m_occurrence, end.m_task.m_step, changed);
    if (failure) {
        change.m_version += 1;
        if (failedAttempts(*job->m_spec, *changed, end.m_task.m_step, end.m_task.m_index) >= job->m_maxAttempts) {
            change.m_outcome = JobOutcome::Failed;
            change.m_changedAt = now;
        }
    }
    return RunEndEffect{.m_job = changedJob(*job, std::move(change)), .m_mustRecord = failure, .m_countedFailure = failure};
}

RunEndEffect applyRunEnd(const JobPointer &job, const RunEnd &end, const std::string &worker, Instant now)
{
    const auto step = findStep(*job, end.m_task.m_occurrence, end.m_task.m_step);
    const bool known = step && end.m_task.m_index >= 0 && end.m_task.m_index < static_cast<int>(step->m_tasks.size());
    if (!known || job->m_outcome != JobOutcome::Active) {
        // The place must be given free even though the outcome is settled.
        if (known && findTask(*job, end.m_task)->m_phase != TaskPhase::Done) {
            const auto task = findTask(*job, end.m_task);
            return RunEndEffect{.m_job = withTask(*job, end.m_task, afterEnd(*task, end, worker, now)), .m_mustRecord = false, .m_countedFailure = false};
        }
        return RunEndEffect{.m_job = job, .m_mustRecord = false, .m_countedFailure = false};
    }
    const auto &spec = job->m_spec->m_steps[static_cast<std::size_t>(end.m_task.m_step)];
    if (end.m_kind == RunEndKind::Done && !spec.m_longRunning) {
        return applyDone(job, end, *step, spec.m_gang, now);
    }
    return applyOtherEnd(job, end, *step, spec, worker, now);
}

JobPointer withCancellation(const JobState &job, Instant now)
{
    auto change = changeOf(job);
    if (job.m_outcome == JobOutcome::Active) {
        change.m_outcome = JobOutcome::Cancelled;
        change.m_version += 1;
        change.m_changedAt = now;
    }
    return changedJob(job, std::move(change));
}

JobPointer withRecordedVersion(const JobState &job, std::int64_t version, JobOutcome outcome)
{
    const bool newer = version >= job.m_recordedVersion;
    return std::make_shared<const JobState>(JobState{
        .m_spec = job.m_spec,
        .m_maxAttempts = job.m_maxAttempts,
        .m_outcome = job.m_outcome,
        .m_occurrences = job.m_occurrences,
        .m_nextOccurrence = job.m_nextOccurrence,
        .m_version = job.m_version,
        .m_recordedVersion = newer ? version : job.m_recordedVersion,
        .m_recordedOutcome = newer ? outcome : job.m_recordedOutcome,
        .m_changedAt = job.m_changedAt,
    });
}

bool isStepReady(const JobSpec &spec, const OccurrenceState &occurrence, int step)
{
    const auto &after = spec.m_steps[static_cast<std::size_t>(step)].m_after;
    return std::all_of(after.begin(), after.end(), [&](int before) {
        const auto &earlier = *occurrence.m_steps[static_cast<std::size_t>(before)];
        return earlier.m_doneTaskCount == static_cast<int>(earlier.m_tasks.size());
    });
}

static bool hasLeftQueue(const TaskState &task)
{
    return task.m_phase != TaskPhase::Waiting || task.m_run > 0;
}

bool hasJobStarted(const JobState &job)
{
    if (job.m_spec->m_schedule.m_count > 0 && job.m_nextOccurrence > 0) {
        return true;
    }
    for (const auto &occurrence : job.m_occurrences) {
        for (const auto &step : occurrence->m_steps) {
            if (std::any_of(step->m_tasks.begin(), step->m_tasks.end(), [](const auto &task) { return hasLeftQueue(*task); })) {
                return true;
            }
        }
    }
    return false;
}

} // namespace PrimroseBridge
