#pragma once

#include "primrosebridge/Kv/platformstore.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// A watch whose connection has failed silently is detected after this time and the client's additional time-out. Together they stay
/// within the time in which a new configuration must be in force.
constexpr Duration watchTimeout(1500);

/// Callbacks of watchPrefix(), which run on the thread that called it.
struct WatchHandlers {
    std::function<void(const StoreListing &)> m_listed; ///< Receives all items below the prefix, which replace those that were known.
    std::function<void(const StoreChange &)> m_changed; ///< Receives the later changes one at a time, in the order of their revisions.
    /// Receives, after the listing or the changes, the revision up to which they are complete and the time on the boot clock at which the store was
    /// asked: whatever the store had acknowledged by then is among them. Optional.
    std::function<void(std::int64_t revision, Instant confirmedAt)> m_confirmed = nullptr;
};

/// Watches a prefix of the store until @p keepWatching returns false, which is checked at least every few seconds. Blocks the calling
/// thread.
///
/// Starts after @p revision, or with a listing if @p revision is empty. Lists the prefix again if the store has compacted the history
/// that the watch needs. The store is asked at least once in @p longestWait while it answers.
void watchPrefix(PlatformStore &store,
                 const std::string &prefix,
                 std::optional<std::int64_t> revision,
                 const WatchHandlers &handlers,
                 const std::function<bool()> &keepWatching,
                 Duration longestWait = watchTimeout);

} // namespace PrimroseBridge
