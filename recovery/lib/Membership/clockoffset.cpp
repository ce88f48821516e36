#include "primrosebridge/Membership/clockoffset.h"

namespace PrimroseBridge {

static constexpr Duration estimateLifetime = std::chrono::minutes(1);

static ClockOffset offsetOf(const ClockSample &sample)
{
    const Duration roundTrip = sample.m_receivedAt - sample.m_sentAt;
    return ClockOffset{
        .m_incarnation = sample.m_incarnation,
        .m_offset = sample.m_sentAt + roundTrip / 2 - sample.m_peerClock,
        .m_roundTrip = roundTrip,
        .m_measuredAt = sample.m_receivedAt,
    };
}

std::optional<ClockOffset> updateClockOffset(const std::optional<ClockOffset> &known, const ClockSample &sample)
{
    if (sample.m_receivedAt < sample.m_sentAt) {
        return known;
    }
    const ClockOffset measured = offsetOf(sample);
    if (!known || known->m_incarnation != sample.m_incarnation) {
        return measured;
    }
    const bool better = measured.m_roundTrip <= known->m_roundTrip;
    const bool expired = sample.m_receivedAt - known->m_measuredAt > estimateLifetime;
    return better || expired ? std::optional<ClockOffset>(measured) : std::optional<ClockOffset>(*known);
}

} // namespace PrimroseBridge
