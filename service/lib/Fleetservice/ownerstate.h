#pragma once

#include "primrosebridge/Fleet/placement.h"
#include "primrosebridge/Fleet/workerspeed.h"
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

/// Consecutive missed polls after which a worker is cordoned and polls no longer renew its leases, so that
/// TrackedWorker::m_leasesExpiredBy stops moving forward.
constexpr int missedPollsToStopRenewal = 2;

/// Pause before an unanswered stop order is sent again: the time-out of an order plus the transit time of a late answer. Stop orders are
/// idempotent.
constexpr Duration stopRepeatDelay(700);

using JobShards = ShardedMap<std::string, JobState>;

/// The end of a run that the worker must keep listing until the job's progress is in the store.
struct PendingRunEnd {
    std::int64_t m_number; ///< The worker's sequence number of the end.
    std::string m_job;
    std::int64_t m_version; ///< Version of the job that has to be recorded first; 0 if none.
};

/// A start order without an answer. The worker may execute it seconds later.
struct UnansweredStart {
    std::int64_t m_runNumber;
    std::string m_checkpoint; ///< Checkpoint that the order carried; empty if none.
    int m_repeats = 0; ///< How often the order has been sent again.
};

/// One run of a task.
struct RunReference {
    const TaskReference m_task;
    const std::int64_t m_runNumber;

