#pragma once

#include "faultlist.h"

#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

/// Reports duplicate identifiers, duplicate tokens, and references to zones and organisations that the configuration does not
/// declare. Values that already have faults are skipped.
void checkReferences(const Configuration &configuration, FaultList &faults);

} // namespace PrimroseBridge
