#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Ownership/authority.h"

#include <algorithm>

namespace PrimroseBridge {

// A draining worker that does not announce its remaining time stays available at least this long. This is the platform's minimum on its
// smallest deployments.
static constexpr Duration minDrainTime(2000);
// Limits the length of a log line on fleets of thousands of workers.
static constexpr std::size_t maxLoggedNames = 20;

TrackedWorker *findWorker(OwnerState &state, const WorkerIncarnation &incarnation)
{
    const auto found = state.m_workers.find(incarnation.m_worker);
    return found == state.m_workers.end() || *found->second.m_incarnation != incarnation ? nullptr : &found->second;
}

void recordProgressIfChanged(const OwnerState &state, const JobPointer &job)
{
    if (job->m_version > job->m_recordedVersion) {
        state.m_context.m_enqueueRecord(state.m_fence,
                                        DurableRecord{.m_key = progressKey(job->m_spec->m_id), .m_job = job, .m_value = {}, .m_version = job->m_version});
    }
}

bool acknowledgeRecordedEnds(const OwnerState &state, TrackedWorker &worker)
{
    const auto before = worker.m_lastAcknowledgedEnd;
    while (!worker.m_pendingRunEnds.empty()) {
        const auto &first = worker.m_pendingRunEnds.front();
        const auto job = first.m_version == 0 ? nullptr : state.m_jobs.find(first.m_job);
        if (job && job->m_recordedVersion < first.m_version) {
            break;
        }
        worker.m_lastAcknowledgedEnd = first.m_number;
        worker.m_pendingRunEnds.pop_front();
    }
    return worker.m_lastAcknowledgedEnd != before;
}

static void removeTaskFromWorker(OwnerState &state, const TaskReference &reference, const TaskPointer &task)
{
    if (task && task->m_assignedWorker) {
        if (auto *worker = findWorker(state, *task->m_assignedWorker)) {
            worker->m_tasks.erase(reference);
        }
    }
}

static void addTaskToWorker(OwnerState &state, const TaskReference &reference, const TaskPointer &task)
{
    if (task && task->m_assignedWorker) {
        if (auto *worker = findWorker(state, *task->m_assignedWorker)) {
            worker->m_tasks.insert(reference);
        }
    }
}

void setTask(OwnerState &state, const TaskReference &reference, const TaskPointer &task)
{
    const auto job = state.m_jobs.find(reference.m_job);
    if (!job || !findTask(*job, reference)) {
        return;
    }
    removeTaskFromWorker(state, reference, findTask(*job, reference));
    auto changed = withTask(*job, reference, task);
    state.m_jobs.update(reference.m_job, [&](const auto &) { return changed; });
    addTaskToWorker(state, reference, task);
}

template<class Visit>
static void visitTasks(const JobState &job, Visit visit)
{
    for (const auto &occurrence : job.m_occurrences) {
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            const auto &tasks = occurrence->m_steps[step]->m_tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                visit(
                    TaskReference{
                        .m_job = job.m_spec->m_id, .m_occurrence = occurrence->m_number, .m_step = static_cast<int>(step), .m_index = static_cast<int>(index)},
                    tasks[index]);
            }
        }
    }
}

// Visits the tasks of @p job that are not shared with @p other. The end of a run changes only one task of a job that may have hundreds.
template<class Visit>
static void visitChangedTasks(const JobState &job, const JobState &other, Visit visit)
{
    for (const auto &occurrence : job.m_occurrences) {
        const auto counterpart = findOccurrence(other, occurrence->m_number);
        if (counterpart == occurrence) {
            continue;
        }
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            const auto &mine = occurrence->m_steps[step];
            const auto theirs = counterpart ? counterpart->m_steps[step] : nullptr;
            for (std::size_t index = 0; mine != theirs && index < mine->m_tasks.size(); ++index) {
                if (theirs && theirs->m_tasks[index] == mine->m_tasks[index]) {
                    continue;
                }
                visit(
                    TaskReference{
                        .m_job = job.m_spec->m_id, .m_occurrence = occurrence->m_number, .m_step = static_cast<int>(step), .m_index = static_cast<int>(index)},
                    mine->m_tasks[index]);
            }
        }
    }
}

