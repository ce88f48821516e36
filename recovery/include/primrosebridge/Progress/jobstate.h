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

/// Where a task stands.
enum class TaskPhase {
    Waiting, ///< Runs nowhere, as far as is known for certain.
    Starting, ///< The start order is under way or its outcome is unknown.
    Running,
    Stopping, ///< A stop order is under way; the worker's capacity is still taken.
    Done,
};

/// One life of a worker: the same identifier with another start time is another life, which knows nothing of this one.
struct WorkerIncarnation {
    const std::string m_worker;
    const std::int64_t m_startedAtMs; ///< Unix milliseconds of the worker's start.

    bool operator==(const WorkerIncarnation &) const = default;
    auto operator<=>(const WorkerIncarnation &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// The state of one task. Immutable; the functions below return changed copies.
struct TaskState {
    const TaskPhase m_phase;
    const std::shared_ptr<const WorkerIncarnation> m_assignedWorker; ///< Null unless starting, running or stopping.
    const std::int64_t m_run; ///< Highest run number used so far.
    /// Numbers of the runs that ended as failed. A new owner is told of ends again that were counted before; the numbers keep
    /// it from counting them twice.
    const std::vector<std::int64_t> m_failedRuns;
    const std::string m_checkpoint; ///< Newest known; empty if none.
    const int m_percent; ///< Of the current run's work.
    const Instant m_phaseSince; ///< Boot clock of this VM.
    const Instant m_progressAt; ///< Boot clock at the last change of m_percent.
    const bool m_orderUnanswered; ///< The last order got no answer.
    const std::vector<std::string> m_failedWorkers; ///< Workers on which a run failed.

    bool operator==(const TaskState &) const = default;
};

using TaskPointer = std::shared_ptr<const TaskState>;

/// One step of one occurrence.
struct StepState {
    const std::vector<TaskPointer> m_tasks;
    const int m_doneTaskCount; ///< Tasks in phase Done.

    bool operator==(const StepState &) const = default;
};

using StepPointer = std::shared_ptr<const StepState>;

/// One occurrence of a job.
struct OccurrenceState {
    const std::int64_t m_number;
    const std::vector<StepPointer> m_steps;

    bool operator==(const OccurrenceState &) const = default;
};

using OccurrencePointer = std::shared_ptr<const OccurrenceState>;

/// What a caller is told about a job.
enum class JobOutcome {
    Active,
    Complete,
    Failed,
    Cancelled,
};

/// The outcome's name in lower_snake_case, for logs and records. Thread-safe.
std::string_view outcomeName(JobOutcome outcome);

/// The state of one job.
struct JobState {
    const JobSpecPointer m_spec;
    const int m_maxAttempts; ///< Of the queue at the time of acceptance or takeover.
    const JobOutcome m_outcome;
    const std::vector<OccurrencePointer> m_occurrences; ///< Those that are due and not complete; all of them for a job that runs once.
    const std::int64_t m_nextOccurrence; ///< First one that is not due yet.
    const std::int64_t m_version; ///< Rises with each change that must be recorded.
    const std::int64_t m_recordedVersion; ///< Newest version that the store has acknowledged.
    const JobOutcome m_recordedOutcome; ///< Outcome in that version; callers are told no other.
    const Instant m_changedAt; ///< Boot clock at the last change of the outcome.

    bool operator==(const JobState &) const = default;
};

using JobPointer = std::shared_ptr<const JobState>;

/// How a run ended, as the worker lists it.
enum class RunEndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired, ///< Its lease ran out.
    GangMemberEnded, ///< Another member of its gang ended.
    GangMembersMissing, ///< The other members of its gang did not arrive in time.
};

/// The end of one run.
struct RunEnd {
    const std::int64_t m_number; ///< The worker's own count.
    const TaskReference m_task;
    const std::int64_t m_run;
    const RunEndKind m_kind;
    const std::string m_checkpoint;

    bool operator==(const RunEnd &) const = default;
};

/// A job that has just been accepted, or one read from the store without recorded progress. Thread-safe.
JobPointer newJobState(JobSpecPointer spec, int attempts, Instant now);

/// The task, or null if the job has no such task at present. Thread-safe.
TaskPointer findTask(const JobState &job, const TaskReference &task);

/// The step that holds the task, or null. Thread-safe.
StepPointer findStep(const JobState &job, std::int64_t occurrence, int step);

/// The job with one task replaced. Precondition: findTask() finds it. Thread-safe.
JobPointer withTask(const JobState &job, const TaskReference &reference, TaskPointer task);

/// Occurrences that are due by @p wallNow added. Returns @p job if none is. Thread-safe.
JobPointer withDueOccurrences(const JobPointer &job, Instant wallNow, Instant now);

/// The task after an order to start it as @p run on @p place was issued. Thread-safe.
TaskPointer startingTask(const TaskState &task, std::shared_ptr<const WorkerIncarnation> place, std::int64_t run, Instant now);
/// The task in another phase at the same place. Thread-safe.
TaskPointer taskInPhase(const TaskState &task, TaskPhase phase, bool unconfirmed, Instant now);
/// The task, no longer at any worker. Thread-safe.
TaskPointer waitingTask(const TaskState &task, Instant now);
/// The task as the worker reports it while it runs. Thread-safe.
TaskPointer
reportedTask(const TaskState &task, std::shared_ptr<const WorkerIncarnation> place, std::int64_t run, const std::string &checkpoint, int percent, Instant now);

/// What an end means for the job.
struct RunEndEffect {
    const JobPointer m_job;
    const bool m_mustRecord; ///< The job's progress must be in the store before the worker may forget the end.
    const bool m_countedFailure;

    bool operator==(const RunEndEffect &) const = default;
};

/// Applies an end that a worker lists. Ends of runs that are no longer current change nothing but may still be done. Thread-safe.
RunEndEffect applyRunEnd(const JobPointer &job, const RunEnd &end, const std::string &worker, Instant now);

/// The job after its cancellation. Thread-safe.
JobPointer withCancellation(const JobState &job, Instant now);

/// The job after the store has acknowledged @p version with @p outcome. Thread-safe.
JobPointer withRecordedVersion(const JobState &job, std::int64_t version, JobOutcome outcome);

/// Runs of the task that count as failed attempts; for a gang those of all members, each run once. Thread-safe.
int failedAttempts(const JobSpec &spec, const StepState &state, int step, int index);

/// True if every step that @p step waits for is done. Thread-safe.
bool isStepReady(const JobSpec &spec, const OccurrenceState &occurrence, int step);

/// True if a task of the job has started or ended. Thread-safe.
bool hasJobStarted(const JobState &job);

} // namespace PrimroseBridge
