#pragma once

#include "primrosebridge/Model/time.h"
#include "primrosebridge/Progress/jobstate.h"
#include "primrosebridge/Work/job.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A worker as it reports itself.
struct WorkerReport {
    const WorkerIncarnation m_life;
    const std::string m_machine; ///< The hardware, which outlives the worker; empty if not reported.
    const std::string m_address; ///< IP number and port.
    const std::string m_pool;
    const std::string m_zone;
    const std::string m_rack;
    const std::vector<std::string> m_labels;
    const Resources m_capacity;
    const bool m_draining; ///< It leaves soon and takes no new work.
    const std::optional<Duration> m_leavesIn; ///< At least this long until it is gone, counted from the report; only while draining.

    bool operator==(const WorkerReport &) const = default;
};

using WorkerReportPointer = std::shared_ptr<const WorkerReport>;

/// A worker as placement sees it.
struct PlacementWorker {
    const WorkerReportPointer m_report;
    const std::shared_ptr<const WorkerIncarnation> m_life;
    const bool m_usable; ///< It answers and is not draining, so that work may be started on it.
    const bool m_isolated; ///< Runs failed or stood still on it; it is used only if nothing else fits.

    bool operator==(const PlacementWorker &) const = default;
};

} // namespace PrimroseBridge
