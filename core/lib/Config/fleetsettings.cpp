#include "primrosebridge/Config/fleetsettings.h"

#include "addressfield.h"
#include "document.h"
#include "objectreader.h"

#include <algorithm>
#include <array>

namespace PrimroseBridge {

/// Maximum size of a settings document, which has only a few dozen fields.
constexpr std::size_t maxFleetSettingsBytes = 64 * 1024;
constexpr IntegerRange millisecondsRange{.m_min = 1, .m_max = 24 * 3600 * 1000};
constexpr NumberRange secondsRange{.m_min = 0.5, .m_max = 24.0 * 3600.0};
constexpr NumberRange processorRange{.m_min = 0.01, .m_max = 1024.0};
constexpr IntegerRange valueBytesRange{.m_min = 4096, .m_max = std::int64_t(1) << 30};
constexpr IntegerRange zoneDrainBoundRange{.m_min = 1000, .m_max = 600'000};
constexpr NumberRange factorRange{.m_min = 1.0, .m_max = 1000.0};

static Duration readMilliseconds(ObjectReader &fields, std::string_view name, std::int64_t defaultValue)
{
    return Duration(fields.readInteger(name, millisecondsRange, defaultValue));
}

static Duration readSeconds(ObjectReader &fields, std::string_view name, double defaultValue)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(fields.readNumber(name, secondsRange, defaultValue)));
}

static std::optional<Duration> readZoneDrainBound(ObjectReader &fields)
{
    return fields.hasMember("zoneDrainBoundMs") ? std::optional(Duration(fields.readInteger("zoneDrainBoundMs", zoneDrainBoundRange, 0))) : std::nullopt;
}

static std::string readLogLevel(ObjectReader &fields)
{
    static constexpr std::array<std::string_view, 5> levels = {"trace", "debug", "info", "warn", "error"};
    auto level = fields.readString("logLevel", "info");
    if (std::find(levels.begin(), levels.end(), level) == levels.end()) {
        fields.faults().add(fields.pathOf("logLevel"), "is '" + level + "'", "use trace, debug, info, warn or error");
    }
    return level;
}

FleetSettingsOrFaults readFleetSettings(std::string_view document)
{
    FaultList faults;
    const auto root = parseDocument(document, maxFleetSettingsBytes, faults);
    if (!root) {
        return faults.all();
    }
    ObjectReader fields(*root, "", faults);
    const auto peerAddress = readSocketAddress(fields, "peerAddress");
    // The defaults are the bounds that the platform guarantees for its smallest deployments.
    FleetSettings settings{
        .m_vm = fields.readIdentifier<VmTag>("vm"),
        .m_zone = fields.readIdentifier<ZoneTag>("zone"),
        .m_frontAddress = readSocketAddress(fields, "frontAddress"),
        .m_readinessAddress = readSocketAddress(fields, "readinessAddress"),
        .m_peerAddress = peerAddress,
        .m_peerListenAddress = fields.hasMember("peerListenAddress") ? readSocketAddress(fields, "peerListenAddress") : peerAddress,
        .m_metricsAddress = readSocketAddress(fields, "metricsAddress"),
        .m_storeAddress = readSocketAddress(fields, "storeAddress"),
        .m_taskLease = readMilliseconds(fields, "taskLeaseMs", 6000),
        .m_shortestStoreLease = readMilliseconds(fields, "shortestStoreLeaseMs", 1000),
        .m_reclaimBound = readMilliseconds(fields, "reclaimBoundMs", 3400),
        .m_stopBound = readMilliseconds(fields, "stopBoundMs", 900),
        .m_shutdownBound = readSeconds(fields, "shutdownBoundS", 6.0),
        .m_processorCores = fields.readNumber("processorShare", processorRange, 1.0) * fields.readNumber("processorSpeed", processorRange, 1.0),
        .m_remoteFactor = fields.readNumber("remoteFactor", factorRange, 3.0),
        .m_logLevel = readLogLevel(fields),
        .m_maxValueBytes = static_cast<std::size_t>(fields.readInteger("storeValueBytes", valueBytesRange, 1024 * 1024)),
        .m_callDelayBound = readMilliseconds(fields, "callDelayBoundMs", 12'000),
        .m_zoneDrainBound = readZoneDrainBound(fields),
    };
    fields.reportUnknownMembers();
    if (!faults.empty()) {
        return faults.all();
    }
    return settings;
}

} // namespace PrimroseBridge
