#include "primrosebridge/Runtime/reports.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

static const WorkerId worker = WorkerId::create("w1").value();

static Job makeJob(JobPhase phase, MemberState state, std::int64_t heldAt)
{
    const JobClass jobClass{
        .m_id = JobClassId::create("scan").value(),
        .m_tier = Tier::Batch,
        .m_shape = Shape{.m_accelerators = 1, .m_adjacency = Adjacency::SameWorker, .m_cores = 1, .m_memoryMb = 64},
        .m_idempotent = false,
        .m_durable = true,
        .m_checkpointable = false,
        .m_restartable = false,
        .m_expectedRunTime = Duration(100),
        .m_maxRunTime = Duration(1000),
        .m_maxAttempts = 1,
    };
    const Request request{
        .m_key = RequestKey::create("pallet-3").value(),
        .m_organisation = OrganisationId::create("bakery").value(),
        .m_jobClass = jobClass.m_id,
        .m_zone = ZoneId::create("deventer").value(),
        .m_payload = {},
        .m_declaredRunTime = Duration(100),
        .m_submittedAt = fromMilliseconds(0),
    };
    const MemberStatus member{
        .m_member = GangMember{.m_worker = worker, .m_accelerators = 1, .m_cores = 1, .m_memoryMb = 64},
        .m_incarnation = "a",
        .m_state = state,
        .m_heldAt = heldAt,
        .m_result = {},
    };
    const Job fresh = newJob(request, jobClass);
    return Job{
        .m_request = request,
        .m_jobClass = jobClass,
        .m_phase = phase,
        .m_stopCause = StopCause::None,
        .m_fence = 7,
        .m_attempt = 1,
        .m_failures = 0,
        .m_members = {member},
        .m_startedAt = std::nullopt,
        .m_cancelRequested = false,
        .m_hasCheckpoint = false,
        .m_recorded = true,
        .m_outcome = fresh.m_outcome,
    };
}

static JobTable tableOf(const Job &job)
{
    return {{job.m_request.m_key, std::make_shared<const Job>(job)}};
}

static WorkerAnswer answerWith(std::int64_t sequence, const std::string &incarnation)
{
    return WorkerAnswer{
        .m_worker = worker,
        .m_authority = Authority{.m_fence = 7, .m_sequence = sequence},
        .m_delivered = true,
        .m_accepted = true,
        .m_currentFence = 7,
        .m_incarnation = incarnation,
        .m_leaving = false,
    };
}

static PollAnswer pollWith(std::int64_t sequence, const std::string &incarnation, const std::vector<ReportedTask> &tasks = {})
{
    return PollAnswer{.m_answer = answerWith(sequence, incarnation), .m_version = 1, .m_tasks = tasks, .m_taken = {}, .m_usable = 0xff};
}

// After a takeover, a worker that kept its books and does not know the task proves that it never ran.
TEST_CASE("a task that is absent after a takeover never started, unless the worker has restarted")
{
    const auto job = makeJob(JobPhase::Recovering, MemberState::NotKnown, 0);
    const auto kept = concludePoll(tableOf(job), pollWith(1, "a"));
    REQUIRE(kept.m_events.size() == 1);
    CHECK(kept.m_events.front().m_event.m_state == MemberState::NeverStarted);
    const auto restarted = concludePoll(tableOf(job), pollWith(1, "b"));
    REQUIRE(restarted.m_events.size() == 1);
    CHECK(restarted.m_events.front().m_event.m_state == MemberState::Lost);
}

// A poll that crosses a hold on the way must not make the job be placed twice.
TEST_CASE("absence says nothing while the hold has not been answered")
{
    const auto job = makeJob(JobPhase::Holding, MemberState::NotKnown, 0);
    CHECK(concludePoll(tableOf(job), pollWith(4, "a")).m_events.empty());
}

// A start that is repeated to a restarted worker is refused, which does not prove that the first one did not run.
TEST_CASE("an unknown task is lost if its worker has restarted and never started if it has not")
{
    const auto job = makeJob(JobPhase::Starting, MemberState::Held, 2);
    const auto answerFor = [&job](const std::string &incarnation) {
        return ExecuteAnswer{
            .m_answer = answerWith(5, incarnation),
            .m_commands = {WorkerCommand{.m_kind = CommandKind::Start, .m_task = taskIdOf(job, 0)}},
            .m_codes = {CommandCode::UnknownTask},
        };
    };
    CHECK(concludeExecute(tableOf(job), answerFor("a")).front().m_event.m_state == MemberState::NeverStarted);
    CHECK(concludeExecute(tableOf(job), answerFor("b")).front().m_event.m_state == MemberState::Lost);
}

// A late report of an earlier attempt must neither answer the request nor keep its worker occupied.
TEST_CASE("a live task of an earlier attempt is stopped and a settled one forgotten")
{
    const auto job = makeJob(JobPhase::Running, MemberState::Running, 2);
    const auto reportOf = [&job](TaskStatus state) {
        const TaskId old{.m_key = job.m_request.m_key, .m_fence = 5, .m_attempt = 1, .m_member = 0};
        return ReportedTask{
            .m_report = TaskReport{old, state, true, Duration(1), 1, "old", 3, taskResultDigest(old, "old")},
            .m_accelerators = 1,
            .m_cores = 1,
            .m_memoryMb = 64,
        };
    };
    const auto live = concludePoll(tableOf(job), pollWith(1, "a", {reportOf(TaskStatus::Running)}));
    CHECK(live.m_stop.size() == 1);
    CHECK(live.m_dropped == std::vector<AnswerCheck>{AnswerCheck::OtherAttempt});
    const auto settled = concludePoll(tableOf(job), pollWith(1, "a", {reportOf(TaskStatus::Done)}));
    CHECK(settled.m_taken.size() == 1);
    CHECK(settled.m_stop.empty());
}

TEST_CASE("tasks without a job are orphans and a silent worker's members are lost")
{
    const auto job = makeJob(JobPhase::Running, MemberState::Running, 2);
    const TaskId other{.m_key = RequestKey::create("glaze-1").value(), .m_fence = 5, .m_attempt = 1, .m_member = 0};
    const ReportedTask task{
        .m_report = TaskReport{other, TaskStatus::Running, true, Duration(1), 1, "", 0, 0},
        .m_accelerators = 1,
        .m_cores = 1,
        .m_memoryMb = 64,
    };
    CHECK(concludePoll(tableOf(job), pollWith(1, "a", {task})).m_orphans.size() == 1);
    const auto lost = concludeLost(tableOf(job), worker);
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().m_event.m_state == MemberState::Lost);
}
