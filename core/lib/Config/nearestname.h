#pragma once

#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Returns the candidate with the smallest case-insensitive edit distance to @p name, or an empty view if none is similar.
/// Thread-safe.
std::string_view nearestName(std::string_view name, const std::vector<std::string_view> &candidates);

} // namespace PrimroseBridge
