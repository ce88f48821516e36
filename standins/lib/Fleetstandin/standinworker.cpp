#include "primrosebridge/Fleetstandin/standinworker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <limits>
#include <map>
#include <mutex>
#include <thread>

namespace PrimroseBridge {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

static constexpr auto lateBy = std::chrono::milliseconds(700);
static constexpr std::int64_t accelerators = 8;

namespace {

struct Run {
    std::int64_t m_number = 0;
    Clock::time_point m_endsAt;
    bool m_fails = false;
    std::size_t m_entry = 0; // Index in the history.
};

// A run in the history; how is empty while it runs.
struct HistoryEntry {
    std::string m_task;
    std::int64_t m_run = 0;
    std::int64_t m_incarnation = 0;
    Clock::time_point m_startedAt;
    Clock::time_point m_endedAt;
    std::string m_endKind;
    bool m_acknowledged = false;
};

struct End {
    std::int64_t m_number = 0;
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_endKind;
    std::size_t m_entry = 0; // Index in the history.
    bool m_lapsed = false; // The lease has lapsed since, so that callers may have run the task again.
};

} // namespace

struct StandinWorker::Private {
    std::string m_identifier;
    std::string m_rack;
    std::chrono::milliseconds m_runTime{0};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::int64_t m_fence = 0;
    std::map<std::string, Run> m_running;
    std::map<std::string, std::int64_t> m_highest; // Highest run that was stopped or ended here, by task.
    std::vector<End> m_ends;
    std::vector<HistoryEntry> m_history;
    std::optional<std::chrono::milliseconds> m_longestLease;
    std::int64_t m_born = 1;
    std::int64_t m_nextEnd = 1;
    std::int64_t m_leaseEnd = 0;
    std::string m_failing;
    bool m_stopping = false;
    std::function<WorkerFault(WorkerCall)> m_faults;
    std::vector<std::thread> m_late;
    Clock::time_point m_startedAt = Clock::now();
    std::unique_ptr<LoopbackHttpServer> m_httpServer;

    StandinAnswer answer(const StandinCall &call);
    StandinAnswer perform(const StandinCall &call);
    StandinAnswer start(const Json &body);
    StandinAnswer stop(const Json &body);
    StandinAnswer hold();
    StandinAnswer reply(int status, Json body) const;
    void advance();
    void end(const std::string &task, const Run &run, const std::string &how, Clock::time_point at);
    [[nodiscard]] std::int64_t clockMs() const;
};

std::int64_t StandinWorker::Private::clockMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count();
}

StandinAnswer StandinWorker::Private::reply(int status, Json body) const
{
    body["clockMs"] = clockMs();
    body["born"] = m_born;
    return StandinAnswer{.m_status = status, .m_body = body.dump()};
}

void StandinWorker::Private::end(const std::string &task, const Run &run, const std::string &how, Clock::time_point at)
{
    m_highest[task] = std::max(m_highest[task], run.m_number);
    m_ends.push_back(End{.m_number = m_nextEnd++, .m_task = task, .m_run = run.m_number, .m_endKind = how, .m_entry = run.m_entry});
    m_history[run.m_entry].m_endedAt = at;
    m_history[run.m_entry].m_endKind = how;
    m_changed.notify_all();
}

void StandinWorker::Private::advance()
{
    for (auto run = m_running.begin(); run != m_running.end();) {
        // Time passes between calls, so an end is noticed later than it happened.
        const auto leaseEndsAt = m_startedAt + std::chrono::milliseconds(m_leaseEnd);
        const bool lapses = m_longestLease && leaseEndsAt < run->second.m_endsAt;
        const auto endsAt = lapses ? leaseEndsAt : run->second.m_endsAt;
        if (endsAt > Clock::now()) {
            ++run;
            continue;
        }
        end(run->first, run->second, lapses ? "lapsed" : (run->second.m_fails ? "failed" : "done"), endsAt);
        run = m_running.erase(run);
    }
    if (m_longestLease && clockMs() > m_leaseEnd) {
        for (auto &entry : m_ends) {
            entry.m_lapsed = true;
        }
    }
}

