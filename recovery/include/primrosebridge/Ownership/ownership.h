#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Time to live of the store lease, in which an owner that was lost is replaced.
constexpr Duration ownershipLease = std::chrono::seconds(3);

/// Time between two renewals of the store lease, and between two reads of the key by a standby.
constexpr Duration ownershipPeriod = std::chrono::seconds(1);

/// The role of one entry VM for its availability zone.
enum class OwnershipRole {
    Standby, ///< Does not own the zone.
    Acquiring, ///< A compare-and-swap on the ownership key is in progress or its answer was lost.
    Owner, ///< Holds the zone under a valid store lease.
    Degraded, ///< The lease has run out, the store is unreachable, and no peer of the zone reaches it.
};

/// The name in lower_snake_case. Thread-safe.
std::string_view ownershipRoleName(OwnershipRole role);

/// State of the ownership protocol on one entry VM.
struct OwnershipState {
    const OwnershipRole m_role;
    const std::optional<Fence> m_fence; ///< Set while Owner or Degraded.
    const std::int64_t m_lease; ///< Store lease, 0 for none.
    const Instant m_leaseEndsAt; ///< Counted from before the renewal was sent, so never later than the store's own end.
    const bool m_stopping; ///< Do not acquire again.

    bool operator==(const OwnershipState &) const = default;
};

/// What happened.
enum class OwnershipEventKind {
    Tick, ///< ownershipPeriod has passed.
    LeaseGranted, ///< m_lease, m_sentAt.
    LeaseRenewed, ///< m_sentAt.
    LeaseLost, ///< The store says that the lease has run out.
    StoreUnreachable, ///< A call failed or timed out, other than a compare-and-swap that may have taken effect.
    KeyCreated, ///< The compare-and-swap succeeded; m_revision.
    KeyHeldByOther, ///< The ownership key names another VM, incarnation or operation, so it is not under the current lease.
    KeyAnswerLost, ///< The compare-and-swap may have taken effect.
    KeyReadBackMine, ///< The key names this VM and incarnation and the current operation; m_revision is its create revision.
    KeyAbsent, ///< The ownership key does not exist.
    PeerReachesStore, ///< A peer of the zone reported that it reaches the store.
    WorkerSawHigherFence, ///< A worker refused a command; m_revision is the higher fence.
    StopRequested, ///< Planned stop.
};

/// The name in lower_snake_case. Thread-safe.
std::string_view ownershipEventName(OwnershipEventKind kind);

/// One event with the fields that its kind uses.
struct OwnershipEvent {
    const OwnershipEventKind m_kind;
    const std::int64_t m_lease = 0;
    const std::int64_t m_revision = 0;
    const Instant m_sentAt = Instant();

    bool operator==(const OwnershipEvent &) const = default;
};

/// What the caller has to do next.
enum class OwnershipAction {
    GrantLease,
    RenewLease,
    CreateKey, ///< Compare-and-swap: create the ownership key under the lease if it does not exist.
    ReadKey,
    StartOwning, ///< Fence every worker, read the records, adopt, then decide.
    StopOwning, ///< Send nothing more to workers or to the records.
    RevokeLease, ///< End the lease of the state before the step, and with it the ownership key.
};

/// The state after an event and the actions that follow from it, in order.
struct OwnershipStep {
    const OwnershipState m_state;
    const std::vector<OwnershipAction> m_actions;

    bool operator==(const OwnershipStep &) const = default;
};

/// The state of a process that has just started. Thread-safe.
OwnershipState initialOwnership();

/// The ownership protocol as a pure step function. Thread-safe.
///
/// Precondition: the caller performs the actions of a step, and passes their results in, before further calls to the store. A lease
/// serves one attempt to create the key only, and is revoked if the attempt is given up; a delayed creation then has no effect.
/// Errors: none; an event that does not fit the state changes nothing.
OwnershipStep stepOwnership(const OwnershipState &state, const OwnershipEvent &event, Instant now);

/// True if commands may be sent to workers at @p now. Thread-safe.
bool mayCommandWorkers(const OwnershipState &state, Instant now);

/// True if records may be written at @p now; the store checks the fence as well. Thread-safe.
bool mayWriteRecords(const OwnershipState &state, Instant now);

} // namespace PrimroseBridge
