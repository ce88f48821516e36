#pragma once

#include "faultlist.h"

#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

/// Reports shapes that no worker, rack or zone of the declared fleet can hold, and guarantees that do not fit into the
/// empty zone, alone or together with the zone's other guarantees. Entries that have faults already are left out.
void checkCapacity(const Configuration &configuration, FaultList &faults);

} // namespace PrimroseBridge
