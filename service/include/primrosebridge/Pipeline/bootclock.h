#pragma once

#include "primrosebridge/Model/time.h"

namespace PrimroseBridge {

/// Time since the VM booted, time in suspension included, as an Instant whose epoch is the boot.
///
/// Leases are judged by this clock: the steady clock stands still while a VM is suspended and the wall clock may jump.
/// Thread-safe.
Instant bootClockNow();

} // namespace PrimroseBridge
