#include "worker.h"
#include "workerservice.h"

#include "worker.grpc.pb.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <optional>
#include <unistd.h>
#include <vector>

namespace PrimroseBridge::Standin {

namespace {

const WorkerSpec spec{"w1", "z1", "r1", 32, 128000, 8};
constexpr Duration lease(10000);

// A worker with a clock that the test sets.
struct Bench {
    WorkerBooks m_books;
    CheckpointStore m_checkpoints;
    Instant m_now = fromMilliseconds(1000000);
    Worker m_worker{spec, m_books, m_checkpoints, m_now};
    std::int64_t m_sequence = 0;

    ExecuteAnswer execute(const std::vector<TaskCommand> &commands, std::int64_t fence = 5)
    {
        std::optional<ExecuteAnswer> received;
        m_worker.execute({fence, ++m_sequence}, commands, m_now, [&](const auto &answer) {
            if (answer) {
                received.emplace(*answer);
            }
        });
        REQUIRE(received.has_value());
        return *received;
    }

    CommandCode one(const TaskCommand &command)
    {
        return execute({command}).m_answers.at(0).m_code;
    }

    // The receiver fills @p received when the poll is answered.
    void poll(std::int64_t seenVersion, std::vector<PollAnswer> &received, const std::vector<TaskName> &taken = {}, std::int64_t fence = 5)
    {
        m_worker.poll({{fence, ++m_sequence}, lease, Duration(5000), seenVersion, taken}, m_now, [&received](const auto &answer) {
            if (answer) {
                received.push_back(*answer);
            }
        });
    }

    PollAnswer pollNow()
    {
        std::vector<PollAnswer> received;
        poll(-1, received);
        REQUIRE(received.size() == 1);
        return received.front();
    }

    void pass(Duration time)
    {
        m_now += time;
        m_worker.advance(m_now);
    }

