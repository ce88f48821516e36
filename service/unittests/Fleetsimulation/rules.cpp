#include "workerfixture.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

namespace {

/// A run of a history that a test writes down; times in milliseconds, below 0 for none.
struct WrittenRun {
    TaskReference m_task;
    std::int64_t m_startedAtMs;
    std::int64_t m_endedAtMs = -1;
    std::optional<RunEndKind> m_endKind = std::nullopt;
    std::int64_t m_acknowledgedAtMs = -1;
};

std::optional<Instant> optionalTime(std::int64_t ms)
{
    return ms < 0 ? std::nullopt : std::optional(WorkerFixture::at(ms));
}

using Steps = std::vector<WorkerFixture::StepOptions>;

/// The violations in a history as "rule@time", the time in milliseconds.
std::vector<std::string> violations(const Steps &steps, const std::vector<WrittenRun> &runs, int maxAttempts = 2, std::int64_t nowMs = 100'000)
{
    std::vector<SimulatedRun> history;
    history.reserve(runs.size());
    for (const auto &run : runs) {
        history.push_back(SimulatedRun{.m_task = run.m_task,
                                       .m_runNumber = static_cast<std::int64_t>(history.size()) + 1,
                                       .m_worker = "w" + std::to_string(history.size()),
                                       .m_incarnation = 1,
                                       .m_fence = 1,
                                       .m_sender = "vm",
                                       .m_startedAt = WorkerFixture::at(run.m_startedAtMs),
                                       .m_delivery = {},
                                       .m_endedAt = optionalTime(run.m_endedAtMs),
                                       .m_endKind = run.m_endKind,
                                       .m_acknowledgedAt = optionalTime(run.m_acknowledgedAtMs)});
    }
    std::vector<std::string> found;
    for (const auto &violation : findViolations(history, {WorkerFixture::job("job", steps)}, {{"job", maxAttempts}}, WorkerFixture::at(nowMs))) {
        found.push_back(violation.m_rule + "@" + std::to_string((violation.m_at - WorkerFixture::at(0)).count()));
    }
    return found;
}

const auto task0 = WorkerFixture::task("job", 0);
const auto task1 = WorkerFixture::task("job", 1);

} // namespace

using Names = std::vector<std::string>;

// Guards against overlapping runs that are not found, and against neighbours that are taken for overlaps.
TEST_CASE("two runs of a task at the same time break TWICE")
{
    const Steps steps{{.m_tasks = 2}};
    CHECK(violations(steps, {{task0, 0}, {task0, 500}}) == Names{"TWICE@500"});
    CHECK(violations(steps, {{task0, 0, 501, RunEndKind::Stopped}, {task0, 500}}) == Names{"TWICE@500"});
    CHECK(violations(steps, {{task0, 0, 501}, {task0, 500}}) == Names{"TWICE@500"}); // The first worker crashed at 501.
    CHECK(violations(steps, {{task0, 0, 500, RunEndKind::Stopped}, {task0, 500}}).empty());
    CHECK(violations(steps, {{task0, 0, 500}, {task0, 500}}).empty());
    CHECK(violations(steps, {{task0, 0}, {task1, 500}}).empty());
    CHECK(violations(steps, {{task0, 0}, {task0, 500}}, 2, 499).empty());
    CHECK(violations(steps, {{task0, 0}, {task0, 100, 200, RunEndKind::Stopped}, {task0, 300}}) == Names{"TWICE@100", "TWICE@300"});
    CHECK(violations(steps, {{task0, 0, 1000, RunEndKind::Stopped}, {task0, 100, 200, RunEndKind::Stopped}, {task0, 900}}) == Names{"TWICE@100", "TWICE@900"});
    CHECK(violations({{.m_tasks = 2, .m_speculative = true}}, {{task0, 0}, {task0, 500}}).empty());
    CHECK(violations({{.m_longRunning = true}}, {{task0, 0}, {task0, 500}}) == Names{"TWICE@500"});
}

// Guards against a task that is done again although the end of its run was acknowledged, before or after the second start.
TEST_CASE("a start after an acknowledged end as done breaks TWICE")
{
    const Steps steps{{.m_tasks = 1}};
    CHECK(violations(steps, {{task0, 0, 400, RunEndKind::Done, 450}, {task0, 500}}) == Names{"TWICE@500"});
    CHECK(violations(steps, {{task0, 0, 400, RunEndKind::Done, 900}, {task0, 500}}) == Names{"TWICE@500"});
    CHECK(violations(steps, {{task0, 0, 500, RunEndKind::Done, 550}, {task0, 500}}) == Names{"TWICE@500"});
    CHECK(violations(steps, {{task0, 0, 400, RunEndKind::Done, 900}, {task0, 500}}, 2, 899).empty());
    CHECK(violations(steps, {{task0, 0, 400, RunEndKind::Done}, {task0, 500}}).empty());
    CHECK(violations(steps, {{task0, 0, 400, RunEndKind::Stopped, 450}, {task0, 500}}).empty());
    CHECK(violations({{.m_speculative = true}}, {{task0, 0, 400, RunEndKind::Done, 450}, {task0, 500}}).empty());
}

// Guards against a list of violations that grows with the square of the number of runs.
TEST_CASE("a start is reported once however many earlier runs forbid it")
{
    std::vector<WrittenRun> runs;
    runs.reserve(10);
    for (int i = 0; i < 10; ++i) {
        runs.push_back({task0, 100 * i, 100 * i + 50, RunEndKind::Done, 100 * i + 60});
    }
    CHECK(violations({{.m_tasks = 1}}, runs).size() == 9);
}

// Guards against a task that is started once too often, and against failed runs that nobody acknowledged and are counted.
TEST_CASE("a start after the permitted number of failed runs breaks BUDGET")
{
    const Steps steps{{.m_tasks = 2}};
    const WrittenRun first{task0, 0, 100, RunEndKind::Failed, 150};
    CHECK(violations(steps, {first, {task0, 200, 300, RunEndKind::Failed, 350}}).empty());
    CHECK(violations(steps, {first, {task0, 200, 300, RunEndKind::Failed, 350}, {task0, 400}}) == Names{"BUDGET@400"});
    CHECK(violations(steps, {first, {task0, 200, 300, RunEndKind::Failed, 950}, {task0, 400}}) == Names{"BUDGET@400"});
    CHECK(violations(steps, {first, {task0, 200, 300, RunEndKind::Failed}, {task0, 400}}).empty());
    CHECK(violations(steps, {first, {task0, 200, 300, RunEndKind::LeaseExpired, 350}, {task0, 400}}).empty());
    CHECK(violations(steps, {first, {task1, 200, 300, RunEndKind::Failed, 350}, {task0, 400}}).empty());
    CHECK(violations(steps, {first, {task0, 200, 300, RunEndKind::Failed, 350}, {task0, 400}}, 3).empty());
    CHECK(violations({{.m_longRunning = true}}, {first, {task0, 200, 300, RunEndKind::Failed, 350}, {task0, 400}}).empty());
}

// Guards against a step that starts before its input exists.
TEST_CASE("a start before the earlier steps are done breaks ORDER")
{
    const Steps steps{{.m_tasks = 2}, {.m_tasks = 2, .m_after = {0}}};
    const auto later = WorkerFixture::task("job", 0, 1);
    const WrittenRun done0{task0, 0, 400, RunEndKind::Done, -1};
    const WrittenRun done1{task1, 0, 500, RunEndKind::Done, -1};
    CHECK(violations(steps, {done0, done1, {later, 500}}).empty());
    CHECK(violations(steps, {done0, done1, {later, 499}}) == Names{"ORDER@499"});
    CHECK(violations(steps, {done0, {later, 500}}) == Names{"ORDER@500"});
    CHECK(violations(steps, {done0, {task1, 0, 450, RunEndKind::Failed, -1}, {later, 500}}) == Names{"ORDER@500"});
    CHECK(violations(steps, {{later, 0}}) == Names{"ORDER@0"});
    // A task that was done twice counts from its first end.
    CHECK(violations(steps, {done0, done1, {later, 600}, {task0, 700, 800, RunEndKind::Done, -1}}).empty());
    const Steps gangFirst{{.m_tasks = 2, .m_gang = true}, {.m_tasks = 2, .m_after = {0}}};
    CHECK(violations(gangFirst, {done0, {later, 400}}).empty());
    CHECK(violations(gangFirst, {done0, {later, 399}}) == Names{"ORDER@399"});
}

// Guards against occurrences of a repeated job that are taken for one another.
TEST_CASE("occurrences are judged separately")
{
    const TaskReference second{.m_job = "job", .m_occurrence = 1, .m_step = 0, .m_index = 0};
    const TaskReference laterOfSecond{.m_job = "job", .m_occurrence = 1, .m_step = 1, .m_index = 0};
    const Steps steps{{.m_tasks = 1}, {.m_tasks = 1, .m_after = {0}}};
    CHECK(violations(steps, {{task0, 0, 400, RunEndKind::Done, 450}, {second, 500}}).empty());
    CHECK(violations(steps, {{task0, 0, 400, RunEndKind::Done, 450}, {laterOfSecond, 500}}) == Names{"ORDER@500"});
}

// Guards against a gang whose members were not all started.
TEST_CASE("a gang member that waits in vain breaks GANG")
{
    const Steps steps{{.m_tasks = 2, .m_gang = true}};
    CHECK(violations(steps, {{task0, 0, 3000, RunEndKind::GangMembersMissing}}) == Names{"GANG@3000"});
    CHECK(violations(steps, {{task0, 0, 3000, RunEndKind::GangMembersMissing}}, 2, 2999).empty());
    CHECK(violations(steps, {{task0, 0, 3000, RunEndKind::GangMemberEnded}}).empty());
}

// Guards against a late start that is named like another one, although only one before the first answer of its process cannot be prevented.
TEST_CASE("a violation names late starts to the former process of a worker")
{
    const auto textFor = [](const OrderDelivery &delivery) {
        const SimulatedRun first{.m_task = task0,
                                 .m_runNumber = 1,
                                 .m_worker = "w1",
                                 .m_incarnation = 1,
                                 .m_fence = 1,
                                 .m_sender = "vm",
                                 .m_startedAt = WorkerFixture::at(0),
                                 .m_delivery = {},
                                 .m_endedAt = std::nullopt,
                                 .m_endKind = std::nullopt,
                                 .m_acknowledgedAt = std::nullopt};
        SimulatedRun second = first;
        second.m_runNumber = 2;
        second.m_delivery = delivery;
        const auto found = findViolations({first, second}, {WorkerFixture::job("job", Steps{{.m_tasks = 1}})}, {}, WorkerFixture::at(1));
        return found.size() == 1 ? found.front().m_text : std::string();
    };
    const std::string restart = " late sent before a restart";
    const std::string firstAnswer = " before its process's first answer";
    const auto unavoidable = textFor({.m_late = true, .m_afterRestart = true, .m_beforeFirstAnswer = true});
    CHECK(unavoidable.find(restart + firstAnswer) != std::string::npos);
    const auto avoidable = textFor({.m_late = true, .m_afterRestart = true});
    CHECK(avoidable.find(restart) != std::string::npos);
    CHECK(avoidable.find(firstAnswer) == std::string::npos);
    CHECK(textFor({.m_beforeFirstAnswer = true}).find(firstAnswer) == std::string::npos); // The owner meant this process.
    CHECK(textFor({.m_late = true, .m_beforeFirstAnswer = true}).find(firstAnswer) == std::string::npos);
}

// Guards against violations that are listed by task instead of by time.
TEST_CASE("violations are in the order of time")
{
    const Steps steps{{.m_tasks = 2}, {.m_after = {0}}};
    const auto later = WorkerFixture::task("job", 0, 1);
    CHECK(violations(steps, {{task1, 0}, {task0, 0}, {later, 100}, {task0, 300}, {task1, 200}}) == Names{"ORDER@100", "TWICE@200", "TWICE@300"});
}

// Guards against starts in a drained zone that are not found, and against those that are taken for one: sent in time, executed late, or after the drain.
TEST_CASE("a start that is sent later than the bound after the request breaks DRAIN until the request is withdrawn")
{
    const auto drainViolations = [](std::int64_t sentAtMs, std::int64_t startedAtMs, const std::string &zone) {
        const SimulatedRun run{.m_task = task0,
                               .m_runNumber = 1,
                               .m_worker = "w",
                               .m_incarnation = 1,
                               .m_fence = 1,
                               .m_sender = "vm",
                               .m_startedAt = WorkerFixture::at(startedAtMs),
                               .m_delivery = {.m_sentAt = WorkerFixture::at(sentAtMs)},
                               .m_endedAt = std::nullopt,
                               .m_endKind = std::nullopt,
                               .m_acknowledgedAt = std::nullopt};
        const ZoneDrainTime drain{.m_zone = "zone-1", .m_from = WorkerFixture::at(1'000), .m_until = WorkerFixture::at(9'000)};
        return findStartsInDrainedZones({run}, {{"w", zone}}, {drain}, Duration(5'000)).size();
    };
    CHECK(drainViolations(6'000, 6'001, "zone-1") == 1);
    CHECK(drainViolations(8'998, 8'999, "zone-1") == 1);
    CHECK(drainViolations(5'999, 6'000, "zone-1") == 0);
    CHECK(drainViolations(5'999, 8'000, "zone-1") == 0);
    CHECK(drainViolations(8'999, 9'000, "zone-1") == 0);
    CHECK(drainViolations(6'000, 6'001, "zone-2") == 0);
}

} // namespace PrimroseBridge
