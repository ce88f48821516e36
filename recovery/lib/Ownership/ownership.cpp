#include "primrosebridge/Ownership/ownership.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace PrimroseBridge {

// Peers report that they reach the store until their next store call fails, which takes at most one period and one call timeout after
// the store has become unreachable. Stepping down on such a stale report would leave the zone without an owner for the whole outage.
static constexpr Duration staleReportTolerance = std::chrono::seconds(1);

using Actions = std::vector<OwnershipAction>;

std::string_view ownershipRoleName(OwnershipRole role)
{
    switch (role) {
    case OwnershipRole::Standby:
        return "standby";
    case OwnershipRole::Acquiring:
        return "acquiring";
    case OwnershipRole::Owner:
        return "owner";
    case OwnershipRole::Degraded:
        return "degraded";
    }
    assert(false && "every role has a name");
    return "standby";
}

struct EventName {
    const OwnershipEventKind m_kind;
    const std::string_view m_name;
};

static constexpr std::array<EventName, 13> eventNames = {{
    {OwnershipEventKind::Tick, "tick"},
    {OwnershipEventKind::LeaseGranted, "lease_granted"},
    {OwnershipEventKind::LeaseRenewed, "lease_renewed"},
    {OwnershipEventKind::LeaseLost, "lease_lost"},
    {OwnershipEventKind::StoreUnreachable, "store_unreachable"},
    {OwnershipEventKind::KeyCreated, "key_created"},
    {OwnershipEventKind::KeyHeldByOther, "key_held_by_other"},
    {OwnershipEventKind::KeyAnswerLost, "key_answer_lost"},
    {OwnershipEventKind::KeyReadBackMine, "key_read_back_mine"},
    {OwnershipEventKind::KeyAbsent, "key_absent"},
    {OwnershipEventKind::PeerReachesStore, "peer_reaches_store"},
    {OwnershipEventKind::WorkerSawHigherFence, "worker_saw_higher_fence"},
    {OwnershipEventKind::StopRequested, "stop_requested"},
}};

std::string_view ownershipEventName(OwnershipEventKind kind)
{
    for (const auto &entry : eventNames) {
        if (entry.m_kind == kind) {
            return entry.m_name;
        }
    }
    assert(false && "every event has a name");
    return "tick";
}

static OwnershipState standbyState(bool stopping)
{
    return {.m_role = OwnershipRole::Standby, .m_fence = std::nullopt, .m_leaseId = 0, .m_leaseEnd = Instant(), .m_stopping = stopping};
}

OwnershipState initialOwnership()
{
    return standbyState(false);
}

static bool isLeaseValid(const OwnershipState &state, Instant now)
{
    return state.m_leaseId != 0 && now < state.m_leaseEnd;
}

static OwnershipStep stepTo(const OwnershipState &state, Actions actions = {})
{
    return {.m_state = state, .m_actions = std::move(actions)};
}

// Gives up ownership of the zone, or the attempt to acquire it. Revokes the lease if there is one, which also removes the ownership key.
static OwnershipStep relinquishOwnership(const OwnershipState &state, bool stopping)
{
    Actions actions;
    if (state.m_fence) {
        actions.push_back(OwnershipAction::StopOwning);
    }
    if (state.m_leaseId != 0) {
        actions.push_back(OwnershipAction::RevokeLease);
    }
    return {.m_state = standbyState(stopping), .m_actions = std::move(actions)};
}

// Handles a lease that the store no longer has. Reads the ownership key at once to find out whether the zone has another owner.
static OwnershipStep afterLeaseLost(const OwnershipState &state)
{
    Actions actions;
    if (state.m_fence) {
        actions.push_back(OwnershipAction::StopOwning);
    }
    if (!state.m_stopping) {
        actions.push_back(OwnershipAction::ReadKey);
    }
    return {.m_state = standbyState(state.m_stopping), .m_actions = std::move(actions)};
}

static OwnershipStep stepStandby(const OwnershipState &state, const OwnershipEvent &event)
{
    if (state.m_stopping) {
        return stepTo(state);
    }
    if (event.m_kind == OwnershipEventKind::Tick) {
        return stepTo(state, {OwnershipAction::ReadKey});
    }
    if (event.m_kind == OwnershipEventKind::KeyAbsent) {
        return {
            .m_state = {.m_role = OwnershipRole::Acquiring, .m_fence = std::nullopt, .m_leaseId = 0, .m_leaseEnd = Instant(), .m_stopping = false},
            .m_actions = {OwnershipAction::GrantLease},
        };
    }
    return stepTo(state);
}

static OwnershipStep becomeOwner(const OwnershipState &state, std::int64_t revision, Instant now)
{
    // A process that was suspended beyond the end of its lease cannot know whether the key still exists.
    if (!isLeaseValid(state, now)) {
        return relinquishOwnership(state, state.m_stopping);
    }
    return {
        .m_state = {.m_role = OwnershipRole::Owner,
                    .m_fence = Fence{revision},
                    .m_leaseId = state.m_leaseId,
                    .m_leaseEnd = state.m_leaseEnd,
                    .m_stopping = state.m_stopping},
        .m_actions = {OwnershipAction::StartOwning},
    };
}

