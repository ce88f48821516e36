#pragma once

#include "primrosebridge/Model/time.h"
#include "primrosebridge/Work/zonedrains.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace PrimroseBridge {

/// A start leaves this VM at most this long after the check of the drains: the time-out of an order, and the pass that decided it.
constexpr Duration startSendingBound(600);

/// What a VM knows of the zone drains.
struct ZoneDrainView {
    const ZoneDrainsPointer m_drains; ///< Null if they have not been read yet.
    const Instant m_confirmedAt; ///< Boot clock; m_drains was complete at that time. Meaningless while m_drains is null.

    bool operator==(const ZoneDrainView &) const = default;
};

/// Holds the zone drains that this VM knows. They never go back to an older revision of the store, whichever of the watch and the reads of a
/// takeover is behind. Thread-safe.
class CurrentZoneDrains
{
public:
    /// Replaces the drains by a listing as of @p revision, which was requested at @p requestedAt on the boot clock. Does nothing if a later
    /// revision is known.
    void replace(std::set<std::string> zones, std::int64_t revision, Instant requestedAt);
    /// Applies the change of one zone at @p revision. Does nothing if a later revision is known, or if no listing has been read.
    void change(const std::string &zone, bool drained, std::int64_t revision);
    /// Notes that there was no change up to @p revision that has not been applied, and that the store was asked at @p confirmedAt on the boot
    /// clock or later. Does nothing if no listing has been read.
    void confirm(std::int64_t revision, Instant confirmedAt);
    /// Returns the drains and the time of the last confirmation.
    [[nodiscard]] ZoneDrainView current() const;

private:
    mutable std::mutex m_mutex;
    ZoneDrainsPointer m_drains;
    Instant m_confirmedAt;
};

} // namespace PrimroseBridge
