#include "model.h"

namespace OwnershipModel {

static void appendNumber(std::string &text, std::int64_t number)
{
    text.push_back(static_cast<char>(number + 1)); // All numbers of the model stay below 120, because the search is bounded.
}

static void appendCall(std::string &text, const Call &call)
{
    appendNumber(text, static_cast<int>(call.m_action));
    appendNumber(text, static_cast<std::int64_t>(call.m_vm));
    appendNumber(text, call.m_leaseId);
    appendNumber(text, call.m_attempt);
    appendNumber(text, call.m_sentAt);
}

static std::int64_t seconds(Instant instant)
{
    return toMilliseconds(instant) / 1000;
}

static void appendVm(std::string &text, const Vm &vm)
{
    appendNumber(text, static_cast<int>(vm.m_state.m_role));
    appendNumber(text, vm.m_state.m_fence ? vm.m_state.m_fence->m_number : 0);
    appendNumber(text, vm.m_state.m_leaseId);
    appendNumber(text, seconds(vm.m_state.m_leaseEnd));
    appendNumber(text, (vm.m_state.m_stopping ? 1 : 0) + (vm.m_ticked ? 2 : 0));
    appendNumber(text, vm.m_attempt);
    appendNumber(text, static_cast<std::int64_t>(vm.m_pending.size()));
    for (const auto &pending : vm.m_pending) {
        appendNumber(text, static_cast<int>(pending.m_action));
        appendNumber(text, pending.m_leaseId);
    }
    appendNumber(text, (vm.m_call ? 1 : 0) + (vm.m_answer ? 2 : 0));
    if (vm.m_call) {
        appendCall(text, *vm.m_call);
    }
    if (vm.m_answer) {
        appendNumber(text, static_cast<int>(vm.m_answer->m_kind));
        appendNumber(text, vm.m_answer->m_leaseId);
        appendNumber(text, vm.m_answer->m_revision);
        appendNumber(text, seconds(vm.m_answer->m_sentAt));
    }
}

static void appendStore(std::string &text, const Store &store)
{
    appendNumber(text, store.m_revision);
    appendNumber(text, store.m_lastLease);
    appendNumber(text, static_cast<std::int64_t>(store.m_leases.size()));
    for (const auto &lease : store.m_leases) {
        appendNumber(text, lease.m_id);
        appendNumber(text, lease.m_endsAt);
    }
    appendNumber(text, store.m_key ? 1 : 0);
    if (store.m_key) {
        appendNumber(text, static_cast<std::int64_t>(store.m_key->m_vm));
        appendNumber(text, store.m_key->m_attempt);
        appendNumber(text, store.m_key->m_leaseId);
        appendNumber(text, store.m_key->m_revision);
    }
}

static void appendFences(std::string &text, const Fences &fences)
{
    appendNumber(text, static_cast<std::int64_t>(fences.size()));
    for (const auto fence : fences) {
        appendNumber(text, fence);
    }
}

std::string fingerprint(const Model &model)
{
    std::string text;
    appendNumber(text, model.m_now);
    appendNumber(text, model.m_stopRequested ? 1 : 0);
    for (const auto &vm : model.m_vms) {
        appendVm(text, *vm);
    }
    appendStore(text, *model.m_store);
    appendNumber(text, model.m_worker.m_highestSeen);
    appendNumber(text, model.m_worker.m_acceptedLower ? 1 : 0);
    appendNumber(text, static_cast<std::int64_t>(model.m_delayed.size()));
    for (const auto &call : model.m_delayed) {
        appendCall(text, call);
    }
    appendFences(text, model.m_commands);
    appendFences(text, model.m_writes);
    return text;
}

static Pointer<Vm> standbyVm(int attempt)
{
    return std::make_shared<Vm>(Vm{initialOwnership(), attempt, false, {}, std::nullopt, std::nullopt});
}

Model firstVmOwns()
{
    const OwnershipState owner{OwnershipRole::Owner, Fence{1}, 1, at(3), false};
    return {
        .m_now = 0,
        .m_vms = {std::make_shared<Vm>(Vm{owner, 1, false, {}, std::nullopt, std::nullopt}), standbyVm(0)},
        .m_store = std::make_shared<Store>(Store{{{1, 3}}, Key{0, 1, 1, 1}, 1, 1}),
        .m_worker = {1, false},
        .m_delayed = {},
        .m_commands = {1},
        .m_writes = {1},
        .m_stopRequested = false,
    };
}

Model noVmOwns()
{
    return {
        .m_now = 0,
        .m_vms = {standbyVm(0), standbyVm(0)},
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
        .m_vms = {std::make_shared<Vm>(Vm{acquiring, 2, true, {}, second, std::nullopt}), standbyVm(0)},
        .m_store = std::make_shared<Store>(Store{{{1, 3}, {2, 4}}, std::nullopt, 1, 2}),
        .m_worker = {0, false},
        .m_delayed = {Call{OwnershipAction::CreateKey, 0, 1, 1, 0}},
        .m_commands = {},
        .m_writes = {},
        .m_stopRequested = false,
    };
}

} // namespace OwnershipModel