void setJob(OwnerState &state, const JobPointer &job)
{
    const auto &name = job->m_spec->m_id;
    const auto before = state.m_jobs.find(name);
    if (before) {
        visitChangedTasks(*before, *job, [&](const auto &reference, const auto &task) { removeTaskFromWorker(state, reference, task); });
    }
    state.m_jobs.update(name, [&](const auto &) { return job; });
    if (before) {
        visitChangedTasks(*job, *before, [&](const auto &reference, const auto &task) { addTaskToWorker(state, reference, task); });
    } else {
        visitTasks(*job, [&](const auto &reference, const auto &task) { addTaskToWorker(state, reference, task); });
    }
}

void stopJobRuns(OwnerState &state, const JobPointer &job, StopReason reason, Instant now)
{
    visitTasks(*job, [&](const auto &reference, const auto &task) {
        if (task->m_assignedWorker && task->m_phase != TaskPhase::Stopping) {
            orderStop(state, *task->m_assignedWorker, reference, task->m_runNumber, reason, now);
        }
    });
}

void recordRosterIfChanged(OwnerState &state)
{
    if (!state.m_rosterChanged) {
        return;
    }
    state.m_rosterChanged = false;
    ++state.m_rosterVersion;
    std::vector<RosterEntry> workers;
    for (auto &[name, worker] : state.m_workers) {
        if (worker.m_jobsIfCordoned) {
            workers.push_back(RosterEntry{.m_worker = worker.m_report,
                                          .m_jobsIfCordoned = std::vector<std::string>(worker.m_jobsIfCordoned->begin(), worker.m_jobsIfCordoned->end())});
            continue;
        }
        workers.push_back(RosterEntry{.m_worker = worker.m_report, .m_jobsIfCordoned = std::nullopt});
        worker.m_rosterVersion = worker.m_rosterVersion == 0 ? state.m_rosterVersion : worker.m_rosterVersion;
    }
    state.m_context.m_enqueueRecord(state.m_fence,
                                    DurableRecord{.m_key = std::string(StoreKeys::roster),
                                                  .m_job = nullptr,
                                                  .m_value = encodeRoster(Roster{.m_version = state.m_rosterVersion, .m_workers = std::move(workers)},
                                                                          state.m_context.m_settings.m_maxValueBytes),
                                                  .m_version = state.m_rosterVersion});
}

// Returns true if the task may be started again: it is not done, or it is not known yet.
static bool mayStartAgain(const JobState &job, const TaskReference &reference)
{
    const auto task = findTask(job, reference);
    return task ? task->m_phase != TaskPhase::Done : reference.m_occurrence >= job.m_nextOccurrence;
}

// Adds the jobs of which a task has a run that is not over yet although it is not the task's present one.
static void addJobsWithSupersededRuns(const OwnerState &state, std::set<std::string> &jobs)
{
    for (const auto &[name, worker] : state.m_workers) {
        for (const auto &[run, superseded] : worker.m_supersededRuns) {
            if (const auto job = state.m_jobs.find(run.m_task.m_job); job && mayStartAgain(*job, run.m_task)) {
                jobs.insert(run.m_task.m_job);
            }
        }
    }
}

std::vector<std::string> jobsLockedByTakeover(const OwnerState &state, Instant now)
{
    auto locked = state.m_lockedJobs;
    locked.insert(state.m_jobsLearntWithoutLease.begin(), state.m_jobsLearntWithoutLease.end());
    for (const auto &[name, worker] : state.m_workers) {
        if (worker.m_jobsIfCordoned && !worker.m_runsKnown && !haveTaskLeasesExpired(authorityOf(state), worker.m_leasesExpiredBy, now)) {
            locked.insert(worker.m_jobsIfCordoned->begin(), worker.m_jobsIfCordoned->end());
        }
    }
    return {locked.begin(), locked.end()};
}

