#pragma once

#include "primrosebridge/Config/reader.h"
#include "primrosebridge/Model/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace PrimroseBridge {

/// Settings of a primrosebridged process that schedules the workers of a fleet.
struct FleetSettings {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::string m_frontAddress; ///< IP address and port for calls from clients.
    const std::string m_readinessAddress; ///< IP address and port for the load balancer's readiness check.
    const std::string m_peerAddress; ///< IP address and port at which other entry VMs reach this one.
    const std::string m_peerListenAddress; ///< IP address and port on which this VM listens for other entry VMs; differs from m_peerAddress behind a proxy.
    const std::string m_metricsAddress; ///< IP address and port of the metrics endpoint.
    const std::string m_storeAddress; ///< IP address and port of the platform's store.
    const Duration m_taskLease; ///< Longest lease that a worker grants to a task.
    const Duration m_shortestStoreLease; ///< Shortest lease that the platform's store grants.
    const Duration m_reclaimBound; ///< Maximum time until a job of priority 0 within its organisation's guarantee starts.
    const Duration m_stopBound; ///< Maximum time that a worker takes to stop a task.
    const Duration m_shutdownBound; ///< Time that the process has to end after SIGTERM, before SIGKILL ends it.
    const double m_processorCores; ///< Processor capacity of this VM, in cores: the setting processorShare times the setting processorSpeed.
    const double m_remoteFactor; ///< Factor by which the run time grows for a task outside the rack of its data or a gang over several racks.
    const std::string m_logLevel; ///< One of trace, debug, info, warn and error.
    const std::size_t m_maxValueBytes = std::size_t(1024) * 1024; ///< Size of the largest value that the platform's store accepts.
    const Duration m_callDelayBound = Duration(12'000); ///< Longest time after which a worker executes a call that got no answer.
    /// Time after the operator has asked to drain a zone from which on nothing may be started there. Empty if the deployment sets no bound; a VM
    /// then goes by the drains that it knows, however old they are.
    const std::optional<Duration> m_zoneDrainBound = std::nullopt;

    bool operator==(const FleetSettings &) const = default;
};

/// Fleet settings, or all faults found in the document.
using FleetSettingsOrFaults = std::variant<FleetSettings, std::vector<ConfigFault>>;

/// Parses and validates the fleet settings of a process (JSON with comments). Reports all faults at once. Thread-safe.
FleetSettingsOrFaults readFleetSettings(std::string_view document);

} // namespace PrimroseBridge
