#pragma once

#include "primrosebridge/Fleet/placement.h"

#include <map>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// The fields of a step that the tests vary. All other fields have values without effect on placement.
struct TestStep {
    int m_tasks = 1;
    std::int64_t m_accelerators = 1;
    std::int64_t m_milliCores = 1000;
    bool m_gang = false;
    bool m_sameRack = false;
    bool m_checkpointing = false;
    int m_maxPerWorker = 0;
    int m_maxUnavailable = 0;
    std::string m_label = {};
    int m_estimateMs = 2500;
    int m_followingMs = 0; ///< Estimate of a second step that follows this one; 0 if there is none.
    std::int64_t m_occurrences = 0; ///< Number of times that the job is due, all at its acceptance; 0 for a job that is not repeated.
};

/// Builds the input of a placement pass. Its queues are named "urgent", "normal" and "background" and have the priorities 0, 1 and 2.
class FleetBuilder
{
public:
    static constexpr std::int64_t nowMs = 100'000;

    FleetBuilder &addWorker(const std::string &name, const std::string &rack, bool isolated = false, bool outdated = false, bool zoneDrained = false)
    {
        const WorkerIncarnation incarnation{.m_worker = name, .m_startedAtMs = 1};
        m_workers.push_back(PlacementWorker{
            .m_report = std::make_shared<const WorkerReport>(WorkerReport{
                .m_incarnation = incarnation,
                .m_machine = name,
                .m_address = name,
                .m_pool = m_workerPool,
                .m_zone = "zone",
                .m_rack = rack,
                .m_labels = {"a", rack},
                .m_capacity = Resources{.m_milliCores = 32000, .m_memoryMb = 131072, .m_accelerators = 8},
                .m_draining = false,
                .m_leavesIn = std::nullopt,
                .m_softwareVersion = {},
                .m_reportedAtClockMs = std::nullopt,
            }),
            .m_incarnation = std::make_shared<const WorkerIncarnation>(incarnation),
            .m_usable = !zoneDrained,
            .m_isolated = isolated,
            .m_outdated = outdated,
            .m_speed = m_workerSpeed,
            .m_zoneDrained = zoneDrained,
            .m_cold = m_workersCold,
        });
        return *this;
    }

    /// Adds a worker in a zone that the operator has asked to drain.
    FleetBuilder &addDrainedWorker(const std::string &name, const std::string &rack)
    {
        return addWorker(name, rack, false, false, true);
    }

    /// Adds racks r0, r1 and so on, with workers named w<rack>-<index>.
    FleetBuilder &addRacks(int rackCount, int workersPerRack)
    {
        for (int rack = 0; rack < rackCount; ++rack) {
            for (int index = 0; index < workersPerRack; ++index) {
                addWorker("w" + std::to_string(rack) + "-" + std::to_string(index), "r" + std::to_string(rack));
            }
        }
        return *this;
    }

    /// Sets the relative speed of all workers that are added afterwards, and whether they are cold.
    FleetBuilder &setWorkerSpeed(double speed, bool cold = false)
    {
        m_workerSpeed = speed;
        m_workersCold = cold;
        return *this;
    }

    /// Sets the pool of all workers that are added afterwards. The queues place their jobs in "pool".
    FleetBuilder &setWorkerPool(const std::string &pool)
    {
        m_workerPool = pool;
        return *this;
    }

    FleetBuilder &setGuarantee(const std::string &organisation, std::int64_t accelerators)
    {
        m_organisations.push_back(OrganisationSettings{.m_name = organisation, .m_apiKeys = {}, .m_guaranteedAccelerators = accelerators});
        return *this;
    }

    /// Adds a job with one step, all tasks of which wait.
    FleetBuilder &addJob(const std::string &name, const std::string &queue, const TestStep &step, const std::string &organisation = "org")
    {
        const auto job = newJobState(specOf(name, queue, step, organisation), 3, fromMilliseconds(nowMs));
        m_jobs.push_back(withDueOccurrences(job, fromMilliseconds(nowMs), fromMilliseconds(nowMs)));
        return *this;
    }

    /// Adds a job with a task on each of the workers @p workerNames, which has been running since boot clock @p sinceMs as run
    /// number @p runNumber.
    FleetBuilder &addRunningJob(const std::string &name,
                                const std::string &queue,
                                const TestStep &step,
                                const std::vector<std::string> &workerNames,
                                std::int64_t sinceMs,
                                const std::string &organisation = "org",
                                std::int64_t runNumber = 1)
    {
        auto state = newJobState(specOf(name, queue, step, organisation), 3, fromMilliseconds(sinceMs));
        for (std::size_t index = 0; index < workerNames.size(); ++index) {
            const TaskReference task{.m_job = name, .m_occurrence = 0, .m_step = 0, .m_index = static_cast<int>(index)};
            const auto assignedWorker = std::make_shared<const WorkerIncarnation>(WorkerIncarnation{.m_worker = workerNames[index], .m_startedAtMs = 1});
            const auto starting = startingTask(*findTask(*state, task), assignedWorker, runNumber, fromMilliseconds(sinceMs));
            state = withTask(*state, task, taskInPhase(*starting, TaskPhase::Running, false, fromMilliseconds(sinceMs)));
        }
        m_jobs.push_back(state);
        return *this;
    }

