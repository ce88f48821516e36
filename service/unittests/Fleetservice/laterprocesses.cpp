#include "ownersimulation.h"

#include <catch2/catch.hpp>

// A worker that restarts under its identifier takes calls that were meant for its earlier process, seconds after they were sent. Of what a call
// carries it compares only the fence.

namespace PrimroseBridge {

namespace {

using Sim = OwnerSimulation;

constexpr std::int64_t laterRevision = 57;
constexpr Duration callDelayBound{12'000};
const std::string jobId(16, 'a');

WorkerReportPointer laterProcess(std::int64_t startedAtMs = 500, std::int64_t revision = laterRevision)
{
    return Sim::worker("w1", std::nullopt, startedAtMs, {}, revision);
}

/// An owner whose only job has its start ordered on w1, which has answered.
struct StartedOnWorker : OwnerSimulation {
    explicit StartedOnWorker(int tasks = 1)
    {
        configure(1, {"queue"});
        becomeOwner({worker("w1")});
        answer("w1", std::nullopt, {}, at(10));
        const Resources resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 1};
        apply(JobSubmitted{.m_spec = jobOfStep(jobId, "queue", policy(4), stepOf(tasks, resources))}, at(20));
        place(at(30));
        REQUIRE(m_startOrders.size() == static_cast<std::size_t>(tasks));
    }

    void leaveStartUnanswered(Instant sentAt, Instant now, int index = 0)
    {
        const auto started = findTask(*jobState(jobId), reference(jobId, index));
        apply(StartOrderCompleted{.m_task = reference(jobId, index),
                                  .m_runNumber = started->m_runNumber,
                                  .m_checkpoint = {},
                                  .m_incarnation = *started->m_assignedWorker,
                                  .m_fence = fence,
                                  .m_sentAt = sentAt,
                                  .m_reply = OrderReply{.m_answer = OrderAnswer::Unanswered, .m_workerClockMs = std::nullopt},
                                  .m_workerFence = m_state.m_workers.at("w1").m_fence},
              now);
    }

    [[nodiscard]] TaskPhase phase(int index = 0) const
    {
        return findTask(*jobState(jobId), reference(jobId, index))->m_phase;
    }
};

} // namespace

// Guards against a call to the earlier process that renews leases, starts a run or drops an end of the later one: the later process must be able
// to tell it from those that are meant for it.
TEST_CASE("all calls to a later process of a worker have a higher fence than those to the earlier one")
{
    StartedOnWorker sim;
    sim.acceptStart(jobId, Sim::at(40));
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    CHECK(sim.m_reportFences.back() == laterRevision);
    CHECK_FALSE(sim.m_reportRequests.back().m_leaseEndMs);
    sim.answer("w1", std::nullopt, {}, Sim::at(1010));
    CHECK(sim.m_reportFences.back() == laterRevision);
    sim.place(Sim::at(1020));
    REQUIRE(sim.m_startOrders.size() == 2);
    CHECK(sim.m_startFences == std::vector<std::int64_t>{Sim::fence, laterRevision});
    sim.acceptStart(jobId, Sim::at(1030));
    sim.apply(JobCancelled{.m_job = jobId}, Sim::at(1040));
    REQUIRE(sim.m_stopOrders.size() == 1);
    CHECK(sim.m_stopFences.back() == laterRevision);
}

// Guards against a second restart whose process takes calls that were meant for the first one.
TEST_CASE("each process of a worker has a fence of its own")
{
    StartedOnWorker sim;
    sim.apply(WorkerReported{.m_report = laterProcess(500, 57)}, Sim::at(1000));
    sim.apply(WorkerReported{.m_report = laterProcess(600, 58)}, Sim::at(1100));
    CHECK(sim.m_reportFences.back() == 58);
    // An entry that the same process writes again changes nothing, because its calls would be refused until it has answered the next poll.
    sim.answer("w1", std::nullopt, {}, Sim::at(1110));
    sim.apply(WorkerReported{.m_report = laterProcess(600, 90)}, Sim::at(1200));
    sim.answer("w1", std::nullopt, {}, Sim::at(1210));
    CHECK(sim.m_reportFences.back() == 58);
}

// Guards against a start that reaches the later process before it refuses the calls to the earlier one.
TEST_CASE("a later process gets no start before it has answered under its fence")
{
    StartedOnWorker sim;
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    sim.place(Sim::at(1100));
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against an owner that gives its ownership up because a later process has refused a call to the earlier one.
TEST_CASE("a refusal of a call to an earlier process is no sign of a successor")
{
    StartedOnWorker sim;
    const auto earlier = *sim.m_state.m_workers.at("w1").m_incarnation;
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    const auto refusal = [&](const WorkerIncarnation &incarnation, std::int64_t workerFence) {
        sim.apply(StartOrderCompleted{.m_task = Sim::reference(jobId),
                                      .m_runNumber = 1,
                                      .m_checkpoint = {},
                                      .m_incarnation = incarnation,
                                      .m_fence = Sim::fence,
                                      .m_sentAt = Sim::at(900),
                                      .m_reply = OrderReply{.m_answer = OrderAnswer::Fenced, .m_workerClockMs = std::nullopt},
                                      .m_workerFence = workerFence},
                  Sim::at(1100));
    };
    refusal(earlier, Sim::fence);
    CHECK(sim.m_supersededCount == 0);
    refusal(*sim.m_state.m_workers.at("w1").m_incarnation, laterRevision);
    CHECK(sim.m_supersededCount == 1);
}

// Guards against a former owner whose calls pass for those of its successor: it may read an entry that is newer than the successor's key.
TEST_CASE("an owner whose store lease has ended gives no fence to a later process")
{
    StartedOnWorker sim;
    updateAuthority(sim.m_state, Sim::at(900), Sim::at(1000));
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    CHECK(sim.m_reportFences.back() == Sim::fence);
}

// Guards against a run of a later process of which the owner does not know: the start was left unanswered, the worker restarted behind a cut and
// executed it 12 s later, after the owner had taken the leases for over and had started the task elsewhere.
TEST_CASE("a task whose start was left unanswered by a silent worker waits for a late run's lease")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.missPoll("w1", Sim::at(700));
    sim.missPoll("w1", Sim::at(950));
    const auto leasesExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy;
    sim.review(leasesExpiredBy + Duration(1));
    CHECK(sim.phase() == TaskPhase::Starting);
    sim.review(leasesExpiredBy + callDelayBound - Duration(1));
    CHECK(sim.phase() == TaskPhase::Starting);
    sim.review(leasesExpiredBy + callDelayBound);
    CHECK(sim.phase() == TaskPhase::Waiting);
}

// Guards against a job that starts nothing for the delay of a call although its worker has crashed for good: an entry that is missing means that the
// worker is gone.
TEST_CASE("a task whose start was left unanswered waits for the leases only if its worker has lost its entry")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.missPoll("w1", Sim::at(700));
    sim.missPoll("w1", Sim::at(950));
    const auto leasesExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy;
    auto goneBy = leasesExpiredBy;
    SECTION("long before its leases are over")
    {
        sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, leasesExpiredBy - entryAbsenceBound);
    }
    SECTION("later, after which a restarted worker may still write it again")
    {
        sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, leasesExpiredBy - Duration(500));
        goneBy = leasesExpiredBy - Duration(500) + entryAbsenceBound;
    }
    sim.missPoll("w1", leasesExpiredBy - Duration(400), true);
    sim.review(goneBy - Duration(1));
    CHECK(sim.phase() == TaskPhase::Starting);
    sim.review(goneBy);
    CHECK(sim.phase() == TaskPhase::Waiting);
}

