#pragma once

#include "primrosebridge/Model/time.h"

#include <optional>

namespace PrimroseBridge {

/// What is known of how well a worker runs tasks.
struct WorkerScore {
    const double m_latencyMs; ///< Moving average of the run time of successful tasks.
    const double m_successRate; ///< Moving average, 0 to 1.
    const int m_consecutiveFailures;
    const int m_ejections; ///< Consecutive ejections; each doubles the next backoff.
    const std::optional<Instant> m_ejectedUntil;

    bool operator==(const WorkerScore &) const = default;
};

/// The score of a worker of which nothing is known. Thread-safe.
WorkerScore initialScore();

/// The score after one task ended. Precondition: runTime >= 0. Thread-safe.
WorkerScore observeTask(const WorkerScore &score, bool succeeded, Duration runTime, Instant now);

/// True while the worker gets no new tasks because of its score. Thread-safe.
bool isEjected(const WorkerScore &score, Instant now);

} // namespace PrimroseBridge
