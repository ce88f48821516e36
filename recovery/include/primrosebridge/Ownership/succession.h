#pragma once

#include "primrosebridge/Model/time.h"

#include <vector>

namespace PrimroseBridge {

/// What a VM knows when the fleet has no owner.
struct SuccessionView {
    const double m_processor; ///< Of this VM, in cores.
    const std::vector<double> m_peers; ///< Of the other VMs that the store lists, in cores.
    const Duration m_age; ///< Since this process started.

    bool operator==(const SuccessionView &) const = default;
};

/// The time that a VM waits before it tries to become the owner, so that one with more processor is faster.
///
/// The owner decides for the whole fleet and is the only VM whose load grows with it. Zero for the largest VMs, so that a takeover
/// costs no time while one of them is there. A process that has just started does not know the others yet and waits the longer
/// the smaller its VM is. Pure; thread-safe.
Duration successionDelay(const SuccessionView &view);

} // namespace PrimroseBridge
