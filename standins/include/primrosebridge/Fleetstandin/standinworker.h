#pragma once

#include "primrosebridge/Fleetstandin/loopbackhttpserver.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// What a call asks of a worker.
enum class WorkerCall {
    Start,
    Stop,
    Report,
};

/// What happens to one call of a stand-in worker.
enum class WorkerFault {
    None,
    AnswerLost, ///< The order is carried out, the connection ends without an answer.
    ExecutedLate, ///< No answer; the order is carried out 700 ms later.
    Unreachable, ///< No answer, nothing is done.
};

/// One run that began on a stand-in worker.
struct StandinRun {
    const std::string m_task;
    const std::int64_t m_run;
    const std::chrono::steady_clock::time_point m_startedAt;
    const std::int64_t m_incarnation; ///< Start time of the worker on which it ran, as the worker names it.
    const std::chrono::steady_clock::time_point m_endedAt; ///< Only if m_endKind is not empty.
    const std::string m_endKind; ///< Empty while it runs; done, failed, stopped, lapsed, or lost with a life of the worker.
    const bool m_acknowledged; ///< A caller has named the end as seen, and the lease had not lapsed since the end.
};

/// A stand-in for a worker, over HTTP on the loopback address. Every task runs for the same time. For tests and demos only.
/// Thread-safe.
class StandinWorker
{
public:
    /// @p runTime of each task. A lease is at most @p longestLease long; without one, nothing lapses.
    StandinWorker(std::string identifier,
                  std::string rack,
                  std::chrono::milliseconds runTime,
                  std::optional<std::chrono::milliseconds> longestLease = std::nullopt);
    ~StandinWorker();
    StandinWorker(const StandinWorker &) = delete;
    StandinWorker &operator=(const StandinWorker &) = delete;

    [[nodiscard]] const std::string &identifier() const;
    /// The entry that the worker keeps in the store, with room for eight accelerators.
    [[nodiscard]] std::string entry(const std::string &state) const;
    /// Ends this life of the worker: nothing runs any more and nothing is remembered of it but runs().
    void restart();
    /// Decides the fault of each call.
    void setFaults(std::function<WorkerFault(WorkerCall)> faults);
    /// The next runs of a task whose name begins with @p prefix end as failed.
    void failTasks(const std::string &prefix);
    /// Every run that ever began, in order.
    [[nodiscard]] std::vector<StandinRun> runHistory() const;
    /// Names of the tasks that run now.
    [[nodiscard]] std::vector<std::string> runningTasks() const;
    /// The worker's clock in milliseconds.
    [[nodiscard]] std::int64_t clockMs() const;
    /// The latest lease end that any call has named, on the worker's clock in milliseconds.
    [[nodiscard]] std::int64_t leaseEndMs() const;
    /// Ends that the worker still lists because nobody has taken them.
    [[nodiscard]] std::size_t unacknowledgedEndCount() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