static OwnershipStep afterLeaseGranted(const OwnershipState &state, const OwnershipEvent &event)
{
    if (state.m_leaseId != 0) {
        return stepTo(state);
    }
    return {
        .m_state = {.m_role = OwnershipRole::Acquiring,
                    .m_fence = std::nullopt,
                    .m_leaseId = event.m_leaseId,
                    .m_leaseEnd = event.m_sentAt + ownershipLease,
                    .m_stopping = state.m_stopping},
        .m_actions = {OwnershipAction::CreateKey},
    };
}

static OwnershipStep stepAcquiring(const OwnershipState &state, const OwnershipEvent &event, Instant now)
{
    switch (event.m_kind) {
    case OwnershipEventKind::LeaseGranted:
        return afterLeaseGranted(state, event);
    case OwnershipEventKind::KeyCreated:
    case OwnershipEventKind::KeyReadBackMine:
        return becomeOwner(state, event.m_revision, now);
    case OwnershipEventKind::KeyAnswerLost:
        return stepTo(state, {OwnershipAction::ReadKey});
    case OwnershipEventKind::KeyAbsent:
    case OwnershipEventKind::KeyHeldByOther:
        return relinquishOwnership(state, state.m_stopping);
    case OwnershipEventKind::LeaseLost:
        return {.m_state = standbyState(state.m_stopping), .m_actions = {}};
    case OwnershipEventKind::StoreUnreachable:
        // With a lease, the compare-and-swap may have taken effect, so the VM reads the key again at the next tick.
        return state.m_leaseId == 0 ? relinquishOwnership(state, state.m_stopping) : stepTo(state);
    case OwnershipEventKind::Tick:
        return isLeaseValid(state, now) ? stepTo(state, {OwnershipAction::ReadKey}) : relinquishOwnership(state, state.m_stopping);
    default:
        return stepTo(state);
    }
}

static OwnershipStep afterLeaseRenewed(const OwnershipState &state, const OwnershipEvent &event, Instant now)
{
    const auto endsAt = std::max(state.m_leaseEnd, event.m_sentAt + ownershipLease);
    // If the answer arrives so late that the renewed lease has already expired, the role stays as it is until the next renewal.
    const auto role = now < endsAt ? OwnershipRole::Owner : state.m_role;
    return stepTo({.m_role = role, .m_fence = state.m_fence, .m_leaseId = state.m_leaseId, .m_leaseEnd = endsAt, .m_stopping = state.m_stopping});
}

static OwnershipStep afterStoreUnreachable(const OwnershipState &state, Instant now)
{
    if (isLeaseValid(state, now)) {
        return stepTo(state);
    }
    return stepTo({.m_role = OwnershipRole::Degraded,
                   .m_fence = state.m_fence,
                   .m_leaseId = state.m_leaseId,
                   .m_leaseEnd = state.m_leaseEnd,
                   .m_stopping = state.m_stopping});
}

static bool mustStepDownForPeer(const OwnershipState &state, Instant now)
{
    return state.m_role == OwnershipRole::Degraded && now >= state.m_leaseEnd + staleReportTolerance;
}

// Handles an event in the roles Owner and Degraded.
static OwnershipStep stepOwner(const OwnershipState &state, const OwnershipEvent &event, Instant now)
{
    assert(state.m_fence && "an owner has a fence");
    const auto fence = state.m_fence->m_number;
    switch (event.m_kind) {
    case OwnershipEventKind::Tick:
        return stepTo(state, {OwnershipAction::RenewLease});
    case OwnershipEventKind::LeaseRenewed:
        return afterLeaseRenewed(state, event, now);
    case OwnershipEventKind::LeaseLost:
        return afterLeaseLost(state);
    case OwnershipEventKind::StoreUnreachable:
        return afterStoreUnreachable(state, now);
    case OwnershipEventKind::KeyHeldByOther:
    case OwnershipEventKind::KeyAbsent:
        return relinquishOwnership(state, false);
    case OwnershipEventKind::KeyReadBackMine:
        return event.m_revision == fence ? stepTo(state) : relinquishOwnership(state, false);
    case OwnershipEventKind::WorkerSawHigherFence:
        return event.m_revision > fence ? relinquishOwnership(state, false) : stepTo(state);
    case OwnershipEventKind::PeerReachesStore:
        return mustStepDownForPeer(state, now) ? relinquishOwnership(state, false) : stepTo(state);
    default:
        return stepTo(state);
    }
}

OwnershipStep stepOwnership(const OwnershipState &state, const OwnershipEvent &event, Instant now)
{
    if (event.m_kind == OwnershipEventKind::StopRequested) {
        return relinquishOwnership(state, true);
    }
    switch (state.m_role) {
    case OwnershipRole::Standby:
        return stepStandby(state, event);
    case OwnershipRole::Acquiring:
        return stepAcquiring(state, event, now);
    case OwnershipRole::Owner:
    case OwnershipRole::Degraded:
        return stepOwner(state, event, now);
    }
    assert(false && "every role has a step function");
    return stepTo(state);
}

bool mayCommandWorkers(const OwnershipState &state, Instant now)
{
    if (state.m_role == OwnershipRole::Degraded) {
        return true;
    }
    return state.m_role == OwnershipRole::Owner && isLeaseValid(state, now);
}

bool mayWriteRecords(const OwnershipState &state, Instant now)
{
    return state.m_role == OwnershipRole::Owner && isLeaseValid(state, now);
}

} // namespace PrimroseBridge
