#pragma once

#include "task.h"
#include "workerbooks.h"
#include "workerspec.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge::Standin {

/// Orders everything that owners send to one worker.
struct Authority {
    const std::int64_t m_fence;
    const std::int64_t m_sequence;

    bool operator==(const Authority &) const = default;
    auto operator<=>(const Authority &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

enum class CommandKind {
    Hold,
    Start,
    Stop,
    Checkpoint,
    Throttle,
};

struct TaskCommand {
    const CommandKind m_kind;
    const TaskName m_task;
    const TaskDemand m_demand; ///< For Hold, as m_lease, m_jobClass, m_payload and m_resume.
    const Duration m_lease;
    const std::string m_jobClass;
    const std::string m_payload;
    const bool m_resume;
    const int m_speedPercent; ///< For Throttle.

    bool operator==(const TaskCommand &) const = default;
};

enum class CommandCode {
    Ok,
    NoCapacity,
    Leaving,
    UnknownTask,
    Refused,
};

struct CommandAnswer {
    const CommandCode m_code;
    const std::string m_message;

    bool operator==(const CommandAnswer &) const = default;
};

struct ExecuteAnswer {
    const bool m_accepted;
    const std::int64_t m_fence;
    const std::string m_incarnation;
    const bool m_leaving;
    const std::vector<CommandAnswer> m_answers;

    bool operator==(const ExecuteAnswer &) const = default;
};

struct PollQuestion {
    const Authority m_authority;
    const Duration m_lease;
    const Duration m_wait;
    const std::int64_t m_seenVersion;
    const std::vector<TaskName> m_taken;

    bool operator==(const PollQuestion &) const = default;
};

/// A task with its result as sent, which a fault can falsify. A truncated result keeps the true length and digest; a crossed one
/// comes with the length and digest of the task to which it belongs.
struct ReportedTask {
    const TaskPointer m_task;
    const std::string m_resultBytes;
    const std::uint64_t m_resultLength;
    const std::uint64_t m_resultDigest;
    const Duration m_runTime;

    bool operator==(const ReportedTask &) const = default;
};

struct PollAnswer {
    const bool m_accepted;
    const std::int64_t m_fence;
    const std::string m_incarnation;
    const bool m_leaving;
    const std::int64_t m_version;
    const std::vector<ReportedTask> m_tasks;
    const double m_usagePercent;
    const AcceleratorSet m_usable;

    bool operator==(const PollAnswer &) const = default;
};

/// Faults of one worker that last until they are changed.
struct WorkerFaults {
    const bool m_failTasks; ///< Every task fails as soon as it starts.
    const bool m_frozen; ///< Nothing is answered; calls take effect when this ends.
    const bool m_leaving;
    const int m_speedPercent;
    const Duration m_answerDelay; ///< For Execute.
    const AcceleratorSet m_usable;

    bool operator==(const WorkerFaults &) const = default;
};

/// Changes of faults, as sent to the control port. Absent fields stay as they are.
struct FaultChange {
    const std::optional<bool> m_failTasks;
    const std::optional<bool> m_frozen;
    const std::optional<bool> m_leaving;
    const std::optional<int> m_speedPercent;
    const std::optional<int> m_answerDelayMs;
    const std::optional<AcceleratorSet> m_usable;
    const std::optional<int> m_loseAnswers; ///< The next so many answers to Execute, after the commands took effect.
    const std::optional<int> m_losePollAnswers;
    const std::optional<int> m_truncateResults; ///< In the next so many reports of a result.
    const std::optional<int> m_crossResults; ///< In the next so many polls with two results.
    const bool m_restart;

    bool operator==(const FaultChange &) const = default;
};

/// Receives an answer; an empty one means that the answer is lost.
using ExecuteReceiver = std::function<void(const std::optional<ExecuteAnswer> &)>;
using PollReceiver = std::function<void(const std::optional<PollAnswer> &)>;

/// True once for each pending counted fault; counts @p left down.
bool takeOne(int &left);
/// A new incarnation of a worker. Thread-safe.
std::string newIncarnation(Instant now);

/// Progress that checkpoints have saved, for all workers of the process. Thread-safe.
class CheckpointStore
{
public:
    void save(const std::string &key, int member, Duration progress);
    Duration load(const std::string &key, int member) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, int>, Duration> m_progress;
};

/// One worker with its own lock. All functions are thread-safe; receivers are called without the lock.
class Worker
{
public:
    /// @p books and @p checkpoints must outlive the worker.
    Worker(const WorkerSpec &spec, WorkerBooks &books, CheckpointStore &checkpoints, Instant now);

    [[nodiscard]] const WorkerSpec &spec() const
    {
        return m_spec;
    }

    /// Runs commands; @p receive is called at once, or later if a fault delays the answer.
    void execute(const Authority &authority, const std::vector<TaskCommand> &commands, Instant now, const ExecuteReceiver &receive);
    /// Answers as soon as a task has changed since the version that the owner has seen, or when the wait is over.
    void poll(const PollQuestion &question, Instant now, const PollReceiver &receive);
    void change(const FaultChange &change, Instant now);
    /// Ends what is due at @p now and returns when it must be called next; empty if nothing is pending.
    std::optional<Instant> advance(Instant now);
    /// Ends every pending and every later call without an answer.
    void close();

private:
    using Action = std::function<void()>;
    struct PendingPoll {
        const PollQuestion m_question;
        const Instant m_deadline;
        const PollReceiver m_receive;
    };

    bool accept(const Authority &authority);
    CommandAnswer run(const TaskCommand &command, Instant now);
    CommandAnswer hold(const TaskCommand &command, Instant now);
    CommandAnswer start(const TaskPointer &task, Instant now);
    CommandAnswer stop(const TaskPointer &task, Instant now);
    CommandAnswer checkpoint(const TaskPointer &task, Instant now);
    CommandAnswer throttle(const TaskPointer &task, int percent, Instant now);
    std::optional<CommandAnswer> refusalOfHold(const TaskDemand &demand) const;
    void set(const TaskPointer &task, Instant now);
    void end(const TaskPointer &task, TaskStatus state, const std::string &ending, Instant now);
    void endDueTasks(Instant now);
    void endTasksOnLostAccelerators(Instant now);
    void settleProgress(Instant now);
    void forget(const std::vector<TaskName> &taken);
    void renewLeases(Duration lease, Instant now);
    void restart(Instant now);
    void takeFaults(const FaultChange &change, Instant now);
    void takeCountedFaults(const FaultChange &change);
    ExecuteAnswer executeAnswer(const Authority &authority, const std::vector<TaskCommand> &commands, Instant now);
    PollAnswer pollAnswer(bool accepted, Instant now);
    std::vector<ReportedTask> reports(Instant now);
    std::vector<Action> duePolls(Instant now);
    std::optional<Instant> nextDue() const;
    void noteUsage(Instant now);
    double laggingUsage(Instant now) const;

    const WorkerSpec m_spec;
    WorkerBooks &m_books;
    CheckpointStore &m_checkpoints;
    mutable std::mutex m_mutex;
    std::shared_ptr<const WorkerFaults> m_faults;
    std::string m_incarnation;
    std::pair<std::int64_t, std::int64_t> m_highest{0, 0}; ///< Highest fence and sequence seen by this incarnation.
    std::int64_t m_highestEverAccepted = 0; ///< Highest fence accepted by any incarnation.
    std::int64_t m_version = 1;
    std::map<TaskName, TaskPointer> m_tasks;
    std::map<TaskName, std::size_t> m_bookNumbers;
    std::vector<PendingPoll> m_polls;
    std::vector<std::function<void(Instant)>> m_frozenCalls;
    std::multimap<Instant, Action> m_delayedAnswers;
    std::deque<std::pair<Instant, double>> m_usage;
    bool m_closed = false;
    int m_loseAnswers = 0;
    int m_losePollAnswers = 0;
    int m_truncateResults = 0;
    int m_crossResults = 0;
};

} // namespace PrimroseBridge::Standin
