#pragma once

#include "primrosebridge/Records/job.h"

#include <cstddef>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// What happened to a job.
enum class JobEventKind {
    Accepted, ///< The acceptance is recorded, or needs no record.
    Placed, ///< m_members, m_fence: a pass chose workers for the next attempt.
    IntentRecorded,
    MemberReported, ///< m_index, m_state, m_sequence, m_result.
    Cancel, ///< The caller cancels.
    Release, ///< m_checkpoint: the pass takes the capacity back.
    Overtime, ///< The class's longest run time has passed.
    RetryRefused, ///< No retry budget is left for the attempt that just failed.
    OutcomeRecorded, ///< The outcome is in the store, which accepts it from the zone's owner only.
};

/// One event with the fields that its kind uses.
struct JobEvent {
    const JobEventKind m_kind;
    const std::vector<MemberStatus> m_members = {};
    const std::int64_t m_fence = 0;
    const std::size_t m_index = 0;
    const MemberState m_state = MemberState::NotKnown;
    const std::int64_t m_sequence = 0; ///< Of the command or poll that the report answers.
    const std::string m_result = {};
    const bool m_checkpoint = false;

    bool operator==(const JobEvent &) const = default;
};

/// What the owner has to do next.
enum class JobAction {
    WriteAcceptance,
    WriteIntent,
    SendHold, ///< Hold every member. The single member of an idempotent job may be held and started by one message.
    SendStart, ///< Start the members that are held.
    SendStop, ///< Stop every member that may still occupy its worker.
    SendCheckpoint, ///< Checkpoint every running member.
    WriteOutcome,
    PublishOutcome, ///< Wake whoever waits for the outcome.
    Requeue, ///< The job waits for placement again.
};

/// The job after an event and the actions that follow, in order.
struct JobTransition {
    const Job m_job;
    const std::vector<JobAction> m_actions;

    bool operator==(const JobTransition &) const = default;
};

/// The life of a job as a pure step function. An event that does not fit the phase changes nothing. Thread-safe.
///
/// Rules: no start is sent before every member is held; a non-idempotent job is placed again only if every member of the
/// last attempt is known never to have started or was checkpointed; NotRun is never concluded while a member may have started.
JobTransition stepJob(const Job &job, const JobEvent &event, Instant now);

/// A job as a new owner finds it in the records: its members' states are not known. Thread-safe.
Job recoveredJob(const Job &recorded);

} // namespace PrimroseBridge
