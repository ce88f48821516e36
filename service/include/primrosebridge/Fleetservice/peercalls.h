#pragma once

#include "primrosebridge/Fleetservice/fleetowner.h"
#include "primrosebridge/Fleetservice/inbox.h"
#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <memory>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// Client of the other entry VMs. Every call blocks for at most its time-out. Thread-safe.
class PeerCalls
{
public:
    PeerCalls();
    ~PeerCalls();
    PeerCalls(const PeerCalls &) = delete;
    PeerCalls &operator=(const PeerCalls &) = delete;

    /// The state of a job as the VM at @p address knows it; Unavailable or DeadlineExceeded if it does not answer.
    Result<OwnedJobStatus> jobStatus(const std::string &address, const std::string &queue, const std::string &job, Duration timeout);
    /// Jobs of a queue that have not begun; empty if that VM does not own the fleet.
    Result<std::optional<std::int64_t>> waitingJobs(const std::string &address, const std::string &queue, Duration timeout);
    /// Has the VM at @p address write a submission, or a cancellation if @p submission is empty. Unknown if it does not answer,
    /// NotRecorded if it cannot have received the call.
    InboxOutcome record(const std::string &address, const std::string &job, const std::string &submission, Duration timeout);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Server for the other entry VMs.
class PeerDesk
{
public:
    /// Starts listening. Unavailable if the address cannot be bound. @p owner must outlive the desk. A peer's record is refused at
    /// once while the store has not answered for @p storeSilence.
    static Result<std::unique_ptr<PeerDesk>>
    create(const std::string &address, const FleetOwner &owner, std::shared_ptr<PlatformStore> store, Duration storeSilence);
    /// Ends after calls in progress, at most 1 s.
    ~PeerDesk();
    PeerDesk(const PeerDesk &) = delete;
    PeerDesk &operator=(const PeerDesk &) = delete;

private:
    struct Private;
    explicit PeerDesk(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
