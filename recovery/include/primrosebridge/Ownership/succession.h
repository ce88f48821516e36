#pragma once

#include "primrosebridge/Model/time.h"

#include <vector>

namespace PrimroseBridge {

/// What a VM knows about itself and its peers when the fleet has no owner.
struct SuccessionView {
    const double m_processorCores; ///< Processor capacity of this VM, in cores.
    const std::vector<double> m_peerCores; ///< Processor capacity of each other VM that the store lists, in cores.
    const Duration m_uptime; ///< Time since this process started.

    bool operator==(const SuccessionView &) const = default;
};

/// Returns how long a VM waits before it tries to become the owner. Larger VMs wait less, so that one of them becomes the owner.
///
/// The owner schedules the whole fleet and is the only VM whose load grows with the size of the fleet. The delay is zero for the largest
/// VMs, so that it doesn't prolong a takeover while one of them is available. A process that has just started may not know the other
/// VMs yet; its delay depends on the size of its own VM only. Pure; thread-safe.
Duration successionDelay(const SuccessionView &view);

} // namespace PrimroseBridge
