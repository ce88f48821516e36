#include "primrosebridge/Records/lifecycle.h"
#include "primrosebridge/Records/answer.h"
#include "primrosebridge/Records/codec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace PrimroseBridge;

static const Instant start = fromMilliseconds(1000);

static JobClass makeClass(bool idempotent, bool checkpointable = false)
{
    return JobClass{
        .m_id = JobClassId::create("profile").value(),
        .m_tier = Tier::Standard,
        .m_shape = Shape{.m_accelerators = 8, .m_adjacency = Adjacency::Nearest, .m_cores = 8, .m_memoryMb = 1024},
        .m_idempotent = idempotent,
        .m_durable = true,
        .m_checkpointable = checkpointable,
        .m_restartable = idempotent,
        .m_expectedRunTime = Duration(1000),
        .m_maxRunTime = Duration(10000),
        .m_maxAttempts = 2,
    };
}

static Request makeRequest()
{
    return Request{
        .m_key = RequestKey::create("clamp-7").value(),
        .m_organisation = OrganisationId::create("lab").value(),
        .m_jobClass = JobClassId::create("profile").value(),
        .m_zone = ZoneId::create("thrace-1").value(),
        .m_payload = "{}",
        .m_declaredRunTime = Duration(500),
        .m_submittedAt = start,
    };
}

static std::vector<MemberStatus> makeMembers(int count)
{
    std::vector<MemberStatus> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index) {
        members.push_back(MemberStatus{
            .m_member = GangMember{.m_worker = WorkerId::create("w" + std::to_string(index)).value(), .m_accelerators = 0xff, .m_cores = 4, .m_memoryMb = 512},
            .m_incarnation = "i1",
            .m_state = MemberState::NotKnown,
            .m_heldAt = 0,
            .m_result = {},
        });
    }
    return members;
}

static JobEvent report(std::size_t index, MemberState state, std::int64_t sequence = 5, const std::string &result = {})
{
    return JobEvent{.m_kind = JobEventKind::MemberReported, .m_index = index, .m_state = state, .m_sequence = sequence, .m_result = result};
}

static Job afterEvents(const Job &job, const std::vector<JobEvent> &events)
{
    auto current = std::make_unique<const Job>(job);
    for (const auto &event : events) {
        current = std::make_unique<const Job>(stepJob(*current, event, start).m_job);
    }
    return *current;
}

static Job heldJob(bool idempotent, int members, bool checkpointable = false)
{
    return afterEvents(newJob(makeRequest(), makeClass(idempotent, checkpointable)),
                       {
                           JobEvent{.m_kind = JobEventKind::Accepted},
                           JobEvent{.m_kind = JobEventKind::Placed, .m_members = makeMembers(members), .m_fence = 3},
                           JobEvent{.m_kind = JobEventKind::IntentRecorded},
                       });
}

static bool contains(const JobTransition &step, JobAction action)
{
    return std::find(step.m_actions.begin(), step.m_actions.end(), action) != step.m_actions.end();
}

// A command sent before its intent is durable could run twice after a crash.
TEST_CASE("nothing is sent to a worker before the intent is recorded")
{
    const Job queued = afterEvents(newJob(makeRequest(), makeClass(false)), {JobEvent{.m_kind = JobEventKind::Accepted}});
    const auto placed = stepJob(queued, JobEvent{.m_kind = JobEventKind::Placed, .m_members = makeMembers(2), .m_fence = 3}, start);
    CHECK(placed.m_job.m_phase == JobPhase::Intending);
    CHECK(placed.m_actions == std::vector<JobAction>{JobAction::WriteIntent});
    CHECK(stepJob(placed.m_job, JobEvent{.m_kind = JobEventKind::IntentRecorded}, start).m_actions == std::vector<JobAction>{JobAction::SendHold});
}

// A gang that starts with a member missing runs in part.
TEST_CASE("starts are sent only when every member is held")
{
    const Job job = heldJob(true, 3);
    const auto first = stepJob(job, report(0, MemberState::Held), start);
    CHECK(first.m_actions.empty());
    const auto second = stepJob(first.m_job, report(1, MemberState::Held), start);
    CHECK(second.m_actions.empty());
    const auto third = stepJob(second.m_job, report(2, MemberState::Held), start);
    CHECK(third.m_actions == std::vector<JobAction>{JobAction::SendStart});
}

