#include "primrosebridge/Fleetstandin/standinworker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <limits>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>

namespace PrimroseBridge {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

static constexpr auto lateExecutionDelay = std::chrono::milliseconds(700);
static constexpr auto shortestSecondsLateDelay = std::chrono::milliseconds(1000);
// Twice the task lease of the soak: late calls arrive before and after the end of the leases that an owner counts.
static constexpr auto longestSecondsLateDelay = std::chrono::milliseconds(6000);
static constexpr auto longestAnswerDelay = std::chrono::milliseconds(700);
static constexpr std::int64_t acceleratorsPerWorker = 8;

namespace {

struct Run {
    std::int64_t m_number = 0;
    Clock::time_point m_endsAt;
    bool m_fails = false;
    std::chrono::milliseconds m_ownRunTime{0}; // 0 if the payload names no run time.
    std::size_t m_historyIndex = 0;
};

// A run in the history. m_endKind is empty during the run.
struct HistoryEntry {
    std::string m_task;
    std::int64_t m_run = 0;
    std::int64_t m_incarnation = 0;
    Clock::time_point m_startedAt;
    Clock::time_point m_endedAt;
    std::string m_endKind;
    bool m_acknowledged = false;
    bool m_startedByFormerCall = false;
    bool m_polledBefore = false;
};

// A call that was left unanswered, and the incarnation that it reached.
struct LateCall {
    StandinCall m_call;
    std::int64_t m_receivedBy = 0;
};

struct ListedEnd {
    std::int64_t m_number = 0;
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_endKind;
    std::size_t m_historyIndex = 0;
    bool m_leaseExpired = false; // The lease expired after the end of the run, so a caller may have started the task again elsewhere.
};

} // namespace

struct StandinWorker::Private {
    std::string m_identifier;
    std::string m_rack;
    std::string m_machine;
    std::chrono::milliseconds m_runTime{0};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    std::map<std::string, Run> m_running;
    std::map<std::string, std::int64_t> m_highestEndedRunByTask; // A start with this run number or a lower one is refused.
    std::vector<ListedEnd> m_unacknowledgedEnds;
    std::vector<HistoryEntry> m_history;
    std::optional<std::chrono::milliseconds> m_maxLease;
    std::int64_t m_currentIncarnation = 1;
    std::int64_t m_nextEndNumber = 1;
    std::int64_t m_leaseEndMs = 0;
    std::string m_failingPrefix;
    bool m_stopping = false;
    bool m_stalled = false;
    bool m_exited = false;
    bool m_polled = false; // The present incarnation has executed a run report request that was not late.
    std::minstd_rand m_delays;
    std::function<WorkerFault(WorkerCall)> m_faults;
    std::vector<std::thread> m_lateCalls;
    std::vector<LateCall> m_heldCalls;
    Clock::time_point m_startedAt = Clock::now();
    std::unique_ptr<LoopbackHttpServer> m_httpServer;

    StandinAnswer answerCall(const StandinCall &call);
    StandinAnswer answerWithFaults(const StandinCall &call);
    StandinAnswer answerDelayed(const StandinCall &call);
    void executeAfter(std::chrono::milliseconds delay, const StandinCall &call);
    void executeAt(Clock::time_point dueAt, const LateCall &late);
    [[nodiscard]] bool waitWhileStalled(std::int64_t incarnation);
    [[nodiscard]] std::chrono::milliseconds drawDelay(std::chrono::milliseconds shortest, std::chrono::milliseconds longest);
    void loseRuns();
    StandinAnswer executeCall(const StandinCall &call, std::optional<std::int64_t> receivedBy = std::nullopt);
    StandinAnswer startRun(const Json &body, bool formerCall);
    StandinAnswer stopRun(const Json &body);
    StandinAnswer reportRuns();
    StandinAnswer reply(int status, Json body) const;
    void endDueRuns();
    void endRun(const std::string &task, const Run &run, const std::string &endKind, Clock::time_point endedAt);
    [[nodiscard]] std::int64_t workerClockMs() const;
};

std::int64_t StandinWorker::Private::workerClockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
}

