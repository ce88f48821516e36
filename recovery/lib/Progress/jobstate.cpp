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

static TaskPointer newTask(Instant now)
{
    return std::make_shared<const TaskState>(TaskState{
        .m_phase = TaskPhase::Waiting,
        .m_assignedWorker = nullptr,
        .m_runNumber = 0,
        .m_highestRunNumber = 0,
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
    const auto task = newTask(now);
    for (const auto &step : spec.m_steps) {
        steps.push_back(std::make_shared<const StepState>(
            StepState{.m_tasks = std::vector<TaskPointer>(static_cast<std::size_t>(step.m_taskCount), task), .m_doneTaskCount = 0}));
    }
    return std::make_shared<const OccurrenceState>(OccurrenceState{.m_number = number, .m_steps = std::move(steps)});
}

// The fields of a job that most functions change. jobFrom() copies the others from the original.
struct JobUpdate {
    JobOutcome m_outcome;
    std::vector<OccurrencePointer> m_occurrences;
    std::int64_t m_nextOccurrence;
    std::int64_t m_version;
    Instant m_changedAt;
};

static JobUpdate updateFrom(const JobState &job)
{
    return JobUpdate{
        .m_outcome = job.m_outcome,
        .m_occurrences = job.m_occurrences,
        .m_nextOccurrence = job.m_nextOccurrence,
        .m_version = job.m_version,
        .m_changedAt = job.m_changedAt,
    };
}

static JobPointer jobFrom(const JobState &job, JobUpdate update)
{
    return std::make_shared<const JobState>(JobState{
        .m_spec = job.m_spec,
        .m_maxAttempts = job.m_maxAttempts,
        .m_outcome = update.m_outcome,
        .m_occurrences = std::move(update.m_occurrences),
        .m_nextOccurrence = update.m_nextOccurrence,
        .m_version = update.m_version,
        .m_recordedVersion = job.m_recordedVersion,
        .m_recordedOutcome = job.m_recordedOutcome,
        .m_changedAt = update.m_changedAt,
    });
}

JobPointer newJobState(JobSpecPointer spec, std::optional<int> maxAttempts, Instant now)
{
    std::vector<OccurrencePointer> occurrences;
    const bool repeated = spec->m_schedule.m_count > 0;
    if (!repeated) {
        occurrences.push_back(newOccurrence(*spec, 0, now));
    }
    return std::make_shared<const JobState>(JobState{
        .m_spec = std::move(spec),
        .m_maxAttempts = maxAttempts,
        .m_outcome = JobOutcome::Active,
        .m_occurrences = std::move(occurrences),
        .m_nextOccurrence = repeated ? 0 : 1,
        .m_version = 0,
        .m_recordedVersion = 0,
        .m_recordedOutcome = JobOutcome::Active,
        .m_changedAt = now,
    });
}

OccurrencePointer findOccurrence(const JobState &job, std::int64_t number)
{
    const auto &all = job.m_occurrences;
    const auto found
        = std::lower_bound(all.begin(), all.end(), number, [](const auto &occurrence, std::int64_t wanted) { return occurrence->m_number < wanted; });
    return found != all.end() && (*found)->m_number == number ? *found : nullptr;
}

bool isUnstarted(const OccurrenceState &occurrence)
{
    return std::all_of(occurrence.m_steps.begin(), occurrence.m_steps.end(), [](const auto &step) {
        return step->m_doneTaskCount == 0 && std::all_of(step->m_tasks.begin(), step->m_tasks.end(), [](const auto &task) {
                   return task->m_phase == TaskPhase::Waiting && task->m_highestRunNumber == 0 && task->m_failedRuns.empty();
               });
    });
}

std::int64_t firstOfUnstartedTail(const JobState &job)
{
    auto first = job.m_nextOccurrence;
    for (auto occurrence = job.m_occurrences.rbegin(); job.m_spec->m_schedule.m_count > 0 && occurrence != job.m_occurrences.rend(); ++occurrence) {
        if ((*occurrence)->m_number != first - 1 || !isUnstarted(**occurrence)) {
            break;
        }
        first = (*occurrence)->m_number;
    }
    return first;
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

static std::vector<OccurrencePointer> occurrencesWithStep(const JobState &job, std::int64_t number, int step, StepPointer changed)
{
    auto occurrences = job.m_occurrences;
    const auto found = std::lower_bound(
        occurrences.begin(), occurrences.end(), number, [](const auto &occurrence, std::int64_t wanted) { return occurrence->m_number < wanted; });
    assert(found != occurrences.end() && (*found)->m_number == number && "occurrencesWithStep() requires an existing occurrence");
    auto steps = (*found)->m_steps;
    steps[static_cast<std::size_t>(step)] = std::move(changed);
    *found = std::make_shared<const OccurrenceState>(OccurrenceState{.m_number = number, .m_steps = std::move(steps)});
    return occurrences;
}

JobPointer withTask(const JobState &job, const TaskReference &reference, TaskPointer task)
{
    const auto step = findStep(job, reference.m_occurrence, reference.m_step);
    assert(step && "withTask() requires an existing task");
    auto tasks = step->m_tasks;
    tasks[static_cast<std::size_t>(reference.m_index)] = std::move(task);
    auto update = updateFrom(job);
    update.m_occurrences = occurrencesWithStep(job, reference.m_occurrence, reference.m_step, makeStep(std::move(tasks)));
    return jobFrom(job, std::move(update));
}

// Returns an upper estimate of the bytes that a progress record needs for one occurrence, with a checkpoint of 32 bytes for each task.
static std::size_t estimatedRecordBytes(const JobSpec &spec)
{
    constexpr std::size_t bytesPerItem = 32; // An occurrence, and a step, without their tasks.
    constexpr std::size_t bytesPerTask = 64;
    std::size_t bytes = bytesPerItem;
    for (const auto &step : spec.m_steps) {
        bytes += bytesPerItem + bytesPerTask * static_cast<std::size_t>(step.m_taskCount);
    }
    return bytes;
}

// Returns how many occurrences may be added to the job.
static std::size_t occurrencesToAdd(const JobState &job, std::size_t maxRecordBytes)
{
    const auto open = job.m_occurrences.size();
    const auto maxOpen = std::clamp<std::size_t>(maxRecordBytes / estimatedRecordBytes(*job.m_spec), 1, OccurrenceLimits::maxOpen);
    std::size_t unstarted = 0;
    for (auto occurrence = job.m_occurrences.rbegin(); occurrence != job.m_occurrences.rend() && unstarted < OccurrenceLimits::maxUnstarted; ++occurrence) {
        unstarted += isUnstarted(**occurrence) ? 1 : 0;
    }
    return open < maxOpen ? std::min(maxOpen - open, OccurrenceLimits::maxUnstarted - unstarted) : 0;
}

JobPointer withDueOccurrences(const JobPointer &job, Instant wallNow, Instant now, std::size_t maxRecordBytes)
{
    const auto &schedule = job->m_spec->m_schedule;
    const auto isDue = [&](std::int64_t number) { return number < schedule.m_count && schedule.m_firstDue + schedule.m_interval * number <= wallNow; };
    if (job->m_outcome != JobOutcome::Active || !isDue(job->m_nextOccurrence)) {
        return job;
    }
    auto update = updateFrom(*job);
    for (auto left = occurrencesToAdd(*job, maxRecordBytes); left > 0 && isDue(update.m_nextOccurrence); --left) {
        update.m_occurrences.push_back(newOccurrence(*job->m_spec, update.m_nextOccurrence, now));
        ++update.m_nextOccurrence;
    }
    return update.m_nextOccurrence == job->m_nextOccurrence ? job : jobFrom(*job, std::move(update));
}

JobPointer withOccurrencesUpTo(const JobPointer &job, std::int64_t number, Instant now)
{
    if (job->m_outcome != JobOutcome::Active || number < job->m_nextOccurrence || number >= job->m_spec->m_schedule.m_count
        || number - job->m_nextOccurrence >= OccurrenceLimits::maxAhead) {
        return job;
    }
    auto update = updateFrom(*job);
    while (update.m_nextOccurrence <= number) {
        update.m_occurrences.push_back(newOccurrence(*job->m_spec, update.m_nextOccurrence, now));
        ++update.m_nextOccurrence;
    }
    return jobFrom(*job, std::move(update));
}

// A mutable copy of a task state.
struct TaskUpdate {
    TaskPhase m_phase;
    std::shared_ptr<const WorkerIncarnation> m_assignedWorker;
    std::int64_t m_runNumber;
    std::int64_t m_highestRunNumber;
    std::vector<std::int64_t> m_failedRuns;
    std::string m_checkpoint;
    int m_percent;
    Instant m_phaseSince;
    Instant m_progressAt;
    bool m_orderUnanswered;
    std::vector<std::string> m_failedWorkers;
};

static TaskUpdate updateFrom(const TaskState &task)
{
    return TaskUpdate{
        .m_phase = task.m_phase,
        .m_assignedWorker = task.m_assignedWorker,
        .m_runNumber = task.m_runNumber,
        .m_highestRunNumber = task.m_highestRunNumber,
        .m_failedRuns = task.m_failedRuns,
        .m_checkpoint = task.m_checkpoint,
        .m_percent = task.m_percent,
        .m_phaseSince = task.m_phaseSince,
        .m_progressAt = task.m_progressAt,
        .m_orderUnanswered = task.m_orderUnanswered,
        .m_failedWorkers = task.m_failedWorkers,
    };
}

// Keeps the two run numbers consistent.
static TaskPointer taskFrom(TaskUpdate update)
{
    const auto highest = std::max(update.m_highestRunNumber, update.m_runNumber);
    return std::make_shared<const TaskState>(TaskState{
        .m_phase = update.m_phase,
        .m_assignedWorker = update.m_assignedWorker,
        .m_runNumber = update.m_assignedWorker ? update.m_runNumber : highest,
        .m_highestRunNumber = highest,
        .m_failedRuns = std::move(update.m_failedRuns),
        .m_checkpoint = std::move(update.m_checkpoint),
        .m_percent = update.m_percent,
        .m_phaseSince = update.m_phaseSince,
        .m_progressAt = update.m_progressAt,
        .m_orderUnanswered = update.m_orderUnanswered,
        .m_failedWorkers = std::move(update.m_failedWorkers),
    });
}

TaskPointer startingTask(const TaskState &task, std::shared_ptr<const WorkerIncarnation> assignedWorker, std::int64_t runNumber, Instant now)
{
    auto update = updateFrom(task);
    update.m_phase = TaskPhase::Starting;
    update.m_assignedWorker = std::move(assignedWorker);
    update.m_runNumber = runNumber;
    update.m_percent = 0;
    update.m_phaseSince = now;
    update.m_progressAt = now;
    update.m_orderUnanswered = false;
    return taskFrom(std::move(update));
}

TaskPointer taskInPhase(const TaskState &task, TaskPhase phase, bool orderUnanswered, Instant now)
{
    auto update = updateFrom(task);
    update.m_phase = phase;
    update.m_phaseSince = now;
    update.m_orderUnanswered = orderUnanswered;
    if (phase == TaskPhase::Running) {
        update.m_progressAt = now;
    }
    return taskFrom(std::move(update));
}

TaskPointer waitingTask(const TaskState &task, Instant now)
{
    auto update = updateFrom(task);
    update.m_phase = TaskPhase::Waiting;
    update.m_assignedWorker = nullptr;
    update.m_percent = 0;
    update.m_phaseSince = now;
    update.m_orderUnanswered = false;
    return taskFrom(std::move(update));
}

TaskPointer reportedTask(const TaskState &task,
                         std::shared_ptr<const WorkerIncarnation> assignedWorker,
                         std::int64_t runNumber,
                         const std::string &checkpoint,
                         int percent,
                         Instant now)
{
    auto update = updateFrom(task);
    const bool samePhase = task.m_phase == TaskPhase::Running && task.m_runNumber == runNumber;
    if (!samePhase) {
        update.m_phase = TaskPhase::Running;
        update.m_phaseSince = now;
        update.m_orderUnanswered = false;
    }
    if (!samePhase || percent != task.m_percent) {
        update.m_progressAt = now;
    }
    update.m_assignedWorker = std::move(assignedWorker);
    update.m_runNumber = runNumber;
    update.m_percent = percent;
    if (!checkpoint.empty()) {
        update.m_checkpoint = checkpoint;
    }
    return taskFrom(std::move(update));
}

static TaskPointer doneTask(const TaskState &task, std::int64_t runNumber, Instant now)
{
    auto update = updateFrom(task);
    update.m_phase = TaskPhase::Done;
    update.m_assignedWorker = nullptr;
    update.m_highestRunNumber = std::max(update.m_highestRunNumber, runNumber);
    update.m_percent = 100;
    update.m_phaseSince = now;
    update.m_orderUnanswered = false;
    return taskFrom(std::move(update));
}

static bool isOccurrenceDone(const OccurrenceState &occurrence)
{
    return std::all_of(
        occurrence.m_steps.begin(), occurrence.m_steps.end(), [](const auto &step) { return step->m_doneTaskCount == static_cast<int>(step->m_tasks.size()); });
}

// Removes completed occurrences of a repeated job, which bounds the size of its state. Sets the outcome to Complete once every
// occurrence is done.
static void updateCompletion(JobUpdate &update, const JobSpec &spec, Instant now)
{
    if (spec.m_schedule.m_count > 0) {
        std::erase_if(update.m_occurrences, [](const auto &occurrence) { return isOccurrenceDone(*occurrence); });
    }
    const bool allDue = update.m_nextOccurrence >= std::max<std::int64_t>(spec.m_schedule.m_count, 1);
    const bool allDone
        = std::all_of(update.m_occurrences.begin(), update.m_occurrences.end(), [](const auto &occurrence) { return isOccurrenceDone(*occurrence); });
    if (allDue && allDone) {
        update.m_outcome = JobOutcome::Complete;
        update.m_changedAt = now;
    }
}

// When one member of a gang reports completion, all its members are done.
static RunEndEffect applyCompletedRun(const JobPointer &job, const RunEnd &end, const StepState &step, bool gang, Instant now)
{
    auto tasks = step.m_tasks;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const bool affected = gang || static_cast<int>(index) == end.m_task.m_index;
        if (affected && tasks[index]->m_phase != TaskPhase::Done) {
            tasks[index] = doneTask(*tasks[index], end.m_runNumber, now);
        }
    }
    auto update = updateFrom(*job);
    update.m_occurrences = occurrencesWithStep(*job, end.m_task.m_occurrence, end.m_task.m_step, makeStep(std::move(tasks)));
    update.m_version += 1;
    updateCompletion(update, *job->m_spec, now);
    return RunEndEffect{.m_job = jobFrom(*job, std::move(update)), .m_mustRecord = true, .m_countedFailure = false};
}

static bool containsRun(const std::vector<std::int64_t> &runs, std::int64_t runNumber)
{
    return std::find(runs.begin(), runs.end(), runNumber) != runs.end();
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

static TaskPointer taskAfterRunEnd(const TaskState &task, const RunEnd &end, const std::string &worker, Instant now)
{
    auto update = updateFrom(task);
    if (!end.m_checkpoint.empty()) {
        update.m_checkpoint = end.m_checkpoint;
    }
    const bool current = task.m_runNumber == end.m_runNumber && task.m_assignedWorker && task.m_assignedWorker->m_worker == worker;
    if (current) {
        update.m_phase = TaskPhase::Waiting;
        update.m_assignedWorker = nullptr;
        update.m_percent = 0;
        update.m_phaseSince = now;
        update.m_orderUnanswered = false;
    }
    update.m_highestRunNumber = std::max(update.m_highestRunNumber, end.m_runNumber);
    if (end.m_kind == RunEndKind::Failed) {
        if (!containsRun(update.m_failedRuns, end.m_runNumber)) {
            update.m_failedRuns.push_back(end.m_runNumber);
        }
        if (std::find(update.m_failedWorkers.begin(), update.m_failedWorkers.end(), worker) == update.m_failedWorkers.end()) {
            update.m_failedWorkers.push_back(worker);
        }
    }
    return taskFrom(std::move(update));
}

static RunEndEffect
applyUncompletedRun(const JobPointer &job, const RunEnd &end, const StepState &step, const JobStep &spec, const std::string &worker, Instant now)
{
    const auto index = static_cast<std::size_t>(end.m_task.m_index);
    auto tasks = step.m_tasks;
    const bool taskDone = tasks[index]->m_phase == TaskPhase::Done;
    const bool alreadyCounted = containsRun(tasks[index]->m_failedRuns, end.m_runNumber);
    const bool failure = end.m_kind == RunEndKind::Failed && !spec.m_longRunning && !taskDone && !alreadyCounted;
    if (!taskDone) {
        tasks[index] = taskAfterRunEnd(*tasks[index], end, worker, now);
    }
    const auto changed = makeStep(std::move(tasks));
    auto update = updateFrom(*job);
    update.m_occurrences = occurrencesWithStep(*job, end.m_task.m_occurrence, end.m_task.m_step, changed);
    if (failure) {
        update.m_version += 1;
        if (job->m_maxAttempts && failedAttempts(*job->m_spec, *changed, end.m_task.m_step, end.m_task.m_index) >= *job->m_maxAttempts) {
            update.m_outcome = JobOutcome::Failed;
            update.m_changedAt = now;
        }
    }
    return RunEndEffect{.m_job = jobFrom(*job, std::move(update)), .m_mustRecord = failure, .m_countedFailure = failure};
}

RunEndEffect applyRunEnd(const JobPointer &job, const RunEnd &end, const std::string &worker, Instant now)
{
    const auto step = findStep(*job, end.m_task.m_occurrence, end.m_task.m_step);
    const bool known = step && end.m_task.m_index >= 0 && end.m_task.m_index < static_cast<int>(step->m_tasks.size());
    if (!known || job->m_outcome != JobOutcome::Active) {
        // The task's assignment to the worker must be cleared even if the job's outcome is final.
        if (known && findTask(*job, end.m_task)->m_phase != TaskPhase::Done) {
            const auto task = findTask(*job, end.m_task);
            return RunEndEffect{
                .m_job = withTask(*job, end.m_task, taskAfterRunEnd(*task, end, worker, now)), .m_mustRecord = false, .m_countedFailure = false};
        }
        return RunEndEffect{.m_job = job, .m_mustRecord = false, .m_countedFailure = false};
    }
    const auto &spec = job->m_spec->m_steps[static_cast<std::size_t>(end.m_task.m_step)];
    if (end.m_kind == RunEndKind::Done && !spec.m_longRunning) {
        return applyCompletedRun(job, end, *step, spec.m_gang, now);
    }
    return applyUncompletedRun(job, end, *step, spec, worker, now);
}

static bool hasFailedAttempts(const JobState &job, int maxAttempts)
{
    for (const auto &occurrence : job.m_occurrences) {
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            const auto tasks = static_cast<int>(occurrence->m_steps[step]->m_tasks.size());
            for (int index = 0; !job.m_spec->m_steps[step].m_longRunning && index < tasks; ++index) {
                if (failedAttempts(*job.m_spec, *occurrence->m_steps[step], static_cast<int>(step), index) >= maxAttempts) {
                    return true;
                }
            }
        }
    }
    return false;
}

JobPointer withMaxAttempts(const JobState &job, int maxAttempts, Instant now)
{
    const bool fails = job.m_outcome == JobOutcome::Active && hasFailedAttempts(job, maxAttempts);
    return std::make_shared<const JobState>(JobState{
        .m_spec = job.m_spec,
        .m_maxAttempts = maxAttempts,
        .m_outcome = fails ? JobOutcome::Failed : job.m_outcome,
        .m_occurrences = job.m_occurrences,
        .m_nextOccurrence = job.m_nextOccurrence,
        .m_version = job.m_version + (fails ? 1 : 0),
        .m_recordedVersion = job.m_recordedVersion,
        .m_recordedOutcome = job.m_recordedOutcome,
        .m_changedAt = fails ? now : job.m_changedAt,
    });
}

JobPointer withCancellation(const JobState &job, Instant now)
{
    auto update = updateFrom(job);
    if (job.m_outcome == JobOutcome::Active) {
        update.m_outcome = JobOutcome::Cancelled;
        update.m_version += 1;
        update.m_changedAt = now;
    }
    return jobFrom(job, std::move(update));
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
    const auto &dependencies = spec.m_steps[static_cast<std::size_t>(step)].m_after;
    return std::all_of(dependencies.begin(), dependencies.end(), [&](int dependency) {
        const auto &dependencyState = *occurrence.m_steps[static_cast<std::size_t>(dependency)];
        return dependencyState.m_doneTaskCount == static_cast<int>(dependencyState.m_tasks.size());
    });
}

static bool wasStarted(const TaskState &task)
{
    return task.m_phase != TaskPhase::Waiting || task.m_runNumber > 0;
}

bool hasJobStarted(const JobState &job)
{
    if (job.m_spec->m_schedule.m_count > 0 && job.m_nextOccurrence > 0) {
        return true;
    }
    for (const auto &occurrence : job.m_occurrences) {
        for (const auto &step : occurrence->m_steps) {
            if (std::any_of(step->m_tasks.begin(), step->m_tasks.end(), [](const auto &task) { return wasStarted(*task); })) {
                return true;
            }
        }
    }
    return false;
}

} // namespace PrimroseBridge
