#pragma once

#include "primrosebridge/Placement/zonestate.h"

namespace PrimroseBridge {

/// Exhaustive search for positions of all guarantees at once; all shapes are SameWorker and need accelerators only.
/// An accelerator serves a guarantee if it is usable and free, used by the guarantee's own organisation, or its task can go.
bool canMeetAllGuarantees(const ZoneState &state);

} // namespace PrimroseBridge
