#include "model.h"

#include <algorithm>

namespace OwnershipModel {

using Kind = OwnershipEventKind;
using Action = OwnershipAction;

Instant at(int second)
{
    return fromMilliseconds(1000LL * (second + 1));
}

// The store after a call, and the event that its answer carries.
struct ExecutedCall {
    const Pointer<Store> m_store;
    const std::optional<OwnershipEvent> m_answer; ///< Empty for a revocation, whose answer a VM ignores.
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
    std::vector<Lease> remaining;
    for (const auto &lease : store.m_leases) {
        if (lease.m_id != id) {
            remaining.push_back(lease);
        }
    }
    const bool keyExpires = store.m_key && store.m_key->m_leaseId == id;
    return std::make_shared<Store>(Store{remaining, keyExpires ? std::nullopt : store.m_key, store.m_revision, store.m_lastLease});
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

static ExecutedCall createKey(const Pointer<Store> &store, const Call &call, const Rules &rules)
{
    if (findLease(*store, call.m_leaseId) == nullptr) {
        return {store, OwnershipEvent{.m_kind = Kind::LeaseLost}};
    }
    if (store->m_key) {
        return {store, readKey(*store, call, rules)};
    }
    const auto revision = store->m_revision + 1;
    const Key key{call.m_vm, call.m_attempt, call.m_leaseId, revision};
    return {std::make_shared<Store>(Store{store->m_leases, key, revision, store->m_lastLease}),
            OwnershipEvent{.m_kind = Kind::KeyCreated, .m_revision = revision}};
}

static ExecutedCall executeCall(const Pointer<Store> &store, const Call &call, int now, const Rules &rules)
{
    constexpr int leaseSeconds = 3;
    switch (call.m_action) {
    case Action::GrantLease: {
        const auto id = store->m_lastLease + 1;
        return {withLease(*store, id, now + leaseSeconds), OwnershipEvent{.m_kind = Kind::LeaseGranted, .m_leaseId = id, .m_sentAt = at(call.m_sentAt)}};
    }
    case Action::RenewLease:
        if (findLease(*store, call.m_leaseId) == nullptr) {
            return {store, OwnershipEvent{.m_kind = Kind::LeaseLost}};
        }
        return {withLease(*store, call.m_leaseId, now + leaseSeconds), OwnershipEvent{.m_kind = Kind::LeaseRenewed, .m_sentAt = at(call.m_sentAt)}};
    case Action::CreateKey:
        return createKey(store, call, rules);
    case Action::RevokeLease:
        return {withoutLease(*store, call.m_leaseId), std::nullopt};
    default:
        return {store, readKey(*store, call, rules)};
    }
}

// Returns the VM after it has performed its pending actions in order, up to the next call to the store.
static Pointer<Vm> startNextCall(std::size_t index, const OwnershipState &state, int attempt, bool ticked, std::vector<PendingAction> pending, int now)
{
    while (!pending.empty()) {
        const PendingAction next = pending.front();
        pending = std::vector<PendingAction>(pending.begin() + 1, pending.end());
        const bool local = next.m_action == Action::StartOwning || next.m_action == Action::StopOwning;
        if (local) {
            continue;
        }
        const int number = attempt + (next.m_action == Action::GrantLease ? 1 : 0);
        const auto lease = next.m_action == Action::CreateKey ? state.m_leaseId : next.m_leaseId;
        return std::make_shared<Vm>(Vm{state, number, ticked, pending, Call{next.m_action, index, lease, number, now}, std::nullopt});
    }
    return std::make_shared<Vm>(Vm{state, attempt, ticked, {}, std::nullopt, std::nullopt});
}

static Pointer<Vm> vmAfterEvent(std::size_t index, const Vm &vm, const std::optional<OwnershipEvent> &event, int now)
{
    if (!event) {
        return startNextCall(index, vm.m_state, vm.m_attempt, vm.m_ticked, vm.m_pending, now);
    }
    const auto step = stepOwnership(vm.m_state, *event, at(now));
    auto pending = vm.m_pending;
    for (const auto action : step.m_actions) {
        pending.push_back(PendingAction{action, vm.m_state.m_leaseId});
    }
    const bool ticked = vm.m_ticked || event->m_kind == Kind::Tick;
    return startNextCall(index, step.m_state, vm.m_attempt, ticked, std::move(pending), now);
}

static std::optional<OwnershipEvent> eventAfterLostAnswer(const Call &call, const Store &store, const Rules &rules)
{
    if (call.m_action == Action::RevokeLease) {
        return std::nullopt;
    }
    if (call.m_action == Action::CreateKey && !rules.m_lostAnswerIsReadBack) {
        return OwnershipEvent{.m_kind = Kind::KeyCreated, .m_revision = store.m_revision};
    }
    return OwnershipEvent{.m_kind = call.m_action == Action::CreateKey ? Kind::KeyAnswerLost : Kind::StoreUnreachable};
}

// Adds the commands and record writes that each VM may send now to the messages in transit.
static Model withSentMessages(const Model &model)
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

struct TransitionCollector {
    const Model &m_model;
    const Rules &m_rules;
    const Bounds &m_bounds;
    std::vector<Transition> &m_transitions;

