#include "session.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Http/bootclock.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace PrimroseBridge {

// The owner sends four renewals within the shortest lease, so that a lost packet does not let it expire.
static constexpr Duration ownerRenewalPeriod(250);
// A VM that is not the owner loses only its registration if a renewal is late, so that more frequent calls would gain nothing.
static constexpr Duration renewalPeriod(550);
// Renewals, at least 5 s, without progress of the owner's thread after which the ownership is given up. Renewals are counted rather than time, because a
// suspended process makes no progress on any thread.
static constexpr int maxRenewalsWithoutProgress = 20;
// The pause between renewals is at least this long, even if the store answers late or refuses.
static constexpr Duration minRenewalPause(50);
// While no owner is known, this VM tries to take the ownership key at this period, in case the watch has missed the key's removal.
static constexpr Duration electionRetryPeriod(250);
// By then the list of VMs is complete, and an owner that took over after a failure has learnt which tasks are running.
static constexpr Duration minOwnershipTime(2000);
// A VM that becomes the owner again after a handover does not hand over for this long, because the larger VM may be unable to take
// over.
static constexpr Duration handOverCooldown(30000);

struct Session::Private {
    Private(PeerVm self, Duration leaseTime, std::shared_ptr<PlatformStore> store, SessionCallbacks callbacks)
        : m_self(std::move(self))
        , m_leaseTime(leaseTime)
        , m_store(std::move(store))
        , m_callbacks(std::move(callbacks))
    {
    }

    const PeerVm m_self;
    const Duration m_leaseTime;
    const std::shared_ptr<PlatformStore> m_store;
    const SessionCallbacks m_callbacks;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_closed = false;
    bool m_ownerKnown = true; // True if the store names an owner, and until the watch has reported for the first time.
    bool m_namedAsOwner = false; // True if the store names this process as the owner.
    std::int64_t m_leaseId = 0; // 0 while there is no session.
    std::int64_t m_fence = 0; // 0 while this VM is not the owner.
    std::int64_t m_endedFence = 0; // Fence of the last ownership that has ended.
    Instant m_endedAt; // Boot clock; the time from which on another VM could be the owner in place of that ownership.
    Instant m_ownerSince; // Boot clock.
    Instant m_nextHandOver; // Boot clock. No handover is requested before this time.
    std::string m_releaseReason; // Set while a request to give up the ownership is pending.
    std::atomic<std::int64_t> m_leaseEndMs = 0; // Boot clock.
    std::uint64_t m_ownerIterations = 0; // As of the last renewal; only the renewal thread uses this and the next member.
    int m_renewalsWithoutProgress = 0;
    std::atomic<bool> m_ownerStalled = false; // The owner's thread has made no progress for too long.
    std::thread m_renewalThread;
    std::thread m_electionThread;

    void runRenewals();
    void runElections();
    void openSession();
    void renewSession(std::int64_t lease);
    void tryAcquireOwnership();
    void adoptOwnershipKey();
    void beginOwnership(std::int64_t fence, std::int64_t lease);
    void endOwnership(const std::string &reason);
    void requestHandOverToLargerVm();
    void superviseOwner();
    void releaseOwnershipIfRequested();
    // Waits for @p time, or until a release of the ownership is requested. Returns false if the session is being closed.
    bool waitForNextRenewal(Duration time);
    // Returns true if there is no owner, or if the store names this VM as the owner and this VM has not noticed, because its write of the
    // ownership key was executed late. It must then adopt the key, which exists as long as the session. The caller holds the lock.
    [[nodiscard]] bool electionNeeded() const
    {
        return !m_ownerKnown || (m_namedAsOwner && m_fence == 0);
    }
};

