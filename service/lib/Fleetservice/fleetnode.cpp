#include "primrosebridge/Fleetservice/fleetnode.h"

#include "session.h"
#include "snapshot.h"
#include "storewatch.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetservice/fleetowner.h"
#include "primrosebridge/Fleetservice/fleetpeer.h"
#include "primrosebridge/Fleetservice/progresswriter.h"
#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Fleetwire/placementpreview.h"
#include "primrosebridge/Http/bootclock.h"
#include "primrosebridge/Http/httpclient.h"
#include "primrosebridge/Kv/platformstore.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Ownership/succession.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Progress/jobrecord.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <future>
#include <map>
#include <set>
#include <thread>

namespace PrimroseBridge {

// If no store call has succeeded for this long, the VM asks its peers to write instead, and fails its readiness check. The limit
// leaves time for a lease renewal, which is sent about twice a second, and for a slow store, which answers within about 500 ms.
static constexpr Duration maxStoreSilence(900);
// Limits calls that read from a peer.
static constexpr Duration peerQueryTimeout(600);
// Limits calls that ask a peer to write to the store.
static constexpr Duration peerRecordTimeout(1500);
// Limits the whole wait for a preview.
static constexpr Duration previewTimeout(2000);
// Shortest time between two previews that a VM serves. Each costs the owner's thread up to two passes.
static constexpr Duration previewPeriod(1000);
// Limits how many peers are asked in turn to write for this VM.
static constexpr std::size_t maxRecordPeers = 2;
static constexpr Duration snapshotRetryDelay(100);

namespace {

// The period in which this VM owns the fleet, with the revisions of its snapshot of the store. The fence is 0 while this VM is not the
// owner, and the revisions are 0 until the snapshot has been read.
struct OwnerTerm {
    std::int64_t m_fence = 0;
    std::int64_t m_inboxRevision = 0;
    std::int64_t m_workersRevision = 0;
    std::set<std::string> m_workerKeys = {}; // Keys of the workers' entries in the snapshot.
};

} // namespace

struct FleetNode::Private {
    explicit Private(const FleetSettings &settings)
        : m_settings(settings)
        , m_self{.m_vm = settings.m_vm.text(),
                 .m_address = settings.m_peerAddress,
                 .m_incarnation = std::to_string(toMilliseconds(TimerService::wallClockNow())) + "-" + std::to_string(toMilliseconds(bootClockNow())),
                 .m_processorCores = settings.m_processorCores}
        , m_startedAt(bootClockNow())
    {
    }
    ~Private();

    const FleetSettings m_settings;
    const PeerVm m_self;
    const Instant m_startedAt;
    CurrentConfiguration m_configuration;
    CurrentZoneDrains m_zoneDrains;
    PeerDirectory m_directory;
    std::atomic<bool> m_stopping = false; // Set by FleetNode::beginShutdown().
    std::atomic<bool> m_closed = false; // Set by the destructor, which ends the watches.
    std::shared_ptr<HttpClient> m_http;
    std::shared_ptr<PlatformStore> m_store;
    std::unique_ptr<FleetOwner> m_owner;
    std::unique_ptr<ProgressWriter> m_writer;
    std::unique_ptr<Session> m_session;
    std::unique_ptr<FleetPeerServer> m_peerServer;
    FleetPeerClient m_peers;
    std::mutex m_termMutex; // Guards m_term and m_lastEndedFence.
    std::condition_variable m_termChanged;
    OwnerTerm m_term;
    std::int64_t m_lastEndedFence = 0; // The end of a term may be reported before its beginning, on another thread.
    std::mutex m_previewMutex; // Guards m_lastPreviewAt.
    std::optional<Instant> m_lastPreviewAt; // Boot clock.
    std::thread m_configurationThread;
    std::thread m_controlThread;
    std::thread m_inboxThread;
    std::thread m_workersThread;

