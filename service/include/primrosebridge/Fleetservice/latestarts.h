#pragma once

#include "primrosebridge/Model/result.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace PrimroseBridge {

/// Jobs of which a worker has left a start order unanswered that it, or the next process under its identifier, may still execute; by the worker's
/// identifier.
using LateStartJobs = std::map<std::string, std::set<std::string>>;

/// The owner's record of late starts, from which a new owner learns which jobs to hold back for the workers that do not answer.
struct LateStartRecord {
    const std::int64_t m_version;
    const LateStartJobs m_jobsByWorker;
    /// Time in milliseconds, from the record on, until each run that such a start may have begun on the worker is over. Only of workers that did not
    /// answer, because the leases of the others are renewed.
    const std::map<std::string, std::int64_t> m_runsOverInMs = {};

    bool operator==(const LateStartRecord &) const = default;
};

/// Encodes the record for the store. Thread-safe.
std::string encodeLateStarts(const LateStartRecord &record);

/// Inverse of encodeLateStarts(). Returns an Internal error if @p text is not such a record. Thread-safe.
Result<LateStartRecord> decodeLateStarts(const std::string &text);

} // namespace PrimroseBridge
