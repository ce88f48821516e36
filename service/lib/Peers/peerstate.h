#pragma once

#include "callregistry.h"
#include "connectioncache.h"

#include "primrosebridge/Membership/clockoffset.h"
#include "primrosebridge/Peers/peernetwork.h"
#include "primrosebridge/Pipeline/boundedqueue.h"
#include "primrosebridge/Wire/heartbeat.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>

namespace PrimroseBridge {

/// The membership view of this process, replaced as a whole.
///
/// Thread-safe.
class ViewCell
{
public:
    explicit ViewCell(const MembershipView &view)
        : m_view(std::make_shared<const MembershipView>(view))
    {
    }
    [[nodiscard]] std::shared_ptr<const MembershipView> get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_view;
    }
    /// Replaces the view by change(view) and returns the view before and after. Precondition: @p change does not use this cell.
    std::pair<std::shared_ptr<const MembershipView>, std::shared_ptr<const MembershipView>>
    update(const std::function<MembershipView(const MembershipView &)> &change)
    {
        const std::lock_guard lock(m_mutex);
        auto before = m_view;
        m_view = std::make_shared<const MembershipView>(change(*before));
        return {std::move(before), m_view};
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const MembershipView> m_view;
};

/// What the stages of the peer network share. Each member is thread-safe on its own.
struct PeerState {
    PeerState(PeerSettings settings, ConfigurationHolder &configuration, EventLog &events, PeerCallbacks callbacks);

    const PeerSettings m_settings; ///< With the port that was bound.
    ConfigurationHolder &m_configuration;
    EventLog &m_events;
    const PeerCallbacks m_callbacks;
    ViewCell m_view;
    ShardedMap<VmId, ClockOffset> m_clocks;
    ConnectionCache m_connections;
    CallRegistry m_calls;
    BoundedQueue<Peer> m_fetches{1}; ///< The peer to fetch a newer configuration from; one at a time.
    std::atomic<std::int64_t> m_round = 0;
    std::atomic<std::uint64_t> m_heartbeatBytes = 0;
    std::atomic<bool> m_storeReachable = false;
    std::atomic<bool> m_stopping = false;
};

/// Replaces the view and records what changed in the timeline and the log.
void changeView(PeerState &state, const std::function<MembershipView(const MembershipView &)> &change);

/// The heartbeat of this process to a peer of @p zone. @p reply says that it answers a heartbeat: within a zone a reply carries no summaries,
/// because both sides also send heartbeats.
StampedHeartbeat ownHeartbeat(const PeerState &state, const ZoneId &zone, bool reply);

/// Takes in what a peer sent. InvalidArgument if it cannot be decoded, Conflict if it comes from a replaced incarnation or from this VM's name.
Result<StampedHeartbeat> acceptHeartbeat(PeerState &state, const primrosebridge::wire::HeartbeatMessage &message, Instant now);

} // namespace PrimroseBridge
