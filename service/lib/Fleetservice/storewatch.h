#pragma once

#include "primrosebridge/Kv/platformstore.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>

namespace PrimroseBridge {

/// What a follower of a prefix does with what it learns.
struct WatchHandlers {
    std::function<void(const StoreListing &)> m_listed; ///< Everything below the prefix; replaces what was known.
    std::function<void(const StoreChange &)> m_changed;
};

/// Follows a prefix of the store until @p keepWatching returns false, checked at least every few seconds. Blocks the calling thread.
///
/// Starts from @p revision, or with a listing if it is empty, and lists again when the store no longer keeps the history.
void watchPrefix(
    PlatformStore &store, const std::string &prefix, std::optional<std::int64_t> revision, const WatchHandlers &handlers, const std::function<bool()> &keepWatching);

} // namespace PrimroseBridge