StandinAnswer StandinWorker::Private::start(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::int64_t>();
    const auto present = m_running.find(task);
    if (present != m_running.end() && present->second.m_number == number) {
        return reply(200, Json::object());
    }
    if (present != m_running.end() || number <= m_highest[task]) {
        return reply(409, Json{{"reason", "old"}});
    }
    if (m_longestLease && body.value("deadlineMs", std::int64_t(0)) <= clockMs()) {
        return reply(409, Json{{"reason", "late"}});
    }
    const bool fails = !m_failing.empty() && task.starts_with(m_failing);
    m_running[task] = Run{.m_number = number, .m_endsAt = Clock::now() + m_runTime, .m_fails = fails, .m_entry = m_history.size()};
    m_history.push_back(
        HistoryEntry{.m_task = task, .m_run = number, .m_incarnation = m_born, .m_startedAt = Clock::now(), .m_endedAt = {}, .m_endKind = {}, .m_acknowledged = false});
    return reply(200, Json::object());
}

StandinAnswer StandinWorker::Private::stop(const Json &body)
{
    const auto task = body.at("task").get<std::string>();
    const auto number = body.at("runId").get<std::int64_t>();
    const auto present = m_running.find(task);
    m_highest[task] = std::max(m_highest[task], number);
    if (present != m_running.end() && present->second.m_number <= number) {
        end(task, present->second, "stopped", Clock::now());
        m_running.erase(present);
    }
    return reply(200, Json::object());
}

StandinAnswer StandinWorker::Private::hold()
{
    Json runningTasks = Json::array();
    for (const auto &[task, run] : m_running) {
        runningTasks.push_back(Json::array({task, run.m_number, "", 50, 0.0}));
    }
    Json ended = Json::array();
    for (const auto &entry : m_ends) {
        ended.push_back(Json::array({entry.m_number, entry.m_task, entry.m_run, entry.m_endKind, ""}));
    }
    return reply(200, Json{{"running", runningTasks}, {"ended", ended}});
}

StandinAnswer StandinWorker::Private::perform(const StandinCall &call)
{
    const auto body = Json::parse(call.m_body);
    const auto until = Clock::now() + std::chrono::milliseconds(call.m_path == "/hold" ? body.value("waitMs", 0) : 0);
    std::unique_lock lock(m_mutex);
    const auto fence = body.value("fence", std::int64_t(0));
    if (fence < m_fence) {
        return reply(409, Json{{"reason", "fence"}});
    }
    m_fence = fence;
    const auto limit = m_longestLease ? clockMs() + m_longestLease->count() : std::numeric_limits<std::int64_t>::max();
    // What has lapsed by now is not saved by a lease that arrives late.
    advance();
    m_leaseEnd = std::max(m_leaseEnd, std::min(limit, body.value("deadlineMs", std::int64_t(0))));
    if (call.m_path == "/run-start") {
        return start(body);
    }
    if (call.m_path == "/run-stop") {
        return stop(body);
    }
    const auto seen = body.value("lastSeen", std::int64_t(0));
    std::erase_if(m_ends, [&](const End &entry) {
        const bool taken = entry.m_number <= seen;
        m_history[entry.m_entry].m_acknowledged = m_history[entry.m_entry].m_acknowledged || (taken && !entry.m_lapsed);
        return taken;
    });
    const auto hasNews = [&] { return std::any_of(m_ends.begin(), m_ends.end(), [&](const End &entry) { return entry.m_number > seen; }); };
    while (!hasNews() && Clock::now() < until && !m_stopping) {
        m_changed.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds(10)));
        advance();
    }
    return hold();
}

static WorkerCall kindOf(const StandinCall &call)
{
    if (call.m_path == "/run-start") {
        return WorkerCall::Start;
    }
    return call.m_path == "/run-stop" ? WorkerCall::Stop : WorkerCall::Report;
}