StandinAnswer StandinWorker::Private::reply(int status, Json body) const
{
    body["clockMs"] = workerClockMs();
    body["born"] = m_currentIncarnation;
    return StandinAnswer{.m_status = status, .m_body = body.dump()};
}

void StandinWorker::Private::endRun(const std::string &task, const Run &run, const std::string &endKind, Clock::time_point endedAt)
{
    m_highestEndedRunByTask[task] = std::max(m_highestEndedRunByTask[task], run.m_number);
    m_unacknowledgedEnds.push_back(
        ListedEnd{.m_number = m_nextEndNumber++, .m_task = task, .m_run = run.m_number, .m_endKind = endKind, .m_historyIndex = run.m_historyIndex});
    m_history[run.m_historyIndex].m_endedAt = endedAt;
    m_history[run.m_historyIndex].m_endKind = endKind;
    m_changed.notify_all();
}

void StandinWorker::Private::endDueRuns()
{
    for (auto run = m_running.begin(); run != m_running.end();) {
        // An end is detected only during a call, so the recorded time is computed rather than taken from the clock.
        const auto leaseEndsAt = m_startedAt + std::chrono::milliseconds(m_leaseEndMs);
        const bool leaseExpires = m_maxLease && leaseEndsAt < run->second.m_endsAt;
        const auto endsAt = leaseExpires ? leaseEndsAt : run->second.m_endsAt;
        if (endsAt > Clock::now()) {
            ++run;
            continue;
        }
        endRun(run->first, run->second, leaseExpires ? "lapsed" : (run->second.m_fails ? "failed" : "done"), endsAt);
        run = m_running.erase(run);
    }
    if (m_maxLease && workerClockMs() > m_leaseEndMs) {
        for (auto &entry : m_unacknowledgedEnds) {
            entry.m_leaseExpired = true;
        }
    }
}

// Returns the number of milliseconds N if the payload ends with "runMs=N".
static std::optional<std::chrono::milliseconds> runTimeInPayload(const std::string &payload)
{
    static const std::string name = "runMs=";
    const auto at = payload.rfind(name);
    return at == std::string::npos ? std::nullopt : std::optional(std::chrono::milliseconds(std::stoll(payload.substr(at + name.size()))));
}

StandinAnswer StandinWorker::Private::startRun(const Json &body, bool formerCall)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::int64_t>();
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.m_number == number) {
        return reply(200, Json::object());
    }
    if (present != m_running.end() || number <= m_highestEndedRunByTask[task]) {
        return reply(409, Json{{"reason", "old"}});
    }
    if (m_maxLease && body.value("deadlineMs", std::int64_t(0)) <= workerClockMs()) {
        return reply(409, Json{{"reason", "late"}});
    }
    const bool fails = !m_failingPrefix.empty() && task.starts_with(m_failingPrefix);
    const auto ownRunTime = runTimeInPayload(body.value("spec", std::string()));
    m_running[task] = Run{.m_number = number,
                          .m_endsAt = Clock::now() + ownRunTime.value_or(m_runTime),
                          .m_fails = fails,
                          .m_ownRunTime = ownRunTime.value_or(std::chrono::milliseconds(0)),
                          .m_historyIndex = m_history.size()};
    m_history.push_back(HistoryEntry{.m_task = task,
                                     .m_run = number,
                                     .m_incarnation = m_currentIncarnation,
                                     .m_startedAt = Clock::now(),
                                     .m_endedAt = {},
                                     .m_endKind = {},
                                     .m_acknowledged = false,
                                     .m_startedByFormerCall = formerCall,
                                     .m_polledBefore = m_polled});
    return reply(200, Json::object());
}

StandinAnswer StandinWorker::Private::stopRun(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::int64_t>();
    const auto present = m_running.find(task);
    m_highestEndedRunByTask[task] = std::max(m_highestEndedRunByTask[task], number);
    if (present != m_running.end() && present->second.m_number <= number) {
        endRun(task, present->second, "stopped", Clock::now());
        m_running.erase(present);
    }
    return reply(200, Json::object());
}