// Adds the jobs of which a task may be started although a process that this owner cannot reach at present may execute an unanswered start of it.
// Tasks that are still assigned to the worker are not started anyway.
static void addJobsWithLateStarts(const OwnerState &state, std::set<std::string> &jobs, Instant now)
{
    for (const auto &[name, worker] : state.m_workers) {
        const bool reached = worker.m_fenceConfirmed && worker.m_missedPolls == 0;
        if (reached || haveTaskLeasesExpired(authorityOf(state), lateRunsExpiredBy(state, worker), now)) {
            continue;
        }
        for (const auto &[reference, sentAt] : worker.m_lateStarts) {
            const auto job = worker.m_tasks.contains(reference) || !mayStartLate(state, worker, reference) ? nullptr : state.m_jobs.find(reference.m_job);
            if (job && mayStartAgain(*job, reference)) {
                jobs.insert(reference.m_job);
            }
        }
    }
    for (const auto &[name, lateJobs] : state.m_formerLateStarts) {
        const auto worker = state.m_workers.find(name);
        if (worker == state.m_workers.end() || !worker->second.m_runsKnown || worker->second.m_missedPolls > 0) {
            jobs.insert(lateJobs.begin(), lateJobs.end());
        }
    }
}

std::vector<std::string> lockedJobs(const OwnerState &state, Instant now)
{
    const auto byTakeover = jobsLockedByTakeover(state, now);
    std::set<std::string> locked(byTakeover.begin(), byTakeover.end());
    addJobsWithSupersededRuns(state, locked);
    addJobsWithLateStarts(state, locked, now);
    return {locked.begin(), locked.end()};
}

bool isUsable(const OwnerState &state, const TrackedWorker &worker, Instant now)
{
    const bool recorded = !worker.m_jobsIfCordoned && worker.m_rosterVersion > 0 && worker.m_rosterVersion <= state.m_recordedRosterVersion;
    const bool answers = worker.m_entryPresent && worker.m_runsKnown && worker.m_missedPolls == 0;
    return recorded && answers && !worker.m_report->m_draining && worker.m_supersededRuns.empty() && worker.m_noStartsUntil <= now;
}

static TrackedWorker newTrackedWorker(const WorkerReportPointer &report, Instant now)
{
    TrackedWorker entry;
    entry.m_report = report;
    entry.m_incarnation = std::make_shared<const WorkerIncarnation>(report->m_incarnation);
    entry.m_answeredAt = now;
    entry.m_nextPollAt = now;
    return entry;
}

std::pair<TrackedWorkerIterator, bool> trackWorker(OwnerState &state, const WorkerReportPointer &report, Instant now)
{
    return state.m_workers.try_emplace(report->m_incarnation.m_worker, newTrackedWorker(report, now));
}

TrackedWorkerIterator forgetWorker(OwnerState &state, TrackedWorkerIterator entry)
{
    state.m_awaitedWorkers.erase(entry->first);
    state.m_rosterChanged = true;
    state.m_lateStartsChanged = state.m_lateStartsChanged || !entry->second.m_lateStarts.empty();
    return state.m_workers.erase(entry);
}

void forgetAllWorkers(OwnerState &state)
{
    state.m_workers.clear();
    state.m_awaitedWorkers.clear();
}

void correctLeavingTime(TrackedWorker &worker)
{
    if (worker.m_leavesAtClockMs && worker.m_fenceConfirmed) {
        worker.m_leavesAt = std::min(worker.m_leavesAt, worker.m_answeredAt + Duration(*worker.m_leavesAtClockMs - worker.m_workerClockAtAnswerMs));
    }
}

void correctColdTime(TrackedWorker &worker)
{
    const auto &report = *worker.m_report;
    if (report.m_reportedAtClockMs && worker.m_fenceConfirmed) {
        const auto left = Duration(*report.m_reportedAtClockMs - worker.m_workerClockAtAnswerMs) + report.m_coldFor;
        worker.m_coldUntil = std::min(worker.m_coldUntil, worker.m_answeredAt + left);
    }
}

