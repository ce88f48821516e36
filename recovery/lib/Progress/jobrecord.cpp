#include "primrosebridge/Progress/jobrecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace PrimroseBridge {

using Json = nlohmann::json;

// Layout version of both records. decodeSubmission() rejects records with a later version, which a newer release may have written.
constexpr int recordLayoutVersion = 1;
// Limits of a recorded policy, so that times computed from a record of another writer do not overflow.
constexpr double maxSlackFactor = 1e6;
constexpr std::int64_t maxLatencyGoalMs = std::int64_t(366) * 24 * 3600 * 1000;

static Error malformedRecordError(const std::string &recordName, const std::string &reason)
{
    return {ErrorKind::Internal, "the " + recordName + " record is malformed: " + reason, "check which release wrote the record"};
}

static Json encodeStep(const JobStep &step)
{
    return Json{
        {"tasks", step.m_taskCount},
        {"cores", step.m_taskResources.m_milliCores},
        {"memory", step.m_taskResources.m_memoryMb},
        {"accelerators", step.m_taskResources.m_accelerators},
        {"estimate", step.m_estimate.count()},
        {"after", step.m_after},
        {"gang", step.m_gang},
        {"same_rack", step.m_sameRack},
        {"label", step.m_requiredLabel},
        {"data_rack", step.m_dataRack},
        {"max_per_worker", step.m_maxPerWorker},
        {"speculative", step.m_speculative},
        {"checkpointing", step.m_checkpointing},
        {"long_running", step.m_longRunning},
        {"image", step.m_image},
        {"tail_latency", step.m_tailLatencyTarget.count()},
        {"filler", step.m_filler},
        {"max_unavailable", step.m_maxUnavailable},
    };
}

static JobStep decodeStep(const Json &json)
{
    return JobStep{
        .m_taskCount = json.at("tasks").get<int>(),
        .m_taskResources = Resources{.m_milliCores = json.at("cores").get<std::int64_t>(),
                                     .m_memoryMb = json.at("memory").get<std::int64_t>(),
                                     .m_accelerators = json.at("accelerators").get<std::int64_t>()},
        .m_estimate = Duration(json.at("estimate").get<std::int64_t>()),
        .m_after = json.at("after").get<std::vector<int>>(),
        .m_gang = json.at("gang").get<bool>(),
        .m_sameRack = json.at("same_rack").get<bool>(),
        .m_requiredLabel = json.at("label").get<std::string>(),
        .m_dataRack = json.at("data_rack").get<std::string>(),
        .m_maxPerWorker = json.at("max_per_worker").get<int>(),
        .m_speculative = json.at("speculative").get<bool>(),
        .m_checkpointing = json.at("checkpointing").get<bool>(),
        .m_longRunning = json.at("long_running").get<bool>(),
        .m_image = json.at("image").get<std::string>(),
        .m_tailLatencyTarget = Duration(json.at("tail_latency").get<std::int64_t>()),
        .m_filler = json.at("filler").get<bool>(),
        .m_maxUnavailable = json.at("max_unavailable").get<int>(),
    };
}

static Json encodePolicy(const QueuePolicy &policy)
{
    return Json{
        {"pool", policy.m_workerPool},
        {"priority", policy.m_priority},
        {"attempts", policy.m_maxAttempts},
        {"slack", policy.m_slackFactor},
        {"latency_goal", policy.m_latencyGoal.count()},
        {"advice", policy.m_needsPlacementAdvice},
    };
}

static int decodeInt(const Json &json, int lowest)
{
    return static_cast<int>(std::clamp<std::int64_t>(json.get<std::int64_t>(), lowest, std::numeric_limits<int>::max()));
}

// Values beyond the limits are replaced by the limits: rejecting the record would lose an accepted job.
static QueuePolicy decodePolicy(const Json &json)
{
    return QueuePolicy{
        .m_workerPool = json.at("pool").get<std::string>(),
        .m_priority = decodeInt(json.at("priority"), 0),
        .m_maxAttempts = decodeInt(json.at("attempts"), 1),
        .m_slackFactor = std::clamp(json.at("slack").get<double>(), 0.0, maxSlackFactor),
        .m_latencyGoal = Duration(std::clamp<std::int64_t>(json.at("latency_goal").get<std::int64_t>(), 0, maxLatencyGoalMs)),
        .m_needsPlacementAdvice = json.at("advice").get<bool>(),
    };
}

