#include "ownersimulation.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";

// Guards against two runs of one task (TWICE): a worker answers the new owner, crashes and restarts. Its next incarnation has seen no fence,
// so that it accepts starts of the former owner, which goes on for half a task lease after its store lease.
TEST_CASE("the jobs of a takeover stay locked while a worker may have restarted and the former owner still starts tasks")
{
    constexpr int formerOwnerStopsMs = 1'500;
    Sim sim;
    sim.configure(1, {"queue"});
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    const RosterEntry w1{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = {}};
    const RosterEntry w2{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = {}};
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")}, {newJobState(spec, 4, Sim::at(0))}, {w1, w2});
    sim.answer("w1", std::nullopt, {}, Sim::at(50));
    sim.missPoll("w1", Sim::at(300));
    for (int nowMs = 350; nowMs < formerOwnerStopsMs; nowMs += 50) {
        sim.missPoll("w1", Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
        REQUIRE(sim.workerOf(jobId).empty());
    }
    for (int nowMs = formerOwnerStopsMs; nowMs <= 2 * Sim::taskLease.count(); nowMs += 50) {
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
    }
    CHECK(sim.workerOf(jobId) == "w2");
}

} // namespace PrimroseBridge
