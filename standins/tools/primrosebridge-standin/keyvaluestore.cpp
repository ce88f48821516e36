#include "keyvaluestore.h"

#include <algorithm>
#include <set>
#include <utility>

namespace PrimroseBridge::Standin {

namespace {

constexpr std::size_t maxHistory = 200000; // Bounds the memory of long demos.
constexpr std::int64_t maxLeaseSeconds = 9000000000; // The limit of etcd.

template<class T>
bool compareValues(const T &left, const T &right, ComparisonResult result)
{
    switch (result) {
    case ComparisonResult::Equal:
        return left == right;
    case ComparisonResult::Greater:
        return left > right;
    case ComparisonResult::Less:
        return left < right;
    case ComparisonResult::NotEqual:
        return left != right;
    }
    return false;
}

std::int64_t numberOf(const StoredKeyPointer &key, ComparisonTarget target)
{
    if (!key) {
        return 0;
    }
    switch (target) {
    case ComparisonTarget::Version:
        return key->m_version;
    case ComparisonTarget::Create:
        return key->m_createRevision;
    default:
        return key->m_modRevision;
    }
}

} // namespace

bool includes(const KeyRange &range, const std::string &key)
{
    if (range.m_end.empty()) {
        return key == range.m_key;
    }
    if (range.m_end == std::string(1, '\0')) {
        return key >= range.m_key;
    }
    return key >= range.m_key && key < range.m_end;
}

KeyValueStore::KeyValueStore()
    : m_nextLease(std::chrono::system_clock::now().time_since_epoch().count() & 0x7fffffffffffLL)
{
    m_leaseThread = std::thread([this] { runLeases(); });
}

KeyValueStore::~KeyValueStore()
{
    stop();
    m_leaseThread.join();
}

void KeyValueStore::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
}

bool KeyValueStore::stopped() const
{
    const std::lock_guard lock(m_mutex);
    return m_stopping;
}

std::int64_t KeyValueStore::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

std::optional<Error> KeyValueStore::check(const std::vector<Operation> &operations) const
{
    if (operations.size() > maxTransactionOperations) {
        return Error(ErrorKind::InvalidArgument, "etcdserver: too many operations in txn request", "send at most 128 operations");
    }
    std::set<std::string> written;
    for (const auto &operation : operations) {
        const auto *put = std::get_if<PutOperation>(&operation);
        if (put == nullptr) {
            continue;
        }
        if (put->m_value.size() > maxValueBytes) {
            return Error(ErrorKind::TooLarge, "etcdserver: request is too large", "store values of at most 1 MB");
        }
        if (put->m_lease != 0 && m_leases.count(put->m_lease) == 0) {
            return Error(ErrorKind::NotFound, "etcdserver: requested lease not found", "grant a new lease");
        }
        if (!written.insert(put->m_key).second) {
            return Error(ErrorKind::InvalidArgument, "etcdserver: duplicate key given in txn request", "write each key once");
        }
    }
    return std::nullopt;
}

bool KeyValueStore::holds(const Comparison &comparison) const
{
    const auto found = m_keys.find(comparison.m_key);
    const StoredKeyPointer key = found == m_keys.end() ? nullptr : found->second;
    if (comparison.m_target == ComparisonTarget::Value) {
        return key && compareValues(key->m_value, comparison.m_value, comparison.m_result);
    }
    return compareValues(numberOf(key, comparison.m_target), comparison.m_number, comparison.m_result);
}

std::vector<StoredKeyPointer> KeyValueStore::keysIn(const KeyRange &range) const
{
    std::vector<StoredKeyPointer> found;
    for (auto entry = m_keys.lower_bound(range.m_key); entry != m_keys.end() && includes(range, entry->first); ++entry) {
        found.push_back(entry->second);
    }
    return found;
}

void KeyValueStore::record(StoreEvent event)
{
    m_history.push_back(std::move(event));
    while (m_history.size() > maxHistory) {
        m_compacted = m_history.front().m_key->m_modRevision;
        m_history.pop_front();
    }
}

void KeyValueStore::put(const PutOperation &operation, std::int64_t revision)
{
    const auto found = m_keys.find(operation.m_key);
    const bool exists = found != m_keys.end();
    const auto stored = std::make_shared<const StoredKey>(StoredKey{operation.m_key,
                                                                    operation.m_value,
                                                                    exists ? found->second->m_createRevision : revision,
                                                                    revision,
                                                                    exists ? found->second->m_version + 1 : 1,
                                                                    operation.m_lease});
    m_keys.insert_or_assign(operation.m_key, stored);
    record({false, stored});
}

void KeyValueStore::erase(const std::string &key, std::int64_t revision)
{
    m_keys.erase(key);
    record({true, std::make_shared<const StoredKey>(StoredKey{key, "", 0, revision, 0, 0})});
}

