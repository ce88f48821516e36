#pragma once

#include "faultlist.h"

#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

/// Reports job classes whose shape no worker, rack or zone of the declared fleet can hold, and guarantees that do not fit into
/// their empty zone, alone or together with the zone's other guarantees. Entries that already have faults are skipped.
void checkCapacity(const Configuration &configuration, FaultList &faults);

} // namespace PrimroseBridge
