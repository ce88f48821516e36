#include "storewatch.h"

#include "primrosebridge/Http/bootclock.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <thread>

namespace PrimroseBridge {

// While the store does not answer, a failed call is repeated after this delay.
static constexpr Duration retryDelay(150);
// Wait of the first watch after an interruption, so that a confirmation is not late by the whole wait of the watch that failed.
static constexpr Duration waitAfterInterruption(100);
static constexpr std::int64_t unknownRevision = -1; // The prefix has to be listed before it can be watched.

// Logs only the first failure of an interruption.
static void logFirstFailure(const std::string &prefix, const Error &error, bool &interrupted)
{
    if (!interrupted) {
        logEvent(LogLevel::Warn, "watch_interrupted", {{"prefix", prefix}, {"error", error.message()}});
    }
    interrupted = true;
}

static void confirm(const WatchHandlers &handlers, std::int64_t revision, Instant confirmedAt)
{
    if (handlers.m_confirmed) {
        handlers.m_confirmed(revision, confirmedAt);
    }
}

void watchPrefix(PlatformStore &store,
                 const std::string &prefix,
                 std::optional<std::int64_t> revision,
                 const WatchHandlers &handlers,
                 const std::function<bool()> &keepWatching,
                 Duration longestWait)
{
    bool interrupted = false;
    auto lastRevision = revision.value_or(unknownRevision);
    while (keepWatching()) {
        if (lastRevision == unknownRevision) {
            const auto requestedAt = bootClockNow();
            const auto listing = store.list(prefix);
            if (!listing.ok()) {
                logFirstFailure(prefix, listing.error(), interrupted);
                std::this_thread::sleep_for(retryDelay);
                continue;
            }
            handlers.m_listed(listing.value());
            confirm(handlers, listing.value().m_revision, requestedAt);
            lastRevision = listing.value().m_revision;
        }
        const auto requestedAt = bootClockNow();
        const auto wait = interrupted && handlers.m_confirmed ? std::min(waitAfterInterruption, longestWait) : longestWait;
        const auto changes = store.watch(prefix, lastRevision, wait);
        if (!changes.ok()) {
            logFirstFailure(prefix, changes.error(), interrupted);
            if (changes.error().kind() == ErrorKind::Conflict) {
                lastRevision = unknownRevision;
            } else {
                std::this_thread::sleep_for(retryDelay);
            }
            continue;
        }
        if (interrupted) {
            logEvent(LogLevel::Info, "watch_resumed", {{"prefix", prefix}, {"revision", std::to_string(changes.value().m_revision)}});
            interrupted = false;
        }
        for (const auto &change : changes.value().m_changes) {
            handlers.m_changed(change);
        }
        lastRevision = changes.value().m_revision;
        confirm(handlers, lastRevision, requestedAt);
    }
}

} // namespace PrimroseBridge
