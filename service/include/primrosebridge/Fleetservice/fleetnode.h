#pragma once

#include "primrosebridge/Config/fleetsettings.h"
#include "primrosebridge/Fleetservice/currentconfiguration.h"
#include "primrosebridge/Fleetservice/inbox.h"
#include "primrosebridge/Fleetservice/peerdirectory.h"
#include "primrosebridge/Model/result.h"

#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// Everything of one entry VM behind its front end: session with the store, election, watches, owner stage, peers.
///
/// Thread-safe.
class FleetNode
{
public:
    /// Starts all stages. Unavailable if a port or a thread cannot be had; the store need not be reachable yet.
    static Result<std::unique_ptr<FleetNode>> create(const FleetSettings &settings);
    ~FleetNode();
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    /// The configuration in force, or null before the first one was read.
    [[nodiscard]] FleetConfigurationPointer configuration() const;
    /// True if this VM can serve callers: it has a configuration, reaches the store and is not stopping.
    [[nodiscard]] bool ready() const;
    /// Makes a submission durable, through another VM if this one does not reach the store. Blocks for at most 4 s.
    InboxOutcome submit(const JobSpec &spec);
    /// Makes a cancellation durable. Blocks for at most 4 s.
    InboxOutcome cancel(const std::string &job);
    /// The state of a job, from the owner if it can be reached, otherwise from the store. Blocks for at most 4 s.
    RecordedStatus status(const std::string &queue, const std::string &job);
    /// Jobs that have not begun; empty if the owner cannot be reached. Blocks for at most 1 s.
    std::optional<std::int64_t> waitingJobs(const std::string &queue);

    /// The metrics page in Prometheus's text format.
    [[nodiscard]] std::string metrics() const;

    /// Fails the readiness check from now on.
    void beginShutdown();
    /// Gives up ownership and the session, so that another VM takes over at once.
    void handOver();

private:
    struct Private;
    explicit FleetNode(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