// A refused member must release the others, or they block their workers for nothing.
TEST_CASE("a refused member stops the held ones and the job is placed again without counting a failure")
{
    const Job job = afterEvents(heldJob(false, 2), {report(0, MemberState::Held)});
    const auto refused = stepJob(job, report(1, MemberState::NeverStarted), start);
    CHECK(contains(refused, JobAction::SendStop));
    const auto released = stepJob(refused.m_job, report(0, MemberState::NeverStarted, 6), start);
    CHECK(contains(released, JobAction::Requeue));
    CHECK(released.m_job.m_failures == 0);
}

// Running a billed profile twice bills a client twice.
TEST_CASE("a non-idempotent job whose worker is lost is unknown until the worker answers")
{
    const Job running = afterEvents(heldJob(false, 1), {report(0, MemberState::Running)});
    const auto lost = stepJob(running, report(0, MemberState::Lost), start);
    CHECK(lost.m_job.m_phase == JobPhase::Unknown);
    CHECK(lost.m_job.m_outcome.m_kind == OutcomeKind::Unknown);
    const auto answered = stepJob(lost.m_job, report(0, MemberState::Done, 9, "ph 4.1"), start);
    CHECK(answered.m_job.m_outcome.m_kind == OutcomeKind::Done);
    CHECK(answered.m_job.m_outcome.m_result == "ph 4.1");
}

// A worker that thaws after its lease may take a delayed hold; left alone, its accelerators would stay held for ever.
TEST_CASE("a lost member that turns out to be held is started if its job is still wanted and stopped if not")
{
    const Job unknown = afterEvents(heldJob(false, 1), {report(0, MemberState::Lost)});
    REQUIRE(unknown.m_phase == JobPhase::Unknown);
    const auto held = stepJob(unknown, report(0, MemberState::Held, 9), start);
    CHECK(held.m_actions == std::vector<JobAction>{JobAction::SendStart});
    const Job gang = afterEvents(heldJob(false, 2), {report(0, MemberState::Lost), report(1, MemberState::Lost)});
    const auto half = stepJob(gang, report(0, MemberState::Held, 9), start);
    CHECK(half.m_actions == std::vector<JobAction>{JobAction::SendStop});
    CHECK(half.m_job.m_phase == JobPhase::Stopping);
}

// A poll sampled before the hold must not be taken for the worker having forgotten it.
TEST_CASE("an old report of absence says nothing about a later hold")
{
    const Job held = afterEvents(heldJob(false, 2), {report(0, MemberState::Held, 8)});
    CHECK(stepJob(held, report(0, MemberState::NeverStarted, 7), start).m_job == held);
}

// A worker that restarted has forgotten what it ran; absence is then no proof that it did not run.
TEST_CASE("a running task that its worker forgot is lost, not never started")
{
    const Job running = afterEvents(heldJob(false, 1), {report(0, MemberState::Running, 8)});
    CHECK(stepJob(running, report(0, MemberState::NeverStarted, 9), start).m_job.m_phase == JobPhase::Unknown);
}

// A new owner must not start a second copy of what still runs.
TEST_CASE("a recovered gang continues if all members live and is placed again if none ever started")
{
    const Job recorded = decodeJob(encodeJob(heldJob(false, 2))).value();
    const Job recovered = recoveredJob(recorded);
    CHECK(recovered.m_phase == JobPhase::Recovering);
    const auto adopted = stepJob(stepJob(recovered, report(0, MemberState::Running), start).m_job, report(1, MemberState::Held), start);
    CHECK(adopted.m_actions == std::vector<JobAction>{JobAction::SendStart});
    const auto absent = stepJob(stepJob(recovered, report(0, MemberState::NeverStarted), start).m_job, report(1, MemberState::NeverStarted), start);
    CHECK(contains(absent, JobAction::Requeue));
    const auto partial = stepJob(stepJob(recovered, report(0, MemberState::Held), start).m_job, report(1, MemberState::NeverStarted), start);
    CHECK(contains(partial, JobAction::SendStop));
}

