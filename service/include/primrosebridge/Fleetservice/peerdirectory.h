#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// An entry VM of the deployment.
struct PeerVm {
    const std::string m_vm;
    const std::string m_address; ///< IP address and port of its gRPC interface.
    const std::string m_incarnation; ///< Identifies one start of the VM's process.
    const double m_processorCores; ///< Processor capacity of the VM, in cores.

    bool operator==(const PeerVm &) const = default;
};

/// The VM that owns the fleet, and the fence of its ownership.
struct FleetOwnerRecord {
    const PeerVm m_vm;
    const std::int64_t m_fence;

    bool operator==(const FleetOwnerRecord &) const = default;
};

/// The owner and the entry VMs, as this VM last read them from the store. Thread-safe.
class PeerDirectory
{
public:
    void setOwner(std::optional<FleetOwnerRecord> owner)
    {
        const std::lock_guard lock(m_mutex);
        m_owner.reset();
        if (owner) {
            m_owner.emplace(*owner);
        }
    }
    [[nodiscard]] std::optional<FleetOwnerRecord> owner() const
    {
        const std::lock_guard lock(m_mutex);
        return m_owner;
    }
    void setPeer(const PeerVm &peer)
    {
        const std::lock_guard lock(m_mutex);
        m_peers.erase(peer.m_vm);
        m_peers.emplace(peer.m_vm, peer);
    }
    void removePeer(const std::string &vm)
    {
        const std::lock_guard lock(m_mutex);
        m_peers.erase(vm);
    }
    void clearPeers()
    {
        const std::lock_guard lock(m_mutex);
        m_peers.clear();
    }
    [[nodiscard]] std::vector<PeerVm> peers() const
    {
        const std::lock_guard lock(m_mutex);
        std::vector<PeerVm> all;
        for (const auto &[vm, peer] : m_peers) {
            all.push_back(peer);
        }
        return all;
    }

private:
    mutable std::mutex m_mutex;
    std::optional<FleetOwnerRecord> m_owner;
    std::map<std::string, PeerVm> m_peers;
};

/// Encodes a VM as its record in the store. Thread-safe.
std::string encodePeer(const PeerVm &peer);
/// Decodes a record written by encodePeer(). Returns an empty optional if @p text is not such a record. Thread-safe.
std::optional<PeerVm> decodePeer(const std::string &text);

} // namespace PrimroseBridge