    nlohmann::json summary(const std::string &key) const
    {
        return m_books.toJson(m_now)["keys"][key];
    }
};

TaskName taskName(const std::string &key, int attempt = 1, int member = 0)
{
    return {key, 5, attempt, member};
}

TaskCommand hold(const TaskName &task, AcceleratorSet accelerators, const std::string &payload = R"({"runMs":300,"result":"r"})", bool resume = false)
{
    return {CommandKind::Hold, task, {accelerators, 1, 100}, lease, "kiln-curve", payload, resume, 0};
}

TaskCommand command(CommandKind kind, const TaskName &task, int percent = 0)
{
    return {kind, task, {0, 0, 0}, Duration(0), "", "", false, percent};
}

FaultChange noChange()
{
    return {std::nullopt, std::nullopt, std::nullopt, std::nullopt, std::nullopt, std::nullopt, std::nullopt, std::nullopt, std::nullopt, std::nullopt, false};
}

FaultChange faults(const std::string &name, int value)
{
    const auto is = [&](const char *wanted) { return name == wanted ? std::optional<int>(value) : std::nullopt; };
    const auto flag = [&](const char *wanted) { return name == wanted ? std::optional<bool>(value != 0) : std::nullopt; };
    const auto usable = name == "usable" ? std::optional<AcceleratorSet>(static_cast<AcceleratorSet>(value)) : std::nullopt;
    return {flag("failTasks"),
            flag("frozen"),
            flag("leaving"),
            is("speedPercent"),
            is("answerDelayMs"),
            usable,
            is("loseAnswers"),
            is("losePollAnswers"),
            is("truncateResults"),
            is("crossResults"),
            name == "restart"};
}

} // namespace

TEST_CASE("A task runs for its time and reports a whole result")
{
    // Guards against proofs that wait for results which never come.
    Bench bench;
    REQUIRE(bench.one(hold(taskName("a"), 0x3)) == CommandCode::Ok);
    REQUIRE(bench.one(command(CommandKind::Start, taskName("a"))) == CommandCode::Ok);
    bench.pass(Duration(299));
    REQUIRE(bench.pollNow().m_tasks.at(0).m_task->m_life.m_state == TaskStatus::Running);
    bench.pass(Duration(1));
    const auto report = bench.pollNow().m_tasks.at(0);
    REQUIRE(report.m_task->m_life.m_state == TaskStatus::Done);
    REQUIRE(report.m_resultBytes == "r");
    REQUIRE(bench.summary("a")["starts"] == 1);
}

TEST_CASE("Commands are idempotent")
{
    // Guards against a repeated start that counts as a second run.
    Bench bench;
    const TaskName task = taskName("a");
    for (int repeat = 0; repeat < 2; ++repeat) {
        REQUIRE(bench.one(hold(task, 0x1)) == CommandCode::Ok);
        REQUIRE(bench.one(command(CommandKind::Start, task)) == CommandCode::Ok);
    }
    for (int repeat = 0; repeat < 2; ++repeat) {
        REQUIRE(bench.one(command(CommandKind::Checkpoint, task)) == CommandCode::Ok);
    }
    REQUIRE(bench.one(command(CommandKind::Stop, task)) == CommandCode::Ok);
    REQUIRE(bench.summary("a")["starts"] == 1);
}

TEST_CASE("Held accelerators, cores and memory are not given twice")
{
    // Guards against a stand-in that hides double placement.
    Bench bench;
    REQUIRE(bench.one(hold(taskName("a"), 0x3)) == CommandCode::Ok);
    REQUIRE(bench.one(hold(taskName("b"), 0x2)) == CommandCode::NoCapacity);
    REQUIRE(bench.one(hold(taskName("c"), 0x100)) == CommandCode::NoCapacity);
    TaskCommand large{CommandKind::Hold, taskName("d"), {0x4, 32, 100}, lease, "", "", false, 0};
    REQUIRE(bench.one(large) == CommandCode::NoCapacity);
    REQUIRE(bench.one(command(CommandKind::Stop, taskName("a"))) == CommandCode::Ok);
    REQUIRE(bench.one(hold(taskName("b"), 0x2)) == CommandCode::Ok);
}

TEST_CASE("A lower fence or sequence is refused and changes nothing")
{
    // Guards against the commands of a former owner.
    Bench bench;
    REQUIRE(bench.execute({hold(taskName("a"), 0x1)}, 7).m_accepted);
    bench.m_sequence = 100;
    const auto answer = bench.execute({hold(taskName("b"), 0x2)}, 6);
    REQUIRE_FALSE(answer.m_accepted);
    REQUIRE(answer.m_fence == 7);
    REQUIRE(answer.m_answers.empty());
    bench.m_sequence = -1;
    REQUIRE_FALSE(bench.execute({hold(taskName("b"), 0x2)}, 7).m_accepted);
    REQUIRE(bench.m_books.toJson(bench.m_now)["tasks"].size() == 1);
    REQUIRE(bench.m_books.toJson(bench.m_now)["counts"]["refusedAuthority"] == 2);
}

TEST_CASE("A higher fence ends the pending poll of a former owner")
{
    // Guards against an owner that learns of its successor only after the poll's time.
    Bench bench;
    std::vector<PollAnswer> received;
    bench.poll(1, received, {}, 5);
    REQUIRE(received.empty());
    bench.execute({}, 6);
    bench.pass(Duration(1));
    REQUIRE(received.size() == 1);
    REQUIRE_FALSE(received[0].m_accepted);
    REQUIRE(received[0].m_fence == 6);
}

TEST_CASE("A poll waits for a change, and for no longer than asked")
{
    // Guards against polls that return at once and load the owner.
    Bench bench;
    std::vector<PollAnswer> received;
    bench.poll(bench.pollNow().m_version, received);
    bench.pass(Duration(4999));
    REQUIRE(received.empty());
    bench.pass(Duration(1));
    REQUIRE(received.size() == 1);
    bench.poll(received[0].m_version, received);
    bench.execute({hold(taskName("a"), 0x1)});
    bench.pass(Duration(0));
    REQUIRE(received.size() == 2);
    REQUIRE(received[1].m_tasks.size() == 1);
}

TEST_CASE("A task whose lease runs out is stopped, and a poll renews it")
{
    // Guards against tasks that outlive their owner.
    Bench bench;
    bench.one(hold(taskName("a"), 0x1, R"({"runMs":60000})"));
    bench.one(command(CommandKind::Start, taskName("a")));
    bench.one(hold(taskName("b"), 0x2));
    bench.pass(Duration(9000));
    bench.pollNow();
    bench.pass(Duration(9999));
    REQUIRE(bench.pollNow().m_tasks.at(0).m_task->m_life.m_state == TaskStatus::Running);
    bench.pass(Duration(10000));
    const auto reports = bench.pollNow().m_tasks;
    REQUIRE(reports.at(0).m_task->m_life.m_ending == "lease expired");
    REQUIRE(reports.at(0).m_task->m_life.m_startedAt.has_value());
    REQUIRE_FALSE(reports.at(1).m_task->m_life.m_startedAt.has_value());
    REQUIRE(bench.one(command(CommandKind::Start, taskName("b"))) == CommandCode::Refused);
}

TEST_CASE("Taken final reports are forgotten, others are kept")
{
    // Guards against a report that is lost before the owner has processed it.
    Bench bench;
    bench.one(hold(taskName("a"), 0x1));
    bench.one(hold(taskName("b"), 0x2));
    bench.one(command(CommandKind::Stop, taskName("a")));
    std::vector<PollAnswer> received;
    bench.poll(-1, received, {taskName("a"), taskName("b")});
    REQUIRE(received.at(0).m_tasks.size() == 1);
    REQUIRE(received.at(0).m_tasks.at(0).m_task->m_name == taskName("b"));
}

TEST_CASE("A checkpoint saves the progress for the next attempt")
{
    // Guards against work that is repeated after a reclaim.
    Bench bench;
    bench.one(hold(taskName("a"), 0x1, R"({"runMs":1000})"));
    bench.one(command(CommandKind::Start, taskName("a")));
    bench.pass(Duration(600));
    REQUIRE(bench.one(command(CommandKind::Checkpoint, taskName("a"))) == CommandCode::Ok);
    bench.one(hold(taskName("a", 2), 0x1, R"({"runMs":1000})", true));
    bench.one(command(CommandKind::Start, taskName("a", 2)));
    bench.pass(Duration(400));
    REQUIRE(bench.pollNow().m_tasks.at(1).m_task->m_life.m_state == TaskStatus::Done);
    REQUIRE(bench.summary("a")["repeatedRuns"] == 0);
}

TEST_CASE("A throttled task and a slow worker take longer")
{
    // Guards against a throttle that has no effect.
    Bench bench;
    bench.one(hold(taskName("a"), 0x1, R"({"runMs":1000})"));
    bench.one(command(CommandKind::Start, taskName("a")));
    bench.pass(Duration(500));
    REQUIRE(bench.one(command(CommandKind::Throttle, taskName("a"), 50)) == CommandCode::Ok);
    bench.pass(Duration(500));
    bench.m_worker.change(faults("speedPercent", 50), bench.m_now);
    bench.pass(Duration(999));
    REQUIRE(bench.pollNow().m_tasks.at(0).m_task->m_life.m_state == TaskStatus::Running);
    bench.pass(Duration(1));
    REQUIRE(bench.pollNow().m_tasks.at(0).m_task->m_life.m_state == TaskStatus::Done);
}

TEST_CASE("Truncated and crossed results are sent with the digest by which they are detected")
{
    // Guards against a fault that no receiver could detect.
    Bench bench;
    for (const auto *key : {"a", "b"}) {
        bench.one(hold(taskName(key), key[0] == 'a' ? 0x1 : 0x2, std::string(R"({"runMs":1,"result":"result-)") + key + "\"}"));
        bench.one(command(CommandKind::Start, taskName(key)));
    }
    bench.pass(Duration(1));
    bench.m_worker.change(faults("crossResults", 1), bench.m_now);
    const auto crossed = bench.pollNow().m_tasks.at(0);
    REQUIRE(crossed.m_resultBytes == "result-b");
    REQUIRE(crossed.m_resultDigest == resultDigest(taskName("b"), "result-b"));
    bench.m_worker.change(faults("truncateResults", 1), bench.m_now);
    const auto truncated = bench.pollNow().m_tasks.at(0);
    REQUIRE(truncated.m_resultBytes == "resu");
    REQUIRE(truncated.m_resultLength == 8);
    REQUIRE(truncated.m_resultDigest == resultDigest(taskName("a"), "result-a"));
    const auto whole = bench.pollNow();
    REQUIRE(whole.m_tasks.at(0).m_resultBytes == "result-a");
    REQUIRE(whole.m_tasks.at(0).m_task->m_plan.m_result == "result-a");
}

TEST_CASE("A frozen worker answers nothing, and the calls take effect when it thaws")
{
    // Guards against a freeze that loses the late command of a former owner.
    Bench bench;
    bench.m_worker.change(faults("frozen", 1), bench.m_now);
    int answers = 0;
    bench.m_worker.execute({5, 1}, {hold(taskName("a"), 0x1)}, bench.m_now, [&](const auto &) { ++answers; });
    bench.pass(Duration(20000));
    REQUIRE(answers == 0);
    bench.m_worker.change(faults("frozen", 0), bench.m_now);
    REQUIRE(answers == 1);
    bench.m_sequence = 1;
    REQUIRE(bench.pollNow().m_tasks.size() == 1);
}

TEST_CASE("A restarted worker has a new incarnation and no tasks")
{
    // Guards against an owner that takes a task for still running.
    Bench bench;
    bench.one(hold(taskName("a"), 0x1));
    const auto before = bench.pollNow();
    bench.m_worker.change(faults("restart", 1), bench.m_now);
    const auto after = bench.pollNow();
    REQUIRE(after.m_incarnation != before.m_incarnation);
    REQUIRE(after.m_tasks.empty());
    REQUIRE(bench.m_books.toJson(bench.m_now)["tasks"][0]["ending"] == "worker restarted");
}

TEST_CASE("A leaving worker refuses new tasks only")
{
    // Guards against a leaving worker that drops what it runs.
    Bench bench;
    bench.one(hold(taskName("a"), 0x1));
    bench.m_worker.change(faults("leaving", 1), bench.m_now);
    REQUIRE(bench.one(hold(taskName("b"), 0x2)) == CommandCode::Leaving);
    REQUIRE(bench.one(command(CommandKind::Start, taskName("a"))) == CommandCode::Ok);
    REQUIRE(bench.pollNow().m_leaving);
}

TEST_CASE("A removed accelerator ends its tasks")
{
    // Guards against tasks on parts that are gone.
    Bench bench;
    bench.one(hold(taskName("a"), 0x1));
    bench.one(command(CommandKind::Start, taskName("a")));
    bench.m_worker.change(faults("usable", 0xfe), bench.m_now);
    const auto answer = bench.pollNow();
    REQUIRE(answer.m_usable == 0xfe);
    REQUIRE(answer.m_tasks.at(0).m_task->m_life.m_state == TaskStatus::Failed);
}

TEST_CASE("A lost answer leaves the commands in effect")
{
    // Guards against a proof in which the lost command did not happen at all.
    Bench bench;
    bench.m_worker.change(faults("loseAnswers", 1), bench.m_now);
    bool lost = false;
    bench.m_worker.execute({5, 1}, {hold(taskName("a"), 0x1)}, bench.m_now, [&](const auto &answer) { lost = !answer.has_value(); });
    REQUIRE(lost);
    bench.m_sequence = 1;
    REQUIRE(bench.pollNow().m_tasks.size() == 1);
}

TEST_CASE("The books count repeated and overlapping runs")
{
    // Guards against a doubled run that the failure proofs would not see.
    Bench bench;
    for (int attempt = 1; attempt <= 2; ++attempt) {
        bench.one(hold(taskName("a", attempt), attempt == 1 ? 0x1 : 0x2));
        bench.one(command(CommandKind::Start, taskName("a", attempt)));
        bench.pass(Duration(10));
    }
    REQUIRE(bench.summary("a")["repeatedRuns"] == 1);
    REQUIRE(bench.summary("a")["overlappingRuns"] == 1);
    REQUIRE(bench.summary("a")["attempts"] == 2);
}

TEST_CASE("The books measure how long a gang ran partially")
{
    // Guards against a gang that runs without one of its members.
    Bench bench;
    const TaskName first = taskName("g", 1, 0);
    const TaskName second = taskName("g", 1, 1);
    bench.one(hold(first, 0x1, R"({"runMs":5000})"));
    bench.one(hold(second, 0x2, R"({"runMs":5000})"));
    bench.one(command(CommandKind::Start, first));
    bench.pass(Duration(40));
    bench.one(command(CommandKind::Start, second));
    bench.pass(Duration(1000));
    REQUIRE(bench.summary("g")["longestPartialMs"] == 40);
    bench.one(command(CommandKind::Stop, second));
    bench.pass(Duration(700));
    bench.one(command(CommandKind::Stop, first));
    bench.pass(Duration(100));
    REQUIRE(bench.summary("g")["longestPartialMs"] == 700);
}

TEST_CASE("Members of a gang that finish at different times do not count as partial")
{
    // Guards against a false alarm of the gang proof.
    Bench bench;
    for (int member = 0; member < 2; ++member) {
        bench.one(hold(taskName("g", 1, member), member == 0 ? 0x1 : 0x2, member == 0 ? R"({"runMs":100})" : R"({"runMs":900})"));
        bench.one(command(CommandKind::Start, taskName("g", 1, member)));
    }
    bench.pass(Duration(1000));
    REQUIRE(bench.summary("g")["longestPartialMs"] == 0);
}

TEST_CASE("Usage lags behind")
{
    // Guards against a scheduler that relies on fresh usage.
    Bench bench;
    bench.m_worker.change(noChange(), bench.m_now);
    TaskCommand half{CommandKind::Hold, taskName("a"), {0x1, 16, 100}, lease, "", R"({"runMs":9000})", false, 0};
    bench.one(half);
    bench.one(command(CommandKind::Start, taskName("a")));
    bench.pass(Duration(1000));
    REQUIRE(bench.pollNow().m_usagePercent == 0.0);
    bench.pass(Duration(1500));
    REQUIRE(bench.pollNow().m_usagePercent == 50.0);
}

TEST_CASE("A malformed payload runs for 100 ms")
{
    // Guards against a caller's payload that stops the worker.
    for (const auto *payload : {"", "{", "[]", "{\"runMs\":\"x\"}", "{\"result\":7}"}) {
        REQUIRE(planFromPayload(payload, "k") == RunPlan{Duration(100), "ok:k", false, 0});
    }
    REQUIRE(planFromPayload(R"({"runMs":-5})", "k").m_runTime == Duration(0));
}

TEST_CASE("Worker specs are those of the address")
{
    // Guards against two processes that serve one worker.
    const std::string document = R"({ // comment
        "workers":[{"id":"a","zone":"z","rack":"r","cores":1,"memoryMb":2,"accelerators":3,"address":"127.0.0.1:1"},
                   {"id":"b","zone":"z","rack":"r","cores":1,"memoryMb":2,"accelerators":3,"address":"127.0.0.1:2"}]})";
    REQUIRE(readWorkerSpecs(document, "127.0.0.1:2").value() == std::vector<WorkerSpec>{{"b", "z", "r", 1, 2, 3}});
    REQUIRE(readWorkerSpecs(document, "127.0.0.1:3").error().kind() == ErrorKind::NotFound);
    REQUIRE(readWorkerSpecs("{", "127.0.0.1:3").error().kind() == ErrorKind::InvalidArgument);
    REQUIRE(readWorkerSpecs(R"({"workers":[{"id":"a","zone":"z","rack":"r","cores":1,"memoryMb":2,"accelerators":33,"address":"x"}]})", "x").error().kind()
            == ErrorKind::InvalidArgument);
}

