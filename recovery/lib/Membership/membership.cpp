#include "primrosebridge/Membership/membership.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace PrimroseBridge {

std::string_view peerStatusName(PeerStatus status)
{
    switch (status) {
    case PeerStatus::Alive:
        return "alive";
    case PeerStatus::Suspected:
        return "suspected";
    case PeerStatus::Stopping:
        return "stopping";
    case PeerStatus::Removed:
        return "removed";
    }
    assert(false && "every peer status has a name");
    return "removed";
}

static MembershipView withPeers(const MembershipView &view, std::map<VmId, Peer> peers)
{
    return MembershipView{view.m_self, view.m_selfZone, std::move(peers), view.m_zones};
}

static MembershipView withPeer(const MembershipView &view, const Peer &peer)
{
    auto peers = view.m_peers;
    peers.erase(peer.m_vm);
    peers.emplace(peer.m_vm, peer);
    return withPeers(view, std::move(peers));
}

static const Peer *findPeer(const MembershipView &view, const VmId &vm)
{
    const auto found = view.m_peers.find(vm);
    return found == view.m_peers.end() ? nullptr : &found->second;
}

MembershipView initialMembership(const VmId &self, const ZoneId &selfZone)
{
    return MembershipView{self, selfZone, {}, {}};
}

MembershipView addKnownPeer(const MembershipView &view, const VmId &vm, const ZoneId &zone, const std::string &address, Instant now)
{
    if (vm == view.m_self || findPeer(view, vm) || view.m_peers.size() >= maxPeers) {
        return view;
    }
    return withPeer(view,
                    Peer{
                        .m_vm = vm,
                        .m_zone = zone,
                        .m_address = address,
                        .m_incarnation = 0,
                        .m_status = PeerStatus::Suspected,
                        .m_configurationVersion = 0,
                        .m_storeReachable = false,
                        .m_heardAt = now,
                    });
}

bool isStaleHeartbeat(const MembershipView &view, const Heartbeat &heartbeat)
{
    if (heartbeat.m_vm == view.m_self) {
        return true;
    }
    const Peer *known = findPeer(view, heartbeat.m_vm);
    return known && heartbeat.m_incarnation < known->m_incarnation;
}

static Peer peerAfter(const Peer *known, const Heartbeat &heartbeat, Instant now)
{
    const bool sameIncarnation = known && known->m_incarnation == heartbeat.m_incarnation;
    const bool stopping = heartbeat.m_stopping || (sameIncarnation && known->m_status == PeerStatus::Stopping);
    return Peer{
        .m_vm = heartbeat.m_vm,
        .m_zone = heartbeat.m_zone,
        .m_address = heartbeat.m_address,
        .m_incarnation = heartbeat.m_incarnation,
        .m_status = stopping ? PeerStatus::Stopping : PeerStatus::Alive,
        .m_configurationVersion
        = sameIncarnation ? std::max(known->m_configurationVersion, heartbeat.m_configurationVersion) : heartbeat.m_configurationVersion,
        .m_storeReachable = heartbeat.m_storeReachable,
        .m_heardAt = now,
    };
}

MembershipView receiveHeartbeat(const MembershipView &view, const Heartbeat &heartbeat, Instant now)
{
    const Peer *known = findPeer(view, heartbeat.m_vm);
    const bool full = !known && view.m_peers.size() >= maxPeers;
    if (full || isStaleHeartbeat(view, heartbeat)) {
        return view;
    }
    return mergeZoneSummaries(withPeer(view, peerAfter(known, heartbeat, now)), heartbeat.m_zones);
}

static bool isNewer(const ZoneSummary &candidate, const ZoneSummary &known)
{
    return std::tie(candidate.m_fence, candidate.m_sequence) > std::tie(known.m_fence, known.m_sequence);
}

MembershipView mergeZoneSummaries(const MembershipView &view, const std::vector<ZoneSummary> &zones)
{
    auto merged = view.m_zones;
    for (const auto &summary : zones) {
        const auto known = merged.find(summary.m_zone);
        if (known == merged.end() && merged.size() < maxZones) {
            merged.emplace(summary.m_zone, summary);
        } else if (known != merged.end() && isNewer(summary, known->second)) {
            merged.erase(known);
            merged.emplace(summary.m_zone, summary);
        }
    }
    return MembershipView{view.m_self, view.m_selfZone, view.m_peers, std::move(merged)};
}

// Seconds between two heartbeats that this process sends to a peer: in another zone they go to one peer after the other.
static std::map<ZoneId, int> heartbeatIntervals(const MembershipView &view)
{
    std::map<ZoneId, int> intervals;
    for (const auto &[vm, peer] : view.m_peers) {
        if (peer.m_zone != view.m_selfZone && peer.m_status != PeerStatus::Removed) {
            ++intervals[peer.m_zone];
        }
    }
    return intervals;
}

static PeerStatus statusAfterSilence(PeerStatus status, Duration silence, int interval)
{
    if (silence >= removeAfter * interval) {
        return PeerStatus::Removed;
    }
    // A peer that announced its stop is expected to fall silent.
    if (silence >= suspectAfter * interval && status == PeerStatus::Alive) {
        return PeerStatus::Suspected;
    }
    return status;
}

