#pragma once

#include "primrosebridge/Work/fleetconfiguration.h"

#include <mutex>

namespace PrimroseBridge {

/// The configuration in force on this VM. Versions never go backwards. Thread-safe.
class CurrentConfiguration
{
public:
    /// Puts @p configuration in force if its version is higher. Returns whether it did.
    bool installIfNewer(FleetConfigurationPointer configuration)
    {
        const std::lock_guard lock(m_mutex);
        if (m_current && configuration->m_version <= m_current->m_version) {
            return false;
        }
        m_current = std::move(configuration);
        return true;
    }

    /// The configuration in force, or null before the first one was read.
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
