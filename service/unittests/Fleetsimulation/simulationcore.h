#pragma once

#include "primrosebridge/Model/time.h"

#include <algorithm>
#include <coroutine>
#include <cstdint>
#include <exception>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge {

// The language fixes the names of the members of coroutine types. NOLINTBEGIN(readability-identifier-naming)

/// Random values that are the same on every platform: the standard fixes the engine's output, but not that of its distributions.
class SimulationRandom
{
public:
    explicit SimulationRandom(std::uint64_t seed)
        : m_engine(seed)
    {
    }
    /// Returns a value from @p low to @p high, both included.
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(high - low + 1));
    }
    Duration duration(std::int64_t lowMs, std::int64_t highMs)
    {
        return Duration(between(lowMs, highMs));
    }
    bool chance(double probability)
    {
        constexpr double unit = 1.0 / 9007199254740992.0; // 2 to the power of -53.
        return static_cast<double>(m_engine() >> 11U) * unit < probability;
    }

private:
    std::mt19937_64 m_engine;
};

/// Runs events in the order of their times, and events of the same time in the order in which they were added.
class EventQueue
{
public:
    explicit EventQueue(Instant start)
        : m_now(start)
    {
    }
    [[nodiscard]] Instant now() const
    {
        return m_now;
    }
    void add(Instant at, std::function<void()> event)
    {
        m_events.push_back(Entry{.m_at = std::max(at, m_now), .m_number = m_nextNumber++, .m_event = std::move(event)});
        std::push_heap(m_events.begin(), m_events.end(), isLater);
    }
    /// Runs the events before @p end.
    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.front().m_at < end) {
            std::pop_heap(m_events.begin(), m_events.end(), isLater);
            const auto entry = std::move(m_events.back());
            m_events.pop_back();
            m_now = entry.m_at;
            entry.m_event();
        }
        m_now = end;
    }

private:
    struct Entry {
        Instant m_at;
        std::uint64_t m_number;
        std::function<void()> m_event;
    };
    static bool isLater(const Entry &left, const Entry &right)
    {
        return std::pair(left.m_at, left.m_number) > std::pair(right.m_at, right.m_number);
    }

    Instant m_now;
    std::uint64_t m_nextNumber = 0;
    std::vector<Entry> m_events;
};

/// The result of a coroutine that another coroutine awaits. The coroutine begins when it is awaited.
template<class T>
class Co
{
public:
    struct promise_type;
    using Handle = std::coroutine_handle<promise_type>;

    struct FinalAwaiter {
        [[nodiscard]] bool await_ready() const noexcept
        {
            return false;
        }
        std::coroutine_handle<> await_suspend(Handle handle) const noexcept
        {
            const auto continuation = handle.promise().m_continuation;
            return continuation ? continuation : std::noop_coroutine();
        }
        void await_resume() const noexcept
        {
        }
    };
    struct promise_type {
        std::coroutine_handle<> m_continuation;
        std::optional<T> m_value;

        Co get_return_object()
        {
            return Co(Handle::from_promise(*this));
        }
        std::suspend_always initial_suspend() noexcept
        {
            return {};
        }
        FinalAwaiter final_suspend() noexcept
        {
            return {};
        }
        template<class Value>
        void return_value(Value &&value)
        {
            m_value.emplace(std::forward<Value>(value));
        }
        void unhandled_exception()
        {
            std::terminate();
        }
    };

    explicit Co(Handle handle)
        : m_handle(handle)
    {
    }
    Co(Co &&other) noexcept
        : m_handle(std::exchange(other.m_handle, nullptr))
    {
    }
    Co(const Co &) = delete;
    Co &operator=(const Co &) = delete;
    ~Co()
    {
        if (m_handle) {
            m_handle.destroy();
        }
    }

    [[nodiscard]] bool await_ready() const noexcept
    {
        return false;
    }
    std::coroutine_handle<> await_suspend(std::coroutine_handle<> continuation) noexcept
    {
        m_handle.promise().m_continuation = continuation;
        return m_handle;
    }
    T await_resume()
    {
        return std::move(*m_handle.promise().m_value);
    }
    void start()
    {
        m_handle.resume();
    }
    [[nodiscard]] bool done() const
    {
        return m_handle.done();
    }

private:
    Handle m_handle;
};

