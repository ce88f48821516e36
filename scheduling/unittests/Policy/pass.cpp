#include "primrosebridge/Policy/pass.h"

#include "zonebuilder.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;
using std::chrono::hours;
using std::chrono::minutes;

static PassResult pass(const ZoneState &state, Instant now = start)
{
    return runPass(state, defaultPassSettings(), now);
}

// Guards against gangs whose members lie on scattered accelerators.
TEST_CASE("members lie on consecutive accelerators")
{
    auto broken = worker("w1", "r1");
    const WorkerState holed{broken.m_worker, broken.m_status, 0b11011011, false};
    const auto result = pass(zone({holed, worker("w2", "r1", 4)}, {}, {job("j", "a", gpus(4))}));
    REQUIRE(result.m_placements.size() == 1);
    CHECK(result.m_placements[0].m_members == std::vector<GangMember>{member("w2", 0b1111, 4)});
}

// Guards against a rack-bound gang that spills into another rack, and against Nearest using more racks than it needs.
TEST_CASE("a gang stays in one rack unless it may be spread")
{
    const std::vector<WorkerState> workers = {worker("w1", "r1", 4), worker("w2", "r1", 4), worker("w3", "r2", 4)};
    const auto rack = pass(zone(workers, {}, {job("j", "a", gpus(8, Adjacency::SameRack))}));
    REQUIRE(rack.m_placements.size() == 1);
    CHECK(rack.m_placements[0].m_members == std::vector<GangMember>{member("w1", 0b1111, 4), member("w2", 0b1111, 4)});
    const auto wide = pass(zone(workers, {}, {job("j", "a", gpus(12, Adjacency::SameRack)), job("k", "a", gpus(10, Adjacency::Nearest))}));
    CHECK(wide.m_explanations[0].m_rule == DecisionRule::NeverRunnable);
    REQUIRE(wide.m_placements.size() == 1);
    CHECK(wide.m_placements[0].m_members.size() == 3);
}

// Guards against an organisation that exceeds its quota when several of its jobs are placed in one pass.
TEST_CASE("the quota counts what the same pass has placed")
{
    const auto result = pass(zone({worker("w1", "r1")}, {}, {job("j", "a", gpus(2)), job("k", "a", gpus(2))}, {}, {organisation("a", 3)}));
    CHECK(result.m_placements.size() == 1);
    CHECK(result.m_explanations[1].m_rule == DecisionRule::WaitsForQuota);
}

// Guards against one organisation taking everything because it has submitted first.
TEST_CASE("organisations take turns by weighted share")
{
    std::vector<QueuedJob> queue;
    for (const char *key : {"a1", "a2", "a3", "a4"}) {
        queue.push_back(job(key, "a", gpus(2)));
    }
    queue.push_back(job("b1", "b", gpus(2), {.m_submittedAt = start + Duration(1)}));
    queue.push_back(job("b2", "b", gpus(2), {.m_submittedAt = start + Duration(1)}));
    const auto result = pass(zone({worker("w1", "r1")}, {}, queue), start + Duration(2));
    REQUIRE(result.m_placements.size() == 4);
    CHECK(result.m_explanations[4].m_rule == DecisionRule::Placed);
    CHECK(result.m_explanations[5].m_rule == DecisionRule::Placed);
}

// Guards against batch work that newer standard work overtakes for ever.
TEST_CASE("waiting raises the precedence of batch work, and urgent work still goes first")
{
    const auto batch = job("old", "a", gpus(8), {.m_tier = Tier::Batch, .m_submittedAt = start - minutes(50)});
    const auto standard = job("new", "b", gpus(8));
    CHECK(pass(zone({worker("w1", "r1")}, {}, {standard, batch})).m_placements.at(0).m_key == batch.m_key);
    const auto urgent = job("urgent", "b", gpus(8), {.m_tier = Tier::Urgent});
    CHECK(pass(zone({worker("w1", "r1")}, {}, {batch, urgent})).m_placements.at(0).m_key == urgent.m_key);
}

