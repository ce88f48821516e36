#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetservice/speedrecord.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <cmath>

// Learnt speeds of machines: the owner measures the runs that workers report, and records the estimates for its successor.

namespace PrimroseBridge {

static constexpr Duration measurementPeriod(300);
// Smaller changes of a speed do not change placement enough to be worth a write.
static constexpr double minRecordedChange = 0.1;
static constexpr int maxSpeedLogLines = 40;

// Returns true if a run that makes progress since @p since tells the usual speed of its machine: not if the worker has just started, or fails its runs.
static bool isUsualSpeed(const TrackedWorker &worker, Instant since, Instant now)
{
    return worker.m_coldUntil <= since && worker.m_isolatedUntil <= now;
}

// Returns since when the run makes progress, or nothing if its speed up to @p until cannot be compared.
static std::optional<Instant> comparableSince(const TrackedWorker &worker, const StepState &state, const JobStep &step, const TaskState &task, Instant until)
{
    const auto since = progressSince(state, step, task);
    const bool comparable = since && isSpeedComparable(step, task, worker.m_report->m_rack) && isUsualSpeed(worker, *since, until);
    return comparable ? since : std::nullopt;
}

static void measureStep(OwnerState &state, const JobState &job, const OccurrenceState &occurrence, int step, Instant now)
{
    const auto &spec = job.m_spec->m_steps[static_cast<std::size_t>(step)];
    const auto &stepState = *occurrence.m_steps[static_cast<std::size_t>(step)];
    for (std::size_t index = 0; index < stepState.m_tasks.size(); ++index) {
        const auto &task = *stepState.m_tasks[index];
        if (task.m_phase != TaskPhase::Running || task.m_percent >= 100) {
            continue;
        }
        const auto *worker = findWorker(state, *task.m_assignedWorker);
        const auto since = worker ? comparableSince(*worker, stepState, spec, task, task.m_progressAt) : std::nullopt;
        if (since) {
            const TaskReference reference{.m_job = job.m_spec->m_id, .m_occurrence = occurrence.m_number, .m_step = step, .m_index = static_cast<int>(index)};
            addRunSample(state.m_speeds,
                         RunSample{.m_task = reference,
                                   .m_runNumber = task.m_runNumber,
                                   .m_machine = machineOf(*worker->m_report),
                                   .m_percent = task.m_percent,
                                   .m_startedAt = *since,
                                   .m_reachedAt = task.m_progressAt},
                         now);
        }
    }
}

static void logSpeed(OwnerState &state, const std::string &machine, double speed, Instant now)
{
    if (!claimLogLine(state.m_speedLogLines, maxSpeedLogLines, now)) {
        return;
    }
    const auto known = state.m_speeds.m_machines.find(machine);
    const auto weight = known == state.m_speeds.m_machines.end() ? 0.0 : known->second.m_weight;
    logEvent(LogLevel::Info, "worker_speed", {{"machine", machine}, {"speed", std::to_string(speed)}, {"weight", std::to_string(weight)}});
}

// Returns the speeds that are not 1.
static std::map<std::string, double> unevenSpeeds(const SpeedEstimates &estimates)
{
    std::map<std::string, double> speeds;
    for (const auto &[name, machine] : estimates.m_machines) {
        if (const auto speed = placementSpeed(estimates, name); speed != 1.0) {
            speeds.emplace(name, speed);
        }
    }
    return speeds;
}

// Logs and counts the machines whose speed differs noticeably from the typical one.
static void reportSpeeds(OwnerState &state, Instant now)
{
    const auto speeds = unevenSpeeds(state.m_speeds);
    std::set<std::string> uneven;
    for (const auto &[name, speed] : speeds) {
        uneven.insert(name);
        if (!state.m_unevenMachines.contains(name)) {
            logSpeed(state, name, speed, now);
        }
    }
    for (const auto &name : state.m_unevenMachines) {
        if (!uneven.contains(name)) {
            logSpeed(state, name, 1.0, now);
        }
    }
    state.m_unevenMachines = std::move(uneven);
    const auto slow = std::count_if(speeds.begin(), speeds.end(), [](const auto &entry) { return entry.second < 1.0; });
    FleetMetrics::instance().set(FleetGauge::SlowMachines, static_cast<double>(slow));
    FleetMetrics::instance().set(FleetGauge::FastMachines, static_cast<double>(speeds.size()) - static_cast<double>(slow));
}

void measureSpeeds(OwnerState &state, Instant now)
{
    if (now < state.m_speedsMeasuredAt + measurementPeriod) {
        return;
    }
    state.m_speedsMeasuredAt = now;
    for (const auto &name : state.m_jobOrder) {
        const auto job = state.m_jobs.find(name);
        if (!job) {
            continue;
        }
        for (const auto &occurrence : job->m_occurrences) {
            for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
                measureStep(state, *job, *occurrence, static_cast<int>(step), now);
            }
        }
    }
    updateSpeedEstimates(state.m_speeds, now);
    reportSpeeds(state, now);
}

