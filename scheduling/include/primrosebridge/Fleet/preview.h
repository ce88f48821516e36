#pragma once

#include "primrosebridge/Fleet/placement.h"
#include "primrosebridge/Work/job.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// What the next placement pass would do with a job that is submitted now.
enum class PreviewDecision {
    Starts, ///< At least one task starts.
    Preempts, ///< No task starts before other runs have been stopped for the job.
    Waits, ///< No task starts, and nothing is stopped for the job.
};

/// Returns the name of @p decision in lower_snake_case. Thread-safe.
std::string_view previewDecisionName(PreviewDecision decision);

/// A task that would start, and where.
struct PreviewPlace {
    const int m_step; ///< Index in JobSpec::m_steps.
    const int m_task; ///< Index in the step.
    const std::string m_worker;
    const std::string m_zone;
    const std::string m_rack;
    const Duration m_estimatedRunTime; ///< On this worker; for a member of a gang, that of the slowest member.

    bool operator==(const PreviewPlace &) const = default;
};

/// A run that would be stopped.
struct PreviewVictim {
    const TaskReference m_task;
    const std::string m_worker;

    bool operator==(const PreviewVictim &) const = default;
};

/// Where a job would be placed now, and why.
struct PlacementPreview {
    const PreviewDecision m_decision;
    const UrgencyRank m_rank;
    const std::vector<PreviewPlace> m_places; ///< Tasks that would start at once.
    const std::vector<PreviewVictim> m_victims; ///< Runs that would be stopped only because of the job.
    const int m_waitingTasks; ///< Tasks of the steps that are ready to start which would not start at once.
    const std::optional<WaitReason> m_waitReason; ///< Why the first of these waits; empty if none waits.
    /// Time that the usable workers of the job's pool need for the unfinished work of the same or a more urgent rank, by accelerators and
    /// estimates. 0 if no task waits; empty if these workers have no accelerators.
    const std::optional<Duration> m_estimatedWait;

    bool operator==(const PlacementPreview &) const = default;
};

/// Returns what a placement pass over @p input would decide if @p spec were accepted at PlacementInput::m_wallNow, after all other jobs.
///
/// Precondition: no job of @p input has the identifier of @p spec, and the configuration of @p input contains its queue. Has no side
/// effects; thread-safe.
PlacementPreview previewPlacement(const PlacementInput &input, const JobSpec &spec);

} // namespace PrimroseBridge
