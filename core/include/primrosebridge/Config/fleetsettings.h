#pragma once

#include "primrosebridge/Config/reader.h"
#include "primrosebridge/Model/time.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace PrimroseBridge {

/// Settings of a process that schedules a fleet of the platform.
struct FleetSettings {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::string m_frontAddress; ///< IP number and port for callers.
    const std::string m_readinessAddress; ///< IP number and port for the balancer's check.
    const std::string m_peerAddress; ///< IP number and port at which other entry VMs reach this one.
    const std::string m_peerListenAddress; ///< Where this VM listens for them; differs if a proxy stands in between.
    const std::string m_metricsAddress; ///< IP number and port of the metrics page.
    const std::string m_storeAddress; ///< IP number and port of the platform's store.
    const Duration m_taskLease; ///< Longest lease that a worker grants to what runs on it.
    const Duration m_shortestStoreLease;
    const Duration m_reclaimBound; ///< Within which work of priority 0 within its organisation's guarantee has to begin.
    const Duration m_stopBound; ///< Longest time that a worker takes to stop a run.
    const Duration m_shutdownBound; ///< Between SIGTERM and SIGKILL.
    const double m_processorCores; ///< Processor capacity of this VM, in cores.
    const double m_remoteFactor; ///< Run time away from the data, or of a gang over several racks, as a multiple.
    const std::string m_logLevel; ///< trace, debug, info, warn or error.

    bool operator==(const FleetSettings &) const = default;
};

/// Fleet settings or every fault found in the document.
using FleetSettingsOrFaults = std::variant<FleetSettings, std::vector<ConfigFault>>;

/// Reads and checks the fleet settings of a process (JSON with comments). Thread-safe.
FleetSettingsOrFaults readFleetSettings(std::string_view document);

} // namespace PrimroseBridge
