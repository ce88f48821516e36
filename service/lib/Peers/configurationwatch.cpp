#include "primrosebridge/Peers/configurationwatch.h"

#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Peers/configurationstore.h"
#include "primrosebridge/Peers/peernetwork.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>

namespace PrimroseBridge {

using SteadyTime = std::chrono::steady_clock::time_point;

static constexpr Duration firstBackoff = Duration(200);
static constexpr Duration longestBackoff = Duration(2000);
/// A connection that broke without a notice reports nothing, so a watch does not last longer than this.
static constexpr Duration watchLifetime = std::chrono::minutes(1);
/// A watch that ended earlier counts as a failure of the store.
static constexpr Duration shortestWatch = std::chrono::seconds(5);
static constexpr Duration checkPeriod = Duration(500);

struct ConfigurationWatch::Private {
    Private(
        const StoreSettings &settings, std::shared_ptr<StoreClient> store, PeerNetwork &peers, ConfigurationHolder &configuration, OwnerChanged ownerChanged)
        : m_settings(settings)
        , m_store(std::move(store))
        , m_peers(peers)
        , m_configuration(configuration)
        , m_ownerChanged(std::move(ownerChanged))
    {
    }

    const StoreSettings m_settings;
    const std::shared_ptr<StoreClient> m_store;
    PeerNetwork &m_peers;
    ConfigurationHolder &m_configuration;
    const OwnerChanged m_ownerChanged;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::uint64_t m_checks = 0; // Rises with each check of the timer.
    std::shared_ptr<StoreClient> m_watchClient; // Null while no watch is open.
    SteadyTime m_watchedSince;
    std::uint64_t m_watchesOpened = 0;