StandinAnswer StandinWorker::Private::reportRuns()
{
    Json runningTasks = Json::array();
    for (const auto &[task, run] : m_running) {
        // An owner stops a run as stalled if its progress stays the same for a few seconds.
        const auto left = std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(run.m_endsAt - Clock::now()));
        const auto percent = run.m_ownRunTime.count() > 0 ? 100 - 100 * left.count() / run.m_ownRunTime.count() : 50;
        runningTasks.push_back(Json::array({task, run.m_number, "", percent, 0.0}));
    }
    Json ended = Json::array();
    for (const auto &entry : m_unacknowledgedEnds) {
        ended.push_back(Json::array({entry.m_number, entry.m_task, entry.m_run, entry.m_endKind, ""}));
    }
    return reply(200, Json{{"running", runningTasks}, {"ended", ended}});
}

static StandinAnswer closedConnection()
{
    return StandinAnswer{.m_status = 0, .m_body = {}};
}

// @p receivedBy is set for a late call only: the incarnation that the call reached. Nobody reads the answer to such a call.
StandinAnswer StandinWorker::Private::executeCall(const StandinCall &call, std::optional<std::int64_t> receivedBy)
{
    const auto body = Json::parse(call.m_body);
    const auto deadline = Clock::now() + std::chrono::milliseconds(call.m_path == "/hold" && !receivedBy ? body.value("waitMs", 0) : 0);
    std::unique_lock lock(m_mutex);
    if (m_exited || m_stopping) {
        return closedConnection();
    }
    if (const auto wanted = call.m_headers.find("expect-instance"); wanted != call.m_headers.end() && wanted->second != m_identifier) {
        return StandinAnswer{.m_status = 421, .m_body = "{}"}; // Another worker may have had this address before.
    }
    const auto fence = body.value("fence", std::int64_t(0));
    if (fence < m_fence) {
        return reply(409, Json{{"reason", "fence"}});
    }
    m_fence = fence;
    const auto latestLeaseEndMs = m_maxLease ? workerClockMs() + m_maxLease->count() : std::numeric_limits<std::int64_t>::max();
    // Runs whose lease has already expired must end before the new lease is applied.
    endDueRuns();
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(latestLeaseEndMs, body.value("deadlineMs", std::int64_t(0))));
    if (call.m_path == "/run-start") {
        return startRun(body, receivedBy && *receivedBy != m_currentIncarnation);
    }
    if (call.m_path == "/run-stop") {
        return stopRun(body);
    }
    m_polled = m_polled || !receivedBy;
    const auto lastSeenEnd = body.value("lastSeen", std::int64_t(0));
    std::erase_if(m_unacknowledgedEnds, [&](const ListedEnd &entry) {
        const bool acknowledged = entry.m_number <= lastSeenEnd;
        m_history[entry.m_historyIndex].m_acknowledged = m_history[entry.m_historyIndex].m_acknowledged || (acknowledged && !entry.m_leaseExpired);
        return acknowledged;
    });
    const auto hasNewEnds = [&] {
        return std::any_of(m_unacknowledgedEnds.begin(), m_unacknowledgedEnds.end(), [&](const ListedEnd &entry) { return entry.m_number > lastSeenEnd; });
    };
    while (!hasNewEnds() && Clock::now() < deadline && !m_stopping) {
        m_changed.wait_until(lock, std::min(deadline, Clock::now() + std::chrono::milliseconds(10)));
        endDueRuns();
    }
    return reportRuns();
}

static WorkerCall workerCallOf(const StandinCall &call)
{
    if (call.m_path == "/run-start") {
        return WorkerCall::Start;
    }
    return call.m_path == "/run-stop" ? WorkerCall::Stop : WorkerCall::Report;
}

std::chrono::milliseconds StandinWorker::Private::drawDelay(std::chrono::milliseconds shortest, std::chrono::milliseconds longest)
{
    const std::lock_guard lock(m_mutex);
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(shortest.count(), longest.count())(m_delays));
}

