#pragma once

#include "simulatednetwork.h"

#include "ownerstate.h"
#include "snapshot.h"

#include "primrosebridge/Fleetservice/peerdirectory.h"

#include <memory>
#include <set>
#include <string>

namespace PrimroseBridge {

/// Delays of the threads of a VM.
struct ThreadFaults {
    double m_lateThread = 0.0; ///< A thread goes on up to m_latestMs late.
    std::int64_t m_latestMs = 500;
    double m_stall = 0.0; ///< The owner's thread, or the whole VM, stands still between reading the clock and sending orders.
    std::int64_t m_longestStallMs = 2500;
};

/// One process of an entry VM: the owner's decisions of the product, and the threads of Session, ProgressWriter and FleetNode, which use
/// sockets and clocks there, as coroutines with the same rules.
class SimulatedVm
{
public:
    SimulatedVm(SimulatedWorld &world,
                const NetworkNode &node,
                double processorCores,
                std::string incarnation,
                Duration bootClockOffset,
                Duration wallClockOffset,
                const FleetConfigurationPointer &configuration,
                const ThreadFaults &faults,
                std::optional<Duration> zoneDrainBound);
    ~SimulatedVm();
    SimulatedVm(const SimulatedVm &) = delete;
    SimulatedVm &operator=(const SimulatedVm &) = delete;

    void pause(Duration time);
    /// Lets the owner's thread stand still for @p time before it takes the next events, while all other threads go on.
    void stallOwner(Duration time);
    /// Suspends the VM for @p time between the next decision to start a task and the sending of the order.
    void stallSending(Duration time);
    /// Gives up the ownership as on SIGTERM. The process ends later.
    void handOver();
    [[nodiscard]] bool ownsFleet() const
    {
        return m_state.m_fence != 0;
    }

private:
    struct Record {
        std::shared_ptr<const DurableRecord> m_record;
        std::string m_value;
        std::int64_t m_revision = 0;
    };
    struct Batch {
        std::int64_t m_fence = 0;
        std::uint64_t m_term = 0;
        std::vector<Record> m_records;
    };
    struct Term {
        std::int64_t m_fence = 0;
        std::int64_t m_inboxRevision = 0;
        std::int64_t m_workersRevision = 0;
        std::set<std::string> m_workerKeys = {};
    };
    struct SnapshotParts {
        std::optional<Result<StoreListing>> m_inbox;
        std::optional<Result<StoreListing>> m_progress;
        std::optional<Result<StoreListing>> m_workers;
        std::optional<Result<std::optional<StoreItem>>> m_roster;
        std::optional<Result<std::optional<StoreItem>>> m_lateStarts;
        std::optional<Result<std::optional<StoreItem>>> m_speeds;
        std::optional<Result<StoreListing>> m_zoneDrains;
    };

    [[nodiscard]] Instant bootNow() const;
    Sleep sleep(Duration time);
    Sleep threadDelay();
    void post(OwnerEvent event);
    void trace(const std::string &text);

    // Calls to the store.
    template<class T>
    Co<Result<T>> callStore(Duration timeout, std::function<void(std::function<void(const Result<T> &)>)> execute);
    Co<Result<StoreCommit>> commit(StoreTransaction transaction);
    Co<Result<std::optional<StoreItem>>> get(std::string key);
    Co<Result<StoreListing>> list(std::string prefix);
    Co<Result<StoreChanges>> watch(std::string prefix, std::int64_t revision, Duration wait);

    /// The oldest connection to a worker that is still open.
    struct WorkerConnection {
        int m_workerStarts = 0; ///< SimulatedWorld::m_workerStarts of the process that accepted it.
        Instant m_establishedAt; ///< Boot clock.
    };

    // Calls to workers.
    template<class Reply>
    void callWorker(const OrderTarget &target,
                    bool isReport,
                    std::function<void(OrderDelivery delivery, std::function<void(const Reply &)>)> execute,
                    std::function<Reply(OrderAnswer)> failure,
                    std::function<void(const Reply &)> handler);
    WorkerCalls workerCalls();
    /// Returns the open connection to the worker that a call may use, as HttpClient does.
    std::optional<WorkerConnection> usableConnection(const OrderTarget &target);

