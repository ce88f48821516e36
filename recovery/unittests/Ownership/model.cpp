#include "model.h"

#include <algorithm>

namespace OwnershipModel {

using Kind = OwnershipEventKind;
using Action = OwnershipAction;

Instant at(int second)
{
    return fromMilliseconds(1000LL * (second + 1));
}

// The store: each function gives the store after a call and the event that its answer carries.
struct Executed {
    const Pointer<Store> m_store;
    const std::optional<OwnershipEvent> m_answer; ///< Empty for a revocation, whose answer changes nothing.
};

static const Lease *findLease(const Store &store, std::int64_t id)
{
    for (const auto &lease : store.m_leases) {
        if (lease.m_id == id) {
            return &lease;
        }
    }
    return nullptr;
}

static Pointer<Store> withoutLease(const Store &store, std::int64_t id)
{
    std::vector<Lease> left;
    for (const auto &lease : store.m_leases) {
        if (lease.m_id != id) {
            left.push_back(lease);
        }
    }
    const bool keyEnds = store.m_key && store.m_key->m_lease == id;
    return std::make_shared<Store>(Store{left, keyEnds ? std::nullopt : store.m_key, store.m_revision, store.m_lastLease});
}

static Pointer<Store> withLease(const Store &store, std::int64_t id, int endsAt)
{
    std::vector<Lease> leases;
    for (const auto &lease : store.m_leases) {
        if (lease.m_id != id) {
            leases.push_back(lease);
        }
    }
    leases.push_back(Lease{id, endsAt});
    return std::make_shared<Store>(Store{leases, store.m_key, store.m_revision, std::max(store.m_lastLease, id)});
}

static OwnershipEvent readKey(const Store &store, const Call &call, const Rules &rules)
{
    if (!store.m_key) {
        return {.m_kind = Kind::KeyAbsent};
    }
    const bool sameAttempt = store.m_key->m_attempt == call.m_attempt || !rules.m_readBackComparesAttempt;
    const bool mine = store.m_key->m_vm == call.m_vm && sameAttempt;
    return {.m_kind = mine ? Kind::KeyReadBackMine : Kind::KeyHeldByOther, .m_revision = store.m_key->m_revision};
}

static Executed createKey(const Pointer<Store> &store, const Call &call, const Rules &rules)
{
    if (findLease(*store, call.m_lease) == nullptr) {
        return {store, OwnershipEvent{.m_kind = Kind::LeaseLost}};
    }
    if (store->m_key) {
        return {store, readKey(*store, call, rules)};
    }
    const auto revision = store->m_revision + 1;
    const Key key{call.m_vm, call.m_attempt, call.m_lease, revision};
    return {std::make_shared<Store>(Store{store->m_leases, key, revision, store->m_lastLease}),
            OwnershipEvent{.m_kind = Kind::KeyCreated, .m_revision = revision}};
}

static Executed execute(const Pointer<Store> &store, const Call &call, int now, const Rules &rules)
{
    constexpr int leaseSeconds = 3;
    switch (call.m_action) {
    case Action::GrantLease: {
        const auto id = store->m_lastLease + 1;
        return {withLease(*store, id, now + leaseSeconds), OwnershipEvent{.m_kind = Kind::LeaseGranted, .m_lease = id, .m_sentAt = at(call.m_sentAt)}};
    }
    case Action::RenewLease:
        if (findLease(*store, call.m_lease) == nullptr) {
            return {store, OwnershipEvent{.m_kind = Kind::LeaseLost}};
        }
        return {withLease(*store, call.m_lease, now + leaseSeconds), OwnershipEvent{.m_kind = Kind::LeaseRenewed, .m_sentAt = at(call.m_sentAt)}};
    case Action::CreateKey:
        return createKey(store, call, rules);
    case Action::RevokeLease:
        return {withoutLease(*store, call.m_lease), std::nullopt};
    default:
        return {store, readKey(*store, call, rules)};
    }
}

// The VM: performs actions in order; a call waits for its answer.
static Pointer<Vm> startNext(std::size_t index, const OwnershipState &state, int attempt, bool ticked, std::vector<Pending> pending, int now)
{
    while (!pending.empty()) {
        const Pending next = pending.front();
        pending = std::vector<Pending>(pending.begin() + 1, pending.end());
        const bool local = next.m_action == Action::StartOwning || next.m_action == Action::StopOwning;
        if (local) {
            continue;
        }
        const int number = attempt + (next.m_action == Action::GrantLease ? 1 : 0);
        const auto lease = next.m_action == Action::CreateKey ? state.m_lease : next.m_lease;
        return std::make_shared<Vm>(Vm{state, number, ticked, pending, Call{next.m_action, index, lease, number, now}, std::nullopt});
    }
    return std::make_shared<Vm>(Vm{state, attempt, ticked, {}, std::nullopt, std::nullopt});
}

static Pointer<Vm> afterEvent(std::size_t index, const Vm &vm, const std::optional<OwnershipEvent> &event, int now)
{
    if (!event) {
        return startNext(index, vm.m_state, vm.m_attempt, vm.m_ticked, vm.m_pending, now);
    }
    const auto step = stepOwnership(vm.m_state, *event, at(now));
    auto pending = vm.m_pending;
    for (const auto action : step.m_actions) {
        pending.push_back(Pending{action, vm.m_state.m_lease});
    }
    const bool ticked = vm.m_ticked || event->m_kind == Kind::Tick;
    return startNext(index, step.m_state, vm.m_attempt, ticked, std::move(pending), now);
}

static std::optional<OwnershipEvent> lostAnswer(const Call &call, const Store &store, const Rules &rules)
{
    if (call.m_action == Action::RevokeLease) {
        return std::nullopt;
    }
    if (call.m_action == Action::CreateKey && !rules.m_lostAnswerIsReadBack) {
        return OwnershipEvent{.m_kind = Kind::KeyCreated, .m_revision = store.m_revision};
    }
    return OwnershipEvent{.m_kind = call.m_action == Action::CreateKey ? Kind::KeyAnswerLost : Kind::StoreUnreachable};
}

// Adds what each VM is allowed to send now to the messages on their way.
static Model sendAll(const Model &model)
{
    auto commands = model.m_commands;
    auto writes = model.m_writes;
    for (const auto &vm : model.m_vms) {
        if (mayCommandWorkers(vm->m_state, at(model.m_now))) {
            commands.insert(vm->m_state.m_fence->m_number);
        }
        if (mayWriteRecords(vm->m_state, at(model.m_now))) {
            writes.insert(vm->m_state.m_fence->m_number);
        }
    }
    return {model.m_now, model.m_vms, model.m_store, model.m_worker, model.m_delayed, std::move(commands), std::move(writes), model.m_stopRequested};
}

static Model withVm(const Model &model, std::size_t index, Pointer<Vm> vm)
{
    auto vms = model.m_vms;
    vms[index] = std::move(vm);
    return {model.m_now, std::move(vms), model.m_store, model.m_worker, model.m_delayed, model.m_commands, model.m_writes, model.m_stopRequested};
}

static Model withStore(const Model &model, Pointer<Store> store)
{
    return {model.m_now, model.m_vms, std::move(store), model.m_worker, model.m_delayed, model.m_commands, model.m_writes, model.m_stopRequested};
}

static Model withWorker(const Model &model, const Worker &worker)
{
    return {model.m_now, model.m_vms, model.m_store, worker, model.m_delayed, model.m_commands, model.m_writes, model.m_stopRequested};
}

static Model withDelayed(const Model &model, const std::vector<Call> &delayed)
{
    return {model.m_now, model.m_vms, model.m_store, model.m_worker, delayed, model.m_commands, model.m_writes, model.m_stopRequested};
}

static Model nextSecond(const Model &model)
{
    std::vector<Pointer<Vm>> vms;
    for (const auto &vm : model.m_vms) {
        vms.push_back(std::make_shared<Vm>(Vm{vm->m_state, vm->m_attempt, false, vm->m_pending, vm->m_call, vm->m_answer}));
    }
    return {model.m_now + 1, vms, model.m_store, model.m_worker, model.m_delayed, model.m_commands, model.m_writes, model.m_stopRequested};
}

struct Explorer {
    const Model &m_model;
    const Rules &m_rules;
    const Bounds &m_bounds;
    std::vector<Transition> &m_found;

