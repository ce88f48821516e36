#pragma once

#include <chrono>

namespace PrimroseBridge {

/// A length of time, in milliseconds.
using Duration = std::chrono::milliseconds;

/// A point in time, in milliseconds since the Unix epoch. Scheduling decisions get the current time as an argument and read
/// no clock.
using Instant = std::chrono::sys_time<Duration>;

/// Returns the milliseconds since the Unix epoch. Thread-safe.
constexpr long long toMilliseconds(Instant instant)
{
    return instant.time_since_epoch().count();
}

/// Inverse of toMilliseconds(). Thread-safe.
constexpr Instant fromMilliseconds(long long milliseconds)
{
    return Instant(Duration(milliseconds));
}

} // namespace PrimroseBridge
