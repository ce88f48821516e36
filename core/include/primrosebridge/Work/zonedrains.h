#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace PrimroseBridge {

/// The availability zones that the operator has asked to drain. Nothing may be started on their workers; what runs there goes on.
struct ZoneDrains {
    const std::set<std::string> m_zones;
    const std::int64_t m_revision; ///< Store revision up to which m_zones is complete.

    bool operator==(const ZoneDrains &) const = default;
};

using ZoneDrainsPointer = std::shared_ptr<const ZoneDrains>;

/// Returns @p drains with @p zone added or, unless @p drained is set, removed, as of @p revision. Thread-safe.
ZoneDrains withZoneDrain(const ZoneDrains &drains, const std::string &zone, bool drained, std::int64_t revision);

/// Returns true if the operator has asked to drain @p zone. Thread-safe.
bool isZoneDrained(const ZoneDrains &drains, const std::string &zone);

} // namespace PrimroseBridge
