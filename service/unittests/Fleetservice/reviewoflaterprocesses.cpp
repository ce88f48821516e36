#include "ownersimulation.h"

#include "primrosebridge/Fleetservice/latestarts.h"
#include "primrosebridge/Fleetservice/storekeys.h"

#include <catch2/catch.hpp>

// What an owner must still know of the calls to a worker's earlier processes after one later process has answered, after the worker was forgotten,
// and after a takeover.

namespace PrimroseBridge {

namespace {

using Sim = OwnerSimulation;

constexpr Duration callDelayBound{12'000};
constexpr std::int64_t laterRevision = 57;
const std::string jobId(16, 'a');

WorkerReportPointer laterProcess(std::int64_t startedAtMs = 500, std::int64_t revision = laterRevision)
{
    return Sim::worker("w1", std::nullopt, startedAtMs, {}, revision);
}

/// An owner whose only job has its start ordered on w1, which has answered.
struct StartedOnWorker : OwnerSimulation {
    StartedOnWorker()
    {
        configure(1, {"queue"});
        becomeOwner({worker("w1")});
        answer("w1", std::nullopt, {}, at(10));
        apply(JobSubmitted{.m_spec = job(jobId, "queue", policy(4))}, at(20));
        place(at(30));
        REQUIRE(m_startOrders.size() == 1);
    }

    void leaveStartUnanswered(Instant sentAt, Instant now)
    {
        apply(StartOrderCompleted{.m_task = reference(jobId),
                                  .m_runNumber = task(jobId)->m_runNumber,
                                  .m_checkpoint = {},
                                  .m_incarnation = *task(jobId)->m_assignedWorker,
                                  .m_fence = fence,
                                  .m_sentAt = sentAt,
                                  .m_reply = OrderReply{.m_answer = OrderAnswer::Unanswered, .m_workerClockMs = std::nullopt},
                                  .m_workerFence = m_state.m_workers.at("w1").m_ordersFence},
              now);
    }

    /// Returns the jobs by worker in the newest record of late starts.
    [[nodiscard]] LateStartJobs recordedLateStarts() const
    {
        const auto found = std::find_if(m_records.rbegin(), m_records.rend(), [](const auto &record) { return record.m_key == StoreKeys::lateStarts; });
        return found == m_records.rend() ? LateStartJobs() : decodeLateStarts(found->m_value).value().m_jobsByWorker;
    }
};

} // namespace

// Guards against two runs of a task: the process that answered refuses the late start, but the next one, which is started and cut off within the
// time of the call, has seen no fence and executes it.
TEST_CASE("a late start that one later process refuses is still awaited for the next one")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    sim.answer("w1", std::nullopt, {}, Sim::at(1010));
    sim.place(Sim::at(1020));
    REQUIRE(sim.m_startOrders.size() == 2);
    sim.acceptStart(jobId, Sim::at(1030));
    sim.missPoll("w1", Sim::at(1700));
    sim.missPoll("w1", Sim::at(1950));
    const auto leasesExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy;
    REQUIRE(leasesExpiredBy < Sim::at(30) + callDelayBound);
    sim.review(leasesExpiredBy + Duration(1));
    CHECK(sim.task(jobId)->m_phase == TaskPhase::Running);
}

// Guards against the same run of a process that follows a worker which has been forgotten since its entry was removed: a worker with no task is
// forgotten at its first missed poll.
TEST_CASE("a late start is still awaited after its worker has lost its entry")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::GangMemberEnded)}, Sim::at(600)); // A repetition was executed.
    REQUIRE(sim.task(jobId)->m_phase == TaskPhase::Waiting);
    sim.missPoll("w1", Sim::at(1300));
    sim.missPoll("w1", Sim::at(1550));
    sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(2000));
    sim.missPoll("w1", Sim::at(2010), true);
    sim.review(Sim::at(2020));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(2030));
    sim.answer("w2", std::nullopt, {}, Sim::at(2040));
    sim.place(Sim::at(2050));
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against a successor that forgets the former owner's late start at the worker's first answer, although a later process of the worker
// executes it until its time is over. The former owner itself would wait.
TEST_CASE("a successor awaits a recorded late start although the worker has answered and runs its repetition")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.apply(OwnershipGained{.m_snapshot = std::make_shared<const FleetSnapshot>(
                                  FleetSnapshot{.m_fence = Sim::fence,
                                                .m_jobs = {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                                                .m_cancelledJobs = {},
                                                .m_workers = {Sim::worker("w1")},
                                                .m_roster = {RosterEntry{.m_worker = Sim::worker("w1"), .m_jobsIfCordoned = std::nullopt}},
                                                .m_rosterVersion = 1,
                                                .m_lateStarts = LateStartRecord{.m_version = 4, .m_jobsByWorker = {{"w1", {jobId}}}}})},
              Sim::at(0));
    updateAuthority(sim.m_state, fromMilliseconds(1'000'000'000), Sim::at(0));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(10));
    REQUIRE(sim.task(jobId)->m_phase == TaskPhase::Running);
    recordLateStartsIfChanged(sim.m_state, Sim::at(200));
    sim.missPoll("w1", Sim::at(1700));
    sim.missPoll("w1", Sim::at(1950));
    const auto leasesExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy;
    REQUIRE(leasesExpiredBy < Sim::at(0) + callDelayBound);
    sim.review(leasesExpiredBy + Duration(1));
    CHECK(sim.task(jobId)->m_phase == TaskPhase::Running);
}

// Guards against a record that names late starts for as long as nothing else changes it. Every takeover would lock the jobs again, for a task lease
// and callDelayBoundMs, because the worker does not answer.
TEST_CASE("the record of late starts loses those whose time is over on a worker that does not answer")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    recordLateStartsIfChanged(sim.m_state, Sim::at(540));
    REQUIRE(sim.recordedLateStarts().contains("w1"));
    sim.missPoll("w1", Sim::at(1300));
    sim.missPoll("w1", Sim::at(1550));
    const auto lateRunsExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy + callDelayBound;
    SECTION("and has no entry")
    {
        sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(2000));
        sim.missPoll("w1", Sim::at(2010), true);
        sim.review(lateRunsExpiredBy);
        REQUIRE(sim.m_state.m_workers.empty());
    }
    SECTION("and keeps its entry")
    {
        sim.review(lateRunsExpiredBy);
    }
    REQUIRE(sim.task(jobId)->m_phase == TaskPhase::Waiting);
    sim.review(lateRunsExpiredBy + Duration(1000));
    recordLateStartsIfChanged(sim.m_state, lateRunsExpiredBy + Duration(1000));
    CHECK_FALSE(sim.recordedLateStarts().contains("w1"));
}

