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

/// The operation that a worker call requests.
enum class WorkerCall {
    Start,
    Stop,
    Report,
};

/// The fault that a stand-in worker injects into one call.
enum class WorkerFault {
    None,
    AnswerLost, ///< The call is executed, but the connection closes without an answer.
    /// The connection closes without an answer. 700 ms later the call is executed by the process that runs then, also if the worker has restarted
    /// since, but not if the worker has exited or stopped.
    ExecutedLate,
    ExecutedSecondsLate, ///< As ExecutedLate, but 1 to 6 s later.
    ExecutedOnRequest, ///< As ExecutedLate, but executed by StandinWorker::executeHeldCalls().
    AnswerDelayed, ///< The call is executed at once and answered up to 700 ms later, so that answers on other connections overtake it.
    Unreachable, ///< The call is not executed, and the connection closes without an answer.
};

/// The machine of a worker and the start of the worker's first incarnation there.
struct StandinMachine {
    const std::string m_name;
    const std::int64_t m_startedAtMs = 1; ///< As `born` on the wire. Later than that of every earlier worker on the machine.
};

/// A task run that was started on a stand-in worker.
struct StandinRun {
    const std::string m_task;
    const std::int64_t m_run;
    const std::chrono::steady_clock::time_point m_startedAt;
    const std::int64_t m_incarnation; ///< The incarnation of the worker that executed the run; each restart increments it.
    const std::chrono::steady_clock::time_point m_endedAt; ///< Valid only if m_endKind is not empty.
    const std::string m_endKind; ///< Empty during the run; then "done", "failed", "stopped", "lapsed" (lease expired) or "lost" (worker restarted).
    const bool m_acknowledged; ///< True if a caller acknowledged the end before the lease expired.
    const bool m_startedByFormerCall; ///< True if the start was executed late and had reached an earlier incarnation.
    const bool m_polledBefore; ///< True if the incarnation had executed a run report request before the start; late requests don't count.
};

/// A stand-in for a worker, over HTTP on the loopback address. All tasks have the same run time, unless their
/// payload names another one. For tests and demos only.
/// Thread-safe.
class StandinWorker
{
public:
    /// Every task runs for @p runTime, or for N milliseconds if its payload ends with "runMs=N". The worker shortens longer leases to @p maxLease; if it is not
    /// given, leases never expire. Without @p machine, the worker is the first one on a machine of its own.
    StandinWorker(std::string identifier,
                  std::string rack,
                  std::chrono::milliseconds runTime,
                  std::optional<std::chrono::milliseconds> maxLease = std::nullopt,
                  std::optional<StandinMachine> machine = std::nullopt);
    ~StandinWorker();
    StandinWorker(const StandinWorker &) = delete;
    StandinWorker &operator=(const StandinWorker &) = delete;

    [[nodiscard]] const std::string &identifier() const;
    /// The store entry that announces the worker, as JSON, with a capacity of eight accelerators.
    [[nodiscard]] std::string entry(const std::string &state) const;
    /// Simulates a restart of the worker process: running tasks are lost, and all state except runHistory() is reset. With
    /// @p closesConnections the connections end with the process; otherwise they lead to the new one, as through a proxy.
    void restart(bool closesConnections = false);
    /// Simulates the end of the worker process: running tasks are lost, and every connection closes without an answer from now on.
    void exit();
    /// While stalled, the worker accepts connections but executes and answers nothing. Afterwards it executes and answers everything at once,
    /// unless it has restarted.
    void setStalled(bool stalled);
    /// The machine and start time for a worker that starts on this machine after the present incarnation.
    [[nodiscard]] StandinMachine machineOfSuccessor() const;
    /// Sets the function that chooses the fault of each call. It is called under the worker's lock.
    void setFaults(std::function<WorkerFault(WorkerCall)> faults);
    /// Executes the calls that ExecutedOnRequest has held back, in the order in which they arrived, and returns them. Like other late calls, they are
    /// executed by the process that runs now, and not if the worker has exited.
    std::vector<StandinCall> executeHeldCalls();
    /// The number of calls that executeHeldCalls() would execute.
    [[nodiscard]] std::size_t heldCallCount() const;
    /// Moves the clock of the present incarnation forward, as if it had started earlier.
    /// Precondition: the worker runs no task.
    void advanceClock(std::chrono::milliseconds time);
    /// Runs of tasks whose names begin with @p prefix end as failed if they start after this call. An empty prefix matches no task.
    void failTasks(const std::string &prefix);
    /// All runs of all incarnations, in the order in which they started.
    [[nodiscard]] std::vector<StandinRun> runHistory() const;
    /// The names of the running tasks. A run that is due to end stays listed until the next HTTP call or runHistory().
    [[nodiscard]] std::vector<std::string> runningTasks() const;
    /// The milliseconds since the worker's last restart, as on the wire.
    [[nodiscard]] std::int64_t workerClockMs() const;
    /// The latest lease end that the worker has granted since its last restart, in milliseconds of workerClockMs().
    [[nodiscard]] std::int64_t leaseEndMs() const;
    /// The number of run ends that the worker still reports because no caller has acknowledged them.
    [[nodiscard]] std::size_t unacknowledgedEndCount() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
