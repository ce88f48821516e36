#include "primrosebridge/Config/address.h"
#include "primrosebridge/Config/reader.h"

#include "addressfield.h"
#include "document.h"
#include "limits.h"
#include "objectreader.h"

#include <algorithm>
#include <array>
#include <set>

namespace PrimroseBridge {

/// Maximum size of a settings document, which has a few fields and one entry for each peer.
constexpr std::size_t maxSettingsBytes = 256 * 1024;

struct Endpoint {
    const std::string m_host;
    const std::uint16_t m_port;

    bool operator==(const Endpoint &) const = default;
};

static Endpoint readEndpoint(ObjectReader &parent, std::string_view name, std::int64_t defaultPort)
{
    if (!parent.hasMember(name)) {
        parent.readObject(name); // Adds the name to the known fields.
        return {"127.0.0.1", static_cast<std::uint16_t>(defaultPort)};
    }
    auto fields = parent.readObject(name);
    const auto host = fields.readString("host", "127.0.0.1");
    if (!isIpAddress(host)) {
        fields.faults().add(
            fields.pathOf("host"), "is " + quoteTruncated(host) + ", not an IP address", "use a form such as 10.0.1.7 or fd00::7; host names are not resolved");
    }
    const auto port = static_cast<std::uint16_t>(fields.readInteger("port", portRange, defaultPort));
    fields.reportUnknownMembers();
    return {host, port};
}

static PeerAddress readPeer(ObjectReader &fields)
{
    return {fields.readIdentifier<VmTag>("vm").text(), fields.readIdentifier<ZoneTag>("zone").text(), readSocketAddress(fields, "address")};
}

static std::vector<PeerAddress> readPeers(ObjectReader &parent, const VmId &ownVm)
{
    std::vector<PeerAddress> peers;
    std::set<std::string> seen{ownVm.text()};
    const auto path = parent.pathOf("peers");
    const auto &nodes = parent.readArray("peers", maxPeers);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        ObjectReader fields(nodes[i], joinPath(path, i), parent.faults());
        peers.push_back(readPeer(fields));
        fields.reportUnknownMembers();
        const auto vmPath = fields.pathOf("vm");
        if (!seen.insert(peers.back().m_vm).second && !parent.faults().hasRelatedFault(vmPath)) {
            parent.faults().add(vmPath, "is " + quoteTruncated(peers.back().m_vm) + ", which is this VM or an earlier peer", "list each other VM once");
        }
    }
    return peers;
}

static std::string readLogLevel(ObjectReader &fields)
{
    static constexpr std::array<std::string_view, 5> levels = {"trace", "debug", "info", "warn", "error"};
    auto level = fields.readString("logLevel", "info");
    if (std::find(levels.begin(), levels.end(), level) == levels.end()) {
        fields.faults().add(fields.pathOf("logLevel"), "is " + quoteTruncated(level), "use trace, debug, info, warn or error");
    }
    return level;
}

static ProcessSettings readSettings(ObjectReader &fields)
{
    const auto vm = fields.readIdentifier<VmTag>("vm");
    const auto zone = fields.readIdentifier<ZoneTag>("zone");
    const auto httpAddress = readSocketAddress(fields, "httpAddress", "127.0.0.1:8080");
    const auto peerAddress = readSocketAddress(fields, "peerAddress", "127.0.0.1:9090");
    if (httpAddress == peerAddress) {
        fields.faults().add(fields.pathOf("peerAddress"), "is " + quoteTruncated(peerAddress) + ", the same as httpAddress", "use another port");
    }
    const auto store = readEndpoint(fields, "store", 2379);
    const auto vmList = readEndpoint(fields, "vmList", 2380);
    return {vm,
            zone,
            httpAddress,
            peerAddress,
            store.m_host,
            store.m_port,
            vmList.m_host,
            vmList.m_port,
            readPeers(fields, vm),
            readLogLevel(fields),
            static_cast<int>(fields.readInteger("httpThreads", httpThreadsRange, 32))};
}

SettingsOrFaults readProcessSettings(std::string_view document)
{
    FaultList faults;
    const auto root = parseDocument(document, maxSettingsBytes, faults);
    if (!root) {
        return faults.all();
    }
    ObjectReader fields(*root, "", faults);
    const auto settings = readSettings(fields);
    fields.reportUnknownMembers();
    if (!faults.empty()) {
        return faults.all();
    }
    return settings;
}

} // namespace PrimroseBridge
