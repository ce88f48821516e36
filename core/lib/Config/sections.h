#pragma once

#include "document.h"
#include "faultlist.h"

#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

/// Reads every section of the configuration document and reports missing and unknown fields, wrong types, values out of
/// range and contradictions within one entry. Faulty fields have placeholder values in the result.
Configuration readSections(const JsonNode &root, FaultList &faults);

} // namespace PrimroseBridge
