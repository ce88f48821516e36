#include "primrosebridge/Fleet/preview.h"

#include "candidates.h"

#include <algorithm>
#include <set>

namespace PrimroseBridge {

std::string_view previewDecisionName(PreviewDecision decision)
{
    switch (decision) {
    case PreviewDecision::Starts:
        return "starts";
    case PreviewDecision::Preempts:
        return "preempts";
    case PreviewDecision::Waits:
        return "waits";
    }
    return "unknown";
}

static PlacementInput withJobAdded(const PlacementInput &input, const JobPointer &job)
{
    // This binding does not compile if a member is added to PlacementInput. A member that is not copied would silently change the preview.
    const auto &[now, wallNow, configuration, inputJobs, workers, remoteFactor, lockedJobs, reclaimDelay, urgentDemand, stopBound, organisationUse] = input;
    auto jobs = inputJobs;
    jobs.push_back(job);
    return PlacementInput{.m_now = now,
                          .m_wallNow = wallNow,
                          .m_configuration = configuration,
                          .m_jobs = std::move(jobs),
                          .m_workers = workers,
                          .m_remoteFactor = remoteFactor,
                          .m_lockedJobs = lockedJobs,
                          .m_reclaimDelay = reclaimDelay,
                          .m_urgentDemand = urgentDemand,
                          .m_stopBound = stopBound,
                          .m_organisationUse = organisationUse};
}

static bool runsRemotely(const JobStep &step, const std::vector<const StartDecision *> &starts, const PlacementInput &input, const std::string &rack)
{
    if (!step.m_dataRack.empty() && step.m_dataRack != rack) {
        return true;
    }
    return step.m_gang && step.m_sameRack
           && std::any_of(starts.begin(), starts.end(), [&](const auto *start) { return input.m_workers[start->m_worker].m_report->m_rack != rack; });
}

// Bounds the run time on a worker whose speed is unusable.
constexpr double minSpeed = 0.01;

static Duration estimatedRunTime(const JobStep &step, const StartDecision &start, const std::vector<const StartDecision *> &starts, const PlacementInput &input)
{
    const auto &worker = input.m_workers[start.m_worker];
    const auto factor = runsRemotely(step, starts, input, worker.m_report->m_rack) ? input.m_remoteFactor : 1.0;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, Duration::period>(step.m_estimate) * factor / std::max(worker.m_speed, minSpeed));
}

static std::vector<PreviewPlace> placesOfStep(const JobStep &step, const std::vector<const StartDecision *> &starts, const PlacementInput &input)
{
    Duration slowest(0);
    for (const auto *start : starts) {
        slowest = std::max(slowest, estimatedRunTime(step, *start, starts, input));
    }
    std::vector<PreviewPlace> places;
    places.reserve(starts.size());
    for (const auto *start : starts) {
        const auto &report = *input.m_workers[start->m_worker].m_report;
        places.push_back(PreviewPlace{.m_step = start->m_task.m_step,
                                      .m_task = start->m_task.m_index,
                                      .m_worker = report.m_incarnation.m_worker,
                                      .m_zone = report.m_zone,
                                      .m_rack = report.m_rack,
                                      .m_estimatedRunTime = step.m_gang ? slowest : estimatedRunTime(step, *start, starts, input)});
    }
    return places;
}

static std::vector<PreviewPlace> placesOf(const JobSpec &spec, const PlacementDecisions &decisions, const PlacementInput &input)
{
    std::vector<std::vector<const StartDecision *>> byStep(spec.m_steps.size());
    for (const auto &start : decisions.m_starts) {
        if (start.m_task.m_job == spec.m_id) {
            byStep[static_cast<std::size_t>(start.m_task.m_step)].push_back(&start);
        }
    }
    std::vector<PreviewPlace> places;
    for (std::size_t step = 0; step < byStep.size(); ++step) {
        for (auto &place : placesOfStep(spec.m_steps[step], byStep[step], input)) {
            places.push_back(std::move(place));
        }
    }
    return places;
}

