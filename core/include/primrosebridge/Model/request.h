#pragma once

#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/id.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Largest request body, in bytes. The store holds values up to 1 MB.
constexpr std::size_t maxRequestBytes = 512 * 1024;
/// Largest result kept in a record, in bytes.
constexpr std::size_t maxResultBytes = 64 * 1024;

/// A caller's request, as accepted.
struct Request {
    const RequestKey m_key;
    const OrganisationId m_organisation;
    const JobClassId m_jobClass;
    const ZoneId m_zone; ///< The zone whose owner decides for it.
    const std::string m_payload;
    const Duration m_declaredRunTime;
    const Instant m_submittedAt;

    bool operator==(const Request &) const = default;
};

/// What is known of a request.
enum class OutcomeKind {
    Pending, ///< Accepted; waiting or running.
    Done, ///< Ran to the end; the result is whole.
    Failed, ///< Ran and reported a failure.
    Cancelled, ///< Cancelled by the caller before it ended.
    NotRun, ///< No worker has started it and none ever will.
    Unknown, ///< May have run; ask again later.
};

/// The name in lower_snake_case, as used by the callers' interface. Thread-safe.
std::string_view outcomeKindName(OutcomeKind kind);

/// Inverse of outcomeKindName(); InvalidArgument if there is no such kind. Thread-safe.
Result<OutcomeKind> outcomeKindFromName(std::string_view name);

/// True if the outcome cannot change any more. Thread-safe.
constexpr bool isFinal(OutcomeKind kind)
{
    return kind != OutcomeKind::Pending && kind != OutcomeKind::Unknown;
}

/// The answer to a request.
struct Outcome {
    const OutcomeKind m_kind;
    const std::string m_result; ///< The worker's whole result if Done, else empty.
    const std::string m_reason; ///< Why, in one sentence; empty if Done or Pending.
    const int m_attempt; ///< The attempt that the outcome belongs to; 0 before the first.

    bool operator==(const Outcome &) const = default;
};

/// One member of a gang: what it occupies on one worker.
struct GangMember {
    const WorkerId m_worker;
    const AcceleratorSet m_accelerators;
    const int m_cores;
    const std::int64_t m_memoryMb;

    bool operator==(const GangMember &) const = default;
};

/// Identity of a task: one member of one attempt of one request.
struct TaskId {
    const RequestKey m_key;
    const std::int64_t m_fence; ///< Fence of the owner that placed the attempt; keeps attempts of different owners apart.
    const int m_attempt; ///< 1 for the first.
    const int m_member; ///< Index in the allocation's members.

    bool operator==(const TaskId &) const = default;
    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// The state of a task as its worker reports it.
enum class TaskStatus {
    Held, ///< Resources are reserved; not started.
    Running,
    Checkpointed, ///< Stopped with its progress saved.
    Done,
    Failed,
    Stopped, ///< Stopped by command or because its lease ran out.
};

/// The name in lower_snake_case. Thread-safe.
std::string_view taskStatusName(TaskStatus state);

/// What a worker reports of one task. Usage lags behind the truth.
struct TaskReport {
    const TaskId m_task;
    const TaskStatus m_state;
    const bool m_everStarted; ///< False only if the worker never started it and now never will.
    const Duration m_runTime;
    const std::int64_t m_usedMemoryMb;
    const std::string m_result;
    const std::uint64_t m_resultLength; ///< As stated by the worker; compared with the bytes that arrived.
    const std::uint64_t m_resultDigest; ///< As stated by the worker; see taskResultDigest().

    bool operator==(const TaskReport &) const = default;
};

/// 64-bit FNV-1a of @p bytes. Detects truncated and crossed results; it is no protection against tampering. Thread-safe.
std::uint64_t fnv1aDigest(std::string_view bytes);

/// Digest of a result together with the task that it belongs to, so that a result delivered for another task is detected.
/// Computed over `key/fence/attempt/member/result`. Thread-safe.
std::uint64_t taskResultDigest(const TaskId &task, std::string_view result);

} // namespace PrimroseBridge