// Tracks or updates a worker. Returns true if it was not tracked before.
static bool applyWorkerReport(OwnerState &state, const WorkerReportPointer &report, Instant now)
{
    const auto earlier = removeEarlierIncarnation(state, *report, now);
    const auto [entry, added] = trackWorker(state, report, now);
    auto &worker = entry->second;
    if (*worker.m_incarnation != report->m_incarnation) {
        return false; // A delayed report of an earlier incarnation.
    }
    if (!added && report->m_draining && !worker.m_report->m_draining) {
        logEvent(LogLevel::Info, "worker_draining", {{"worker", entry->first}, {"tasks", std::to_string(worker.m_tasks.size())}});
    }
    if (report->m_draining && (added || !worker.m_report->m_draining)) {
        const auto leavesIn = report->m_leavesIn.value_or(minDrainTime);
        worker.m_leavesAt = now + leavesIn;
        worker.m_leavesAtClockMs = report->m_reportedAtClockMs ? std::optional(*report->m_reportedAtClockMs + leavesIn.count()) : std::nullopt;
        correctLeavingTime(worker);
    }
    // A listing repeats an entry that may have been written long before. An entry of a warm worker leaves the time as it is, so that it still shows
    // which runs began on a cold worker.
    if (report->m_coldFor > Duration(0) && (added || *worker.m_report != *report)) {
        worker.m_coldUntil = now + report->m_coldFor;
    }
    worker.m_report = report;
    correctColdTime(worker);
    worker.m_entryPresent = true;
    if (added) {
        // The worker may run tasks of a former owner, which may have renewed their leases just before this.
        worker.m_leasesExpiredBy = taskLeasesExpiredBy(now, state.m_context.m_settings.m_taskLease);
        // A process that was forgotten in between has seen at most the highest fence that this owner has given.
        worker.m_ordersFence = earlier ? earlier->m_fence : state.m_highestFence;
        worker.m_firstEntryRevision = report->m_entryRevision;
        giveOwnFence(state, worker, now);
        worker.m_refusesEarlierCalls = earlier && worker.m_fence > earlier->m_ordersFence;
        if (earlier) {
            logEvent(LogLevel::Info,
                     "worker_fence",
                     {{"worker", entry->first},
                      {"started_ms", std::to_string(report->m_incarnation.m_startedAtMs)},
                      {"fence", std::to_string(worker.m_fence)},
                      {"earlier_fence", std::to_string(earlier->m_ordersFence)}});
            inheritRuns(state, worker, *earlier, now);
        }
        state.m_rosterChanged = true;
        pollWorker(state, worker, false, now);
    }
    state.m_placementNeeded = true;
    return added;
}

static void applyReportedWorker(OwnerState &state, const WorkerReportPointer &report, Instant now)
{
    // A takeover reports its workers in one line, because a line for each of a thousand would delay it.
    if (applyWorkerReport(state, report, now)) {
        logEvent(LogLevel::Info, "worker_known", {{"worker", report->m_incarnation.m_worker}, {"zone", report->m_zone}, {"rack", report->m_rack}});
    }
}

// The removal of an entry ends new starts on the worker but releases none of its tasks: the store also removes the entry of a running worker
// that cannot reach it, and an unanswered poll may be due to a reset connection. Only the end of its leases shows that a silent worker runs
// nothing.
static void applyWorkerEntryRemoved(OwnerState &state, const std::string &name, Instant now)
{
    const auto found = state.m_workers.find(name);
    if (found == state.m_workers.end()) {
        return;
    }
    auto &worker = found->second;
    worker.m_entryMissingSince = worker.m_entryPresent ? now : worker.m_entryMissingSince;
    worker.m_entryPresent = false;
    pollWorker(state, worker, true, now);
    logEvent(LogLevel::Info,
             "worker_entry_removed",
             {{"worker", name},
              {"tasks", std::to_string(worker.m_tasks.size())},
              {"draining", worker.m_report->m_draining ? "yes" : "no"},
              {"announced_time_over", worker.m_report->m_draining && worker.m_leavesAt <= now ? "yes" : "no"},
              {"answered_ms_ago", answeredMsAgo(worker, now)}});
}

// Applies the entries in the order in which the workers have started: the keys, by which a listing is ordered, say nothing about which of two
// workers of one machine is the later one.
static void applyListedWorkers(OwnerState &state, const WorkersListed &listing, Instant now)
{
    auto reports = listing.m_workers;
    std::stable_sort(reports.begin(), reports.end(), [](const auto &left, const auto &right) {
        return left->m_incarnation.m_startedAtMs < right->m_incarnation.m_startedAtMs;
    });
    for (const auto &report : reports) {
        applyReportedWorker(state, report, now);
    }
    for (const auto &worker : listing.m_removedWorkers) {
        applyWorkerEntryRemoved(state, worker, now);
    }
}

