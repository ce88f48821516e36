#include "session.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/bootclock.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

namespace PrimroseBridge {

// Four renewals of the owner fit into the shortest lease, so that a lost packet does not end it.
static constexpr Duration ownerRenewalPeriod(250);
// The other VMs lose only their registration if a renewal is late; twice as many calls would tell them nothing more.
static constexpr Duration renewalPeriod(550);
// Between renewals even if the store answers late or refuses.
static constexpr Duration shortestPause(50);
// The owner's key is looked for again this often while no owner is known, in case the watch missed its removal.
static constexpr Duration electionPeriod(250);
// The list of VMs is complete by then, and a VM that takes over after a failure has found out what runs.
static constexpr Duration shortestOwnership(2000);
// A VM that has handed over and became the owner again keeps the fleet for this long: the larger one may be unable to take it.
static constexpr Duration handOverPause(30000);

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
    bool m_ownerKnown = true;
    bool m_namedAsOwner = false; // The store names this process as the owner.
    std::int64_t m_lease = 0;
    std::int64_t m_fence = 0; // 0 while this VM is not the owner.
    Instant m_ownerSince; // Boot clock, like the next.
    Instant m_nextHandOver;
    std::string m_supersededReason; // Not empty if the ownership has to be given up.
    std::atomic<std::int64_t> m_validUntil = 0; // Boot clock in milliseconds.
    std::thread m_renewer;
    std::thread m_elector;

    void renew();
    void elect();
    void openLease();
    void keepLease(std::int64_t lease);
    void tryAcquire();
    void takeUpKey();
    void become(std::int64_t fence);
    void lose(const std::string &reason);
    void preferLargerOwner();
    void yieldOwnership();
    bool waitFor(Duration time);
    // A write of the key that was carried out late makes this VM the owner without its knowledge; it then has to take the key up,
    // because the key stays as long as the session does. The caller holds the lock.
    [[nodiscard]] bool mustElect() const
    {
        return !m_ownerKnown || (m_namedAsOwner && m_fence == 0);
    }
};

void Session::Private::lose(const std::string &reason)
{
    std::int64_t fence = 0;
    {
        const std::lock_guard lock(m_mutex);
        std::swap(fence, m_fence);
    }
    if (fence != 0) {
        m_callbacks.m_onOwnershipLost(fence, reason);
    }
}

void Session::Private::openLease()
{
    const auto sentAt = bootClockNow();
    const auto lease = m_store->grantLease(m_leaseTime);
    if (!lease.ok()) {
        return; // Tried again after the renewal period; the watches log that the store is away.
    }
    const auto key = std::string(StoreKeys::vms) + m_self.m_vm;
    const auto registered = m_store->commit(
        StoreTransaction{.m_expectations = {}, .m_writes = {{.m_key = key, .m_value = encodePeer(m_self), .m_lease = lease.value()}}, .m_removals = {}});
    if (!registered.ok()) {
        return;
    }
    logEvent(LogLevel::Info, "session_opened", {{"lease", std::to_string(lease.value())}});
    m_validUntil = toMilliseconds(sentAt + m_leaseTime);
    {
        const std::lock_guard lock(m_mutex);
        m_lease = lease.value();
    }
    m_changed.notify_all();
}

void Session::Private::keepLease(std::int64_t lease)
{
    const auto sentAt = bootClockNow();
    const auto renewed = m_store->renewLease(lease);
    if (renewed.ok()) {
        m_validUntil = toMilliseconds(sentAt + m_leaseTime);
        return;
    }
    if (renewed.error().kind() != ErrorKind::NotFound) {
        return;
    }
    logEvent(LogLevel::Warn, "session_lapsed", {{"lease", std::to_string(lease)}});
    {
        const std::lock_guard lock(m_mutex);
        m_lease = 0;
    }
    lose("the session's lease has lapsed");
    openLease();
}

// A small VM may have become the owner while the larger ones were starting or away. A handover takes well under a second.
void Session::Private::preferLargerOwner()
{
    const auto now = bootClockNow();
    {
        const std::lock_guard lock(m_mutex);
        if (m_fence == 0 || now - m_ownerSince < shortestOwnership || now < m_nextHandOver) {
            return;
        }
    }
    if (m_callbacks.m_electionDelay() == Duration(0)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_nextHandOver = now + handOverPause;
    m_supersededReason = "a VM with more processor can own the fleet";
}

// If the key is still this VM's, nobody else could take it; ending the lease removes it.
void Session::Private::yieldOwnership()
{
    std::string reason;
    std::int64_t lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        std::swap(reason, m_supersededReason);
        if (reason.empty() || m_fence == 0) {
            return;
        }
        std::swap(lease, m_lease);
    }
    lose(reason);
    if (!m_store->revokeLease(lease).ok()) {
        logEvent(LogLevel::Warn, "session_not_ended", {{"lease", std::to_string(lease)}, {"outcome", "the lease lapses by itself"}});
    }
}

bool Session::Private::waitFor(Duration time)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, time, [&] { return m_closed || !m_supersededReason.empty(); });
    return !m_closed;
}