// Guards against guaranteed capacity that is lost to work which cannot be removed.
TEST_CASE("work that cannot be removed stays off the guarantees of others")
{
    const auto result
        = pass(zone({worker("w1", "r1")}, {}, {job("j", "a", gpus(1)), job("k", "a", gpus(1), {.m_restartable = true})}, {guarantee("b", gpus(8), 1)}));
    CHECK(result.m_explanations[0].m_rule == DecisionRule::WaitsForGuarantee);
    CHECK(result.m_explanations[1].m_rule == DecisionRule::Placed);
}

// Guards against lent capacity that does not come back, and against a second reclaim while the first is under way.
TEST_CASE("a guarantee is reclaimed by checkpoint and its position is kept")
{
    const auto lent = job("lent", "a", gpus(8), {.m_checkpointable = true});
    const auto owner = job("owner", "b", gpus(8));
    const auto thief = job("thief", "a", gpus(8), {.m_tier = Tier::Urgent});
    const auto guarantees = std::vector{guarantee("b", gpus(8), 1)};
    const auto first = pass(zone({worker("w1", "r1")}, {running(lent, {member("w1", 0xff, 8)})}, {owner}, guarantees));
    REQUIRE(first.m_releases.size() == 1);
    CHECK(first.m_releases[0].m_mode == ReleaseMode::Checkpoint);
    CHECK(first.m_explanations[0].m_rule == DecisionRule::WaitsForReclaim);
    CHECK(first.m_guarantees[0].m_reclaimable == 1);
    const auto second = pass(zone({worker("w1", "r1")}, {running(lent, {member("w1", 0xff, 8)}, start, true)}, {thief, owner}, guarantees));
    CHECK(second.m_releases.empty());
    CHECK(second.m_placements.empty());
    const auto third = pass(zone({worker("w1", "r1")}, {}, {thief, lent, owner}, guarantees));
    REQUIRE(third.m_placements.size() == 1);
    CHECK(third.m_explanations[2].m_rule == DecisionRule::PlacedReclaim);
}

// Guards against small claims that take, one after the other, what is being freed for a large claim.
TEST_CASE("a small claim does not take the position that is being freed for a large one")
{
    const auto lent = JobTraits{.m_tier = Tier::Batch, .m_restartable = true};
    const std::vector allocations
        = {running(job("going", "c", gpus(4), lent), {member("w1", 0x0f, 4)}, start, true), running(job("lent", "c", gpus(8), lent), {member("w2", 0xff, 8)})};
    const std::vector queue = {job("small", "b", gpus(1), {.m_submittedAt = start - minutes(1)}), job("whole", "a", gpus(8))};
    const auto state = zone({worker("w1", "r1"), worker("w2", "r1")},
                            allocations,
                            queue,
                            {guarantee("a", gpus(8), 1), guarantee("b", gpus(8), 1)},
                            {organisation("a"), organisation("b"), organisation("c")});
    const auto result = pass(state);
    CHECK(result.m_placements.empty());
    REQUIRE(result.m_releases.size() == 1);
    CHECK(result.m_releases[0].m_key.text() == "lent");
}

// Guards against work under one guarantee that is interrupted for another one whose own work, which cannot be removed, is in the way.
TEST_CASE("work that holds a guarantee is not released for a claim that its own organisation blocks")
{
    const std::vector allocations = {running(job("held", "a", gpus(8), {.m_checkpointable = true}), {member("w1", 0xff, 8)}),
                                     running(job("blocking", "b", gpus(1)), {member("w2", 0x10, 1)})};
    const std::vector guarantees = {guarantee("a", gpus(8), 1), guarantee("b", gpus(8), 1)};
    const auto result = pass(zone({worker("w1", "r1"), worker("w2", "r1")}, allocations, {job("claim", "b", gpus(8))}, guarantees));
    CHECK(result.m_releases.empty());
    CHECK(result.m_explanations[0].m_rule == DecisionRule::WaitsForCapacity);
    CHECK(result.m_guarantees[0].m_held == 1);
    CHECK(result.m_guarantees[1].m_held == 1);
}

