#include "loadsimulation.h"

#include <algorithm>
#include <cmath>

namespace PrimroseBridge {

// The longest time that a stop takes on the users' deployments.
static constexpr Duration stopTime(900);
static constexpr Duration passPeriod(50);
// The final deadline in latency objectives after acceptance.
static constexpr int finalDeadlineObjectives = 3;

std::vector<QueueSettings> simulatedQueues()
{
    const auto queue = [](const std::string &name, int priority, double slack, int goalMs) {
        return QueueSettings{.m_name = name,
                             .m_host = "host",
                             .m_pathPrefix = "/" + name + "/",
                             .m_policy = QueuePolicy{.m_workerPool = "pool",
                                                     .m_priority = priority,
                                                     .m_maxAttempts = 3,
                                                     .m_slackFactor = slack,
                                                     .m_latencyGoal = Duration(goalMs),
                                                     .m_needsPlacementAdvice = false},
                             .m_timeout = Duration(3000),
                             .m_isPublic = false};
    };
    return {queue("urgent", 0, 1.5, 300), queue("normal", 1, 3.0, 1000), queue("background", 2, 3.0, 3000)};
}

// Returns the latency objective of the job's queue for a chain of steps of the given length.
static Duration objectiveFor(const SimulatedJob &job, Duration chain)
{
    for (const auto &queue : simulatedQueues()) {
        if (queue.m_name == job.m_queue) {
            return std::chrono::duration_cast<Duration>(chain * queue.m_policy.m_slackFactor) + queue.m_policy.m_latencyGoal;
        }
    }
    return Duration(0);
}

Duration latencyObjective(const SimulatedJob &job)
{
    return objectiveFor(job, job.m_runTime);
}

Duration timeToObjective(const SimulatedJob &job)
{
    return objectiveFor(job, job.m_estimate);
}

Duration timeToFinalDeadline(const SimulatedJob &job)
{
    return objectiveFor(job, job.m_runTime) * finalDeadlineObjectives;
}

std::vector<SimulatedJob> generateArrivals(const std::vector<JobKind> &kinds, Duration until, unsigned seed)
{
    std::mt19937 random(seed);
    // The standard distributions are not used, because their results differ between standard libraries.
    const auto uniform = [&random] { return (static_cast<double>(random()) + 0.5) / 4294967296.0; };
    std::vector<SimulatedJob> jobs;
    for (const auto &kind : kinds) {
        double seconds = 0.0;
        for (int index = 0;; ++index) {
            seconds -= std::log(uniform()) / kind.m_perSecond;
            const Duration at(static_cast<Duration::rep>(seconds * 1000.0));
            if (at >= until) {
                break;
            }
            const int tasks = 1 + static_cast<int>(-std::log(uniform()) * (kind.m_meanTasks - 1.0));
            jobs.push_back(SimulatedJob{.m_name = kind.m_queue + "-" + kind.m_organisation + "-" + std::to_string(index),
                                        .m_queue = kind.m_queue,
                                        .m_organisation = kind.m_organisation,
                                        .m_acceptedAt = Instant() + at,
                                        .m_tasks = std::min(tasks, kind.m_maxTasks),
                                        .m_accelerators = kind.m_accelerators[random() % kind.m_accelerators.size()],
                                        .m_milliCores = kind.m_milliCores,
                                        .m_runTime = kind.m_runTime,
                                        .m_estimate = kind.m_estimate,
                                        .m_gang = kind.m_gang,
                                        .m_sameRack = kind.m_sameRack});
        }
    }
    std::stable_sort(jobs.begin(), jobs.end(), [](const auto &left, const auto &right) { return left.m_acceptedAt < right.m_acceptedAt; });
    return jobs;
}

static JobSpecPointer specOf(const SimulatedJob &job)
{
    return std::make_shared<const JobSpec>(JobSpec{
        .m_id = job.m_name,
        .m_queue = job.m_queue,
        .m_acceptedPolicy = std::nullopt,
        .m_organisation = job.m_organisation,
        .m_acceptedAt = job.m_acceptedAt,
        .m_payload = {},
        .m_steps = {JobStep{.m_taskCount = job.m_tasks,
                            .m_taskResources = Resources{.m_milliCores = job.m_milliCores, .m_memoryMb = 1000, .m_accelerators = job.m_accelerators},
                            .m_estimate = job.m_estimate,
                            .m_after = {},
                            .m_gang = job.m_gang,
                            .m_sameRack = job.m_sameRack,
                            .m_requiredLabel = {},
                            .m_dataRack = {},
                            .m_maxPerWorker = 0,
                            .m_speculative = false,
                            .m_checkpointing = false,
                            .m_longRunning = false,
                            .m_image = {},
                            .m_tailLatencyTarget = Duration(0),
                            .m_filler = false,
                            .m_maxUnavailable = 0}},
        .m_schedule = JobSchedule{.m_count = 0, .m_firstDue = fromMilliseconds(0), .m_interval = Duration(0)},
    });
}

static double speedOf(const SimulatedFleet &fleet, std::size_t worker)
{
    return worker % 3 == 2 ? fleet.m_thirdWorkerSpeed : 1.0;
}

static std::vector<PlacementWorker> makeWorkers(const SimulatedFleet &fleet)
{
    std::vector<PlacementWorker> workers;
    for (int rack = 0; rack < fleet.m_racks; ++rack) {
        for (int index = 0; index < fleet.m_workersPerRack; ++index) {
            const auto name = "w" + std::to_string(rack) + "-" + std::to_string(index);
            const WorkerIncarnation incarnation{.m_worker = name, .m_startedAtMs = 1};
            workers.push_back(PlacementWorker{
                .m_report = std::make_shared<const WorkerReport>(WorkerReport{
                    .m_incarnation = incarnation,
                    .m_machine = name,
                    .m_address = name,
                    .m_pool = "pool",
                    .m_zone = "zone",
                    .m_rack = "r" + std::to_string(rack),
                    .m_labels = {},
                    .m_capacity = Resources{.m_milliCores = 128000, .m_memoryMb = 262144, .m_accelerators = 8},
                    .m_draining = false,
                    .m_leavesIn = std::nullopt,
                    .m_softwareVersion = {},
                    .m_reportedAtClockMs = std::nullopt,
                }),
                .m_incarnation = std::make_shared<const WorkerIncarnation>(incarnation),
                .m_usable = true,
                .m_isolated = false,
                .m_speed = fleet.m_knowsSpeeds ? speedOf(fleet, workers.size()) : 1.0,
            });
        }
    }
    return workers;
}

namespace {

struct Simulation {
    const SimulatedFleet &m_fleet;
    std::vector<PlacementWorker> m_workers;
    FleetConfigurationPointer m_configuration;
    std::vector<JobPointer> m_jobs; // Active jobs, sorted by acceptance.
    std::map<TaskReference, Instant> m_nextEvent; // Time at which the run of the task, or its stop, completes.
    std::map<std::string, JobResult> m_results;
    std::optional<UrgentDemandPeak> m_urgentDemandPeak;
    ShortageOrder m_order;
    std::optional<OrganisationUse> m_organisationUse;
};

} // namespace

static JobPointer &findJob(Simulation &simulation, const std::string &name)
{
    return *std::find_if(simulation.m_jobs.begin(), simulation.m_jobs.end(), [&](const auto &job) { return job->m_spec->m_id == name; });
}

static void setTask(Simulation &simulation, const TaskReference &reference, const TaskPointer &task)
{
    auto &job = findJob(simulation, reference.m_job);
    job = withTask(*job, reference, task);
}

static void endDueRuns(Simulation &simulation, Instant now)
{
    for (auto event = simulation.m_nextEvent.begin(); event != simulation.m_nextEvent.end();) {
        if (event->second > now) {
            ++event;
            continue;
        }
        const auto reference = event->first;
        event = simulation.m_nextEvent.erase(event);
        auto &job = findJob(simulation, reference.m_job);
        const auto task = findTask(*job, reference);
        if (task->m_phase == TaskPhase::Done) {
            continue;
        }
        const bool stopped = task->m_phase == TaskPhase::Stopping;
        job = applyRunEnd(job,
                          RunEnd{.m_number = 0,
                                 .m_task = reference,
                                 .m_runNumber = task->m_runNumber,
                                 .m_kind = stopped ? RunEndKind::Stopped : RunEndKind::Done,
                                 .m_checkpoint = {}},
                          task->m_assignedWorker->m_worker,
                          now)
                  .m_job;
        if (job->m_outcome == JobOutcome::Complete) {
            simulation.m_results.at(reference.m_job).m_completedAt = now;
        }
    }
    std::erase_if(simulation.m_jobs, [](const auto &job) { return job->m_outcome != JobOutcome::Active; });
}

// Returns the run time of the task that the decision starts. The members of a gang end together.
static Duration runTimeOf(const Simulation &simulation, const std::vector<StartDecision> &starts, const StartDecision &start)
{
    const auto &job = simulation.m_results.at(start.m_task.m_job).m_job;
    double speed = speedOf(simulation.m_fleet, start.m_worker);
    for (const auto &other : starts) {
        if (job.m_gang && other.m_task.m_job == start.m_task.m_job) {
            speed = std::min(speed, speedOf(simulation.m_fleet, other.m_worker));
        }
    }
    return std::chrono::duration_cast<Duration>(job.m_runTime / speed);
}

static void runPass(Simulation &simulation, Instant now)
{
    const PlacementInput input{.m_now = now,
                               .m_wallNow = now,
                               .m_configuration = simulation.m_configuration,
                               .m_jobs = simulation.m_jobs,
                               .m_workers = simulation.m_workers,
                               .m_remoteFactor = 3.0,
                               .m_lockedJobs = {},
                               .m_urgentDemand = simulation.m_urgentDemandPeak.value_or(
                                   UrgentDemandPeak{.m_peakAccelerators = 0.0, .m_largestJobAccelerators = 0.0, .m_updatedAt = now}),
                               .m_organisationUse = simulation.m_organisationUse.value_or(OrganisationUse{.m_acceleratorSeconds = {}, .m_updatedAt = now})};
    simulation.m_organisationUse.emplace(updatedOrganisationUse(input));
    simulation.m_urgentDemandPeak.emplace(updatedUrgentDemandPeak(input.m_urgentDemand, currentUrgentDemand(input), now));
    const auto decisions = decidePlacement(input, simulation.m_order);
    for (const auto &stop : decisions.m_stops) {
        const auto task = findTask(*findJob(simulation, stop.m_task.m_job), stop.m_task);
        setTask(simulation, stop.m_task, taskInPhase(*task, TaskPhase::Stopping, false, now));
        simulation.m_nextEvent.insert_or_assign(stop.m_task, now + stopTime);
        ++simulation.m_results.at(stop.m_task.m_job).m_preemptions[stop.m_task.m_index];
    }
    for (const auto &start : decisions.m_starts) {
        const auto task = findTask(*findJob(simulation, start.m_task.m_job), start.m_task);
        const auto starting = startingTask(*task, simulation.m_workers[start.m_worker].m_incarnation, start.m_runNumber, now);
        setTask(simulation, start.m_task, taskInPhase(*starting, TaskPhase::Running, false, now));
        simulation.m_nextEvent.insert_or_assign(start.m_task, now + runTimeOf(simulation, decisions.m_starts, start));
    }
}

std::vector<JobResult> simulatePlacement(const SimulatedFleet &fleet, const std::vector<SimulatedJob> &jobs, Duration until, ShortageOrder order)
{
    Simulation simulation{.m_fleet = fleet,
                          .m_workers = makeWorkers(fleet),
                          .m_configuration = std::make_shared<const FleetConfiguration>(FleetConfiguration{
                              .m_version = 1,
                              .m_queues = simulatedQueues(),
                              .m_organisations = fleet.m_organisations,
                              .m_pools = {},
                              .m_maxBodyBytes = 1000,
                          }),
                          .m_jobs = {},
                          .m_nextEvent = {},
                          .m_results = {},
                          .m_urgentDemandPeak = std::nullopt,
                          .m_order = order,
                          .m_organisationUse = std::nullopt};
    auto next = jobs.begin();
    for (Instant now; now < Instant() + until; now += passPeriod) {
        endDueRuns(simulation, now);
        for (; next != jobs.end() && next->m_acceptedAt <= now; ++next) {
            simulation.m_results.emplace(next->m_name, JobResult{.m_job = *next, .m_completedAt = std::nullopt, .m_preemptions = {}});
            simulation.m_jobs.push_back(newJobState(specOf(*next), 3, now));
        }
        runPass(simulation, now);
    }
    std::vector<JobResult> results;
    for (const auto &job : jobs) {
        if (const auto found = simulation.m_results.find(job.m_name); found != simulation.m_results.end()) {
            results.push_back(found->second);
        }
    }
    return results;
}

} // namespace PrimroseBridge
