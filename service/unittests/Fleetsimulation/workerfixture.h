#pragma once

#include "simulatedworkers.h"

#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// Builds jobs and orders for tests of simulated workers.
struct WorkerFixture {
    static constexpr std::int64_t fence = 10;

    static Instant at(std::int64_t ms)
    {
        return fromMilliseconds(1'000'000 + ms);
    }

    /// What differs between the steps of the tests.
    struct StepOptions {
        int m_tasks = 1;
        Duration m_estimate{1000};
        bool m_gang = false;
        std::vector<int> m_after = {};
        std::int64_t m_accelerators = 0;
        bool m_longRunning = false;
        bool m_speculative = false;
        bool m_filler = false;
    };

    static JobStep step(const StepOptions &options)
    {
        return JobStep{.m_taskCount = options.m_tasks,
                       .m_taskResources = Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = options.m_accelerators},
                       .m_estimate = options.m_estimate,
                       .m_after = options.m_after,
                       .m_gang = options.m_gang,
                       .m_sameRack = false,
                       .m_requiredLabel = {},
                       .m_dataRack = {},
                       .m_maxPerWorker = 0,
                       .m_speculative = options.m_speculative,
                       .m_checkpointing = false,
                       .m_longRunning = options.m_longRunning,
                       .m_image = {},
                       .m_tailLatencyTarget = Duration(0),
                       .m_filler = options.m_filler,
                       .m_maxUnavailable = 0};
    }

    static JobSpecPointer job(const std::string &name, const std::vector<StepOptions> &options)
    {
        std::vector<JobStep> steps;
        steps.reserve(options.size());
        for (const auto &entry : options) {
            steps.push_back(step(entry));
        }
        return job(name, steps);
    }

    static JobSpecPointer job(const std::string &name, const std::vector<JobStep> &steps)
    {
        return std::make_shared<const JobSpec>(JobSpec{.m_id = name,
                                                       .m_queue = "queue",
                                                       .m_acceptedPolicy = std::nullopt,
                                                       .m_organisation = {},
                                                       .m_acceptedAt = at(0),
                                                       .m_payload = "payload",
                                                       .m_steps = steps,
                                                       .m_schedule = JobSchedule{.m_count = 0, .m_firstDue = fromMilliseconds(0), .m_interval = Duration(0)}});
    }

    static TaskReference task(const std::string &job, int index = 0, int step = 0)
    {
        return TaskReference{.m_job = job, .m_occurrence = 0, .m_step = step, .m_index = index};
    }

    static SimulatedWorkerSettings settings(const std::string &name)
    {
        SimulatedWorkerSettings settings;
        settings.m_identifier = name;
        settings.m_machine = "machine-" + name;
        settings.m_zone = "zone-a";
        settings.m_rack = "r1";
        return settings;
    }

    /// Starts workers with these names at time 0.
    explicit WorkerFixture(std::vector<JobSpecPointer> jobs, const std::vector<std::string> &names = {"w1", "w2", "w3"})
        : m_jobs(std::move(jobs))
        , m_workers(m_jobs)
    {
        for (const auto &name : names) {
            m_workers.startWorker(settings(name), 1, at(0));
        }
    }

    [[nodiscard]] OrderTarget target(const std::string &worker, std::int64_t targetFence = fence) const
    {
        return OrderTarget{.m_worker = worker, .m_address = m_workers.entry(worker)->m_address, .m_fence = targetFence, .m_timeout = Duration(500)};
    }

    /// Orders a start with a lease until @p leaseEndMs on the worker's clock.
    OrderAnswer
    start(const std::string &worker, const TaskReference &task, std::int64_t run, std::int64_t nowMs, std::int64_t leaseEndMs, std::int64_t orderFence = fence)
    {
        return m_workers
            .startOrder(target(worker, orderFence),
                        StartOrder{.m_task = task, .m_runNumber = run, .m_payload = "payload", .m_checkpoint = {}, .m_leaseEndMs = leaseEndMs},
                        "vm",
                        OrderDelivery(),
                        at(nowMs))
            .m_answer;
    }

    OrderAnswer stop(const std::string &worker, const TaskReference &task, std::int64_t run, std::int64_t nowMs, std::int64_t orderFence = fence)
    {
        return m_workers.stopOrder(target(worker, orderFence), task, run, at(nowMs)).m_answer;
    }

    RunReportReply report(const std::string &worker,
                          std::int64_t lastSeen,
                          std::int64_t nowMs,
                          std::optional<std::int64_t> leaseEndMs = std::nullopt,
                          std::int64_t requestFence = fence)
    {
        return m_workers.report(target(worker, requestFence),
                                RunReportRequest{.m_lastAcknowledgedEnd = lastSeen, .m_leaseEndMs = leaseEndMs, .m_wait = Duration(0)},
                                OrderDelivery(),
                                at(nowMs));
    }

    /// The ends that the worker lists at @p nowMs as "number:task:run:kind".
    std::vector<std::string> listedEnds(const std::string &worker, std::int64_t nowMs)
    {
        const auto reply = m_workers.currentReport(worker, at(nowMs));
        std::vector<std::string> ends;
        for (const auto &end : reply.m_runReport.value().m_ends) {
            ends.push_back(std::to_string(end.m_number) + ":" + taskName(end.m_task) + ":" + std::to_string(end.m_runNumber) + ":" + kindName(end.m_kind));
        }
        return ends;
    }

    static std::string kindName(RunEndKind kind)
    {
        switch (kind) {
        case RunEndKind::Done:
            return "done";
        case RunEndKind::Failed:
            return "failed";
        case RunEndKind::Stopped:
            return "stopped";
        case RunEndKind::LeaseExpired:
            return "expired";
        case RunEndKind::GangMemberEnded:
            return "member_ended";
        case RunEndKind::GangMembersMissing:
            return "members_missing";
        }
        return "unknown";
    }

    [[nodiscard]] const SimulatedRun &run(std::size_t index) const
    {
        return m_workers.history().at(index);
    }

    std::vector<JobSpecPointer> m_jobs;
    SimulatedWorkers m_workers;
};

} // namespace PrimroseBridge
