#pragma once

// A model of two entry VMs, the store and one worker, written as pure functions. The VMs call the production function stepOwnership().
// Like the thread of the election, a VM handles one event or one answer at a time. One unit of time is one second.

#include "primrosebridge/Ownership/ownership.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace OwnershipModel {

using namespace PrimroseBridge;

/// The rules that the modelled parts follow. A false member disables its rule, and the search must then find a violation.
struct Rules {
    const bool m_workerComparesFence = true;
    const bool m_storeComparesKey = true;
    const bool m_leaseCountsFromSending = true;
    const bool m_readBackComparesAttempt = true;
    const bool m_lostAnswerIsReadBack = true;
};

/// The bounds of the search.
struct Bounds {
    const int m_lastSecond;
    const std::size_t m_delayedCalls; ///< Maximum number of calls that timed out and may still take effect.
};

/// A call from a VM to the store.
struct Call {
    const OwnershipAction m_action;
    const std::size_t m_vm;
    const std::int64_t m_leaseId;
    const int m_attempt;
    const int m_sentAt;

    bool operator==(const Call &) const = default;
};

/// An action that a VM has yet to perform.
struct PendingAction {
    const OwnershipAction m_action;
    const std::int64_t m_leaseId;
};

/// The state of an entry VM.
struct Vm {
    const OwnershipState m_state;
    const int m_attempt;
    const bool m_ticked; ///< The timer of the VM has fired in this second.
    const std::vector<PendingAction> m_pending;
    const std::optional<Call> m_call; ///< The call whose answer the VM awaits.
    const std::optional<OwnershipEvent> m_answer; ///< The answer in transit, once the store has executed the call.
};

struct Lease {
    const std::int64_t m_id;
    const int m_endsAt;
};

struct Key {
    const std::size_t m_vm;
    const int m_attempt;
    const std::int64_t m_leaseId;
    const std::int64_t m_revision;
};

struct Store {
    const std::vector<Lease> m_leases;
    const std::optional<Key> m_key;
    const std::int64_t m_revision;
    const std::int64_t m_lastLease;
};

struct Worker {
    const std::int64_t m_highestSeen; ///< Highest fence that the worker has seen.
    const bool m_acceptedLower; ///< The worker has accepted a command with a lower fence than an earlier command had.
};

template<class T>
using Pointer = std::shared_ptr<const T>;
using Fences = std::set<std::int64_t>;

/// The state of the whole model. A command or record write that a VM was once allowed to send stays in transit forever, because a network
/// may delay it by any time.
struct Model {
    const int m_now;
    const std::vector<Pointer<Vm>> m_vms;
    const Pointer<Store> m_store;
    const Worker m_worker;
    const std::vector<Call> m_delayed; ///< Calls that timed out and may still take effect.
    const Fences m_commands; ///< Fences of the commands in transit.
    const Fences m_writes; ///< Fences of the record writes in transit.
    const bool m_stopRequested;
};

/// A successor state and the name of the transition that leads to it.
struct Transition {
    const char *m_name;
    Model m_model;
};

/// Converts the time of the model to an instant.
Instant at(int second);

/// Returns the initial state in which the first VM is the owner.
Model firstVmOwns();
/// Returns the initial state without an owner.
Model noVmOwns();
/// Returns the state in which the first VM has started a second attempt while the key creation of its first attempt is in transit.
Model earlierAttemptDelayed();

/// Returns every transition that is possible in @p model.
std::vector<Transition> transitions(const Model &model, const Rules &rules, const Bounds &bounds);

/// Returns a description of the property that @p model violates, or nothing if all properties hold.
std::optional<std::string> violation(const Model &model, const Rules &rules);

/// Returns a text that identifies the model: two models have the same text only if they are equal.
std::string fingerprint(const Model &model);

} // namespace OwnershipModel
