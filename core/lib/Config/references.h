#pragma once

#include "faultlist.h"

#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

/// Reports duplicate identifiers and tokens, and references to zones and organisations that the document does not declare.
void checkReferences(const Configuration &configuration, FaultList &faults);

} // namespace PrimroseBridge