void Session::Private::endOwnership(const std::string &reason)
{
    std::int64_t fence = 0;
    {
        const std::lock_guard lock(m_mutex);
        std::swap(fence, m_fence);
        if (fence != 0) {
            m_endedFence = fence;
            m_endedAt = std::min(fromMilliseconds(m_leaseEndMs), bootClockNow());
        }
    }
    if (fence != 0) {
        m_callbacks.m_onOwnershipLost(fence, reason);
    }
}

void Session::Private::openSession()
{
    const auto sentAt = bootClockNow();
    const auto lease = m_store->grantLease(m_leaseTime);
    if (!lease.ok()) {
        return; // The next renewal tries again, and the watches log that the store does not answer.
    }
    const auto key = std::string(StoreKeys::vms) + m_self.m_vm;
    const auto registered = m_store->commit(
        StoreTransaction{.m_expectations = {}, .m_writes = {{.m_key = key, .m_value = encodePeer(m_self), .m_leaseId = lease.value()}}, .m_removals = {}});
    if (!registered.ok()) {
        return;
    }
    logEvent(LogLevel::Info, "session_opened", {{"lease", std::to_string(lease.value())}});
    m_leaseEndMs = toMilliseconds(sentAt + m_leaseTime);
    {
        const std::lock_guard lock(m_mutex);
        m_leaseId = lease.value();
    }
    m_changed.notify_all();
}

void Session::Private::renewSession(std::int64_t lease)
{
    const auto sentAt = bootClockNow();
    const auto renewed = m_store->renewLease(lease);
    if (renewed.ok()) {
        m_leaseEndMs = toMilliseconds(sentAt + m_leaseTime);
        return;
    }
    if (renewed.error().kind() != ErrorKind::NotFound) {
        return;
    }
    logEvent(LogLevel::Warn, "session_lapsed", {{"lease", std::to_string(lease)}});
    {
        const std::lock_guard lock(m_mutex);
        m_leaseId = 0;
    }
    endOwnership("the session's lease has expired");
    openSession();
}

// Requests a handover if a VM with a larger processor capacity can own the fleet. A small VM may have become the owner while the larger
// ones were starting or unreachable. A handover takes well under a second.
void Session::Private::requestHandOverToLargerVm()
{
    const auto now = bootClockNow();
    {
        const std::lock_guard lock(m_mutex);
        if (m_fence == 0 || now - m_ownerSince < minOwnershipTime || now < m_nextHandOver) {
            return;
        }
    }
    if (m_callbacks.m_electionDelay() == Duration(0)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_nextHandOver = now + handOverCooldown;
    m_releaseReason = "a VM with a larger processor share can own the fleet";
}

// Requests the release of the ownership if the owner's thread makes no progress although this thread does. An owner that decides nothing would
// otherwise keep the fleet for as long as its lease is renewed.
void Session::Private::superviseOwner()
{
    if (!m_callbacks.m_ownerIterations) {
        return;
    }
    const auto iterations = m_callbacks.m_ownerIterations();
    m_renewalsWithoutProgress = iterations == m_ownerIterations ? m_renewalsWithoutProgress + 1 : 0;
    m_ownerIterations = iterations;
    const bool stalled = m_renewalsWithoutProgress >= maxRenewalsWithoutProgress;
    const std::lock_guard lock(m_mutex);
    if (m_ownerStalled.exchange(stalled) != stalled) {
        logEvent(stalled ? LogLevel::Error : LogLevel::Warn,
                 stalled ? "owner_stalled" : "owner_resumed",
                 {{"fence", std::to_string(m_fence)}, {"renewals", std::to_string(maxRenewalsWithoutProgress)}});
    }
    if (stalled && m_fence != 0) {
        m_releaseReason = "the owner's thread has decided nothing during " + std::to_string(maxRenewalsWithoutProgress) + " renewals of the lease";
    }
}

// Ends the lease, which removes the ownership key if it is still held by this VM, so that another VM can take it.
void Session::Private::releaseOwnershipIfRequested()
{
    std::string reason;
    std::int64_t lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        std::swap(reason, m_releaseReason);
        if (reason.empty() || m_fence == 0) {
            return;
        }
        std::swap(lease, m_leaseId);
    }
    endOwnership(reason);
    if (!m_store->revokeLease(lease).ok()) {
        logEvent(LogLevel::Warn, "session_not_ended", {{"lease", std::to_string(lease)}, {"outcome", "the lease will expire by itself"}});
    }
}

