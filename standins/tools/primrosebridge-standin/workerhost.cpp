#include "workerhost.h"

#include <algorithm>
#include <chrono>

namespace PrimroseBridge::Standin {

using Json = nlohmann::json;

template<class T>
static std::optional<T> optionalField(const Json &message, const char *name)
{
    return message.contains(name) ? std::optional<T>(message[name].get<T>()) : std::nullopt;
}

static bool selects(const Json &message, const WorkerSpec &spec)
{
    return message.value("worker", spec.m_id) == spec.m_id && message.value("zone", spec.m_zone) == spec.m_zone
           && message.value("rack", spec.m_rack) == spec.m_rack;
}

Instant steadyNow()
{
    using Clock = std::chrono::steady_clock;
    static const auto systemStart = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    static const auto steadyStart = Clock::now();
    return systemStart + std::chrono::duration_cast<Duration>(Clock::now() - steadyStart);
}

FaultChange faultChangeFromJson(const Json &message)
{
    return {optionalField<bool>(message, "failTasks"),
            optionalField<bool>(message, "frozen"),
            optionalField<bool>(message, "leaving"),
            optionalField<int>(message, "speedPercent"),
            optionalField<int>(message, "answerDelayMs"),
            optionalField<AcceleratorSet>(message, "usable"),
            optionalField<int>(message, "loseAnswers"),
            optionalField<int>(message, "losePollAnswers"),
            optionalField<int>(message, "truncateResults"),
            optionalField<int>(message, "crossResults"),
            message.value("restart", false)};
}

WorkerHost::WorkerHost(const std::vector<WorkerSpec> &specs)
{
    for (const auto &spec : specs) {
        m_workers.emplace(spec.m_id, std::make_unique<Worker>(spec, m_books, m_checkpoints, steadyNow()));
    }
    m_thread = std::thread([this] { run(); });
}

WorkerHost::~WorkerHost()
{
    stop();
}

Worker *WorkerHost::find(const std::string &id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

int WorkerHost::change(const Json &message)
{
    const FaultChange change = faultChangeFromJson(message);
    int changed = 0;
    for (const auto &[id, worker] : m_workers) {
        if (selects(message, worker->spec())) {
            worker->change(change, steadyNow());
            ++changed;
        }
    }
    wake();
    return changed;
}

Json WorkerHost::books() const
{
    return m_books.toJson(steadyNow());
}

void WorkerHost::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_woken = true;
    }
    m_changed.notify_one();
}

void WorkerHost::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
    for (const auto &[id, worker] : m_workers) {
        worker->close();
    }
}

std::optional<Instant> WorkerHost::advanceAll()
{
    std::optional<Instant> next;
    for (const auto &[id, worker] : m_workers) {
        const auto due = worker->advance(steadyNow());
        if (due) {
            next = next ? std::min(*next, *due) : due;
        }
    }
    return next;
}

void WorkerHost::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_woken = false;
        lock.unlock();
        const auto next = advanceAll();
        lock.lock();
        const auto ready = [this] { return m_woken || m_stopping; };
        if (!next) {
            m_changed.wait(lock, ready);
            continue;
        }
        // One millisecond more, because times are cut to milliseconds and an early wake-up would run the loop twice.
        m_changed.wait_for(lock, std::max(Duration(1), *next - steadyNow() + Duration(1)), ready);
    }
}

} // namespace PrimroseBridge::Standin
