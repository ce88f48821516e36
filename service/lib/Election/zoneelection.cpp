#include "primrosebridge/Election/zoneelection.h"

#include "primrosebridge/Pipeline/boundedqueue.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include "electionlog.h"
#include "storecalls.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <system_error>
#include <thread>

namespace PrimroseBridge {

// Producers are the timer, the watch, heartbeats of 8 VMs and answers of about 60 workers.
static constexpr std::size_t queueCapacity = 256;
// Three calls of one second: a VM that has not reached the store for longer could not have renewed a lease either.
static constexpr Duration reachableFor = ownershipLease;

// One entry of the election's queue.
struct ElectionInput {
    const std::optional<OwnershipEvent> m_event; // Empty: read the key.
};

// An action together with the lease of the state before the step.
struct PendingAction {
    const OwnershipAction m_action;
    const std::int64_t m_leaseId;
};

struct ZoneElection::Private {
    Private(const ElectionSettings &settings, std::shared_ptr<StoreClient> store, EventLog &events, ElectionCallbacks callbacks)
        : m_settings(settings)
        , m_key(ownershipKey(settings.m_zone))
        , m_store(std::move(store))
        , m_events(events)
        , m_callbacks(std::move(callbacks))
    {
    }

    const ElectionSettings m_settings;
    const std::string m_key;
    const std::shared_ptr<StoreClient> m_store;
    EventLog &m_events;
    const ElectionCallbacks m_callbacks;
    BoundedQueue<ElectionInput> m_queue = BoundedQueue<ElectionInput>(queueCapacity);
    std::atomic<bool> m_tickQueued = false; // At most one tick and one read wait, however long a call takes.
    std::atomic<bool> m_readQueued = false;
    std::atomic<bool> m_stopRequested = false; // Not queued, so that a planned stop overtakes the events that wait.
    std::atomic<bool> m_ending = false;

    // Used on the election's thread only.
    std::int64_t m_attempts = 0; // Numbers the attempts to become owner, one for each lease.
    std::optional<EventReference> m_lastEvent = EventReference{"", 0}; // Cause of the next event; never empty.

    mutable std::mutex m_mutex;
    std::condition_variable m_resignedChanged;
    std::shared_ptr<const OwnershipState> m_state = std::make_shared<const OwnershipState>(initialOwnership());
    std::shared_ptr<const OwnerRecord> m_owner;
    bool m_lastCallReached = false;
    Instant m_lastCallAt;
    bool m_resigned = false;

