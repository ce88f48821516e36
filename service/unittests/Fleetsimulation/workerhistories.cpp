#include "workerfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>
#include <set>
#include <tuple>

namespace PrimroseBridge {

namespace {

constexpr std::int64_t longestLeaseMs = 3000;
const std::array<std::string, 3> workerNames = {"w1", "w2", "w3"};
const std::array<double, 3> clockRates = {1.0, 0.98, 0.991};

enum class CallKind {
    Start,
    StartGang, ///< A member on each worker.
    Stop,
    Report,
    Crash,
    Advance,
};

struct Call {
    CallKind m_kind;
    int m_worker;
    int m_job;
    int m_index;
    std::int64_t m_number; ///< Run number, or last acknowledged end.
    std::int64_t m_leaseMs; ///< Length of the lease from the call on.
    std::int64_t m_pauseMs; ///< Time since the previous call.
};

std::vector<JobSpecPointer> manyKindsOfJobs()
{
    using Steps = std::vector<WorkerFixture::StepOptions>;
    return {WorkerFixture::job("plain", Steps{{.m_tasks = 3, .m_estimate = Duration(700), .m_accelerators = 3}}),
            WorkerFixture::job("gang", Steps{{.m_tasks = 3, .m_estimate = Duration(1500), .m_gang = true, .m_accelerators = 2}}),
            WorkerFixture::job("service", Steps{{.m_tasks = 3, .m_longRunning = true}})};
}

rc::Gen<Call> anyCall()
{
    // Starts are the most frequent, so that capacity runs short, and gangs start whole at times, because their members would hardly meet by chance.
    return rc::gen::construct<Call>(rc::gen::element(CallKind::Start,
                                                     CallKind::Start,
                                                     CallKind::Start,
                                                     CallKind::StartGang,
                                                     CallKind::Stop,
                                                     CallKind::Report,
                                                     CallKind::Report,
                                                     CallKind::Crash,
                                                     CallKind::Advance),
                                    rc::gen::inRange(0, 3),
                                    rc::gen::inRange(0, 3),
                                    rc::gen::inRange(0, 3),
                                    rc::gen::inRange<std::int64_t>(1, 8),
                                    rc::gen::oneOf(rc::gen::just<std::int64_t>(4000), rc::gen::inRange<std::int64_t>(-100, 4000)),
                                    rc::gen::inRange<std::int64_t>(0, 600));
}

/// Workers with clocks of different rates, and the times up to which their leases can last.
struct PlayedFleet {
    PlayedFleet()
        : m_fleet(manyKindsOfJobs(), {})
    {
        for (std::size_t i = 0; i < workerNames.size(); ++i) {
            auto settings = WorkerFixture::settings(workerNames.at(i));
            settings.m_clockRate = clockRates.at(i);
            m_fleet.m_workers.startWorker(settings, 1, WorkerFixture::at(0));
        }
        m_fleet.m_workers.setRunResult(WorkerFixture::task("plain", 2), Duration(300), RunEndKind::Failed);
        m_fleet.m_workers.setRunResult(WorkerFixture::task("gang", 1), Duration(1600), RunEndKind::Done);
    }

    void play(const Call &call, std::int64_t nowMs)
    {
        m_fleet.m_workers.advance(WorkerFixture::at(nowMs));
        const auto &worker = workerNames.at(static_cast<std::size_t>(call.m_worker));
        const auto task = WorkerFixture::task(m_fleet.m_jobs.at(static_cast<std::size_t>(call.m_job))->m_id, call.m_index);
        switch (call.m_kind) {
        case CallKind::Start:
            m_answers.push_back(m_fleet.start(worker, task, call.m_number, nowMs, lease(call.m_worker, call.m_leaseMs, nowMs)));
            break;
        case CallKind::StartGang:
            for (int i = 0; i < 3; ++i) {
                const auto leaseEndMs = lease(i, call.m_leaseMs, nowMs);
                m_answers.push_back(
                    m_fleet.start(workerNames.at(static_cast<std::size_t>(i)), WorkerFixture::task("gang", i), call.m_number, nowMs, leaseEndMs));
            }
            break;
        case CallKind::Stop:
            m_answers.push_back(m_fleet.stop(worker, task, call.m_number, nowMs));
            break;
        case CallKind::Report:
            m_reports.push_back(m_fleet.report(worker, call.m_number, nowMs, lease(call.m_worker, call.m_leaseMs, nowMs)));
            break;
        case CallKind::Crash:
            m_fleet.m_workers.crashWorker(worker, WorkerFixture::at(nowMs));
            m_fleet.m_workers.restartWorker(worker, ++m_incarnations, WorkerFixture::at(nowMs));
            break;
        case CallKind::Advance:
            break;
        }
        checkLeases(nowMs);
    }