    void add(const char *name, const Model &model) const
    {
        m_found.push_back(Transition{name, sendAll(model)});
    }
    Model eventAt(std::size_t index, const std::optional<OwnershipEvent> &event) const
    {
        return withVm(m_model, index, afterEvent(index, *m_model.m_vms[index], event, m_model.m_now));
    }
};

static void addTimeSteps(const Explorer &explorer)
{
    const auto &model = explorer.m_model;
    if (model.m_now < explorer.m_bounds.m_lastSecond) {
        explorer.add("a second passes", nextSecond(model));
    }
    for (const auto &lease : model.m_store->m_leases) {
        if (lease.m_endsAt <= model.m_now) {
            explorer.add("a lease expires", withStore(model, withoutLease(*model.m_store, lease.m_id)));
        }
    }
}

static void addEvents(const Explorer &explorer, std::size_t index)
{
    const auto &model = explorer.m_model;
    const auto &vm = *model.m_vms[index];
    if (!vm.m_ticked) {
        explorer.add("a timer fires", explorer.eventAt(index, OwnershipEvent{.m_kind = Kind::Tick}));
    }
    if (vm.m_state.m_role == OwnershipRole::Degraded) {
        explorer.add("a peer reaches the store", explorer.eventAt(index, OwnershipEvent{.m_kind = Kind::PeerReachesStore}));
    }
    if (index == 0 && !model.m_stopRequested) {
        const auto next = explorer.eventAt(index, OwnershipEvent{.m_kind = Kind::StopRequested});
        explorer.add("stop is requested", {next.m_now, next.m_vms, next.m_store, next.m_worker, next.m_delayed, next.m_commands, next.m_writes, true});
    }
}

static void addUnanswered(const Explorer &explorer, std::size_t index)
{
    const auto &model = explorer.m_model;
    const auto &vm = *model.m_vms[index];
    const auto done = execute(model.m_store, *vm.m_call, model.m_now, explorer.m_rules);
    if (done.m_answer) {
        const auto waiting = std::make_shared<Vm>(Vm{vm.m_state, vm.m_attempt, vm.m_ticked, vm.m_pending, vm.m_call, done.m_answer});
        explorer.add("the store executes a call", withStore(withVm(model, index, waiting), done.m_store));
    } else {
        explorer.add("the store revokes a lease", withStore(explorer.eventAt(index, std::nullopt), done.m_store));
    }
    explorer.add("a call is refused", explorer.eventAt(index, OwnershipEvent{.m_kind = Kind::StoreUnreachable}));
    if (model.m_delayed.size() < explorer.m_bounds.m_delayedCalls) {
        auto delayed = model.m_delayed;
        delayed.push_back(*vm.m_call);
        explorer.add("a call times out before its effect",
                     withDelayed(explorer.eventAt(index, lostAnswer(*vm.m_call, *model.m_store, explorer.m_rules)), delayed));
    }
}

static void addAnswered(const Explorer &explorer, std::size_t index)
{
    const auto &vm = *explorer.m_model.m_vms[index];
    const auto &answer = *vm.m_answer;
    if (!explorer.m_rules.m_leaseCountsFromSending) {
        const OwnershipEvent late{answer.m_kind, answer.m_lease, answer.m_revision, at(explorer.m_model.m_now)};
        explorer.add("an answer arrives", explorer.eventAt(index, late));
    } else {
        explorer.add("an answer arrives", explorer.eventAt(index, answer));
    }
    explorer.add("an answer is lost", explorer.eventAt(index, lostAnswer(*vm.m_call, *explorer.m_model.m_store, explorer.m_rules)));
}

static void addDelayedCalls(const Explorer &explorer)
{
    const auto &model = explorer.m_model;
    for (std::size_t index = 0; index < model.m_delayed.size(); ++index) {
        std::vector<Call> left;
        for (std::size_t other = 0; other < model.m_delayed.size(); ++other) {
            if (other != index) {
                left.push_back(model.m_delayed[other]);
            }
        }
        const auto done = execute(model.m_store, model.m_delayed[index], model.m_now, explorer.m_rules);
        explorer.add("a delayed call takes effect", withStore(withDelayed(model, left), done.m_store));
    }
}

static void addCommands(const Explorer &explorer)
{
    const auto &model = explorer.m_model;
    const auto highest = model.m_worker.m_highestSeen;
    for (const auto fence : model.m_commands) {
        const bool lower = fence < highest;
        if (!lower || !explorer.m_rules.m_workerComparesFence) {
            explorer.add("the worker accepts a command", withWorker(model, {std::max(highest, fence), model.m_worker.m_acceptedLower || lower}));
            continue;
        }
        for (std::size_t index = 0; index < model.m_vms.size(); ++index) {
            const auto &vm = *model.m_vms[index];
            if (!vm.m_call && vm.m_state.m_fence == Fence{fence}) {
                explorer.add("the worker refuses a command",
                             explorer.eventAt(index, OwnershipEvent{.m_kind = Kind::WorkerSawHigherFence, .m_revision = highest}));
            }
        }
    }
}

std::vector<Transition> transitions(const Model &model, const Rules &rules, const Bounds &bounds)
{
    std::vector<Transition> found;
    const Explorer explorer{model, rules, bounds, found};
    addTimeSteps(explorer);
    for (std::size_t index = 0; index < model.m_vms.size(); ++index) {
        const auto &vm = *model.m_vms[index];
        if (!vm.m_call) {
            addEvents(explorer, index);
        } else if (vm.m_answer) {
            addAnswered(explorer, index);
        } else {
            addUnanswered(explorer, index);
        }
    }
    addDelayedCalls(explorer);
    addCommands(explorer);
    return found;
}

static bool storeAcceptsWrite(const Store &store, std::int64_t fence, const Rules &rules)
{
    return !rules.m_storeComparesKey || (store.m_key && store.m_key->m_revision == fence);
}

std::optional<std::string> violation(const Model &model, const Rules &rules)
{
    if (model.m_worker.m_acceptedLower) {
        return "a worker accepted a lower fence after a higher one";
    }
    const auto held = model.m_store->m_key ? model.m_store->m_key->m_revision : 0;
    for (const auto fence : model.m_writes) {
        if (fence != held && storeAcceptsWrite(*model.m_store, fence, rules)) {
            return "a record write succeeds for an owner whose key is gone";
        }
    }
    for (std::size_t index = 0; index < model.m_vms.size(); ++index) {
        const auto &state = model.m_vms[index]->m_state;
        if (!mayWriteRecords(state, at(model.m_now))) {
            continue;
        }
        if (state.m_fence->m_number != held || model.m_store->m_key->m_vm != index) {
            return "a VM counts on a key that it does not hold";
        }
    }
    return std::nullopt;
}

} // namespace OwnershipModel
