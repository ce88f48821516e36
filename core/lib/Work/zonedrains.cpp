#include "primrosebridge/Work/zonedrains.h"

#include <utility>

namespace PrimroseBridge {

ZoneDrains withZoneDrain(const ZoneDrains &drains, const std::string &zone, bool drained, std::int64_t revision)
{
    auto zones = drains.m_zones;
    if (drained) {
        zones.insert(zone);
    } else {
        zones.erase(zone);
    }
    return ZoneDrains{.m_zones = std::move(zones), .m_revision = revision};
}

bool isZoneDrained(const ZoneDrains &drains, const std::string &zone)
{
    return drains.m_zones.contains(zone);
}

} // namespace PrimroseBridge
