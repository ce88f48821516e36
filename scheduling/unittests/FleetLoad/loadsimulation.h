#pragma once

#include "primrosebridge/Fleet/placement.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Kinds of jobs that arrive at random times, after the users' tables of load.
struct JobKind {
    std::string m_queue; ///< "urgent", "normal" or "background".
    std::string m_organisation;
    double m_perSecond = 1.0;
    double m_meanTasks = 1.0; ///< Geometric; at least 1, at most m_maxTasks.
    int m_maxTasks = 1;
    std::vector<std::int64_t> m_accelerators = {1}; ///< Of a task; each is as likely.
    std::int64_t m_milliCores = 1000;
    Duration m_runTime = Duration(1000);
    Duration m_estimate = Duration(1000); ///< What the submission states.
    bool m_gang = false;
    bool m_sameRack = false;
};

/// A job of the simulation.
struct SimulatedJob {
    std::string m_name;
    std::string m_queue;
    std::string m_organisation;
    Instant m_acceptedAt;
    int m_tasks;
    std::int64_t m_accelerators;
    std::int64_t m_milliCores;
    Duration m_runTime;
    Duration m_estimate;
    bool m_gang;
    bool m_sameRack;
};

/// What became of a job.
struct JobResult {
    SimulatedJob m_job;
    std::optional<Instant> m_completedAt;
    std::map<int, int> m_preemptions; ///< By task.
};

/// A fleet of equal workers in one pool.
struct SimulatedFleet {
    int m_racks = 6;
    int m_workersPerRack = 8;
    std::vector<OrganisationSettings> m_organisations;
};

/// The settings of the simulated queues.
std::vector<QueueSettings> simulatedQueues();

/// Jobs of @p kinds that arrive until @p until; the same for the same seed.
std::vector<SimulatedJob> generateArrivals(const std::vector<JobKind> &kinds, Duration until, unsigned seed);

/// Places the jobs, which must be sorted by acceptance, with decidePlacement() until @p until.
///
/// Runs take exactly their run time; a stop takes the time that a worker needs at most and loses the run's work.
std::vector<JobResult> simulatePlacement(const SimulatedFleet &fleet, const std::vector<SimulatedJob> &jobs, Duration until);

/// Time from the acceptance until the result is worth nothing any more to the submitter.
Duration timeToFinalDeadline(const SimulatedJob &job);

} // namespace PrimroseBridge
