#pragma once

#include "primrosebridge/Placement/capacity.h"

#include <optional>

namespace PrimroseBridge {

/// How a position is chosen among several that fit.
enum class FitRule {
    FullestRack, ///< As Best, but in the fullest rack first, so that whole racks stay free for large shapes.
    Best, ///< The one that leaves the least remainder.
    First, ///< The first in worker and rack order.
};

/// Slots for @p shape within @p capacity, or empty if it does not fit.
///
/// Each member lies on consecutive accelerator indices of one worker, with one member per worker. Nearest uses one rack if
/// possible, else the fewest racks. Cores and memory are divided in proportion to accelerators and rounded up.
/// Preconditions: the capacity is that of the fleet; shape amounts are >= 0. Thread-safe.
std::optional<Slots> fit(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, FitRule rule = FitRule::FullestRack);

/// Number of times that @p shape can be placed within @p capacity one after the other, at most @p limit. Thread-safe.
int countFits(const FleetIndex &fleet, const Capacity &capacity, const Shape &shape, int limit);

/// Most accelerators that one worker can give to @p shape, on consecutive indices. Thread-safe.
int contribution(const Capacity &capacity, int worker, const Shape &shape);

/// Cores or memory of a member with @p accelerators of the @p all accelerators of a shape. Thread-safe.
constexpr std::int64_t proportion(std::int64_t amount, int accelerators, int all)
{
    return all == 0 ? amount : (amount * accelerators + all - 1) / all;
}

} // namespace PrimroseBridge