static void addJob(OwnerState &state, const JobPointer &job)
{
    setJob(state, job);
    state.m_jobOrder.push_back(job->m_spec->m_id);
    state.m_placementNeeded = true;
}

static void applySubmission(OwnerState &state, const JobSpecPointer &spec, Instant now)
{
    if (state.m_jobs.find(spec->m_id)) {
        return;
    }
    const auto age = state.m_context.m_wallClock() - spec->m_acceptedAt;
    const auto configuration = state.m_context.m_configuration.current();
    const auto maxAttempts = findMaxAttempts(*spec, configuration);
    FleetMetrics::instance().observe(FleetHistogram::SubmissionDelaySeconds, std::chrono::duration<double>(age).count());
    logEvent(LogLevel::Info,
             "job_queued",
             {{"request", spec->m_id},
              {"queue", spec->m_queue},
              {"organisation", spec->m_organisation},
              {"age_ms", std::to_string(age.count())},
              {"attempts", maxAttempts ? std::to_string(*maxAttempts) : "unknown"},
              {"configuration", std::to_string(configuration ? configuration->m_version : 0)}});
    if (!state.m_soleOwner) {
        state.m_jobsLearntWithoutLease.insert(spec->m_id);
    }
    addJob(state, newJobState(spec, maxAttempts, now));
}

static void applyCancellation(OwnerState &state, const std::string &name, Instant now)
{
    const auto job = state.m_jobs.find(name);
    if (!job || job->m_outcome != JobOutcome::Active) {
        return;
    }
    const auto changed = withCancellation(*job, now);
    setJob(state, changed);
    logEvent(LogLevel::Info, "job_cancelled", {{"request", name}});
    stopJobRuns(state, changed, StopReason::Cancelled, now);
    recordProgressIfChanged(state, changed);
    state.m_placementNeeded = true;
}

// Returns the names separated by commas; of many, the first ones and an ellipsis.
static std::string firstNames(const std::set<std::string> &names)
{
    std::string text;
    std::size_t count = 0;
    for (const auto &name : names) {
        if (count++ == maxLoggedNames) {
            return text + ",...";
        }
        text += (text.empty() ? "" : ",") + name;
    }
    return text.empty() ? "none" : text;
}

