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

/// Maximum size of a request body, in bytes. The store accepts values of up to 1 MB.
constexpr std::size_t maxRequestBytes = 512 * 1024;
/// Maximum size of a result that is kept in a record, in bytes.
constexpr std::size_t maxResultBytes = 64 * 1024;

/// A request as it was accepted from a caller.
struct Request {
    const RequestKey m_key;
    const OrganisationId m_organisation;
    const JobClassId m_jobClass;
    const ZoneId m_zone; ///< The zone whose owner schedules the request.
    const std::string m_payload;
    const Duration m_declaredRunTime; ///< Run time that the caller expects.
    const Instant m_submittedAt;

    bool operator==(const Request &) const = default;
};

/// What is known about the outcome of a request.
enum class OutcomeKind {
    Pending, ///< The request was accepted and is waiting or running.
    Done, ///< The request ran to completion; the result is complete.
    Failed, ///< The request ran and reported a failure.
    Cancelled, ///< The caller cancelled the request before it ended.
    NotRun, ///< No worker has started the request, and none will.
    Unknown, ///< The request may have run; the outcome may become known later.
};

/// Returns the name in lower_snake_case, as used in the HTTP interface for callers. Thread-safe.
std::string_view outcomeKindName(OutcomeKind kind);

/// Inverse of outcomeKindName(). Returns an InvalidArgument error if @p name is unknown. Thread-safe.
Result<OutcomeKind> outcomeKindFromName(std::string_view name);

/// Returns true if an outcome of this kind cannot change any more. Thread-safe.
constexpr bool isFinal(OutcomeKind kind)
{
    return kind != OutcomeKind::Pending && kind != OutcomeKind::Unknown;
}

/// The outcome of a request, as reported to the caller.
struct Outcome {
    const OutcomeKind m_kind;
    const std::string m_result; ///< The worker's complete result if the kind is Done, else empty.
    const std::string m_reason; ///< Explanation of the kind in one sentence; empty if Done or Pending.
    const int m_attempt; ///< Number of the attempt that the outcome belongs to; 0 before the first attempt.

    bool operator==(const Outcome &) const = default;
};

/// One member of a gang, with the resources that it occupies on its worker.
struct GangMember {
    const WorkerId m_worker;
    const AcceleratorSet m_accelerators;
    const int m_cores;
    const std::int64_t m_memoryMb;

    bool operator==(const GangMember &) const = default;
};

/// Identity of a task, which is one gang member in one attempt of one request.
struct TaskId {
    const RequestKey m_key;
    const std::int64_t m_fence; ///< Fencing token of the owner that placed the attempt; distinguishes attempts of different owners.
    const int m_attempt; ///< Number of the attempt, from 1.
    const int m_member; ///< Index of the member in the gang, from 0.

    bool operator==(const TaskId &) const = default;
    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

/// The state of a task as its worker reports it.
enum class TaskStatus {
    Held, ///< The resources are reserved; the task has not started.
    Running,
    Checkpointed, ///< The task was stopped and its progress was saved.
    Done,
    Failed,
    Stopped, ///< The task was stopped by a command or because its lease expired.
};

/// Returns the name in lower_snake_case. Thread-safe.
std::string_view taskStatusName(TaskStatus status);

/// A worker's report on one task. The reported memory usage is delayed.
struct TaskReport {
    const TaskId m_task;
    const TaskStatus m_state;
    const bool m_everStarted; ///< False only if the worker never started the task and will not start it later.
    const Duration m_runTime;
    const std::int64_t m_usedMemoryMb;
    const std::string m_result;
    const std::uint64_t m_resultLength; ///< Length in bytes that the worker states; compared with the bytes received.
    const std::uint64_t m_resultDigest; ///< Digest that the worker states; see taskResultDigest().

    bool operator==(const TaskReport &) const = default;
};

/// Returns the 64-bit FNV-1a hash of @p bytes. It detects truncated and mixed-up results but gives no protection against
/// tampering. Thread-safe.
std::uint64_t fnv1aDigest(std::string_view bytes);

/// Returns the digest of a result together with the identity of its task, so that a result delivered for another task is
/// detected. The digest is computed over `key/fence/attempt/member/result`. Thread-safe.
std::uint64_t taskResultDigest(const TaskId &task, std::string_view result);

} // namespace PrimroseBridge
