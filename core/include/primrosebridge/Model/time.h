#pragma once

#include <chrono>

namespace PrimroseBridge {

using Duration = std::chrono::milliseconds;

/// A point in time, in milliseconds since the Unix epoch. Decision code receives it as an argument and reads no clock.
using Instant = std::chrono::sys_time<Duration>;

/// Milliseconds since the Unix epoch. Thread-safe.
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
