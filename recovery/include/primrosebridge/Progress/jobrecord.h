#pragma once

#include "primrosebridge/Progress/jobstate.h"

#include <string>

namespace PrimroseBridge {

/// The record of a submission, as the store keeps it. Written once, never changed. Thread-safe.
std::string encodeSubmission(const JobSpec &spec);

/// Inverse of encodeSubmission(); Internal if the text is no such record. Thread-safe.
Result<JobSpec> decodeSubmission(const std::string &text);

/// The record of a job's progress: outcome, done tasks, counted failures, highest runs and checkpoints. Thread-safe.
std::string encodeProgress(const JobState &job);

/// The job as its two records describe it, every unfinished task waiting. Internal if @p progress is no such record. Thread-safe.
Result<JobPointer> restoreJob(JobSpecPointer spec, int attempts, const std::string &progress, Instant now);

/// The outcome alone, for a VM that answers a caller without the job's state. Internal if the text is no such record. Thread-safe.
Result<JobOutcome> decodeOutcome(const std::string &progress);

} // namespace PrimroseBridge
