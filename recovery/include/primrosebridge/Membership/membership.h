#pragma once

#include "primrosebridge/Model/id.h"
#include "primrosebridge/Model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Silence after which a peer is suspected: three heartbeats.
constexpr Duration suspectAfter = Duration(3000);
/// Silence after which a peer is removed: one task lease.
constexpr Duration removeAfter = Duration(10000);
/// Silence after which a removed peer is forgotten. Contact between regions is lost for minutes, so peers must stay known for longer than that.
constexpr Duration forgetAfter = std::chrono::hours(1);
/// Most peers and zones in a view. The design is for about 60 entry VMs in 7 zones; the limits bound what a faulty peer can add.
constexpr std::size_t maxPeers = 512;
constexpr std::size_t maxZones = 64;

/// What this process believes of a peer.
enum class PeerStatus {
    Alive,
    Suspected, ///< Three heartbeats missing; not chosen for new requests.
    Stopping, ///< Announced a planned stop.
    Removed, ///< Silent for one task lease, or replaced by a higher incarnation.
};

/// The name in lower_snake_case. Thread-safe.
std::string_view peerStatusName(PeerStatus status);

/// What is known of one zone, from its owner or at second hand.
struct ZoneSummary {
    const ZoneId m_zone;
    const std::string m_owner; ///< VM; empty if unknown.
    const std::string m_ownerAddress;
    const std::int64_t m_fence;
    const std::int64_t m_sequence; ///< The higher (fence, sequence) is the newer summary.
    const int m_freeAccelerators;
    const int m_queued;

    bool operator==(const ZoneSummary &) const = default;
};

/// One heartbeat as received.
struct Heartbeat {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::int64_t m_incarnation;
    const std::string m_address;
    const std::int64_t m_configurationVersion;
    const bool m_storeReachable;
    const bool m_stopping;
    const std::vector<ZoneSummary> m_zones;

    bool operator==(const Heartbeat &) const = default;
};

/// A peer as this process knows it.
struct Peer {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::string m_address;
    const std::int64_t m_incarnation; ///< 0 until the first heartbeat.
    const PeerStatus m_status;
    const std::int64_t m_configurationVersion;
    const bool m_storeReachable;
    const Instant m_heardAt;

    bool operator==(const Peer &) const = default;
};

/// All peers and zones known to one process.
struct MembershipView {
    const VmId m_self;
    const ZoneId m_selfZone;
    const std::map<VmId, Peer> m_peers; ///< Without the process itself.
    const std::map<ZoneId, ZoneSummary> m_zones;

    bool operator==(const MembershipView &) const = default;
};

/// A view without peers. Thread-safe.
MembershipView initialMembership(const VmId &self, const ZoneId &selfZone);

/// The view with a peer learned from settings or from the platform's list; a peer that is known already keeps its state.
/// The peer counts as suspected until its first heartbeat. The process itself is never added. Thread-safe.
MembershipView addKnownPeer(const MembershipView &view, const VmId &vm, const ZoneId &zone, const std::string &address, Instant now);

/// True if @p heartbeat comes from this process's own name or from an incarnation that has been replaced. Thread-safe.
bool isStaleHeartbeat(const MembershipView &view, const Heartbeat &heartbeat);

/// The view after a heartbeat. Heartbeats of lower incarnations are ignored. A removed peer that is heard again is alive, and within one
/// incarnation a configuration version never falls and a planned stop is never taken back, because messages can arrive out of order.
/// Thread-safe.
MembershipView receiveHeartbeat(const MembershipView &view, const Heartbeat &heartbeat, Instant now);

/// The view with those of @p zones that are newer than the summaries it has. Thread-safe.
MembershipView mergeZoneSummaries(const MembershipView &view, const std::vector<ZoneSummary> &zones);

/// The view after time has passed: suspicion after 3 s of silence, removal after 10 s. In another zone, whose peers are contacted in turn, both
/// times are multiplied by the number of its peers that are not removed, so that they still stand for lost messages. A removed peer is forgotten after one hour
/// if its zone has another live member. Thread-safe.
MembershipView advanceMembership(const MembershipView &view, Instant now);

/// The peers that the next heartbeat goes to: all of the own zone, and one of each other zone, chosen in turn by @p round. Removed peers of the
/// own zone are included, so that both sides of a partition find each other again. In another zone the live peers take turns; if it has
/// others, every fourth round goes to one of those, removed ones included. Thread-safe.
std::vector<Peer> heartbeatTargets(const MembershipView &view, std::int64_t round);

/// The summaries that a heartbeat of this round carries to a peer of @p zone: the own zone's and, in turn by @p round, one other. A peer
/// hears the other zones from their own members, so the second-hand summary only bridges links that are cut. Thread-safe.
std::vector<ZoneSummary> heartbeatZones(const MembershipView &view, const ZoneId &zone, std::int64_t round);

/// True if this process is one of the two of its zone that watch the store: the first two by name of the process itself and the live peers
/// that have sent a heartbeat. Thread-safe.
bool isStoreWatcher(const MembershipView &view);

/// True if a live peer of the own zone reported that it reaches the store. Thread-safe.
bool zonePeerReachesStore(const MembershipView &view);

/// The live peer with the highest configuration version above @p version, if any. Thread-safe.
std::optional<Peer> peerWithNewerConfiguration(const MembershipView &view, std::int64_t version);

} // namespace PrimroseBridge
