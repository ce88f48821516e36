#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Model/result.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A worker that may have running tasks.
struct RosterEntry {
    const WorkerReportPointer m_worker;
    /// Set while the worker is cordoned: the owner sends it no start orders because it is silent or draining. Lists the only jobs
    /// that may still have runs on the worker.
    const std::optional<std::vector<std::string>> m_jobsIfCordoned;
};

/// The workers that may have running tasks. The owner records each of them in the roster before it starts tasks on it.
///
/// A worker's own entry in the store expires while the worker cannot reach the store, although its tasks keep running. A new
/// owner therefore also polls the workers of the roster before it starts their tasks elsewhere. If a cordoned worker does not
/// answer, only the jobs that may have runs on it are held back.
struct Roster {
    const std::int64_t m_version;
    const std::vector<RosterEntry> m_workers;
};

/// Encodes the roster as JSON for the store. If it would exceed @p maxBytes, equal lists of jobs are written once; if that is still too much, workers
/// are written without their cordon, so that a successor waits for them. It may exceed @p maxBytes all the same. Thread-safe.
std::string encodeRoster(const Roster &roster, std::size_t maxBytes = std::numeric_limits<std::size_t>::max());

/// Decodes the output of encodeRoster(). Returns Internal if the text is not a valid roster. Thread-safe.
Result<Roster> decodeRoster(const std::string &text);

} // namespace PrimroseBridge
