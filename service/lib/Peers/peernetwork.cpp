#include "primrosebridge/Peers/peernetwork.h"

#include "configurationfetch.h"
#include "eventsfetch.h"
#include "forwardclient.h"
#include "heartbeatstage.h"
#include "limits.h"
#include "peerserver.h"
#include "peerstate.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Wire/address.h"

#include <algorithm>
#include <mutex>
#include <system_error>

namespace PrimroseBridge {

// Passes changes of the configuration on while the network exists; the subscription to the holder itself cannot be ended.
struct ConfigurationListener {
    std::mutex m_mutex;
    HeartbeatStage *m_heartbeats = nullptr;
};

// The members are destroyed from the last to the first: each uses those before it.
struct PeerNetwork::Private {
    Private(const PeerSettings &settings, ConfigurationHolder &configuration, EventLog &events, PeerCallbacks callbacks)
        : m_state(settings, configuration, events, std::move(callbacks))
    {
    }
    PeerState m_state;
    std::unique_ptr<ConfigurationFetchStage> m_fetches;
    std::unique_ptr<HeartbeatStage> m_heartbeats;
    std::shared_ptr<PeerServer> m_server;
    std::unique_ptr<TimerSubscription> m_timer;
    std::shared_ptr<ConfigurationListener> m_listener;
};

static PeerSettings withAddress(const PeerSettings &settings, const std::string &address)
{
    return PeerSettings{settings.m_vm, settings.m_zone, settings.m_incarnation, address};
}

// Peers learn of a new version at once instead of after up to one period for each hop.
static void announceConfiguration(ConfigurationListener &listener)
{
    const std::lock_guard lock(listener.m_mutex);
    if (listener.m_heartbeats) {
        listener.m_heartbeats->requestRound();
    }
}

static std::shared_ptr<ConfigurationListener> listenTo(ConfigurationHolder &configuration, HeartbeatStage &heartbeats)
{
    auto listener = std::make_shared<ConfigurationListener>();
    listener->m_heartbeats = &heartbeats;
    configuration.subscribe([listener](const VersionedConfiguration &) { announceConfiguration(*listener); });
    return listener;
}

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::create(
    const PeerSettings &settings, const std::shared_ptr<TimerService> &timers, ConfigurationHolder &configuration, EventLog &events, PeerCallbacks callbacks)
{
    if (settings.m_incarnation <= 0) {
        return Error(ErrorKind::InvalidArgument, "the incarnation is not positive", "use the start time of the process in milliseconds");
    }
    const auto server = PeerServer::create(settings.m_listenAddress);
    if (!server.ok()) {
        return server.error();
    }
    auto state = std::make_unique<Private>(withAddress(settings, server.value()->address()), configuration, events, std::move(callbacks));
    try {
        state->m_fetches = std::make_unique<ConfigurationFetchStage>(state->m_state);
        state->m_heartbeats = std::make_unique<HeartbeatStage>(state->m_state);
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("a thread cannot start: ") + error.what(), "raise the limit of threads for this process");
    }
    auto *heartbeats = state->m_heartbeats.get();
    state->m_server = server.value();
    state->m_server->serve(state->m_state);
    state->m_listener = listenTo(configuration, *heartbeats);
    state->m_timer = timers->subscribe(heartbeatPeriod, [heartbeats](Instant) { heartbeats->requestRound(); });
    return std::unique_ptr<PeerNetwork>(new PeerNetwork(std::move(state)));
}

PeerNetwork::PeerNetwork(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

PeerNetwork::~PeerNetwork()
{
    m_private->m_timer.reset();
    {
        const std::lock_guard lock(m_private->m_listener->m_mutex);
        m_private->m_listener->m_heartbeats = nullptr;
    }
    m_private->m_state.m_calls.cancelAll();
}

void PeerNetwork::addPeer(const VmId &vm, const ZoneId &zone, const std::string &address)
{
    const auto checked = checkAddress("peer address", address);
    if (!checked.ok()) {
        logEvent(LogLevel::Warn, "peer_refused", {{"peer", vm.text()}, {"reason", checked.error().what()}});
        return;
    }
    const auto known = m_private->m_state.m_view.get();
    if (known->m_peers.contains(vm)) {
        return;
    }
    const Instant now = TimerService::wallClockNow();
    changeView(m_private->m_state, [&](const MembershipView &view) { return addKnownPeer(view, vm, zone, address, now); });
    // A new process is known to its peers without waiting for the next period.
    m_private->m_heartbeats->requestRound();
}

MembershipView PeerNetwork::view() const
{
    return *m_private->m_state.m_view.get();
}

Result<ForwardAnswer> PeerNetwork::forward(const std::string &address, const ForwardCall &call)
{
    return forwardTo(m_private->m_state, address, call);
}

// Live peers first, among them those with the newest configuration.
static std::vector<Peer> peersToAsk(const MembershipView &view)
{
    std::vector<const Peer *> order;
    for (const auto &[vm, peer] : view.m_peers) {
        if (peer.m_status != PeerStatus::Removed) {
            order.push_back(&peer);
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const Peer *left, const Peer *right) {
        const auto rank = [](const Peer *peer) { return std::pair(peer->m_status != PeerStatus::Suspected, peer->m_configurationVersion); };
        return rank(left) > rank(right);
    });
    std::vector<Peer> peers;
    peers.reserve(order.size());
    for (const Peer *peer : order) {
        peers.push_back(*peer);
    }
    return peers;
}

bool PeerNetwork::fetchConfiguration(std::int64_t atLeast)
{
    PeerState &state = m_private->m_state;
    const auto deadline = std::chrono::steady_clock::now() + fetchAllDeadline;
    for (const auto &peer : peersToAsk(*state.m_view.get())) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        const auto fetched = fetchConfigurationFrom(state, peer.m_address, atLeast);
        if (fetched.ok() && fetched.value()) {
            return true;
        }
        if (!fetched.ok()) {
            logEvent(LogLevel::Debug, "configuration_fetch_failed", {{"peer", peer.m_vm.text()}, {"reason", fetched.error().what()}});
        }
    }
    return false;
}

std::pair<std::vector<ProcessEvents>, std::vector<std::string>> PeerNetwork::fetchEvents(Instant since, const std::string &key)
{
    return fetchEventsOfPeers(m_private->m_state, since, key);
}

void PeerNetwork::announceStop()
{
    m_private->m_state.m_stopping = true;
    m_private->m_heartbeats->requestRound();
}

std::uint64_t PeerNetwork::heartbeatBytes() const
{
    return m_private->m_state.m_heartbeatBytes;
}

const std::string &PeerNetwork::address() const
{
    return m_private->m_state.m_settings.m_listenAddress;
}

} // namespace PrimroseBridge
