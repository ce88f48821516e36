#include "primrosebridge/Ownership/ownership.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <memory>

using namespace PrimroseBridge;
using Kind = OwnershipEventKind;
using Action = OwnershipAction;
using Actions = std::vector<OwnershipAction>;

static const Instant start = fromMilliseconds(1'000'000);

static Instant at(int milliseconds)
{
    return start + Duration(milliseconds);
}

static OwnershipState owner(OwnershipRole role = OwnershipRole::Owner)
{
    return {.m_role = role, .m_fence = Fence{7}, .m_leaseId = 42, .m_leaseEnd = at(3000), .m_stopping = false};
}

static OwnershipState acquiring(std::int64_t lease)
{
    return {
        .m_role = OwnershipRole::Acquiring, .m_fence = std::nullopt, .m_leaseId = lease, .m_leaseEnd = lease == 0 ? Instant() : at(3000), .m_stopping = false};
}

static OwnershipEvent event(Kind kind, std::int64_t revision = 0)
{
    return {.m_kind = kind, .m_revision = revision};
}

TEST_CASE("a standby that finds no key is granted a lease, creates the key and becomes the owner")
{
    const auto read = stepOwnership(initialOwnership(), event(Kind::Tick), at(0));
    CHECK(read.m_actions == Actions{Action::ReadKey});
    const auto grant = stepOwnership(read.m_state, event(Kind::KeyAbsent), at(1));
    CHECK(grant.m_actions == Actions{Action::GrantLease});
    const auto create = stepOwnership(grant.m_state, {.m_kind = Kind::LeaseGranted, .m_leaseId = 42, .m_sentAt = at(0)}, at(2));
    CHECK(create.m_actions == Actions{Action::CreateKey});
    const auto owned = stepOwnership(create.m_state, event(Kind::KeyCreated, 7), at(3));
    CHECK(owned.m_actions == Actions{Action::StartOwning});
    CHECK(owned.m_state == owner());
}

// Guards against a lost answer that is treated as a failure, which leaves a key that no VM renews, or as a success, which can result in
// two owners.
TEST_CASE("after a lost answer to the creation, reading the key decides")
{
    const auto lost = stepOwnership(acquiring(42), event(Kind::KeyAnswerLost), at(10));
    CHECK(lost.m_state == acquiring(42));
    CHECK(lost.m_actions == Actions{Action::ReadKey});
    CHECK(stepOwnership(lost.m_state, event(Kind::KeyReadBackMine, 7), at(20)).m_state == owner());
    CHECK(stepOwnership(lost.m_state, event(Kind::StoreUnreachable), at(20)).m_state == acquiring(42));
    CHECK(stepOwnership(lost.m_state, event(Kind::Tick), at(1000)).m_actions == Actions{Action::ReadKey});
    for (const auto kind : {Kind::KeyAbsent, Kind::KeyHeldByOther}) {
        const auto givenUp = stepOwnership(lost.m_state, event(kind), at(20));
        CHECK(givenUp.m_state == initialOwnership());
        // Revoking the lease prevents a delayed compare-and-swap from taking effect.
        CHECK(givenUp.m_actions == Actions{Action::RevokeLease});
    }
}

TEST_CASE("a process that was suspended while acquiring does not become the owner under an expired lease")
{
    for (const auto kind : {Kind::KeyCreated, Kind::KeyReadBackMine}) {
        const auto step = stepOwnership(acquiring(42), event(kind, 7), at(3000));
        CHECK(step.m_state == initialOwnership());
        CHECK(step.m_actions == Actions{Action::RevokeLease});
    }
}

TEST_CASE("the lease duration counts from the time at which the renewal was sent")
{
    CHECK(stepOwnership(owner(), event(Kind::Tick), at(1000)).m_actions == Actions{Action::RenewLease});
    const auto renewed = stepOwnership(owner(), {.m_kind = Kind::LeaseRenewed, .m_sentAt = at(1000)}, at(1400));
    CHECK(renewed.m_state.m_leaseEnd == at(4000));
    CHECK(mayWriteRecords(renewed.m_state, at(3999)));
    CHECK_FALSE(mayWriteRecords(renewed.m_state, at(4000)));
    CHECK_FALSE(mayCommandWorkers(renewed.m_state, at(4000)));
}

