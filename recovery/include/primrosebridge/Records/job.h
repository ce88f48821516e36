#pragma once

#include "primrosebridge/Model/request.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Where a request is on its way through the owner.
enum class JobPhase {
    Accepting, ///< The record of the acceptance is being written.
    Queued, ///< Waits for placement.
    Intending, ///< The record of the attempt is being written.
    Holding, ///< Members are being held.
    Starting, ///< Every member is held; starts have been sent.
    Running,
    Recovering, ///< Adopted after a takeover; the state of some members is not known yet.
    Stopping, ///< Members are being stopped or checkpointed.
    Unknown, ///< May have run; a worker has to answer before the outcome is known.
    Finished, ///< The outcome is known.
};

/// The name in lower_snake_case. Thread-safe.
std::string_view jobPhaseName(JobPhase phase);

/// What the owner knows of one member of the current attempt.
enum class MemberState {
    NotKnown,
    Held,
    Running,
    Checkpointed,
    Done,
    Failed,
    Stopped, ///< Stopped after it had started.
    NeverStarted, ///< Refused, absent or released before it started; cannot start any more.
    Lost, ///< Its worker does not answer or has lost its tasks.
};

/// Why members are being stopped, which decides what follows.
enum class StopCause {
    None,
    Refused, ///< A worker refused to hold a member.
    MemberLost, ///< A member was lost or stopped by itself.
    MemberFailed, ///< A member reported a failure.
    Cancelled,
    Overtime, ///< Ran longer than its class allows.
    Reclaimed, ///< Its capacity is needed elsewhere; it runs again later.
};

/// A member together with what the owner knows of it.
struct MemberStatus {
    const GangMember m_member;
    const std::string m_incarnation; ///< Incarnation of the worker when the attempt was placed.
    const MemberState m_state;
    const std::int64_t m_heldAt; ///< Sequence of the command that held it; a report of a lower one says nothing about it.
    const std::string m_result;

    bool operator==(const MemberStatus &) const = default;
};

/// A request and everything that its owner knows of it.
struct Job {
    const Request m_request;
    const JobClass m_jobClass; ///< As it was when the request was accepted.
    const JobPhase m_phase;
    const StopCause m_stopCause;
    const std::int64_t m_fence; ///< Fence under which the current attempt was placed, 0 before the first.
    const int m_attempt; ///< Current or last attempt, 0 before the first.
    const int m_failures; ///< Attempts that ended without an outcome and count against the class's limit.
    const std::vector<MemberStatus> m_members;
    const std::optional<Instant> m_startedAt; ///< When every member of the current attempt was known to run.
    const bool m_cancelRequested;
    const bool m_hasCheckpoint; ///< The next attempt resumes from a checkpoint.
    const bool m_recorded; ///< The acceptance is in the store.
    const Outcome m_outcome; ///< Pending until the phase is Finished or Unknown.

    bool operator==(const Job &) const = default;
};

/// A job that has just been submitted. Thread-safe.
Job newJob(const Request &request, const JobClass &jobClass);

/// Identity of the task of member @p index in the current attempt. Precondition: index is that of a member. Thread-safe.
TaskId taskIdOf(const Job &job, std::size_t index);

/// True if the current attempt occupies resources. Thread-safe.
bool occupiesWorkers(const Job &job);

/// What distinguishes a repeated submission from a different request under the same key. Thread-safe.
std::uint64_t requestFingerprint(const Request &request);

} // namespace PrimroseBridge
