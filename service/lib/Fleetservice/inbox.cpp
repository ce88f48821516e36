#include "primrosebridge/Fleetservice/inbox.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Progress/jobrecord.h"

namespace PrimroseBridge {

// If the store has not answered any call for this long, it is not expected to answer the read-back in time.
static constexpr Duration maxSilenceForReadBack(900);

std::string_view inboxOutcomeName(InboxOutcome outcome)
{
    switch (outcome) {
    case InboxOutcome::Recorded:
        return "recorded";
    case InboxOutcome::NotRecorded:
        return "not_recorded";
    case InboxOutcome::Unknown:
        return "unknown";
    case InboxOutcome::Refused:
        return "refused";
    case InboxOutcome::NoSuchJob:
        return "no_such_job";
    }
    return "unknown";
}

static bool certainlyNotWritten(const Error &error)
{
    return error.kind() != ErrorKind::DeadlineExceeded;
}

InboxOutcome recordSubmission(PlatformStore &store, const std::string &job, const std::string &submission)
{
    const auto key = submissionKey(job);
    const auto result = store.commit(StoreTransaction{
        .m_expectations = {{.m_key = key, .m_revision = 0}}, .m_writes = {{.m_key = key, .m_value = submission, .m_leaseId = 0}}, .m_removals = {}});
    if (result.ok()) {
        return InboxOutcome::Recorded; // An existing key also counts: an earlier attempt of the same submission wrote it.
    }
    if (result.error().kind() == ErrorKind::InvalidArgument) {
        return InboxOutcome::Refused;
    }
    if (certainlyNotWritten(result.error())) {
        return InboxOutcome::NotRecorded;
    }
    if (!store.answeredWithin(maxSilenceForReadBack)) {
        return InboxOutcome::Unknown; // The caller is waiting, so skip the read-back; the caller retries once the store answers.
    }
    const auto found = store.get(key);
    return found.ok() && found.value() ? InboxOutcome::Recorded : InboxOutcome::Unknown;
}

InboxOutcome recordCancellation(PlatformStore &store, const std::string &job)
{
    const auto submission = store.get(submissionKey(job));
    if (!submission.ok()) {
        return InboxOutcome::NotRecorded;
    }
    if (!submission.value()) {
        return InboxOutcome::NoSuchJob;
    }
    const auto result = store.commit(
        StoreTransaction{.m_expectations = {}, .m_writes = {{.m_key = cancellationKey(job), .m_value = "{}", .m_leaseId = 0}}, .m_removals = {}});
    if (result.ok()) {
        return InboxOutcome::Recorded;
    }
    return certainlyNotWritten(result.error()) ? InboxOutcome::NotRecorded : InboxOutcome::Unknown;
}

static std::optional<JobStatus> finalStatus(JobOutcome outcome)
{
    switch (outcome) {
    case JobOutcome::Complete:
        return JobStatus::Complete;
    case JobOutcome::Failed:
        return JobStatus::Failed;
    case JobOutcome::Cancelled:
        return JobStatus::Cancelled;
    case JobOutcome::Active:
        return std::nullopt;
    }
    return std::nullopt;
}

RecordedStatus readStatus(PlatformStore &store, const std::string &queue, const std::string &job)
{
    const auto item = store.get(submissionKey(job));
    if (!item.ok()) {
        return {.m_known = false, .m_status = std::nullopt};
    }
    if (!item.value()) {
        return {.m_known = true, .m_status = std::nullopt};
    }
    const auto submission = decodeSubmission(item.value()->m_value);
    if (!submission.ok() || submission.value().m_queue != queue) {
        return {.m_known = submission.ok(), .m_status = std::nullopt};
    }
    const auto progress = store.get(progressKey(job));
    if (!progress.ok()) {
        return {.m_known = false, .m_status = std::nullopt};
    }
    if (!progress.value()) {
        return {.m_known = true, .m_status = JobStatus::Queued};
    }
    const auto outcome = decodeOutcome(progress.value()->m_value);
    if (!outcome.ok()) {
        return {.m_known = false, .m_status = std::nullopt};
    }
    return {.m_known = true, .m_status = finalStatus(outcome.value()).value_or(JobStatus::Running)};
}

} // namespace PrimroseBridge