void StandinWorker::Private::executeAfter(std::chrono::milliseconds delay, const StandinCall &call)
{
    const std::lock_guard lock(m_mutex);
    m_lateCalls.emplace_back(
        [this, dueAt = Clock::now() + delay, late = LateCall{.m_call = call, .m_receivedBy = m_currentIncarnation}] { executeAt(dueAt, late); });
}

// The call is executed by the process that runs at @p dueAt, also if the worker has restarted since it received the call.
void StandinWorker::Private::executeAt(Clock::time_point dueAt, const LateCall &late)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, dueAt, [this] { return m_stopping; });
    const auto incarnation = m_currentIncarnation;
    lock.unlock();
    if (waitWhileStalled(incarnation)) {
        executeCall(late.m_call, late.m_receivedBy);
    }
}

StandinAnswer StandinWorker::Private::answerDelayed(const StandinCall &call)
{
    auto answer = executeCall(call);
    std::this_thread::sleep_for(drawDelay(std::chrono::milliseconds(0), longestAnswerDelay));
    return answer;
}

// Returns false if the process with @p incarnation has ended, so that it neither executes nor answers a call.
bool StandinWorker::Private::waitWhileStalled(std::int64_t incarnation)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return !m_stalled || m_exited || m_stopping || m_currentIncarnation != incarnation; });
    return !m_exited && m_currentIncarnation == incarnation;
}

StandinAnswer StandinWorker::Private::answerCall(const StandinCall &call)
{
    const auto incarnation = [this] {
        const std::lock_guard lock(m_mutex);
        return m_currentIncarnation;
    }();
    if (!waitWhileStalled(incarnation)) {
        return closedConnection();
    }
    auto answer = answerWithFaults(call);
    return waitWhileStalled(incarnation) ? answer : closedConnection();
}

StandinAnswer StandinWorker::Private::answerWithFaults(const StandinCall &call)
{
    auto fault = WorkerFault::None;
    {
        const std::lock_guard lock(m_mutex);
        fault = m_faults ? m_faults(workerCallOf(call)) : WorkerFault::None;
    }
    switch (fault) {
    case WorkerFault::None:
        return executeCall(call);
    case WorkerFault::AnswerLost:
        executeCall(call);
        return closedConnection();
    case WorkerFault::ExecutedLate:
        executeAfter(lateExecutionDelay, call);
        return closedConnection();
    case WorkerFault::ExecutedSecondsLate:
        executeAfter(drawDelay(shortestSecondsLateDelay, longestSecondsLateDelay), call);
        return closedConnection();
    case WorkerFault::ExecutedOnRequest: {
        const std::lock_guard lock(m_mutex);
        m_heldCalls.push_back(LateCall{.m_call = call, .m_receivedBy = m_currentIncarnation});
        return closedConnection();
    }
    case WorkerFault::AnswerDelayed:
        return answerDelayed(call);
    case WorkerFault::Unreachable:
        return closedConnection();
    }
    return executeCall(call);
}

StandinWorker::StandinWorker(std::string identifier,
                             std::string rack,
                             std::chrono::milliseconds runTime,
                             std::optional<std::chrono::milliseconds> maxLease,
                             std::optional<StandinMachine> machine)
    : m_private(std::make_unique<Private>())
{
    m_private->m_identifier = std::move(identifier);
    m_private->m_rack = std::move(rack);
    m_private->m_machine = machine ? machine->m_name : "m-" + m_private->m_identifier;
    m_private->m_currentIncarnation = machine ? machine->m_startedAtMs : 1;
    m_private->m_runTime = runTime;
    m_private->m_maxLease = maxLease;
    m_private->m_httpServer = std::make_unique<LoopbackHttpServer>([this](const StandinCall &call) { return m_private->answerCall(call); });
}

StandinWorker::~StandinWorker()
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_stopping = true;
    }
    m_private->m_changed.notify_all();
    m_private->m_httpServer.reset();
    for (auto &thread : m_private->m_lateCalls) {
        thread.join();
    }
}

const std::string &StandinWorker::identifier() const
{
    return m_private->m_identifier;
}

