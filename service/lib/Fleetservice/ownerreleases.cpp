#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Observe/log.h"

namespace PrimroseBridge {

std::string_view releaseBeliefName(ReleaseBelief belief)
{
    switch (belief) {
    case ReleaseBelief::LeasesExpired:
        return "leases_lapsed";
    case ReleaseBelief::WorkerRestarted:
        return "worker_restarted";
    case ReleaseBelief::OtherStartAnswered:
        return "other_start_answered";
    case ReleaseBelief::RunVanished:
        return "run_vanished";
    case ReleaseBelief::StopUnconfirmed:
        return "stop_unconfirmed";
    case ReleaseBelief::Takeover:
        return "takeover";
    }
    return "unknown";
}

static std::optional<Instant> lastAnswer(const TrackedWorker &worker)
{
    return worker.m_fenceConfirmed ? std::optional(worker.m_answeredAt) : std::nullopt;
}

static std::string msAgo(const std::optional<Instant> &instant, Instant now)
{
    return instant ? std::to_string((now - *instant).count()) : "never";
}

std::string answeredMsAgo(const TrackedWorker &worker, Instant now)
{
    return msAgo(lastAnswer(worker), now);
}

static void replaceReleasedRun(OwnerState &state, const TaskReference &reference, const ReleasedRun &run)
{
    state.m_releasedRuns.erase(reference);
    state.m_releasedRuns.emplace(reference, run);
}

void rememberReleasedRun(
    OwnerState &state, const TrackedWorker &worker, const TaskReference &reference, std::int64_t runNumber, ReleaseBelief belief, const std::string &successor)
{
    const auto found = state.m_releasedRuns.find(reference);
    if (found != state.m_releasedRuns.end() && found->second.m_belief == ReleaseBelief::StopUnconfirmed && belief != ReleaseBelief::StopUnconfirmed) {
        return; // That run was listed, so it is the likelier one to go on.
    }
    replaceReleasedRun(
        state,
        reference,
        ReleasedRun{
            .m_runNumber = runNumber, .m_worker = *worker.m_incarnation, .m_belief = belief, .m_answeredAt = lastAnswer(worker), .m_successor = successor});
}

void rememberRunToStop(OwnerState &state, const TrackedWorker &worker, const TaskReference &reference, std::int64_t runNumber)
{
    const auto found = state.m_releasedRuns.find(reference);
    if (found == state.m_releasedRuns.end() || found->second.m_runNumber.value_or(runNumber) <= runNumber) {
        rememberReleasedRun(state, worker, reference, runNumber, ReleaseBelief::StopUnconfirmed);
    }
}

// Remembers the run for each task of the job that waits in a step that is ready. The previous owner cannot have started the others.
static void rememberFormerRun(OwnerState &state, const JobState &job, const ReleasedRun &run)
{
    for (const auto &occurrence : job.m_occurrences) {
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            if (!isStepReady(*job.m_spec, *occurrence, static_cast<int>(step))) {
                continue;
            }
            const auto &tasks = occurrence->m_steps[step]->m_tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                const TaskReference reference{
                    .m_job = job.m_spec->m_id, .m_occurrence = occurrence->m_number, .m_step = static_cast<int>(step), .m_index = static_cast<int>(index)};
                if (tasks[index]->m_phase == TaskPhase::Waiting && !state.m_releasedRuns.contains(reference)) {
                    replaceReleasedRun(state, reference, run);
                }
            }
        }
    }
}

static void rememberFormerRuns(OwnerState &state, const std::set<std::string> &jobs, const ReleasedRun &run)
{
    for (const auto &name : jobs) {
        const auto job = state.m_jobs.find(name);
        if (job && job->m_outcome == JobOutcome::Active) {
            rememberFormerRun(state, *job, run);
        }
    }
}

