#include "primrosebridge/Policy/workerscore.h"

#include <algorithm>
#include <cassert>

namespace PrimroseBridge {

/// Weight of the latest task in the moving averages.
constexpr double latestWeight = 0.2;
/// Failures in a row after which a worker gets no new tasks.
constexpr int failuresToEject = 3;
constexpr Duration firstBackoff = std::chrono::seconds(30);
constexpr Duration longestBackoff = std::chrono::minutes(16);

WorkerScore initialScore()
{
    return {0, 1, 0, 0, std::nullopt};
}

static Duration backoff(int ejections)
{
    Duration result = firstBackoff;
    for (int i = 1; i < ejections && result < longestBackoff; ++i) {
        result *= 2;
    }
    return std::min(result, longestBackoff);
}

static WorkerScore afterFailure(const WorkerScore &score, Instant now)
{
    const double rate = score.m_successRate * (1 - latestWeight);
    const int failures = score.m_consecutiveFailures + 1;
    // Once ejected, a single failure of the trial after the backoff ejects it again.
    const bool ejects = !isEjected(score, now) && (failures >= failuresToEject || score.m_ejections > 0);
    if (!ejects) {
        return {score.m_latencyMs, rate, failures, score.m_ejections, score.m_ejectedUntil};
    }
    const int ejections = std::min(score.m_ejections + 1, 30);
    return {score.m_latencyMs, rate, failures, ejections, now + backoff(ejections)};
}

WorkerScore observeTask(const WorkerScore &score, bool succeeded, Duration runTime, Instant now)
{
    assert(runTime.count() >= 0 && "a run time is not negative");
    if (!succeeded) {
        return afterFailure(score, now);
    }
    const auto latency = static_cast<double>(runTime.count());
    const double average = score.m_latencyMs == 0 ? latency : score.m_latencyMs + latestWeight * (latency - score.m_latencyMs);
    // A success of a task that was started before the ejection does not end it.
    const auto until = isEjected(score, now) ? score.m_ejectedUntil : std::nullopt;
    return {average, score.m_successRate + latestWeight * (1 - score.m_successRate), 0, until ? score.m_ejections : 0, until};
}

bool isEjected(const WorkerScore &score, Instant now)
{
    return score.m_ejectedUntil && now < *score.m_ejectedUntil;
}

} // namespace PrimroseBridge