std::string StandinWorker::entry(const std::string &state) const
{
    const auto incarnation = [this] {
        const std::lock_guard lock(m_private->m_mutex);
        return m_private->m_currentIncarnation;
    }();
    return Json{
        {"service", "pool"},
        {"addr", m_private->m_httpServer->address()},
        {"zone", "zone-a"},
        {"state", state},
        {"machine", m_private->m_machine},
        {"capacity", Json{{"cpu", 32000}, {"memMb", 131072}, {"gpu", acceleratorsPerWorker}}},
        {"labels", Json::array({"a", m_private->m_rack})},
        {"born", incarnation},
        {"clockMs", workerClockMs()},
        {"seq", 1},
    }
        .dump();
}

// The caller holds the lock.
void StandinWorker::Private::loseRuns()
{
    endDueRuns();
    for (const auto &[task, run] : m_running) {
        m_history[run.m_historyIndex].m_endedAt = Clock::now();
        m_history[run.m_historyIndex].m_endKind = "lost";
    }
    m_running.clear();
}

void StandinWorker::exit()
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->loseRuns();
    m_private->m_exited = true;
    m_private->m_changed.notify_all();
}

void StandinWorker::setStalled(bool stalled)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_stalled = stalled;
    m_private->m_changed.notify_all();
}

StandinMachine StandinWorker::machineOfSuccessor() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return StandinMachine{.m_name = m_private->m_machine, .m_startedAtMs = m_private->m_currentIncarnation + 1};
}

void StandinWorker::restart(bool closesConnections)
{
    if (closesConnections) {
        exit();
        m_private->m_httpServer->closeConnections();
    }
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_exited = false;
    m_private->m_highestEndedRunByTask.clear();
    m_private->m_unacknowledgedEnds.clear();
    m_private->m_nextEndNumber = 1;
    m_private->m_fence = 0;
    m_private->m_leaseEndMs = 0;
    m_private->m_polled = false;
    m_private->m_startedAt = Clock::now();
    ++m_private->m_currentIncarnation;
    m_private->m_changed.notify_all();
}

void StandinWorker::setFaults(std::function<WorkerFault(WorkerCall)> faults)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_faults = std::move(faults);
}

std::vector<StandinCall> StandinWorker::executeHeldCalls()
{
    const auto held = [this] {
        const std::lock_guard lock(m_private->m_mutex);
        return std::exchange(m_private->m_heldCalls, {});
    }();
    std::vector<StandinCall> calls;
    for (const auto &late : held) {
        m_private->executeCall(late.m_call, late.m_receivedBy);
        calls.push_back(late.m_call);
    }
    return calls;
}

std::size_t StandinWorker::heldCallCount() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_heldCalls.size();
}

void StandinWorker::advanceClock(std::chrono::milliseconds time)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_startedAt -= time;
}

void StandinWorker::failTasks(const std::string &prefix)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_failingPrefix = prefix;
}

std::vector<StandinRun> StandinWorker::runHistory() const
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->endDueRuns();
    std::vector<StandinRun> all;
    for (const auto &entry : m_private->m_history) {
        all.push_back(StandinRun{.m_task = entry.m_task,
                                 .m_run = entry.m_run,
                                 .m_startedAt = entry.m_startedAt,
                                 .m_incarnation = entry.m_incarnation,
                                 .m_endedAt = entry.m_endedAt,
                                 .m_endKind = entry.m_endKind,
                                 .m_acknowledged = entry.m_acknowledged,
                                 .m_startedByFormerCall = entry.m_startedByFormerCall,
                                 .m_polledBefore = entry.m_polledBefore});
    }
    return all;
}

std::vector<std::string> StandinWorker::runningTasks() const
{
    const std::lock_guard lock(m_private->m_mutex);
    std::vector<std::string> names;
    for (const auto &[task, run] : m_private->m_running) {
        names.push_back(task);
    }
    return names;
}

std::int64_t StandinWorker::workerClockMs() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->workerClockMs();
}

std::int64_t StandinWorker::leaseEndMs() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_leaseEndMs;
}

std::size_t StandinWorker::unacknowledgedEndCount() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_unacknowledgedEnds.size();
}

} // namespace PrimroseBridge
