#include "storewatch.h"

#include "primrosebridge/Observe/log.h"

#include <thread>

namespace PrimroseBridge {

// A watch whose connection has gone silent is noticed after this wait and the client's slack, within the bound for a
// configuration to be in force.
static constexpr Duration watchWait(1500);
// Between attempts while the store does not answer.
static constexpr Duration retryDelay(150);
static constexpr std::int64_t mustList = -1; // No revision is known to go on from.

static void logTrouble(const std::string &prefix, const Error &error, bool &troubled)
{
    if (!troubled) {
        logEvent(LogLevel::Warn, "watch_interrupted", {{"prefix", prefix}, {"error", error.message()}});
    }
    troubled = true;
}

void watchPrefix(
    PlatformStore &store, const std::string &prefix, std::optional<std::int64_t> revision, const WatchHandlers &handlers, const std::function<bool()> &keepWatching)
{
    bool troubled = false;
    auto position = revision.value_or(mustList);
    while (keepWatching()) {
        if (position == mustList) {
            const auto listing = store.list(prefix);
            if (!listing.ok()) {
                logTrouble(prefix, listing.error(), troubled);
                std::this_thread::sleep_for(retryDelay);
                continue;
            }
            handlers.m_listed(listing.value());
            position = listing.value().m_revision;
        }
        const auto changes = store.watch(prefix, position, watchWait);
        if (!changes.ok()) {
            logTrouble(prefix, changes.error(), troubled);
            if (changes.error().kind() == ErrorKind::Conflict) {
                position = mustList;
            } else {
                std::this_thread::sleep_for(retryDelay);
            }
            continue;
        }
        if (troubled) {
            logEvent(LogLevel::Info, "watch_resumed", {{"prefix", prefix}, {"revision", std::to_string(changes.value().m_revision)}});
            troubled = false;
        }
        for (const auto &change : changes.value().m_changes) {
            handlers.m_changed(change);
        }
        position = changes.value().m_revision;
    }
}

} // namespace PrimroseBridge
