#include "jobdraft.h"

namespace PrimroseBridge {

JobDraft::JobDraft(const Job &job)
    : m_request(job.m_request)
    , m_jobClass(job.m_jobClass)
    , m_phase(job.m_phase)
    , m_stopCause(job.m_stopCause)
    , m_fence(job.m_fence)
    , m_attempt(job.m_attempt)
    , m_failures(job.m_failures)
    , m_members(job.m_members)
    , m_startedAt(job.m_startedAt)
    , m_cancelRequested(job.m_cancelRequested)
    , m_hasCheckpoint(job.m_hasCheckpoint)
    , m_recorded(job.m_recorded)
    , m_outcomeKind(job.m_outcome.m_kind)
    , m_result(job.m_outcome.m_result)
    , m_reason(job.m_outcome.m_reason)
    , m_outcomeAttempt(job.m_outcome.m_attempt)
{
}

Job JobDraft::build() const
{
    return Job{
        .m_request = m_request,
        .m_jobClass = m_jobClass,
        .m_phase = m_phase,
        .m_stopCause = m_stopCause,
        .m_fence = m_fence,
        .m_attempt = m_attempt,
        .m_failures = m_failures,
        .m_members = m_members,
        .m_startedAt = m_startedAt,
        .m_cancelRequested = m_cancelRequested,
        .m_hasCheckpoint = m_hasCheckpoint,
        .m_recorded = m_recorded,
        .m_outcome = Outcome{.m_kind = m_outcomeKind, .m_result = m_result, .m_reason = m_reason, .m_attempt = m_outcomeAttempt},
    };
}

MemberStatus withState(const MemberStatus &status, MemberState state, std::int64_t sequence, const std::string &result)
{
    return MemberStatus{
        .m_member = status.m_member,
        .m_incarnation = status.m_incarnation,
        .m_state = state,
        .m_heldAt = sequence,
        .m_result = result,
    };
}

} // namespace PrimroseBridge
