#pragma once

#include "primrosebridge/Config/fleetsettings.h"
#include "primrosebridge/Fleetservice/currentconfiguration.h"
#include "primrosebridge/Fleetservice/ownerevents.h"
#include "primrosebridge/Fleetservice/progresswriter.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Http/httpclient.h"
#include "primrosebridge/Model/result.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// What the owner uses of the rest of the process.
struct OwnerContext {
    const FleetSettings m_settings;
    const std::shared_ptr<HttpClient> m_workers; ///< Carries the orders.
    const CurrentConfiguration &m_configuration; ///< Must outlive the owner.
    const std::function<void(const DurableRecord &)> m_enqueueRecord; ///< Queues a record for the store; must not block.
    const std::function<Instant()> m_leaseEnd; ///< Boot clock from which on another VM may have become the owner.
    const std::function<void(std::int64_t fence, const std::string &reason)> m_onSuperseded; ///< A worker has seen a higher fence; must not block.
};

/// A job as its owner knows it.
struct OwnedJobStatus {
    const bool m_owner; ///< This VM owns the fleet; otherwise the rest says nothing.
    const std::optional<JobStatus> m_status; ///< Empty if the owner does not know the job.

    bool operator==(const OwnedJobStatus &) const = default;
};

/// Stage that schedules the fleet while this VM owns it.
///
/// One thread applies events in the order in which they are posted and then decides; callers' questions are answered from
/// the job shards, each under its own lock. Thread-safe.
class FleetOwner
{
public:
    /// Starts the stage's thread. Unavailable if the system refuses it.
    static Result<std::unique_ptr<FleetOwner>> create(OwnerContext context);
    ~FleetOwner();
    FleetOwner(const FleetOwner &) = delete;
    FleetOwner &operator=(const FleetOwner &) = delete;

    /// Ends the stage's thread; later events are dropped. What the context refers to may go after this.
    void stop();
    /// Queues an event. Never blocks; false if the queue is full, which is logged, or if the stage has stopped.
    bool post(OwnerEvent event);
    /// The state of a job of @p queue.
    [[nodiscard]] OwnedJobStatus status(const std::string &queue, const std::string &job) const;
    /// Jobs of @p queue of which no task has started; empty if this VM does not own the fleet.
    [[nodiscard]] std::optional<std::int64_t> waitingJobs(const std::string &queue) const;
    /// The fence under which this VM owns the fleet; empty if it does not.
    [[nodiscard]] std::optional<std::int64_t> fence() const;

private:
    struct Private;
    explicit FleetOwner(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