void giveUpFormerRuns(OwnerState &state, TrackedWorker &worker, ReleaseBelief belief, Instant now, const std::string &successor)
{
    if (!worker.m_formerRunsUnknown) {
        return;
    }
    worker.m_formerRunsUnknown = false;
    const auto &jobs = worker.m_jobsIfCordoned ? *worker.m_jobsIfCordoned : state.m_lockedJobs;
    if (jobs.empty()) {
        return;
    }
    logEvent(LogLevel::Warn,
             "former_runs_given_up",
             {{"worker", worker.m_incarnation->m_worker},
              {"belief", std::string(releaseBeliefName(belief))},
              {"answered_ms_ago", answeredMsAgo(worker, now)},
              {"successor", successor.empty() ? "none" : successor},
              {"jobs", std::to_string(jobs.size())}});
    if (belief == ReleaseBelief::WorkerRestarted) {
        return; // A worker that starts again under its identifier loses its runs; a line for each waiting task would hide other lines.
    }
    rememberFormerRuns(
        state,
        jobs,
        ReleasedRun{
            .m_runNumber = std::nullopt, .m_worker = *worker.m_incarnation, .m_belief = belief, .m_answeredAt = lastAnswer(worker), .m_successor = successor});
}

void giveUpRunsOfUnknownRoster(OwnerState &state)
{
    if (!state.m_formerRosterUnknown) {
        return;
    }
    rememberFormerRuns(state,
                       state.m_lockedJobs,
                       ReleasedRun{.m_runNumber = std::nullopt,
                                   .m_worker = WorkerIncarnation{.m_worker = "unknown", .m_startedAtMs = 0},
                                   .m_belief = ReleaseBelief::Takeover,
                                   .m_answeredAt = std::nullopt,
                                   .m_successor = {}});
}

void forgetReleasedRun(OwnerState &state, const TaskReference &reference, const std::string &worker, std::int64_t runNumber)
{
    const auto found = state.m_releasedRuns.find(reference);
    if (found == state.m_releasedRuns.end()) {
        return;
    }
    const auto &run = found->second;
    if (run.m_worker.m_worker == worker && run.m_runNumber.value_or(runNumber) == runNumber) {
        state.m_releasedRuns.erase(found);
    }
}

void forgetAdoptedRun(OwnerState &state, const TaskReference &reference, const std::string &worker, std::int64_t runNumber)
{
    const auto found = state.m_releasedRuns.find(reference);
    if (found != state.m_releasedRuns.end() && !found->second.m_runNumber) {
        state.m_releasedRuns.erase(found);
        return;
    }
    forgetReleasedRun(state, reference, worker, runNumber);
}

void forgetReleasedRuns(OwnerState &state, const std::string &job)
{
    const auto first = state.m_releasedRuns.lower_bound(TaskReference{.m_job = job, .m_occurrence = 0, .m_step = 0, .m_index = 0});
    auto last = first;
    while (last != state.m_releasedRuns.end() && last->first.m_job == job) {
        ++last;
    }
    state.m_releasedRuns.erase(first, last);
}

void forgetFormerRuns(OwnerState &state, const WorkerIncarnation &worker)
{
    std::erase_if(state.m_releasedRuns, [&](const auto &item) { return !item.second.m_runNumber && item.second.m_worker == worker; });
}

void reportPlacedAgain(OwnerState &state, const TaskReference &reference, std::int64_t runNumber, const WorkerIncarnation &worker, Instant now)
{
    const auto found = state.m_releasedRuns.find(reference);
    if (found == state.m_releasedRuns.end()) {
        return;
    }
    const auto &former = found->second;
    const auto *tracked = findWorker(state, former.m_worker); // It may have answered since the release.
    const auto answeredAt = tracked ? lastAnswer(*tracked) : former.m_answeredAt;
    FleetMetrics::instance().increment(FleetCounter::TasksPlacedAgain, releaseBeliefName(former.m_belief));
    logEvent(LogLevel::Warn,
             "task_placed_again",
             {{"request", reference.m_job},
              {"task", taskName(reference)},
              {"run", std::to_string(runNumber)},
              {"worker", worker.m_worker},
              {"former_run", former.m_runNumber ? std::to_string(*former.m_runNumber) : "unknown"},
              {"former_worker", former.m_worker.m_worker},
              {"belief", std::string(releaseBeliefName(former.m_belief))},
              {"answered_ms_ago", msAgo(answeredAt, now)},
              {"successor", former.m_successor.empty() ? "none" : former.m_successor},
              {"sole_owner", state.m_soleOwner ? "yes" : "no"}});
    state.m_releasedRuns.erase(found);
}

} // namespace PrimroseBridge
