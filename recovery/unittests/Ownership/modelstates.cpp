#include "model.h"

namespace OwnershipModel {

static void append(std::string &text, std::int64_t number)
{
    text.push_back(static_cast<char>(number + 1)); // Every number of the model is below 120, because the search is bounded.
}

static void appendCall(std::string &text, const Call &call)
{
    append(text, static_cast<int>(call.m_action));
    append(text, static_cast<std::int64_t>(call.m_vm));
    append(text, call.m_lease);
    append(text, call.m_attempt);
    append(text, call.m_sentAt);
}

static std::int64_t seconds(Instant instant)
{
    return toMilliseconds(instant) / 1000;
}

static void appendVm(std::string &text, const Vm &vm)
{
    append(text, static_cast<int>(vm.m_state.m_role));
    append(text, vm.m_state.m_fence ? vm.m_state.m_fence->m_number : 0);
    append(text, vm.m_state.m_lease);
    append(text, seconds(vm.m_state.m_leaseEndsAt));
    append(text, (vm.m_state.m_stopping ? 1 : 0) + (vm.m_ticked ? 2 : 0));
    append(text, vm.m_attempt);
    append(text, static_cast<std::int64_t>(vm.m_pending.size()));
    for (const auto &pending : vm.m_pending) {
        append(text, static_cast<int>(pending.m_action));
        append(text, pending.m_lease);
    }
    append(text, (vm.m_call ? 1 : 0) + (vm.m_answer ? 2 : 0));
    if (vm.m_call) {
        appendCall(text, *vm.m_call);
    }
    if (vm.m_answer) {
        append(text, static_cast<int>(vm.m_answer->m_kind));
        append(text, vm.m_answer->m_lease);
        append(text, vm.m_answer->m_revision);
        append(text, seconds(vm.m_answer->m_sentAt));
    }
}

static void appendStore(std::string &text, const Store &store)
{
    append(text, store.m_revision);
    append(text, store.m_lastLease);
    append(text, static_cast<std::int64_t>(store.m_leases.size()));
    for (const auto &lease : store.m_leases) {
        append(text, lease.m_id);
        append(text, lease.m_endsAt);
    }
    append(text, store.m_key ? 1 : 0);
    if (store.m_key) {
        append(text, static_cast<std::int64_t>(store.m_key->m_vm));
        append(text, store.m_key->m_attempt);
        append(text, store.m_key->m_lease);
        append(text, store.m_key->m_revision);
    }
}

static void appendFences(std::string &text, const Fences &fences)
{
    append(text, static_cast<std::int64_t>(fences.size()));
    for (const auto fence : fences) {
        append(text, fence);
    }
}

std::string fingerprint(const Model &model)
{
    std::string text;
    append(text, model.m_now);
    append(text, model.m_stopRequested ? 1 : 0);
    for (const auto &vm : model.m_vms) {
        appendVm(text, *vm);
    }
    appendStore(text, *model.m_store);
    append(text, model.m_worker.m_highestSeen);
    append(text, model.m_worker.m_acceptedLower ? 1 : 0);
    append(text, static_cast<std::int64_t>(model.m_delayed.size()));
    for (const auto &call : model.m_delayed) {
        appendCall(text, call);
    }
    appendFences(text, model.m_commands);
    appendFences(text, model.m_writes);
    return text;
}

static Pointer<Vm> standby(int attempt)
{
    return std::make_shared<Vm>(Vm{initialOwnership(), attempt, false, {}, std::nullopt, std::nullopt});
}

Model firstOwns()
{
    const OwnershipState owner{OwnershipRole::Owner, Fence{1}, 1, at(3), false};
    return {
        .m_now = 0,
        .m_vms = {std::make_shared<Vm>(Vm{owner, 1, false, {}, std::nullopt, std::nullopt}), standby(0)},
        .m_store = std::make_shared<Store>(Store{{{1, 3}}, Key{0, 1, 1, 1}, 1, 1}),
        .m_worker = {1, false},
        .m_delayed = {},
        .m_commands = {1},
        .m_writes = {1},
        .m_stopRequested = false,
    };
}

Model nobodyOwns()
{
    return {
        .m_now = 0,
        .m_vms = {standby(0), standby(0)},
        .m_store = std::make_shared<Store>(Store{{}, std::nullopt, 1, 0}),
        .m_worker = {0, false},
        .m_delayed = {},
        .m_commands = {},
        .m_writes = {},
        .m_stopRequested = false,
    };
}

Model earlierAttemptDelayed()
{
    const OwnershipState acquiring{OwnershipRole::Acquiring, std::nullopt, 2, at(4), false};
    const Call second{OwnershipAction::CreateKey, 0, 2, 2, 1};
    return {
        .m_now = 1,
        .m_vms = {std::make_shared<Vm>(Vm{acquiring, 2, true, {}, second, std::nullopt}), standby(0)},
        .m_store = std::make_shared<Store>(Store{{{1, 3}, {2, 4}}, std::nullopt, 1, 2}),
        .m_worker = {0, false},
        .m_delayed = {Call{OwnershipAction::CreateKey, 0, 1, 1, 0}},
        .m_commands = {},
        .m_writes = {},
        .m_stopRequested = false,
    };
}

} // namespace OwnershipModel
