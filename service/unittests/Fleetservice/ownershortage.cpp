#include "logcapture.h"
#include "ownersimulation.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

// Guards against a shortage that the log does not show, or shows anew in each pass. The load is two jobs on a worker with capacity for one.
TEST_CASE("a shortage is logged once until it has been over for a second, and each step that waits for it once")
{
    using Sim = OwnerSimulation;
    const LogCapture log(LogLevel::Info);
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    const std::string kept = "0123456789abcdef";
    sim.apply(JobSubmitted{.m_spec = Sim::job(kept, "queue", Sim::policy(4))}, Sim::at(10));
    sim.apply(JobSubmitted{.m_spec = Sim::job("fedcba9876543210", "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    sim.place(Sim::at(70));
    CHECK(log.lines("shortage_began").size() == 1);
    REQUIRE(log.lines("step_put_off").size() == 1);
    CHECK(log.lines("step_put_off").front().find("request=fedcba9876543210") != std::string::npos);
    CHECK(log.lines("shortage_ended").empty());
    sim.apply(JobCancelled{.m_job = "fedcba9876543210"}, Sim::at(80));
    sim.place(Sim::at(900));
    CHECK(log.lines("shortage_ended").empty());
    sim.place(Sim::at(1100));
    CHECK(log.lines("shortage_ended").size() == 1);
}

} // namespace PrimroseBridge
