#pragma once

#include "primrosebridge/Progress/jobstate.h"

#include <cstddef>
#include <limits>
#include <string>

namespace PrimroseBridge {

/// Encodes the submission record of a job for the store. The record is written once and never changed. Thread-safe.
std::string encodeSubmission(const JobSpec &spec);

/// Decodes a record written by encodeSubmission(). Fails with Internal if @p text is no valid submission record. Thread-safe.
Result<JobSpec> decodeSubmission(const std::string &text);

/// Encodes the progress record of a job: its outcome, completed tasks, failed runs, highest run numbers and checkpoints. Leaves the checkpoints
/// out if the record would exceed @p maxBytes; a successor then learns them from the workers, or starts the tasks from the beginning. The record may
/// exceed @p maxBytes all the same. Thread-safe.
std::string encodeProgress(const JobState &job, std::size_t maxBytes = std::numeric_limits<std::size_t>::max());

/// Restores a job from its submission and its progress record, with every unfinished task in phase Waiting; @p maxAttempts as in
/// JobState::m_maxAttempts. Fails with Internal if @p progress is no valid progress record. Thread-safe.
Result<JobPointer> restoreJob(JobSpecPointer spec, std::optional<int> maxAttempts, const std::string &progress, Instant now);

/// Decodes only the outcome of a progress record, for a VM that answers a caller without holding the job's state. Fails with Internal
/// if @p progress is no valid progress record. Thread-safe.
Result<JobOutcome> decodeOutcome(const std::string &progress);

} // namespace PrimroseBridge