    /// Returns the lease end on the worker's clock for a lease of this length, and notes until when runs there may last.
    std::int64_t lease(int worker, std::int64_t leaseMs, std::int64_t nowMs)
    {
        const auto &name = workerNames.at(static_cast<std::size_t>(worker));
        const auto length = static_cast<double>(std::min(leaseMs, longestLeaseMs)) / clockRates.at(static_cast<std::size_t>(worker));
        auto &latest = m_latestLeaseEndMs[name];
        latest = std::max(latest, nowMs + static_cast<std::int64_t>(length) + 2); // A millisecond for each rounding of the clock.
        return m_fleet.m_workers.entry(name)->m_reportedAtClockMs.value() + leaseMs;
    }

    void checkLeases(std::int64_t nowMs)
    {
        for (const auto &run : m_fleet.m_workers.history()) {
            RC_ASSERT(run.m_endedAt || nowMs <= m_latestLeaseEndMs[run.m_worker]);
        }
    }

    WorkerFixture m_fleet;
    std::int64_t m_incarnations = 1;
    std::map<std::string, std::int64_t> m_latestLeaseEndMs;
    std::vector<OrderAnswer> m_answers;
    std::vector<RunReportReply> m_reports;
};

void checkCapacity(const std::vector<SimulatedRun> &history, const std::vector<JobSpecPointer> &jobs)
{
    for (const auto &started : history) {
        std::int64_t accelerators = 0;
        for (const auto &run : history) {
            const bool present = run.m_startedAt <= started.m_startedAt && (!run.m_endedAt || *run.m_endedAt > started.m_startedAt);
            const auto job = std::find_if(jobs.begin(), jobs.end(), [&](const JobSpecPointer &spec) { return spec->m_id == run.m_task.m_job; });
            accelerators += present && run.m_worker == started.m_worker ? (*job)->m_steps.front().m_taskResources.m_accelerators : 0;
        }
        RC_ASSERT(accelerators <= 8);
    }
}

// A run number starts once in an incarnation, and no run starts there below one that has ended.
void checkRunNumbers(const std::vector<SimulatedRun> &history)
{
    std::set<std::tuple<std::string, std::int64_t, TaskReference, std::int64_t>> started;
    for (std::size_t later = 0; later < history.size(); ++later) {
        const auto &run = history[later];
        RC_ASSERT(started.emplace(run.m_worker, run.m_incarnation, run.m_task, run.m_runNumber).second);
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            const auto &other = history[earlier];
            const bool over = other.m_worker == run.m_worker && other.m_incarnation == run.m_incarnation && other.m_task == run.m_task && other.m_endedAt
                              && *other.m_endedAt < run.m_startedAt;
            RC_ASSERT(!over || other.m_runNumber < run.m_runNumber);
        }
    }
}

// The members of a gang are done at the same time, with every task among them.
void checkGangs(const std::vector<SimulatedRun> &history)
{
    for (const auto &run : history) {
        if (run.m_task.m_job != "gang" || run.m_endKind != RunEndKind::Done) {
            continue;
        }
        std::set<int> doneTogether;
        for (const auto &other : history) {
            if (other.m_task.m_job == "gang" && other.m_runNumber == run.m_runNumber && other.m_endKind == RunEndKind::Done
                && other.m_endedAt == run.m_endedAt) {
                doneTogether.insert(other.m_task.m_index);
            }
        }
        RC_ASSERT(doneTogether.size() == 3);
    }
}

} // namespace

