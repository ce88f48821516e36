#include "primrosebridge/Ownership/succession.h"

#include <algorithm>

namespace PrimroseBridge {

// For this time after the start, the store's list of VMs may be incomplete: the VMs of one deployment start within 300 ms of each other,
// and each registers with two store calls.
static constexpr Duration peerDiscoveryTime(1000); // ms
// During peerDiscoveryTime, a VM with one core waits this long. The delay is inversely proportional to the number of cores.
static constexpr double oneCoreStartupDelayMs = 40.0;
static constexpr Duration maxStartupDelay(400); // ms
// The delay of smaller VMs exceeds the time in which the larger VMs notice that the owner is gone and write the ownership key, even if
// the store answers slowly.
static constexpr Duration smallerVmDelay(300); // ms
// A VM with at least this share of the largest peer's cores counts as one of the largest.
static constexpr double largestVmMinShare = 0.75;

Duration successionDelay(const SuccessionView &view)
{
    if (view.m_uptime < peerDiscoveryTime) {
        const auto delay = oneCoreStartupDelayMs / std::max(view.m_processorCores, 0.01);
        return std::min(maxStartupDelay, Duration(static_cast<Duration::rep>(delay)));
    }
    const auto largest = std::max_element(view.m_peerCores.begin(), view.m_peerCores.end());
    const bool isSmaller = largest != view.m_peerCores.end() && view.m_processorCores < largestVmMinShare * *largest;
    return isSmaller ? smallerVmDelay : Duration(0);
}

} // namespace PrimroseBridge
