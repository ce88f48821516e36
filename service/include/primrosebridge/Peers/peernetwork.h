#pragma once

#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Model/request.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Observe/eventlog.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge {

class ConfigurationHolder;
class TimerService;

/// What a forwarded call asks of a zone's owner.
enum class ForwardKind {
    Submit,
    Get,
    Cancel,
    Explain,
};

/// A call that an entry VM passes on to the owner of a zone.
struct ForwardCall {
    const ForwardKind m_kind;
    const ZoneId m_zone;
    const RequestKey m_key;
    const OrganisationId m_organisation;
    const Duration m_wait;
    const std::string m_jobClass; ///< For Submit.
    const std::string m_payload; ///< For Submit.
    const Duration m_declaredRunTime; ///< For Submit; 0 for the class's own.

    bool operator==(const ForwardCall &) const = default;
};

/// The owner's answer.
struct ForwardAnswer {
    const Outcome m_outcome;
    const std::string m_explanation; ///< JSON, for Explain.

    bool operator==(const ForwardAnswer &) const = default;
};

/// Events of one process for the merged timeline.
struct ProcessEvents {
    const std::string m_vm;
    const Duration m_clockOffset; ///< Add to the process's times to get this process's clock.
    const bool m_truncated;
    const std::vector<TimelineEvent> m_events;

    bool operator==(const ProcessEvents &) const = default;
};

/// What the peer network needs from the rest of the process.
struct PeerCallbacks {
    const std::function<Result<ForwardAnswer>(const ForwardCall &)> m_answerForward; ///< Serves a call that this process owns; may block for its wait.
    const std::function<std::vector<ZoneSummary>()> m_localZones; ///< Summary of the zone if this process owns it.
    const std::function<bool()> m_storeReachable;
    const std::function<void()> m_zonePeerReachesStore; ///< Called for each heartbeat of a live zone peer that reaches the store.
};

/// Settings of the peer network.
struct PeerSettings {
    const VmId m_vm;
    const ZoneId m_zone;
    const std::int64_t m_incarnation;
    const std::string m_listenAddress; ///< IP number and port.

    bool operator==(const PeerSettings &) const = default;
};

/// gRPC server and clients between entry VMs.
///
/// Thread-safe.
class PeerNetwork
{
public:
    /// Starts the server and the heartbeats. Unavailable if the address cannot be bound or a thread cannot start; InvalidArgument if the
    /// address is no IP number and port. Port 0 chooses a free port, see address(). Precondition: @p configuration and @p events outlive the
    /// network.
    static Result<std::unique_ptr<PeerNetwork>> create(const PeerSettings &settings,
                                                       const std::shared_ptr<TimerService> &timers,
                                                       ConfigurationHolder &configuration,
                                                       EventLog &events,
                                                       PeerCallbacks callbacks);
    /// Ends calls in progress after at most one second, but waits for a m_answerForward callback that has not returned.
    /// Precondition: no other thread uses the network any more.
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// Adds a peer from settings or from the platform's list. Does nothing if it is known; an address that is no IP number and port is logged
    /// and ignored.
    void addPeer(const VmId &vm, const ZoneId &zone, const std::string &address);
    /// The current view.
    [[nodiscard]] MembershipView view() const;
    /// Passes @p call to the owner of its zone at @p address. DeadlineExceeded means that the owner may have taken it; Unavailable means that it
    /// has not. Errors of the owner keep kind, message, remedy and retry time. Blocks for the call's wait (60 s at most) and up to 3 s.
    /// An owner serves 24 forwarded calls at once and answers Unavailable beyond; only 16 of them wait, the others are answered with the
    /// present state.
    Result<ForwardAnswer> forward(const std::string &address, const ForwardCall &call);
    /// Fetches the configuration of any reachable peer that is at least as new as @p atLeast; true if one was put in force. Blocks for 7 s at
    /// most.
    bool fetchConfiguration(std::int64_t atLeast);
    /// Events of every reachable peer, and the names of those that did not answer. @p since is on this process's clock. An answer larger than
    /// 128 KiB keeps the newest events and is marked as truncated. Blocks for 1 s at most.
    std::pair<std::vector<ProcessEvents>, std::vector<std::string>> fetchEvents(Instant since, const std::string &key);
    /// Heartbeats say from now on that this process is stopping.
    void announceStop();
    /// Bytes of the heartbeats and replies sent since the start, without the framing of gRPC and TCP, for metrics.
    [[nodiscard]] std::uint64_t heartbeatBytes() const;
    /// The listen address with the port that was bound.
    [[nodiscard]] const std::string &address() const;

private:
    struct Private;
    explicit PeerNetwork(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