    bool operator==(const RunReference &) const = default;
    auto operator<=>(const RunReference &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// A run on a worker that is not, or no longer, the present run of its task, and that is not known to be over. It must stop.
struct SupersededRun {
    bool m_executedOrRefused = false; ///< The worker has listed the run or answered its start or stop, so that it does not start the run later.
    bool m_stopAccepted = false;
    Instant m_stopOrderedAt; ///< Boot clock; or when the run was superseded, if it is expected to end by itself.
    Instant m_lastSeenAt; ///< Boot clock. Only a run report that was requested later shows that the run is over.
};

/// Why the owner takes a run for over although the run's worker has not said so.
enum class ReleaseBelief {
    LeasesExpired, ///< Every lease of the worker's runs has expired by this VM's boot clock.
    WorkerRestarted, ///< The first report of a later start, which the store's entry names, does not list the run.
    OtherStartAnswered, ///< A poll of the worker was answered under another start time.
    RunVanished, ///< A list of the worker lacks the run, and no stop of the run was answered before.
    StopUnconfirmed, ///< Another run replaces this one, whose stop was ordered and is not confirmed.
    Takeover, ///< The worker has not told this owner which runs of the previous owner it executes, and their leases have expired.
};

/// Returns the belief's name in lower_snake_case, for logs and metrics. Thread-safe.
std::string_view releaseBeliefName(ReleaseBelief belief);

/// A run that the owner takes for over without the word of the run's worker. The task's next start is logged with it, because the run may
/// still be executed.
struct ReleasedRun {
    const std::optional<std::int64_t> m_runNumber; ///< Empty if the previous owner may have started the run.
    const WorkerIncarnation m_worker;
    const ReleaseBelief m_belief;
    const std::optional<Instant> m_answeredAt; ///< Boot clock at the last poll that the worker has answered to this owner; empty if there is none.
    const std::string m_successor; ///< Identifier of the worker whose later start shows that this one is over; empty if there is none.

    bool operator==(const ReleasedRun &) const = default;
};

/// The owner's state of one incarnation of a worker.
struct TrackedWorker {
    WorkerReportPointer m_report;
    std::shared_ptr<const WorkerIncarnation> m_incarnation;
    bool m_entryPresent = true; ///< The store holds the worker's entry.
    Instant m_entryMissingSince; ///< Boot clock; while m_entryPresent is false.
    std::int64_t m_fence = 0; ///< Fence of the polls of this process, see workerProcessFence() and raiseFenceOfOtherStart().
    std::int64_t m_ordersFence = 0; ///< Fence of the orders to this process, and of its polls that renew leases or acknowledge ends.
    std::int64_t m_firstEntryRevision = 0; ///< WorkerReport::m_entryRevision of the report by which the owner learnt of this process.
    bool m_fenceConfirmed = false; ///< The worker has answered a poll under m_fence.
    bool m_runsKnown = false; ///< The worker has listed all its runs and run ends under m_fence.
    /// m_fence is higher than that of any call to an earlier process that this owner knew, so that these are refused once m_fenceConfirmed is set.
    bool m_refusesEarlierCalls = false;
    bool m_moreEnds = false; ///< The last report listed only a part of the run ends.
    bool m_formerRunsUnknown
        = false; ///< The previous owner may have started runs on the worker, which has not listed all its runs and run ends to this owner since.
    std::optional<std::int64_t> m_otherStartMs; ///< The other start time, in Unix milliseconds, under which the last poll was answered.
    Instant m_otherStartRequestedAt; ///< Boot clock at which that poll was sent.
    Instant m_answeredAt; ///< Boot clock at the last answered poll.
    Instant m_answerRequestedAt; ///< Boot clock at which that poll was sent, so that this incarnation was up then or later.
    std::int64_t m_workerClockAtAnswerMs = 0; ///< The worker's own clock in the answer of m_answeredAt.
    Instant m_leasesExpiredBy; ///< Boot clock; by then every lease given to the worker's runs has expired, unless it is renewed by this VM or by a successor.
    int m_missedPolls = 0; ///< Consecutive polls without an answer.
    bool m_inheritsRuns = false; ///< The first report of this incarnation decides on the runs of an earlier one; see inheritRuns().
    std::string m_lastFailedJob; ///< Job of the last failure that m_failureStreak counts.
    int m_failureStreak = 0; ///< Failed or stalled runs of different jobs since the last success.
    Instant m_isolatedUntil; ///< Boot clock; until then the worker is used only if nothing else fits.
    Instant m_noStartsUntil; ///< Boot clock; until then the worker gets no start orders because it refused or missed one.
    Instant m_slowUntil; ///< Boot clock; until then the worker counts as slow: its tasks fell behind the other tasks of their steps.
    Instant m_coldUntil; ///< Boot clock; until then the worker is slower than usual, by its last report.
    Instant m_leavesAt; ///< Boot clock; a draining worker stays available at least until then. May be late by the delay of its report.
    std::optional<std::int64_t> m_leavesAtClockMs; ///< The same time on the worker's own clock, which knows no such delay.
    std::int64_t m_lastHandledEnd = 0; ///< Number of the newest run end that has been applied.
    std::int64_t m_lastAcknowledgedEnd = 0; ///< Number up to which run ends are applied and recorded, so that the worker may drop them.
    std::deque<PendingRunEnd> m_pendingRunEnds;
    bool m_pollInFlight = false; ///< The regular long poll.
    bool m_immediatePollInFlight = false; ///< The poll that is sent in addition to the long poll.
    Instant m_nextPollAt; ///< Boot clock.
    std::int64_t m_rosterVersion = 0; ///< First roster version that lists this incarnation as not cordoned; 0 if there is none yet.
    /// Set while the worker is cordoned, see RosterEntry::m_jobsIfCordoned; the recorded roster may already contain it.
    std::optional<std::set<std::string>> m_jobsIfCordoned;
    std::set<TaskReference> m_tasks; ///< Tasks that the owner assigns to this incarnation: starting, running or stopping.
    std::map<TaskReference, UnansweredStart> m_unansweredStarts; ///< Start orders of the runs in m_tasks that were left unanswered at least once.
    /// Boot clock at the last start order of each task that this process or an earlier one left unanswered, until its time is over. A process refuses
    /// those that were meant for an earlier one, but the next process does not; see mayStartLate().
    std::map<TaskReference, Instant> m_lateStarts;
    std::map<RunReference, SupersededRun> m_supersededRuns; ///< They use capacity that is not accounted for, and their jobs are locked.
    std::map<TaskReference, std::int64_t> m_listedRuns; ///< Newest run of each task that this incarnation has reported as running and not yet as ended.
};

/// Limits how many log lines of one kind are written per second.
struct LogLineLimit {
    Instant m_periodStart; ///< Boot clock.
    int m_lines = 0; ///< Log lines since m_periodStart.
};

/// Shortest time between two records of late starts, whose jobs may change with each unanswered order.
constexpr Duration lateStartRecordPeriod(100);

/// A worker that starts, or reaches the store again, writes its entry within this time.
constexpr Duration entryAbsenceBound(3000);

/// A successor waits for as much longer as the record is old.
constexpr Duration lateStartRefreshPeriod(2000);

/// Shortest time between two records of speeds, of which a lost one costs only some time to learn them again.
constexpr Duration speedRecordPeriod(5000);

/// Log lines per second about unanswered calls to all workers. A cut of a zone leaves dozens of polls unanswered at once.
constexpr int maxCallLogLines = 40;

/// Returns true and counts a log line if fewer than @p maxLines have been counted in the present second.
bool claimLogLine(LogLineLimit &limit, int maxLines, Instant now);

/// A step of one occurrence of a job.
struct StepReference {
    const std::string m_job;
    const std::int64_t m_occurrence;
    const int m_step;

    auto operator<=>(const StepReference &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// How long a step has had tasks that could not be placed, and why.
struct StepWait {
    UrgencyRank m_rank;
    WaitReason m_reason; ///< Reason in the last pass.
    Instant m_since; ///< Boot clock at the first pass that could not place all of the step's tasks.
    std::optional<Instant> m_loggedAt; ///< Boot clock at the last log line about this wait.
    std::map<WaitReason, Duration> m_byReason; ///< The wait since m_since, split by reason.
};

/// A shortage that a recent pass has found.
struct TrackedShortage {
    const RankShortage m_last; ///< As of the last pass that found it.
    const Instant m_lastSeenAt; ///< Boot clock at that pass.
};

/// The state of FleetOwner. Only m_events, m_jobs and m_fence are accessed by other threads.
struct OwnerState {
    explicit OwnerState(OwnerContext context)
        : m_context(std::move(context))
    {
    }

    const OwnerContext m_context;
    std::shared_ptr<BoundedQueue<OwnerEvent>> m_events;
    JobShards m_jobs;
    std::atomic<std::int64_t> m_fence = 0; ///< 0 while another VM owns the fleet.
    std::map<std::string, TrackedWorker> m_workers; ///< By identifier; changed only by trackWorker(), forgetWorker() and forgetAllWorkers().
    std::map<TaskReference, ReleasedRun> m_releasedRuns; ///< Runs of tasks that have not been started since; a run is removed when its worker lists it.
    std::vector<std::string> m_jobOrder; ///< Identifiers of active jobs and of jobs with tasks on workers, in order of acceptance.
    std::set<std::string> m_lockedJobs; ///< Active jobs at the takeover; their waiting tasks are not started while m_awaitedWorkers may still run them.
    std::int64_t m_highestFence = 0; ///< Highest fence that this owner has given to a process of any worker.
    std::set<std::string> m_awaitedWorkers; ///< Workers that have not listed all to this owner yet and that the previous owner had not cordoned.
    bool m_formerRosterUnknown = false; ///< Any worker may run tasks of the previous owner, so that only m_jobsLockedUntil unlocks the jobs.
    Instant m_ownedSince; ///< Boot clock at the takeover.
    Instant m_jobsLockedUntil; ///< Boot clock; by then every task lease that the previous owner gave has expired.
    std::int64_t m_rosterVersion = 0; ///< Newest roster version that was queued for the store.
    std::int64_t m_recordedRosterVersion = 0; ///< Newest roster version that the store has acknowledged.
    bool m_rosterChanged = false; ///< The roster has changed since m_rosterVersion.
    LateStartJobs m_formerLateStarts; ///< As the previous owner recorded them, until forgetExpiredFormerLateStarts().
    std::map<std::string, Instant> m_formerLateRunsExpiredBy; ///< Boot clock; for each worker in m_formerLateStarts, see formerLateRunsExpiredBy().
    LateStartJobs m_queuedLateStarts; ///< Content of the newest record of late starts that was queued for the store.
    bool m_lateStartsExpire = false; ///< That record says when runs are over, so that it has to be written again as time passes.
    std::int64_t m_lateStartsVersion = 0; ///< Version of that record.
    Instant m_lateStartsQueuedAt; ///< Boot clock.
    bool m_lateStartsChanged = false; ///< A start may have become late, or excluded, since m_lateStartsQueuedAt.
    bool m_placementNeeded = false; ///< An event may allow waiting tasks to start; a pass is due after minPassInterval.
    bool m_capacityFreed = false; ///< A run has ended and freed capacity; a pass is due after capacityPassInterval.
    Instant m_speedsReviewedAt; ///< Boot clock.
    SpeedEstimates m_speeds; ///< Learnt speeds of machines.
    Instant m_speedsMeasuredAt; ///< Boot clock.
    std::set<std::string> m_unevenMachines; ///< Machines whose placementSpeed() is not 1, as of the last measurement.
    std::map<std::string, double> m_queuedSpeeds; ///< Their speeds in the newest record of speeds that was queued for the store, or read from it.
    std::int64_t m_speedsVersion = 0; ///< Version of that record.
    Instant m_speedsQueuedAt; ///< Boot clock.
    LogLineLimit m_speedLogLines; ///< Of the lines about speeds of machines.
    std::map<StepReference, StepWait> m_waits; ///< Waits of the steps that had unplaced tasks in the last pass.
    Instant m_waitsUpdatedAt; ///< Boot clock at the last pass.
    LogLineLimit m_waitLogLines; ///< Of the lines about waits.
    LogLineLimit m_callLogLines; ///< Of the lines about unanswered calls to workers.
    std::optional<UrgentDemandPeak> m_urgentDemand; ///< Urgent demand as of the last pass; empty until the first one.
    std::optional<OrganisationUse> m_organisationUse; ///< As of the last pass; empty until the first one.
    std::map<std::pair<std::string, UrgencyRank>, TrackedShortage> m_shortages; ///< Those that are not over yet, by pool and rank.
    std::set<StepReference> m_putOffSteps; ///< Steps that have been put off since they began to wait, and still wait.
    LogLineLimit m_putOffLogLines; ///< Of the lines about steps that are put off.
    bool m_soleOwner = true; ///< This VM's ownership lease at the store holds, so that no other VM can be the owner.
    Instant m_leaseEnd; ///< Boot clock; end of the ownership lease as of its last renewal.
    std::set<std::string> m_drainedZones; ///< Zone drains as of the last pass.
    bool m_drainsUnknown = false; ///< Nothing is started, because the drains have not been confirmed for too long; as of the last pass.
    LogLineLimit m_heldStartLogLines; ///< Of the lines about starts that were held back.
    std::set<std::string> m_jobsLearntWithoutLease; ///< Jobs first seen while m_soleOwner was false; a successor may already run them.
};

/// Why a start may not be sent to a worker.
enum class StartHold {
    None,
    ZoneDrained, ///< The operator has asked to drain the worker's zone.
    DrainsUnknown, ///< The drains have not been confirmed for so long that one may be due that this VM does not know.
};

/// When the owner's thread last reviewed the fleet and ran a placement pass.
struct OwnerPacing {
    Instant m_nextReview; ///< Boot clock.
    Instant m_lastPassAt; ///< Boot clock.
    Duration m_passPause{0}; ///< Minimum time between passes that follows from the duration of the last one.
};

// The functions below are called only on the owner's thread.

/// Returns how long the owner's thread may wait for events before its next iteration.
Duration maxWaitForEvents(const OwnerState &state, const OwnerPacing &pacing, Instant now);
/// Applies the events, reviews the fleet and runs a placement pass, if they are due. @p now is the time of the boot clock after the events
/// were taken from the queue.
void runOwnerIteration(OwnerState &state, OwnerPacing &pacing, const std::vector<OwnerEvent> &events, Instant now);

void applyEvent(OwnerState &state, const OwnerEvent &event, Instant now);
void applyPollResult(OwnerState &state, const PollCompleted &event, Instant now);
void applyStartResult(OwnerState &state, const StartOrderCompleted &event, Instant now);
void applyStopResult(OwnerState &state, const StopOrderCompleted &event, Instant now);
/// Stores the end of this VM's ownership lease and updates m_soleOwner; logs a change of m_soleOwner.
void updateAuthority(OwnerState &state, Instant leaseEnd, Instant now);
/// Returns the authority that follows from this VM's ownership lease.
OwnerAuthority authorityOf(const OwnerState &state);
/// Polls the workers that are due, releases tasks whose leases have expired, unlocks jobs, and stops runs that have to stop or move.
void reviewFleet(OwnerState &state, Instant now);
/// Returns the input of a placement pass over @p jobs. Changes nothing.
PlacementInput
placementInput(const OwnerState &state, const FleetConfigurationPointer &configuration, const ZoneDrainView &drains, std::vector<JobPointer> jobs, Instant now);
/// Answers a preview from the owner's present state. Changes nothing and sends nothing.
void answerPreview(const OwnerState &state, const PreviewRequested &event, Instant now);
/// Decides which tasks start and stop, and sends the orders. Does nothing without a configuration.
void runPlacementPass(OwnerState &state, Instant now);
/// Updates, logs and counts how long steps have had unplaced tasks, by reason.
void updateWaits(OwnerState &state, const PlacementInput &input, const PlacementDecisions &decisions, Instant now);
/// Logs shortages that begin or end, and logs and counts steps that are put off and wait for that reason. Precondition: updateWaits() has been
/// called for the pass.
void logShortageChanges(OwnerState &state, const PlacementInput &input, const PlacementDecisions &decisions, Instant now);

/// Replaces a task and updates TrackedWorker::m_tasks. Does nothing if the job or the task does not exist.
void setTask(OwnerState &state, const TaskReference &reference, const TaskPointer &task);
/// Adds or replaces a job and updates TrackedWorker::m_tasks.
void setJob(OwnerState &state, const JobPointer &job);
/// Moves the tasks back to the waiting phase that the worker has run under an earlier start and that the report of a later start does not
/// list. Keeps the tasks whose run the earlier start has never listed, because the later one may execute their orders.
void releaseRunsOfEarlierStart(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, ReleaseBelief belief, Instant now);
/// Ends the tracking of the incarnation that has the identifier of the report and another start, and returns it, if the start of the report is
/// later or the worker's last answer agrees with it. Its tasks stay assigned to
/// it until inheritRuns().
std::optional<TrackedWorker> removeEarlierIncarnation(OwnerState &state, const WorkerReport &report, Instant now);
/// Assigns the tasks of an earlier incarnation to the next one with its identifier, whose first report shows which of them run: the entry alone
/// does not, and orders, which carry only the identifier, may have reached either.
void inheritRuns(OwnerState &state, TrackedWorker &worker, const TrackedWorker &earlier, Instant now);
/// Applies the first report of an incarnation that has inherited runs: releases those that it does not list.
void applyFirstReportOfInheritor(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, Instant now);
/// Remembers that a start order of the task was left unanswered that was sent to @p worker, or to an earlier process of it, at @p sentAt.
void rememberLateStart(OwnerState &state, TrackedWorker &worker, const TaskReference &reference, Instant sentAt);
/// Returns true if a later process of the silent worker, of which this owner knows nothing, may have executed a start order of the task, of this owner
/// or of the previous one. Its run ends by lateRunsExpiredBy().
bool mayStartLate(const OwnerState &state, const TrackedWorker &worker, const TaskReference &reference);
/// Returns when each run is over that a late start may have begun on the silent worker. Unanswered polls may renew its lease for as long as a call may
/// be delayed. A worker whose entry in the store stays missing for entryAbsenceBound counts as gone, so that only its leases are waited for.
Instant lateRunsExpiredBy(const OwnerState &state, const TrackedWorker &worker);
/// Returns true if mayStartLate() holds for any task that this owner has started.
bool hasLateStarts(const OwnerState &state, const TrackedWorker &worker);
/// Gives the process its own fence if that was not possible when the owner learnt of it, in a lapse of the store lease.
void giveOwnFence(OwnerState &state, TrackedWorker &worker, Instant now);
/// Raises the fence of the polls of a worker that answers under another start, so that this process refuses calls that were meant for the known one
/// although its entry has not been read yet. Returns false if it was raised before.
bool raiseFenceOfOtherStart(TrackedWorker &worker);
/// Forgets the late starts whose time was over when the worker's last answer was requested.
void forgetExcludedLateStarts(OwnerState &state, TrackedWorker &worker, Instant now);
/// Releases the tasks of a silent worker whose leases have expired, and forgets its superseded runs, but for those that may start late until
/// @p lateRunsExpired.
void releaseExpiredRuns(OwnerState &state, TrackedWorker &worker, bool lateRunsExpired, Instant now);
/// Returns true if a refusal of a call under @p sentFence shows that another VM owns the fleet, rather than that a later process of the worker has
/// refused a call to an earlier one.
bool showsSuccessor(const OwnerState &state, const WorkerIncarnation &incarnation, std::int64_t sentFence);
/// Remembers a run that the owner takes for over without the word of @p worker, until the task's next start. A run with an unconfirmed stop
/// stays remembered in its place.
void rememberReleasedRun(OwnerState &state,
                         const TrackedWorker &worker,
                         const TaskReference &reference,
                         std::int64_t runNumber,
                         ReleaseBelief belief,
                         const std::string &successor = std::string());
/// Remembers that @p worker may execute runs of the previous owner that are no longer waited for: of any task that is ready to start in the
/// jobs that the worker locks. Logs it; with ReleaseBelief::WorkerRestarted it does nothing else. Does nothing unless
/// TrackedWorker::m_formerRunsUnknown is set, and resets it.
void giveUpFormerRuns(OwnerState &state, TrackedWorker &worker, ReleaseBelief belief, Instant now, const std::string &successor = std::string());
/// The same for the locked jobs, if the roster of the previous owner is unknown.
void giveUpRunsOfUnknownRoster(OwnerState &state);
/// Remembers a run beside the task's present one, whose stop is ordered. A later run that was released stays remembered in its place.
void rememberRunToStop(OwnerState &state, const TrackedWorker &worker, const TaskReference &reference, std::int64_t runNumber);
/// Forgets the released run of a task if @p worker lists it, as running or as ended.
void forgetReleasedRun(OwnerState &state, const TaskReference &reference, const std::string &worker, std::int64_t runNumber);
/// The same for a run that @p worker lists as running and that becomes the task's present one. It is the run of the previous owner whose
/// worker was not known.
void forgetAdoptedRun(OwnerState &state, const TaskReference &reference, const std::string &worker, std::int64_t runNumber);
/// Forgets all released runs of a job that is settled.
void forgetReleasedRuns(OwnerState &state, const std::string &job);
/// Forgets the released runs of the previous owner on a worker that now lists all its runs.
void forgetFormerRuns(OwnerState &state, const WorkerIncarnation &worker);
/// Logs and counts the start of a task whose former run was released without the word of its worker, and forgets that run.
void reportPlacedAgain(OwnerState &state, const TaskReference &reference, std::int64_t runNumber, const WorkerIncarnation &worker, Instant now);
/// Returns the time in milliseconds since the worker's last answer to this owner, or "never", for logs.
std::string answeredMsAgo(const TrackedWorker &worker, Instant now);
/// Sends a stop order. The task keeps its worker until the worker lists the run's end or no longer lists the run.
/// Does nothing if the worker is no longer tracked.
void orderStop(OwnerState &state, const WorkerIncarnation &incarnation, const TaskReference &task, std::int64_t runNumber, StopReason reason, Instant now);
/// Marks the task as starting and sends the start order, before @p sentBefore on the boot clock if that is set. Does nothing if the worker or the task is no
/// longer known.
void orderStart(
    OwnerState &state, const StartDecision &decision, const PlacementWorker &placement, const JobPointer &job, std::optional<Instant> sentBefore, Instant now);
/// Tracks the present run of a task that has been replaced or is no longer needed. Does nothing if @p task is assigned to no tracked worker.
void supersedeRun(OwnerState &state, const TaskReference &reference, const TaskState &task, Instant now);
/// Tracks a listed run that is not the present one of its task, and orders its stop.
void stopListedRun(OwnerState &state, TrackedWorker &worker, const RunReference &run, Instant now);
/// Orders the stop of a superseded run. Does nothing if the run is not tracked as superseded.
void orderStopOfSupersededRun(OwnerState &state, const WorkerIncarnation &incarnation, const RunReference &run, Instant now);
/// Handles the answer to the stop order of a superseded run.
void applyStopOfSupersededRun(OwnerState &state, TrackedWorker &worker, const RunReference &run, Instant now);
/// Removes the superseded runs that are over because a run report that was requested at @p sentAt does not list them.
void removeUnlistedSupersededRuns(OwnerState &state, TrackedWorker &worker, const WorkerRunReport &runReport, Instant sentAt);
/// Ends the tracking of a superseded run that is over. Does nothing if the run is not tracked as superseded.
void removeSupersededRun(OwnerState &state, TrackedWorker &worker, const RunReference &run);
/// Tracks the superseded runs of an earlier start of the worker. The later start has not answered their stops and may execute their starts late.
void inheritSupersededRuns(TrackedWorker &worker, const TrackedWorker &earlier, Instant now);
/// Orders the stop of superseded runs again whose stop orders have not been accepted.
void repeatStopsOfSupersededRuns(OwnerState &state, Instant now);
/// Sends the start order of a task again that the worker has left unanswered and does not list. A worker executes a run number once, so
/// the repetition starts no second run. Returns false if the order may not be repeated; the run has to be stopped then.
bool repeatStart(OwnerState &state, TrackedWorker &worker, const TaskReference &reference, const JobPointer &job, const TaskState &task, Instant now);
/// Requests a worker's run report, and renews its leases if allowed. The worker may delay the answer until
/// a run ends; with @p immediate it answers at once. Does nothing while a poll of the same kind is in flight.
void pollWorker(OwnerState &state, TrackedWorker &worker, bool immediate, Instant now);
/// Returns the pause between polls after the store lease has expired. A poll that the worker keeps open would occupy the only connection that is
/// old enough for orders, see OrderTarget::m_connectedBefore.
Duration pollPauseWithoutLease(const OwnerState &state);
/// Returns the pause between polls of a worker without tasks; it is 0 except on fleets of thousands of workers.
Duration idlePollPause(const OwnerState &state);
using TrackedWorkerIterator = std::map<std::string, TrackedWorker>::iterator;
/// Tracks the worker of the report unless one with its identifier is tracked. Returns the tracked worker and whether it was added.
std::pair<TrackedWorkerIterator, bool> trackWorker(OwnerState &state, const WorkerReportPointer &report, Instant now);
/// Ends the tracking of a worker, which no takeover awaits any longer. Returns the next worker.
TrackedWorkerIterator forgetWorker(OwnerState &state, TrackedWorkerIterator entry);
void forgetAllWorkers(OwnerState &state);
/// Moves m_leavesAt of a draining worker forward to the time that follows from the worker's own clock in its last answer.
void correctLeavingTime(TrackedWorker &worker);
/// Sets the time until which the worker is cold by its own clock, because the owner may learn of its report late. Does nothing before its first answer.
void correctColdTime(TrackedWorker &worker);
/// Returns the pause between polls of a worker that has not answered this owner yet. It is short, because all jobs known at the takeover
/// may wait for the answer, and grows with the fleet.
Duration takeoverRetryPause(const OwnerState &state);
/// Counts a failed or stalled run of @p job, and isolates the worker for some seconds after those of several jobs in a row.
void countFailure(TrackedWorker &worker, const std::string &job, Instant now);
/// Returns the tracked worker of that incarnation, or null.
TrackedWorker *findWorker(OwnerState &state, const WorkerIncarnation &incarnation);
/// Queues the job's progress for the store if it is newer than the version that the store has acknowledged.
void recordProgressIfChanged(const OwnerState &state, const JobPointer &job);
/// Advances m_lastAcknowledgedEnd over the leading run ends whose jobs are recorded. Returns true if it advanced.
bool acknowledgeRecordedEnds(const OwnerState &state, TrackedWorker &worker);
/// Sends stop orders to all runs of the job that are not yet being stopped.
void stopJobRuns(OwnerState &state, const JobPointer &job, StopReason reason, Instant now);
/// Returns the hold's name, for logs and metrics. Thread-safe.
std::string_view startHoldName(StartHold hold);
/// Returns the zone drains that this VM knows at present.
ZoneDrainView zoneDrainsNow(const OwnerState &state);
/// Returns whether a start on a worker of @p zone must be held back.
StartHold startHold(const OwnerState &state, const ZoneDrainView &view, const std::string &zone, Instant now);
/// Logs zone drains that have been requested or ended since the last pass.
void logZoneDrainChanges(OwnerState &state, const ZoneDrainView &view, Instant now);
/// Logs and counts a start that is held back.
void reportHeldStart(OwnerState &state, const TaskReference &task, const TrackedWorker &worker, StartHold hold, Instant now);
/// Returns the time on the boot clock before which a start that @p view does not hold back must have been sent, if the deployment bounds that. No
/// drain that is unknown to @p view is due before then, so this covers a process that is suspended between the check and the sending.
std::optional<Instant> startSendingEnd(const OwnerState &state, const ZoneDrainView &view);
/// Returns for each start whether @p view, which may be newer than the drains of the pass, holds it back. A gang is held back whole.
/// Precondition: the members of a gang are adjacent.
std::vector<bool>
heldStarts(OwnerState &state, const ZoneDrainView &view, const std::vector<StartDecision> &starts, const std::vector<PlacementWorker> &workers, Instant now);
/// Returns true if the worker may get start orders: it is present, answers, accepts work and is not cordoned in the recorded roster.
bool isUsable(const OwnerState &state, const TrackedWorker &worker, Instant now);
/// Returns the identifiers, sorted, of jobs whose waiting tasks may be running on a worker that has not answered this owner, or
/// under another owner.
std::vector<std::string> jobsLockedByTakeover(const OwnerState &state, Instant now);
/// Returns these jobs and those of superseded runs that are not over: none of their waiting tasks may start.
std::vector<std::string> lockedJobs(const OwnerState &state, Instant now);
/// Queues the roster for the store if it has changed.
void recordRosterIfChanged(OwnerState &state);
/// Forgets the late starts of the previous owner once no run of theirs can go on, the worker's answer excludes them, or the worker is gone.
void forgetExpiredFormerLateStarts(OwnerState &state, Instant now);
/// Queues the record of late starts for the store if it has changed, at most every lateStartRecordPeriod, or if it says when runs are over, every
/// lateStartRefreshPeriod.
void recordLateStartsIfChanged(OwnerState &state, Instant now);
/// Starts from the speeds that the previous owner has recorded.
void restoreSpeeds(OwnerState &state, const SpeedRecord &record);
/// Measures the running tasks and updates the learnt speeds of machines, every 300 ms.
void measureSpeeds(OwnerState &state, Instant now);
/// Measures the run of an end as done. Precondition: @p job is the job before the end is applied to it.
void measureRunEnd(OwnerState &state, const TrackedWorker &worker, const JobState &job, const RunEnd &end, Instant now);
/// Remembers that the owner sees a run for the first time after part of it is done, so that its speed is measured from then on.
void measureFromProgress(OwnerState &state, const TrackedWorker &worker, const RunningTask &runningTask, Instant now);
/// Queues the record of speeds for the store if the speed of a machine has changed by a tenth, at most every speedRecordPeriod.
void recordSpeedsIfChanged(OwnerState &state, Instant now);

} // namespace PrimroseBridge