// Guards against the same run if a repetition of the start was answered: the first order may still be executed after a restart.
TEST_CASE("a task whose first start was left unanswered waits for a late run's lease although it runs")
{
    StartedOnWorker sim(2);
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.acceptStart(jobId, Sim::at(540), 1);
    auto running = std::vector{Sim::running(jobId, 1, 50, 0), Sim::running(jobId, 1, 50, 1)};
    sim.apply(
        PollCompleted{.m_incarnation = *sim.m_state.m_workers.at("w1").m_incarnation,
                      .m_fence = Sim::fence,
                      .m_sentAt = Sim::at(600),
                      .m_leaseRenewed = true,
                      .m_immediate = false,
                      .m_reply = RunReportReply{.m_answer = OrderAnswer::Accepted,
                                                .m_runReport = WorkerRunReport{.m_startedAtMs = 1, .m_clockMs = 600, .m_running = running, .m_ends = {}}}},
        Sim::at(600));
    REQUIRE(sim.phase(0) == TaskPhase::Running);
    sim.missPoll("w1", Sim::at(700));
    sim.missPoll("w1", Sim::at(950));
    const auto leasesExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy;
    sim.review(leasesExpiredBy + Duration(1));
    CHECK(sim.phase(0) == TaskPhase::Running);
    CHECK(sim.phase(1) == TaskPhase::Waiting); // Its start was answered, so that no other process executes it.
    sim.review(leasesExpiredBy + callDelayBound);
    CHECK(sim.phase(0) == TaskPhase::Waiting);
}

