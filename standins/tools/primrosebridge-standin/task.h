#pragma once

#include "primrosebridge/Model/request.h"
#include "primrosebridge/Model/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge::Standin {

/// Identity of a task, as it arrives; the stand-in accepts every key.
struct TaskName {
    const std::string m_key;
    const std::int64_t m_fence; ///< Fence of the owner that placed the attempt.
    const int m_attempt;
    const int m_member;

    bool operator==(const TaskName &) const = default;
    auto operator<=>(const TaskName &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// What a task occupies.
struct TaskDemand {
    const AcceleratorSet m_accelerators;
    const int m_cores;
    const std::int64_t m_memoryMb;

    bool operator==(const TaskDemand &) const = default;
};

/// What a task does when it runs: it sleeps, then it has a result or a failure.
struct RunPlan {
    const Duration m_runTime; ///< At full speed.
    const std::string m_result;
    const bool m_fails;
    const std::int64_t m_usedMemoryMb;

    bool operator==(const RunPlan &) const = default;
};

struct TaskLife {
    const TaskStatus m_state;
    const Instant m_heldAt;
    const std::optional<Instant> m_startedAt;
    const std::optional<Instant> m_endedAt;
    const std::string m_ending; ///< Why it ended; empty until then.

    bool operator==(const TaskLife &) const = default;
};

struct TaskProgress {
    const Duration m_done; ///< Share of the run time that was completed by m_since.
    const Instant m_since;
    const int m_throttlePercent;

    bool operator==(const TaskProgress &) const = default;
};

/// A task on a worker. A change creates a new value.
struct Task {
    const TaskName m_name;
    const std::string m_jobClass;
    const TaskDemand m_demand;
    const RunPlan m_plan;
    const bool m_resumed; ///< Continues from a checkpoint of an earlier attempt.
    const TaskLife m_life;
    const TaskProgress m_progress;
    const Instant m_leaseEnd;

    bool operator==(const Task &) const = default;
};

using TaskPointer = std::shared_ptr<const Task>;

/// The plan in a payload such as {"runMs":300,"result":"text","fail":false,"usedMemoryMb":512}. A malformed payload gives 100 ms.
/// Without a result, it is "ok:" and the key. Thread-safe.
RunPlan planFromPayload(const std::string &payload, const std::string &key);

/// Digest of the task's result together with its identity, as taskResultDigest() computes it. Thread-safe.
std::uint64_t resultDigest(const TaskName &task, const std::string &result);

/// True while the task occupies its accelerators, cores and memory. Thread-safe.
bool occupies(const Task &task);

/// The task with another life, progress or lease. Thread-safe.
TaskPointer withLife(const Task &task, const TaskLife &life);
TaskPointer withProgress(const Task &task, const TaskProgress &progress);
TaskPointer withLease(const Task &task, Instant leaseEnd);

/// The task after it was started; precondition: held. Thread-safe.
TaskPointer started(const Task &task, Instant now);
/// The task after it ended in @p state for the reason @p ending. Thread-safe.
TaskPointer ended(const Task &task, TaskStatus state, const std::string &ending, Instant now);

/// Share of the run time completed at @p now, on a worker that runs at @p workerPercent of full speed. Thread-safe.
Duration doneAt(const Task &task, int workerPercent, Instant now);
/// When a running task finishes. Thread-safe.
Instant finishAt(const Task &task, int workerPercent);

} // namespace PrimroseBridge::Standin
