#include "primrosebridge/Pipeline/timerservice.h"

#include <cassert>
#include <condition_variable>
#include <map>
#include <mutex>
#include <system_error>
#include <thread>
#include <vector>

namespace PrimroseBridge {

using SteadyTime = std::chrono::steady_clock::time_point;

struct TimerSubscription::Private {
    std::mutex m_callMutex; // Held during a callback, so that ending the subscription waits for the callback.
    bool m_ended = false;
    Duration m_period = Duration(0);
    std::function<void(Instant)> m_callback;
};

TimerSubscription::TimerSubscription(std::shared_ptr<Private> state)
    : m_private(std::move(state))
{
}

TimerSubscription::~TimerSubscription()
{
    const std::lock_guard lock(m_private->m_callMutex);
    m_private->m_ended = true;
}

struct TimerService::Private {
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<SteadyTime, std::shared_ptr<TimerSubscription::Private>> m_due;
    bool m_stopping = false;
    std::thread m_thread;
};

// Calls the subscriber. Returns false if the subscription has ended, so that it must not be scheduled again.
static bool invokeCallback(TimerSubscription::Private &subscription)
{
    const std::lock_guard lock(subscription.m_callMutex);
    if (subscription.m_ended) {
        return false;
    }
    subscription.m_callback(TimerService::wallClockNow());
    return true;
}

template<class State>
static void runTimers(const std::shared_ptr<State> &state)
{
    std::unique_lock lock(state->m_mutex);
    while (!state->m_stopping) {
        if (state->m_due.empty()) {
            state->m_changed.wait(lock);
            continue;
        }
        const auto earliest = state->m_due.begin();
        if (earliest->first > std::chrono::steady_clock::now()) {
            state->m_changed.wait_until(lock, earliest->first);
            continue;
        }
        const auto subscription = earliest->second;
        state->m_due.erase(earliest);
        lock.unlock();
        const bool active = invokeCallback(*subscription);
        lock.lock();
        if (active) {
            state->m_due.emplace(std::chrono::steady_clock::now() + subscription->m_period, subscription);
        }
    }
}

Result<std::shared_ptr<TimerService>> TimerService::create()
{
    auto state = std::make_shared<Private>();
    try {
        state->m_thread = std::thread([state] { runTimers(state); });
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("the timer thread cannot start: ") + error.what(), "raise the limit of threads for this process");
    }
    return std::shared_ptr<TimerService>(new TimerService(std::move(state)));
}

TimerService::TimerService(std::shared_ptr<Private> state)
    : m_private(std::move(state))
{
}

TimerService::~TimerService()
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_stopping = true;
    }
    m_private->m_changed.notify_all();
    m_private->m_thread.join();
}

std::unique_ptr<TimerSubscription> TimerService::subscribe(Duration period, std::function<void(Instant)> callback)
{
    assert(period > Duration(0) && "a period of zero would keep the timer thread busy");
    auto subscription = std::make_shared<TimerSubscription::Private>();
    subscription->m_period = period;
    subscription->m_callback = std::move(callback);
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_due.emplace(std::chrono::steady_clock::now() + period, subscription);
    }
    m_private->m_changed.notify_all();
    return std::make_unique<TimerSubscription>(std::move(subscription));
}

Instant TimerService::wallClockNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

} // namespace PrimroseBridge