    Result<bool> start();
    void watchConfiguration();
    void watchControlKeys();
    void watchInbox();
    void watchWorkers();
    void applyConfiguration(const std::string &text);
    void updatePeerDirectory(const std::string &key, const std::string &value, std::int64_t revision, bool removed);
    void postInboxEntry(std::int64_t fence, const std::string &key, const std::string &value);
    void postWorkerEntry(std::int64_t fence, const StoreChange &change);
    void postRecorded(std::int64_t fence, const DurableRecord &record);
    void handleOwnershipGained(std::int64_t fence);
    void handleOwnershipLost(std::int64_t fence, const std::string &reason);
    // Reads the snapshot, starts the writer and the owner stage with it, and lets the watches of the inbox and the workers start.
    // Returns false if the store did not answer.
    bool startTermFromStore(std::int64_t fence);
    // Waits until this VM owns the fleet and has read the snapshot. Returns nothing if the node is being destroyed.
    std::optional<OwnerTerm> waitForTerm();
    bool isCurrentTerm(std::int64_t fence);
    Duration electionDelay() const;
    InboxOutcome recordThroughPeer(const std::string &job, const std::string &submission);
    // Returns true if no preview has been served within the last previewPeriod.
    bool claimPreview(Instant now);
};

FleetNode::Private::~Private()
{
    m_closed = true;
    {
        const std::lock_guard lock(m_termMutex);
    }
    m_termChanged.notify_all();
    for (auto *thread : {&m_configurationThread, &m_controlThread, &m_inboxThread, &m_workersThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
    // The stages call each other, so the threads of each one end before the stages that they call are destroyed.
    m_peerServer.reset();
    if (m_session) {
        m_session->stop();
    }
    if (m_owner) {
        m_owner->stop();
    }
    m_writer.reset();
}

void FleetNode::Private::applyConfiguration(const std::string &text)
{
    const auto decoded = decodeConfiguration(text);
    if (!decoded.ok()) {
        logEvent(LogLevel::Error, "configuration_refused", {{"error", decoded.error().message()}});
        return;
    }
    if (m_configuration.installIfNewer(std::make_shared<const FleetConfiguration>(decoded.value()))) {
        logEvent(LogLevel::Info,
                 "configuration_in_force",
                 {{"version", std::to_string(decoded.value().m_version)}, {"queues", std::to_string(decoded.value().m_queues.size())}});
    }
}

// A confirmation of the zone drains is up to two waits old when the next one arrives. A third of the time is left for slow answers.
static Duration operatorWatchWait(const FleetSettings &settings)
{
    return settings.m_zoneDrainBound ? std::min(watchTimeout, (*settings.m_zoneDrainBound - startSendingBound) / 3) : watchTimeout;
}

void FleetNode::Private::watchConfiguration()
{
    const WatchHandlers handlers{
        .m_listed =
            [this](const StoreListing &listing) {
                m_zoneDrains.replace(decodeZoneDrains(listing), listing.m_revision, Instant()); // m_confirmed tells when it was read.
                for (const auto &item : listing.m_items) {
                    if (item.m_key == configurationKey) {
                        applyConfiguration(item.m_value);
                    }
                }
            },
        .m_changed =
            [this](const StoreChange &change) {
                if (change.m_key == configurationKey && !change.m_removed) {
                    applyConfiguration(change.m_value);
                }
                if (const auto zone = decodeZoneDrainKey(change.m_key)) {
                    m_zoneDrains.change(*zone, !change.m_removed, change.m_revision);
                }
            },
        .m_confirmed = [this](std::int64_t revision, Instant confirmedAt) { m_zoneDrains.confirm(revision, confirmedAt); },
    };
    watchPrefix(
        *m_store, std::string(operatorPrefix), std::nullopt, handlers, [this] { return !m_closed; }, operatorWatchWait(m_settings));
}

void FleetNode::Private::updatePeerDirectory(const std::string &key, const std::string &value, std::int64_t revision, bool removed)
{
    const bool isOwner = key == StoreKeys::owner;
    if (removed) {
        if (isOwner) {
            m_directory.setOwner(std::nullopt);
        } else if (key.starts_with(StoreKeys::vms)) {
            m_directory.removePeer(key.substr(StoreKeys::vms.size()));
        }
        return;
    }
    const auto peer = decodePeer(value);
    if (!peer) {
        logEvent(LogLevel::Warn, "record_skipped", {{"key", key}, {"reason", "the value is not a VM record"}});
        return;
    }
    if (isOwner) {
        m_directory.setOwner(FleetOwnerRecord{.m_vm = *peer, .m_fence = revision});
    } else if (key != std::string(StoreKeys::vms) + peer->m_vm) {
        logEvent(LogLevel::Warn, "record_skipped", {{"key", key}, {"reason", "the record belongs to VM '" + peer->m_vm + "'"}});
    } else {
        m_directory.setPeer(*peer);
    }
}

void FleetNode::Private::watchControlKeys()
{
    const WatchHandlers handlers{
        .m_listed =
            [this](const StoreListing &listing) {
                m_directory.setOwner(std::nullopt);
                m_directory.clearPeers();
                for (const auto &item : listing.m_items) {
                    updatePeerDirectory(item.m_key, item.m_value, item.m_revision, false);
                }
                m_session->setKnownOwner(m_directory.owner());
            },
        .m_changed =
            [this](const StoreChange &change) {
                updatePeerDirectory(change.m_key, change.m_value, change.m_revision, change.m_removed);
                m_session->setKnownOwner(m_directory.owner());
            },
    };
    watchPrefix(*m_store, std::string(StoreKeys::control), std::nullopt, handlers, [this] { return !m_closed; });
}

Duration FleetNode::Private::electionDelay() const
{
    std::vector<double> peerCores;
    for (const auto &peer : m_directory.peers()) {
        if (peer != m_self) {
            peerCores.push_back(peer.m_processorCores);
        }
    }
    return successionDelay(
        SuccessionView{.m_processorCores = m_self.m_processorCores, .m_peerCores = std::move(peerCores), .m_uptime = bootClockNow() - m_startedAt});
}

// Reads the listings at the same time, so that a slow store or link delays the takeover once and not five times.
static Result<StoreSnapshot> readStoreSnapshot(PlatformStore &store)
{
    const auto listInBackground
        = [&store](std::string_view prefix) { return std::async(std::launch::async, [&store, prefix] { return store.list(std::string(prefix)); }); };
    try {
        auto pendingInbox = listInBackground(StoreKeys::inbox);
        auto pendingProgress = listInBackground(StoreKeys::progress);
        auto pendingWorkers = listInBackground(workerPrefix);
        auto pendingDrains = listInBackground(zoneDrainPrefix);
        auto pendingLateStarts = std::async(std::launch::async, [&store] { return store.get(std::string(StoreKeys::lateStarts)); });
        auto pendingSpeeds = std::async(std::launch::async, [&store] { return store.get(std::string(StoreKeys::speeds)); });
        const auto roster = store.get(std::string(StoreKeys::roster));
        const auto lateStarts = pendingLateStarts.get();
        const auto speeds = pendingSpeeds.get();
        const auto inbox = pendingInbox.get();
        const auto progress = pendingProgress.get();
        const auto workers = pendingWorkers.get();
        const auto zoneDrains = pendingDrains.get();
        for (const auto *listing : {&inbox, &progress, &workers, &zoneDrains}) {
            if (!listing->ok()) {
                return listing->error();
            }
        }
        for (const auto *item : {&roster, &lateStarts}) {
            if (!item->ok()) {
                return item->error();
            }
        }
        return StoreSnapshot{.m_inbox = inbox.value(),
                             .m_progress = progress.value(),
                             .m_workers = workers.value(),
                             .m_roster = roster.value(),
                             .m_lateStarts = lateStarts.value(),
                             .m_zoneDrains = zoneDrains.value(),
                             .m_speeds = itemIfRead(StoreKeys::speeds, speeds)};
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("cannot start a thread: ") + error.what(), "raise the thread limit of this process");
    }
}

bool FleetNode::Private::startTermFromStore(std::int64_t fence)
{
    const auto requestedAt = bootClockNow();
    const auto snapshot = readStoreSnapshot(*m_store);
    if (!snapshot.ok()) {
        logEvent(LogLevel::Warn, "snapshot_not_read", {{"fence", std::to_string(fence)}, {"error", snapshot.error().message()}});
        return false;
    }
    // The watch of the operator's keys may be behind, so that the first start of the term goes by this listing.
    if (const auto &drains = snapshot.value().m_zoneDrains) {
        m_zoneDrains.replace(decodeZoneDrains(*drains), drains->m_revision, requestedAt);
    }
    const auto decoded = decodeSnapshot(snapshot.value(), fence, m_configuration.current(), bootClockNow());
    {
        // A term that has ended while its snapshot was read must not begin. Under the lock, its end is handled before or after this.
        const std::lock_guard lock(m_termMutex);
        if (m_term.m_fence != fence) {
            return true;
        }
        m_writer->beginTerm(fence, decoded.m_revisions);
        m_owner->post(OwnershipGained{.m_snapshot = decoded.m_fleet});
        m_term = OwnerTerm{.m_fence = fence,
                           .m_inboxRevision = snapshot.value().m_inbox.m_revision,
                           .m_workersRevision = snapshot.value().m_workers.m_revision,
                           .m_workerKeys = decoded.m_workerKeys};
    }
    m_termChanged.notify_all();
    return true;
}

void FleetNode::Private::handleOwnershipGained(std::int64_t fence)
{
    {
        const std::lock_guard lock(m_termMutex);
        if (fence <= m_lastEndedFence) {
            return;
        }
        m_term = OwnerTerm{.m_fence = fence};
    }
    while (!m_closed && isCurrentTerm(fence) && !startTermFromStore(fence)) {
        std::this_thread::sleep_for(snapshotRetryDelay);
    }
}

void FleetNode::Private::handleOwnershipLost(std::int64_t fence, const std::string &reason)
{
    {
        const std::lock_guard lock(m_termMutex);
        m_lastEndedFence = std::max(m_lastEndedFence, fence);
        if (m_term.m_fence == fence) {
            m_term = OwnerTerm{};
            m_writer->endTerm();
        }
    }
    m_owner->post(OwnershipLost{.m_fence = fence, .m_reason = reason});
}

bool FleetNode::Private::isCurrentTerm(std::int64_t fence)
{
    const std::lock_guard lock(m_termMutex);
    return m_term.m_fence == fence;
}

std::optional<OwnerTerm> FleetNode::Private::waitForTerm()
{
    std::unique_lock lock(m_termMutex);
    m_termChanged.wait(lock, [&] { return m_closed || m_term.m_inboxRevision != 0; });
    return m_closed ? std::nullopt : std::optional(m_term);
}

void FleetNode::Private::postInboxEntry(std::int64_t fence, const std::string &key, const std::string &value)
{
    if (key.starts_with(StoreKeys::cancellations)) {
        m_owner->post(EventOfTerm{.m_fence = fence, .m_event = JobCancelled{.m_job = key.substr(StoreKeys::cancellations.size())}});
        return;
    }
    const auto spec = decodeSubmissionAt(key, value);
    if (spec.ok()) {
        m_owner->post(EventOfTerm{.m_fence = fence, .m_event = JobSubmitted{.m_spec = std::make_shared<const JobSpec>(spec.value())}});
    } else {
        reportSkippedRecord(key, spec.error());
    }
}

void FleetNode::Private::watchInbox()
{
    while (const auto term = waitForTerm()) {
        const WatchHandlers handlers{
            .m_listed = [&](const StoreListing &listing) { m_owner->post(EventOfTerm{.m_fence = term->m_fence, .m_event = decodeInboxListing(listing)}); },
            .m_changed =
                [&](const StoreChange &change) {
                    if (!change.m_removed) {
                        postInboxEntry(term->m_fence, change.m_key, change.m_value);
                    }
                },
        };
        watchPrefix(*m_store, std::string(StoreKeys::inbox), term->m_inboxRevision, handlers, [&] { return !m_closed && isCurrentTerm(term->m_fence); });
    }
}

void FleetNode::Private::postWorkerEntry(std::int64_t fence, const StoreChange &change)
{
    const auto report = decodeWorkerReport(change.m_key.substr(workerPrefix.size()), change.m_value, change.m_revision);
    if (report.ok()) {
        m_owner->post(EventOfTerm{.m_fence = fence, .m_event = WorkerReported{.m_report = std::make_shared<const WorkerReport>(report.value())}});
    } else {
        reportSkippedRecord(change.m_key, report.error());
    }
}

void FleetNode::Private::watchWorkers()
{
    while (const auto term = waitForTerm()) {
        auto known = term->m_workerKeys;
        const WatchHandlers handlers{
            .m_listed =
                [&](const StoreListing &listing) {
                    m_owner->post(EventOfTerm{.m_fence = term->m_fence, .m_event = decodeWorkersListing(listing, known)});
                    known = keysOf(listing);
                },
            .m_changed =
                [&](const StoreChange &change) {
                    if (change.m_removed) {
                        known.erase(change.m_key);
                        m_owner->post(
                            EventOfTerm{.m_fence = term->m_fence, .m_event = WorkerEntryRemoved{.m_worker = change.m_key.substr(workerPrefix.size())}});
                    } else {
                        known.insert(change.m_key);
                        postWorkerEntry(term->m_fence, change);
                    }
                },
        };
        watchPrefix(*m_store, std::string(workerPrefix), term->m_workersRevision, handlers, [&] { return !m_closed && isCurrentTerm(term->m_fence); });
    }
}

void FleetNode::Private::postRecorded(std::int64_t fence, const DurableRecord &record)
{
    if (record.m_key == StoreKeys::lateStarts || record.m_key == StoreKeys::speeds) {
        return; // Nothing waits for them.
    }
    if (!record.m_job) {
        m_owner->post(EventOfTerm{.m_fence = fence, .m_event = RosterRecorded{.m_version = record.m_version}});
        return;
    }
    m_owner->post(
        EventOfTerm{.m_fence = fence,
                    .m_event = ProgressRecorded{.m_job = record.m_job->m_spec->m_id, .m_version = record.m_version, .m_outcome = record.m_job->m_outcome}});
}

// Creates every stage before any thread starts, because the stages call each other through the members of this object.
Result<bool> FleetNode::Private::start()
{
    m_http = HttpClient::create().take();
    m_store = std::make_shared<PlatformStore>(m_settings.m_storeAddress, m_http);
    m_session
        = std::make_unique<Session>(m_self,
                                    m_settings.m_shortestStoreLease,
                                    m_store,
                                    SessionCallbacks{
                                        .m_mayTakeOwnership = [this] { return !m_stopping && m_configuration.current() != nullptr; },
                                        .m_electionDelay = [this] { return electionDelay(); },
                                        .m_onOwnershipGained = [this](std::int64_t fence) { handleOwnershipGained(fence); },
                                        .m_onOwnershipLost = [this](std::int64_t fence, const std::string &reason) { handleOwnershipLost(fence, reason); },
                                        .m_ownerIterations = [this] { return m_owner->iterations(); },
                                    });
    m_writer = std::make_unique<ProgressWriter>(
        m_store,
        ProgressWriterCallbacks{
            .m_recorded = [this](std::int64_t fence, const DurableRecord &record) { postRecorded(fence, record); },
            .m_ownershipLost = [this](std::int64_t fence) { m_session->requestOwnershipRelease(fence, "the store refused a write"); },
        },
        m_settings.m_maxValueBytes);
    m_owner = std::make_unique<FleetOwner>(
        OwnerContext{.m_settings = m_settings,
                     .m_workerCalls = workerCallsOver(HttpClient::create().take()),
                     .m_configuration = m_configuration,
                     .m_enqueueRecord = [this](std::int64_t fence, const DurableRecord &record) { m_writer->enqueue(fence, record); },
                     .m_leaseEnd = [this](std::int64_t fence) { return m_session->leaseEnd(fence); },
                     .m_onSuperseded = [this](std::int64_t fence, const std::string &reason) { m_session->requestOwnershipRelease(fence, reason); },
                     .m_bootClock = bootClockNow,
                     .m_wallClock = TimerService::wallClockNow,
                     .m_zoneDrains = [this] { return m_zoneDrains.current(); }});
    // The threads of this server use the owner stage and the store only, which are complete.
    auto server = FleetPeerServer::create(m_settings.m_peerListenAddress, *m_owner, m_store, maxStoreSilence);
    if (!server.ok()) {
        return server.error();
    }
    m_peerServer = server.take();
    for (const auto &started : {m_writer->start(), m_owner->start()}) {
        if (!started.ok()) {
            return started.error();
        }
    }
    m_session->start();
    m_configurationThread = std::thread([this] { watchConfiguration(); });
    m_controlThread = std::thread([this] { watchControlKeys(); });
    m_inboxThread = std::thread([this] { watchInbox(); });
    m_workersThread = std::thread([this] { watchWorkers(); });
    return true;
}

Result<std::unique_ptr<FleetNode>> FleetNode::create(const FleetSettings &settings)
{
    auto state = std::make_unique<Private>(settings);
    const auto started = state->start();
    if (!started.ok()) {
        return started.error();
    }
    return std::unique_ptr<FleetNode>(new FleetNode(std::move(state)));
}

FleetNode::FleetNode(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

FleetNode::~FleetNode() = default;

FleetConfigurationPointer FleetNode::configuration() const
{
    return m_private->m_configuration.current();
}

bool FleetNode::ready() const
{
    return !m_private->m_stopping && m_private->m_configuration.current() && m_private->m_store->answeredWithin(maxStoreSilence);
}

// Asks peers to write to the store, beginning with the owner, which is the likeliest to reach the store.
InboxOutcome FleetNode::Private::recordThroughPeer(const std::string &job, const std::string &submission)
{
    std::vector<std::string> addresses;
    if (const auto owner = m_directory.owner(); owner && owner->m_vm != m_self) {
        addresses.push_back(owner->m_vm.m_address);
    }
    for (const auto &peer : m_directory.peers()) {
        if (peer != m_self && std::find(addresses.begin(), addresses.end(), peer.m_address) == addresses.end()) {
            addresses.push_back(peer.m_address);
        }
    }
    addresses.erase(addresses.begin() + static_cast<std::ptrdiff_t>(std::min(addresses.size(), maxRecordPeers)), addresses.end());
    bool uncertain = false;
    for (const auto &address : addresses) {
        const auto askedAt = bootClockNow();
        const auto outcome = m_peers.recordInboxEntry(address, job, submission, peerRecordTimeout);
        logEvent(LogLevel::Info,
                 "record_asked",
                 {{"request", job},
                  {"peer", address},
                  {"outcome", std::string(inboxOutcomeName(outcome))},
                  {"after_ms", std::to_string((bootClockNow() - askedAt).count())}});
        if (outcome == InboxOutcome::Recorded || outcome == InboxOutcome::NoSuchJob) {
            return outcome;
        }
        uncertain = uncertain || outcome == InboxOutcome::Unknown;
    }
    return uncertain ? InboxOutcome::Unknown : InboxOutcome::NotRecorded;
}

InboxOutcome FleetNode::submit(const JobSpec &spec)
{
    const auto record = encodeSubmission(spec);
    if (record.size() > m_private->m_settings.m_maxValueBytes) {
        return InboxOutcome::Refused;
    }
    if (m_private->m_store->answeredWithin(maxStoreSilence)) {
        const auto outcome = recordSubmission(*m_private->m_store, spec.m_id, record);
        if (outcome != InboxOutcome::NotRecorded) {
            return outcome;
        }
    }
    return m_private->recordThroughPeer(spec.m_id, record);
}

InboxOutcome FleetNode::cancel(const std::string &job)
{
    if (m_private->m_store->answeredWithin(maxStoreSilence)) {
        const auto outcome = recordCancellation(*m_private->m_store, job);
        if (outcome != InboxOutcome::NotRecorded) {
            return outcome;
        }
    }
    return m_private->recordThroughPeer(job, {});
}

RecordedStatus FleetNode::status(const std::string &queue, const std::string &job)
{
    const auto localStatus = m_private->m_owner->status(queue, job);
    if (localStatus.m_isOwner && localStatus.m_status) {
        return {.m_known = true, .m_status = localStatus.m_status};
    }
    const auto owner = m_private->m_directory.owner();
    if (!localStatus.m_isOwner && owner && owner->m_vm != m_private->m_self) {
        const auto answer = m_private->m_peers.jobStatus(owner->m_vm.m_address, queue, job, peerQueryTimeout);
        if (answer.ok() && answer.value().m_isOwner && answer.value().m_status) {
            return {.m_known = true, .m_status = answer.value().m_status};
        }
    }
    if (!m_private->m_store->answeredWithin(maxStoreSilence)) {
        return {.m_known = false, .m_status = std::nullopt};
    }
    return readStatus(*m_private->m_store, queue, job);
}

std::optional<std::int64_t> FleetNode::waitingJobCount(const std::string &queue)
{
    if (const auto localCount = m_private->m_owner->waitingJobCount(queue)) {
        return localCount;
    }
    const auto owner = m_private->m_directory.owner();
    if (!owner || owner->m_vm == m_private->m_self) {
        return std::nullopt;
    }
    const auto answer = m_private->m_peers.waitingJobCount(owner->m_vm.m_address, queue, peerQueryTimeout);
    return answer.ok() ? answer.value() : std::nullopt;
}

bool FleetNode::Private::claimPreview(Instant now)
{
    const std::lock_guard lock(m_previewMutex);
    if (m_lastPreviewAt && now < *m_lastPreviewAt + previewPeriod) {
        return false;
    }
    m_lastPreviewAt = now;
    return true;
}

Result<std::string> FleetNode::previewPlacement(const std::string &request)
{
    const auto configuration = m_private->m_configuration.current();
    if (!configuration) {
        return Error(ErrorKind::Unavailable, "this VM has no configuration yet", "ask again", previewRetryDelay);
    }
    // A request that is wrong does not use up the limit, so that it can be corrected and sent at once.
    const auto decoded = decodePreviewRequest(*configuration, request, TimerService::wallClockNow());
    if (!decoded.ok()) {
        return decoded.error();
    }
    if (!m_private->claimPreview(bootClockNow())) {
        return Error(ErrorKind::QueueFull, "this VM serves one preview a second", "ask again", previewRetryDelay);
    }
    if (m_private->m_owner->fence()) {
        return m_private->m_owner->preview(request, previewTimeout);
    }
    const auto owner = m_private->m_directory.owner();
    if (!owner || owner->m_vm == m_private->m_self) {
        return Error(ErrorKind::Unavailable, "no VM is known to own the fleet", "ask again", previewRetryDelay);
    }
    return m_private->m_peers.previewPlacement(owner->m_vm.m_address, request, previewTimeout);
}

std::string FleetNode::metrics() const
{
    auto &metrics = FleetMetrics::instance();
    const auto callCounts = m_private->m_store->callCounts();
    const auto configuration = m_private->m_configuration.current();
    metrics.set(FleetGauge::OwnsFleet, m_private->m_owner->fence() ? 1.0 : 0.0);
    metrics.set(FleetGauge::ConfigurationVersion, configuration ? static_cast<double>(configuration->m_version) : 0.0);
    const auto drains = m_private->m_zoneDrains.current().m_drains;
    metrics.set(FleetGauge::DrainedZones, drains ? static_cast<double>(drains->m_zones.size()) : 0.0);
    metrics.set(FleetGauge::StoreReads, static_cast<double>(callCounts.m_reads));
    metrics.set(FleetGauge::StoreWrites, static_cast<double>(callCounts.m_writes));
    metrics.set(FleetGauge::StoreRenewals, static_cast<double>(callCounts.m_renewals));
    metrics.set(FleetGauge::StoreWatches, static_cast<double>(callCounts.m_watches));
    metrics.set(FleetGauge::StoreFailures, static_cast<double>(callCounts.m_failures));
    metrics.set(FleetGauge::LogLinesDropped, static_cast<double>(droppedLogLines()));
    return metrics.serialize();
}

void FleetNode::beginShutdown()
{
    m_private->m_stopping = true;
}

void FleetNode::handOver()
{
    m_private->m_session->close();
}

} // namespace PrimroseBridge
