#pragma once

#include "primrosebridge/Policy/pass.h"

namespace PrimroseBridge {

/// Baseline: strictly in order of submission, at the first position that fits; a job that does not fit holds up all later ones.
PassResult firstComeFirstServed(const ZoneState &state, const PassSettings &settings, Instant now);

/// Baseline: in order of submission, at the position that leaves the least remainder, passing over jobs that do not fit.
/// Neither reservations, guarantees, reclaim nor defragmentation.
PassResult bestFitOnly(const ZoneState &state, const PassSettings &settings, Instant now);

} // namespace PrimroseBridge
