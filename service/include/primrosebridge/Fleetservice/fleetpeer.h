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

/// Client for calls to the other entry VMs. Every call blocks for at most its time-out. Thread-safe.
class FleetPeerClient
{
public:
    FleetPeerClient();
    ~FleetPeerClient();
    FleetPeerClient(const FleetPeerClient &) = delete;
    FleetPeerClient &operator=(const FleetPeerClient &) = delete;

    /// Returns the state of a job as the VM at @p address knows it. Fails with Unavailable or DeadlineExceeded if that VM does not answer.
    Result<OwnedJobStatus> jobStatus(const std::string &address, const std::string &queue, const std::string &job, Duration timeout);
    /// Returns the number of active jobs of @p queue of which no task has started; empty if the VM at @p address does not own the fleet.
    /// Fails with Unavailable or DeadlineExceeded if that VM does not answer.
    Result<std::optional<std::int64_t>> waitingJobCount(const std::string &address, const std::string &queue, Duration timeout);
    /// Returns the encoded answer of the VM at @p address to a preview request, or its error. Fails with Unavailable if that VM does not own the
    /// fleet or does not answer.
    Result<std::string> previewPlacement(const std::string &address, const std::string &request, Duration timeout);
    /// Asks the VM at @p address to write a submission to the store, or a cancellation if @p submission is empty. Returns Unknown if
    /// that VM does not answer, and NotRecorded if it cannot have received the call or has rejected it.
    InboxOutcome recordInboxEntry(const std::string &address, const std::string &job, const std::string &submission, Duration timeout);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// Serves the calls of the other entry VMs.
class FleetPeerServer
{
public:
    /// Starts listening. Fails with Unavailable if the address cannot be bound. @p owner must outlive the server. Calls that write to the store
    /// are refused at once if the store has not answered this VM within the last @p maxStoreSilence.
    static Result<std::unique_ptr<FleetPeerServer>>
    create(const std::string &address, FleetOwner &owner, std::shared_ptr<PlatformStore> store, Duration maxStoreSilence);
    /// Waits for calls in progress, for at most 1 s.
    ~FleetPeerServer();
    FleetPeerServer(const FleetPeerServer &) = delete;
    FleetPeerServer &operator=(const FleetPeerServer &) = delete;

private:
    struct Private;
    explicit FleetPeerServer(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
