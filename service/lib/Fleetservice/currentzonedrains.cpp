#include "primrosebridge/Fleetservice/currentzonedrains.h"

#include <algorithm>
#include <utility>

namespace PrimroseBridge {

void CurrentZoneDrains::replace(std::set<std::string> zones, std::int64_t revision, Instant requestedAt)
{
    const std::lock_guard lock(m_mutex);
    if (m_drains && revision < m_drains->m_revision) {
        return;
    }
    m_drains = std::make_shared<const ZoneDrains>(ZoneDrains{.m_zones = std::move(zones), .m_revision = revision});
    m_confirmedAt = std::max(m_confirmedAt, requestedAt);
}

void CurrentZoneDrains::change(const std::string &zone, bool drained, std::int64_t revision)
{
    const std::lock_guard lock(m_mutex);
    if (m_drains && revision > m_drains->m_revision) {
        m_drains = std::make_shared<const ZoneDrains>(withZoneDrain(*m_drains, zone, drained, revision));
    }
}

void CurrentZoneDrains::confirm(std::int64_t revision, Instant confirmedAt)
{
    const std::lock_guard lock(m_mutex);
    // A watch that is behind a later listing confirms only what was complete before it.
    if (m_drains && revision >= m_drains->m_revision) {
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
    }
}

ZoneDrainView CurrentZoneDrains::current() const
{
    const std::lock_guard lock(m_mutex);
    return ZoneDrainView{.m_drains = m_drains, .m_confirmedAt = m_confirmedAt};
}

} // namespace PrimroseBridge
