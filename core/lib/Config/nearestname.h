#pragma once

#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// The name closest to @p name by edit distance without regard to case, or empty if none is close. Thread-safe.
std::string_view nearestName(std::string_view name, const std::vector<std::string_view> &known);

} // namespace PrimroseBridge