// Guards against results that depend on how often the workers are advanced, and against histories that no worker can have.
TEST_CASE("any calls give the same possible history however time advances")
{
    CHECK(rc::check([] {
        const auto calls = *rc::gen::container<std::vector<Call>>(anyCall());
        PlayedFleet atOnce;
        PlayedFleet inSteps;
        std::int64_t nowMs = 0;
        for (const auto &call : calls) {
            for (std::int64_t ms = nowMs; ms <= nowMs + call.m_pauseMs; ms += 7) {
                inSteps.m_fleet.m_workers.advance(WorkerFixture::at(ms));
                const auto next = inSteps.m_fleet.m_workers.nextChange();
                RC_ASSERT(!next || *next > WorkerFixture::at(ms));
            }
            nowMs += call.m_pauseMs;
            atOnce.play(call, nowMs);
            inSteps.play(call, nowMs);
        }
        RC_ASSERT(atOnce.m_fleet.m_workers.history() == inSteps.m_fleet.m_workers.history());
        RC_ASSERT(atOnce.m_answers == inSteps.m_answers);
        RC_ASSERT(atOnce.m_reports == inSteps.m_reports);
        const auto &history = atOnce.m_fleet.m_workers.history();
        checkCapacity(history, atOnce.m_fleet.m_jobs);
        checkRunNumbers(history);
        checkGangs(history);
        const auto anyEnd
            = [&history](RunEndKind kind) { return std::any_of(history.begin(), history.end(), [kind](const auto &run) { return run.m_endKind == kind; }); };
        RC_CLASSIFY(anyEnd(RunEndKind::LeaseExpired), "expired");
        RC_CLASSIFY(anyEnd(RunEndKind::GangMemberEnded), "member ended");
        RC_CLASSIFY(anyEnd(RunEndKind::GangMembersMissing), "members missing");
        RC_CLASSIFY(
            std::any_of(history.begin(), history.end(), [](const auto &run) { return run.m_task.m_job == "gang" && run.m_endKind == RunEndKind::Done; }),
            "gang done");
    }));
}

// Prints how many simulated seconds of a fleet of 12 workers a second of a core gives; the cost must not grow with the history.
TEST_CASE("cost of the simulated workers", "[.cost]")
{
    constexpr int tasks = 240;
    std::vector<std::string> names;
    names.reserve(12);
    for (int i = 0; i < 12; ++i) {
        names.push_back("w" + std::to_string(i));
    }
    WorkerFixture fleet({WorkerFixture::job("5c0e7a21d94b36f8", std::vector<WorkerFixture::StepOptions>{{.m_tasks = tasks, .m_estimate = Duration(2000)}})},
                        names);
    std::vector<OrderTarget> targets;
    targets.reserve(names.size());
    for (const auto &name : names) {
        targets.push_back(fleet.target(name));
    }
    std::vector<std::int64_t> lastSeen(names.size(), 0);
    std::int64_t occurrence = 0;
    std::int64_t nowMs = 0;
    for (int part = 0; part < 4; ++part) {
        const auto before = std::clock();
        for (const auto partEnd = nowMs + 500'000; nowMs < partEnd; nowMs += 100) {
            if (nowMs % 2000 == 0) {
                ++occurrence;
                for (int index = 0; index < tasks; ++index) {
                    fleet.m_workers.startOrder(targets.at(static_cast<std::size_t>(index) % targets.size()),
                                               StartOrder{.m_task = {.m_job = "5c0e7a21d94b36f8", .m_occurrence = occurrence, .m_step = 0, .m_index = index},
                                                          .m_runNumber = 1,
                                                          .m_payload = {},
                                                          .m_checkpoint = {},
                                                          .m_leaseEndMs = nowMs + 3000},
                                               "vm",
                                               OrderDelivery(),
                                               WorkerFixture::at(nowMs));
                }
            }
            for (std::size_t i = 0; i < targets.size(); ++i) {
                const auto reply
                    = fleet.m_workers.report(targets[i],
                                             RunReportRequest{.m_lastAcknowledgedEnd = lastSeen[i], .m_leaseEndMs = nowMs + 3000, .m_wait = Duration(0)},
                                             OrderDelivery(),
                                             WorkerFixture::at(nowMs));
                for (const auto &end : reply.m_runReport->m_ends) {
                    lastSeen[i] = end.m_number;
                }
            }
        }
        const auto took = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        std::cout << "simulated seconds in a second of a core: " << 500.0 / took << ", runs so far: " << fleet.m_workers.history().size() << '\n';
    }
    const auto before = std::clock();
    const auto violations = findViolations(fleet.m_workers.history(), fleet.m_jobs, {{"5c0e7a21d94b36f8", 4}}, WorkerFixture::at(nowMs));
    const auto took = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    std::cout << "findViolations: " << took << " s, violations: " << violations.size() << '\n';
}

} // namespace PrimroseBridge