void measureRunEnd(OwnerState &state, const TrackedWorker &worker, const JobState &job, const RunEnd &end, Instant now)
{
    const auto step = findStep(job, end.m_task.m_occurrence, end.m_task.m_step);
    const auto task = findTask(job, end.m_task);
    const bool present = task && task->m_assignedWorker && *task->m_assignedWorker == *worker.m_incarnation && task->m_runNumber == end.m_runNumber;
    if (!present || !step || end.m_kind != RunEndKind::Done) {
        return;
    }
    const auto &spec = job.m_spec->m_steps[static_cast<std::size_t>(end.m_task.m_step)];
    const auto since = spec.m_gang ? std::nullopt : comparableSince(worker, *step, spec, *task, now);
    if (since) {
        addRunSample(state.m_speeds,
                     RunSample{.m_task = end.m_task,
                               .m_runNumber = end.m_runNumber,
                               .m_machine = machineOf(*worker.m_report),
                               .m_percent = 100,
                               .m_startedAt = *since,
                               .m_reachedAt = now},
                     now);
    }
}

void measureFromProgress(OwnerState &state, const TrackedWorker &worker, const RunningTask &runningTask, Instant now)
{
    if (runningTask.m_percent > 0) {
        addRunInProgress(state.m_speeds, runningTask.m_task, runningTask.m_runNumber, machineOf(*worker.m_report), runningTask.m_percent, now);
    }
}

void restoreSpeeds(OwnerState &state, const SpeedRecord &record)
{
    state.m_speeds = speedsFromRecord(record);
    state.m_speedsVersion = record.m_version;
    state.m_queuedSpeeds = unevenSpeeds(state.m_speeds);
    state.m_unevenMachines.clear();
    for (const auto &[name, speed] : state.m_queuedSpeeds) {
        state.m_unevenMachines.insert(name);
    }
}

static double speedOf(const std::map<std::string, double> &speeds, const std::string &machine)
{
    const auto found = speeds.find(machine);
    return found == speeds.end() ? 1.0 : found->second;
}

static bool haveSpeedsChanged(const std::map<std::string, double> &before, const std::map<std::string, double> &after)
{
    const auto differs = [&](const auto &entry) {
        return std::abs(speedOf(after, entry.first) - speedOf(before, entry.first)) > minRecordedChange * speedOf(before, entry.first);
    };
    return std::any_of(before.begin(), before.end(), differs) || std::any_of(after.begin(), after.end(), differs);
}

void recordSpeedsIfChanged(OwnerState &state, Instant now)
{
    if (now < state.m_speedsQueuedAt + speedRecordPeriod) {
        return;
    }
    state.m_speedsQueuedAt = now;
    auto speeds = unevenSpeeds(state.m_speeds);
    if (!haveSpeedsChanged(state.m_queuedSpeeds, speeds)) {
        return;
    }
    state.m_queuedSpeeds = std::move(speeds);
    ++state.m_speedsVersion;
    state.m_context.m_enqueueRecord(state.m_fence,
                                    DurableRecord{.m_key = std::string(StoreKeys::speeds),
                                                  .m_job = nullptr,
                                                  .m_value = encodeSpeeds(speedRecord(state.m_speeds, state.m_speedsVersion)),
                                                  .m_version = state.m_speedsVersion});
}

} // namespace PrimroseBridge