/// Stands for no value, so that Co needs no specialization for void.
struct Nothing {
};

/// A process with threads, each of which is a coroutine. It may be paused, in which case time goes on for all others, and ended.
class SimulatedProcess
{
public:
    explicit SimulatedProcess(EventQueue &queue)
        : m_queue(queue)
    {
    }

    /// Runs @p event at @p at, or at the end of a pause, unless @p process has ended by then.
    static void schedule(const std::shared_ptr<SimulatedProcess> &process, Instant at, std::function<void()> event)
    {
        process->m_queue.add(at, [process, event = std::move(event)] {
            if (!process->m_alive) {
                return;
            }
            if (process->m_queue.now() < process->m_pausedUntil) {
                schedule(process, process->m_pausedUntil, event);
                return;
            }
            event();
        });
    }
    void pauseUntil(Instant end)
    {
        m_pausedUntil = std::max(m_pausedUntil, end);
    }
    /// Ends the threads. Must not be called by one of them.
    void end()
    {
        m_alive = false;
        m_threads.clear();
    }
    void startThread(Co<Nothing> thread)
    {
        m_threads.remove_if([](const auto &other) { return other.done(); });
        m_threads.push_back(std::move(thread));
        m_threads.back().start();
    }
    [[nodiscard]] Instant now() const
    {
        return m_queue.now();
    }
    [[nodiscard]] bool isAlive() const
    {
        return m_alive;
    }

private:
    EventQueue &m_queue;
    bool m_alive = true;
    Instant m_pausedUntil;
    std::list<Co<Nothing>> m_threads;
};

using ProcessPointer = std::shared_ptr<SimulatedProcess>;

/// Suspends a coroutine for some time.
struct Sleep {
    ProcessPointer m_process;
    Duration m_time;

    [[nodiscard]] bool await_ready() const noexcept
    {
        return m_time <= Duration(0);
    }
    void await_suspend(std::coroutine_handle<> handle) const
    {
        SimulatedProcess::schedule(m_process, m_process->now() + m_time, [handle] { handle.resume(); });
    }
    void await_resume() const noexcept
    {
    }
};

/// A suspended coroutine that one of several events resumes.
struct Suspended {
    std::coroutine_handle<> m_handle;
    bool m_resumed = false;

    void resumeOnce()
    {
        if (!m_resumed) {
            m_resumed = true;
            m_handle.resume();
        }
    }
};

/// A condition variable.
class SimulatedCondition
{
public:
    explicit SimulatedCondition(ProcessPointer process)
        : m_process(std::move(process))
    {
    }
    void notifyAll()
    {
        auto waiting = std::exchange(m_waiting, {});
        for (auto &suspended : waiting) {
            if (!suspended->m_resumed) {
                SimulatedProcess::schedule(m_process, m_process->now(), [suspended] { suspended->resumeOnce(); });
            }
        }
    }
    /// Waits until @p holds returns true, or for @p timeout. Returns whether it does.
    Co<bool> waitFor(std::function<bool()> holds, std::optional<Duration> timeout)
    {
        const auto deadline = timeout ? std::optional(m_process->now() + *timeout) : std::nullopt;
        while (!holds()) {
            if (deadline && m_process->now() >= *deadline) {
                co_return false;
            }
            Notification notification{.m_condition = *this, .m_deadline = deadline};
            co_await notification;
        }
        co_return true;
    }

private:
    struct Notification {
        SimulatedCondition &m_condition;
        std::optional<Instant> m_deadline;

        [[nodiscard]] bool await_ready() const noexcept
        {
            return false;
        }
        void await_suspend(std::coroutine_handle<> handle) const
        {
            auto suspended = std::make_shared<Suspended>(Suspended{.m_handle = handle});
            m_condition.m_waiting.push_back(suspended);
            if (m_deadline) {
                SimulatedProcess::schedule(m_condition.m_process, *m_deadline, [suspended] { suspended->resumeOnce(); });
            }
        }
        void await_resume() const noexcept
        {
        }
    };

    ProcessPointer m_process;
    std::vector<std::shared_ptr<Suspended>> m_waiting;
};

// NOLINTEND(readability-identifier-naming)

} // namespace PrimroseBridge
