#pragma once

#include "primrosebridge/Model/time.h"
#include "primrosebridge/Work/job.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// The scheduling state of a task.
enum class TaskPhase {
    Waiting, ///< The task has no known run on any worker.
    Starting, ///< A start order was sent, and its outcome is not yet known.
    Running,
    Stopping, ///< A stop order was sent; the task still occupies capacity on the worker.
    Done,
};

/// One incarnation of a worker process. A worker that restarts keeps its identifier, but has a new start time and has lost all runs of
/// its earlier incarnation.
struct WorkerIncarnation {
    const std::string m_worker; ///< Worker identifier.
    const std::int64_t m_startedAtMs; ///< Unix time of the worker's start, in milliseconds.

    bool operator==(const WorkerIncarnation &) const = default;
    auto operator<=>(const WorkerIncarnation &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

/// The state of one task. Immutable; the functions below return changed copies.
struct TaskState {
    const TaskPhase m_phase;
    const std::shared_ptr<const WorkerIncarnation> m_assignedWorker; ///< Null unless starting, running or stopping.
    const std::int64_t m_runNumber; ///< Number of the present run; while the task has none, m_highestRunNumber.
    /// Highest number of any known run; each start gets a higher one. It is above m_runNumber if a worker has reported the end of a run of a
    /// former owner that had got further.
    const std::int64_t m_highestRunNumber;
    /// Numbers of the runs that failed. A worker may report a run end to a new owner although the previous owner has already counted it;
    /// the numbers prevent counting a failure twice.
    const std::vector<std::int64_t> m_failedRuns;
    const std::string m_checkpoint; ///< Newest known checkpoint; empty if there is none.
    const int m_percent; ///< Progress of the current run.
    const Instant m_phaseSince; ///< Time of the last phase change, on the boot clock of this VM.
    const Instant m_progressAt; ///< Time of the last change of m_percent, on the boot clock of this VM.
    const bool m_orderUnanswered; ///< The worker did not answer the last order, so it may or may not have carried it out.
    const std::vector<std::string> m_failedWorkers; ///< Identifiers of the workers on which a run failed.

    bool operator==(const TaskState &) const = default;
};

using TaskPointer = std::shared_ptr<const TaskState>;

/// The state of one step of an occurrence.
struct StepState {
    const std::vector<TaskPointer> m_tasks;
    const int m_doneTaskCount; ///< Number of tasks in phase Done.

    bool operator==(const StepState &) const = default;
};

using StepPointer = std::shared_ptr<const StepState>;

/// The state of one occurrence of a job. A job that runs once has a single occurrence.
struct OccurrenceState {
    const std::int64_t m_number;
    const std::vector<StepPointer> m_steps;

    bool operator==(const OccurrenceState &) const = default;
};

using OccurrencePointer = std::shared_ptr<const OccurrenceState>;

/// The outcome of a job.
enum class JobOutcome {
    Active,
    Complete,
    Failed,
    Cancelled,
};

/// Returns the outcome's name in lower_snake_case, for logs and records. Thread-safe.
std::string_view outcomeName(JobOutcome outcome);

/// The state of one job.
struct JobState {
    const JobSpecPointer m_spec;
    /// Number of failed runs of a task after which the job fails. Empty while no configuration that names the queue is known; the job cannot
    /// fail until then. It is fixed once known, so that a job is judged by one number across takeovers and later configurations.
    const std::optional<int> m_maxAttempts;
    const JobOutcome m_outcome;
    /// Occurrences that have been created and are not complete, in ascending order. A job that runs once keeps its occurrence.
    const std::vector<OccurrencePointer> m_occurrences;
    const std::int64_t m_nextOccurrence; ///< Number of the first occurrence that has not been created yet; it may be due, see OccurrenceLimits.
    const std::int64_t m_version; ///< Increases with each change that must be written to the store.
    const std::int64_t m_recordedVersion; ///< Newest version that the store has acknowledged.
    const JobOutcome m_recordedOutcome; ///< Outcome in m_recordedVersion. Only this outcome is reported to callers.
    const Instant m_changedAt; ///< Time of the last change of the outcome, on the boot clock of this VM.

    bool operator==(const JobState &) const = default;
};

using JobPointer = std::shared_ptr<const JobState>;

/// How a run ended, as the worker reports it.
enum class RunEndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< The task lease expired.
    GangMemberEnded, ///< Another member of the gang ended.
    GangMembersMissing, ///< The other members of the gang did not start in time.
};

/// The end of one run, as the worker reports it.
struct RunEnd {
    const std::int64_t m_number; ///< Sequence number that the worker gives to each run end.
    const TaskReference m_task;
    const std::int64_t m_runNumber;
    const RunEndKind m_kind;
    const std::string m_checkpoint;

