#include "logcapture.h"
#include "ownersimulation.h"

#include "primrosebridge/Fleetservice/roster.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";
static const std::string machine = "m-1";
// Shorter than the task lease, so that no lease has ended for certain.
static constexpr int beforeLeasesEndMs = 2'900;

static WorkerReportPointer onMachine(const std::string &name, std::int64_t startedAtMs, std::optional<Duration> leavesIn = std::nullopt)
{
    return Sim::worker(name, leavesIn, startedAtMs, machine);
}

// Returns the roster as a successor reads it from the store.
static std::vector<RosterEntry> recordedRoster(std::vector<RosterEntry> entries)
{
    const auto decoded = decodeRoster(encodeRoster(Roster{.m_version = 1, .m_workers = std::move(entries)}));
    REQUIRE(decoded.ok());
    return decoded.value().m_workers;
}

static void reviewAndPlace(Sim &sim, int nowMs)
{
    sim.review(Sim::at(nowMs));
    sim.place(Sim::at(nowMs));
}

// Starts a task on w1, which runs on the machine, and reports the idle worker w2 on another one.
static void startOnMachine(Sim &sim)
{
    sim.configure(1, {"queue"});
    sim.becomeOwner({onMachine("w1", 1'000)});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    sim.place(Sim::at(20));
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.apply(WorkerReported{.m_report = Sim::worker("w2")}, Sim::at(40));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(60));
}

// Guards against two runs of one task: a worker drains, its entry goes, and its successor starts on the machine. The roster, from which the next
// owner knows the worker, does not say that it drains, so that two polls without an answer count as its end.
TEST_CASE("a takeover keeps the runs of a worker that drains without an entry beside its successor")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w2"), onMachine("w9", 2'000)},
                    {newJobState(spec, 4, Sim::at(0))},
                    recordedRoster({RosterEntry{.m_worker = onMachine("w1", 1'000, Duration(60'000)), .m_jobsIfCordoned = std::vector<std::string>{jobId}},
                                    RosterEntry{.m_worker = Sim::worker("w2"), .m_jobsIfCordoned = std::nullopt}}));
    for (int nowMs = 50; nowMs < beforeLeasesEndMs; nowMs += 400) {
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.answer("w9", std::nullopt, {}, Sim::at(nowMs));
        if (sim.m_state.m_workers.contains("w1")) {
            sim.missPoll("w1", Sim::at(nowMs + 10));
        }
        reviewAndPlace(sim, nowMs + 20);
        CAPTURE(nowMs);
        REQUIRE(sim.m_startOrders.empty());
    }
}

