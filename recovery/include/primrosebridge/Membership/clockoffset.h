#pragma once

#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <optional>

namespace PrimroseBridge {

/// The estimated difference between a peer's clock and this process's clock.
struct ClockOffset {
    const std::int64_t m_incarnation; ///< Of the peer; a restarted peer may run on another machine.
    const Duration m_offset; ///< Add to the peer's times to get this process's clock.
    const Duration m_roundTrip; ///< The error of the offset is at most half of it.
    const Instant m_measuredAt;

    bool operator==(const ClockOffset &) const = default;
};

/// One exchange of messages with a peer.
struct ClockSample {
    const std::int64_t m_incarnation;
    const Instant m_sentAt; ///< This process's clock.
    const Instant m_peerClock; ///< The peer's clock when it answered.
    const Instant m_receivedAt; ///< This process's clock.

    bool operator==(const ClockSample &) const = default;
};

/// The estimate after one more exchange. A sample with a longer round trip replaces a better one only after a minute, because clocks drift.
/// A sample during which this process's clock was set back is ignored. Thread-safe.
std::optional<ClockOffset> updateClockOffset(const std::optional<ClockOffset> &known, const ClockSample &sample);

} // namespace PrimroseBridge
