#pragma once

#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Peers/peernetwork.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// Settings of a node on a free loopback port.
PeerSettings testSettings(const std::string &vm, const std::string &zone, std::int64_t incarnation = 1000);

/// Callbacks of a process that owns nothing.
PeerCallbacks idleCallbacks();

/// One entry VM of a test.
struct TestNode {
    explicit TestNode(const PeerSettings &settings, PeerCallbacks callbacks = idleCallbacks());

    ConfigurationHolder m_configuration;
    EventLog m_events;
    std::shared_ptr<TimerService> m_timers;
    Result<std::unique_ptr<PeerNetwork>> m_created;

    [[nodiscard]] PeerNetwork &network() const
    {
        return *m_created.value();
    }
    void knows(const TestNode &other) const;

    const PeerSettings m_settings;
};

/// A call for the request `key` of organisation `org`.
ForwardCall testCall(ForwardKind kind, Duration wait = Duration(0));

/// The configuration document of Zwolle with this version.
const std::string &testDocument(std::int64_t version);

/// Waits until @p condition holds; false after @p timeout.
bool eventually(Duration timeout, const std::function<bool()> &condition);

/// The status of peer @p vm in the view of @p node; Removed if it is not known.
PeerStatus statusAt(const TestNode &node, const std::string &vm);

} // namespace PrimroseBridge
