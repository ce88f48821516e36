#pragma once

#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// What a task needs, or what a worker offers.
struct Resources {
    const std::int64_t m_milliCores;
    const std::int64_t m_memoryMb;
    const std::int64_t m_accelerators;

    bool operator==(const Resources &) const = default;
};

/// One step of a job: tasks of the same size that may start once earlier steps have ended.
struct JobStep {
    const int m_taskCount; ///< At least 1.
    const Resources m_taskResources; ///< Of each task.
    const Duration m_estimate; ///< The submitter's estimate of a task's run time; may be wrong by a factor of ten.
    const std::vector<int> m_after; ///< Indices of earlier steps whose tasks must all be done first.
    const bool m_gang; ///< The tasks work only while all of them run.
    const bool m_sameRack; ///< The tasks run several times as long when they are spread over racks.
    const std::string m_requiredLabel; ///< Label that the worker must have; empty if any worker will do.
    const std::string m_dataRack; ///< Rack that holds the input; tasks elsewhere run several times as long. Empty if none.
    const int m_maxPerWorker; ///< Tasks of one occurrence that may share a worker; 0 for no limit.
    const bool m_speculative; ///< Copies may run side by side.
    const bool m_checkpointing; ///< A stopped task can resume from its last checkpoint.
    const bool m_longRunning; ///< The tasks run until the job is cancelled and are restarted however they end.
    const std::string m_image;
    const Duration m_tailLatencyTarget; ///< For long-running tasks that serve users; 0 for none.
    const bool m_filler; ///< The task's processor share is not counted against the worker's capacity.
    const int m_maxUnavailable; ///< Tasks that the scheduler's own actions may take away at the same time; 0 for no limit.

    bool operator==(const JobStep &) const = default;
};

/// When a repeated job is due. A job with one run has a count of 0.
struct JobSchedule {
    const std::int64_t m_count; ///< Occurrences; 0 for a job that runs once, at once.
    const Instant m_firstDue;
    const Duration m_interval;

    bool operator==(const JobSchedule &) const = default;
};

/// A job as its submitter described it.
struct JobSpec {
    const std::string m_id; ///< Chosen by the submitter; makes the submission idempotent.
    const std::string m_queue; ///< Name of the queue, see QueueSettings.
    const std::string m_organisation; ///< Empty on a public queue.
    const Instant m_acceptedAt; ///< Wall clock of the VM that accepted it.
    const std::string m_payload; ///< Passed to the workers unchanged.
    const std::vector<JobStep> m_steps; ///< At least one.
    const JobSchedule m_schedule;

    bool operator==(const JobSpec &) const = default;
};

using JobSpecPointer = std::shared_ptr<const JobSpec>;

/// Identifies one task of one occurrence of a job.
struct TaskReference {
    const std::string m_job;
    const std::int64_t m_occurrence; ///< 0 for a job that runs once.
    const int m_step;
    const int m_index;

    bool operator==(const TaskReference &) const = default;
    auto operator<=>(const TaskReference &) const = default; // NOLINT(modernize-use-nullptr): false alarm on the generated comparison with zero.
};

/// The task's name, "job.occurrence.step.index". Thread-safe.
std::string taskName(const TaskReference &task);

/// Inverse of taskName(); InvalidArgument for any other text. Thread-safe.
Result<TaskReference> taskFromName(const std::string &name);

/// Limits that a job must keep, so that one submission cannot exhaust a VM's memory.
struct JobLimits {
    static constexpr int maxSteps = 256;
    static constexpr int maxTasksPerStep = 4096;
    static constexpr int maxTasks = 8192;
    static constexpr std::int64_t maxOccurrences = 1'000'000;
    static constexpr std::size_t maxPayloadBytes = 4000; ///< The workers take no more.
};

/// InvalidArgument that names the first field of @p spec that is out of range. Thread-safe.
Result<bool> checkJob(const JobSpec &spec);

} // namespace PrimroseBridge