    std::unique_ptr<TimerSubscription> m_timer;
    std::thread m_thread;
};

template<class State>
static bool isStopping(const State &state)
{
    const std::lock_guard lock(state.m_mutex);
    return state.m_stopping;
}

template<class State>
static void pause(State &state, Duration time)
{
    std::unique_lock lock(state.m_mutex);
    state.m_changed.wait_for(lock, time, [&state] { return state.m_stopping; });
}

template<class State>
static void waitForNextCheck(State &state)
{
    std::unique_lock lock(state.m_mutex);
    const auto seen = state.m_checks;
    state.m_changed.wait(lock, [&state, seen] { return state.m_stopping || state.m_checks != seen; });
}

static void offerStored(ConfigurationHolder &configuration, const std::string &document)
{
    const auto offered = configuration.offer(document);
    if (!offered.ok()) {
        logEvent(LogLevel::Error, "stored_configuration_refused", {{"reason", offered.error().what()}});
    }
}

template<class State>
static void applyKey(State &state, const KeyValue &key, bool deleted)
{
    if (key.m_key == configurationKey) {
        if (!deleted) {
            offerStored(state.m_configuration, key.m_value);
        }
        return;
    }
    if (!key.m_key.starts_with(ownersPrefix) || !state.m_ownerChanged) {
        return;
    }
    const auto zone = ZoneId::create(std::string_view(key.m_key).substr(ownersPrefix.size()));
    if (zone.ok()) {
        state.m_ownerChanged(zone.value());
    }
}

// Reads every control key; returns the revision to watch from, or nothing if the store does not answer.
template<class State>
static std::optional<std::int64_t> readControlKeys(State &state)
{
    const auto read = state.m_store->list(std::string(controlPrefix));
    if (!read.ok()) {
        logEvent(LogLevel::Warn, "control_keys_unreadable", {{"reason", read.error().what()}});
        return std::nullopt;
    }
    for (const auto &key : read.value().m_keys) {
        applyKey(state, key, false);
    }
    return read.value().m_revision;
}

template<class State>
static std::shared_ptr<StoreClient> openWatch(State &state)
{
    const auto client = StoreClient::create(state.m_settings);
    const std::lock_guard lock(state.m_mutex);
    if (!client.ok() || state.m_stopping) {
        return nullptr;
    }
    state.m_watchClient = client.value();
    state.m_watchedSince = std::chrono::steady_clock::now();
    ++state.m_watchesOpened;
    return client.value();
}

// Watches until the store fails, the watch is stopped or this process is no longer a watcher; returns false if the watch failed at once.
template<class State>
static bool watchFrom(State &state, std::int64_t revision)
{
    const auto client = openWatch(state);
    if (!client) {
        return false;
    }
    const Error ended = client->watch(std::string(controlPrefix), revision, [&state](const WatchEvent &event) {
        applyKey(state, event.m_key, event.m_deleted);
        return !isStopping(state);
    });
    logEvent(LogLevel::Debug, "watch_ended", {{"reason", ended.what()}});
    const std::lock_guard lock(state.m_mutex);
    state.m_watchClient = nullptr;
    return std::chrono::steady_clock::now() - state.m_watchedSince >= shortestWatch;
}

template<class State>
static void keepInStep(State &state)
{
    Duration backoff = firstBackoff;
    bool readOnce = false;
    while (!isStopping(state)) {
        const bool watcher = isStoreWatcher(state.m_peers.view());
        if (!watcher && (readOnce || state.m_configuration.version() > 0)) {
            waitForNextCheck(state);
            continue;
        }
        const auto revision = readControlKeys(state);
        readOnce = readOnce || revision;
        if (!revision && state.m_configuration.version() == 0) {
            state.m_peers.fetchConfiguration(1);
        }
        if (revision && !watcher) {
            continue;
        }
        if (revision && watchFrom(state, *revision)) {
            backoff = firstBackoff;
            continue;
        }
        pause(state, backoff);
        backoff = std::min(backoff * 2, longestBackoff);
    }
}

// Runs on the timer's thread.
template<class State>
static void checkWatch(State &state)
{
    const bool watcher = isStoreWatcher(state.m_peers.view());
    std::shared_ptr<StoreClient> ending;
    {
        const std::lock_guard lock(state.m_mutex);
        ++state.m_checks;
        const bool expired = std::chrono::steady_clock::now() - state.m_watchedSince >= watchLifetime;
        if (state.m_watchClient && (!watcher || expired)) {
            ending = state.m_watchClient;
        }
    }
    state.m_changed.notify_all();
    if (ending) {
        ending->stopWatches();
    }
}

Result<std::unique_ptr<ConfigurationWatch>> ConfigurationWatch::create(const StoreSettings &settings,
                                                                       std::shared_ptr<StoreClient> store,
                                                                       const std::shared_ptr<TimerService> &timers,
                                                                       PeerNetwork &peers,
                                                                       ConfigurationHolder &configuration,
                                                                       OwnerChanged ownerChanged)
{
    const auto checked = StoreClient::create(settings);
    if (!checked.ok()) {
        return checked.error();
    }
    auto state = std::make_unique<Private>(settings, std::move(store), peers, configuration, std::move(ownerChanged));
    auto *shared = state.get();
    try {
        state->m_thread = std::thread([shared] { keepInStep(*shared); });
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("a thread cannot start: ") + error.what(), "raise the limit of threads for this process");
    }
    state->m_timer = timers->subscribe(checkPeriod, [shared](Instant) { checkWatch(*shared); });
    return std::unique_ptr<ConfigurationWatch>(new ConfigurationWatch(std::move(state)));
}

ConfigurationWatch::ConfigurationWatch(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

ConfigurationWatch::~ConfigurationWatch()
{
    m_private->m_timer.reset();
    std::shared_ptr<StoreClient> ending;
    {
        const std::lock_guard lock(m_private->m_mutex);
        m_private->m_stopping = true;
        ending = m_private->m_watchClient;
    }
    m_private->m_changed.notify_all();
    if (ending) {
        ending->stopWatches();
    }
    m_private->m_thread.join();
}

bool ConfigurationWatch::watching() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_watchClient != nullptr;
}

std::uint64_t ConfigurationWatch::watchesOpened() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_watchesOpened;
}

} // namespace PrimroseBridge
