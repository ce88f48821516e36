#pragma once

#include "primrosebridge/Fleet/placement.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A kind of jobs that arrive at random times, at the rates and sizes of the users' load tables.
struct JobKind {
    std::string m_queue; ///< "urgent", "normal" or "background".
    std::string m_organisation;
    double m_perSecond = 1.0; ///< Mean arrival rate; intervals are exponentially distributed.
    double m_meanTasks = 1.0; ///< Mean tasks of a job before the limit; 1 plus an exponentially distributed number, limited to m_maxTasks.
    int m_maxTasks = 1;
    std::vector<std::int64_t> m_accelerators = {1}; ///< Accelerators of a task; each value is equally likely.
    std::int64_t m_milliCores = 1000;
    Duration m_runTime = Duration(1000); ///< On a worker of speed 1.
    Duration m_estimate = Duration(1000); ///< Run time that the submitter states.
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

/// The result of one simulated job.
struct JobResult {
    SimulatedJob m_job;
    std::optional<Instant> m_completedAt; ///< Not set if the job was still unfinished at the end of the simulation.
    std::map<int, int> m_preemptions; ///< Preemptions by task index.
};

/// A fleet of workers in one pool, which are equal except for their speed.
struct SimulatedFleet {
    int m_racks = 6;
    int m_workersPerRack = 8;
    std::vector<OrganisationSettings> m_organisations = {};
    double m_thirdWorkerSpeed = 1.0; ///< Speed of each third worker; that of the others is 1.
    bool m_knowsSpeeds = true; ///< Placement knows the speeds. Otherwise all workers have speed 1 in its input.
};

/// Returns the settings of the simulated queues.
std::vector<QueueSettings> simulatedQueues();

/// Generates the jobs of @p kinds that arrive until @p until, sorted by acceptance. Equal seeds give equal jobs.
std::vector<SimulatedJob> generateArrivals(const std::vector<JobKind> &kinds, Duration until, unsigned seed);

/// Simulates the fleet until @p until and places the jobs with decidePlacement(). Precondition: the jobs are sorted by acceptance.
///
/// Runs take exactly their run time, divided by the speed of the worker; those of a gang by that of its slowest member. A stop takes the longest time that a
/// worker may need, and the work of the stopped run is lost.
std::vector<JobResult>
simulatePlacement(const SimulatedFleet &fleet, const std::vector<SimulatedJob> &jobs, Duration until, ShortageOrder order = ShortageOrder::MostValue);

/// Returns the time from the acceptance to the latency objective, which counts from the run time.
Duration latencyObjective(const SimulatedJob &job);

/// Returns the time from the acceptance to the latency objective, which counts from the estimate that the submitter states.
Duration timeToObjective(const SimulatedJob &job);

/// Returns the time from the acceptance to the final deadline, after which the result is worth nothing to the submitter.
Duration timeToFinalDeadline(const SimulatedJob &job);

} // namespace PrimroseBridge
