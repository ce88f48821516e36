#include "primrosebridge/Ownership/succession.h"

#include <algorithm>

namespace PrimroseBridge {

// Within this time of the start the store's list of VMs may still be incomplete: VMs of one deployment start within 300 ms of each
// other and register with two store calls.
static constexpr Duration settlingTime(1000);
// Delay of a VM with one core while it settles; one with a tenth of a core waits ten times as long.
static constexpr double settlingDelayMs = 40.0;
static constexpr Duration longestSettlingDelay(400);
// Longer than the larger VMs need to see that the owner is gone and to write the key, also with a store that answers slowly.
static constexpr Duration smallerVmDelay(300);
// Sizes this close to the largest are as good.
static constexpr double equalShare = 0.75;

Duration successionDelay(const SuccessionView &view)
{
    if (view.m_age < settlingTime) {
        const auto delay = settlingDelayMs / std::max(view.m_processor, 0.01);
        return std::min(longestSettlingDelay, Duration(static_cast<Duration::rep>(delay)));
    }
    const auto largest = std::max_element(view.m_peers.begin(), view.m_peers.end());
    const bool smaller = largest != view.m_peers.end() && view.m_processor < equalShare * *largest;
    return smaller ? smallerVmDelay : Duration(0);
}

} // namespace PrimroseBridge
