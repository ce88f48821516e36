#include "peerstate.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Pipeline/timerservice.h"

namespace PrimroseBridge {

PeerState::PeerState(PeerSettings settings, ConfigurationHolder &configuration, EventLog &events, PeerCallbacks callbacks)
    : m_settings(std::move(settings))
    , m_configuration(configuration)
    , m_events(events)
    , m_callbacks(std::move(callbacks))
    , m_view(initialMembership(m_settings.m_vm, m_settings.m_zone))
{
}

static void recordPeer(PeerState &state, std::string_view kind, const Peer &peer)
{
    const std::initializer_list<LogField> fields = {
        {"peer", peer.m_vm.text()},
        {"zone", peer.m_zone.text()},
        {"address", peer.m_address},
        {"incarnation", std::to_string(peer.m_incarnation)},
        {"status", std::string(peerStatusName(peer.m_status))},
    };
    logEvent(LogLevel::Info, kind, fields);
    state.m_events.record(TimerService::wallClockNow(), kind, "", EventReference{"", 0}, formatFields(fields));
}

static void recordChanges(PeerState &state, const MembershipView &before, const MembershipView &after)
{
    for (const auto &[vm, peer] : after.m_peers) {
        const auto known = before.m_peers.find(vm);
        if (known == before.m_peers.end()) {
            recordPeer(state, "peer_added", peer);
        } else if (known->second.m_incarnation != peer.m_incarnation && known->second.m_incarnation != 0) {
            recordPeer(state, "peer_restarted", peer);
        } else if (known->second.m_status != peer.m_status) {
            recordPeer(state, "peer_status", peer);
        }
    }
}

void changeView(PeerState &state, const std::function<MembershipView(const MembershipView &)> &change)
{
    const auto [before, after] = state.m_view.update(change);
    recordChanges(state, *before, *after);
}

StampedHeartbeat ownHeartbeat(const PeerState &state, const ZoneId &zone, bool reply)
{
    const bool withZones = !reply || zone != state.m_settings.m_zone;
    return StampedHeartbeat{
        .m_heartbeat =
            Heartbeat{
                .m_vm = state.m_settings.m_vm,
                .m_zone = state.m_settings.m_zone,
                .m_incarnation = state.m_settings.m_incarnation,
                .m_address = state.m_settings.m_listenAddress,
                .m_configurationVersion = state.m_configuration.version(),
                .m_storeReachable = state.m_storeReachable,
                .m_stopping = state.m_stopping,
                .m_zones = withZones ? heartbeatZones(*state.m_view.get(), zone, state.m_round) : std::vector<ZoneSummary>(),
            },
        .m_sentAt = TimerService::wallClockNow(),
    };
}

static void reactTo(PeerState &state, const Heartbeat &heartbeat)
{
    const auto view = state.m_view.get();
    const auto peer = view->m_peers.find(heartbeat.m_vm);
    if (peer == view->m_peers.end()) {
        return;
    }
    if (heartbeat.m_configurationVersion > state.m_configuration.version()) {
        // If a fetch is waiting already, the next heartbeat asks again.
        state.m_fetches.tryPush(peer->second);
    }
    const bool live = peer->second.m_status == PeerStatus::Alive && peer->second.m_zone == state.m_settings.m_zone;
    if (live && heartbeat.m_storeReachable && state.m_callbacks.m_zonePeerReachesStore) {
        state.m_callbacks.m_zonePeerReachesStore();
    }
}

Result<StampedHeartbeat> acceptHeartbeat(PeerState &state, const primrosebridge::wire::HeartbeatMessage &message, Instant now)
{
    auto decoded = decodeHeartbeat(message);
    if (!decoded.ok()) {
        return decoded;
    }
    const Heartbeat &heartbeat = decoded.value().m_heartbeat;
    if (isStaleHeartbeat(*state.m_view.get(), heartbeat)) {
        return Error(ErrorKind::Conflict,
                     "heartbeat of VM " + heartbeat.m_vm.text() + " incarnation " + std::to_string(heartbeat.m_incarnation) + " is out of date",
                     "check that no two processes use the same VM name");
    }
    changeView(state, [&heartbeat, now](const MembershipView &view) { return receiveHeartbeat(view, heartbeat, now); });
    reactTo(state, heartbeat);
    return decoded;
}

} // namespace PrimroseBridge
