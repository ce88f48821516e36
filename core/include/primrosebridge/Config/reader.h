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

/// Largest configuration document, in bytes. The store holds values up to 1 MB.
constexpr std::size_t maxConfigurationBytes = 900 * 1024;

/// One fault in a document.
struct ConfigFault {
    const std::string m_path; ///< JSON pointer such as `/guarantees/2/count`.
    const std::string m_problem; ///< What is wrong, with the value and the limit.
    const std::string m_remedy;

    bool operator==(const ConfigFault &) const = default;
};

/// A checked configuration or every fault found in the document.
using ConfigurationOrFaults = std::variant<Configuration, std::vector<ConfigFault>>;

/// Reads and checks a configuration document (JSON with comments). Reports all faults at once. Thread-safe.
ConfigurationOrFaults readConfiguration(std::string_view document);

/// All faults in one text, a line each: path, problem, remedy. Thread-safe.
std::string describeFaults(const std::vector<ConfigFault> &faults);

/// Writes the document with every default filled in, as indented JSON. readConfiguration() gives the same value back. Thread-safe.
std::string writeConfiguration(const Configuration &configuration);

/// The same configuration with another version number. Thread-safe.
Configuration withVersion(const Configuration &configuration, std::int64_t version);

/// A peer named in the process settings.
struct PeerAddress {
    const std::string m_vm;
    const std::string m_zone;
    const std::string m_address; ///< IP number and port of its gRPC interface.

    bool operator==(const PeerAddress &) const = default;
};

/// Settings of one primrosebridged process.
struct ProcessSettings {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::string m_httpAddress; ///< IP number and port for callers and operators.
    const std::string m_peerAddress; ///< IP number and port for other entry VMs.
    const std::string m_storeHost; ///< IP number.
    const std::uint16_t m_storePort;
    const std::string m_vmListHost; ///< IP number of the platform's VM list.
    const std::uint16_t m_vmListPort;
    const std::vector<PeerAddress> m_peers;
    const std::string m_logLevel; ///< trace, debug, info, warn or error.
    const int m_httpThreads; ///< 2 to 128.

    bool operator==(const ProcessSettings &) const = default;
};

/// Process settings or every fault found in the document.
using SettingsOrFaults = std::variant<ProcessSettings, std::vector<ConfigFault>>;

/// Reads and checks the settings of a process (JSON with comments). Thread-safe.
SettingsOrFaults readProcessSettings(std::string_view document);

} // namespace PrimroseBridge
