#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Progress/jobstate.h"

#include <vector>

namespace PrimroseBridge {

/// True if the task has run for a while without any progress, so that its worker is likely to be at fault.
///
/// @p reportedAt is the boot clock at the worker's last report; a worker that is silent tells nothing. Thread-safe.
bool hasStalled(const TaskState &task, const JobStep &step, Instant reportedAt);

/// The time that the task still needs, judged by its progress so far, or by its estimate while there is none. Thread-safe.
Duration estimatedRemainingTime(const TaskState &task, const JobStep &step, Instant now);

/// True if a task that needs @p remaining more time cannot end before a worker leaves that is there for @p left. Thread-safe.
bool endsAfterWorkerLeaves(Duration remaining, Duration left);

/// Workers on which tasks progress at less than half of the usual speed.
///
/// The tasks of one step are compared with each other, so that wrong estimates do not matter: a worker is slow if its tasks are
/// behind the median of their steps by a factor. Steps with fewer than three tasks at work tell nothing. Sorted; thread-safe.
std::vector<WorkerIncarnation> slowWorkers(const std::vector<JobPointer> &jobs, Instant now);

} // namespace PrimroseBridge
