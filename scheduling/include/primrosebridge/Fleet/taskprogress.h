#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Progress/jobstate.h"

#include <vector>

namespace PrimroseBridge {

/// Returns true if the task has run for so long without progress that its worker is probably faulty.
///
/// @p reportedAt is the boot clock at the worker's last report. A lack of progress counts only up to that time, because nothing is known
/// about the time since then. Thread-safe.
bool hasStalled(const TaskState &task, const JobStep &step, Instant reportedAt);

/// Estimates how long the task still runs, from the speed of its progress so far. Without any progress yet, returns the estimated run
/// time of the whole step, without subtracting the time since the start. Thread-safe.
Duration estimatedRemainingTime(const TaskState &task, const JobStep &step, Instant now);

/// Returns true if a task that needs @p remaining more time cannot finish on a worker that leaves in @p timeToLeave. Thread-safe.
bool endsAfterWorkerLeaves(Duration remaining, Duration timeToLeave);

/// Returns the workers whose tasks progress at less than half of the usual speed, sorted.
///
/// The speed of a task is compared with the median of its step, so wrong estimates do not matter. A worker is slow if the mean ratio of
/// its tasks to these medians is too low. Steps with fewer than three measurable tasks are ignored. Thread-safe.
std::vector<WorkerIncarnation> slowWorkers(const std::vector<JobPointer> &jobs, Instant now);

} // namespace PrimroseBridge