static Peer peerAt(const Peer &peer, Instant now, int interval)
{
    // A clock that was set back must not keep a silent peer alive until it has caught up.
    const Instant heardAt = std::min(peer.m_heardAt, now);
    return Peer{
        .m_vm = peer.m_vm,
        .m_zone = peer.m_zone,
        .m_address = peer.m_address,
        .m_incarnation = peer.m_incarnation,
        .m_status = statusAfterSilence(peer.m_status, now - heardAt, interval),
        .m_configurationVersion = peer.m_configurationVersion,
        .m_storeReachable = peer.m_storeReachable,
        .m_heardAt = heardAt,
    };
}

static bool zoneIsLive(const MembershipView &view, const ZoneId &zone)
{
    return zone == view.m_selfZone || std::any_of(view.m_peers.begin(), view.m_peers.end(), [&zone](const auto &entry) {
               return entry.second.m_zone == zone && entry.second.m_status == PeerStatus::Alive;
           });
}

MembershipView advanceMembership(const MembershipView &view, Instant now)
{
    const auto intervals = heartbeatIntervals(view);
    std::map<VmId, Peer> peers;
    for (const auto &[vm, peer] : view.m_peers) {
        const auto interval = intervals.find(peer.m_zone);
        // The last known peers of a silent zone are kept: without them the zone could never be found again.
        if (now - peer.m_heardAt < forgetAfter || !zoneIsLive(view, peer.m_zone)) {
            peers.emplace(vm, peerAt(peer, now, interval == intervals.end() ? 1 : interval->second));
        }
    }
    return withPeers(view, std::move(peers));
}

using ZonePeers = std::vector<const Peer *>;

static std::map<ZoneId, ZonePeers> peersByZone(const MembershipView &view)
{
    std::map<ZoneId, ZonePeers> zones;
    for (const auto &[vm, peer] : view.m_peers) {
        zones[peer.m_zone].push_back(&peer);
    }
    return zones;
}

static ZonePeers select(const ZonePeers &peers, bool alive)
{
    ZonePeers selected;
    std::copy_if(
        peers.begin(), peers.end(), std::back_inserter(selected), [alive](const Peer *peer) { return (peer->m_status == PeerStatus::Alive) == alive; });
    return selected;
}

static const Peer *inTurn(const ZonePeers &peers, std::int64_t turn)
{
    return peers[static_cast<std::size_t>(turn) % peers.size()];
}

// Precondition: peers is not empty.
static const Peer *targetInZone(const ZonePeers &peers, std::int64_t round)
{
    constexpr std::int64_t searchPeriod = 4;
    const auto alive = select(peers, true);
    const auto others = select(peers, false);
    if (alive.empty()) {
        return inTurn(others, round);
    }
    if (others.empty()) {
        return inTurn(alive, round);
    }
    // The rounds without a search are counted separately: otherwise the turn of some peers would always fall on a search.
    const std::int64_t searches = round / searchPeriod;
    return round % searchPeriod == searchPeriod - 1 ? inTurn(others, searches) : inTurn(alive, round - searches);
}

std::vector<Peer> heartbeatTargets(const MembershipView &view, std::int64_t round)
{
    assert(round >= 0 && "rounds are counted from 0");
    std::vector<Peer> targets;
    for (const auto &[zone, peers] : peersByZone(view)) {
        if (zone != view.m_selfZone) {
            targets.push_back(*targetInZone(peers, round));
            continue;
        }
        for (const Peer *peer : peers) {
            targets.push_back(*peer);
        }
    }
    return targets;
}

std::vector<ZoneSummary> heartbeatZones(const MembershipView &view, const ZoneId &zone, std::int64_t round)
{
    assert(round >= 0 && "rounds are counted from 0");
    std::vector<ZoneSummary> chosen;
    std::vector<const ZoneSummary *> others;
    for (const auto &[id, summary] : view.m_zones) {
        if (id == view.m_selfZone) {
            chosen.push_back(summary);
        } else if (id != zone) {
            others.push_back(&summary);
        }
    }
    if (!others.empty()) {
        chosen.push_back(*others[static_cast<std::size_t>(round) % others.size()]);
    }
    return chosen;
}

static bool isLiveZonePeer(const MembershipView &view, const Peer &peer)
{
    return peer.m_zone == view.m_selfZone && peer.m_status == PeerStatus::Alive;
}

bool isStoreWatcher(const MembershipView &view)
{
    constexpr std::ptrdiff_t watchersPerZone = 2;
    const auto before = std::count_if(
        view.m_peers.begin(), view.m_peers.end(), [&view](const auto &entry) { return isLiveZonePeer(view, entry.second) && entry.first < view.m_self; });
    return before < watchersPerZone;
}

bool zonePeerReachesStore(const MembershipView &view)
{
    return std::any_of(
        view.m_peers.begin(), view.m_peers.end(), [&view](const auto &entry) { return isLiveZonePeer(view, entry.second) && entry.second.m_storeReachable; });
}

std::optional<Peer> peerWithNewerConfiguration(const MembershipView &view, std::int64_t version)
{
    const Peer *newest = nullptr;
    for (const auto &[vm, peer] : view.m_peers) {
        const bool live = peer.m_status == PeerStatus::Alive || peer.m_status == PeerStatus::Stopping;
        const std::int64_t highest = newest ? newest->m_configurationVersion : version;
        if (live && peer.m_configurationVersion > highest) {
            newest = &peer;
        }
    }
    return newest ? std::optional<Peer>(*newest) : std::nullopt;
}

} // namespace PrimroseBridge
