#pragma once

#include "primrosebridge/Placement/fit.h"

namespace PrimroseBridge {

/// A position that becomes free when some holdings end or are released.
struct FutureFit {
    const Slots m_slots;
    const std::vector<int> m_released; ///< Indices into the groups that must go for it, in their order.
    const int m_considered; ///< Number of groups, counted from the first, without which the shape does not fit.

    bool operator==(const FutureFit &) const = default;
};

/// The position at which @p shape fits with the shortest prefix of @p groups released, or empty if all of them do not suffice.
///
/// @p groups are occupied slots in the order in which they may be released, cheapest or soonest first. The prefix minimises the
/// dearest release; only those of the prefix that lie in the way are then released. @p free is the capacity in use by nobody,
/// @p excluded are positions that must not be used, @p usable the capacity of the empty fleet. Takes O(log groups) fits.
/// Thread-safe.
std::optional<FutureFit> fitAfterRelease(const FleetIndex &fleet,
                                         const Capacity &usable,
                                         const Capacity &free,
                                         const std::vector<const Slots *> &groups,
                                         const std::vector<const Slots *> &excluded,
                                         const Shape &shape);

} // namespace PrimroseBridge