TEST_CASE("an idempotent job is tried again until its class's limit")
{
    const Job failed = afterEvents(heldJob(true, 1), {report(0, MemberState::Running), report(0, MemberState::Failed)});
    CHECK(failed.m_phase == JobPhase::Queued);
    const Job again = afterEvents(failed,
                                  {
                                      JobEvent{.m_kind = JobEventKind::Placed, .m_members = makeMembers(1), .m_fence = 3},
                                      JobEvent{.m_kind = JobEventKind::IntentRecorded},
                                      report(0, MemberState::Failed),
                                  });
    CHECK(again.m_phase == JobPhase::Finished);
    CHECK(again.m_outcome.m_kind == OutcomeKind::Failed);
}

// Guards against telling callers that a request has failed or was cancelled while a successor, which has the record, runs it.
TEST_CASE("an outcome that no worker proves is published only once it is recorded")
{
    const Job queued = afterEvents(newJob(makeRequest(), makeClass(false)), {JobEvent{.m_kind = JobEventKind::Accepted}});
    const auto cancelled = stepJob(queued, JobEvent{.m_kind = JobEventKind::Cancel}, start);
    CHECK(cancelled.m_actions == std::vector<JobAction>{JobAction::WriteOutcome});
    const auto recorded = stepJob(cancelled.m_job, JobEvent{.m_kind = JobEventKind::OutcomeRecorded}, start);
    CHECK(recorded.m_actions == std::vector<JobAction>{JobAction::PublishOutcome});

    // The first attempt is lost with its worker, and so is the second and last one, but a successor may have reached the worker.
    const std::vector<JobEvent> attempt = {
        JobEvent{.m_kind = JobEventKind::Placed, .m_members = makeMembers(1), .m_fence = 3},
        JobEvent{.m_kind = JobEventKind::IntentRecorded},
        report(0, MemberState::Running),
    };
    const Job again = afterEvents(afterEvents(heldJob(true, 1), {report(0, MemberState::Running), report(0, MemberState::Lost)}), attempt);
    const auto lost = stepJob(again, report(0, MemberState::Lost), start);
    REQUIRE(lost.m_job.m_outcome.m_kind == OutcomeKind::Failed);
    CHECK(lost.m_actions == std::vector<JobAction>{JobAction::WriteOutcome});

    const auto done = stepJob(again, report(0, MemberState::Done), start);
    CHECK(done.m_actions == std::vector<JobAction>{JobAction::PublishOutcome, JobAction::WriteOutcome});
    CHECK(stepJob(done.m_job, JobEvent{.m_kind = JobEventKind::OutcomeRecorded}, start).m_actions.empty());
}

TEST_CASE("a checkpointed job waits again and resumes")
{
    const Job running = afterEvents(heldJob(false, 2, true), {report(0, MemberState::Running), report(1, MemberState::Running)});
    const auto released = stepJob(running, JobEvent{.m_kind = JobEventKind::Release, .m_checkpoint = true}, start);
    CHECK(released.m_actions == std::vector<JobAction>{JobAction::SendCheckpoint});
    const Job waiting = afterEvents(released.m_job, {report(0, MemberState::Checkpointed), report(1, MemberState::Checkpointed)});
    CHECK(waiting.m_phase == JobPhase::Queued);
    CHECK(waiting.m_hasCheckpoint);
}

static TaskReport doneReport(const Job &job, const std::string &result)
{
    const TaskId task = taskIdOf(job, 0);
    return TaskReport{
        .m_task = task,
        .m_state = TaskStatus::Done,
        .m_everStarted = true,
        .m_runTime = Duration(5),
        .m_usedMemoryMb = 1,
        .m_result = result,
        .m_resultLength = result.size(),
        .m_resultDigest = taskResultDigest(task, result),
    };
}