std::string encodeSubmission(const JobSpec &spec)
{
    Json steps = Json::array();
    for (const auto &step : spec.m_steps) {
        steps.push_back(encodeStep(step));
    }
    Json record{
        {"layout", recordLayoutVersion},
        {"id", spec.m_id},
        {"queue", spec.m_queue},
        {"organisation", spec.m_organisation},
        {"accepted", toMilliseconds(spec.m_acceptedAt)},
        {"payload", spec.m_payload},
        {"steps", std::move(steps)},
        {"times", spec.m_schedule.m_count},
        {"first_due", toMilliseconds(spec.m_schedule.m_firstDue)},
        {"interval", spec.m_schedule.m_interval.count()},
    };
    if (spec.m_acceptedPolicy) {
        record["policy"] = encodePolicy(*spec.m_acceptedPolicy);
    }
    return record.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<JobSpec> decodeSubmission(const std::string &text)
{
    try {
        const auto record = Json::parse(text);
        if (record.at("layout").get<int>() > recordLayoutVersion) {
            return malformedRecordError("submission", "layout " + std::to_string(record.at("layout").get<int>()) + " is newer than this release supports");
        }
        std::vector<JobStep> steps;
        for (const auto &step : record.at("steps")) {
            steps.push_back(decodeStep(step));
        }
        JobSpec spec{
            .m_id = record.at("id").get<std::string>(),
            .m_queue = record.at("queue").get<std::string>(),
            .m_acceptedPolicy = record.contains("policy") ? std::optional(decodePolicy(record.at("policy"))) : std::nullopt,
            .m_organisation = record.at("organisation").get<std::string>(),
            .m_acceptedAt = fromMilliseconds(record.at("accepted").get<long long>()),
            .m_payload = record.at("payload").get<std::string>(),
            .m_steps = std::move(steps),
            .m_schedule = JobSchedule{.m_count = record.at("times").get<std::int64_t>(),
                                      .m_firstDue = fromMilliseconds(record.at("first_due").get<long long>()),
                                      .m_interval = Duration(record.at("interval").get<std::int64_t>())},
        };
        // The front end has checked each job, but another program may have written the record.
        const auto checked = checkJob(spec);
        return checked.ok() ? Result<JobSpec>(std::move(spec)) : malformedRecordError("submission", checked.error().message());
    } catch (const Json::exception &error) {
        return malformedRecordError("submission", error.what());
    }
}

// Returns one character per task: '1' if the task is done, otherwise '0'.
static std::string encodeDoneFlags(const StepState &step)
{
    std::string flags;
    flags.reserve(step.m_tasks.size());
    for (const auto &task : step.m_tasks) {
        flags += task->m_phase == TaskPhase::Done ? '1' : '0';
    }
    return flags;
}

// Returns an entry [index, highest run number, failed runs, checkpoint] for each unfinished task that was started at least once.
static Json encodeUnfinishedTasks(const StepState &step, bool withCheckpoints)
{
    Json entries = Json::array();
    for (std::size_t index = 0; index < step.m_tasks.size(); ++index) {
        const auto &task = *step.m_tasks[index];
        if (task.m_phase != TaskPhase::Done && (task.m_highestRunNumber > 0 || !task.m_failedRuns.empty())) {
            entries.push_back(Json::array({index, task.m_highestRunNumber, task.m_failedRuns, withCheckpoints ? task.m_checkpoint : std::string()}));
        }
    }
    return entries;
}

static Result<JobOutcome> outcomeFromName(const std::string &name)
{
    for (const auto outcome : {JobOutcome::Active, JobOutcome::Complete, JobOutcome::Failed, JobOutcome::Cancelled}) {
        if (name == outcomeName(outcome)) {
            return outcome;
        }
    }
    return malformedRecordError("progress", "unknown outcome '" + name + "'");
}

static std::string encodeProgress(const JobState &job, bool withCheckpoints)
{
    Json occurrences = Json::array();
    const auto next = firstOfUnstartedTail(job);
    if (job.m_outcome == JobOutcome::Active) {
        for (const auto &occurrence : job.m_occurrences) {
            if (occurrence->m_number >= next && job.m_spec->m_schedule.m_count > 0) {
                break;
            }
            Json steps = Json::array();
            for (const auto &step : occurrence->m_steps) {
                steps.push_back(Json{{"done", encodeDoneFlags(*step)}, {"tasks", encodeUnfinishedTasks(*step, withCheckpoints)}});
            }
            occurrences.push_back(Json{{"number", occurrence->m_number}, {"steps", std::move(steps)}});
        }
    }
    const Json record{
        {"layout", recordLayoutVersion},
        {"outcome", std::string(outcomeName(job.m_outcome))},
        {"version", job.m_version},
        {"next", next},
        {"occurrences", std::move(occurrences)},
    };
    return record.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string encodeProgress(const JobState &job, std::size_t maxBytes)
{
    auto record = encodeProgress(job, true);
    return record.size() <= maxBytes ? record : encodeProgress(job, false);
}

static StepPointer restoreStep(const Json &json, std::size_t taskCount, Instant now)
{
    const auto flags = json.at("done").get<std::string>();
    std::vector<std::int64_t> runNumbers(taskCount, 0);
    std::vector<std::vector<std::int64_t>> failures(taskCount);
    std::vector<std::string> checkpoints(taskCount);
    for (const auto &entry : json.at("tasks")) {
        const auto index = entry.at(0).get<std::size_t>();
        if (index < taskCount) {
            runNumbers[index] = entry.at(1).get<std::int64_t>();
            failures[index] = entry.at(2).get<std::vector<std::int64_t>>();
            checkpoints[index] = entry.at(3).get<std::string>();
        }
    }
    std::vector<TaskPointer> tasks;
    int done = 0;
    for (std::size_t index = 0; index < taskCount; ++index) {
        const bool isDone = index < flags.size() && flags[index] == '1';
        done += isDone ? 1 : 0;
        tasks.push_back(std::make_shared<const TaskState>(TaskState{
            .m_phase = isDone ? TaskPhase::Done : TaskPhase::Waiting,
            .m_assignedWorker = nullptr,
            .m_runNumber = runNumbers[index],
            .m_highestRunNumber = runNumbers[index],
            .m_failedRuns = failures[index],
            .m_checkpoint = checkpoints[index],
            .m_percent = isDone ? 100 : 0,
            .m_phaseSince = now,
            .m_progressAt = now,
            .m_orderUnanswered = false,
            .m_failedWorkers = {},
        }));
    }
    return std::make_shared<const StepState>(StepState{.m_tasks = std::move(tasks), .m_doneTaskCount = done});
}

static OccurrencePointer restoreOccurrence(const Json &json, const JobSpec &spec, Instant now)
{
    std::vector<StepPointer> steps;
    for (std::size_t step = 0; step < spec.m_steps.size(); ++step) {
        steps.push_back(restoreStep(json.at("steps").at(step), static_cast<std::size_t>(spec.m_steps[step].m_taskCount), now));
    }
    return std::make_shared<const OccurrenceState>(OccurrenceState{.m_number = json.at("number").get<std::int64_t>(), .m_steps = std::move(steps)});
}

Result<JobPointer> restoreJob(JobSpecPointer spec, std::optional<int> maxAttempts, const std::string &progress, Instant now)
{
    try {
        const auto record = Json::parse(progress);
        const auto outcome = outcomeFromName(record.at("outcome").get<std::string>());
        if (!outcome.ok()) {
            return outcome.error();
        }
        std::vector<OccurrencePointer> occurrences;
        for (const auto &occurrence : record.at("occurrences")) {
            occurrences.push_back(restoreOccurrence(occurrence, *spec, now));
        }
        std::sort(occurrences.begin(), occurrences.end(), [](const auto &left, const auto &right) { return left->m_number < right->m_number; });
        const auto version = record.at("version").get<std::int64_t>();
        const auto nextOccurrence = record.at("next").get<std::int64_t>();
        if (nextOccurrence < 0 || nextOccurrence > std::max<std::int64_t>(spec->m_schedule.m_count, 1)) {
            return malformedRecordError("progress", "the next occurrence is " + std::to_string(nextOccurrence));
        }
        return std::make_shared<const JobState>(JobState{
            .m_spec = std::move(spec),
            .m_maxAttempts = maxAttempts,
            .m_outcome = outcome.value(),
            .m_occurrences = std::move(occurrences),
            .m_nextOccurrence = nextOccurrence,
            .m_version = version,
            .m_recordedVersion = version,
            .m_recordedOutcome = outcome.value(),
            .m_changedAt = now,
        });
    } catch (const Json::exception &error) {
        return malformedRecordError("progress", error.what());
    }
}

Result<JobOutcome> decodeOutcome(const std::string &progress)
{
    try {
        return outcomeFromName(Json::parse(progress).at("outcome").get<std::string>());
    } catch (const Json::exception &error) {
        return malformedRecordError("progress", error.what());
    }
}

} // namespace PrimroseBridge