    /// Stops the tasks of the job that was added last, a running one, since boot clock @p sinceMs.
    FleetBuilder &stopLastJob(std::int64_t sinceMs)
    {
        auto &job = m_jobs.back();
        for (int index = 0; index < job->m_spec->m_steps.front().m_taskCount; ++index) {
            const TaskReference task{.m_job = job->m_spec->m_id, .m_occurrence = 0, .m_step = 0, .m_index = index};
            job = withTask(*job, task, taskInPhase(*findTask(*job, task), TaskPhase::Stopping, false, fromMilliseconds(sinceMs)));
        }
        return *this;
    }

    /// Sets the age, in milliseconds since acceptance, of all jobs that are added afterwards.
    FleetBuilder &setJobAge(std::int64_t ageMs)
    {
        m_ageMs = ageMs;
        return *this;
    }

    /// Marks the job with this id as locked, see PlacementInput::m_lockedJobs.
    FleetBuilder &lockJob(const std::string &job)
    {
        m_locked.push_back(job);
        return *this;
    }

    /// Sets the recent peaks of the urgent demand, in accelerators: @p peak for all urgent jobs, @p largest for the largest one.
    FleetBuilder &setUrgentDemandPeak(double peak, double largest = 0.0)
    {
        m_urgentPeak = peak;
        m_urgentLargest = largest;
        return *this;
    }

    [[nodiscard]] PlacementInput input() const
    {
        return PlacementInput{.m_now = fromMilliseconds(nowMs),
                              .m_wallNow = fromMilliseconds(nowMs),
                              .m_configuration = std::make_shared<const FleetConfiguration>(FleetConfiguration{
                                  .m_version = 1,
                                  .m_queues = {queue("urgent", 0, 1.5), queue("normal", 1, 3.0), queue("background", 2, 3.0)},
                                  .m_organisations = m_organisations,
                                  .m_pools = {},
                                  .m_maxBodyBytes = 1000,
                              }),
                              .m_jobs = m_jobs,
                              .m_workers = m_workers,
                              .m_remoteFactor = 3.0,
                              .m_lockedJobs = m_locked,
                              .m_urgentDemand
                              = {.m_peakAccelerators = m_urgentPeak, .m_largestJobAccelerators = m_urgentLargest, .m_updatedAt = fromMilliseconds(nowMs)}};
    }

private:
    static QueueSettings queue(const std::string &name, int priority, double slack)
    {
        return QueueSettings{.m_name = name,
                             .m_host = "host",
                             .m_pathPrefix = "/" + name + "/",
                             .m_policy = QueuePolicy{.m_workerPool = "pool",
                                                     .m_priority = priority,
                                                     .m_maxAttempts = 3,
                                                     .m_slackFactor = slack,
                                                     .m_latencyGoal = Duration(300),
                                                     .m_needsPlacementAdvice = false},
                             .m_timeout = Duration(3000),
                             .m_isPublic = false};
    }

    static std::vector<JobStep> stepsOf(const TestStep &step)
    {
        std::vector<JobStep> steps{jobStepOf(step, step.m_estimateMs, {})};
        if (step.m_followingMs > 0) {
            steps.push_back(jobStepOf(TestStep{}, step.m_followingMs, {0}));
        }
        return steps;
    }

    static JobStep jobStepOf(const TestStep &step, int estimateMs, const std::vector<int> &after)
    {
        return JobStep{.m_taskCount = step.m_tasks,
                       .m_taskResources = Resources{.m_milliCores = step.m_milliCores, .m_memoryMb = 1000, .m_accelerators = step.m_accelerators},
                       .m_estimate = Duration(estimateMs),
                       .m_after = after,
                       .m_gang = step.m_gang,
                       .m_sameRack = step.m_sameRack,
                       .m_requiredLabel = step.m_label,
                       .m_dataRack = {},
                       .m_maxPerWorker = step.m_maxPerWorker,
                       .m_speculative = false,
                       .m_checkpointing = step.m_checkpointing,
                       .m_longRunning = false,
                       .m_image = {},
                       .m_tailLatencyTarget = Duration(0),
                       .m_filler = false,
                       .m_maxUnavailable = step.m_maxUnavailable};
    }

    [[nodiscard]] JobSpecPointer specOf(const std::string &name, const std::string &queue, const TestStep &step, const std::string &organisation) const
    {
        return std::make_shared<const JobSpec>(JobSpec{
            .m_id = name,
            .m_queue = queue,
            .m_acceptedPolicy = std::nullopt,
            .m_organisation = organisation,
            .m_acceptedAt = fromMilliseconds(nowMs - m_ageMs),
            .m_payload = {},
            .m_steps = stepsOf(step),
            .m_schedule = JobSchedule{.m_count = step.m_occurrences, .m_firstDue = fromMilliseconds(nowMs - m_ageMs), .m_interval = Duration(0)},
        });
    }

    std::vector<PlacementWorker> m_workers;
    std::vector<JobPointer> m_jobs;
    std::vector<OrganisationSettings> m_organisations;
    std::vector<std::string> m_locked;
    double m_urgentPeak = 0.0;
    double m_urgentLargest = 0.0;
    std::int64_t m_ageMs = 0;
    double m_workerSpeed = 1.0;
    bool m_workersCold = false;
    std::string m_workerPool = "pool";
};

} // namespace PrimroseBridge