StandinAnswer StandinWorker::Private::answer(const StandinCall &call)
{
    auto fault = WorkerFault::None;
    {
        const std::lock_guard lock(m_mutex);
        fault = m_faults ? m_faults(kindOf(call)) : WorkerFault::None;
    }
    switch (fault) {
    case WorkerFault::None:
        return perform(call);
    case WorkerFault::AnswerLost:
        perform(call);
        return StandinAnswer{.m_status = 0, .m_body = {}};
    case WorkerFault::ExecutedLate: {
        const std::lock_guard lock(m_mutex);
        m_late.emplace_back([this, call, life = m_born] {
            std::this_thread::sleep_for(lateBy);
            if (const std::lock_guard check(m_mutex); m_born != life) {
                return; // The call went to a process that is gone.
            }
            perform(call);
        });
        return StandinAnswer{.m_status = 0, .m_body = {}};
    }
    case WorkerFault::Unreachable:
        return StandinAnswer{.m_status = 0, .m_body = {}};
    }
    return perform(call);
}

StandinWorker::StandinWorker(std::string identifier, std::string rack, std::chrono::milliseconds runTime, std::optional<std::chrono::milliseconds> longestLease)
    : m_private(std::make_unique<Private>())
{
    m_private->m_identifier = std::move(identifier);
    m_private->m_rack = std::move(rack);
    m_private->m_runTime = runTime;
    m_private->m_longestLease = longestLease;
    m_private->m_httpServer = std::make_unique<LoopbackHttpServer>([this](const StandinCall &call) { return m_private->answer(call); });
}

StandinWorker::~StandinWorker()
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_stopping = true;
    }
    m_private->m_changed.notify_all();
    m_private->m_httpServer.reset();
    for (auto &thread : m_private->m_late) {
        thread.join();
    }
}

const std::string &StandinWorker::identifier() const
{
    return m_private->m_identifier;
}

std::string StandinWorker::entry(const std::string &state) const
{
    const auto born = [this] {
        const std::lock_guard lock(m_private->m_mutex);
        return m_private->m_born;
    }();
    return Json{
        {"service", "pool"},
        {"addr", m_private->m_httpServer->address()},
        {"zone", "zone-a"},
        {"state", state},
        {"machine", "m-" + m_private->m_identifier},
        {"capacity", Json{{"cpu", 32000}, {"memMb", 131072}, {"gpu", accelerators}}},
        {"labels", Json::array({"a", m_private->m_rack})},
        {"born", born},
        {"seq", 1},
    }
        .dump();
}

void StandinWorker::restart()
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->advance();
    for (const auto &[task, run] : m_private->m_running) {
        m_private->m_history[run.m_entry].m_endedAt = Clock::now();
        m_private->m_history[run.m_entry].m_endKind = "lost";
    }
    m_private->m_running.clear();
    m_private->m_highest.clear();
    m_private->m_ends.clear();
    m_private->m_nextEnd = 1;
    m_private->m_fence = 0;
    m_private->m_leaseEnd = 0;
    m_private->m_startedAt = Clock::now();
    ++m_private->m_born;
    m_private->m_changed.notify_all();
}

void StandinWorker::setFaults(std::function<WorkerFault(WorkerCall)> faults)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_faults = std::move(faults);
}

void StandinWorker::failTasks(const std::string &prefix)
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->m_failing = prefix;
}

std::vector<StandinRun> StandinWorker::runHistory() const
{
    const std::lock_guard lock(m_private->m_mutex);
    m_private->advance();
    std::vector<StandinRun> all;
    for (const auto &entry : m_private->m_history) {
        all.push_back(StandinRun{.m_task = entry.m_task,
                                 .m_run = entry.m_run,
                                 .m_startedAt = entry.m_startedAt,
                                 .m_incarnation = entry.m_incarnation,
                                 .m_endedAt = entry.m_endedAt,
                                 .m_endKind = entry.m_endKind,
                                 .m_acknowledged = entry.m_acknowledged});
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

std::int64_t StandinWorker::clockMs() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->clockMs();
}

std::int64_t StandinWorker::leaseEndMs() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_leaseEnd;
}

std::size_t StandinWorker::unacknowledgedEndCount() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_ends.size();
}

} // namespace PrimroseBridge