    std::unique_ptr<TimerSubscription> m_ticks;
    std::thread m_thread;
};

// The functions below are templates because the type of the state is private to the class.

template<class State>
static OwnershipValue myValue(const State &state)
{
    const auto &settings = state.m_settings;
    return {
        .m_vm = settings.m_vm.text(),
        .m_incarnation = settings.m_incarnation,
        .m_peerAddress = settings.m_peerAddress,
        .m_operation = settings.m_vm.text() + "-" + std::to_string(settings.m_incarnation) + "-" + std::to_string(state.m_attempts),
    };
}

template<class State>
static OwnershipState currentState(const State &state)
{
    const std::lock_guard lock(state.m_mutex);
    return *state.m_state;
}

template<class State>
static std::optional<OwnerRecord> currentOwner(const State &state)
{
    const std::lock_guard lock(state.m_mutex);
    return state.m_owner ? std::optional<OwnerRecord>(*state.m_owner) : std::nullopt;
}

template<class State>
static void setOwner(State &state, const std::optional<OwnerRecord> &owner)
{
    state.m_lastEvent.emplace(recordOwnerChange(state.m_events, state.m_settings, currentOwner(state), owner, *state.m_lastEvent));
    auto next = owner ? std::make_shared<const OwnerRecord>(*owner) : nullptr;
    const std::lock_guard lock(state.m_mutex);
    state.m_owner = std::move(next);
}

template<class State>
static void noteCall(State &state, bool reached)
{
    const std::lock_guard lock(state.m_mutex);
    state.m_lastCallReached = reached;
    state.m_lastCallAt = TimerService::wallClockNow();
}

// Calls the store for one of the actions that give an event.
template<class State>
static CallOutcome callStore(State &state, const PendingAction &pending)
{
    switch (pending.m_action) {
    case OwnershipAction::GrantLease:
        ++state.m_attempts;
        return callGrantLease(*state.m_store, TimerService::wallClockNow());
    case OwnershipAction::RenewLease:
        return callRenewLease(*state.m_store, pending.m_leaseId, TimerService::wallClockNow());
    case OwnershipAction::CreateKey:
        return callCreateKey(*state.m_store, state.m_key, myValue(state), currentState(state).m_leaseId);
    default:
        return callReadKey(*state.m_store, state.m_key, myValue(state));
    }
}

template<class State>
static OwnershipEvent performCall(State &state, const PendingAction &pending)
{
    const auto outcome = callStore(state, pending);
    noteCall(state, reachedStore(outcome));
    if (outcome.m_error) {
        logCallFailure(state.m_settings, outcome.m_event, *outcome.m_error);
    }
    if (outcome.m_ownerKnown) {
        setOwner(state, outcome.m_owner);
    }
    return outcome.m_event;
}

template<class State>
static void performRevoke(State &state, std::int64_t lease)
{
    const auto error = callRevokeLease(*state.m_store, lease);
    if (error) {
        logCallFailure(state.m_settings, {.m_kind = OwnershipEventKind::StoreUnreachable}, *error);
        return;
    }
    const auto owner = currentOwner(state);
    if (owner && owner->m_vm == state.m_settings.m_vm.text() && owner->m_incarnation == state.m_settings.m_incarnation) {
        setOwner(state, std::nullopt);
    }
}

// Performs one action; the event that results from it, if any.
template<class State>
static std::optional<OwnershipEvent> perform(State &state, const PendingAction &pending)
{
    switch (pending.m_action) {
    case OwnershipAction::StartOwning:
        state.m_callbacks.m_started(*currentState(state).m_fence);
        return std::nullopt;
    case OwnershipAction::StopOwning:
        state.m_callbacks.m_stopped();
        return std::nullopt;
    case OwnershipAction::RevokeLease:
        performRevoke(state, pending.m_leaseId);
        return std::nullopt;
    default:
        return performCall(state, pending);
    }
}

// Steps the protocol and publishes the new state before its actions, so that a callback sees the state that caused it.
template<class State>
static void applyEvent(State &state, const OwnershipEvent &event, std::deque<PendingAction> &pending)
{
    const auto before = currentState(state);
    const auto step = stepOwnership(before, event, TimerService::wallClockNow());
    {
        const std::lock_guard lock(state.m_mutex);
        state.m_state = std::make_shared<const OwnershipState>(step.m_state);
    }
    state.m_lastEvent.emplace(recordRoleChange(state.m_events, state.m_settings, before, step.m_state, event, *state.m_lastEvent));
    for (const auto action : step.m_actions) {
        pending.push_back(PendingAction{.m_action = action, .m_leaseId = before.m_leaseId});
    }
}

template<class State>
static void handleEvent(State &state, const OwnershipEvent &event)
{
    std::deque<PendingAction> pending;
    applyEvent(state, event, pending);
    while (!pending.empty() && !state.m_ending) {
        const auto next = pending.front();
        pending.pop_front();
        if (const auto result = perform(state, next)) {
            applyEvent(state, *result, pending);
        }
    }
}

template<class State>
static void readKey(State &state)
{
    handleEvent(state, performCall(state, {.m_action = OwnershipAction::ReadKey, .m_leaseId = 0}));
}

template<class State>
static void handleTick(State &state)
{
    state.m_tickQueued = false;
    if (currentState(state).m_stopping) {
        readKey(state); // A process that is stopping still forwards its callers to the new owner.
        return;
    }
    handleEvent(state, {.m_kind = OwnershipEventKind::Tick});
}

template<class State>
static void noteResigned(State &state)
{
    {
        const std::lock_guard lock(state.m_mutex);
        state.m_resigned = true;
    }
    state.m_resignedChanged.notify_all();
}

template<class State>
static void handleInput(State &state, const ElectionInput &input)
{
    if (!input.m_event) {
        state.m_readQueued = false;
        readKey(state);
        return;
    }
    if (input.m_event->m_kind == OwnershipEventKind::Tick) {
        handleTick(state);
        return;
    }
    handleEvent(state, *input.m_event);
}

template<class State>
static void runElection(State &state)
{
    while (const auto input = state.m_queue.pop()) {
        if (state.m_ending) {
            return;
        }
        if (state.m_stopRequested.exchange(false)) {
            handleEvent(state, {.m_kind = OwnershipEventKind::StopRequested});
            noteResigned(state);
        }
        handleInput(state, *input);
    }
}

template<class State>
static void queueTick(State &state)
{
    if (state.m_tickQueued.exchange(true)) {
        return;
    }
    if (!state.m_queue.tryPush({OwnershipEvent{.m_kind = OwnershipEventKind::Tick}})) {
        state.m_tickQueued = false;
    }
}

std::string ownershipKey(const ZoneId &zone)
{
    return "primrosebridge/control/owners/" + zone.text();
}

Result<std::unique_ptr<ZoneElection>> ZoneElection::create(const ElectionSettings &settings,
                                                           std::shared_ptr<StoreClient> store,
                                                           const std::shared_ptr<TimerService> &timers,
                                                           EventLog &events,
                                                           ElectionCallbacks callbacks)
{
    auto state = std::make_unique<Private>(settings, std::move(store), events, std::move(callbacks));
    auto &shared = *state;
    try {
        shared.m_thread = std::thread([&shared] { runElection(shared); });
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("the election thread cannot start: ") + error.what(), "raise the limit of threads for this process");
    }
    queueTick(shared);
    shared.m_ticks = timers->subscribe(ownershipPeriod, [&shared](Instant) { queueTick(shared); });
    return std::unique_ptr<ZoneElection>(new ZoneElection(std::move(state)));
}

