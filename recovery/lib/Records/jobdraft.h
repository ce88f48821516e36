#pragma once

#include "primrosebridge/Records/job.h"

namespace PrimroseBridge {

/// A mutable copy of a Job, used only while the next value of a job is being built. Not shared between threads.
struct JobDraft {
    explicit JobDraft(const Job &job);

    /// The value as drafted so far.
    [[nodiscard]] Job build() const;

    Request m_request;
    JobClass m_jobClass;
    JobPhase m_phase;
    StopCause m_stopCause;
    std::int64_t m_fence;
    int m_attempt;
    int m_failures;
    std::vector<MemberStatus> m_members;
    std::optional<Instant> m_startedAt;
    bool m_cancelRequested;
    bool m_hasCheckpoint;
    bool m_recorded;
    OutcomeKind m_outcomeKind;
    std::string m_result;
    std::string m_reason;
    int m_outcomeAttempt;
};

/// The status with another state, sequence and result. Thread-safe.
MemberStatus withState(const MemberStatus &status, MemberState state, std::int64_t sequence, const std::string &result);

} // namespace PrimroseBridge
