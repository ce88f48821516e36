#include "primrosebridge/Work/job.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace PrimroseBridge {

std::string taskName(const TaskReference &task)
{
    return task.m_job + '.' + std::to_string(task.m_occurrence) + '.' + std::to_string(task.m_step) + '.' + std::to_string(task.m_index);
}

static std::optional<std::int64_t> parseWholeNumber(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < 0) {
        return std::nullopt;
    }
    return number;
}

// Removes the part after the last '.' and the '.' itself from @p text and returns it as a number; empty if it is not a number.
static std::optional<std::int64_t> splitOffLastNumber(std::string_view &text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos) {
        return std::nullopt;
    }
    const auto number = parseWholeNumber(text.substr(dot + 1));
    text = text.substr(0, dot);
    return number;
}

Result<TaskReference> taskFromName(const std::string &name)
{
    std::string_view rest(name);
    const auto index = splitOffLastNumber(rest);
    const auto step = splitOffLastNumber(rest);
    const auto occurrence = splitOffLastNumber(rest);
    if (!index || !step || !occurrence || rest.empty() || *index > JobLimits::maxTasksPerStep || *step > JobLimits::maxSteps) {
        return Error(ErrorKind::InvalidArgument, "'" + name + "' is not a task name", "use job.occurrence.step.index");
    }
    return TaskReference{.m_job = std::string(rest), .m_occurrence = *occurrence, .m_step = static_cast<int>(*step), .m_index = static_cast<int>(*index)};
}

static Error outOfRangeError(const std::string &problem, const std::string &remedy)
{
    return {ErrorKind::InvalidArgument, problem, remedy};
}

static std::optional<Error> findStepError(const JobStep &step, std::size_t position)
{
    const auto name = "step " + std::to_string(position);
    if (step.m_taskCount < 1 || step.m_taskCount > JobLimits::maxTasksPerStep) {
        return outOfRangeError(name + " has " + std::to_string(step.m_taskCount) + " tasks", "use 1 to " + std::to_string(JobLimits::maxTasksPerStep));
    }
    if (step.m_taskResources.m_milliCores < 0 || step.m_taskResources.m_memoryMb < 0 || step.m_taskResources.m_accelerators < 0) {
        return outOfRangeError(name + " requests a negative amount of a resource", "use 0 or more of each resource");
    }
    for (const auto before : step.m_after) {
        if (before < 0 || before >= static_cast<int>(position)) {
            return outOfRangeError(name + " waits for step " + std::to_string(before), "name earlier steps only, counted from 0");
        }
    }
    return std::nullopt;
}

Result<bool> checkJob(const JobSpec &spec)
{
    if (spec.m_payload.size() > JobLimits::maxPayloadBytes) {
        return outOfRangeError("the payload has " + std::to_string(spec.m_payload.size()) + " bytes",
                               "send at most " + std::to_string(JobLimits::maxPayloadBytes));
    }
    if (spec.m_steps.empty() || spec.m_steps.size() > static_cast<std::size_t>(JobLimits::maxSteps)) {
        return outOfRangeError("the job has " + std::to_string(spec.m_steps.size()) + " steps", "use 1 to " + std::to_string(JobLimits::maxSteps));
    }
    int tasks = 0;
    for (std::size_t position = 0; position < spec.m_steps.size(); ++position) {
        if (const auto stepError = findStepError(spec.m_steps[position], position)) {
            return *stepError;
        }
        tasks += spec.m_steps[position].m_taskCount;
    }
    if (tasks > JobLimits::maxTasks) {
        return outOfRangeError("the job has " + std::to_string(tasks) + " tasks", "use at most " + std::to_string(JobLimits::maxTasks));
    }
    const auto &schedule = spec.m_schedule;
    if (schedule.m_count < 0 || schedule.m_count > JobLimits::maxOccurrences || schedule.m_interval < Duration(0)) {
        return outOfRangeError("the job is due " + std::to_string(schedule.m_count) + " times", "use 0 to " + std::to_string(JobLimits::maxOccurrences));
    }
    return true;
}

} // namespace PrimroseBridge
