#pragma once

#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <functional>
#include <memory>

namespace PrimroseBridge {

/// A subscription to the timer service. Destroying it ends the subscription and waits for a callback in progress.
class TimerSubscription
{
public:
    struct Private;
    explicit TimerSubscription(std::shared_ptr<Private> state);
    ~TimerSubscription();
    TimerSubscription(const TimerSubscription &) = delete;
    TimerSubscription &operator=(const TimerSubscription &) = delete;

private:
    std::shared_ptr<Private> m_private;
};

/// Calls subscribers periodically on one thread of its own.
///
/// Callbacks must be short and must not block on the network: they usually push a message onto a queue or notify a stage.
/// Thread-safe. A callback may not end its own subscription.
class TimerService
{
public:
    /// Starts the thread. Fails with Unavailable if the system refuses to create it.
    static Result<std::shared_ptr<TimerService>> create();
    /// Stops the thread. Subscriptions may outlive the service.
    ~TimerService();
    TimerService(const TimerService &) = delete;
    TimerService &operator=(const TimerService &) = delete;

    /// Calls @p callback every @p period with the current time of the wall clock, for the first time after one period. A late call
    /// delays the calls after it.
    /// Precondition: period > 0.
    [[nodiscard]] std::unique_ptr<TimerSubscription> subscribe(Duration period, std::function<void(Instant)> callback);

    /// Returns the present time of the wall clock. Other code reads the wall clock through this function only, except for the deadlines of gRPC
    /// calls.
    static Instant wallClockNow();

private:
    struct Private;
    explicit TimerService(std::shared_ptr<Private> state);
    std::shared_ptr<Private> m_private;
};

} // namespace PrimroseBridge
