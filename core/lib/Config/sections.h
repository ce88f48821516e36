#pragma once

#include "document.h"
#include "faultlist.h"

#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

/// Reads all sections of the configuration document. Reports missing and unknown fields, wrong types, values out of range and
/// contradictions within one entry. Fields with faults have placeholder values in the result.
Configuration readSections(const JsonNode &root, FaultList &faults);

} // namespace PrimroseBridge
