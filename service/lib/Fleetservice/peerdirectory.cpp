#include "primrosebridge/Fleetservice/peerdirectory.h"

#include "primrosebridge/Http/endpoint.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace PrimroseBridge {

using Json = nlohmann::json;

std::string encodePeer(const PeerVm &peer)
{
    return Json{{"vm", peer.m_vm}, {"address", peer.m_address}, {"incarnation", peer.m_incarnation}, {"processor", peer.m_processorCores}}.dump();
}

std::optional<PeerVm> decodePeer(const std::string &text)
{
    try {
        const auto json = Json::parse(text);
        PeerVm peer{.m_vm = json.at("vm").get<std::string>(),
                    .m_address = json.at("address").get<std::string>(),
                    .m_incarnation = json.at("incarnation").get<std::string>(),
                    .m_processorCores = json.at("processor").get<double>()};
        const bool plausible = isIpEndpoint(peer.m_address) && std::isfinite(peer.m_processorCores) && peer.m_processorCores >= 0.0;
        return plausible ? std::optional(std::move(peer)) : std::nullopt;
    } catch (const Json::exception &) {
        return std::nullopt; // The caller logs the failure together with the key.
    }
}

} // namespace PrimroseBridge
