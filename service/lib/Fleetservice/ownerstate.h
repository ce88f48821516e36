#pragma once

#include "primrosebridge/Fleet/placement.h"
#include "primrosebridge/Fleetservice/fleetowner.h"
#include "primrosebridge/Ownership/authority.h"
#include "primrosebridge/Pipeline/boundedqueue.h"
#include "primrosebridge/Pipeline/shardedmap.h"

#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Unanswered requests after which leases are no longer renewed, so that the time by which they have lapsed stands still.
constexpr int missedPollsToStopRenewal = 2;

using JobShards = ShardedMap<std::string, JobState>;

/// An end that the worker may not forget before a job's progress is in the store.
struct PendingRunEnd {
    std::int64_t m_number;
    std::string m_job;
    std::int64_t m_version; ///< 0 if nothing has to be recorded.
};

/// What the owner knows of one life of a worker.
struct TrackedWorker {
    WorkerReportPointer m_report;
    std::shared_ptr<const WorkerIncarnation> m_life;
    bool m_entryPresent = true; ///< The store holds the worker's entry.
    bool m_leftGracefully = false; ///< The entry went as announced, so that nothing runs there once the worker answers no more.
    bool m_fenceConfirmed = false; ///< It has answered under the present fence.
    Instant m_answeredAt;
    Instant m_answeringSince; ///< It has left no request unanswered from then until m_answeredAt.
    std::int64_t m_workerClockAtAnswerMs = 0; ///< Worker's clock in milliseconds.
    Instant m_leasesExpiredBy; ///< Boot clock; whatever ran there has lapsed by then unless the lease is renewed.
    int m_missedPolls = 0; ///< Requests in a row without an answer.
    std::string m_lastFailedJob;
    int m_failureStreak = 0; ///< Failed runs of different jobs since the last success.
    Instant m_isolatedUntil;
    Instant m_noStartsUntil;
    int m_unknownRuns = 0; ///< In the newest list; they take up room that no known task accounts for until they are stopped.
    Instant m_slowUntil; ///< Tasks there were lately behind those of their steps elsewhere.
    Instant m_leavesAt; ///< Boot clock; a draining worker is there until then at least.
    std::int64_t m_lastHandledEnd = 0;
    std::int64_t m_lastAcknowledgedEnd = 0; ///< Handled and recorded, so that the worker may forget them.
    std::deque<PendingRunEnd> m_pendingRunEnds;
    bool m_pollInFlight = false;
    bool m_immediatePollInFlight = false;
    Instant m_nextPollAt;
    std::int64_t m_rosterVersion = 0; ///< First version of the roster that names this life as one that gets starts; 0 if none does yet.
    /// Set while the worker gets no starts, see RosterEntry::m_jobsIfCordoned; the recorded roster may say so.
    std::optional<std::set<std::string>> m_jobsIfCordoned;
    std::set<TaskReference> m_tasks; ///< Believed to be there.
    std::map<TaskReference, std::int64_t> m_listedRuns; ///< Newest run of each task that a list of this life has named.
};

/// A step of one occurrence of a job.
struct StepReference {
    const std::string m_job;
    const std::int64_t m_occurrence;
    const int m_step;

