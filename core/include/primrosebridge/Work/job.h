#pragma once

#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Resources that a task needs or that a worker offers.
struct Resources {
    const std::int64_t m_milliCores;
    const std::int64_t m_memoryMb;
    const std::int64_t m_accelerators;

    bool operator==(const Resources &) const = default;
};

/// One step of a job. It consists of equal tasks, which may start when the steps in m_after are done.
struct JobStep {
    const int m_taskCount; ///< At least 1.
    const Resources m_taskResources; ///< Resources that each task needs.
    const Duration m_estimate; ///< Submitter's estimate of a task's run time; it may be wrong by a factor of ten.
    const std::vector<int> m_after; ///< Indices of earlier steps that must be done before this step starts.
    const bool m_gang; ///< The tasks make progress only while all of them are running.
    const bool m_sameRack; ///< Prefers one rack: the tasks run several times as long if they are spread over racks.
    const std::string m_requiredLabel; ///< Label that a worker must have to run the tasks; empty if no label is required.
    const std::string m_dataRack; ///< Rack that holds the input; tasks in other racks run several times as long. Empty if there is none.
    const int m_maxPerWorker; ///< Maximum number of tasks of one occurrence on the same worker; 0 for no limit.
    const bool m_speculative; ///< Speculative copies of a task may run at the same time.
    const bool m_checkpointing; ///< A stopped task can be resumed from its last checkpoint.
    const bool m_longRunning; ///< The tasks run until the job is cancelled; a task that ends is always restarted.
    const std::string m_image; ///< Image name from the submission; it does not affect scheduling.
    const Duration m_tailLatencyTarget; ///< Tail latency objective of long-running tasks that serve users; 0 for none.
    const bool m_filler; ///< The cores of the tasks are not counted against the capacity of their worker.
    const int m_maxUnavailable; ///< Maximum number of tasks that the scheduler may stop at the same time; 0 for no limit.

    bool operator==(const JobStep &) const = default;
};

/// Times at which the occurrences of a repeated job are due.
struct JobSchedule {
    const std::int64_t m_count; ///< Number of occurrences; 0 for a job that runs once, as soon as possible.
    const Instant m_firstDue; ///< Due time of the first occurrence.
    const Duration m_interval; ///< Time between the due times of consecutive occurrences.

    bool operator==(const JobSchedule &) const = default;
};

/// The settings of a queue that decide how its jobs are run.
struct QueuePolicy {
    const std::string m_workerPool; ///< Name of the worker pool that runs the queue's tasks.
    const int m_priority; ///< 0 is the most urgent.
    const int m_maxAttempts; ///< A job fails when one of its tasks or gangs has failed this many times.
    const double m_slackFactor; ///< A job's latency objective is this factor times the estimated run time of its longest chain of steps, plus m_latencyGoal.
    const Duration m_latencyGoal; ///< Fixed part of the latency objective.
    const bool m_needsPlacementAdvice; ///< Only workers that an external placement service names may run a step.

    bool operator==(const QueuePolicy &) const = default;
};

/// A job as submitted.
struct JobSpec {
    const std::string m_id; ///< Job identifier chosen by the submitter; repeated submissions with the same identifier are accepted once.
    const std::string m_queue; ///< Name of the queue; see QueueSettings.
    /// Policy of the queue in the configuration under which the job was accepted. Other VMs may hold an older configuration, or a newer one
    /// without the queue. Empty if an earlier release, which did not store it, accepted the job.
    const std::optional<QueuePolicy> m_acceptedPolicy;
    const std::string m_organisation; ///< Name of the submitting organisation; empty if a public queue accepted the job without an API key.
    const Instant m_acceptedAt; ///< Time of acceptance by the wall clock of the VM that accepted the job.
    const std::string m_payload; ///< Data that is passed to the workers unchanged.
    const std::vector<JobStep> m_steps; ///< At least one step.
    const JobSchedule m_schedule;

    bool operator==(const JobSpec &) const = default;
};

using JobSpecPointer = std::shared_ptr<const JobSpec>;

/// Identifies one task of one occurrence of a job.
struct TaskReference {
    const std::string m_job;
    const std::int64_t m_occurrence; ///< Number of the occurrence, from 0; always 0 for a job that runs once.
    const int m_step;
    const int m_index;

    bool operator==(const TaskReference &) const = default;
    auto operator<=>(const TaskReference &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

/// Returns the task's name in the form "job.occurrence.step.index". Thread-safe.
std::string taskName(const TaskReference &task);

/// Inverse of taskName(). Returns an InvalidArgument error if @p name does not have this form. Thread-safe.
Result<TaskReference> taskFromName(const std::string &name);

/// Limits of a job, so that one submission cannot exhaust the memory of a VM.
struct JobLimits {
    static constexpr int maxSteps = 256;
    static constexpr int maxTasksPerStep = 4096;
    static constexpr int maxTasks = 8192;
    static constexpr std::int64_t maxOccurrences = 1'000'000;
    static constexpr std::size_t maxPayloadBytes = 4000; ///< The workers accept payloads of at most this size.
};

/// Returns true if @p spec is within JobLimits and refers only to earlier steps, else an InvalidArgument error about the first
/// value that is out of range. Thread-safe.
Result<bool> checkJob(const JobSpec &spec);

} // namespace PrimroseBridge
