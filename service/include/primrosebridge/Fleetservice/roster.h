#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Model/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A worker that may run something.
struct RosterEntry {
    const WorkerReportPointer m_worker;
    /// Set while the owner sends no starts there, because the worker is silent or leaves: the only jobs that may have runs there.
    const std::optional<std::vector<std::string>> m_jobsIfCordoned;
};

/// The workers that may run something, as the owner records them before it uses them.
///
/// A worker's own entry in the store lapses while the worker cannot reach the store, although its tasks run on. A new owner
/// therefore asks the workers of the roster too before it runs their tasks elsewhere. For a worker that gets no starts it waits
/// only with the jobs that may have runs there.
struct Roster {
    const std::int64_t m_version;
    const std::vector<RosterEntry> m_workers;
};

/// The roster's record. Thread-safe.
std::string encodeRoster(const Roster &roster);

/// Inverse of encodeRoster(); Internal if the text is no such record. Thread-safe.
Result<Roster> decodeRoster(const std::string &text);

} // namespace PrimroseBridge