// Guards against waits that protect from nothing: once the time of an unanswered start is over while the process answers, no later one executes it.
TEST_CASE("an unanswered start is forgotten once its time is over on a worker that answers")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(600));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(30) + callDelayBound);
    CHECK(sim.m_state.m_workers.at("w1").m_lateStarts.empty());
    sim.missPoll("w1", Sim::at(13'000));
    sim.missPoll("w1", Sim::at(13'250));
    sim.review(sim.m_state.m_workers.at("w1").m_leasesExpiredBy);
    CHECK(sim.phase() == TaskPhase::Waiting);
}

// Guards against a task that waits although its late start can only be refused, and against a run that the later process has executed before its
// first answer and that is taken for lost.
TEST_CASE("the first list of a later process settles the starts that its earlier process left unanswered")
{
    StartedOnWorker sim(2);
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530), 0);
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530), 1);
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    CHECK(sim.phase(0) == TaskPhase::Starting);
    sim.answer("w1", Sim::running(jobId, 1, 50, 1), {}, Sim::at(1010));
    CHECK(sim.phase(0) == TaskPhase::Waiting);
    CHECK(sim.phase(1) == TaskPhase::Running);
    CHECK(sim.m_stopOrders.empty());
    sim.place(Sim::at(1020));
    CHECK(sim.m_startOrders.size() == 3);
    // A third process may still execute them.
    CHECK(sim.m_state.m_workers.at("w1").m_lateStarts.size() == 2);
}

// Guards against the same wait for a start that was still under way when the owner learnt of the later process.
TEST_CASE("a start that is under way during a restart may be executed late by the later process")
{
    StartedOnWorker sim;
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(100));
    sim.missPoll("w1", Sim::at(800));
    sim.missPoll("w1", Sim::at(1050));
    const auto leasesExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy;
    sim.review(leasesExpiredBy + Duration(1));
    CHECK(sim.phase() == TaskPhase::Starting);
    sim.review(leasesExpiredBy + callDelayBound);
    CHECK(sim.phase() == TaskPhase::Waiting);
}

// Guards against leases that are counted as over too early: a call to the earlier process may have renewed them just before the first answer.
TEST_CASE("the leases of a later process are counted from its first answer")
{
    StartedOnWorker sim;
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(1000));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(2900));
    CHECK(sim.m_state.m_workers.at("w1").m_leasesExpiredBy >= Sim::at(2900) + Sim::taskLease);
}

