#include "nearestname.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace PrimroseBridge {

/// Longer names are not compared, because no field has such a long name.
constexpr std::size_t maxComparedBytes = 40;

static bool equalIgnoringCase(char left, char right)
{
    return std::tolower(static_cast<unsigned char>(left)) == std::tolower(static_cast<unsigned char>(right));
}

static std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t(0));
    for (std::size_t i = 1; i <= left.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const auto replaced = diagonal + (equalIgnoringCase(left[i - 1], right[j - 1]) ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string_view nearestName(std::string_view name, const std::vector<std::string_view> &candidates)
{
    if (name.size() > maxComparedBytes) {
        return {};
    }
    std::string_view nearest;
    auto nearestDistance = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const auto candidate : candidates) {
        const auto distance = editDistance(name, candidate);
        if (distance < nearestDistance && distance < candidate.size()) {
            nearestDistance = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

} // namespace PrimroseBridge