    void add(const char *name, const Model &model) const
    {
        m_transitions.push_back(Transition{name, withSentMessages(model)});
    }
    Model modelAfterEvent(std::size_t index, const std::optional<OwnershipEvent> &event) const
    {
        return withVm(m_model, index, vmAfterEvent(index, *m_model.m_vms[index], event, m_model.m_now));
    }
};

static void addTimeSteps(const TransitionCollector &collector)
{
    const auto &model = collector.m_model;
    if (model.m_now < collector.m_bounds.m_lastSecond) {
        collector.add("a second passes", nextSecond(model));
    }
    for (const auto &lease : model.m_store->m_leases) {
        if (lease.m_endsAt <= model.m_now) {
            collector.add("a lease expires", withStore(model, withoutLease(*model.m_store, lease.m_id)));
        }
    }
}

static void addTransitionsOfVmWithoutCall(const TransitionCollector &collector, std::size_t index)
{
    const auto &model = collector.m_model;
    const auto &vm = *model.m_vms[index];
    if (!vm.m_ticked) {
        collector.add("a timer fires", collector.modelAfterEvent(index, OwnershipEvent{.m_kind = Kind::Tick}));
    }
    if (vm.m_state.m_role == OwnershipRole::Degraded) {
        collector.add("a peer reaches the store", collector.modelAfterEvent(index, OwnershipEvent{.m_kind = Kind::PeerReachesStore}));
    }
    if (index == 0 && !model.m_stopRequested) {
        const auto next = collector.modelAfterEvent(index, OwnershipEvent{.m_kind = Kind::StopRequested});
        collector.add("stop is requested", {next.m_now, next.m_vms, next.m_store, next.m_worker, next.m_delayed, next.m_commands, next.m_writes, true});
    }
}

static void addUnansweredCall(const TransitionCollector &collector, std::size_t index)
{
    const auto &model = collector.m_model;
    const auto &vm = *model.m_vms[index];
    const auto done = executeCall(model.m_store, *vm.m_call, model.m_now, collector.m_rules);
    if (done.m_answer) {
        const auto waiting = std::make_shared<Vm>(Vm{vm.m_state, vm.m_attempt, vm.m_ticked, vm.m_pending, vm.m_call, done.m_answer});
        collector.add("the store executes a call", withStore(withVm(model, index, waiting), done.m_store));
    } else {
        collector.add("the store revokes a lease", withStore(collector.modelAfterEvent(index, std::nullopt), done.m_store));
    }
    collector.add("a call is refused", collector.modelAfterEvent(index, OwnershipEvent{.m_kind = Kind::StoreUnreachable}));
    if (model.m_delayed.size() < collector.m_bounds.m_delayedCalls) {
        auto delayed = model.m_delayed;
        delayed.push_back(*vm.m_call);
        collector.add("a call times out before its effect",
                      withDelayed(collector.modelAfterEvent(index, eventAfterLostAnswer(*vm.m_call, *model.m_store, collector.m_rules)), delayed));
    }
}

static void addAnsweredCall(const TransitionCollector &collector, std::size_t index)
{
    const auto &vm = *collector.m_model.m_vms[index];
    const auto &answer = *vm.m_answer;
    if (!collector.m_rules.m_leaseCountsFromSending) {
        const OwnershipEvent late{answer.m_kind, answer.m_leaseId, answer.m_revision, at(collector.m_model.m_now)};
        collector.add("an answer arrives", collector.modelAfterEvent(index, late));
    } else {
        collector.add("an answer arrives", collector.modelAfterEvent(index, answer));
    }
    collector.add("an answer is lost", collector.modelAfterEvent(index, eventAfterLostAnswer(*vm.m_call, *collector.m_model.m_store, collector.m_rules)));
}

static void addDelayedCalls(const TransitionCollector &collector)
{
    const auto &model = collector.m_model;
    for (std::size_t index = 0; index < model.m_delayed.size(); ++index) {
        std::vector<Call> remaining;
        for (std::size_t other = 0; other < model.m_delayed.size(); ++other) {
            if (other != index) {
                remaining.push_back(model.m_delayed[other]);
            }
        }
        const auto done = executeCall(model.m_store, model.m_delayed[index], model.m_now, collector.m_rules);
        collector.add("a delayed call takes effect", withStore(withDelayed(model, remaining), done.m_store));
    }
}

static void addCommands(const TransitionCollector &collector)
{
    const auto &model = collector.m_model;
    const auto highest = model.m_worker.m_highestSeen;
    for (const auto fence : model.m_commands) {
        const bool lower = fence < highest;
        if (!lower || !collector.m_rules.m_workerComparesFence) {
            collector.add("the worker accepts a command", withWorker(model, {std::max(highest, fence), model.m_worker.m_acceptedLower || lower}));
            continue;
        }
        for (std::size_t index = 0; index < model.m_vms.size(); ++index) {
            const auto &vm = *model.m_vms[index];
            if (!vm.m_call && vm.m_state.m_fence == Fence{fence}) {
                collector.add("the worker refuses a command",
                              collector.modelAfterEvent(index, OwnershipEvent{.m_kind = Kind::WorkerSawHigherFence, .m_revision = highest}));
            }
        }
    }
}

std::vector<Transition> transitions(const Model &model, const Rules &rules, const Bounds &bounds)
{
    std::vector<Transition> collected;
    const TransitionCollector collector{model, rules, bounds, collected};
    addTimeSteps(collector);
    for (std::size_t index = 0; index < model.m_vms.size(); ++index) {
        const auto &vm = *model.m_vms[index];
        if (!vm.m_call) {
            addTransitionsOfVmWithoutCall(collector, index);
        } else if (vm.m_answer) {
            addAnsweredCall(collector, index);
        } else {
            addUnansweredCall(collector, index);
        }
    }
    addDelayedCalls(collector);
    addCommands(collector);
    return collected;
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
            return "a record write succeeds for a VM whose key no longer exists";
        }
    }
    for (std::size_t index = 0; index < model.m_vms.size(); ++index) {
        const auto &state = model.m_vms[index]->m_state;
        if (!mayWriteRecords(state, at(model.m_now))) {
            continue;
        }
        if (state.m_fence->m_number != held || model.m_store->m_key->m_vm != index) {
            return "a VM relies on a key that it does not hold";
        }
    }
    return std::nullopt;
}

} // namespace OwnershipModel