// Guards against a large job that small ones overtake, and against idle capacity that harmless small jobs could use.
TEST_CASE("backfill does not delay the job that holds the reservation")
{
    const auto blocker = running(job("blocker", "a", gpus(4), {.m_runTime = minutes(10)}), {member("w1", 0x0f, 4)});
    const auto large = job("large", "a", gpus(8), {.m_submittedAt = start - minutes(5)});
    const auto shortOne = job("short", "b", gpus(2), {.m_restartable = true, .m_runTime = minutes(5)});
    const auto longOne = job("long", "b", gpus(2), {.m_restartable = true, .m_runTime = minutes(20)});
    const auto result = pass(zone({worker("w1", "r1")}, {blocker}, {large, shortOne, longOne}));
    CHECK(result.m_explanations[0].m_rule == DecisionRule::WaitsForCapacity);
    CHECK(result.m_explanations[1].m_rule == DecisionRule::PlacedBackfill);
    CHECK(result.m_explanations[2].m_rule == DecisionRule::WaitsForReservation);
}

// Guards against a shortfall that hits the wrong organisation.
TEST_CASE("a shrunken fleet serves guarantees by priority")
{
    const std::vector guarantees = {guarantee("a", gpus(8), 1, 2), guarantee("b", gpus(8), 1, 1)};
    const auto leaving = worker("w2", "r1");
    const WorkerState gone{leaving.m_worker, BackendServerStatus::Draining, leaving.m_usable, false};
    const auto result = pass(zone({worker("w1", "r1"), gone}, {}, {}, guarantees));
    CHECK(result.m_guarantees[0].m_short == 1);
    CHECK(result.m_guarantees[1].m_short == 0);
    CHECK(result.m_guarantees[1].m_free == 1);
}

// Guards against work that is moved although the deployment does not value large free shapes, or never moved although it does.
TEST_CASE("work is moved for a large free shape only if the weights make it worthwhile")
{
    const JobTraits movable{.m_checkpointable = true, .m_runTime = hours(2)};
    const std::vector allocations = {running(job("one", "b", gpus(4), movable), {member("w1", 0x0f, 4)}, start - minutes(20)),
                                     running(job("two", "b", gpus(4), movable), {member("w2", 0x0f, 4)}, start - minutes(20))};
    const auto state = zone({worker("w1", "r1"), worker("w2", "r1")}, allocations, {}, {guarantee("a", gpus(8), 1)});
    const auto moved = pass(state);
    REQUIRE(moved.m_releases.size() == 1);
    CHECK(moved.m_releases[0].m_mode == ReleaseMode::Checkpoint);
    CHECK(moved.m_fragmentation == 1);
    const ZoneState fast{state.m_zone, state.m_workers, allocations, {}, state.m_guarantees, state.m_organisations, {0.99, 0.01}};
    CHECK(pass(fast).m_releases.empty());
}

// Guards against urgent work that waits for batch work to end.
TEST_CASE("urgent work takes the place of batch work")
{
    const auto batch = running(job("batch", "a", gpus(8), {.m_tier = Tier::Batch, .m_restartable = true}), {member("w1", 0xff, 8)});
    const auto result = pass(zone({worker("w1", "r1")}, {batch}, {job("urgent", "b", gpus(1), {.m_tier = Tier::Urgent})}));
    REQUIRE(result.m_releases.size() == 1);
    CHECK(result.m_releases[0].m_mode == ReleaseMode::Stop);
}

TEST_CASE("shapes beyond the declared fleet are explained")
{
    CHECK_FALSE(whyNeverRunnable({worker("w1", "r1")}, gpus(8)));
    CHECK(whyNeverRunnable({worker("w1", "r1")}, gpus(9))->find("offers 8") != std::string::npos);
    const Shape cores{0, Adjacency::SameWorker, 64, 1};
    CHECK(whyNeverRunnable({worker("w1", "r1")}, cores));
}