void Session::Private::renew()
{
    Duration pause(0);
    while (waitFor(pause)) {
        const auto startedAt = bootClockNow();
        preferLargerOwner();
        yieldOwnership();
        std::int64_t lease = 0;
        Duration period(0);
        {
            const std::lock_guard lock(m_mutex);
            lease = m_lease;
            period = m_fence != 0 ? ownerRenewalPeriod : renewalPeriod;
        }
        if (lease == 0) {
            openLease();
        } else {
            keepLease(lease);
        }
        // Counted from the call's start, so that a slow store does not stretch the period towards the lease time.
        pause = std::max(shortestPause, period - (bootClockNow() - startedAt));
    }
}

// The revision at which the owner's key was written by this process under @p lease, if it was. Under an earlier lease of the process
// the key goes when that lease ends, and says nothing about the present one.
static std::optional<std::int64_t> ownRevision(const std::optional<StoreItem> &item, const PeerVm &self, std::int64_t lease)
{
    const auto holder = item && item->m_lease == lease ? decodePeer(item->m_value) : std::nullopt;
    return holder && *holder == self ? std::optional(item->m_revision) : std::nullopt;
}

void Session::Private::tryAcquire()
{
    std::int64_t lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        lease = m_lease;
    }
    if (lease == 0) {
        return; // The lease lapsed just now. A key written without one would outlive this process.
    }
    const std::string key(StoreKeys::owner);
    const auto result = m_store->commit(StoreTransaction{
        .m_expectations = {{.m_key = key, .m_revision = 0}}, .m_writes = {{.m_key = key, .m_value = encodePeer(m_self), .m_lease = lease}}, .m_removals = {}});
    std::optional<std::int64_t> fence;
    if (result.ok() && result.value().m_committed) {
        fence = result.value().m_revision;
    } else if (!result.ok() && result.error().kind() == ErrorKind::DeadlineExceeded) {
        const auto item = m_store->get(key); // The answer may be lost after the write was made.
        fence = item.ok() ? ownRevision(item.value(), m_self, lease) : std::nullopt;
    } else if (result.ok() && !result.value().m_current.empty()) {
        fence = ownRevision(result.value().m_current.front(), m_self, lease);
    }
    if (fence) {
        become(*fence);
    }
}

// Writes nothing: after a handover the store's key may be free for a larger VM before this VM's watch tells so.
void Session::Private::takeUpKey()
{
    std::int64_t lease = 0;
    {
        const std::lock_guard lock(m_mutex);
        lease = m_lease;
    }
    const auto item = m_store->get(std::string(StoreKeys::owner));
    const auto fence = item.ok() && lease != 0 ? ownRevision(item.value(), m_self, lease) : std::nullopt;
    if (fence) {
        become(*fence);
    }
}

void Session::Private::become(std::int64_t fence)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed) {
            return;
        }
        m_fence = fence;
        m_ownerSince = bootClockNow();
    }
    logEvent(LogLevel::Info, "ownership_acquired", {{"fence", std::to_string(fence)}});
    m_callbacks.m_onOwnershipGained(fence);
}

void Session::Private::elect()
{
    while (true) {
        bool named = false;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [&] { return m_closed || (mustElect() && m_fence == 0 && m_lease != 0); });
            // An owner that appears meanwhile ends the wait.
            if (!m_namedAsOwner) {
                m_changed.wait_for(lock, m_callbacks.m_electionDelay(), [&] { return m_closed || m_ownerKnown; });
            }
            if (m_closed) {
                return;
            }
            if (!mustElect()) {
                continue;
            }
            named = m_namedAsOwner;
        }
        if (named) {
            takeUpKey();
        } else if (m_callbacks.m_mayTakeOwnership()) {
            tryAcquire();
        }
        std::unique_lock lock(m_mutex);
        if (mustElect()) {
            m_changed.wait_for(lock, electionPeriod, [&] { return m_closed; });
        }
    }
}

Session::Session(PeerVm self, Duration leaseTime, std::shared_ptr<PlatformStore> store, SessionCallbacks callbacks)
    : m_private(std::make_unique<Private>(std::move(self), leaseTime, std::move(store), std::move(callbacks)))
{
    m_private->m_renewer = std::thread([state = m_private.get()] { state->renew(); });
    m_private->m_elector = std::thread([state = m_private.get()] { state->elect(); });
}

Session::~Session()
{
    close();
    m_private->m_renewer.join();
    m_private->m_elector.join();
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
        m_private->lose("the store names another owner");
    }
    m_private->m_changed.notify_all();
}

Instant Session::leaseEnd() const
{
    return fromMilliseconds(m_private->m_validUntil);
}

void Session::requestOwnershipRelease(std::int64_t fence, const std::string &reason)
{
    {
        const std::lock_guard lock(m_private->m_mutex);
        if (m_private->m_fence != fence || fence == 0) {
            return;
        }
        m_private->m_supersededReason = reason;
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
        lease = m_private->m_lease;
    }
    m_private->m_changed.notify_all();
    m_private->lose("this VM is stopping");
    if (lease != 0 && !m_private->m_store->revokeLease(lease).ok()) {
        logEvent(LogLevel::Warn, "session_not_ended", {{"lease", std::to_string(lease)}, {"outcome", "the lease lapses by itself"}});
    }
}

} // namespace PrimroseBridge
