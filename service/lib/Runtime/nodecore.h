#pragma once

#include "primrosebridge/Election/zoneelection.h"
#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Observe/metrics.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Peers/configurationwatch.h"
#include "primrosebridge/Peers/peernetwork.h"
#include "primrosebridge/Pipeline/boundedqueue.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Runtime/node.h"
#include "primrosebridge/Runtime/zonescheduler.h"
#include "primrosebridge/Store/storeclient.h"

#include <atomic>
#include <thread>

namespace PrimroseBridge {

constexpr std::size_t eventLogCapacity = 8000; // About 2 MB of the process's 32 MB.
constexpr Duration routingPatience = Duration(5000); // Longer than an owner's replacement takes.
constexpr Duration routingPause = Duration(150);

/// Everything that one entry VM's process consists of. Parts are destroyed in reverse order.
struct NodeCore {
    NodeCore(const ProcessSettings &settings, std::int64_t incarnation);

    const ProcessSettings m_settings;
    const std::int64_t m_incarnation;
    EventLog m_events;
    Metrics m_metrics;
    ConfigurationHolder m_configuration;
    std::atomic<bool> m_stopping = false;
    std::shared_ptr<TimerService> m_timers;
    std::shared_ptr<StoreClient> m_store;
    std::unique_ptr<ZoneScheduler> m_scheduler;
    std::unique_ptr<ZoneElection> m_election;
    std::atomic<ZoneElection *> m_runningElection = nullptr; ///< For the scheduler's stages, which run before the election is there.
    std::unique_ptr<PeerNetwork> m_peers;
    std::unique_ptr<ConfigurationWatch> m_watch;
};

/// Serves a call that this process owns the zone of; another zone's earlier acceptance is followed to that zone. Thread-safe.
Result<ForwardAnswer> answerLocally(NodeCore &core, const ForwardCall &call);

/// Passes the call to the owner of its zone, wherever it is. Thread-safe.
Result<ForwardAnswer> callOwner(NodeCore &core, const ForwardCall &call);

/// Repeats callOwner() while the zone has no owner that answers, for at most the call's wait or the routing patience. Thread-safe.
Result<ForwardAnswer> callOwnerPatiently(NodeCore &core, const ForwardCall &call);

/// Submits to the best zone that takes the request. Thread-safe.
Result<Outcome> routeSubmit(NodeCore &core, const RoutedSubmit &call, Duration wait);

/// Finds the zone that knows the key and passes the call to its owner. Thread-safe.
Result<ForwardAnswer> routeToKey(NodeCore &core, ForwardKind kind, const RequestKey &key, const OrganisationId &organisation, Duration wait);

} // namespace PrimroseBridge
