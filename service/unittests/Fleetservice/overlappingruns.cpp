#include "ownersimulation.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";

static WorkerReportPointer workerOnMachine(const std::string &name, const std::string &machine, std::int64_t startedAtMs)
{
    const auto report = Sim::worker(name);
    return std::make_shared<const WorkerReport>(WorkerReport{
        .m_incarnation = WorkerIncarnation{.m_worker = name, .m_startedAtMs = startedAtMs},
        .m_machine = machine,
        .m_address = report->m_address,
        .m_pool = report->m_pool,
        .m_zone = report->m_zone,
        .m_rack = report->m_rack,
        .m_labels = report->m_labels,
        .m_capacity = report->m_capacity,
        .m_draining = false,
        .m_leavesIn = std::nullopt,
        .m_softwareVersion = {},
        .m_reportedAtClockMs = std::nullopt,
    });
}

// Guards against two runs of one task (TWICE, issue 36): a worker starts on the machine of another one, which goes on and answers.
TEST_CASE("a worker that starts on the machine of another one does not show that the other one has ended")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({workerOnMachine("w1", "m1", 1)});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(100));
    sim.apply(WorkerReported{.m_report = workerOnMachine("w2", "m1", 2)}, Sim::at(200));
    for (int nowMs = 250; nowMs <= 6'000; nowMs += 50) {
        if (sim.m_state.m_workers.contains("w1")) {
            sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(nowMs));
        }
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
        REQUIRE(sim.workerOf(jobId) == "w1");
    }
}

// Guards against two runs of one task (TWICE, issue 36): a worker that was silent at the takeover lists the end of a run of a former owner,
// whose number is higher than that of the run that this owner has started.
TEST_CASE("the end of a former owner's run does not end the present run of a task")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.answer("w2", std::nullopt, {Sim::ended(jobId, 1, 2, RunEndKind::LeaseExpired)}, Sim::at(50));
    for (int nowMs = 100; nowMs <= 1'000; nowMs += 50) {
        sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
        REQUIRE(sim.workerOf(jobId) == "w1");
    }
}

// Guards against two runs of one task (TWICE, issue 36): after a takeover one worker lists the end of a run, and then another one lists a run
// with a lower number, which goes on until it is stopped.
TEST_CASE("a task does not start while a worker lists an outdated run of it")
{
    Sim sim;
    sim.configure(1, {"queue"});
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    const RosterEntry w1{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = {}};
    const RosterEntry w2{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = {}};
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")}, {newJobState(spec, 4, Sim::at(0))}, {w1, w2});
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 2, RunEndKind::LeaseExpired)}, Sim::at(50));
    for (int nowMs = 100; nowMs <= 1'000; nowMs += 50) {
        sim.answer("w1", std::nullopt, {}, Sim::at(nowMs));
        sim.answer("w2", Sim::running(jobId, 1), {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
        REQUIRE((sim.workerOf(jobId).empty() || sim.workerOf(jobId) == "w2"));
    }
    sim.answer("w2", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Stopped)}, Sim::at(1'050));
    sim.review(Sim::at(1'100));
    sim.place(Sim::at(1'100));
    CHECK(!sim.workerOf(jobId).empty());
}

static JobSpecPointer repeatedJob()
{
    const auto single = Sim::job(jobId, "queue", Sim::policy(4));
    return std::make_shared<const JobSpec>(
        JobSpec{.m_id = single->m_id,
                .m_queue = single->m_queue,
                .m_acceptedPolicy = single->m_acceptedPolicy,
                .m_organisation = single->m_organisation,
                .m_acceptedAt = single->m_acceptedAt,
                .m_payload = single->m_payload,
                .m_steps = single->m_steps,
                .m_schedule = JobSchedule{.m_count = 2, .m_firstDue = single->m_acceptedAt - Duration(1'000), .m_interval = Duration(3'600'000)}});
}

// Guards against a task that runs again after it is done: a run report arrives before the first pass of a term, which creates the occurrences
// that are due. The end in it belongs to a task that the owner does not know yet, so that nothing is recorded.
TEST_CASE("the end of a run of an occurrence that the owner has not created yet is not acknowledged before it is recorded")
{
    Sim sim;
    sim.configure(1, {"queue"});
    const RosterEntry w1{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = {}};
    sim.becomeOwner({Sim::worker("w1")}, {newJobState(repeatedJob(), 4, Sim::at(0))}, {w1});
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Done)}, Sim::at(2));
    CHECK(sim.m_state.m_workers.at("w1").m_lastAcknowledgedEnd == 0);
    for (int nowMs = 10; nowMs <= 500; nowMs += 50) {
        sim.review(Sim::at(nowMs));
        sim.place(Sim::at(nowMs));
        sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Done)}, Sim::at(nowMs));
        REQUIRE(sim.m_startOrders.empty()); // The job removes the occurrence, which is done, and the next one is not due.
    }
}

// Guards against two runs of one task: in the same window, a run goes on that the owner stops because it knows no such task.
TEST_CASE("a run of an occurrence that the owner has not created yet is adopted")
{
    Sim sim;
    sim.configure(1, {"queue"});
    const RosterEntry w1{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = {}};
    const RosterEntry w2{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = {}};
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")}, {newJobState(repeatedJob(), 4, Sim::at(0))}, {w1, w2});
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(2));
    sim.answer("w2", std::nullopt, {}, Sim::at(3));
    sim.review(Sim::at(10));
    sim.place(Sim::at(10));
    REQUIRE(sim.jobState(jobId)->m_occurrences.size() == 1);
    CHECK(sim.workerOf(jobId) != "w2");
}

} // namespace PrimroseBridge
