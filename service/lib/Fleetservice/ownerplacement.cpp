#include "ownerstate.h"

#include "primrosebridge/Fleet/release.h"
#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <chrono>

namespace PrimroseBridge {

// Part of the time within which guaranteed work has to start (m_reclaimBound) that is reserved for a pass, the stop and start orders,
// and one late answer (500 ms).
static constexpr Duration reclaimSlack(600);

static bool hasRuns(const JobState &job)
{
    for (const auto &occurrence : job.m_occurrences) {
        for (const auto &step : occurrence->m_steps) {
            if (std::any_of(step->m_tasks.begin(), step->m_tasks.end(), [](const auto &task) { return task->m_assignedWorker != nullptr; })) {
                return true;
            }
        }
    }
    return false;
}

// Sets the number of attempts of a job that was restored or submitted before this VM had a configuration with its queue. Returns the job.
static JobPointer applyMaxAttempts(OwnerState &state, const JobPointer &job, const FleetConfigurationPointer &configuration, Instant now)
{
    const auto maxAttempts = findMaxAttempts(*job->m_spec, configuration);
    if (job->m_maxAttempts || !maxAttempts) {
        return job;
    }
    auto changed = withMaxAttempts(*job, *maxAttempts, now);
    setJob(state, changed);
    logEvent(LogLevel::Info,
             "attempts_known",
             {{"request", job->m_spec->m_id},
              {"queue", job->m_spec->m_queue},
              {"attempts", std::to_string(*maxAttempts)},
              {"configuration", std::to_string(configuration->m_version)},
              {"outcome", std::string(outcomeName(changed->m_outcome))}});
    if (changed->m_outcome == JobOutcome::Failed && job->m_outcome == JobOutcome::Active) {
        recordProgressIfChanged(state, changed);
        stopJobRuns(state, changed, StopReason::Superseded, now);
        return state.m_jobs.find(job->m_spec->m_id);
    }
    return changed;
}

// Adds the occurrences that are due and returns the jobs to consider in a pass. Removes settled jobs without runs and unknown jobs from
// m_jobOrder.
static std::vector<JobPointer> collectJobsToPlace(OwnerState &state, const FleetConfigurationPointer &configuration, Instant now)
{
    std::vector<JobPointer> jobs;
    const auto wallNow = state.m_context.m_wallClock();
    std::erase_if(state.m_jobOrder, [&](const std::string &name) {
        auto job = state.m_jobs.find(name);
        if (!job) {
            return true;
        }
        job = applyMaxAttempts(state, job, configuration, now);
        const auto due = withDueOccurrences(job, wallNow, now, state.m_context.m_settings.m_maxValueBytes / 2);
        if (due != job) {
            setJob(state, due);
            job = due;
        }
        if (job->m_outcome != JobOutcome::Active && !hasRuns(*job)) {
            forgetReleasedRuns(state, name);
            return true;
        }
        jobs.push_back(std::move(job));
        return false;
    });
    return jobs;
}

static std::vector<PlacementWorker> placementWorkers(const OwnerState &state, const ZoneDrainView &drains, Instant now)
{
    std::vector<WorkerReportPointer> reports;
    reports.reserve(state.m_workers.size());
    for (const auto &[name, worker] : state.m_workers) {
        reports.push_back(worker.m_report);
    }
    const auto outdated = outdatedWorkers(reports, state.m_context.m_wallClock());
    std::vector<PlacementWorker> workers;
    workers.reserve(reports.size());
    for (const auto &[name, worker] : state.m_workers) {
        const bool held = startHold(state, drains, worker.m_report->m_zone, now) != StartHold::None;
        workers.push_back(PlacementWorker{.m_report = worker.m_report,
                                          .m_incarnation = worker.m_incarnation,
                                          .m_usable = !held && isUsable(state, worker, now),
                                          .m_isolated = worker.m_isolatedUntil > now || worker.m_slowUntil > now,
                                          .m_outdated = outdated[workers.size()],
                                          .m_speed = placementSpeed(state.m_speeds, machineOf(*worker.m_report)),
                                          .m_zoneDrained = held && isUsable(state, worker, now),
                                          .m_cold = worker.m_coldUntil > now});
    }
    return workers;
}

static Duration reclaimDelay(const FleetSettings &settings)
{
    return std::max(settings.m_reclaimBound - settings.m_stopBound - reclaimSlack, Duration(0));
}

PlacementInput
placementInput(const OwnerState &state, const FleetConfigurationPointer &configuration, const ZoneDrainView &drains, std::vector<JobPointer> jobs, Instant now)
{
    return PlacementInput{
        .m_now = now,
        .m_wallNow = state.m_context.m_wallClock(),
        .m_configuration = configuration,
        .m_jobs = std::move(jobs),
        .m_workers = placementWorkers(state, drains, now),
        .m_remoteFactor = state.m_context.m_settings.m_remoteFactor,
        .m_lockedJobs = lockedJobs(state, now),
        .m_reclaimDelay = reclaimDelay(state.m_context.m_settings),
        .m_urgentDemand = state.m_urgentDemand.value_or(UrgentDemandPeak{.m_peakAccelerators = 0.0, .m_largestJobAccelerators = 0.0, .m_updatedAt = now}),
        .m_stopBound = state.m_context.m_settings.m_stopBound,
        .m_organisationUse = state.m_organisationUse.value_or(OrganisationUse{.m_acceleratorSeconds = {}, .m_updatedAt = Instant()}),
    };
}

void runPlacementPass(OwnerState &state, Instant now)
{
    const auto configuration = state.m_context.m_configuration.current();
    if (!configuration) {
        return;
    }
    const auto drains = zoneDrainsNow(state);
    logZoneDrainChanges(state, drains, now);
    const auto input = placementInput(state, configuration, drains, collectJobsToPlace(state, configuration, now), now);
    state.m_organisationUse.emplace(updatedOrganisationUse(input));
    state.m_urgentDemand.emplace(updatedUrgentDemandPeak(input.m_urgentDemand, currentUrgentDemand(input), now));
    const auto startedAt = std::chrono::steady_clock::now();
    const auto decisions = decidePlacement(input);
    auto &metrics = FleetMetrics::instance();
    metrics.observe(FleetHistogram::PassSeconds, std::chrono::duration<double>(std::chrono::steady_clock::now() - startedAt).count());
    metrics.set(FleetGauge::ActiveJobs, static_cast<double>(input.m_jobs.size()));
    metrics.set(FleetGauge::LockedJobs, static_cast<double>(input.m_lockedJobs.size()));
    metrics.set(FleetGauge::Workers, static_cast<double>(input.m_workers.size()));
    updateWaits(state, input, decisions, now);
    logShortageChanges(state, input, decisions, now);
    for (const auto &stop : decisions.m_stops) {
        orderStop(state, stop.m_assignedWorker, stop.m_task, stop.m_runNumber, stop.m_reason, now);
    }
    const auto drainsAtSending = zoneDrainsNow(state);
    const auto held = heldStarts(state, drainsAtSending, decisions.m_starts, input.m_workers, now);
    const auto sentBefore = startSendingEnd(state, drainsAtSending);
    for (std::size_t index = 0; index < decisions.m_starts.size(); ++index) {
        const auto &start = decisions.m_starts[index];
        if (const auto job = held[index] ? nullptr : state.m_jobs.find(start.m_task.m_job)) {
            orderStart(state, start, input.m_workers[start.m_worker], job, sentBefore, now);
        }
    }
    if (!decisions.m_starts.empty() || !decisions.m_stops.empty()) {
        logEvent(LogLevel::Info,
                 "placed",
                 {{"starts", std::to_string(std::count(held.begin(), held.end(), false))},
                  {"stops", std::to_string(decisions.m_stops.size())},
                  {"waiting_steps", std::to_string(decisions.m_waiting.size())},
                  {"jobs", std::to_string(input.m_jobs.size())},
                  {"workers", std::to_string(input.m_workers.size())},
                  {"configuration", std::to_string(configuration->m_version)}});
    }
}

} // namespace PrimroseBridge