// Guards against a superseded run that unlocks its job although a later process of its silent worker may execute its start.
TEST_CASE("a superseded run with an unanswered start locks its job until a late run's lease is over")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(540));
    sim.answer("w2", Sim::running(jobId, 2), {}, Sim::at(550)); // Started by a former owner; run 1 is superseded.
    REQUIRE(sim.m_state.m_workers.at("w1").m_supersededRuns.size() == 1);
    sim.missPoll("w1", Sim::at(700));
    sim.missPoll("w1", Sim::at(950));
    const auto leasesExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy;
    sim.review(leasesExpiredBy + Duration(1));
    CHECK(sim.m_state.m_workers.at("w1").m_supersededRuns.size() == 1);
    sim.review(leasesExpiredBy + callDelayBound);
    CHECK(sim.m_state.m_workers.at("w1").m_supersededRuns.empty());
}

// Guards against calls to the earlier process that the later one executes after it has answered, because the store's entry follows late: only a
// higher fence makes it refuse them.
TEST_CASE("a worker that answers under a later start is polled under a higher fence before its entry is read")
{
    StartedOnWorker sim;
    sim.answer("w1", Sim::running(jobId, 1), {Sim::ended(std::string(16, 'b'), 1, 1, RunEndKind::Done)}, Sim::at(100));
    REQUIRE(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 1);
    sim.answerWithStart("w1", 500, {}, Sim::at(1000));
    sim.review(Sim::at(1010));
    CHECK(sim.m_reportFences.back() == Sim::fence + 1);
    CHECK(sim.m_reportRequests.back().m_lastAcknowledgedEnd == 0); // The later process numbers its ends anew.
    CHECK_FALSE(sim.m_reportRequests.back().m_leaseEndMs);
    sim.answerWithStart("w1", 500, {}, Sim::at(1020));
    sim.review(Sim::at(1300));
    CHECK(sim.m_reportFences.back() == Sim::fence + 1);
    sim.apply(WorkerReported{.m_report = laterProcess(500, Sim::fence + 1)}, Sim::at(1400));
    CHECK(sim.m_reportFences.back() == Sim::fence + 1);
    CHECK(sim.m_state.m_workers.at("w1").m_refusesEarlierCalls);
}

// Guards against an order that passes for a successor's, whose fence may be as high as that of the raised polls.
TEST_CASE("orders to a worker that answers under a later start keep their fence")
{
    StartedOnWorker sim;
    sim.acceptStart(jobId, Sim::at(40));
    sim.answerWithStart("w1", 500, {Sim::running(jobId, 1)}, Sim::at(1000));
    sim.apply(JobCancelled{.m_job = jobId}, Sim::at(1010));
    REQUIRE(sim.m_stopOrders.size() == 1);
    CHECK(sim.m_stopFences.back() == Sim::fence);
}

// Guards against a task that is started elsewhere while a later process, which the owner knows but cannot reach, executes its unanswered start.
TEST_CASE("a task with an unanswered start waits while the later process has not answered")
{
    StartedOnWorker sim;
    sim.leaveStartUnanswered(Sim::at(30), Sim::at(530));
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::GangMemberEnded)}, Sim::at(600)); // A repetition was executed.
    REQUIRE(sim.phase() == TaskPhase::Waiting);
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(610));
    sim.answer("w2", std::nullopt, {}, Sim::at(620));
    sim.apply(WorkerReported{.m_report = laterProcess()}, Sim::at(700));
    sim.place(Sim::at(710));
    CHECK(sim.m_startOrders.size() == 1);
    SECTION("until it answers")
    {
        sim.answer("w1", std::nullopt, {}, Sim::at(800));
    }
    SECTION("until a late run's lease is over")
    {
        sim.missPoll("w1", Sim::at(1000));
        const auto lateRunsExpiredBy = sim.m_state.m_workers.at("w1").m_leasesExpiredBy + callDelayBound;
        sim.place(lateRunsExpiredBy - Duration(1));
        CHECK(sim.m_startOrders.size() == 1);
        sim.place(lateRunsExpiredBy);
        CHECK(sim.m_startOrders.size() == 2);
        return;
    }
    sim.place(Sim::at(810));
    CHECK(sim.m_startOrders.size() == 2);
}

} // namespace PrimroseBridge
