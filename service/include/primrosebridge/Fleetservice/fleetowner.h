#pragma once

#include "primrosebridge/Config/fleetsettings.h"
#include "primrosebridge/Fleetservice/currentconfiguration.h"
#include "primrosebridge/Fleetservice/currentzonedrains.h"
#include "primrosebridge/Fleetservice/ownerevents.h"
#include "primrosebridge/Fleetservice/progresswriter.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Model/result.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// Dependencies of a FleetOwner. The functions are called on the owner's thread.
struct OwnerContext {
    const FleetSettings m_settings;
    const WorkerCalls m_workerCalls;
    const CurrentConfiguration &m_configuration; ///< Must outlive the owner.
    /// Queues a record to be written to the store if the term @p fence is still running; must not block.
    const std::function<void(std::int64_t fence, const DurableRecord &record)> m_enqueueRecord;
    /// Returns the time, on the boot clock, from which on another VM may be the owner in place of this one under @p fence.
    const std::function<Instant(std::int64_t fence)> m_leaseEnd;
    const std::function<void(std::int64_t fence, const std::string &reason)> m_onSuperseded; ///< Called when a worker reports a higher fence; must not block.
    const std::function<Instant()> m_bootClock; ///< Returns the time of the boot clock.
    const std::function<Instant()> m_wallClock; ///< Returns the wall clock time.
    const std::function<ZoneDrainView()> m_zoneDrains = nullptr; ///< Returns the zone drains that this VM knows; if not set, no zone is drained.
};

/// Status of a job in the memory of a VM that may own the fleet.
struct OwnedJobStatus {
    const bool m_isOwner; ///< True if this VM owns the fleet; if false, m_status is meaningless.
    const std::optional<JobStatus> m_status; ///< Empty if the owner does not know the job.

    bool operator==(const OwnedJobStatus &) const = default;
};

/// Pipeline stage that schedules the fleet while this VM owns it.
///
/// One thread applies events in the order in which they were posted and then makes placement decisions. Status queries read
/// the job shards, each under its own lock. Thread-safe.
class FleetOwner
{
public:
    /// Creates the stage without its thread, so that the functions of @p context may refer to objects that are created later. Events that are
    /// posted before start() wait in the queue.
    explicit FleetOwner(OwnerContext context);
    ~FleetOwner();
    FleetOwner(const FleetOwner &) = delete;
    FleetOwner &operator=(const FleetOwner &) = delete;

    /// Starts the stage's thread. Call once, after everything that the functions of the context use has been created. Returns Unavailable if
    /// the system cannot start a thread.
    Result<bool> start();
    /// Ends the stage's thread and drops later events. Objects that the context refers to may be destroyed after this call.
    void stop();
    /// Queues an event without blocking. Returns false if the stage has stopped or if the queue is full; a full queue is logged.
    bool post(OwnerEvent event);
    /// Returns the status of a job of @p queue; m_status is empty if the job belongs to another queue.
    [[nodiscard]] OwnedJobStatus status(const std::string &queue, const std::string &job) const;
    /// Returns the number of active jobs of @p queue of which no task has started; empty if this VM does not own the fleet.
    [[nodiscard]] std::optional<std::int64_t> waitingJobCount(const std::string &queue) const;
    /// Returns the encoded answer to a preview request, see decodePreviewRequest(); changes nothing. Blocks for at most @p timeout.
    ///
    /// Fails with InvalidArgument or NotFound if the request is wrong, and with Unavailable if this VM does not own the fleet, has no
    /// configuration, or its owner's thread does not answer in time.
    Result<std::string> preview(const std::string &request, Duration timeout);
    /// Returns how often the stage's thread has applied events and decided. It does so at least every 50 ms, whether this VM is the owner or not.
    [[nodiscard]] std::uint64_t iterations() const;
    /// Returns the fence under which this VM owns the fleet; empty if it does not own the fleet.
    [[nodiscard]] std::optional<std::int64_t> fence() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