// Returns the stops that a pass without the job does not decide. Other work may preempt in the same pass.
static std::vector<PreviewVictim> victimsOf(const PlacementDecisions &decisions, const PlacementInput &inputWithoutJob)
{
    std::vector<PreviewVictim> victims;
    if (decisions.m_stops.empty()) {
        return victims; // Saves the second pass in the usual case.
    }
    std::set<TaskReference> stoppedAnyway;
    for (const auto &stop : decidePlacement(inputWithoutJob).m_stops) {
        stoppedAnyway.insert(stop.m_task);
    }
    for (const auto &stop : decisions.m_stops) {
        if (!stoppedAnyway.contains(stop.m_task)) {
            victims.push_back(PreviewVictim{.m_task = stop.m_task, .m_worker = stop.m_assignedWorker.m_worker});
        }
    }
    return victims;
}

// Returns the accelerator-seconds of the unfinished tasks of the job.
static double unfinishedWork(const JobState &job, Instant now)
{
    double work = 0.0;
    for (const auto &occurrence : job.m_occurrences) {
        for (std::size_t index = 0; index < occurrence->m_steps.size(); ++index) {
            const auto &step = job.m_spec->m_steps[index];
            for (const auto &task : occurrence->m_steps[index]->m_tasks) {
                const bool holdsPlace = task->m_phase == TaskPhase::Running || task->m_phase == TaskPhase::Starting;
                if (task->m_phase == TaskPhase::Waiting || holdsPlace) {
                    const auto left = holdsPlace ? std::max(step.m_estimate - (now - task->m_phaseSince), Duration(0)) : step.m_estimate;
                    work += std::chrono::duration<double>(left).count() * static_cast<double>(step.m_taskResources.m_accelerators);
                }
            }
        }
    }
    return work;
}

// The job for which the wait is estimated is the last one of @p input; its own work does not count.
static std::optional<Duration>
estimatedWait(const PlacementInput &input, const std::vector<const QueuePolicy *> &policies, const std::vector<UrgencyRank> &ranks)
{
    const auto &pool = policies.back()->m_workerPool;
    double accelerators = 0.0;
    for (const auto &worker : input.m_workers) {
        accelerators += worker.m_usable && worker.m_report->m_pool == pool ? static_cast<double>(worker.m_report->m_capacity.m_accelerators) : 0.0;
    }
    if (accelerators <= 0.0) {
        return std::nullopt;
    }
    double work = 0.0;
    for (std::size_t index = 0; index + 1 < input.m_jobs.size(); ++index) {
        const bool isAhead = input.m_jobs[index]->m_outcome == JobOutcome::Active && ranks[index] <= ranks.back();
        work += isAhead && policies[index] && policies[index]->m_workerPool == pool ? unfinishedWork(*input.m_jobs[index], input.m_now) : 0.0;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work / accelerators));
}

PlacementPreview previewPlacement(const PlacementInput &input, const JobSpec &spec)
{
    const auto accepted = newJobState(std::make_shared<const JobSpec>(spec), std::nullopt, input.m_now);
    const auto extended = withJobAdded(input, withDueOccurrences(accepted, input.m_wallNow, input.m_now));
    const auto decisions = decidePlacement(extended);
    const auto policies = policiesOfJobs(extended);
    const auto ranks = rankJobs(extended, policies);
    auto places = placesOf(spec, decisions, extended);
    auto victims = victimsOf(decisions, input);
    int waitingTasks = 0;
    std::optional<WaitReason> reason;
    for (const auto &waiting : decisions.m_waiting) {
        if (waiting.m_job == extended.m_jobs.size() - 1) {
            waitingTasks += waiting.m_tasks;
            reason = reason ? reason : std::optional(waiting.m_reason);
        }
    }
    const auto decision = !places.empty() ? PreviewDecision::Starts : (!victims.empty() ? PreviewDecision::Preempts : PreviewDecision::Waits);
    return PlacementPreview{.m_decision = decision,
                            .m_rank = ranks.back(),
                            .m_places = std::move(places),
                            .m_victims = std::move(victims),
                            .m_waitingTasks = waitingTasks,
                            .m_waitReason = reason,
                            .m_estimatedWait = waitingTasks == 0 ? std::optional(Duration(0)) : estimatedWait(extended, policies, ranks)};
}

} // namespace PrimroseBridge
