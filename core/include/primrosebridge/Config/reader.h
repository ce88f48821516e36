#pragma once

#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace PrimroseBridge {

/// Maximum size of a configuration document, in bytes. The store accepts values of up to 1 MB.
constexpr std::size_t maxConfigurationBytes = 900 * 1024;

/// A fault in a configuration or settings document.
struct ConfigFault {
    const std::string m_path; ///< JSON pointer such as `/guarantees/2/count`.
    const std::string m_problem; ///< What is wrong, with the value and the limit.
    const std::string m_remedy; ///< How to correct the document.

    bool operator==(const ConfigFault &) const = default;
};

/// A valid configuration, or all faults found in the document.
using ConfigurationOrFaults = std::variant<Configuration, std::vector<ConfigFault>>;

/// Parses and validates a configuration document (JSON with comments). Reports all faults at once. Thread-safe.
ConfigurationOrFaults readConfiguration(std::string_view document);

/// Returns a text with one line for each fault: its path, problem and remedy. Thread-safe.
std::string describeFaults(const std::vector<ConfigFault> &faults);

/// Returns the configuration as indented JSON, with all defaults filled in. readConfiguration() reads the same value back from it.
/// Thread-safe.
std::string writeConfiguration(const Configuration &configuration);

/// Returns a copy of the configuration with another version number. Thread-safe.
Configuration withVersion(const Configuration &configuration, std::int64_t version);

/// Address of another entry VM, from the process settings.
struct PeerAddress {
    const std::string m_vm;
    const std::string m_zone;
    const std::string m_address; ///< IP address and port of the VM's gRPC interface.

    bool operator==(const PeerAddress &) const = default;
};

/// Settings of one primrosebridged process.
struct ProcessSettings {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::string m_httpAddress; ///< IP address and port for calls from clients and operators.
    const std::string m_peerAddress; ///< IP address and port for calls from other entry VMs.
    const std::string m_storeHost; ///< IP address of the platform's store.
    const std::uint16_t m_storePort;
    const std::string m_vmListHost; ///< IP address of the platform's VM list.
    const std::uint16_t m_vmListPort;
    const std::vector<PeerAddress> m_peers;
    const std::string m_logLevel; ///< One of trace, debug, info, warn and error.
    const int m_httpThreads; ///< Number of threads that serve HTTP calls, 2 to 128.

    bool operator==(const ProcessSettings &) const = default;
};

/// Process settings, or all faults found in the document.
using SettingsOrFaults = std::variant<ProcessSettings, std::vector<ConfigFault>>;

/// Parses and validates the settings of a process (JSON with comments). Reports all faults at once. Thread-safe.
SettingsOrFaults readProcessSettings(std::string_view document);

} // namespace PrimroseBridge
