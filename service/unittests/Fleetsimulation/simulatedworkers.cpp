#include "simulatedworkers.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <cstddef>
#include <deque>
#include <set>
#include <tuple>
#include <utility>

namespace PrimroseBridge {

// A long-running task is at work this long after its start.
static constexpr Duration startupTime(500);
// The rate of a worker's clock is counted in these parts, so that times on the clock convert exactly in both directions.
static constexpr std::int64_t clockParts = 1'000'000;

namespace {

/// A run of one task: a worker keeps two runs of one task apart.
struct RunKey {
    TaskReference m_task;
    std::int64_t m_runNumber;

    auto operator<=>(const RunKey &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

/// The members of a gang that share a run number work only together.
struct GangKey {
    std::string m_job;
    std::int64_t m_occurrence;
    int m_step;
    std::int64_t m_runNumber;

    auto operator<=>(const GangKey &) const = default; // NOLINT(modernize-use-nullptr): false positive on the generated comparison with zero.
};

struct RunResult {
    std::optional<Duration> m_runTime; ///< Empty for a run that goes on until it is stopped.
    RunEndKind m_kind;
};

struct ListedEnd {
    RunEnd m_end;
    std::size_t m_run; ///< Index in the history.
    std::int64_t m_leasePeriod; ///< Worker::m_leasePeriod at the end.
};

/// What a worker knows in one incarnation.
struct IncarnationState {
    std::int64_t m_startedAtMs = 0; ///< Unix time.
    Instant m_startedAt; ///< Time at which the worker's clock shows 0.
    std::optional<Instant> m_leavesAt; ///< Set while the worker drains.
    std::int64_t m_highestFence = 0;
    bool m_hasAnswered = false; ///< See OrderDelivery::m_beforeFirstAnswer.
    std::int64_t m_leaseEndMs = 0; ///< On the worker's clock.
    bool m_leaseHeld = false;
    std::int64_t m_leasePeriod = 0; ///< Number of leases that have lapsed.
    std::map<RunKey, std::size_t> m_running; ///< Indices in the history.
    std::map<TaskReference, std::int64_t> m_highestOverRun; ///< Highest run number that has ended or was ordered to stop.
    std::int64_t m_endCount = 0;
    std::deque<ListedEnd> m_ends; ///< Ends that no request has acknowledged.
    std::int64_t m_usedMilliCores = 0;
    std::int64_t m_usedMemoryMb = 0;
    std::int64_t m_usedAccelerators = 0;
};

struct Worker {
    const SimulatedWorkerSettings m_settings;
    const std::int64_t m_clockRate; ///< In clockParts.
    const std::string m_address;
    bool m_up;
    IncarnationState m_state;
};

enum class RunTimer {
    WorkEnds,
    Stops,
    GangGivesUp,
};

struct ActiveRun {
    Worker *m_worker;
    const JobStep *m_step;
    RunResult m_result;
    std::optional<GangKey> m_gang;
    std::optional<Instant> m_workStartedAt; ///< Empty while a gang member waits for the others.
    std::optional<Instant> m_stopsAt;
    std::optional<std::pair<Instant, RunTimer>> m_timer;
};

struct GangRun {
    std::set<std::pair<int, std::size_t>> m_members; ///< Task index, and run as an index in the history.
    std::optional<Instant> m_workStartedAt; ///< Empty while members are missing.
    std::optional<Duration> m_runTime; ///< Of the slowest member that is done by itself, because the members are done together.
};

std::int64_t clockOf(const Worker &worker, Instant now)
{
    return (now - worker.m_state.m_startedAt).count() * worker.m_clockRate / clockParts;
}

/// The first time at which the worker's clock shows at least @p clockMs.
Instant timeOfClock(const Worker &worker, std::int64_t clockMs)
{
    return worker.m_state.m_startedAt + Duration((clockMs * clockParts + worker.m_clockRate - 1) / worker.m_clockRate);
}

void beginIncarnation(Worker &worker, std::int64_t startedAtMs, Instant now)
{
    worker.m_up = true;
    worker.m_state = IncarnationState();
    worker.m_state.m_startedAtMs = startedAtMs;
    worker.m_state.m_startedAt = now;
}

// Fillers run on cores that the other tasks leave unused.
std::int64_t countedMilliCores(const JobStep &step)
{
    return step.m_filler ? 0 : step.m_taskResources.m_milliCores;
}

bool fits(const Worker &worker, const JobStep &step)
{
    const auto &capacity = worker.m_settings.m_capacity;
    return worker.m_state.m_usedMilliCores + countedMilliCores(step) <= capacity.m_milliCores
           && worker.m_state.m_usedMemoryMb + step.m_taskResources.m_memoryMb <= capacity.m_memoryMb
           && worker.m_state.m_usedAccelerators + step.m_taskResources.m_accelerators <= capacity.m_accelerators;
}

void changeUse(Worker &worker, const JobStep &step, int sign)
{
    worker.m_state.m_usedMilliCores += sign * countedMilliCores(step);
    worker.m_state.m_usedMemoryMb += sign * step.m_taskResources.m_memoryMb;
    worker.m_state.m_usedAccelerators += sign * step.m_taskResources.m_accelerators;
}

// A lease end never shortens the lease, and is itself shortened to the longest lease.
bool extendLease(Worker &worker, std::int64_t leaseEndMs, std::int64_t clockMs)
{
    const auto end = std::min(leaseEndMs, clockMs + worker.m_settings.m_longestLease.count());
    if (end <= clockMs || (worker.m_state.m_leaseHeld && end <= worker.m_state.m_leaseEndMs)) {
        return false;
    }
    worker.m_state.m_leaseEndMs = end;
    worker.m_state.m_leaseHeld = true;
    return true;
}

int percentOf(const ActiveRun &run, Instant now)
{
    if (!run.m_workStartedAt) {
        return 0;
    }
    const auto whole = run.m_step->m_longRunning ? startupTime : run.m_result.m_runTime.value_or(startupTime);
    const auto worked = now - *run.m_workStartedAt;
    return worked >= whole ? 100 : static_cast<int>(100 * worked.count() / whole.count());
}

} // namespace

struct SimulatedWorkers::Private {
    std::map<std::string, JobSpecPointer> m_jobs;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, Worker *> m_workersByAddress;
    std::map<TaskReference, RunResult> m_results;
    std::vector<SimulatedRun> m_history;
    std::map<std::size_t, ActiveRun> m_activeRuns; ///< By index in m_history.
    std::map<GangKey, GangRun> m_gangs;
    std::set<std::pair<Instant, std::size_t>> m_runTimers; ///< Next change of each run that has one, by index in m_history.
    std::set<std::pair<Instant, std::string>> m_leaseTimers; ///< End of each worker's lease, by identifier so that the order is the same in all processes.
    Instant m_now;