    bool operator==(const RunEnd &) const = default;
};

/// Limits of the occurrences of one job that are held in memory at a time. A job may be due a million times; the others are only counted.
struct OccurrenceLimits {
    /// Occurrences that are created ahead of their first start. One pass starts at most these; the next pass has further ones.
    static constexpr std::size_t maxUnstarted = 256;
    static constexpr std::size_t maxOpen = 4096;
    /// Estimated size of the progress record, which also limits the open occurrences. Half of the usual value limit of the platform's store.
    static constexpr std::size_t maxRecordBytes = std::size_t(512) * 1024;
    /// Occurrences beyond JobState::m_nextOccurrence that a reported run may create. Former releases created all that were due.
    static constexpr std::int64_t maxAhead = 65'536;
};

/// Returns the initial state of a job that was just accepted, or that has no progress record in the store; @p maxAttempts as in
/// JobState::m_maxAttempts. Thread-safe.
JobPointer newJobState(JobSpecPointer spec, std::optional<int> maxAttempts, Instant now);

/// Returns the occurrence, or null if the job does not have it at present. Thread-safe.
OccurrencePointer findOccurrence(const JobState &job, std::int64_t number);

/// Returns true if no task of the occurrence was ever started or is done. Thread-safe.
bool isUnstarted(const OccurrenceState &occurrence);

/// Returns the number from which on the created occurrences of a repeated job are unstarted and none is missing. They need no record: a successor
/// creates them again, because they are due. Returns JobState::m_nextOccurrence if there are none. Thread-safe.
std::int64_t firstOfUnstartedTail(const JobState &job);

/// Returns the task, or null if the job has no such task at present. Thread-safe.
TaskPointer findTask(const JobState &job, const TaskReference &task);

/// Returns the step, or null if the job has no such step at present. Thread-safe.
StepPointer findStep(const JobState &job, std::int64_t occurrence, int step);

/// Returns the job with one task replaced. Precondition: findTask() finds @p reference. Thread-safe.
JobPointer withTask(const JobState &job, const TaskReference &reference, TaskPointer task);

/// Returns a copy of the job that also has the occurrences that have become due by @p wallNow, as far as OccurrenceLimits allows, or @p job itself
/// if there are none. @p wallNow is a wall clock time, and @p now is a boot clock time; @p maxRecordBytes replaces the limit of that name.
/// Thread-safe.
JobPointer withDueOccurrences(const JobPointer &job, Instant wallNow, Instant now, std::size_t maxRecordBytes = OccurrenceLimits::maxRecordBytes);

/// Returns a copy of the job that also has the occurrences up to @p number, or @p job itself if it has them, if its schedule does not contain
/// @p number, or if @p number is more than OccurrenceLimits::maxAhead away. A run of an occurrence shows that it is due, whatever the wall clock of this VM
/// says. Thread-safe.
JobPointer withOccurrencesUpTo(const JobPointer &job, std::int64_t number, Instant now);

/// Returns the task after an order to start run number @p runNumber on @p assignedWorker was issued. Thread-safe.
TaskPointer startingTask(const TaskState &task, std::shared_ptr<const WorkerIncarnation> assignedWorker, std::int64_t runNumber, Instant now);
/// Returns the task in another phase on the same worker. Thread-safe.
TaskPointer taskInPhase(const TaskState &task, TaskPhase phase, bool orderUnanswered, Instant now);
/// Returns the task in phase Waiting, assigned to no worker. Thread-safe.
TaskPointer waitingTask(const TaskState &task, Instant now);
/// Returns the running task with the progress that @p assignedWorker reports. Thread-safe.
TaskPointer reportedTask(const TaskState &task,
                         std::shared_ptr<const WorkerIncarnation> assignedWorker,
                         std::int64_t runNumber,
                         const std::string &checkpoint,
                         int percent,
                         Instant now);

/// The effect of a run end on its job.
struct RunEndEffect {
    const JobPointer m_job;
    const bool m_mustRecord; ///< The job's progress must be written to the store before the run end is acknowledged to the worker.
    const bool m_countedFailure; ///< The run end counts as a failed attempt.

    bool operator==(const RunEndEffect &) const = default;
};

/// Applies a run end that @p worker reports. The end of a run that is no longer the task's current one leaves the phase and the worker
/// of the task unchanged, but a completion, a failure and a checkpoint still count. Thread-safe.
RunEndEffect applyRunEnd(const JobPointer &job, const RunEnd &end, const std::string &worker, Instant now);

/// Returns the job with its number of attempts, now that it is known. The job has the outcome Failed if one of its tasks or gangs has
/// already failed that many times; the change must then be recorded. Thread-safe.
JobPointer withMaxAttempts(const JobState &job, int maxAttempts, Instant now);

/// Returns the job with the outcome Cancelled, or an equal copy if its outcome is already final. Thread-safe.
JobPointer withCancellation(const JobState &job, Instant now);

/// Returns the job after the store has acknowledged a progress record with @p version and @p outcome. Thread-safe.
JobPointer withRecordedVersion(const JobState &job, std::int64_t version, JobOutcome outcome);

/// Returns the number of failed runs of the task. For a gang, counts the failed runs of all members, each run number once. Thread-safe.
int failedAttempts(const JobSpec &spec, const StepState &state, int step, int index);

/// Returns true if every step that @p step depends on is done. Thread-safe.
bool isStepReady(const JobSpec &spec, const OccurrenceState &occurrence, int step);

/// Returns true if a start of any task was ordered, or if an occurrence of a repeated job has become due. Thread-safe.
bool hasJobStarted(const JobState &job);

} // namespace PrimroseBridge