TEST_CASE("The gRPC interface runs a task, answers a long poll and stops with a poll pending")
{
    // Guards against messages that lose a field, and against a shutdown that hangs.
    namespace Wire = primrosebridge::wire;
    const int base = 20000 + static_cast<int>(getpid()) % 5000;
    const std::string address = "127.0.0.1:" + std::to_string(base);
    auto service = WorkerService::create({spec}, address, "127.0.0.1", static_cast<std::uint16_t>(base + 5000)).value();
    const auto stub = Wire::WorkerService::NewStub(grpc::CreateChannel(address, grpc::InsecureChannelCredentials()));
    Wire::ExecuteRequest execute;
    execute.set_worker("w1");
    execute.mutable_authority()->set_fence(1);
    execute.mutable_authority()->set_sequence(1);
    for (const auto kind : {Wire::Command::HOLD, Wire::Command::START}) {
        auto *added = execute.add_commands();
        added->set_kind(kind);
        added->mutable_task()->set_key("k");
        added->mutable_task()->set_attempt(1);
        added->set_accelerators(3);
        added->set_lease_ms(10000);
        added->set_payload(R"({"runMs":50,"result":"whole"})");
    }
    Wire::ExecuteReply executed;
    {
        grpc::ClientContext context;
        REQUIRE(stub->Execute(&context, execute, &executed).ok());
    }
    REQUIRE(executed.accepted());
    REQUIRE(executed.results_size() == 2);
    REQUIRE(executed.results(1).code() == Wire::CommandResult::OK);

    Wire::PollRequest poll;
    poll.set_worker("w1");
    *poll.mutable_authority() = execute.authority();
    poll.set_lease_ms(10000);
    poll.set_wait_ms(5000);
    Wire::PollReply report;
    while (report.tasks_size() == 0 || report.tasks(0).state() != Wire::TaskReport::DONE) {
        grpc::ClientContext context;
        poll.set_seen_version(report.version());
        REQUIRE(stub->Poll(&context, poll, &report).ok());
    }
    REQUIRE(report.tasks(0).result() == "whole");
    REQUIRE(report.tasks(0).result_digest() == fnv1aDigest("k/0/1/0/whole"));
    REQUIRE(report.tasks(0).accelerators() == 3);

    poll.set_worker("absent");
    {
        grpc::ClientContext context;
        REQUIRE(stub->Poll(&context, poll, &report).error_code() == grpc::StatusCode::NOT_FOUND);
    }
    poll.set_worker("w1");
    poll.set_seen_version(report.version());
    grpc::ClientContext pending;
    Wire::PollReply never;
    grpc::CompletionQueue queue;
    const auto call = stub->AsyncPoll(&pending, poll, &queue);
    grpc::Status status;
    call->Finish(&never, &status, nullptr);
    const auto before = std::chrono::steady_clock::now();
    service.reset();
    REQUIRE(std::chrono::steady_clock::now() - before < std::chrono::seconds(3));
    queue.Shutdown();
    void *tag = nullptr;
    bool ok = false;
    while (queue.Next(&tag, &ok)) { }
}

} // namespace PrimroseBridge::Standin