// Without degraded mode, running tasks would end 10 s after the store has become unreachable.
TEST_CASE("an owner without store and lease is degraded: it commands workers and writes no records")
{
    CHECK(stepOwnership(owner(), event(Kind::StoreUnreachable), at(2999)).m_state == owner());
    const auto degraded = stepOwnership(owner(), event(Kind::StoreUnreachable), at(3000)).m_state;
    CHECK(degraded == owner(OwnershipRole::Degraded));
    CHECK(mayCommandWorkers(degraded, at(60'000)));
    CHECK_FALSE(mayWriteRecords(degraded, at(60'000)));
    const auto back = stepOwnership(degraded, {.m_kind = Kind::LeaseRenewed, .m_sentAt = at(9000)}, at(9010));
    CHECK(back.m_state.m_role == OwnershipRole::Owner);
    CHECK(back.m_state.m_fence == Fence{7});
    const auto tooLate = stepOwnership(degraded, {.m_kind = Kind::LeaseRenewed, .m_sentAt = at(9000)}, at(12'000));
    CHECK(tooLate.m_state.m_role == OwnershipRole::Degraded);
    const auto lost = stepOwnership(degraded, event(Kind::LeaseLost), at(9000));
    CHECK(lost.m_state == initialOwnership());
    CHECK(lost.m_actions == Actions{Action::StopOwning, Action::ReadKey});
}

// Guards against a heartbeat that a peer sent just before it noticed the outage and that leaves the zone without an owner.
TEST_CASE("only a degraded owner steps down for a peer that reaches the store, and not on a stale report")
{
    CHECK(stepOwnership(owner(), event(Kind::PeerReachesStore), at(2000)).m_state == owner());
    const auto degraded = owner(OwnershipRole::Degraded);
    CHECK(stepOwnership(degraded, event(Kind::PeerReachesStore), at(3999)).m_state == degraded);
    const auto step = stepOwnership(degraded, event(Kind::PeerReachesStore), at(4000));
    CHECK(step.m_state == initialOwnership());
    CHECK(step.m_actions.front() == Action::StopOwning);
}

TEST_CASE("an owner stops when the key or a worker indicates a successor")
{
    for (const auto role : {OwnershipRole::Owner, OwnershipRole::Degraded}) {
        for (const auto &sign : {event(Kind::KeyHeldByOther), event(Kind::KeyAbsent), event(Kind::KeyReadBackMine, 9), event(Kind::WorkerSawHigherFence, 8)}) {
            const auto step = stepOwnership(owner(role), sign, at(100));
            CHECK(step.m_state == initialOwnership());
            CHECK(step.m_actions == Actions{Action::StopOwning, Action::RevokeLease});
        }
        CHECK(stepOwnership(owner(role), event(Kind::WorkerSawHigherFence, 7), at(100)).m_state == owner(role));
        CHECK(stepOwnership(owner(role), event(Kind::KeyReadBackMine, 7), at(100)).m_state == owner(role));
    }
}

// Guards against a process that acquires ownership again during its planned stop, which delays its successor by a whole lease.
TEST_CASE("after a stop request the process releases ownership and never acquires it again")
{
    const auto step = stepOwnership(owner(), event(Kind::StopRequested), at(100));
    CHECK(step.m_actions == Actions{Action::StopOwning, Action::RevokeLease});
    CHECK(stepOwnership(acquiring(42), event(Kind::StopRequested), at(100)).m_actions == Actions{Action::RevokeLease});
    for (const auto kind : {Kind::Tick, Kind::KeyAbsent}) {
        const auto later = stepOwnership(step.m_state, event(kind), at(200));
        CHECK(later.m_state == step.m_state);
        CHECK(later.m_actions.empty());
    }
}

// Guards against a state with a fence but no lease, or with permissions but no fence, which would let a VM act that is not the owner.
TEST_CASE("any sequence of events keeps the state consistent")
{
    CHECK(rc::check([] {
        auto state = std::make_unique<OwnershipState>(initialOwnership());
        Instant now = start;
        const auto count = *rc::gen::inRange(1, 60);
        for (int index = 0; index < count; ++index) {
            now += Duration(*rc::gen::inRange(0, 1500));
            const auto kind = static_cast<Kind>(*rc::gen::inRange(0, static_cast<int>(Kind::StopRequested) + 1));
            const OwnershipEvent occurred{.m_kind = kind, .m_leaseId = 42, .m_revision = *rc::gen::inRange(1, 12), .m_sentAt = now - Duration(5)};
            const auto step = stepOwnership(*state, occurred, now);
            const bool owning = step.m_state.m_role == OwnershipRole::Owner || step.m_state.m_role == OwnershipRole::Degraded;
            RC_ASSERT(step.m_state.m_fence.has_value() == owning);
            RC_ASSERT(!owning || step.m_state.m_leaseId != 0);
            RC_ASSERT(owning || !mayCommandWorkers(step.m_state, now));
            RC_ASSERT(!mayWriteRecords(step.m_state, now) || mayCommandWorkers(step.m_state, now));
            RC_ASSERT(!state->m_stopping || step.m_state == *state || kind == Kind::StopRequested);
            state = std::make_unique<OwnershipState>(step.m_state);
        }
    }));
}