bool Session::Private::waitForNextRenewal(Duration time)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, time, [&] { return m_closed || !m_releaseReason.empty(); });
    return !m_closed;
}

void Session::Private::runRenewals()
{
    Duration pause(0);
    while (waitForNextRenewal(pause)) {
        const auto startedAt = bootClockNow();
        requestHandOverToLargerVm();
        superviseOwner();
        releaseOwnershipIfRequested();
        std::int64_t lease = 0;
        Duration period(0);
        {
            const std::lock_guard lock(m_mutex);
            lease = m_leaseId;
            period = m_fence != 0 ? ownerRenewalPeriod : renewalPeriod;
        }
        if (lease == 0) {
            openSession();
        } else {
            renewSession(lease);
        }
        // The pause is counted from the start of the call, so that a slow store does not delay the next renewal towards the end of the
        // lease.
        pause = std::max(minRenewalPause, period - (bootClockNow() - startedAt));
    }
}

// Returns the revision of the ownership key, which is the fence, if this process wrote the key under @p lease. A key under an earlier
// lease of this process is removed when that lease ends, and does not make this process the owner.
static std::optional<std::int64_t> fenceIfHeldBy(const std::optional<StoreItem> &item, const PeerVm &self, std::int64_t lease)
{
    const auto holder = item && item->m_leaseId == lease ? decodePeer(item->m_value) : std::nullopt;
    return holder && *holder == self ? std::optional(item->m_revision) : std::nullopt;
}

void Session::Private::tryAcquireOwnership()
{
    std::int64_t lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        lease = m_leaseId;
    }
    if (lease == 0) {
        return; // The lease has just expired, and a key without a lease would outlive this process.
    }
    const std::string key(StoreKeys::owner);
    const auto result = m_store->commit(StoreTransaction{.m_expectations = {{.m_key = key, .m_revision = 0}},
                                                         .m_writes = {{.m_key = key, .m_value = encodePeer(m_self), .m_leaseId = lease}},
                                                         .m_removals = {}});
    std::optional<std::int64_t> fence;
    if (result.ok() && result.value().m_committed) {
        fence = result.value().m_revision;
    } else if (!result.ok() && result.error().kind() == ErrorKind::DeadlineExceeded) {
        const auto item = m_store->get(key); // The write may have been executed although its answer was lost.
        fence = item.ok() ? fenceIfHeldBy(item.value(), m_self, lease) : std::nullopt;
    } else if (result.ok() && !result.value().m_current.empty()) {
        fence = fenceIfHeldBy(result.value().m_current.front(), m_self, lease);
    }
    if (fence) {
        beginOwnership(*fence, lease);
    }
}

// Becomes the owner if the store holds this VM's key. Writes nothing, because after a handover the key may already be free for a
// larger VM before this VM's watch has reported it.
void Session::Private::adoptOwnershipKey()
{
    std::int64_t lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        lease = m_leaseId;
    }
    const auto item = m_store->get(std::string(StoreKeys::owner));
    const auto fence = item.ok() && lease != 0 ? fenceIfHeldBy(item.value(), m_self, lease) : std::nullopt;
    if (fence) {
        beginOwnership(*fence, lease);
    }
}

