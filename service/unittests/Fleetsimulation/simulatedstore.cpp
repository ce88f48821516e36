#include "simulatedstore.h"

namespace PrimroseBridge {

StoreItem SimulatedStore::itemOf(const std::string &key, const Item &item) const
{
    return StoreItem{
        .m_key = key, .m_value = item.m_value, .m_revision = item.m_revision, .m_createRevision = item.m_createRevision, .m_leaseId = item.m_lease};
}

std::optional<StoreItem> SimulatedStore::get(const std::string &key) const
{
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional<StoreItem>(itemOf(key, found->second));
}

StoreListing SimulatedStore::list(const std::string &prefix, const std::string &after, std::size_t limit, bool &more) const
{
    std::vector<StoreItem> items;
    more = false;
    for (auto entry = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); entry != m_items.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        if (items.size() == limit) {
            more = true;
            break;
        }
        items.push_back(itemOf(entry->first, entry->second));
    }
    return StoreListing{.m_items = std::move(items), .m_revision = m_revision};
}

void SimulatedStore::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    auto &item = m_items[key];
    item.m_value = value;
    item.m_createRevision = item.m_createRevision == 0 ? m_revision : item.m_createRevision;
    item.m_revision = m_revision;
    item.m_lease = lease;
    m_history.push_back(StoreChange{.m_key = key, .m_value = value, .m_revision = m_revision, .m_createRevision = item.m_createRevision, .m_removed = false});
}

void SimulatedStore::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_history.push_back(StoreChange{.m_key = key, .m_value = {}, .m_revision = m_revision, .m_createRevision = 0, .m_removed = true});
    }
}

Result<StoreCommit> SimulatedStore::commit(const StoreTransaction &transaction)
{
    for (const auto &entry : transaction.m_writes) {
        if (entry.m_leaseId != 0 && !m_leases.contains(entry.m_leaseId)) {
            return Error(ErrorKind::NotFound, "the lease does not exist", "create it first");
        }
    }
    bool holds = true;
    std::vector<StoreItem> current;
    for (const auto &expectation : transaction.m_expectations) {
        const auto found = m_items.find(expectation.m_key);
        holds = holds && (found == m_items.end() ? 0 : found->second.m_revision) == expectation.m_revision;
        if (found != m_items.end()) {
            current.push_back(itemOf(found->first, found->second));
        }
    }
    if (!holds) {
        return StoreCommit{.m_committed = false, .m_revision = 0, .m_current = std::move(current)};
    }
    ++m_revision;
    for (const auto &entry : transaction.m_writes) {
        write(entry.m_key, entry.m_value, entry.m_leaseId);
    }
    for (const auto &key : transaction.m_removals) {
        erase(key);
    }
    answerWatches();
    return StoreCommit{.m_committed = true, .m_revision = m_revision, .m_current = {}};
}

std::int64_t SimulatedStore::grantLease(Duration lifetime)
{
    const auto lease = m_nextLease++;
    m_leases[lease] = Lease{.m_lifetime = lifetime, .m_end = m_queue.now() + lifetime};
    scheduleLeaseEnd(lease);
    return lease;
}

void SimulatedStore::scheduleLeaseEnd(std::int64_t lease)
{
    m_queue.add(m_leases.at(lease).m_end, [this, lease] {
        const auto found = m_leases.find(lease);
        if (found == m_leases.end()) {
            return;
        }
        if (m_queue.now() >= found->second.m_end) {
            endLease(lease);
        } else {
            scheduleLeaseEnd(lease);
        }
    });
}

Result<bool> SimulatedStore::renewLease(std::int64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return Error(ErrorKind::NotFound, "the lease does not exist", "create it first");
    }
    found->second.m_end = m_queue.now() + found->second.m_lifetime;
    return true;
}

Result<bool> SimulatedStore::revokeLease(std::int64_t lease)
{
    if (!m_leases.contains(lease)) {
        return Error(ErrorKind::NotFound, "the lease does not exist", "create it first");
    }
    endLease(lease);
    return true;
}

void SimulatedStore::endLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_items) {
        if (item.m_lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        ++m_revision;
        erase(key);
    }
    answerWatches();
}

void SimulatedStore::put(const std::string &key, const std::string &value)
{
    ++m_revision;
    write(key, value, 0);
    answerWatches();
}

void SimulatedStore::remove(const std::string &key)
{
    ++m_revision;
    erase(key);
    answerWatches();
}

void SimulatedStore::forgetHistory()
{
    m_history.clear();
    m_historyStart = m_revision;
}

StoreChanges SimulatedStore::changesAfter(const std::string &prefix, std::int64_t revision) const
{
    std::vector<StoreChange> changes;
    for (auto change = m_history.rbegin(); change != m_history.rend() && change->m_revision > revision; ++change) {
        if (change->m_key.starts_with(prefix)) {
            changes.push_back(*change);
        }
    }
    return StoreChanges{.m_changes = std::vector<StoreChange>(changes.rbegin(), changes.rend()), .m_revision = m_revision};
}

void SimulatedStore::watch(const std::string &prefix, std::int64_t revision, Duration wait, WatchHandler handler)
{
    if (revision < m_historyStart) {
        handler(Error(ErrorKind::Conflict, "the history is gone", "list again"));
        return;
    }
    const auto changes = changesAfter(prefix, revision);
    if (!changes.m_changes.empty()) {
        handler(changes);
        return;
    }
    const auto number = m_nextWatch++;
    m_watches[number] = Watch{.m_prefix = prefix, .m_revision = revision, .m_handler = std::move(handler)};
    m_queue.add(m_queue.now() + wait, [this, number] {
        if (const auto found = m_watches.find(number); found != m_watches.end()) {
            const auto ended = std::move(found->second);
            m_watches.erase(found);
            ended.m_handler(changesAfter(ended.m_prefix, ended.m_revision));
        }
    });
}

void SimulatedStore::answerWatches()
{
    for (auto entry = m_watches.begin(); entry != m_watches.end();) {
        const auto changes = changesAfter(entry->second.m_prefix, entry->second.m_revision);
        if (changes.m_changes.empty()) {
            ++entry;
            continue;
        }
        entry->second.m_handler(changes);
        entry = m_watches.erase(entry);
    }
}

} // namespace PrimroseBridge
