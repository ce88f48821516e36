#pragma once

#include "ownerstate.h"

#include "primrosebridge/Fleetservice/fleetowner.h"
#include "primrosebridge/Http/bootclock.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Applies events to the state of an owner with time as a value: no thread decides, no store answers and no worker exists. The owner's start
/// and stop orders are recorded and get no answer; a test applies the answers that it wants.
class OwnerSimulation
{
public:
    static constexpr std::int64_t fence = 10;
    static constexpr std::int64_t bootTimeMs = 1'000'000;
    static constexpr Duration taskLease{3000};

    explicit OwnerSimulation(std::optional<Duration> zoneDrainBound = std::nullopt)
        : m_state(OwnerContext{
            .m_settings = settings(zoneDrainBound),
            .m_workerCalls = recordingCalls(),
            .m_configuration = m_configuration,
            .m_enqueueRecord = [this](std::int64_t, const DurableRecord &record) { m_records.push_back(record); },
            .m_leaseEnd = [](std::int64_t) { return fromMilliseconds(1'000'000'000); },
            .m_onSuperseded = [this](std::int64_t, const std::string &) { ++m_supersededCount; },
            .m_bootClock = bootClockNow,
            .m_wallClock = [this] { return TimerService::wallClockNow() + m_wallClockOffset; },
            .m_zoneDrains = [this] { return m_readZoneDrains ? m_readZoneDrains() : m_zoneDrains.current(); },
        })
    {
        m_state.m_events = std::make_shared<BoundedQueue<OwnerEvent>>(1000);
    }

    static Instant at(int ms)
    {
        return fromMilliseconds(bootTimeMs + ms);
    }

    static QueuePolicy policy(int maxAttempts)
    {
        return QueuePolicy{.m_workerPool = "pool",
                           .m_priority = 0,
                           .m_maxAttempts = maxAttempts,
                           .m_slackFactor = 1.5,
                           .m_latencyGoal = Duration(300),
                           .m_needsPlacementAdvice = false};
    }

    /// Installs a configuration with the given queues, each with @p maxAttempts.
    void configure(int version, const std::vector<std::string> &queues, int maxAttempts = 4)
    {
        std::vector<QueueSettings> settings;
        settings.reserve(queues.size());
        for (const auto &queue : queues) {
            settings.push_back(QueueSettings{.m_name = queue,
                                             .m_host = "host",
                                             .m_pathPrefix = "/" + queue + "/",
                                             .m_policy = policy(maxAttempts),
                                             .m_timeout = Duration(3000),
                                             .m_isPublic = true});
        }
        m_configuration.installIfNewer(std::make_shared<const FleetConfiguration>(
            FleetConfiguration{.m_version = version, .m_queues = std::move(settings), .m_organisations = {}, .m_pools = {}, .m_maxBodyBytes = 1000}));
    }

    static JobStep stepOf(int tasks, const Resources &resources, bool longRunning = false, int maxUnavailable = 0, bool gang = false)
    {
        return JobStep{.m_taskCount = tasks,
                       .m_taskResources = resources,
                       .m_estimate = Duration(20'000),
                       .m_after = {},
                       .m_gang = gang,
                       .m_sameRack = false,
                       .m_requiredLabel = {},
                       .m_dataRack = {},
                       .m_maxPerWorker = 0,
                       .m_speculative = false,
                       .m_checkpointing = false,
                       .m_longRunning = longRunning,
                       .m_image = {},
                       .m_tailLatencyTarget = Duration(0),
                       .m_filler = false,
                       .m_maxUnavailable = maxUnavailable};
    }

    static JobSpecPointer jobOfStep(const std::string &name,
                                    const std::string &queue,
                                    std::optional<QueuePolicy> acceptedPolicy,
                                    const JobStep &step,
                                    const JobSchedule &schedule = JobSchedule{.m_count = 0, .m_firstDue = fromMilliseconds(0), .m_interval = Duration(0)})
    {
        return std::make_shared<const JobSpec>(JobSpec{
            .m_id = name,
            .m_queue = queue,
            .m_acceptedPolicy = std::move(acceptedPolicy),
            .m_organisation = {},
            .m_acceptedAt = TimerService::wallClockNow(),
            .m_payload = "payload",
            .m_steps = {step},
            .m_schedule = schedule,
        });
    }

    static JobSpecPointer job(const std::string &name,
                              const std::string &queue,
                              std::optional<QueuePolicy> acceptedPolicy,
                              bool longRunning = false,
                              int tasks = 1,
                              int maxUnavailable = 0)
    {
        const Resources resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 8};
        return jobOfStep(name, queue, std::move(acceptedPolicy), stepOf(tasks, resources, longRunning, maxUnavailable));
    }

    /// The entry of a worker; @p leavesIn is set for a draining worker only. @p revision is the store's at which the entry was written.
    static WorkerReportPointer worker(const std::string &name,
                                      std::optional<Duration> leavesIn = std::nullopt,
                                      std::int64_t startedAtMs = 1,
                                      const std::string &machine = {},
                                      std::int64_t revision = 0,
                                      const std::string &zone = "zone-a",
                                      Duration coldFor = Duration(0))
    {
        return std::make_shared<const WorkerReport>(WorkerReport{
            .m_incarnation = WorkerIncarnation{.m_worker = name, .m_startedAtMs = startedAtMs},
            .m_machine = machine,
            .m_address = "127.0.0.1:1",
            .m_pool = "pool",
            .m_zone = zone,
            .m_rack = "r1",
            .m_labels = {},
            .m_capacity = Resources{.m_milliCores = 32000, .m_memoryMb = 131072, .m_accelerators = 8},
            .m_draining = leavesIn.has_value(),
            .m_leavesIn = leavesIn,
            .m_softwareVersion = {},
            .m_reportedAtClockMs = std::nullopt,
            .m_coldFor = coldFor,
            .m_entryRevision = revision,
        });
    }

    void apply(const OwnerEvent &event, Instant now)
    {
        applyEvent(m_state, event, now);
        recordRosterIfChanged(m_state);
        acknowledgeRosters(now);
    }

    void becomeOwner(const std::vector<WorkerReportPointer> &workers,
                     const std::vector<JobPointer> &jobs = {},
                     const std::vector<RosterEntry> &roster = {},
                     Instant now = at(0))
    {
        apply(OwnershipGained{.m_snapshot = std::make_shared<const FleetSnapshot>(FleetSnapshot{
                                  .m_fence = fence, .m_jobs = jobs, .m_cancelledJobs = {}, .m_workers = workers, .m_roster = roster, .m_rosterVersion = 0})},
              now);
        updateAuthority(m_state, fromMilliseconds(1'000'000'000), now);
    }

    /// The worker answers a poll that was sent at @p now. It lists @p running as its only run, if that is set.
    void answer(const std::string &name, std::optional<RunningTask> running, std::vector<RunEnd> ended, Instant now, bool immediate = false)
    {
        std::vector<RunningTask> runs;
        if (running) {
            runs.push_back(std::move(*running));
        }
        const auto workerClockMs = toMilliseconds(now) - bootTimeMs;
        const auto listed = listedEnds(ended.size());
        apply(PollCompleted{.m_incarnation = incarnation(name),
                            .m_fence = fence,
                            .m_sentAt = now,
                            .m_leaseRenewed = true,
                            .m_immediate = immediate,
                            .m_reply = RunReportReply{.m_answer = OrderAnswer::Accepted,
                                                      .m_runReport = WorkerRunReport{.m_startedAtMs = incarnation(name).m_startedAtMs,
                                                                                     .m_clockMs = workerClockMs,
                                                                                     .m_running = std::move(runs),
                                                                                     .m_ends = std::move(ended),
                                                                                     .m_listedEnds = listed}}},
              now);
    }

    /// The worker answers a poll that was sent at @p now, but says that it started at @p startedAtMs.
    void answerWithStart(const std::string &name, std::int64_t startedAtMs, std::vector<RunningTask> running, Instant now)
    {
        apply(PollCompleted{.m_incarnation = incarnation(name),
                            .m_fence = fence,
                            .m_sentAt = now,
                            .m_leaseRenewed = false,
                            .m_immediate = false,
                            .m_reply = RunReportReply{.m_answer = OrderAnswer::Accepted,
                                                      .m_runReport = WorkerRunReport{.m_startedAtMs = startedAtMs,
                                                                                     .m_clockMs = toMilliseconds(now) - bootTimeMs,
                                                                                     .m_running = std::move(running),
                                                                                     .m_ends = {}}}},
              now);
    }

    void missPoll(const std::string &name, Instant now, bool immediate = false)
    {
        apply(PollCompleted{.m_incarnation = incarnation(name),
                            .m_fence = fence,
                            .m_sentAt = now,
                            .m_leaseRenewed = false,
                            .m_immediate = immediate,
                            .m_reply = RunReportReply{.m_answer = OrderAnswer::Unanswered, .m_runReport = std::nullopt}},
              now);
    }

    /// The worker accepts the start that the owner has ordered for a task of @p job.
    void acceptStart(const std::string &job, Instant now, int index = 0)
    {
        const auto task = findTask(*jobState(job), reference(job, index));
        apply(StartOrderCompleted{.m_task = reference(job, index),
                                  .m_runNumber = task->m_runNumber,
                                  .m_checkpoint = {},
                                  .m_incarnation = *task->m_assignedWorker,
                                  .m_fence = fence,
                                  .m_sentAt = now,
                                  .m_reply = OrderReply{.m_answer = OrderAnswer::Accepted, .m_workerClockMs = std::nullopt}},
              now);
    }

    void review(Instant now)
    {
        reviewFleet(m_state, now);
        recordRosterIfChanged(m_state);
        acknowledgeRosters(now);
    }

    void place(Instant now)
    {
        runPlacementPass(m_state, now);
    }

    static TaskReference reference(const std::string &job, int index = 0)
    {
        return TaskReference{.m_job = job, .m_occurrence = 0, .m_step = 0, .m_index = index};
    }

    static RunningTask running(const std::string &job, std::int64_t runNumber, int percent = 50, int index = 0)
    {
        return RunningTask{.m_task = reference(job, index), .m_runNumber = runNumber, .m_checkpoint = {}, .m_percent = percent, .m_load = 0.0};
    }

    static RunEnd ended(const std::string &job, std::int64_t number, std::int64_t runNumber, RunEndKind kind, int index = 0)
    {
        return RunEnd{.m_number = number, .m_task = reference(job, index), .m_runNumber = runNumber, .m_kind = kind, .m_checkpoint = {}};
    }

    [[nodiscard]] JobPointer jobState(const std::string &job) const
    {
        return m_state.m_jobs.find(job);
    }

    [[nodiscard]] TaskPointer task(const std::string &job) const
    {
        return findTask(*m_state.m_jobs.find(job), reference(job));
    }

    /// Returns the worker that the first task of @p job is assigned to, or an empty string.
    [[nodiscard]] std::string workerOf(const std::string &job) const
    {
        const auto found = task(job);
        return found->m_assignedWorker ? found->m_assignedWorker->m_worker : std::string();
    }

    /// Returns how often the owner has ordered the stop of that run on that worker.
    [[nodiscard]] std::ptrdiff_t stopCount(const std::string &worker, const TaskReference &task, std::int64_t runNumber) const
    {
        return std::count(m_stopOrders.begin(), m_stopOrders.end(), RecordedOrder{.m_worker = worker, .m_task = task, .m_runNumber = runNumber});
    }

    /// An order to a worker, in the order in which the owner has sent them.
    struct RecordedOrder {
        std::string m_worker;
        TaskReference m_task;
        std::int64_t m_runNumber;

        bool operator==(const RecordedOrder &) const = default;
    };

    CurrentConfiguration m_configuration;
    CurrentZoneDrains m_zoneDrains;
    std::function<ZoneDrainView()> m_readZoneDrains; ///< If set, replaces m_zoneDrains.
    std::vector<DurableRecord> m_records;
    std::vector<RecordedOrder> m_startOrders;
    std::vector<RecordedOrder> m_stopOrders;
    std::vector<RunReportRequest> m_reportRequests;
    std::vector<std::optional<Instant>> m_reportBounds; ///< OrderTarget::m_connectedBefore of each report request.
    std::vector<std::optional<Instant>> m_connectionBounds; ///< OrderTarget::m_connectedBefore of each start and stop order.
    std::vector<std::int64_t> m_startFences; ///< Fence of each start order.
    std::vector<std::optional<Instant>> m_startEnds; ///< OrderTarget::m_sentBefore of each start order.
    std::vector<std::int64_t> m_stopFences; ///< Fence of each stop order.
    std::vector<std::int64_t> m_reportFences; ///< Fence of each report request.
    int m_supersededCount = 0; ///< How often the owner has reported that a worker has seen a higher fence.
    Duration m_wallClockOffset{0}; ///< Added to the wall clock of the owner.
    OwnerState m_state;

private:
    WorkerCalls recordingCalls()
    {
        return WorkerCalls{
            .m_sendStartOrder =
                [this](const OrderTarget &target, const StartOrder &order, const auto &) {
                    m_connectionBounds.push_back(target.m_connectedBefore);
                    m_startFences.push_back(target.m_fence);
                    m_startEnds.push_back(target.m_sentBefore);
                    m_startOrders.push_back(RecordedOrder{.m_worker = target.m_worker, .m_task = order.m_task, .m_runNumber = order.m_runNumber});
                },
            .m_sendStopOrder =
                [this](const OrderTarget &target, const TaskReference &task, std::int64_t runNumber, const auto &) {
                    m_connectionBounds.push_back(target.m_connectedBefore);
                    m_stopFences.push_back(target.m_fence);
                    m_stopOrders.push_back(RecordedOrder{.m_worker = target.m_worker, .m_task = task, .m_runNumber = runNumber});
                },
            .m_requestRunReport =
                [this](const OrderTarget &target, const RunReportRequest &request, const auto &) {
                    m_reportFences.push_back(target.m_fence);
                    m_reportRequests.push_back(request);
                    m_reportBounds.push_back(target.m_connectedBefore);
                },
        };
    }

    static FleetSettings settings(std::optional<Duration> zoneDrainBound)
    {
        return FleetSettings{.m_vm = VmId::create("vm").value(),
                             .m_zone = ZoneId::create("zone-a").value(),
                             .m_frontAddress = {},
                             .m_readinessAddress = {},
                             .m_peerAddress = {},
                             .m_peerListenAddress = {},
                             .m_metricsAddress = {},
                             .m_storeAddress = {},
                             .m_taskLease = taskLease,
                             .m_shortestStoreLease = Duration(1000),
                             .m_reclaimBound = Duration(3400),
                             .m_stopBound = Duration(900),
                             .m_shutdownBound = Duration(6000),
                             .m_processorCores = 1.0,
                             .m_remoteFactor = 3.0,
                             .m_logLevel = "info",
                             .m_zoneDrainBound = zoneDrainBound};
    }

    [[nodiscard]] WorkerIncarnation incarnation(const std::string &name) const
    {
        return *m_state.m_workers.at(name).m_incarnation;
    }

    void acknowledgeRosters(Instant now)
    {
        applyEvent(m_state, RosterRecorded{.m_version = m_state.m_rosterVersion}, now);
    }
};

} // namespace PrimroseBridge
