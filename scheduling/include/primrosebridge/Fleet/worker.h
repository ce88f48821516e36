#pragma once

#include "primrosebridge/Model/time.h"
#include "primrosebridge/Progress/jobstate.h"
#include "primrosebridge/Work/job.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// The description of a worker that the worker itself keeps as its entry in the store.
struct WorkerReport {
    const WorkerIncarnation m_incarnation;
    const std::string m_machine; ///< Identifier of the hardware, which stays the same when the worker is replaced; empty if not reported.
    const std::string m_address; ///< IP address and port.
    const std::string m_pool;
    const std::string m_zone;
    const std::string m_rack;
    const std::vector<std::string> m_labels;
    const Resources m_capacity;
    const bool m_draining; ///< The worker leaves soon and accepts no new work.
    const std::optional<Duration> m_leavesIn; ///< Minimum time from the report until the worker leaves; set only while draining.
    const std::string m_softwareVersion; ///< Version of the worker's software; empty if not reported.
    const std::optional<std::int64_t> m_reportedAtClockMs; ///< The worker's own clock at the report, in milliseconds; empty if not reported.
    const Duration m_coldFor = Duration(0); ///< Time from the report until the worker reaches its usual speed; 0 if it has reached it.
    const std::int64_t m_entryRevision = 0; ///< Revision of the store at which the entry was written; 0 if the report does not come from an entry.

    bool operator==(const WorkerReport &) const = default;
};

using WorkerReportPointer = std::shared_ptr<const WorkerReport>;

/// The view of a worker that placement decides from.
struct PlacementWorker {
    const WorkerReportPointer m_report;
    const std::shared_ptr<const WorkerIncarnation> m_incarnation; ///< The object to which the tasks on the worker also refer.
    const bool m_usable; ///< The worker answers and is not draining, so work may be started on it.
    const bool m_isolated; ///< Runs failed, stalled or were slow on the worker; it is used only if no other worker fits.
    const bool m_outdated = false; ///< Workers with newer software are replacing those of its kind, so it may leave soon; see outdatedWorkers().
    const double m_speed = 1.0; ///< Estimated speed relative to the typical worker of the fleet: at 0.5, tasks take twice as long.
    const bool m_zoneDrained = false; ///< The operator has asked to drain the worker's zone; m_usable is false then.
    const bool m_cold = false; ///< The worker has started or been idle recently, and reports that it is slower than usual for a while.

    bool operator==(const PlacementWorker &) const = default;
};

} // namespace PrimroseBridge
