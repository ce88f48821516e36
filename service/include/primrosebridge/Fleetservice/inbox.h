#pragma once

#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Work/job.h"

#include <string>
#include <string_view>

namespace PrimroseBridge {

/// What became of a caller's wish that had to be written to the store.
enum class InboxOutcome {
    Recorded, ///< It is in the store, from this call or an earlier one.
    NotRecorded, ///< Nothing was written and nothing will be.
    Unknown, ///< It may have been written, or may still be.
    NoSuchJob, ///< The cancellation is of a job that was never accepted.
};

/// The outcome's name in lower_snake_case, for logs. Thread-safe.
std::string_view inboxOutcomeName(InboxOutcome outcome);

/// Writes a submission unless the job exists already. Blocks for at most two store calls. Thread-safe.
InboxOutcome recordSubmission(PlatformStore &store, const std::string &job, const std::string &submission);

/// Writes the cancellation of a job. Blocks for at most two store calls. Thread-safe.
InboxOutcome recordCancellation(PlatformStore &store, const std::string &job);

/// The status of a job as its records tell, for a VM that does not reach the owner.
struct RecordedStatus {
    const bool m_known; ///< The store answered.
    const std::optional<JobStatus> m_status; ///< Empty if the job was never accepted.

    bool operator==(const RecordedStatus &) const = default;
};

/// Reads a job's records. Blocks for at most two store calls. Thread-safe.
RecordedStatus readStatus(PlatformStore &store, const std::string &queue, const std::string &job);

} // namespace PrimroseBridge
