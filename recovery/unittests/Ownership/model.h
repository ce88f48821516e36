#pragma once

// A model of two entry VMs, the store and one worker as pure functions. The VMs use the real step function; a VM handles one event or
// one answer at a time, as the election's thread does. One unit of time is one second.

#include "primrosebridge/Ownership/ownership.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace OwnershipModel {

using namespace PrimroseBridge;

/// What the parts compare. A false one is a deliberate fault that the check must find.
struct Rules {
    const bool m_workerComparesFence = true;
    const bool m_storeComparesKey = true;
    const bool m_leaseCountsFromSending = true;
    const bool m_readBackComparesAttempt = true;
    const bool m_lostAnswerIsReadBack = true;
};

/// Bounds of the exploration.
struct Bounds {
    const int m_lastSecond;
    const std::size_t m_delayedCalls; ///< Calls that timed out and may still take effect.
};

/// A call to the store.
struct Call {
    const OwnershipAction m_action;
    const std::size_t m_vm;
    const std::int64_t m_lease;
    const int m_attempt;
    const int m_sentAt;

    bool operator==(const Call &) const = default;
};

struct Pending {
    const OwnershipAction m_action;
    const std::int64_t m_lease;
};

/// One entry VM.
struct Vm {
    const OwnershipState m_state;
    const int m_attempt;
    const bool m_ticked; ///< Its timer has fired in this second.
    const std::vector<Pending> m_pending;
    const std::optional<Call> m_call; ///< Waits for the answer.
    const std::optional<OwnershipEvent> m_answer; ///< The store has executed the call; the answer is on its way.
};

struct Lease {
    const std::int64_t m_id;
    const int m_endsAt;
};

struct Key {
    const std::size_t m_vm;
    const int m_attempt;
    const std::int64_t m_lease;
    const std::int64_t m_revision;
};

struct Store {
    const std::vector<Lease> m_leases;
    const std::optional<Key> m_key;
    const std::int64_t m_revision;
    const std::int64_t m_lastLease;
};

struct Worker {
    const std::int64_t m_highestSeen;
    const bool m_acceptedLower; ///< It has accepted a fence lower than one that it had accepted before.
};

template<class T>
using Pointer = std::shared_ptr<const T>;
using Fences = std::set<std::int64_t>;

/// Everything. A command or record write that a VM was once allowed to send stays on its way for ever, as a network may delay it.
struct Model {
    const int m_now;
    const std::vector<Pointer<Vm>> m_vms;
    const Pointer<Store> m_store;
    const Worker m_worker;
    const std::vector<Call> m_delayed;
    const Fences m_commands;
    const Fences m_writes;
    const bool m_stopRequested;
};

/// A model and the name of the step that led to it.
struct Transition {
    const char *m_name;
    Model m_model;
};

/// Time of the model as an instant.
Instant at(int second);

/// Initial states.
Model firstOwns();
Model nobodyOwns();
/// The first VM has tried again while the creation of its earlier attempt is still on its way.
Model earlierAttemptDelayed();

/// Every step that can happen next.
std::vector<Transition> transitions(const Model &model, const Rules &rules, const Bounds &bounds);

/// The property that does not hold, if any.
std::optional<std::string> violation(const Model &model, const Rules &rules);

/// Text that is equal for equal models only.
std::string fingerprint(const Model &model);

} // namespace OwnershipModel
