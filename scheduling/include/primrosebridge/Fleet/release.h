#pragma once

#include "primrosebridge/Fleet/worker.h"

#include <vector>

namespace PrimroseBridge {

/// Tells for each worker whether it is outdated: the newest worker of its pool has started in the last 20 s with another software version.
///
/// While the software of a pool is being replaced, workers of the former version drain one after the other. Which of them drain next is not
/// known. @p wallNow is the wall clock of the deciding VM; it may differ by seconds from the clocks of the workers. Thread-safe.
std::vector<bool> outdatedWorkers(const std::vector<WorkerReportPointer> &workers, Instant wallNow);

} // namespace PrimroseBridge
