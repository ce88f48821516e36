#pragma once

#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Work/job.h"

#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Outcome of writing a submission or a cancellation to the inbox, the part of the store from which the owner reads requests.
enum class InboxOutcome {
    Recorded, ///< The request is in the store, written by this call or an earlier one.
    NotRecorded, ///< The request was not written and will not be.
    Unknown, ///< The request may have been written or may still be written.
    Refused, ///< The store refuses the request for what it holds, for example its size, and always will.
    NoSuchJob, ///< The job to cancel was never accepted.
};

/// Returns the outcome's name in lower_snake_case, for logs. Thread-safe.
std::string_view inboxOutcomeName(InboxOutcome outcome);

/// Writes the submission of a job; keeps the existing one if the job was submitted before. Blocks for at most two store calls.
/// Thread-safe.
InboxOutcome recordSubmission(PlatformStore &store, const std::string &job, const std::string &submission);

/// Writes the cancellation of a job that has a recorded submission. Blocks for at most two store calls. Thread-safe.
InboxOutcome recordCancellation(PlatformStore &store, const std::string &job);

/// Status of a job according to its records in the store, for a VM that cannot reach the owner.
struct RecordedStatus {
    const bool m_known; ///< False if the store did not answer or a record cannot be decoded.
    const std::optional<JobStatus> m_status; ///< Empty if the queue has never accepted the job.

    bool operator==(const RecordedStatus &) const = default;
};

/// Reads the status of a job of @p queue from the store. Blocks for at most two store calls. Thread-safe.
RecordedStatus readStatus(PlatformStore &store, const std::string &queue, const std::string &job);

} // namespace PrimroseBridge
