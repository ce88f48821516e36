#include "primrosebridge/Config/fleetsettings.h"

#include "addressfield.h"
#include "document.h"
#include "objectreader.h"

#include <algorithm>
#include <array>

namespace PrimroseBridge {

// The document holds a few dozen fields.
constexpr std::size_t maxFleetSettingsBytes = 64 * 1024;
constexpr IntegerRange millisecondsRange{.m_min = 1, .m_max = 24 * 3600 * 1000};
constexpr NumberRange secondsRange{.m_min = 0.5, .m_max = 24.0 * 3600.0};
constexpr NumberRange processorRange{.m_min = 0.01, .m_max = 1024.0};
constexpr NumberRange factorRange{.m_min = 1.0, .m_max = 1000.0};

static Duration readDuration(ObjectReader &fields, std::string_view name, std::int64_t defaultValue)
{
    return Duration(fields.integer(name, millisecondsRange, defaultValue));
}

static Duration readSeconds(ObjectReader &fields, std::string_view name, double defaultValue)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(fields.number(name, secondsRange, defaultValue)));
}

static std::string readLevel(ObjectReader &fields)
{
    static constexpr std::array<std::string_view, 5> levels = {"trace", "debug", "info", "warn", "error"};
    auto level = fields.text("logLevel", "info");
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
    // The defaults are the bounds that the platform states for its smallest deployments.
    FleetSettings settings{
        .m_vm = fields.identifier<VmTag>("vm"),
        .m_zone = fields.identifier<ZoneTag>("zone"),
        .m_frontAddress = readSocketAddress(fields, "frontAddress"),
        .m_readinessAddress = readSocketAddress(fields, "readinessAddress"),
        .m_peerAddress = peerAddress,
        .m_peerListenAddress = fields.has("peerListenAddress") ? readSocketAddress(fields, "peerListenAddress") : peerAddress,
        .m_metricsAddress = readSocketAddress(fields, "metricsAddress"),
        .m_storeAddress = readSocketAddress(fields, "storeAddress"),
        .m_taskLease = readDuration(fields, "taskLeaseMs", 6000),
        .m_shortestStoreLease = readDuration(fields, "shortestStoreLeaseMs", 1000),
        .m_reclaimBound = readDuration(fields, "reclaimBoundMs", 3400),
        .m_stopBound = readDuration(fields, "stopBoundMs", 900),
        .m_shutdownBound = readSeconds(fields, "shutdownBoundS", 6.0),
        .m_processor = fields.number("processorShare", processorRange, 1.0) * fields.number("processorSpeed", processorRange, 1.0),
        .m_remoteFactor = fields.number("remoteFactor", factorRange, 3.0),
        .m_logLevel = readLevel(fields),
    };
    fields.reportUnknownMembers();
    if (!faults.empty()) {
        return faults.all();
    }
    return settings;
}

} // namespace PrimroseBridge
