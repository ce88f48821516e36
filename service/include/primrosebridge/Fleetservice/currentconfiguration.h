#pragma once

#include "primrosebridge/Work/fleetconfiguration.h"

#include <mutex>

namespace PrimroseBridge {

/// Holds the configuration in force on this VM, whose version never decreases. Thread-safe.
class CurrentConfiguration
{
public:
    /// Replaces the configuration in force by @p configuration if that has a higher version. Returns whether it was replaced.
    bool installIfNewer(FleetConfigurationPointer configuration)
    {
        const std::lock_guard lock(m_mutex);
        if (m_current && configuration->m_version <= m_current->m_version) {
            return false;
        }
        m_current = std::move(configuration);
        return true;
    }

    /// Returns the configuration in force, or null if none has been installed yet.
    [[nodiscard]] FleetConfigurationPointer current() const
    {
        const std::lock_guard lock(m_mutex);
        return m_current;
    }

private:
    mutable std::mutex m_mutex;
    FleetConfigurationPointer m_current;
};

} // namespace PrimroseBridge
