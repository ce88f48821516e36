#include "primrosebridge/Progress/jobrecord.h"
#include "primrosebridge/Progress/jobstate.h"

#include <catch2/catch.hpp>

#include <random>

namespace PrimroseBridge {

static const Instant start = fromMilliseconds(10'000);

static JobStep stepOf(int tasks, bool gang, std::vector<int> after = {})
{
    return JobStep{.m_taskCount = tasks,
                   .m_taskResources = Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 1},
                   .m_estimate = Duration(1000),
                   .m_after = std::move(after),
                   .m_gang = gang,
                   .m_sameRack = gang,
                   .m_requiredLabel = "a",
                   .m_dataRack = "r1",
                   .m_maxPerWorker = 2,
                   .m_speculative = false,
                   .m_checkpointing = true,
                   .m_longRunning = false,
                   .m_image = "image",
                   .m_tailLatencyTarget = Duration(5),
                   .m_filler = true,
                   .m_maxUnavailable = 1};
}

static JobSpecPointer specOf(std::vector<JobStep> steps, std::int64_t occurrences = 0)
{
    return std::make_shared<const JobSpec>(JobSpec{
        .m_id = "job",
        .m_queue = "queue",
        .m_acceptedPolicy = QueuePolicy{.m_workerPool = "pool",
                                        .m_priority = 1,
                                        .m_maxAttempts = 4,
                                        .m_slackFactor = 1.5,
                                        .m_latencyGoal = Duration(300),
                                        .m_needsPlacementAdvice = false},
        .m_organisation = "org",
        .m_acceptedAt = fromMilliseconds(5),
        .m_payload = "payload \"quoted\"",
        .m_steps = std::move(steps),
        .m_schedule = JobSchedule{.m_count = occurrences, .m_firstDue = fromMilliseconds(100), .m_interval = Duration(50)},
    });
}

static TaskReference task(int step, int index, std::int64_t occurrence = 0)
{
    return TaskReference{.m_job = "job", .m_occurrence = occurrence, .m_step = step, .m_index = index};
}

static JobPointer runningOn(const JobPointer &job, const TaskReference &reference, const std::string &worker, std::int64_t runNumber)
{
    const auto assignedWorker = std::make_shared<const WorkerIncarnation>(WorkerIncarnation{.m_worker = worker, .m_startedAtMs = 1});
    return withTask(
        *job, reference, taskInPhase(*startingTask(*findTask(*job, reference), assignedWorker, runNumber, start), TaskPhase::Running, false, start));
}

static RunEnd endOf(const TaskReference &reference, std::int64_t runNumber, RunEndKind kind, std::string checkpoint = {})
{
    return RunEnd{.m_number = 1, .m_task = reference, .m_runNumber = runNumber, .m_kind = kind, .m_checkpoint = std::move(checkpoint)};
}

// Guards against running a gang again because only one of its members has reported the completion.
TEST_CASE("the completion of one gang member completes the whole gang")
{
    auto job = newJobState(specOf({stepOf(3, true)}), 2, start);
    for (int index = 0; index < 3; ++index) {
        job = runningOn(job, task(0, index), "w" + std::to_string(index), 1);
    }
    const auto effect = applyRunEnd(job, endOf(task(0, 1), 1, RunEndKind::Done), "w1", start);
    CHECK(effect.m_mustRecord);
    CHECK(effect.m_job->m_outcome == JobOutcome::Complete);
    CHECK(effect.m_job->m_recordedOutcome == JobOutcome::Active);
}

// Guards against counting run ends as failed attempts that the task did not cause, and against exceeding the attempt limit.
TEST_CASE("only failed runs count as attempts")
{
    auto job = newJobState(specOf({stepOf(2, true)}), 2, start);
    for (const auto kind : {RunEndKind::Stopped, RunEndKind::LeaseExpired, RunEndKind::GangMemberEnded, RunEndKind::GangMembersMissing}) {
        job = runningOn(job, task(0, 0), "w", 1);
        const auto effect = applyRunEnd(job, endOf(task(0, 0), 1, kind), "w", start);
        CHECK_FALSE(effect.m_mustRecord);
        CHECK(effect.m_job->m_outcome == JobOutcome::Active);
        CHECK(findTask(*effect.m_job, task(0, 0))->m_phase == TaskPhase::Waiting);
        job = effect.m_job;
    }
    job = applyRunEnd(runningOn(job, task(0, 0), "w", 2), endOf(task(0, 0), 2, RunEndKind::Failed), "w", start).m_job;
    CHECK(job->m_outcome == JobOutcome::Active);
    CHECK(findTask(*job, task(0, 0))->m_failedWorkers == std::vector<std::string>{"w"});
    // The failed runs of all members count for the gang.
    job = applyRunEnd(runningOn(job, task(0, 1), "w", 3), endOf(task(0, 1), 3, RunEndKind::Failed), "w", start).m_job;
    CHECK(job->m_outcome == JobOutcome::Failed);
}

// Guards against a job that fails too early: a worker reports to a new owner a run end that the previous owner has already recorded,
// or two members of a gang fail in the same run.
TEST_CASE("a failed run counts once")
{
    auto job = newJobState(specOf({stepOf(2, true)}), 2, start);
    job = runningOn(runningOn(job, task(0, 0), "v", 1), task(0, 1), "w", 1);
    job = applyRunEnd(job, endOf(task(0, 0), 1, RunEndKind::Failed), "v", start).m_job;
    job = applyRunEnd(job, endOf(task(0, 1), 1, RunEndKind::Failed), "w", start).m_job;
    CHECK(job->m_outcome == JobOutcome::Active);
    const auto restored = restoreJob(job->m_spec, 2, encodeProgress(*job), start).value();
    const auto again = applyRunEnd(restored, endOf(task(0, 0), 1, RunEndKind::Failed), "v", start);
    CHECK_FALSE(again.m_mustRecord);
    CHECK(again.m_job->m_outcome == JobOutcome::Active);
    CHECK(applyRunEnd(again.m_job, endOf(task(0, 0), 2, RunEndKind::Failed), "v", start).m_job->m_outcome == JobOutcome::Failed);
}

// Guards against the end of an earlier run that clears the worker assignment of the current run.
TEST_CASE("the end of an earlier run does not affect the current run")
{
    auto job = newJobState(specOf({stepOf(1, false)}), 3, start);
    job = runningOn(job, task(0, 0), "second", 2);
    const auto effect = applyRunEnd(job, endOf(task(0, 0), 1, RunEndKind::LeaseExpired, "saved"), "first", start);
    const auto after = findTask(*effect.m_job, task(0, 0));
    CHECK(after->m_phase == TaskPhase::Running);
    CHECK(after->m_assignedWorker->m_worker == "second");
    CHECK(after->m_checkpoint == "saved");
}

// Guards against a present run that is taken for an earlier one, and against a number that is used twice, also by the next owner: a worker reports
// the end of a predecessor's run that has a higher number than the present run.
TEST_CASE("the end of another run with a higher number does not renumber the current run")
{
    for (const auto kind : {RunEndKind::Failed, RunEndKind::Stopped}) {
        auto job = runningOn(newJobState(specOf({stepOf(2, false)}), 3, start), task(0, 0), "second", 1);
        job = applyRunEnd(job, endOf(task(0, 0), 2, kind), "first", start).m_job;
        CHECK(findTask(*job, task(0, 0))->m_runNumber == 1);
        CHECK(findTask(*job, task(0, 0))->m_phase == TaskPhase::Running);
        CHECK(findTask(*restoreJob(job->m_spec, 3, encodeProgress(*job), start).value(), task(0, 0))->m_runNumber == 2);
        job = applyRunEnd(job, endOf(task(0, 0), 1, RunEndKind::Stopped), "second", start).m_job;
        CHECK(findTask(*job, task(0, 0))->m_phase == TaskPhase::Waiting);
        CHECK(findTask(*job, task(0, 0))->m_runNumber == 2);
        CHECK(waitingTask(*findTask(*job, task(0, 0)), start)->m_runNumber == 2);
    }
}

// Guards against a step that starts before all tasks of a step that it depends on are done.
TEST_CASE("a step is ready once all tasks of the steps that it depends on are done")
{
    auto job = newJobState(specOf({stepOf(2, false), stepOf(1, false, {0})}), 3, start);
    CHECK_FALSE(isStepReady(*job->m_spec, *job->m_occurrences.front(), 1));
    job = applyRunEnd(runningOn(job, task(0, 0), "w", 1), endOf(task(0, 0), 1, RunEndKind::Done), "w", start).m_job;
    CHECK_FALSE(isStepReady(*job->m_spec, *job->m_occurrences.front(), 1));
    job = applyRunEnd(runningOn(job, task(0, 1), "w", 1), endOf(task(0, 1), 1, RunEndKind::Done), "w", start).m_job;
    CHECK(isStepReady(*job->m_spec, *job->m_occurrences.front(), 1));
}

// Guards against an occurrence that is started early, skipped or never removed.
TEST_CASE("occurrences are added when they are due and removed when they are done")
{
    auto job = newJobState(specOf({stepOf(1, false)}, 3), 3, start);
    CHECK(withDueOccurrences(job, fromMilliseconds(99), start) == job);
    job = withDueOccurrences(job, fromMilliseconds(150), start);
    REQUIRE(job->m_occurrences.size() == 2);
    job = applyRunEnd(runningOn(job, task(0, 0, 0), "w", 1), endOf(task(0, 0, 0), 1, RunEndKind::Done), "w", start).m_job;
    CHECK(job->m_occurrences.size() == 1);
    CHECK(job->m_outcome == JobOutcome::Active);
    job = withDueOccurrences(job, fromMilliseconds(1000), start);
    job = applyRunEnd(runningOn(job, task(0, 0, 1), "w", 1), endOf(task(0, 0, 1), 1, RunEndKind::Done), "w", start).m_job;
    job = applyRunEnd(runningOn(job, task(0, 0, 2), "w", 1), endOf(task(0, 0, 2), 1, RunEndKind::Done), "w", start).m_job;
    CHECK(job->m_outcome == JobOutcome::Complete);
}

static JobPointer withAllStarted(JobPointer job)
{
    const auto occurrences = job->m_occurrences;
    for (const auto &occurrence : occurrences) {
        for (std::size_t step = 0; step < occurrence->m_steps.size(); ++step) {
            const auto reference = task(static_cast<int>(step), 0, occurrence->m_number);
            if (findTask(*job, reference)->m_phase == TaskPhase::Waiting) {
                job = runningOn(job, reference, "worker", 1);
                job = applyRunEnd(
                          job,
                          RunEnd{.m_number = 1, .m_task = reference, .m_runNumber = 1, .m_kind = RunEndKind::Failed, .m_checkpoint = "0123456789abcdef"},
                          "worker",
                          start)
                          .m_job;
                job = runningOn(job, reference, "worker", 2);
            }
        }
    }
    return job;
}

// Guards against an owner whose memory and passes grow with the number of times that a job is due (LOST, review case 9).
TEST_CASE("a job that is due a million times has a bounded number of occurrences")
{
    constexpr std::int64_t times = 1'000'000;
    const auto wallNow = fromMilliseconds(100 + 50 * times);
    auto job = withDueOccurrences(newJobState(specOf({stepOf(1, false)}, times), 3, start), wallNow, start);
    CHECK(job->m_occurrences.size() == OccurrenceLimits::maxUnstarted);
    CHECK(withDueOccurrences(job, wallNow, start) == job);
    std::size_t open = 0;
    while (open < job->m_occurrences.size()) {
        open = job->m_occurrences.size();
        job = withDueOccurrences(withAllStarted(job), wallNow, start);
    }
    CHECK(open == OccurrenceLimits::maxOpen);
    CHECK(encodeProgress(*job).size() < OccurrenceLimits::maxRecordBytes);
    // Each occurrence that ends makes room for another one, in order.
    job = applyRunEnd(job, endOf(task(0, 0, 7), 2, RunEndKind::Done), "worker", start).m_job;
    job = withDueOccurrences(job, wallNow, start);
    CHECK(job->m_occurrences.size() == OccurrenceLimits::maxOpen);
    CHECK(job->m_occurrences.back()->m_number == static_cast<std::int64_t>(OccurrenceLimits::maxOpen));
    CHECK(withOccurrencesUpTo(job, times - 1, start) == job);
}

// Guards against a progress record that outgrows a value of the store (Acks, review case 8).
TEST_CASE("the open occurrences of a job with many steps fit into a record")
{
    constexpr std::int64_t times = 2'190;
    const auto wallNow = fromMilliseconds(100 + 50 * times);
    auto job = newJobState(specOf(std::vector<JobStep>(20, stepOf(1, false)), times), 3, start);
    std::size_t open = 0;
    do {
        open = job->m_occurrences.size();
        job = withDueOccurrences(withAllStarted(job), wallNow, start);
    } while (open < job->m_occurrences.size());
    CHECK(open > 200);
    CHECK(encodeProgress(*job).size() < OccurrenceLimits::maxRecordBytes);
}

// Guards against a record that is refused although it could be shortened: checkpoints are chosen by the tasks.
TEST_CASE("checkpoints are left out of a record that would be too large with them")
{
    auto job = newJobState(specOf({stepOf(1, false)}), 3, start);
    job = runningOn(job, task(0, 0), "w", 3);
    job = applyRunEnd(job,
                      RunEnd{.m_number = 1, .m_task = task(0, 0), .m_runNumber = 3, .m_kind = RunEndKind::Stopped, .m_checkpoint = std::string(5'000, 'c')},
                      "w",
                      start)
              .m_job;
    CHECK(encodeProgress(*job).size() > 5'000);
    const auto text = encodeProgress(*job, 4'000);
    CHECK(text.size() < 1'000);
    const auto restored = findTask(*restoreJob(job->m_spec, 3, text, start).value(), task(0, 0));
    CHECK(restored->m_highestRunNumber == 3);
    CHECK(restored->m_checkpoint.empty());
}

// Guards against an occurrence that is lost or run again at a takeover because the record leaves it out.
TEST_CASE("unstarted occurrences are left out of the record and are created again")
{
    const auto spec = specOf({stepOf(2, false)}, 100);
    const auto wallNow = fromMilliseconds(100 + 50 * 9); // Ten are due.
    auto job = withDueOccurrences(newJobState(spec, 3, start), wallNow, start);
    REQUIRE(job->m_occurrences.size() == 10);
    CHECK(firstOfUnstartedTail(*job) == 0);
    job = runningOn(job, task(0, 1, 6), "w", 1);
    job = applyRunEnd(job, endOf(task(0, 1, 6), 1, RunEndKind::Done), "w", start).m_job;
    for (const int index : {0, 1}) {
        job = applyRunEnd(runningOn(job, task(0, index, 3), "w", 1), endOf(task(0, index, 3), 1, RunEndKind::Done), "w", start).m_job;
    }
    CHECK(firstOfUnstartedTail(*job) == 7);
    const auto record = encodeProgress(*job);
    CHECK(record.find(R"("number":6)") != std::string::npos);
    CHECK(record.find(R"("number":7)") == std::string::npos);
    auto restored = restoreJob(spec, 3, record, start).value();
    CHECK(restored->m_nextOccurrence == 7);
    restored = withDueOccurrences(restored, wallNow, start);
    std::vector<std::int64_t> numbers;
    for (const auto &occurrence : restored->m_occurrences) {
        numbers.push_back(occurrence->m_number);
    }
    CHECK(numbers == std::vector<std::int64_t>{0, 1, 2, 4, 5, 6, 7, 8, 9}); // 3 is complete.
    CHECK(findTask(*restored, task(0, 1, 6))->m_phase == TaskPhase::Done);
    CHECK(findTask(*restored, task(0, 0, 6))->m_phase == TaskPhase::Waiting);
    // The owner's wall clock is behind: a run that a worker reports shows that its occurrence is due.
    CHECK(withOccurrencesUpTo(restoreJob(spec, 3, record, start).value(), 9, start)->m_occurrences.size() == 9);
}

// Guards against a rolling upgrade that loses occurrences: a former release records each occurrence that it has created.
TEST_CASE("a record of a former release is restored")
{
    const auto spec = specOf({stepOf(1, false)}, 5);
    const std::string record = R"({"layout":1,"next":4,"outcome":"active","version":3,"occurrences":[)"
                               R"({"number":1,"steps":[{"done":"0","tasks":[[0,2,[1],""]]}]},{"number":3,"steps":[{"done":"0","tasks":[]}]}]})";
    const auto job = restoreJob(spec, 3, record, start).value();
    REQUIRE(job->m_occurrences.size() == 2);
    CHECK(job->m_nextOccurrence == 4);
    CHECK(findTask(*job, task(0, 0, 1))->m_highestRunNumber == 2);
    CHECK(findTask(*job, task(0, 0, 3))->m_phase == TaskPhase::Waiting);
    CHECK(firstOfUnstartedTail(*job) == 3);
    CHECK(restoreJob(spec, 3, encodeProgress(*job), start).value()->m_nextOccurrence == 3);
}

// Guards against a new owner that repeats or loses work because a field is missing from the records.
TEST_CASE("decoded records equal the encoded state")
{
    const auto spec = specOf({stepOf(2, false), stepOf(2, true, {0})});
    CHECK(decodeSubmission(encodeSubmission(*spec)).value() == *spec);
    auto job = newJobState(spec, 3, start);
    job = applyRunEnd(runningOn(job, task(0, 0), "w", 4), endOf(task(0, 0), 4, RunEndKind::Done), "w", start).m_job;
    job = applyRunEnd(runningOn(job, task(0, 1), "w", 2), endOf(task(0, 1), 2, RunEndKind::Failed, "saved"), "w", start).m_job;
    const auto restored = restoreJob(spec, 3, encodeProgress(*job), start).value();
    CHECK(findTask(*restored, task(0, 0))->m_phase == TaskPhase::Done);
    CHECK(findTask(*restored, task(0, 1))->m_failedRuns == std::vector<std::int64_t>{2});
    CHECK(findTask(*restored, task(0, 1))->m_runNumber == 2);
    CHECK(findTask(*restored, task(0, 1))->m_checkpoint == "saved");
    CHECK(restored->m_recordedVersion == job->m_version);
    CHECK(decodeOutcome(encodeProgress(*withCancellation(*job, start))).value() == JobOutcome::Cancelled);
}

// Guards against a damaged or foreign record that crashes the owner that reads it.
TEST_CASE("damaged records are rejected")
{
    const auto spec = specOf({stepOf(2, false)});
    const auto good = encodeProgress(*newJobState(spec, 3, start));
    const auto submission = encodeSubmission(*spec);
    std::mt19937 random(20261204);
    for (int round = 0; round < 3000; ++round) {
        for (const auto *text : {&good, &submission}) {
            auto damaged = *text;
            for (int change = 0; change < 3; ++change) {
                damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
            }
            damaged.resize(random() % (damaged.size() + 1));
            (void)decodeSubmission(damaged).ok();
            (void)restoreJob(spec, 3, damaged, start).ok();
            (void)decodeOutcome(damaged).ok();
        }
    }
    CHECK_FALSE(restoreJob(spec, 3, "{}", start).ok());
    CHECK_FALSE(decodeSubmission("").ok());
}

} // namespace PrimroseBridge
