#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Time to live of the store lease. A failed owner can be replaced once its lease has expired.
constexpr Duration ownershipLease = std::chrono::seconds(3);

/// Interval at which an owner renews the store lease, and at which a standby reads the ownership key.
constexpr Duration ownershipPeriod = std::chrono::seconds(1);

/// The role of an entry VM in its availability zone.
enum class OwnershipRole {
    Standby, ///< The VM does not own the zone.
    Acquiring, ///< The VM is acquiring a lease or the ownership key, or the answer to its compare-and-swap was lost.
    Owner, ///< The VM holds the ownership key. Its rights end with its lease; see mayCommandWorkers() and mayWriteRecords().
    Degraded, ///< The VM acts as owner without a valid lease, because neither it nor any peer of the zone is known to reach the store.
};

/// Returns the name of @p role in lower_snake_case. Thread-safe.
std::string_view ownershipRoleName(OwnershipRole role);

/// The state of the ownership protocol on one entry VM.
struct OwnershipState {
    const OwnershipRole m_role;
    const std::optional<Fence> m_fence; ///< The create revision of the ownership key. Set in the roles Owner and Degraded only.
    const std::int64_t m_leaseId; ///< Identifier of the store lease; 0 if there is none.
    const Instant m_leaseEnd; ///< End of the store lease. It is counted from the sending of the renewal, so it is never later than the end at the store.
    const bool m_stopping; ///< A planned stop was requested; the VM must not acquire ownership again.

    bool operator==(const OwnershipState &) const = default;
};

/// The kinds of input to the ownership protocol.
enum class OwnershipEventKind {
    Tick, ///< Another ownershipPeriod has passed.
    LeaseGranted, ///< The store granted a lease; uses m_leaseId and m_sentAt.
    LeaseRenewed, ///< The store renewed the lease; uses m_sentAt.
    LeaseLost, ///< The store reported that the lease has expired.
    StoreUnreachable, ///< A store call failed or timed out, except a compare-and-swap that may have taken effect.
    KeyCreated, ///< The compare-and-swap succeeded; m_revision is the create revision of the key.
    KeyHeldByOther, ///< The ownership key names another VM, incarnation or operation, so it is not under the current lease.
    KeyAnswerLost, ///< The answer to the compare-and-swap was lost, so it may have taken effect.
    KeyReadBackMine, ///< The ownership key names this VM and incarnation and the current operation; m_revision is its create revision.
    KeyAbsent, ///< The ownership key does not exist.
    PeerReachesStore, ///< A peer of the zone reported that it can reach the store.
    WorkerSawHigherFence, ///< A worker refused a command because it has seen a higher fence, which is m_revision.
    StopRequested, ///< A planned stop of this process was requested.
};

/// Returns the name of @p kind in lower_snake_case. Thread-safe.
std::string_view ownershipEventName(OwnershipEventKind kind);

/// An input to the ownership protocol. Each kind uses only the fields that its comment names.
struct OwnershipEvent {
    const OwnershipEventKind m_kind;
    const std::int64_t m_leaseId = 0;
    const std::int64_t m_revision = 0;
    const Instant m_sentAt = Instant();

    bool operator==(const OwnershipEvent &) const = default;
};

/// The actions that the protocol requires of its caller.
enum class OwnershipAction {
    GrantLease,
    RenewLease,
    CreateKey, ///< Compare-and-swap: create the ownership key under the lease if it does not exist.
    ReadKey,
    StartOwning, ///< Send the new fence to every worker, read the records and adopt running work; only then schedule.
    StopOwning, ///< Send no more commands to workers, and write no more records.
    RevokeLease, ///< Revoke the lease that the VM had before the step, which also removes the ownership key.
};

/// The state after an event, and the actions to perform, in order.
struct OwnershipStep {
    const OwnershipState m_state;
    const std::vector<OwnershipAction> m_actions;

    bool operator==(const OwnershipStep &) const = default;
};

/// Returns the state of a process that has just started. Thread-safe.
OwnershipState initialOwnership();

/// Returns the state and the actions that follow from @p event. The ownership protocol is this pure function. Thread-safe.
///
/// Precondition: the caller performs the actions of a step, and passes their results to this function, before it makes other calls to
/// the store. A lease is used for a single attempt to create the key, and is revoked if the VM abandons the attempt; a delayed
/// compare-and-swap then has no effect. Errors: none; an event that does not fit the state changes nothing.
OwnershipStep stepOwnership(const OwnershipState &state, const OwnershipEvent &event, Instant now);

/// Returns true if the VM may send commands to workers at @p now. Thread-safe.
bool mayCommandWorkers(const OwnershipState &state, Instant now);

/// Returns true if the VM may write records at @p now. The store checks the fence of each write as well. Thread-safe.
bool mayWriteRecords(const OwnershipState &state, Instant now);

} // namespace PrimroseBridge