static void applyOwnershipGained(OwnerState &state, const FleetSnapshot &snapshot, Instant now)
{
    for (const auto &job : state.m_jobs.values()) {
        state.m_jobs.update(job->m_spec->m_id, [](const auto &) { return nullptr; });
    }
    forgetAllWorkers(state);
    state.m_jobOrder.clear();
    state.m_lockedJobs.clear();
    state.m_jobsLearntWithoutLease.clear();
    state.m_waits.clear();
    state.m_releasedRuns.clear();
    state.m_shortages.clear();
    state.m_putOffSteps.clear();
    auto jobs = snapshot.m_jobs;
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto &left, const auto &right) { return left->m_spec->m_acceptedAt < right->m_spec->m_acceptedAt; });
    for (const auto &job : jobs) {
        addJob(state, job);
        if (job->m_outcome == JobOutcome::Active) {
            state.m_lockedJobs.insert(job->m_spec->m_id);
        }
    }
    state.m_fence = snapshot.m_fence;
    state.m_leaseEnd = state.m_context.m_leaseEnd(snapshot.m_fence); // Later events of this batch depend on it.
    state.m_highestFence = snapshot.m_fence;
    state.m_formerRosterUnknown = !snapshot.m_rosterReadable;
    state.m_ownedSince = now;
    state.m_jobsLockedUntil = taskLeasesExpiredBy(now, state.m_context.m_settings.m_taskLease);
    for (const auto &entry : snapshot.m_roster) {
        applyWorkerReport(state, entry.m_worker, now);
        auto *worker = findWorker(state, entry.m_worker->m_incarnation);
        if (worker && entry.m_jobsIfCordoned) {
            worker->m_jobsIfCordoned = std::set<std::string>(entry.m_jobsIfCordoned->begin(), entry.m_jobsIfCordoned->end());
        }
        if (worker) {
            worker->m_formerRunsUnknown = true;
        }
    }
    for (const auto &report : snapshot.m_workers) {
        applyWorkerReport(state, report, now);
    }
    std::set<std::string> inRoster;
    for (const auto &entry : snapshot.m_roster) {
        inRoster.insert(entry.m_worker->m_incarnation.m_worker);
    }
    for (auto &[name, worker] : state.m_workers) {
        const auto &present = snapshot.m_workers;
        // The previous owner started nothing on a worker that its recorded roster does not list. Orders name the identifier only, so a
        // listed worker may have restarted.
        worker.m_formerRunsUnknown = inRoster.contains(name);
        if (!worker.m_jobsIfCordoned && worker.m_formerRunsUnknown) {
            state.m_awaitedWorkers.insert(name);
        }
        worker.m_entryPresent = std::any_of(
            present.begin(), present.end(), [&incarnation = *worker.m_incarnation](const auto &report) { return report->m_incarnation == incarnation; });
        worker.m_entryMissingSince = now;
        // The previous owner may have renewed the worker's leases just before the takeover.
        worker.m_leasesExpiredBy = state.m_jobsLockedUntil;
    }
    state.m_formerLateStarts = snapshot.m_lateStarts.m_jobsByWorker;
    state.m_formerLateRunsExpiredBy.clear();
    for (const auto &[name, lateJobs] : state.m_formerLateStarts) {
        const auto longest = state.m_jobsLockedUntil + state.m_context.m_settings.m_callDelayBound;
        const auto recorded = snapshot.m_lateStarts.m_runsOverInMs.find(name);
        const bool known = recorded != snapshot.m_lateStarts.m_runsOverInMs.end();
        state.m_formerLateRunsExpiredBy.emplace(name, known ? std::min(longest, now + Duration(recorded->second)) : longest);
    }
    state.m_lateStartsExpire = !snapshot.m_lateStarts.m_runsOverInMs.empty();
    state.m_queuedLateStarts = state.m_formerLateStarts;
    state.m_lateStartsVersion = snapshot.m_lateStarts.m_version;
    state.m_lateStartsChanged = false;
    restoreSpeeds(state, snapshot.m_speeds);
    state.m_rosterVersion = snapshot.m_rosterVersion;
    state.m_recordedRosterVersion = snapshot.m_rosterVersion;
    state.m_rosterChanged = true;
    for (const auto &job : snapshot.m_cancelledJobs) {
        applyCancellation(state, job, now);
    }
    const auto cordoned
        = std::count_if(state.m_workers.begin(), state.m_workers.end(), [](const auto &entry) { return entry.second.m_jobsIfCordoned.has_value(); });
    const auto notInRoster = std::count_if(state.m_workers.begin(), state.m_workers.end(), [&](const auto &entry) { return !inRoster.contains(entry.first); });
    const auto configuration = state.m_context.m_configuration.current();
    FleetMetrics::instance().increment(FleetCounter::Takeovers);
    logEvent(LogLevel::Info,
             "ownership_taken",
             {{"fence", std::to_string(snapshot.m_fence)},
              {"jobs", std::to_string(jobs.size())},
              {"workers", std::to_string(snapshot.m_workers.size())},
              {"cancelled", std::to_string(snapshot.m_cancelledJobs.size())},
              {"configuration", std::to_string(configuration ? configuration->m_version : 0)},
              {"roster", std::to_string(snapshot.m_roster.size())},
              {"roster_version", std::to_string(snapshot.m_rosterVersion)},
              {"roster_readable", snapshot.m_rosterReadable ? "yes" : "no"},
              {"awaited", std::to_string(state.m_awaitedWorkers.size())},
              {"awaited_workers", firstNames(state.m_awaitedWorkers)},
              {"cordoned", std::to_string(cordoned)},
              {"late_start_workers", std::to_string(state.m_formerLateStarts.size())},
              {"not_in_roster", std::to_string(notInRoster)}});
}

