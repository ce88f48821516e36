#pragma once

#include "simulationcore.h"

#include "primrosebridge/Kv/platformstore.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace PrimroseBridge {

/// A model of the platform's store. Its functions are what the store executes when a call arrives; the network is up to the caller.
class SimulatedStore
{
public:
    using WatchHandler = std::function<void(const Result<StoreChanges> &)>;

    explicit SimulatedStore(EventQueue &queue)
        : m_queue(queue)
    {
    }

    std::optional<StoreItem> get(const std::string &key) const;
    /// Reads a page of at most @p limit keys after @p after. Sets @p more if further keys follow.
    StoreListing list(const std::string &prefix, const std::string &after, std::size_t limit, bool &more) const;
    Result<StoreCommit> commit(const StoreTransaction &transaction);
    std::int64_t grantLease(Duration lifetime);
    Result<bool> renewLease(std::int64_t lease);
    Result<bool> revokeLease(std::int64_t lease);
    /// Calls @p handler once: with the changes after @p revision as soon as there are any, or at the end of @p wait.
    void watch(const std::string &prefix, std::int64_t revision, Duration wait, WatchHandler handler);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// Forgets the history, so that watches have to list again.
    void forgetHistory();

private:
    struct Item {
        std::string m_value;
        std::int64_t m_revision = 0;
        std::int64_t m_createRevision = 0;
        std::int64_t m_lease = 0;
    };
    struct Lease {
        Duration m_lifetime{0};
        Instant m_end;
    };
    struct Watch {
        std::string m_prefix;
        std::int64_t m_revision = 0;
        WatchHandler m_handler;
    };

    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void endLease(std::int64_t lease);
    void scheduleLeaseEnd(std::int64_t lease);
    [[nodiscard]] StoreChanges changesAfter(const std::string &prefix, std::int64_t revision) const;
    void answerWatches();
    StoreItem itemOf(const std::string &key, const Item &item) const;

    EventQueue &m_queue;
    std::int64_t m_revision = 1;
    std::map<std::string, Item> m_items;
    std::deque<StoreChange> m_history;
    std::int64_t m_historyStart = 1;
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_nextLease = 1;
    std::map<std::uint64_t, Watch> m_watches;
    std::uint64_t m_nextWatch = 0;
};

} // namespace PrimroseBridge