// Guards against the same belief without a takeover: the watch of the workers is interrupted while a worker begins to drain and its entry goes, so that
// the next listing shows only that the entry has gone. The poll that the listing causes and the regular one are lost at the same moment.
TEST_CASE("a worker whose drain was not seen keeps its runs beside its successor")
{
    Sim sim;
    startOnMachine(sim);
    sim.apply(WorkersListed{.m_workers = {Sim::worker("w2"), onMachine("w9", 2'000)}, .m_removedWorkers = {"w1"}}, Sim::at(100));
    sim.answer("w9", std::nullopt, {}, Sim::at(110));
    sim.missPoll("w1", Sim::at(120), true);
    sim.missPoll("w1", Sim::at(120));
    sim.answer("w2", std::nullopt, {}, Sim::at(130));
    reviewAndPlace(sim, 140);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against two runs of one task: a worker answers, but its entry names a later start. Each of these answers counts as a missed poll, so that a single
// lost answer after that of a later worker on its machine counts as its end.
TEST_CASE("a worker that answers under an earlier start than its entry is not over because of one lost answer")
{
    Sim sim;
    startOnMachine(sim);
    sim.apply(WorkerReported{.m_report = onMachine("w9", 2'000)}, Sim::at(100));
    sim.answerWithStart("w1", 900, {Sim::running(jobId, 1)}, Sim::at(110));
    sim.answer("w9", std::nullopt, {}, Sim::at(120));
    sim.answerWithStart("w1", 900, {Sim::running(jobId, 1)}, Sim::at(370));
    sim.answer("w2", std::nullopt, {}, Sim::at(380));
    reviewAndPlace(sim, 390);
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.missPoll("w1", Sim::at(620));
    sim.answer("w2", std::nullopt, {}, Sim::at(630));
    reviewAndPlace(sim, 640);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against two runs of one task: a worker that was not known at the takeover lists a run to the poll that the removal of its entry causes, and its
// first regular poll, which renews no lease, stays without an answer. The owner has no end of the leases that the former owner gave.
TEST_CASE("an adopted run of a worker that was not known at the takeover is not over before its lease")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    Sim sim;
    sim.configure(1, {"queue"});
    sim.apply(OwnershipGained{.m_snapshot = std::make_shared<const FleetSnapshot>(FleetSnapshot{.m_fence = Sim::fence,
                                                                                                .m_jobs = {newJobState(spec, 4, Sim::at(0))},
                                                                                                .m_cancelledJobs = {},
                                                                                                .m_workers = {Sim::worker("w2")},
                                                                                                .m_roster = {},
                                                                                                .m_rosterVersion = 0,
                                                                                                .m_rosterReadable = false})},
              Sim::at(0));
    updateAuthority(sim.m_state, fromMilliseconds(1'000'000'000), Sim::at(0));
    sim.answer("w2", std::nullopt, {}, Sim::at(50));
    sim.apply(WorkerReported{.m_report = Sim::worker("w1")}, Sim::at(3'300));
    sim.apply(WorkerEntryRemoved{.m_worker = "w1"}, Sim::at(3'310));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(3'320), true);
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.missPoll("w1", Sim::at(3'330));
    sim.answer("w2", std::nullopt, {}, Sim::at(3'400));
    reviewAndPlace(sim, 3'400);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.empty());
}

static RosterEntry listed(const std::string &worker)
{
    return RosterEntry{.m_worker = Sim::worker(worker), .m_jobsIfCordoned = std::nullopt};
}

static JobSpecPointer gangJob()
{
    const auto plain = Sim::job(jobId, "queue", Sim::policy(4));
    const auto &step = plain->m_steps.front();
    return std::make_shared<const JobSpec>(JobSpec{
        .m_id = plain->m_id,
        .m_queue = plain->m_queue,
        .m_acceptedPolicy = plain->m_acceptedPolicy,
        .m_organisation = plain->m_organisation,
        .m_acceptedAt = plain->m_acceptedAt,
        .m_payload = plain->m_payload,
        .m_steps = {JobStep{.m_taskCount = 2,
                            .m_taskResources = step.m_taskResources,
                            .m_estimate = step.m_estimate,
                            .m_after = {},
                            .m_gang = true,
                            .m_sameRack = false,
                            .m_requiredLabel = {},
                            .m_dataRack = {},
                            .m_maxPerWorker = 0,
                            .m_speculative = false,
                            .m_checkpointing = false,
                            .m_longRunning = false,
                            .m_image = {},
                            .m_tailLatencyTarget = Duration(0),
                            .m_filler = false,
                            .m_maxUnavailable = 0}},
        .m_schedule = plain->m_schedule,
    });
}

// Guards against the members of a gang that wait for each other until they give up (GANG): a superseded run locks the job, and the review of a locked job
// stops no incomplete gang.
TEST_CASE("an incomplete gang is stopped although a superseded run locks its job")
{
    const bool superseded = GENERATE(false, true);
    CAPTURE(superseded);
    Sim sim;
    sim.configure(1, {"queue"});
    auto job = newJobState(gangJob(), 4, Sim::at(0));
    job = applyRunEnd(job, Sim::ended(jobId, 1, 1, RunEndKind::LeaseExpired), "w0", Sim::at(0)).m_job;
    sim.becomeOwner({Sim::worker("w0", Duration(60'000)), Sim::worker("w1"), Sim::worker("w2")},
                    {job},
                    {RosterEntry{.m_worker = Sim::worker("w0", Duration(60'000)), .m_jobsIfCordoned = std::vector<std::string>()}, listed("w1"), listed("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.answer("w2", std::nullopt, {}, Sim::at(5));
    reviewAndPlace(sim, 20);
    REQUIRE(sim.m_startOrders.size() == 2);
    sim.acceptStart(jobId, Sim::at(30), 0);
    sim.acceptStart(jobId, Sim::at(30), 1);
    if (superseded) {
        sim.answer("w0", Sim::running(jobId, 1), {}, Sim::at(50));
        REQUIRE(sim.stopCount("w0", Sim::reference(jobId), 1) == 1);
    }
    const auto first = sim.m_startOrders.at(0);
    const auto second = sim.m_startOrders.at(1);
    const RunEnd end{.m_number = 1, .m_task = second.m_task, .m_runNumber = second.m_runNumber, .m_kind = RunEndKind::Failed, .m_checkpoint = {}};
    sim.answer(second.m_worker, std::nullopt, {end}, Sim::at(60));
    sim.review(Sim::at(110));
    CHECK(sim.stopCount(first.m_worker, first.m_task, first.m_runNumber) == 1);
}

// Answers a poll with other times than OwnerSimulation::answer(): it was sent at @p sentMs, answered at @p listedMs and arrives at @p nowMs.
static void
answerLate(Sim &sim, const std::string &name, std::vector<RunningTask> running, std::vector<RunEnd> ended, bool immediate, int sentMs, int listedMs, int nowMs)
{
    const auto incarnation = *sim.m_state.m_workers.at(name).m_incarnation;
    sim.apply(PollCompleted{.m_incarnation = incarnation,
                            .m_fence = Sim::fence,
                            .m_sentAt = Sim::at(sentMs),
                            .m_leaseRenewed = true,
                            .m_immediate = immediate,
                            .m_reply = RunReportReply{.m_answer = OrderAnswer::Accepted,
                                                      .m_runReport = WorkerRunReport{.m_startedAtMs = incarnation.m_startedAtMs,
                                                                                     .m_clockMs = listedMs,
                                                                                     .m_running = std::move(running),
                                                                                     .m_ends = std::move(ended)}}},
              Sim::at(nowMs));
}

// Guards against a task that waits for a run whose end is known, and a false warning (run_vanished): the answers of the long poll and of the immediate
// one overtake each other, so that a list from before the end arrives after it. Only the worker's clock in the two lists tells their order.
TEST_CASE("a list from before the end of a run does not revive the run")
{
    const bool placedBetween = GENERATE(false, true);
    CAPTURE(placedBetween);
    Sim sim;
    startOnMachine(sim);
    answerLate(sim, "w1", {}, {Sim::ended(jobId, 1, 1, RunEndKind::Stopped)}, false, 100, 300, 305);
    if (placedBetween) {
        reviewAndPlace(sim, 310);
        REQUIRE(sim.task(jobId)->m_runNumber == 2);
        sim.acceptStart(jobId, Sim::at(315));
    }
    answerLate(sim, "w1", {Sim::running(jobId, 1)}, {}, true, 200, 210, 320);
    if (placedBetween) {
        CHECK(sim.task(jobId)->m_phase == TaskPhase::Running);
        CHECK(sim.task(jobId)->m_runNumber == 2);
    } else {
        CHECK(sim.workerOf(jobId).empty());
    }
}

// Guards against two runs of one task by two owners: a former owner goes on for half a task lease, and its successor may have adopted the run of a worker
// that the former owner cannot reach. It must not place a task again because of silence.
TEST_CASE("a former owner does not take a silent worker for replaced by a later one on its machine")
{
    Sim sim;
    startOnMachine(sim);
    sim.apply(WorkerReported{.m_report = onMachine("w9", 2'000)}, Sim::at(100));
    sim.answer("w9", std::nullopt, {}, Sim::at(110));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(120));
    updateAuthority(sim.m_state, Sim::at(500), Sim::at(510));
    REQUIRE_FALSE(sim.m_state.m_soleOwner);
    sim.answer("w9", std::nullopt, {}, Sim::at(520));
    sim.missPoll("w1", Sim::at(530));
    sim.missPoll("w1", Sim::at(790));
    sim.answer("w2", std::nullopt, {}, Sim::at(800));
    reviewAndPlace(sim, 810);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against a task that runs again after it is done (fleet simulation, seed 301058): the worker answers a long poll of the former owner after the
// next owner has acknowledged the end of the run, so that the list shows neither the run nor its end.
TEST_CASE("a former owner does not start a task again because a list lacks its run")
{
    const bool leaseHolds = GENERATE(true, false);
    CAPTURE(leaseHolds);
    Sim sim;
    startOnMachine(sim);
    updateAuthority(sim.m_state, Sim::at(leaseHolds ? 10'000 : 500), Sim::at(510));
    REQUIRE(sim.m_state.m_soleOwner == leaseHolds);
    sim.answer("w2", std::nullopt, {}, Sim::at(590));
    answerLate(sim, "w1", {}, {}, false, 70, 600, 600);
    reviewAndPlace(sim, 610);
    CHECK(sim.m_startOrders.size() == (leaseHolds ? 2 : 1));
}

// Guards against two runs of one task (fleet simulation, seed 300888): a cut refuses two connections at once, 300 ms after the last answer. The worker,
// which goes on, and a later one on its machine both run; every lease holds for seconds.
TEST_CASE("two polls that are refused at once do not end a worker beside a later one on its machine")
{
    Sim sim;
    startOnMachine(sim);
    sim.apply(WorkerReported{.m_report = onMachine("w9", 2'000)}, Sim::at(100));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(500));
    sim.answer("w9", std::nullopt, {}, Sim::at(510));
    sim.missPoll("w1", Sim::at(511));
    sim.missPoll("w1", Sim::at(790));
    sim.answer("w2", std::nullopt, {}, Sim::at(795));
    reviewAndPlace(sim, 800);
    CHECK(sim.workerOf(jobId) == "w1");
    CHECK(sim.m_startOrders.size() == 1);
}

// Guards against a second start without a warning: the end of a long-running task as done does not end the task, which starts again, so it does not show
// that the runs of the former owner are over.
TEST_CASE("the start of a long-running task is logged with a run that may go on although another run has ended as done")
{
    const bool ends = GENERATE(false, true);
    CAPTURE(ends);
    constexpr int leasesOverMs = 4'000;
    const LogCapture log(LogLevel::Warn);
    Sim sim;
    sim.configure(1, {"queue"});
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4), true);
    const auto drains = Sim::worker("w2", Duration(60'000));
    sim.becomeOwner({Sim::worker("w1"), drains},
                    {newJobState(spec, 4, Sim::at(0))},
                    {listed("w1"), RosterEntry{.m_worker = drains, .m_jobsIfCordoned = std::vector<std::string>{jobId}}});
    for (int nowMs = 100; nowMs < leasesOverMs; nowMs += 400) {
        sim.missPoll("w1", Sim::at(nowMs));
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        reviewAndPlace(sim, nowMs);
    }
    REQUIRE(sim.m_startOrders.empty());
    if (ends) {
        sim.answer("w2", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Done)}, Sim::at(leasesOverMs));
    }
    sim.apply(WorkerReported{.m_report = Sim::worker("w3")}, Sim::at(leasesOverMs));
    sim.answer("w3", std::nullopt, {}, Sim::at(leasesOverMs));
    reviewAndPlace(sim, leasesOverMs);
    REQUIRE(sim.workerOf(jobId) == "w3");
    CHECK(log.lines("task_placed_again").size() == 1);
}

// Guards against a worker that is never used again: its clock is set back, and it restarts. Its entry and its answers agree on the new start, which is
// earlier than the one that the owner knows.
TEST_CASE("a worker that restarts with its clock set back is used again")
{
    Sim sim;
    startOnMachine(sim);
    sim.missPoll("w1", Sim::at(100));
    sim.apply(WorkerReported{.m_report = onMachine("w1", 900)}, Sim::at(200));
    for (int nowMs = 300; nowMs < 60'000; nowMs += 500) {
        const auto startedAtMs = std::int64_t(900);
        if (sim.m_state.m_workers.at("w1").m_incarnation->m_startedAtMs == startedAtMs) {
            sim.answer("w1", std::nullopt, {}, Sim::at(nowMs));
        } else {
            sim.answerWithStart("w1", startedAtMs, {}, Sim::at(nowMs));
        }
        if (nowMs % 5'000 == 300) {
            sim.apply(WorkerReported{.m_report = onMachine("w1", startedAtMs)}, Sim::at(nowMs));
        }
        sim.answer("w2", std::nullopt, {}, Sim::at(nowMs));
        sim.review(Sim::at(nowMs));
    }
    CHECK(isUsable(sim.m_state, sim.m_state.m_workers.at("w1"), Sim::at(60'000)));
}

static StopOrderCompleted stopAnswered(const Sim &sim, const std::string &worker, std::int64_t runNumber, OrderAnswer answer)
{
    return StopOrderCompleted{.m_task = Sim::reference(jobId),
                              .m_runNumber = runNumber,
                              .m_incarnation = *sim.m_state.m_workers.at(worker).m_incarnation,
                              .m_fence = Sim::fence,
                              .m_reply = OrderReply{.m_answer = answer, .m_workerClockMs = std::nullopt}};
}

// Guards against two runs of one task, and a job that stays locked: a listed run is superseded by one with the same number elsewhere, which ends before the
// stop of the first one is answered. The first run is then the only one, until its stop takes effect.
TEST_CASE("a superseded run becomes the present one again if the other run ends before its stop")
{
    const bool stopLost = GENERATE(false, true);
    CAPTURE(stopLost);
    Sim sim;
    sim.configure(1, {"queue"});
    const auto drains = Sim::worker("w0", Duration(60'000));
    sim.becomeOwner({drains, Sim::worker("w1")},
                    {newJobState(Sim::job(jobId, "queue", Sim::policy(4)), 4, Sim::at(0))},
                    {RosterEntry{.m_worker = drains, .m_jobsIfCordoned = std::vector<std::string>()}, listed("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    reviewAndPlace(sim, 20);
    REQUIRE(sim.workerOf(jobId) == "w1");
    sim.acceptStart(jobId, Sim::at(30));
    sim.answer("w0", Sim::running(jobId, 1), {}, Sim::at(50));
    REQUIRE(sim.stopCount("w0", Sim::reference(jobId), 1) == 1);
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Stopped)}, Sim::at(60));
    reviewAndPlace(sim, 70);
    REQUIRE(sim.m_startOrders.size() == 1);
    sim.answer("w0", Sim::running(jobId, 1), {}, Sim::at(80));
    sim.answer("w1", std::nullopt, {}, Sim::at(80));
    reviewAndPlace(sim, 90);
    REQUIRE(sim.workerOf(jobId) == "w0");
    REQUIRE(sim.m_startOrders.size() == 1);
    if (stopLost) {
        reviewAndPlace(sim, 1'000);
        CHECK(sim.stopCount("w0", Sim::reference(jobId), 1) == 2);
    }
    sim.apply(stopAnswered(sim, "w0", 1, OrderAnswer::Accepted), Sim::at(1'010));
    reviewAndPlace(sim, 1'020);
    REQUIRE(sim.m_startOrders.size() == 1);
    sim.answer("w0", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Stopped)}, Sim::at(1'100));
    sim.answer("w1", std::nullopt, {}, Sim::at(1'100));
    reviewAndPlace(sim, 1'110);
    CHECK(sim.m_startOrders.size() == 2);
    CHECK(sim.workerOf(jobId) == "w1");
}

// Guards against two runs of one task and a task that waits for ever: the stop of a run is answered twice, and a list that was requested between the two
// answers, which lacks the run, arrives after both.
TEST_CASE("a stop that is answered twice leaves one run of the task")
{
    Sim sim;
    startOnMachine(sim);
    const auto incarnation = *sim.m_state.m_workers.at("w1").m_incarnation;
    orderStop(sim.m_state, incarnation, Sim::reference(jobId), 1, StopReason::Superseded, Sim::at(100));
    orderStop(sim.m_state, incarnation, Sim::reference(jobId), 1, StopReason::Superseded, Sim::at(800));
    sim.apply(stopAnswered(sim, "w1", 1, OrderAnswer::Accepted), Sim::at(810));
    sim.answer("w1", Sim::running(jobId, 1), {}, Sim::at(815));
    sim.apply(stopAnswered(sim, "w1", 1, OrderAnswer::Accepted), Sim::at(900));
    answerLate(sim, "w1", {}, {}, true, 820, 830, 905);
    reviewAndPlace(sim, 910);
    CHECK(sim.m_startOrders.size() == 1);
    sim.answer("w1", std::nullopt, {}, Sim::at(920));
    sim.answer("w2", std::nullopt, {}, Sim::at(920));
    reviewAndPlace(sim, 930);
    CHECK(sim.m_startOrders.size() == 2);
    CHECK(sim.task(jobId)->m_runNumber == 2);
}

// Guards against a start that is counted twice: the answer to a start arrives after its run has ended and the task is placed again.
TEST_CASE("a late answer to the start of an ended run does not change the next run")
{
    Sim sim;
    startOnMachine(sim);
    const auto first = *sim.m_state.m_workers.at("w1").m_incarnation;
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Stopped)}, Sim::at(100));
    sim.answer("w2", std::nullopt, {}, Sim::at(100));
    reviewAndPlace(sim, 110);
    REQUIRE(sim.task(jobId)->m_runNumber == 2);
    const auto before = sim.task(jobId);
    for (const auto answer : {OrderAnswer::Unanswered, OrderAnswer::Accepted, OrderAnswer::InsufficientCapacity}) {
        sim.apply(StartOrderCompleted{.m_task = Sim::reference(jobId),
                                      .m_runNumber = 1,
                                      .m_checkpoint = {},
                                      .m_incarnation = first,
                                      .m_fence = Sim::fence,
                                      .m_sentAt = Sim::at(20),
                                      .m_reply = OrderReply{.m_answer = answer, .m_workerClockMs = std::nullopt}},
                  Sim::at(200));
        reviewAndPlace(sim, 210);
    }
    CHECK(sim.task(jobId) == before);
    CHECK(sim.m_startOrders.size() == 2);
}

// Guards against a start after a run that is done (TWICE on szsa-clamp, issue 42): a worker drains when it has just listed the end of a run. The successor
// reads a roster whose cordon lacks the job, and no record of the end, because the store has refused it or had not got it yet.
TEST_CASE("a successor holds back a job whose end its predecessor had not recorded when it cordoned the worker")
{
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    Sim sim;
    startOnMachine(sim);
    sim.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Done)}, Sim::at(100));
    REQUIRE(sim.jobState(jobId)->m_outcome == JobOutcome::Complete);
    sim.apply(WorkerReported{.m_report = onMachine("w1", 1'000, Duration(5'000))}, Sim::at(110));
    sim.review(Sim::at(160));
    const auto roster = std::find_if(sim.m_records.rbegin(), sim.m_records.rend(), [](const auto &record) { return !record.m_job; });
    REQUIRE(roster != sim.m_records.rend());
    const auto entries = decodeRoster(roster->m_value).value().m_workers;

    Sim successor;
    successor.configure(1, {"queue"});
    successor.becomeOwner({onMachine("w1", 1'000, Duration(5'000)), Sim::worker("w2")}, {newJobState(spec, 4, Sim::at(0))}, entries);
    successor.answer("w2", std::nullopt, {}, Sim::at(10));
    reviewAndPlace(successor, 20);
    CHECK(successor.m_startOrders.empty());
    successor.answer("w1", std::nullopt, {Sim::ended(jobId, 1, 1, RunEndKind::Done)}, Sim::at(30));
    reviewAndPlace(successor, 40);
    CHECK(successor.m_startOrders.empty());
    CHECK(successor.jobState(jobId)->m_outcome == JobOutcome::Complete);
}

} // namespace PrimroseBridge