OperationAnswer KeyValueStore::apply(const Operation &operation, std::int64_t revision)
{
    if (const auto *write = std::get_if<PutOperation>(&operation)) {
        put(*write, revision);
        return {operation.index(), {}, 0};
    }
    if (const auto *deletion = std::get_if<DeleteOperation>(&operation)) {
        const auto keys = keysIn(deletion->m_range);
        for (const auto &key : keys) {
            erase(key->m_key, revision);
        }
        return {operation.index(), {}, static_cast<std::int64_t>(keys.size())};
    }
    const auto &read = std::get<ReadOperation>(operation);
    auto keys = keysIn(read.m_range);
    const auto count = static_cast<std::int64_t>(keys.size());
    if (read.m_limit > 0 && count > read.m_limit) {
        keys.resize(static_cast<std::size_t>(read.m_limit));
    }
    return {operation.index(), std::move(keys), count};
}

Result<TransactionAnswer> KeyValueStore::commit(const TransactionRequest &request)
{
    std::unique_lock lock(m_mutex);
    for (const auto *operations : {&request.m_success, &request.m_failure}) {
        if (const auto fault = check(*operations)) {
            return *fault;
        }
    }
    const bool succeeded = std::all_of(request.m_compare.begin(), request.m_compare.end(), [this](const Comparison &one) { return holds(one); });
    const auto &operations = succeeded ? request.m_success : request.m_failure;
    const std::int64_t next = m_revision + 1;
    std::vector<OperationAnswer> answers;
    answers.reserve(operations.size());
    for (const auto &operation : operations) {
        answers.push_back(apply(operation, next));
    }
    // As in etcd, a deletion that finds no key does not raise the revision.
    if (!m_history.empty() && m_history.back().m_key->m_modRevision == next) {
        m_revision = next;
    }
    const std::int64_t reached = m_revision;
    lock.unlock();
    m_changed.notify_all();
    return TransactionAnswer{succeeded, reached, std::move(answers)};
}

Result<std::int64_t> KeyValueStore::grantLease(std::int64_t seconds, std::int64_t wanted)
{
    if (seconds < 1 || seconds > maxLeaseSeconds) {
        return Error(ErrorKind::InvalidArgument, "etcdserver: too large lease TTL", "use 1 to 9000000000 seconds");
    }
    std::unique_lock lock(m_mutex);
    const std::int64_t lease = wanted != 0 ? wanted : ++m_nextLease;
    const bool created = m_leases.emplace(lease, Lease{seconds, std::chrono::steady_clock::now() + std::chrono::seconds(seconds)}).second;
    lock.unlock();
    if (!created) {
        return Error(ErrorKind::InvalidArgument, "etcdserver: lease already exists", "use another identifier");
    }
    m_changed.notify_all();
    return lease;
}

std::int64_t KeyValueStore::renewLease(std::int64_t lease)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return 0;
    }
    const std::int64_t seconds = found->second.m_seconds;
    m_leases.erase(found);
    m_leases.emplace(lease, Lease{seconds, std::chrono::steady_clock::now() + std::chrono::seconds(seconds)});
    return seconds;
}

bool KeyValueStore::revokeLease(std::int64_t lease)
{
    std::unique_lock lock(m_mutex);
    if (m_leases.count(lease) == 0) {
        return false;
    }
    endLease(lease);
    lock.unlock();
    m_changed.notify_all();
    return true;
}

void KeyValueStore::endLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[name, key] : m_keys) {
        if (key->m_lease == lease) {
            keys.push_back(name);
        }
    }
    if (keys.empty()) {
        return;
    }
    ++m_revision;
    for (const auto &key : keys) {
        erase(key, m_revision);
    }
}

void KeyValueStore::runLeases()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        const auto first
            = std::min_element(m_leases.begin(), m_leases.end(), [](const auto &left, const auto &right) { return left.second.m_end < right.second.m_end; });
        if (first == m_leases.end()) {
            m_changed.wait(lock);
            continue;
        }
        const auto due = first->second.m_end;
        if (due > std::chrono::steady_clock::now()) {
            m_changed.wait_until(lock, due);
            continue;
        }
        endLease(first->first);
        m_changed.notify_all();
    }
}

EventBatch KeyValueStore::waitForEvents(const KeyRange &range, std::int64_t startRevision, std::chrono::milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&] { return m_stopping || m_revision >= startRevision; });
    if (startRevision <= m_compacted) {
        return {{}, m_revision, m_compacted};
    }
    // The history is ordered by revision, and all events of one transaction share one.
    const auto first = std::lower_bound(
        m_history.begin(), m_history.end(), startRevision, [](const StoreEvent &event, std::int64_t wanted) { return event.m_key->m_modRevision < wanted; });
    std::vector<StoreEvent> events;
    std::copy_if(first, m_history.end(), std::back_inserter(events), [&range](const StoreEvent &event) { return includes(range, event.m_key->m_key); });
    return {std::move(events), m_revision, 0};
}

} // namespace PrimroseBridge::Standin
