#pragma once

#include "primrosebridge/Config/reader.h"
#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Peers/configurationstore.h"
#include "primrosebridge/Runtime/zonescheduler.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace PrimroseBridge {

/// A submission as an entry VM receives it.
struct RoutedSubmit {
    const SubmitCall m_call;
    const std::optional<ZoneId> m_zone; ///< The caller's choice; empty to let the system choose.

    bool operator==(const RoutedSubmit &) const = default;
};

/// An event of the merged timeline.
struct MergedEvent {
    const std::string m_process;
    const TimelineEvent m_event; ///< Its time is in this process's clock.

    bool operator==(const MergedEvent &) const = default;
};

/// The timeline over all processes.
struct MergedTimeline {
    const std::vector<MergedEvent> m_events; ///< Causes before their effects, otherwise by time.
    const std::vector<std::string> m_missing; ///< Processes that did not answer.
    const std::vector<std::string> m_truncated; ///< Processes that no longer hold all events.

    bool operator==(const MergedTimeline &) const = default;
};

/// One entry VM: routes calls to the owners of zones and takes part in owning its own zone.
///
/// Thread-safe. Calls block for at most their wait and a second.
class Node
{
public:
    /// Starts every part. Unavailable if an address cannot be bound.
    static Result<std::unique_ptr<Node>> create(const ProcessSettings &settings);
    /// Stops at once; call stop() first for a planned stop.
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// Submits to the best zone's owner and waits at most @p wait. A lost owner is replaced within that time if possible. An outcome of
    /// Pending or Unknown means that the caller has to ask again. Errors as for ZoneScheduler::submit().
    Result<Outcome> submit(const RoutedSubmit &call, Duration wait);
    /// The outcome of a request in whichever zone it is; waits at most @p wait for a final one. NotFound if no zone knows it.
    Result<Outcome> get(const RequestKey &key, const OrganisationId &organisation, Duration wait);
    /// Cancels a request in whichever zone it is.
    Result<Outcome> cancel(const RequestKey &key, const OrganisationId &organisation, Duration wait);
    /// JSON text that says why the request waits or runs where it does.
    Result<std::string> explain(const RequestKey &key, const OrganisationId &organisation);

    /// The configuration in force, or null before the first.
    [[nodiscard]] std::shared_ptr<const VersionedConfiguration> configuration() const;
    /// Checks and publishes a document; returns its new version. Conflict if @p expectedVersion is not the one in force.
    Result<std::int64_t> publish(const std::string &document, std::int64_t expectedVersion);
    /// The newest stored versions, oldest first.
    Result<std::vector<StoredConfiguration>> history();
    /// One stored version; NotFound if the store no longer holds it.
    Result<StoredConfiguration> historyVersion(std::int64_t version);

    /// This VM's zone as operators see it.
    [[nodiscard]] ZoneReport zoneReport();
    /// Peers and zones as this VM knows them.
    [[nodiscard]] MembershipView membership() const;
    /// The VM that owns this VM's zone; empty if unknown.
    [[nodiscard]] std::string zoneOwner() const;
    /// Events of all reachable processes.
    [[nodiscard]] MergedTimeline timeline(Instant since, const std::string &key);
    /// Metrics in Prometheus's text format.
    [[nodiscard]] std::string metrics();
    /// Empty if callers may be sent here, else why not.
    [[nodiscard]] std::optional<std::string> whyNotReady() const;

    /// Fails the readiness check from now on; calls are still served.
    void announceStop();
    /// Hands the zone over. Call after announceStop(), when the balancer has noticed.
    void handOver();

private:
    struct Private;
    explicit Node(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