    auto operator<=>(const StepReference &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// How long a step has had tasks without a place, and why.
struct StepWait {
    UrgencyRank m_rank;
    WaitReason m_reason; ///< In the last pass.
    Instant m_since; ///< Boot clock at the first pass that left tasks without a place.
    std::optional<Instant> m_loggedAt; ///< Boot clock at the last line about it.
    std::map<WaitReason, Duration> m_byReason; ///< The time since m_since by its reason.
};

/// The state of the owner's stage. Only the job shards and the fence are used by other threads.
struct OwnerState {
    explicit OwnerState(OwnerContext context)
        : m_context(std::move(context))
    {
    }

    const OwnerContext m_context;
    std::shared_ptr<BoundedQueue<OwnerEvent>> m_events;
    JobShards m_jobs;
    std::atomic<std::int64_t> m_fence = 0; ///< 0 while another VM owns the fleet.
    std::map<std::string, TrackedWorker> m_workers;
    std::vector<std::string> m_jobOrder; ///< Active jobs and those with tasks at workers, in the order of acceptance.
    std::set<std::string> m_lockedJobs; ///< Known when this VM became the owner, while m_awaitedWorkers may have runs of any of them.
    std::set<std::string> m_awaitedWorkers; ///< Have not answered this owner, and the predecessor may have sent them starts to the end.
    Instant m_jobsLockedUntil;
    std::int64_t m_rosterVersion = 0; ///< Newest that was sent to the store.
    std::int64_t m_recordedRosterVersion = 0; ///< Newest that the store has acknowledged.
    bool m_rosterChanged = false;
    bool m_placementNeeded = false; ///< Work may start that could not before.
    bool m_capacityFreed = false; ///< Work that waits for room may start.
    Instant m_speedsReviewedAt;
    std::map<StepReference, StepWait> m_waits; ///< Of the steps that waited in the last pass.
    Instant m_waitsUpdatedAt; ///< Boot clock at that pass.
    Instant m_waitLogPeriodStart;
    int m_waitLogLines = 0; ///< Lines about waits since then.
    std::optional<UrgentDemandPeak> m_urgentDemand; ///< Empty until the first pass.
    bool m_soleOwner = true; ///< The store's lease holds, so that no other VM can be the owner.
    Instant m_leaseEnd; ///< Boot clock; end of the store's lease as far as it has been renewed.
    std::set<std::string> m_jobsLearntWithoutLease; ///< Learnt of without the lease, so that a successor may run them already.
};

/// Free functions over the state, called on the owner's thread alone.
void applyEvent(OwnerState &state, const OwnerEvent &event, Instant now);
void applyPollResult(OwnerState &state, const PollCompleted &event, Instant now);
void applyStartResult(OwnerState &state, const StartOrderCompleted &event, Instant now);
void applyStopResult(OwnerState &state, const StopOrderCompleted &event, Instant now);
/// Notes until when this VM's lease at the store holds; logs a change.
void updateAuthority(OwnerState &state, Instant leaseEnd, Instant now);
/// What this VM may do by the state of its lease.
OwnerAuthority authorityOf(const OwnerState &state);
void reviewFleet(OwnerState &state, Instant now);
void runPlacementPass(OwnerState &state, Instant now);
/// Logs and counts how long steps wait for places, and why.
void updateWaits(OwnerState &state, const PlacementInput &input, const PlacementDecisions &decisions, Instant now);

/// Replaces a task and keeps the workers' lists of tasks in step.
void setTask(OwnerState &state, const TaskReference &reference, const TaskPointer &task);
/// Replaces a job and keeps the workers' lists of tasks in step.
void setJob(OwnerState &state, const JobPointer &job);
/// The tasks of a life of a worker that is over wait again, those without @p listedOnly also if no list has named their runs.
void releaseTasks(OwnerState &state, TrackedWorker &worker, std::string_view reason, Instant now, bool listedOnly = false);
/// Sends a stop order; the task's place stays taken until the worker lists the end.
void orderStop(OwnerState &state, const WorkerIncarnation &life, const TaskReference &task, std::int64_t run, StopReason reason, Instant now);
void orderStart(OwnerState &state, const StartDecision &decision, const PlacementWorker &worker, const JobPointer &job, Instant now);
/// Asks a worker for its lists.
void pollWorker(OwnerState &state, TrackedWorker &worker, bool quick, Instant now);
/// Between list requests to a worker without tasks; not 0 on fleets of thousands only.
Duration idlePollPause(const OwnerState &state);
/// The worker's entry for that life, or null.
TrackedWorker *findWorker(OwnerState &state, const WorkerIncarnation &life);
/// Queues the job's progress for the store if it has changed since the last time.
void recordProgressIfChanged(const OwnerState &state, const JobPointer &job);
/// Lets the worker forget the ends whose jobs are recorded, in order. Returns whether there were any.
bool acknowledgeRecordedEnds(const OwnerState &state, TrackedWorker &worker);
/// Stops every run of a job whose outcome is settled.
void stopJobRuns(OwnerState &state, const JobPointer &job, StopReason reason, Instant now);
/// The worker is there, answers, is named in the recorded roster and takes new work.
bool isUsable(const OwnerState &state, const TrackedWorker &worker, Instant now);
/// Jobs of which the tasks that seem to wait may run at a worker that has not answered this owner yet; sorted.
std::vector<std::string> lockedJobs(const OwnerState &state, Instant now);
/// Sends the roster to the store if it has changed.
void recordRosterIfChanged(OwnerState &state);

} // namespace PrimroseBridge