ZoneElection::ZoneElection(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

ZoneElection::~ZoneElection()
{
    m_private->m_ending = true;
    m_private->m_ticks.reset();
    m_private->m_queue.close();
    m_private->m_thread.join();
}

OwnershipState ZoneElection::state() const
{
    return currentState(*m_private);
}

std::optional<OwnerRecord> ZoneElection::owner() const
{
    return currentOwner(*m_private);
}

bool ZoneElection::storeReachable() const
{
    const std::lock_guard lock(m_private->m_mutex);
    return m_private->m_lastCallReached && TimerService::wallClockNow() - m_private->m_lastCallAt < reachableFor;
}

void ZoneElection::notify(const OwnershipEvent &event)
{
    m_private->m_queue.tryPush({event});
}

void ZoneElection::ownershipKeyChanged()
{
    if (m_private->m_readQueued.exchange(true)) {
        return;
    }
    if (!m_private->m_queue.tryPush({std::nullopt})) {
        m_private->m_readQueued = false;
    }
}

void ZoneElection::resign(Duration timeout)
{
    m_private->m_stopRequested = true;
    // Wakes the thread. If the queue is full, the thread is awake or in a call and sees the request next.
    m_private->m_queue.tryPush({OwnershipEvent{.m_kind = OwnershipEventKind::Tick}});
    std::unique_lock lock(m_private->m_mutex);
    m_private->m_resignedChanged.wait_for(lock, timeout, [this] { return m_private->m_resigned; });
}

} // namespace PrimroseBridge