// Guards against a process that keeps the fence of its earlier process for its whole life, because its entry was read in a lapse of the store lease
// that the next renewal ended.
TEST_CASE("a later process gets its own fence once the store lease is renewed")
{
    StartedOnWorker sim;
    updateAuthority(sim.m_state, Sim::at(900), Sim::at(1000));
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    updateAuthority(sim.m_state, fromMilliseconds(1'000'000'000), Sim::at(1100));
    sim.answer("w1", std::nullopt, {}, Sim::at(1110));
    sim.apply(WorkerReported{.m_report = laterProcess(500, 90)}, Sim::at(2000));
    sim.answer("w1", std::nullopt, {}, Sim::at(2010));
    sim.review(Sim::at(2300));
    CHECK(sim.m_reportFences.back() > Sim::fence);
}

// Guards against an owner that takes a process's memory of the owner's own fence for a successor: it has forgotten the process, and tracks it again
// under its own fence in a lapse of the store lease.
TEST_CASE("a process that is tracked again is not called under a lower fence than before")
{
    StartedOnWorker sim;
    sim.acceptStart(jobId, Sim::at(40));
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    sim.answer("w1", std::nullopt, {}, Sim::at(1010));
    sim.missPoll("w1", Sim::at(1700));
    sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(2000));
    sim.review(Sim::at(2010));
    REQUIRE(sim.m_state.m_workers.empty());
    updateAuthority(sim.m_state, Sim::at(2900), Sim::at(3000));
    sim.apply(WorkerReported{.m_report = laterProcess(500, 90)}, Sim::at(3000));
    const auto sentFence = sim.m_reportFences.back();
    CHECK(sentFence >= laterRevision);
    const auto answer = sentFence < laterRevision ? OrderAnswer::Fenced : OrderAnswer::Unanswered; // As the process answers.
    sim.apply(PollCompleted{.m_incarnation = laterProcess()->m_incarnation,
                            .m_fence = Sim::fence,
                            .m_sentAt = Sim::at(3000),
                            .m_leaseRenewed = false,
                            .m_immediate = false,
                            .m_reply = RunReportReply{.m_answer = answer, .m_runReport = std::nullopt},
                            .m_workerFence = sentFence},
              Sim::at(3010));
    CHECK(sim.m_supersededCount == 0);
}

// Guards against an answer of the earlier process that arrives after one of the later process, over another connection: it makes the owner renew
// leases and acknowledge ends under the raised fence, which the later process accepts, and send orders that it refuses.
TEST_CASE("an overtaken answer of the earlier process does not make the raised polls renew leases or acknowledge ends")
{
    StartedOnWorker sim;
    sim.answer("w1", Sim::running(jobId, 1), {Sim::ended(std::string(16, 'b'), 1, 1, RunEndKind::Done)}, Sim::at(100));
    REQUIRE(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 1);
    sim.answerWithStart("w1", 500, {}, Sim::at(1000));
    sim.apply(
        PollCompleted{.m_incarnation = *sim.m_state.m_workers.at("w1").m_incarnation,
                      .m_fence = Sim::fence,
                      .m_sentAt = Sim::at(110),
                      .m_leaseRenewed = true,
                      .m_immediate = false,
                      .m_reply = RunReportReply{.m_answer = OrderAnswer::Accepted,
                                                .m_runReport
                                                = WorkerRunReport{.m_startedAtMs = 1, .m_clockMs = 500, .m_running = {Sim::running(jobId, 1)}, .m_ends = {}}},
                      .m_workerFence = Sim::fence},
        Sim::at(1010));
    sim.review(Sim::at(1300));
    REQUIRE(sim.m_reportFences.back() == Sim::fence + 1);
    CHECK(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 0);
    CHECK_FALSE(sim.m_reportRequests.back().m_leaseEndMs);
}

// Guards against calls to the earlier process that a later one executes after it has answered, if the worker's wall clock was set back in between.
// Its first entry is passed over, so that its own fence waits for the entry after the first answer.
TEST_CASE("a worker that answers under an earlier start is polled under a higher fence before its entry is read")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1", std::nullopt, 1000)});
    sim.answer("w1", std::nullopt, {}, Sim::at(10));
    sim.apply(WorkerReported{.m_report = laterProcess(500)}, Sim::at(1000));
    sim.answerWithStart("w1", 500, {}, Sim::at(1010));
    sim.review(Sim::at(1300));
    CHECK(sim.m_reportFences.back() > Sim::fence);
}

} // namespace PrimroseBridge