    // The threads of Session.
    Co<Nothing> runRenewals();
    Co<Nothing> runElections();
    Co<Nothing> openSession();
    Co<Nothing> renewSession(std::int64_t lease);
    Co<Nothing> releaseOwnershipIfRequested();
    Co<Nothing> revokeLater(std::int64_t lease);
    Co<Nothing> tryAcquireOwnership();
    Co<Nothing> adoptOwnershipKey();
    Co<Nothing> beginOwnership(std::int64_t fence, std::int64_t lease);
    void requestHandOverToLargerVm();
    void endOwnership(const std::string &reason);
    void setKnownOwner();
    void requestOwnershipRelease(std::int64_t fence, const std::string &reason);
    [[nodiscard]] Instant leaseEnd(std::int64_t fence) const;
    [[nodiscard]] bool electionNeeded() const;
    [[nodiscard]] Duration electionDelay() const;
    [[nodiscard]] std::optional<std::int64_t> fenceIfHeldBySelf(const std::optional<StoreItem> &item, std::int64_t lease) const;

    // The threads of FleetNode.
    Co<Nothing> watchPrefix(std::string prefix,
                            std::optional<std::int64_t> revision,
                            std::function<void(const StoreListing &)> listed,
                            std::function<void(const StoreChange &)> changed,
                            std::function<bool()> keepWatching,
                            std::function<void(std::int64_t revision, Instant confirmedAt)> confirmed = nullptr);
    Co<Nothing> watchControlKeys();
    Co<Nothing> watchZoneDrains();
    Co<Nothing> watchInbox();
    Co<Nothing> watchWorkers();
    Co<bool> startTermFromStore(std::int64_t fence);
    Co<Nothing> readListing(std::string prefix, std::shared_ptr<SnapshotParts> parts, std::optional<Result<StoreListing>> SnapshotParts::*part);
    Co<Nothing> readItem(std::string key, std::shared_ptr<SnapshotParts> parts, std::optional<Result<std::optional<StoreItem>>> SnapshotParts::*part);
    Co<Nothing> handleOwnershipGained(std::int64_t fence);
    void handleOwnershipLost(std::int64_t fence, const std::string &reason);
    void updatePeerDirectory(const std::string &key, const std::string &value, std::int64_t revision, bool removed);
    void postInboxEntry(std::int64_t fence, const std::string &key, const std::string &value);
    void postWorkerEntry(std::int64_t fence, const std::string &key, const std::string &value, std::int64_t revision);

    // The thread of ProgressWriter.
    Co<Nothing> runWriter();
    Co<Nothing> writeBatch(std::shared_ptr<const Batch> batch);
    void beginWriterTerm(std::int64_t fence, const std::vector<RecordRevision> &revisions);
    void endWriterTerm();
    void enqueueRecord(std::int64_t fence, const DurableRecord &record);
    void reportRecorded(const Batch &batch, std::size_t index, std::int64_t revision);
    void requeue(const Batch &batch, std::size_t index, std::optional<std::int64_t> revision);

    Co<Nothing> runOwner();

    SimulatedWorld &m_world;
    const NetworkNode m_node;
    const NetworkNode m_storeNode{.m_name = "store", .m_zone = {}};
    const PeerVm m_self;
    const Duration m_bootClockOffset;
    const Duration m_wallClockOffset;
    const ThreadFaults m_faults;
    const std::optional<Duration> m_zoneDrainBound; ///< If empty, nothing reads the zone drains.
    const Instant m_startedAt; ///< Boot clock.
    ProcessPointer m_process;
    CurrentConfiguration m_configuration;
    CurrentZoneDrains m_zoneDrains;
    PeerDirectory m_directory;

    // Session.
    SimulatedCondition m_sessionChanged;
    bool m_closed = false;
    bool m_ownerKnown = true;
    bool m_namedAsOwner = false;
    std::int64_t m_leaseId = 0;
    std::int64_t m_sessionFence = 0;
    std::int64_t m_endedFence = 0;
    Instant m_endedAt;
    Instant m_ownerSince;
    Instant m_nextHandOver;
    std::string m_releaseReason;
    Instant m_leaseEnd;

    // FleetNode.
    SimulatedCondition m_termChanged;
    SimulatedCondition m_snapshotChanged;
    Term m_term;
    std::int64_t m_lastEndedFence = 0;

    // ProgressWriter.
    SimulatedCondition m_writerChanged;
    std::map<std::string, std::shared_ptr<const DurableRecord>> m_queued;
    std::map<std::string, std::int64_t> m_revisions;
    std::optional<std::int64_t> m_writerFence;
    std::uint64_t m_writerTerm = 0;

    std::map<std::string, WorkerConnection> m_workerConnections; ///< By worker.

    // FleetOwner.
    SimulatedCondition m_eventPosted;
    Duration m_pendingStall{0};
    Duration m_pendingSendStall{0};
    Duration m_sendDelay{0}; ///< From the time that the present iteration uses to the sending of its orders.
    OwnerState m_state;
};

} // namespace PrimroseBridge
