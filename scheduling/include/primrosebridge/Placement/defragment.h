#pragma once

#include "primrosebridge/Placement/reclaim.h"

namespace PrimroseBridge {

/// Running work that can be checkpointed and resumed elsewhere.
struct Movable {
    const int m_index; ///< The caller's number for it.
    const Shape m_shape;
    const Slots m_slots;

    bool operator==(const Movable &) const = default;
};

/// Work to move so that a shape fits.
struct DefragmentationPlan {
    const Slots m_slots; ///< Where the shape fits afterwards.
    const std::vector<int> m_moved; ///< Movable::m_index of the work to checkpoint.
    const int m_movedAccelerators;

    bool operator==(const DefragmentationPlan &) const = default;
};

/// Moves that make room for @p shape, which does not fit at present; empty if there are none.
///
/// Everything that is moved fits elsewhere at once, beside the shape. Work on the emptiest workers is moved first.
/// @p free is the capacity in use by nobody, @p usable that of the empty fleet. Thread-safe.
std::optional<DefragmentationPlan>
planDefragmentation(const FleetIndex &fleet, const Capacity &usable, const Capacity &free, const std::vector<Movable> &movables, const Shape &shape);

} // namespace PrimroseBridge