// Does nothing if @p lease, under which the ownership key was written, is no longer the lease of the session: the store has removed the key.
void Session::Private::beginOwnership(std::int64_t fence, std::int64_t lease)
{
    std::int64_t formerFence = 0; // Of the last ownership of this process.
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed || m_leaseId != lease) {
            return;
        }
        formerFence = m_endedFence;
        m_fence = fence;
        m_ownerSince = bootClockNow();
    }
    logEvent(LogLevel::Info,
             "ownership_acquired",
             {{"fence", std::to_string(fence)},
              {"former_fence", std::to_string(formerFence)},
              {"lease", std::to_string(lease)},
              {"lease_left_ms", std::to_string(m_leaseEndMs - toMilliseconds(bootClockNow()))},
              {"incarnation", m_self.m_incarnation}});
    m_callbacks.m_onOwnershipGained(fence);
}

void Session::Private::runElections()
{
    while (true) {
        bool namedAsOwner = false;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [&] { return m_closed || (electionNeeded() && m_fence == 0 && m_leaseId != 0); });
            // The delay ends early if an owner appears.
            if (!m_namedAsOwner) {
                m_changed.wait_for(lock, m_callbacks.m_electionDelay(), [&] { return m_closed || m_ownerKnown; });
            }
            if (m_closed) {
                return;
            }
            if (!electionNeeded()) {
                continue;
            }
            namedAsOwner = m_namedAsOwner;
        }
        if (namedAsOwner) {
            adoptOwnershipKey();
        } else if (!m_ownerStalled && m_callbacks.m_mayTakeOwnership()) {
            tryAcquireOwnership();
        }
        std::unique_lock lock(m_mutex);
        if (electionNeeded()) {
            m_changed.wait_for(lock, electionRetryPeriod, [&] { return m_closed; });
        }
    }
}

Session::Session(PeerVm self, Duration leaseTime, std::shared_ptr<PlatformStore> store, SessionCallbacks callbacks)
    : m_private(std::make_unique<Private>(std::move(self), leaseTime, std::move(store), std::move(callbacks)))
{
}

void Session::start()
{
    m_private->m_renewalThread = std::thread([state = m_private.get()] { state->runRenewals(); });
    m_private->m_electionThread = std::thread([state = m_private.get()] { state->runElections(); });
}

Session::~Session()
{
    stop();
}

void Session::stop()
{
    close();
    for (auto *thread : {&m_private->m_renewalThread, &m_private->m_electionThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void Session::setKnownOwner(const std::optional<FleetOwnerRecord> &owner)
{
    bool replaced = false;
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_ownerKnown = owner.has_value();
        m_private->m_namedAsOwner = owner && owner->m_vm == m_private->m_self;
        replaced = m_private->m_fence != 0 && owner && owner->m_fence > m_private->m_fence;
    }
    if (replaced) {
        m_private->endOwnership("the store names another owner");
    }
    m_private->m_changed.notify_all();
}

Instant Session::leaseEnd(std::int64_t fence) const
{
    const std::lock_guard lock(m_private->m_mutex);
    if (fence != 0 && fence == m_private->m_fence) {
        return fromMilliseconds(m_private->m_leaseEndMs);
    }
    return fence != 0 && fence == m_private->m_endedFence ? m_private->m_endedAt : Instant();
}

void Session::requestOwnershipRelease(std::int64_t fence, const std::string &reason)
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        if (m_private->m_fence != fence || fence == 0) {
            return;
        }
        m_private->m_releaseReason = reason;
    }
    m_private->m_changed.notify_all();
}

void Session::close()
{
    std::int64_t lease = 0;
    {
        const std::lock_guard lock(m_private->m_mutex);
        if (m_private->m_closed) {
            return;
        }
        m_private->m_closed = true;
        lease = m_private->m_leaseId;
    }
    m_private->m_changed.notify_all();
    m_private->endOwnership("this VM is stopping");
    if (lease != 0 && !m_private->m_store->revokeLease(lease).ok()) {
        logEvent(LogLevel::Warn, "session_not_ended", {{"lease", std::to_string(lease)}, {"outcome", "the lease will expire by itself"}});
    }
}

} // namespace PrimroseBridge
