#pragma once

#include "primrosebridge/Model/result.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace PrimroseBridge::Standin {

/// Largest value, as the platform's store limits it.
constexpr std::size_t maxValueBytes = 1024 * 1024;
/// Most operations in one transaction; the default of etcd.
constexpr std::size_t maxTransactionOperations = 128;

/// One key as stored.
struct StoredKey {
    const std::string m_key;
    const std::string m_value;
    const std::int64_t m_createRevision;
    const std::int64_t m_modRevision;
    const std::int64_t m_version; ///< Number of writes since the key was created.
    const std::int64_t m_lease; ///< 0 for none.

    bool operator==(const StoredKey &) const = default;
};

using StoredKeyPointer = std::shared_ptr<const StoredKey>;

/// The keys from m_key up to but not including m_end. An empty end means the single key; "\0" means every key from m_key on.
struct KeyRange {
    const std::string m_key;
    const std::string m_end;

    bool operator==(const KeyRange &) const = default;
};

/// True if the range includes @p key. Thread-safe.
bool includes(const KeyRange &range, const std::string &key);

struct ReadOperation {
    const KeyRange m_range;
    const std::int64_t m_limit; ///< 0 for no limit.

    bool operator==(const ReadOperation &) const = default;
};

struct PutOperation {
    const std::string m_key;
    const std::string m_value;
    const std::int64_t m_lease;

    bool operator==(const PutOperation &) const = default;
};

struct DeleteOperation {
    const KeyRange m_range;

    bool operator==(const DeleteOperation &) const = default;
};

using Operation = std::variant<ReadOperation, PutOperation, DeleteOperation>;

enum class ComparisonTarget {
    Version,
    Create,
    Mod,
    Value,
};

enum class ComparisonResult {
    Equal,
    Greater,
    Less,
    NotEqual,
};

struct Comparison {
    const std::string m_key;
    const ComparisonTarget m_target;
    const ComparisonResult m_result;
    const std::int64_t m_number; ///< For Version, Create and Mod.
    const std::string m_value; ///< For Value.

    bool operator==(const Comparison &) const = default;
};

struct TransactionRequest {
    const std::vector<Comparison> m_compare;
    const std::vector<Operation> m_success;
    const std::vector<Operation> m_failure;

    bool operator==(const TransactionRequest &) const = default;
};

/// The answer to one operation of a transaction.
struct OperationAnswer {
    const std::size_t m_operation; ///< Index of the alternative in Operation.
    const std::vector<StoredKeyPointer> m_keys; ///< For a read.
    const std::int64_t m_count; ///< Keys in the range, or keys deleted.

    bool operator==(const OperationAnswer &) const = default;
};

struct TransactionAnswer {
    const bool m_succeeded;
    const std::int64_t m_revision;
    const std::vector<OperationAnswer> m_answers;

    bool operator==(const TransactionAnswer &) const = default;
};

struct StoreEvent {
    const bool m_deleted;
    const StoredKeyPointer m_key; ///< Without value if deleted; its mod revision is the event's revision.

    bool operator==(const StoreEvent &) const = default;
};

/// Events of one wait, or the reason why a watch must end.
struct EventBatch {
    const std::vector<StoreEvent> m_events;
    const std::int64_t m_revision; ///< Every event up to this revision has been delivered.
    const std::int64_t m_compactedRevision; ///< Above 0 if the requested start is no longer in the history.

    bool operator==(const EventBatch &) const = default;
};

/// Keys, leases and history of the stand-in store. All public functions are thread-safe.
///
/// One lock covers the whole store because one revision counter orders all of its writes.
class KeyValueStore
{
public:
    KeyValueStore();
    ~KeyValueStore();
    KeyValueStore(const KeyValueStore &) = delete;
    KeyValueStore &operator=(const KeyValueStore &) = delete;

    /// Runs a transaction. Errors: InvalidArgument, TooLarge or NotFound (lease); nothing has been written then.
    Result<TransactionAnswer> commit(const TransactionRequest &request);
    /// Creates a lease of @p seconds; @p wanted is its identifier, or 0 to choose one.
    Result<std::int64_t> grantLease(std::int64_t seconds, std::int64_t wanted);
    /// Renews a lease and returns its seconds, or 0 if it does not exist.
    std::int64_t renewLease(std::int64_t lease);
    /// Ends a lease and deletes its keys; false if it does not exist.
    bool revokeLease(std::int64_t lease);
    /// Waits up to @p wait for events in @p range from @p startRevision on.
    EventBatch waitForEvents(const KeyRange &range, std::int64_t startRevision, std::chrono::milliseconds wait);
    /// Revision of the last write.
    std::int64_t revision() const;
    /// True after stop().
    bool stopped() const;
    /// Makes all waits return at once, now and later.
    void stop();

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    struct Lease {
        const std::int64_t m_seconds;
        const SteadyTime m_end;
    };

    std::optional<Error> check(const std::vector<Operation> &operations) const;
    bool holds(const Comparison &comparison) const;
    std::vector<StoredKeyPointer> keysIn(const KeyRange &range) const;
    OperationAnswer apply(const Operation &operation, std::int64_t revision);
    void put(const PutOperation &operation, std::int64_t revision);
    void erase(const std::string &key, std::int64_t revision);
    void record(StoreEvent event);
    void endLease(std::int64_t lease);
    void runLeases();

    mutable std::mutex m_mutex;
    std::condition_variable m_changed; ///< A write happened, a lease changed, or the store stops.
    std::map<std::string, StoredKeyPointer> m_keys;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<StoreEvent> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compacted = 0; ///< Events up to this revision are gone from m_history.
    std::int64_t m_nextLease;
    bool m_stopping = false;
    std::thread m_leaseThread;
};

} // namespace PrimroseBridge::Standin