    void advance(Instant now);
    void setRunTimer(std::size_t index, ActiveRun &run);
    void dropRunTimer(std::size_t index, ActiveRun &run);
    void dropLeaseTimer(Worker &worker);
    void takeLease(Worker &worker, std::int64_t leaseEndMs);
    void lapseLease(Worker &worker, Instant at);
    void fireRunTimer(std::size_t index, Instant at);
    void startMember(std::size_t index, const GangRun &gang);
    void joinGang(std::size_t index, GangRun &gang);
    void endAllRuns(const Worker &worker, std::optional<RunEndKind> kind, Instant at);
    void endMembers(const GangKey &key, RunEndKind kind, Instant at);
    void removeRun(std::size_t index, std::optional<RunEndKind> kind, Instant at);
    void endRun(std::size_t index, std::optional<RunEndKind> kind, Instant at);
    [[nodiscard]] RunResult resultOf(const TaskReference &task, const JobStep &step) const;
    [[nodiscard]] const JobStep *findStep(const TaskReference &task) const;
    Worker *receiver(const OrderTarget &target);
    [[nodiscard]] WorkerRunReport reportOf(const Worker &worker) const;
};

// The lease timer is found by the time that it was set for, so that it must be dropped before the lease changes.
void SimulatedWorkers::Private::dropLeaseTimer(Worker &worker)
{
    if (worker.m_state.m_leaseHeld) {
        m_leaseTimers.erase({timeOfClock(worker, worker.m_state.m_leaseEndMs), worker.m_settings.m_identifier});
    }
}

void SimulatedWorkers::Private::takeLease(Worker &worker, std::int64_t leaseEndMs)
{
    const auto held = worker.m_state.m_leaseHeld;
    const auto formerEnd = timeOfClock(worker, worker.m_state.m_leaseEndMs);
    if (!extendLease(worker, leaseEndMs, clockOf(worker, m_now))) {
        return;
    }
    if (held) {
        m_leaseTimers.erase({formerEnd, worker.m_settings.m_identifier});
    }
    m_leaseTimers.emplace(timeOfClock(worker, worker.m_state.m_leaseEndMs), worker.m_settings.m_identifier);
}

void SimulatedWorkers::Private::lapseLease(Worker &worker, Instant at)
{
    dropLeaseTimer(worker);
    worker.m_state.m_leaseHeld = false;
    ++worker.m_state.m_leasePeriod;
    endAllRuns(worker, RunEndKind::LeaseExpired, at);
}

// Ends all runs on the worker, and with them the members of their gangs on other workers.
void SimulatedWorkers::Private::endAllRuns(const Worker &worker, std::optional<RunEndKind> kind, Instant at)
{
    std::vector<std::size_t> runs;
    runs.reserve(worker.m_state.m_running.size());
    for (const auto &[key, index] : worker.m_state.m_running) {
        runs.push_back(index);
    }
    // Members on this worker end for the same reason, so the others are ended only after all of these.
    std::set<GangKey> gangs;
    for (const auto index : runs) {
        const auto gang = m_activeRuns.at(index).m_gang;
        removeRun(index, kind, at);
        if (gang) {
            gangs.insert(*gang);
        }
    }
    for (const auto &gang : gangs) {
        endMembers(gang, RunEndKind::GangMemberEnded, at);
    }
}

void SimulatedWorkers::Private::endMembers(const GangKey &key, RunEndKind kind, Instant at)
{
    const auto gang = m_gangs.find(key);
    if (gang == m_gangs.end()) {
        return;
    }
    const auto members = gang->second.m_members;
    for (const auto &[taskIndex, run] : members) {
        removeRun(run, kind, at);
    }
}

void SimulatedWorkers::Private::dropRunTimer(std::size_t index, ActiveRun &run)
{
    if (run.m_timer) {
        m_runTimers.erase({run.m_timer->first, index});
        run.m_timer.reset();
    }
}

void SimulatedWorkers::Private::setRunTimer(std::size_t index, ActiveRun &run)
{
    dropRunTimer(index, run);
    const auto consider = [&run](Instant at, RunTimer timer) {
        if (!run.m_timer || at < run.m_timer->first) {
            run.m_timer.emplace(at, timer);
        }
    };
    if (run.m_workStartedAt && run.m_result.m_runTime) {
        consider(*run.m_workStartedAt + *run.m_result.m_runTime, RunTimer::WorkEnds);
    }
    if (run.m_stopsAt) {
        consider(*run.m_stopsAt, RunTimer::Stops);
    }
    if (!run.m_workStartedAt) {
        consider(m_history[index].m_startedAt + run.m_worker->m_settings.m_gangTimeout, RunTimer::GangGivesUp);
    }
    if (run.m_timer) {
        m_runTimers.emplace(run.m_timer->first, index);
    }
}

void SimulatedWorkers::Private::fireRunTimer(std::size_t index, Instant at)
{
    const auto &run = m_activeRuns.at(index);
    switch (run.m_timer->second) {
    case RunTimer::Stops:
        endRun(index, RunEndKind::Stopped, at);
        return;
    case RunTimer::GangGivesUp:
        endRun(index, RunEndKind::GangMembersMissing, at);
        return;
    case RunTimer::WorkEnds:
        break;
    }
    if (run.m_gang && run.m_result.m_kind == RunEndKind::Done) {
        const auto gang = *run.m_gang;
        endMembers(gang, RunEndKind::Done, at);
        return;
    }
    endRun(index, run.m_result.m_kind, at);
}

// Removes one run; without a kind it ends with its worker and is not listed.
void SimulatedWorkers::Private::removeRun(std::size_t index, std::optional<RunEndKind> kind, Instant at)
{
    const auto found = m_activeRuns.find(index);
    auto &run = found->second;
    auto &worker = *run.m_worker;
    auto &entry = m_history[index];
    entry.m_endedAt = at;
    entry.m_endKind = kind;
    worker.m_state.m_running.erase(RunKey{.m_task = entry.m_task, .m_runNumber = entry.m_runNumber});
    changeUse(worker, *run.m_step, -1);
    auto &highestOver = worker.m_state.m_highestOverRun[entry.m_task];
    highestOver = std::max(highestOver, entry.m_runNumber);
    if (kind) {
        worker.m_state.m_ends.push_back(ListedEnd{
            .m_end
            = RunEnd{.m_number = ++worker.m_state.m_endCount, .m_task = entry.m_task, .m_runNumber = entry.m_runNumber, .m_kind = *kind, .m_checkpoint = {}},
            .m_run = index,
            .m_leasePeriod = worker.m_state.m_leasePeriod});
    }
    if (run.m_gang) {
        const auto gang = m_gangs.find(*run.m_gang);
        gang->second.m_members.erase({entry.m_task.m_index, index});
        if (gang->second.m_members.empty()) {
            m_gangs.erase(gang);
        }
    }
    dropRunTimer(index, run);
    m_activeRuns.erase(found);
}

// Ends a run and with it the other members of its gang.
void SimulatedWorkers::Private::endRun(std::size_t index, std::optional<RunEndKind> kind, Instant at)
{
    const auto key = m_activeRuns.at(index).m_gang;
    removeRun(index, kind, at);
    if (key) {
        endMembers(*key, RunEndKind::GangMemberEnded, at);
    }
}

void SimulatedWorkers::Private::advance(Instant now)
{
    while (true) {
        const auto lease = m_leaseTimers.begin();
        const auto run = m_runTimers.begin();
        const bool leaseDue = lease != m_leaseTimers.end() && lease->first <= now;
        const bool runDue = run != m_runTimers.end() && run->first <= now;
        if (leaseDue && (!runDue || lease->first <= run->first)) {
            lapseLease(m_workers.at(lease->second), lease->first);
        } else if (runDue) {
            fireRunTimer(run->second, run->first);
        } else {
            break;
        }
    }
    m_now = std::max(m_now, now);
}

void SimulatedWorkers::Private::startMember(std::size_t index, const GangRun &gang)
{
    auto &run = m_activeRuns.at(index);
    run.m_workStartedAt = gang.m_workStartedAt;
    if (run.m_result.m_kind == RunEndKind::Done) {
        run.m_result.m_runTime = gang.m_runTime;
    }
    setRunTimer(index, run);
}

void SimulatedWorkers::Private::joinGang(std::size_t index, GangRun &gang)
{
    gang.m_members.emplace(m_history[index].m_task.m_index, index);
    auto &run = m_activeRuns.at(index);
    if (gang.m_workStartedAt) {
        startMember(index, gang); // The gang works already, so this is a second run of one of its tasks.
        return;
    }
    setRunTimer(index, run);
    int present = 0;
    int lastIndex = -1;
    for (const auto &[taskIndex, member] : gang.m_members) {
        present += taskIndex != lastIndex ? 1 : 0;
        lastIndex = taskIndex;
    }
    if (present < run.m_step->m_taskCount) {
        return;
    }
    gang.m_workStartedAt = m_now;
    for (const auto &[taskIndex, member] : gang.m_members) {
        const auto &result = m_activeRuns.at(member).m_result;
        if (result.m_kind == RunEndKind::Done && result.m_runTime) {
            gang.m_runTime = std::max(gang.m_runTime.value_or(Duration(0)), *result.m_runTime);
        }
    }
    for (const auto &[taskIndex, member] : gang.m_members) {
        startMember(member, gang);
    }
}

const JobStep *SimulatedWorkers::Private::findStep(const TaskReference &task) const
{
    const auto job = m_jobs.find(task.m_job);
    if (job == m_jobs.end() || task.m_step < 0 || static_cast<std::size_t>(task.m_step) >= job->second->m_steps.size()) {
        return nullptr;
    }
    const auto &step = job->second->m_steps[static_cast<std::size_t>(task.m_step)];
    return task.m_index >= 0 && task.m_index < step.m_taskCount ? &step : nullptr;
}

RunResult SimulatedWorkers::Private::resultOf(const TaskReference &task, const JobStep &step) const
{
    const auto found = m_results.find(task);
    if (found != m_results.end()) {
        return found->second;
    }
    return RunResult{.m_runTime = step.m_longRunning ? std::nullopt : std::optional(step.m_estimate), .m_kind = RunEndKind::Done};
}

Worker *SimulatedWorkers::Private::receiver(const OrderTarget &target)
{
    const auto byAddress = m_workersByAddress.find(target.m_address);
    if (byAddress != m_workersByAddress.end()) {
        return byAddress->second->m_up ? byAddress->second : nullptr;
    }
    const auto byIdentifier = m_workers.find(target.m_worker);
    return byIdentifier != m_workers.end() && byIdentifier->second.m_up ? &byIdentifier->second : nullptr;
}

WorkerRunReport SimulatedWorkers::Private::reportOf(const Worker &worker) const
{
    std::vector<RunningTask> running;
    running.reserve(worker.m_state.m_running.size());
    for (const auto &[key, index] : worker.m_state.m_running) {
        running.push_back(RunningTask{
            .m_task = key.m_task, .m_runNumber = key.m_runNumber, .m_checkpoint = {}, .m_percent = percentOf(m_activeRuns.at(index), m_now), .m_load = 0.0});
    }
    std::vector<RunEnd> ends;
    const auto listed = std::min(worker.m_state.m_ends.size(), maxListedEnds);
    ends.reserve(listed);
    for (std::size_t i = 0; i < listed; ++i) {
        ends.push_back(worker.m_state.m_ends[i].m_end);
    }
    return WorkerRunReport{.m_startedAtMs = worker.m_state.m_startedAtMs,
                           .m_clockMs = clockOf(worker, m_now),
                           .m_running = std::move(running),
                           .m_ends = std::move(ends),
                           .m_listedEnds = listedEnds(listed)};
}

SimulatedWorkers::SimulatedWorkers(std::vector<JobSpecPointer> jobs)
    : m_private(std::make_unique<Private>())
{
    for (auto &job : jobs) {
        auto identifier = job->m_id;
        m_private->m_jobs.emplace(std::move(identifier), std::move(job));
    }
}

SimulatedWorkers::~SimulatedWorkers() = default;

void SimulatedWorkers::startWorker(const SimulatedWorkerSettings &settings, std::int64_t startedAtMs, Instant now)
{
    m_private->advance(now);
    const auto number = m_private->m_workers.size() + 1;
    auto address = settings.m_address.empty() ? "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1) + ":7000" : settings.m_address;
    const auto [entry, added] = m_private->m_workers.try_emplace(settings.m_identifier,
                                                                 Worker{.m_settings = settings,
                                                                        .m_clockRate = std::llround(settings.m_clockRate * clockParts),
                                                                        .m_address = std::move(address),
                                                                        .m_up = false,
                                                                        .m_state = {}});
    assert(added && "a worker starts for the first time only once");
    static_cast<void>(added);
    beginIncarnation(entry->second, startedAtMs, m_private->m_now);
    m_private->m_workersByAddress.insert_or_assign(entry->second.m_address, &entry->second);
}

void SimulatedWorkers::restartWorker(const std::string &worker, std::int64_t startedAtMs, Instant now)
{
    m_private->advance(now);
    auto &restarted = m_private->m_workers.at(worker);
    assert(!restarted.m_up && "only a worker that is down restarts");
    beginIncarnation(restarted, startedAtMs, m_private->m_now);
    m_private->m_workersByAddress.insert_or_assign(restarted.m_address, &restarted);
}

void SimulatedWorkers::crashWorker(const std::string &worker, Instant now)
{
    m_private->advance(now);
    auto &crashed = m_private->m_workers.at(worker);
    if (!crashed.m_up) {
        return;
    }
    crashed.m_up = false;
    m_private->dropLeaseTimer(crashed);
    crashed.m_state.m_leaseHeld = false;
    m_private->endAllRuns(crashed, std::nullopt, m_private->m_now);
}

void SimulatedWorkers::drainWorker(const std::string &worker, Duration remaining, Instant now)
{
    m_private->advance(now);
    m_private->m_workers.at(worker).m_state.m_leavesAt = m_private->m_now + remaining;
}

bool SimulatedWorkers::isUp(const std::string &worker) const
{
    const auto found = m_private->m_workers.find(worker);
    return found != m_private->m_workers.end() && found->second.m_up;
}

void SimulatedWorkers::setRunResult(const TaskReference &task, Duration runTime, RunEndKind kind)
{
    m_private->m_results.insert_or_assign(task, RunResult{.m_runTime = runTime, .m_kind = kind});
}

WorkerReportPointer SimulatedWorkers::entry(const std::string &worker) const
{
    const auto &described = m_private->m_workers.at(worker);
    const auto &settings = described.m_settings;
    const auto now = m_private->m_now;
    return std::make_shared<const WorkerReport>(WorkerReport{
        .m_incarnation = WorkerIncarnation{.m_worker = settings.m_identifier, .m_startedAtMs = described.m_state.m_startedAtMs},
        .m_machine = settings.m_machine,
        .m_address = described.m_address,
        .m_pool = settings.m_pool,
        .m_zone = settings.m_zone,
        .m_rack = settings.m_rack,
        .m_labels = {},
        .m_capacity = settings.m_capacity,
        .m_draining = described.m_state.m_leavesAt.has_value(),
        .m_leavesIn = described.m_state.m_leavesAt ? std::optional(std::max(Duration(0), *described.m_state.m_leavesAt - now)) : std::nullopt,
        .m_softwareVersion = {},
        .m_reportedAtClockMs = clockOf(described, now),
    });
}

OrderReply
SimulatedWorkers::startOrder(const OrderTarget &target, const StartOrder &order, const std::string &sender, const OrderDelivery &delivery, Instant now)
{
    m_private->advance(now);
    auto *worker = m_private->receiver(target);
    if (!worker || worker->m_settings.m_identifier != target.m_worker) {
        return OrderReply{.m_answer = worker ? OrderAnswer::WrongWorker : OrderAnswer::NotSent, .m_workerClockMs = std::nullopt};
    }
    const auto clockMs = clockOf(*worker, m_private->m_now);
    const auto reply = [clockMs](OrderAnswer answer) { return OrderReply{.m_answer = answer, .m_workerClockMs = clockMs}; };
    if (target.m_fence < worker->m_state.m_highestFence) {
        return reply(OrderAnswer::Fenced);
    }
    worker->m_state.m_highestFence = target.m_fence;
    const auto *step = m_private->findStep(order.m_task);
    if (!step) {
        return reply(OrderAnswer::Malformed);
    }
    m_private->takeLease(*worker, order.m_leaseEndMs);
    const RunKey key{.m_task = order.m_task, .m_runNumber = order.m_runNumber};
    if (worker->m_state.m_running.contains(key)) {
        return reply(OrderAnswer::Accepted);
    }
    const auto over = worker->m_state.m_highestOverRun.find(order.m_task);
    if (over != worker->m_state.m_highestOverRun.end() && order.m_runNumber <= over->second) {
        return reply(OrderAnswer::Outdated);
    }
    if (order.m_leaseEndMs <= clockMs) {
        return reply(OrderAnswer::LeaseEndPassed);
    }
    if (!fits(*worker, *step)) {
        return reply(OrderAnswer::InsufficientCapacity);
    }
    const auto index = m_private->m_history.size();
    auto startDelivery = delivery;
    startDelivery.m_beforeFirstAnswer = !worker->m_state.m_hasAnswered;
    m_private->m_history.push_back(SimulatedRun{.m_task = order.m_task,
                                                .m_runNumber = order.m_runNumber,
                                                .m_worker = worker->m_settings.m_identifier,
                                                .m_incarnation = worker->m_state.m_startedAtMs,
                                                .m_fence = target.m_fence,
                                                .m_sender = sender,
                                                .m_startedAt = m_private->m_now,
                                                .m_delivery = startDelivery,
                                                .m_endedAt = std::nullopt,
                                                .m_endKind = std::nullopt,
                                                .m_acknowledgedAt = std::nullopt});
    worker->m_state.m_running.emplace(key, index);
    changeUse(*worker, *step, 1);
    auto &run = m_private->m_activeRuns
                    .emplace(index,
                             ActiveRun{.m_worker = worker,
                                       .m_step = step,
                                       .m_result = m_private->resultOf(order.m_task, *step),
                                       .m_gang = std::nullopt,
                                       .m_workStartedAt = std::nullopt,
                                       .m_stopsAt = std::nullopt,
                                       .m_timer = std::nullopt})
                    .first->second;
    if (step->m_gang) {
        run.m_gang
            = GangKey{.m_job = order.m_task.m_job, .m_occurrence = order.m_task.m_occurrence, .m_step = order.m_task.m_step, .m_runNumber = order.m_runNumber};
        m_private->joinGang(index, m_private->m_gangs[*run.m_gang]);
    } else {
        run.m_workStartedAt = m_private->m_now;
        m_private->setRunTimer(index, run);
    }
    return reply(OrderAnswer::Accepted);
}

OrderReply SimulatedWorkers::stopOrder(const OrderTarget &target, const TaskReference &task, std::int64_t runNumber, Instant now)
{
    m_private->advance(now);
    auto *worker = m_private->receiver(target);
    if (!worker || worker->m_settings.m_identifier != target.m_worker) {
        return OrderReply{.m_answer = worker ? OrderAnswer::WrongWorker : OrderAnswer::NotSent, .m_workerClockMs = std::nullopt};
    }
    const auto clockMs = clockOf(*worker, m_private->m_now);
    if (target.m_fence < worker->m_state.m_highestFence) {
        return OrderReply{.m_answer = OrderAnswer::Fenced, .m_workerClockMs = clockMs};
    }
    worker->m_state.m_highestFence = target.m_fence;
    auto &highestOver = worker->m_state.m_highestOverRun[task];
    highestOver = std::max(highestOver, runNumber);
    const auto running = worker->m_state.m_running.find(RunKey{.m_task = task, .m_runNumber = runNumber});
    if (running != worker->m_state.m_running.end()) {
        auto &run = m_private->m_activeRuns.at(running->second);
        if (!run.m_stopsAt) {
            run.m_stopsAt = m_private->m_now + worker->m_settings.m_stopTime;
            m_private->setRunTimer(running->second, run);
        }
    }
    return OrderReply{.m_answer = OrderAnswer::Accepted, .m_workerClockMs = clockMs};
}

RunReportReply SimulatedWorkers::report(const OrderTarget &target, const RunReportRequest &request, const OrderDelivery &delivery, Instant now)
{
    m_private->advance(now);
    auto *worker = m_private->receiver(target);
    if (!worker || worker->m_settings.m_identifier != target.m_worker) {
        return RunReportReply{.m_answer = worker ? OrderAnswer::WrongWorker : OrderAnswer::NotSent, .m_runReport = std::nullopt};
    }
    if (target.m_fence < worker->m_state.m_highestFence) {
        return RunReportReply{.m_answer = OrderAnswer::Fenced, .m_runReport = std::nullopt};
    }
    worker->m_state.m_highestFence = target.m_fence;
    worker->m_state.m_hasAnswered = worker->m_state.m_hasAnswered || !delivery.m_late;
    if (request.m_leaseEndMs) {
        m_private->takeLease(*worker, *request.m_leaseEndMs);
    }
    while (!worker->m_state.m_ends.empty() && worker->m_state.m_ends.front().m_end.m_number <= request.m_lastAcknowledgedEnd) {
        const auto &end = worker->m_state.m_ends.front();
        if (end.m_leasePeriod == worker->m_state.m_leasePeriod) {
            m_private->m_history[end.m_run].m_acknowledgedAt = m_private->m_now;
        }
        worker->m_state.m_ends.pop_front();
    }
    return RunReportReply{.m_answer = OrderAnswer::Accepted, .m_runReport = m_private->reportOf(*worker)};
}

RunReportReply SimulatedWorkers::currentReport(const std::string &worker, Instant now)
{
    m_private->advance(now);
    const auto found = m_private->m_workers.find(worker);
    if (found == m_private->m_workers.end() || !found->second.m_up) {
        return RunReportReply{.m_answer = OrderAnswer::NotSent, .m_runReport = std::nullopt};
    }
    return RunReportReply{.m_answer = OrderAnswer::Accepted, .m_runReport = m_private->reportOf(found->second)};
}

std::int64_t SimulatedWorkers::endCount(const std::string &worker) const
{
    return m_private->m_workers.at(worker).m_state.m_endCount;
}

std::optional<Instant> SimulatedWorkers::nextChange() const
{
    const auto &leases = m_private->m_leaseTimers;
    const auto &runs = m_private->m_runTimers;
    if (leases.empty() || runs.empty()) {
        return leases.empty() ? (runs.empty() ? std::nullopt : std::optional(runs.begin()->first)) : std::optional(leases.begin()->first);
    }
    return std::min(leases.begin()->first, runs.begin()->first);
}

void SimulatedWorkers::advance(Instant now)
{
    m_private->advance(now);
}

const std::vector<SimulatedRun> &SimulatedWorkers::history() const
{
    return m_private->m_history;
}

} // namespace PrimroseBridge
