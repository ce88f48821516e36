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

/// One entry VM of a fleet without its HTTP servers: the session with the store, the election, the watches, the owner stage and the
/// calls between entry VMs.
///
/// Thread-safe.
class FleetNode
{
public:
    /// Starts all stages. Fails with Unavailable if the port for peers cannot be bound; throws if another resource, such as a thread, cannot
    /// be created.
    /// The store need not be reachable yet.
    static Result<std::unique_ptr<FleetNode>> create(const FleetSettings &settings);
    ~FleetNode();
    FleetNode(const FleetNode &) = delete;
    FleetNode &operator=(const FleetNode &) = delete;

    /// Returns the configuration in force, or null if none has been read yet.
    [[nodiscard]] FleetConfigurationPointer configuration() const;
    /// Returns true if this VM has a configuration, reaches the store and is not shutting down.
    [[nodiscard]] bool ready() const;
    /// Writes a submission to the store, through another VM if this one does not reach it. Blocks for at most 4 s.
    InboxOutcome submit(const JobSpec &spec);
    /// Writes a cancellation to the store, through another VM if this one does not reach it. Blocks for at most 4 s.
    InboxOutcome cancel(const std::string &job);
    /// Reads the state of a job from the owner, or from the store if the owner does not answer or does not know the job. Blocks for at
    /// most 4 s.
    RecordedStatus status(const std::string &queue, const std::string &job);
    /// Returns the number of active jobs of @p queue of which no task has started; empty if the owner cannot be reached. Blocks for at most 1 s.
    std::optional<std::int64_t> waitingJobCount(const std::string &queue);

    /// Returns the owner's encoded answer to a preview request, see decodePreviewRequest(); changes nothing. Blocks for at most 2 s.
    ///
    /// Fails with InvalidArgument or NotFound if the request is wrong, with QueueFull if this VM has served a preview within the last second,
    /// and with Unavailable if there is no configuration, no owner, or no answer in time.
    Result<std::string> previewPlacement(const std::string &request);

    /// Returns all metrics of this process in Prometheus's text format.
    [[nodiscard]] std::string metrics() const;

    /// Fails the readiness check from now on, and keeps this VM from being elected as the owner.
    void beginShutdown();
    /// Gives up the ownership and ends the session, so that another VM can become the owner at once.
    void handOver();

private:
    struct Private;
    explicit FleetNode(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
