#pragma once

#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetwire/workerorders.h"
#include "primrosebridge/Model/time.h"
#include "primrosebridge/Progress/jobstate.h"
#include "primrosebridge/Work/job.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace PrimroseBridge {

/// Everything that a VM reads from the store when it becomes the owner.
struct FleetSnapshot {
    const std::int64_t m_fence;
    const std::vector<JobPointer> m_jobs;
    const std::vector<std::string> m_cancelledJobs;
    const std::vector<WorkerReportPointer> m_workers; ///< Those with an entry in the store.
    const std::vector<RosterEntry> m_roster; ///< Those that the predecessor used, whether they have an entry or not.
    const std::int64_t m_rosterVersion;
};

/// This VM owns the fleet from now on.
struct OwnershipGained {
    const std::shared_ptr<const FleetSnapshot> m_snapshot;
};

/// This VM no longer owns the fleet.
struct OwnershipLost {
    const std::int64_t m_fence;
    const std::string m_reason;
};

struct JobSubmitted {
    const JobSpecPointer m_spec;
};

struct JobCancelled {
    const std::string m_job;
};

/// A worker's entry in the store appeared or changed.
struct WorkerReported {
    const WorkerReportPointer m_report;
};

/// A worker's entry in the store was removed.
struct WorkerEntryRemoved {
    const std::string m_worker;
};

/// A worker answered a report request, or did not.
struct PollCompleted {
    const WorkerIncarnation m_life;
    const std::int64_t m_fence;
    const Instant m_sentAt; ///< Boot clock.
    const bool m_leaseRenewed; ///< The request carried a lease end.
    const bool m_immediate; ///< The request was sent besides the regular one.
    const ReportReply m_reply;
};

/// A worker answered a start order, or did not.
struct StartOrderCompleted {
    const TaskReference m_task;
    const std::int64_t m_run;
    const WorkerIncarnation m_life;
    const std::int64_t m_fence;
    const Instant m_sentAt; ///< Boot clock.
    const OrderReply m_reply;
};

/// A worker answered a stop order, or did not.
struct StopOrderCompleted {
    const TaskReference m_task;
    const std::int64_t m_run;
    const WorkerIncarnation m_life;
    const std::int64_t m_fence;
    const OrderReply m_reply;
};

/// The store has acknowledged the progress of a job.
struct ProgressRecorded {
    const std::string m_job;
    const std::int64_t m_version;
    const JobOutcome m_outcome;
};

/// The store has acknowledged a version of the roster.
struct RosterRecorded {
    const std::int64_t m_version;
};

using OwnerEvent = std::variant<OwnershipGained,
                                OwnershipLost,
                                JobSubmitted,
                                JobCancelled,
                                WorkerReported,
                                WorkerEntryRemoved,
                                PollCompleted,
                                StartOrderCompleted,
                                StopOrderCompleted,
                                ProgressRecorded,
                                RosterRecorded>;

} // namespace PrimroseBridge