static void applyProgressRecorded(OwnerState &state, const ProgressRecorded &event, Instant now)
{
    const auto job = state.m_jobs.find(event.m_job);
    if (!job) {
        return;
    }
    auto changed = withRecordedVersion(*job, event.m_version, event.m_outcome);
    state.m_jobs.update(event.m_job, [&](const auto &) { return changed; });
    if (event.m_outcome != JobOutcome::Active && job->m_recordedOutcome == JobOutcome::Active) {
        const auto age = state.m_context.m_wallClock() - job->m_spec->m_acceptedAt;
        FleetMetrics::instance().increment(FleetCounter::JobsEnded, outcomeName(event.m_outcome));
        FleetMetrics::instance().observe(FleetHistogram::JobSeconds, std::chrono::duration<double>(age).count());
        logEvent(LogLevel::Info,
                 "job_ended",
                 {{"request", event.m_job}, {"outcome", std::string(outcomeName(event.m_outcome))}, {"age_ms", std::to_string(age.count())}});
    }
    for (auto &[name, worker] : state.m_workers) {
        if (acknowledgeRecordedEnds(state, worker) && !worker.m_pollInFlight) {
            pollWorker(state, worker, false, now);
        }
    }
}

namespace {

// Applies one event; it has one overload for each alternative of OwnerEvent.
struct EventVisitor {
    OwnerState &m_state;
    const Instant m_now;

    void operator()(const OwnershipGained &event) const
    {
        applyOwnershipGained(m_state, *event.m_snapshot, m_now);
    }
    void operator()(const EventOfTerm &event) const
    {
        if (m_state.m_fence == event.m_fence) {
            std::visit(*this, event.m_event);
        }
    }
    void operator()(const OwnershipLost &event) const
    {
        if (m_state.m_fence == event.m_fence) {
            m_state.m_fence = 0;
            logEvent(LogLevel::Warn, "ownership_lost", {{"fence", std::to_string(event.m_fence)}, {"reason", event.m_reason}});
        }
    }
    void operator()(const JobSubmitted &event) const
    {
        if (m_state.m_fence != 0) {
            applySubmission(m_state, event.m_spec, m_now);
        }
    }
    void operator()(const JobCancelled &event) const
    {
        if (m_state.m_fence != 0) {
            applyCancellation(m_state, event.m_job, m_now);
        }
    }
    void operator()(const InboxListed &event) const
    {
        if (m_state.m_fence == 0) {
            return;
        }
        for (const auto &spec : event.m_jobs) {
            applySubmission(m_state, spec, m_now);
        }
        for (const auto &job : event.m_cancelledJobs) {
            applyCancellation(m_state, job, m_now);
        }
    }
    void operator()(const WorkersListed &event) const
    {
        if (m_state.m_fence != 0) {
            applyListedWorkers(m_state, event, m_now);
        }
    }
    void operator()(const WorkerReported &event) const
    {
        if (m_state.m_fence != 0) {
            applyReportedWorker(m_state, event.m_report, m_now);
        }
    }
    void operator()(const WorkerEntryRemoved &event) const
    {
        if (m_state.m_fence != 0) {
            applyWorkerEntryRemoved(m_state, event.m_worker, m_now);
        }
    }
    void operator()(const PollCompleted &event) const
    {
        if (m_state.m_fence == event.m_fence) {
            applyPollResult(m_state, event, m_now);
        }
    }
    void operator()(const StartOrderCompleted &event) const
    {
        if (m_state.m_fence == event.m_fence) {
            applyStartResult(m_state, event, m_now);
        }
    }
    void operator()(const StopOrderCompleted &event) const
    {
        if (m_state.m_fence == event.m_fence) {
            applyStopResult(m_state, event, m_now);
        }
    }
    void operator()(const ProgressRecorded &event) const
    {
        if (m_state.m_fence != 0) {
            applyProgressRecorded(m_state, event, m_now);
        }
    }
    void operator()(const PreviewRequested &event) const
    {
        answerPreview(m_state, event, m_now);
    }
    void operator()(const RosterRecorded &event) const
    {
        if (m_state.m_fence != 0) {
            m_state.m_recordedRosterVersion = std::max(m_state.m_recordedRosterVersion, event.m_version);
            m_state.m_placementNeeded = true;
        }
    }
};

} // namespace

void applyEvent(OwnerState &state, const OwnerEvent &event, Instant now)
{
    std::visit(EventVisitor{.m_state = state, .m_now = now}, event);
}

} // namespace PrimroseBridge
