#pragma once

#include "primrosebridge/Fleet/workerspeed.h"
#include "primrosebridge/Model/result.h"

#include <string>

namespace PrimroseBridge {

/// Encodes the record of learnt speeds for the store. Speeds and weights are rounded to thousandths. Thread-safe.
std::string encodeSpeeds(const SpeedRecord &record);

/// Inverse of encodeSpeeds(). Returns an Internal error if @p text is not such a record, names more machines than SpeedLimits allows or has a value
/// out of range. Thread-safe.
Result<SpeedRecord> decodeSpeeds(const std::string &text);

} // namespace PrimroseBridge
