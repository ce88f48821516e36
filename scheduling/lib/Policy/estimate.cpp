#include "primrosebridge/Policy/estimate.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace PrimroseBridge {

/// A declared value is wrong by a factor of at most 10; a report beyond that counts as 10, so that one outlier does not decide.
constexpr double largestRatio = 10;

/// Weight of the latest report. Until the tenth report the plain mean is used, which forgets the initial value at once.
constexpr double latestWeight = 0.1;

RunTimeEstimate initialEstimate()
{
    return {1, 0};
}

RunTimeEstimate observeRunTime(const RunTimeEstimate &estimate, Duration declared, Duration reported)
{
    assert(declared.count() > 0 && reported.count() > 0 && "durations are positive");
    const double ratio = std::clamp(static_cast<double>(reported.count()) / static_cast<double>(declared.count()), 1 / largestRatio, largestRatio);
    const double weight = std::max(latestWeight, 1.0 / (estimate.m_samples + 1));
    return {estimate.m_ratio + weight * (ratio - estimate.m_ratio), std::min(estimate.m_samples + 1, 1'000'000)};
}

Duration expectedRunTime(const RunTimeEstimate &estimate, const JobClass &jobClass, Duration declared)
{
    const auto corrected = Duration(std::llround(static_cast<double>(declared.count()) * estimate.m_ratio));
    return std::clamp(corrected, std::min(Duration(1), jobClass.m_maxRunTime), jobClass.m_maxRunTime);
}

} // namespace PrimroseBridge
