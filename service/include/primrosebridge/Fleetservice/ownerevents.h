#pragma once

#include "primrosebridge/Fleet/preview.h"
#include "primrosebridge/Fleet/worker.h"
#include "primrosebridge/Fleet/workerspeed.h"
#include "primrosebridge/Fleetservice/latestarts.h"
#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetwire/workerorders.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"
#include "primrosebridge/Progress/jobstate.h"
#include "primrosebridge/Work/job.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace PrimroseBridge {

/// A placement preview and what it is based on.
struct OwnerPreview {
    const PlacementPreview m_preview;
    const std::int64_t m_configurationVersion;

    bool operator==(const OwnerPreview &) const = default;
};

/// The state that a VM reads from the store when it becomes the owner.
struct FleetSnapshot {
    const std::int64_t m_fence;
    const std::vector<JobPointer> m_jobs;
    const std::vector<std::string> m_cancelledJobs;
    const std::vector<WorkerReportPointer> m_workers; ///< Workers with an entry in the store.
    const std::vector<RosterEntry> m_roster; ///< Workers that the previous owner used, with or without an entry in the store.
    const std::int64_t m_rosterVersion;
    const bool m_rosterReadable = true; ///< False if the store holds a roster that cannot be decoded; m_roster is then empty.
    const LateStartRecord m_lateStarts = LateStartRecord{.m_version = 0, .m_jobsByWorker = {}}; ///< As the previous owner recorded them.
    const SpeedRecord m_speeds = SpeedRecord{.m_version = 0}; ///< As the previous owner recorded them.
};

/// This VM has become the owner of the fleet.
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

/// The inbox was listed. The entries are applied together, because a decision on some of them could start a job that others cancel.
struct InboxListed {
    const std::vector<JobSpecPointer> m_jobs;
    const std::vector<std::string> m_cancelledJobs;
};

/// The workers' entries were listed. They are applied together, because a decision on some of them could use a worker that has left.
struct WorkersListed {
    const std::vector<WorkerReportPointer> m_workers;
    const std::vector<std::string> m_removedWorkers; ///< Workers that had an entry before and have none in the listing.
};

/// A poll of a worker has ended with an answer or without one. In this and the next two events m_fence names the term.
struct PollCompleted {
    const WorkerIncarnation m_incarnation;
    const std::int64_t m_fence;
    const Instant m_sentAt; ///< Boot clock.
    const bool m_leaseRenewed; ///< The poll carried a new lease end for the worker's runs.
    const bool m_immediate; ///< The worker was asked to answer at once; the poll was sent in addition to the regular long poll.
    const RunReportReply m_reply;
    const std::int64_t m_lastAcknowledgedEnd = 0; ///< As in the request.
    const std::optional<std::int64_t> m_leaseEndMs = std::nullopt; ///< As in the request.
    const std::int64_t m_workerFence = 0; ///< Fence of the call, which is that of the worker's process; see workerProcessFence().
};

/// A start order has been answered or has failed.
struct StartOrderCompleted {
    const TaskReference m_task;
    const std::int64_t m_runNumber;
    const std::string m_checkpoint; ///< Checkpoint that the order carried; empty if none.
    const WorkerIncarnation m_incarnation;
    const std::int64_t m_fence;
    const Instant m_sentAt; ///< Boot clock.
    const OrderReply m_reply;
    const std::int64_t m_workerFence = 0; ///< Fence of the call.
};

/// A stop order has been answered or has failed.
struct StopOrderCompleted {
    const TaskReference m_task;
    const std::int64_t m_runNumber;
    const WorkerIncarnation m_incarnation;
    const std::int64_t m_fence;
    const OrderReply m_reply;
    const std::int64_t m_workerFence = 0; ///< Fence of the call.
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

/// What a watch of the store or the progress writer reports in the term @p m_fence. It is dropped in any other term: entries of an earlier
/// watch may be older than the snapshot of the present term.
struct EventOfTerm {
    const std::int64_t m_fence;
    const std::variant<JobSubmitted, JobCancelled, InboxListed, WorkerReported, WorkerEntryRemoved, WorkersListed, ProgressRecorded, RosterRecorded> m_event;
};

/// Pause after which a preview that could not be answered may be asked for again. Each VM serves one a second.
constexpr Duration previewRetryDelay(1000);

/// An operator asks where a job would be placed.
struct PreviewRequested {
    const JobSpecPointer m_spec;
    /// Gets the preview and the version of the configuration that it is based on, or Unavailable. Called once, on the owner's thread; must not block.
    const std::function<void(const Result<OwnerPreview> &preview)> m_answer;
};

using OwnerEvent = std::variant<OwnershipGained,
                                EventOfTerm,
                                OwnershipLost,
                                JobSubmitted,
                                JobCancelled,
                                InboxListed,
                                WorkerReported,
                                WorkerEntryRemoved,
                                WorkersListed,
                                PollCompleted,
                                StartOrderCompleted,
                                StopOrderCompleted,
                                ProgressRecorded,
                                RosterRecorded,
                                PreviewRequested>;

} // namespace PrimroseBridge