// A caller must never get part of an answer or the answer to another request.
TEST_CASE("truncated, damaged, late and crossed answers are told from whole ones")
{
    const Job job = heldJob(true, 1);
    const auto whole = doneReport(job, "crack at 12 mm");
    CHECK(checkAnswer(job, whole) == AnswerCheck::Whole);
    const TaskReport truncated{whole.m_task, whole.m_state, true, whole.m_runTime, 1, "crack at", whole.m_resultLength, whole.m_resultDigest};
    CHECK(checkAnswer(job, truncated) == AnswerCheck::Truncated);
    const TaskReport crossed{whole.m_task, whole.m_state, true, whole.m_runTime, 1, "crack at 99 mm", whole.m_resultLength, whole.m_resultDigest};
    CHECK(checkAnswer(job, crossed) == AnswerCheck::Damaged);
    const TaskId late{job.m_request.m_key, job.m_fence, job.m_attempt + 1, 0};
    CHECK(checkAnswer(job, TaskReport{late, TaskStatus::Running, true, Duration(0), 0, "", 0, 0}) == AnswerCheck::OtherAttempt);
    const TaskId other{RequestKey::create("other").value(), job.m_fence, job.m_attempt, 0};
    CHECK(checkAnswer(job, TaskReport{other, TaskStatus::Running, true, Duration(0), 0, "", 0, 0}) == AnswerCheck::OtherRequest);
}

TEST_CASE("records survive a round trip and damaged ones are refused")
{
    const Job job = heldJob(false, 2);
    const Job decoded = decodeJob(encodeJob(job)).value();
    CHECK(decoded.m_request == job.m_request);
    CHECK(decoded.m_jobClass == job.m_jobClass);
    CHECK(decoded.m_members.size() == 2);
    CHECK(decoded.m_fence == 3);
    CHECK_FALSE(decodeJob("{\"request\":3}").ok());
    CHECK_FALSE(decodeJob("").ok());
    CHECK_FALSE(decodeRequestEntry("[]").ok());
}

static JobEvent randomEvent()
{
    const auto kind = *rc::gen::element(JobEventKind::Accepted,
                                        JobEventKind::Placed,
                                        JobEventKind::IntentRecorded,
                                        JobEventKind::MemberReported,
                                        JobEventKind::MemberReported,
                                        JobEventKind::MemberReported,
                                        JobEventKind::Cancel,
                                        JobEventKind::Release,
                                        JobEventKind::Overtime);
    const auto state = *rc::gen::element(MemberState::Held,
                                         MemberState::Running,
                                         MemberState::Checkpointed,
                                         MemberState::Done,
                                         MemberState::Failed,
                                         MemberState::Stopped,
                                         MemberState::NeverStarted,
                                         MemberState::Lost);
    return JobEvent{
        .m_kind = kind,
        .m_members = kind == JobEventKind::Placed ? makeMembers(2) : std::vector<MemberStatus>{},
        .m_fence = 3,
        .m_index = *rc::gen::inRange<std::size_t>(0, 2),
        .m_state = state,
        .m_sequence = *rc::gen::inRange<std::int64_t>(1, 20),
        .m_result = {},
        .m_checkpoint = *rc::gen::arbitrary<bool>(),
    };
}

// Whatever order reports arrive in, a non-idempotent job that may have started is never placed again.
TEST_CASE("random event orders never requeue a non-idempotent job that may have run")
{
    const bool holds = rc::check("non-idempotent jobs start at most once", [] {
        auto job = std::make_unique<const Job>(newJob(makeRequest(), makeClass(false, true)));
        const int steps = *rc::gen::inRange(1, 40);
        for (int index = 0; index < steps; ++index) {
            const auto step = stepJob(*job, randomEvent(), start);
            const bool requeued = contains(step, JobAction::Requeue) && job->m_attempt > 0;
            if (requeued && !step.m_job.m_hasCheckpoint) {
                // The event that settled the last member is not in the old value, so at most one member may look unsettled there.
                const auto mayHaveRun = std::count_if(
                    job->m_members.begin(), job->m_members.end(), [](const MemberStatus &member) { return member.m_state != MemberState::NeverStarted; });
                RC_ASSERT(mayHaveRun <= 1);
            }
            if (contains(step, JobAction::SendStart)) {
                for (const auto &member : step.m_job.m_members) {
                    const bool live = member.m_state == MemberState::Held || member.m_state == MemberState::Running || member.m_state == MemberState::Done;
                    RC_ASSERT(live);
                }
            }
            job = std::make_unique<const Job>(step.m_job);
        }
    });
    CHECK(holds);
}
