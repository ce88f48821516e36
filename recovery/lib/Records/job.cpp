#include "primrosebridge/Records/job.h"

#include <cassert>

namespace PrimroseBridge {

std::string_view jobPhaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Accepting:
        return "accepting";
    case JobPhase::Queued:
        return "queued";
    case JobPhase::Intending:
        return "intending";
    case JobPhase::Holding:
        return "holding";
    case JobPhase::Starting:
        return "starting";
    case JobPhase::Running:
        return "running";
    case JobPhase::Recovering:
        return "recovering";
    case JobPhase::Stopping:
        return "stopping";
    case JobPhase::Unknown:
        return "unknown";
    case JobPhase::Finished:
        return "finished";
    }
    return "unknown";
}

Job newJob(const Request &request, const JobClass &jobClass)
{
    return Job{
        .m_request = request,
        .m_jobClass = jobClass,
        .m_phase = JobPhase::Accepting,
        .m_stopCause = StopCause::None,
        .m_fence = 0,
        .m_attempt = 0,
        .m_failures = 0,
        .m_members = {},
        .m_startedAt = std::nullopt,
        .m_cancelRequested = false,
        .m_hasCheckpoint = false,
        .m_recorded = false,
        .m_outcome = Outcome{.m_kind = OutcomeKind::Pending, .m_result = {}, .m_reason = {}, .m_attempt = 0},
    };
}

TaskId taskIdOf(const Job &job, std::size_t index)
{
    assert(index < job.m_members.size() && "the index names a member of the current attempt");
    return TaskId{.m_key = job.m_request.m_key, .m_fence = job.m_fence, .m_attempt = job.m_attempt, .m_member = static_cast<int>(index)};
}

bool occupiesWorkers(const Job &job)
{
    switch (job.m_phase) {
    case JobPhase::Intending:
    case JobPhase::Holding:
    case JobPhase::Starting:
    case JobPhase::Running:
    case JobPhase::Recovering:
    case JobPhase::Stopping:
    case JobPhase::Unknown:
        return true;
    case JobPhase::Accepting:
    case JobPhase::Queued:
    case JobPhase::Finished:
        return false;
    }
    return false;
}

std::uint64_t requestFingerprint(const Request &request)
{
    // A separator that no identifier contains keeps the fields apart.
    return fnv1aDigest(request.m_organisation.text() + '/' + request.m_jobClass.text() + '/' + request.m_payload);
}

} // namespace PrimroseBridge
