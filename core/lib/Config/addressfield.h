#pragma once

#include "objectreader.h"

#include <optional>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Reads a field of the form `IP:port` and reports a fault for any other value. @p defaultValue is used if the field is missing;
/// without a default the field is required.
std::string readSocketAddress(ObjectReader &fields, std::string_view name, const std::optional<std::string> &defaultValue = std::nullopt);

} // namespace PrimroseBridge
