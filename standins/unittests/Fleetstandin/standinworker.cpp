#include "primrosebridge/Fleetstandin/standinworker.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <thread>

namespace PrimroseBridge {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

static constexpr auto longRun = Milliseconds(60'000);
// Longer than the longest delay of a late call.
static constexpr auto lateCallTimeout = Milliseconds(7'500);

static const Json startOfFirstRun{{"task", "aa.0.0.0"}, {"runId", 1}, {"spec", ""}, {"deadlineMs", 100'000}, {"fence", 1}};
static const Json stopOfFirstRun{{"task", "aa.0.0.0"}, {"runId", 1}, {"fence", 1}};
static const Json reportRequest{{"lastSeen", 0}, {"deadlineMs", 100'000}, {"waitMs", 2000}, {"fence", 1}};

// Returns the status of the answer, or 0 if the connection was closed without one.
static int callWorker(const StandinWorker &worker, const std::string &path, const Json &body)
{
    Poco::Net::HTTPClientSession session(Poco::Net::SocketAddress(Json::parse(worker.entry("ready")).at("addr").get<std::string>()));
    Poco::Net::HTTPRequest request("POST", path, Poco::Net::HTTPMessage::HTTP_1_1);
    const auto text = body.dump();
    request.setContentLength(static_cast<std::streamsize>(text.size()));
    try {
        session.sendRequest(request) << text;
        Poco::Net::HTTPResponse response;
        std::string answer;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer);
        return response.getStatus();
    } catch (const Poco::Exception &) {
        return 0;
    }
}

template<class Condition>
static bool waitUntil(Condition condition, Milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(Milliseconds(10));
    }
    return condition();
}

static void setFault(StandinWorker &worker, WorkerFault fault)
{
    worker.setFaults([fault](WorkerCall) { return fault; });
}

// Guards against a stand-in that hides what the platform does: a call that was meant for a worker's former process is executed by the next one.
TEST_CASE("a late call is executed by the process that runs under the identifier when its time comes")
{
    struct Sent {
        std::unique_ptr<StandinWorker> m_worker;
        std::string m_path;
    };
    std::vector<Sent> sent;
    for (const auto fault : {WorkerFault::ExecutedLate, WorkerFault::ExecutedSecondsLate}) {
        for (const bool closesConnections : {false, true}) {
            for (const auto &[path, body] :
                 std::map<std::string, Json>{{"/run-start", startOfFirstRun}, {"/run-stop", stopOfFirstRun}, {"/hold", reportRequest}}) {
                sent.push_back(Sent{.m_worker = std::make_unique<StandinWorker>("w1", "r1", longRun, longRun), .m_path = path});
                auto &worker = *sent.back().m_worker;
                setFault(worker, fault);
                REQUIRE(callWorker(worker, path, body) == 0);
                worker.restart(closesConnections);
                setFault(worker, WorkerFault::None);
                REQUIRE(worker.runHistory().empty());
                REQUIRE(worker.leaseEndMs() == 0);
            }
        }
    }
    for (const auto &entry : sent) {
        const auto &path = entry.m_path;
        const auto *worker = entry.m_worker.get();
        CAPTURE(path);
        if (path == "/run-start") {
            REQUIRE(waitUntil([&] { return worker->runHistory().size() == 1; }, lateCallTimeout));
            CHECK(worker->runHistory().front().m_incarnation == 2);
            CHECK(worker->leaseEndMs() > 0);
        } else if (path == "/run-stop") {
            // The process has seen the fence of the stop, and refuses the run.
            REQUIRE(waitUntil([&] { return callWorker(*worker, "/hold", Json{{"fence", 0}}) == 409; }, lateCallTimeout));
            CHECK(callWorker(*worker, "/run-start", startOfFirstRun) == 409);
        } else {
            CHECK(waitUntil([&] { return worker->leaseEndMs() > 0; }, lateCallTimeout));
        }
    }
}

// Guards against a run on a worker that is down, which would count as a second run of its task.
TEST_CASE("a late call is not executed while the worker is exited")
{
    StandinWorker worker("w1", "r1", longRun);
    setFault(worker, WorkerFault::ExecutedLate);
    REQUIRE(callWorker(worker, "/run-start", startOfFirstRun) == 0);
    setFault(worker, WorkerFault::ExecutedOnRequest);
    REQUIRE(callWorker(worker, "/run-start", startOfFirstRun) == 0);
    worker.exit();
    worker.executeHeldCalls();
    std::this_thread::sleep_for(Milliseconds(1000));
    worker.restart();
    std::this_thread::sleep_for(Milliseconds(200));
    CHECK(worker.runHistory().empty());
}

// Guards against tests and soaks that end seconds late because a worker waits for its late calls.
TEST_CASE("a worker that stops drops its late calls at once")
{
    auto worker = std::make_unique<StandinWorker>("w1", "r1", longRun);
    setFault(*worker, WorkerFault::ExecutedSecondsLate);
    REQUIRE(callWorker(*worker, "/run-start", startOfFirstRun) == 0);
    const auto before = std::chrono::steady_clock::now();
    worker.reset();
    CHECK(std::chrono::steady_clock::now() - before < Milliseconds(800));
}

// Guards against a soak that takes a start for an ordinary one although it was meant for the former process, or the other way round.
TEST_CASE("the history tells which starts were meant for a former process and whether the process had been polled before")
{
    StandinWorker worker("w1", "r1", longRun);
    const auto startOf = [](const std::string &task, int run) {
        auto body = startOfFirstRun;
        body["task"] = task;
        body["runId"] = run;
        return body;
    };
    REQUIRE(callWorker(worker, "/run-start", startOf("first.0.0.0", 1)) == 200);
    setFault(worker, WorkerFault::ExecutedOnRequest);
    REQUIRE(callWorker(worker, "/run-start", startOf("late.0.0.0", 1)) == 0);
    REQUIRE(callWorker(worker, "/hold", Json{{"fence", 1}}) == 0);
    CHECK(worker.heldCallCount() == 2);
    CHECK(worker.executeHeldCalls().size() == 2);
    REQUIRE(callWorker(worker, "/run-start", startOf("former.0.0.0", 1)) == 0);
    worker.restart(true);
    worker.executeHeldCalls();
    REQUIRE(callWorker(worker, "/run-start", startOf("formerAfterPoll.0.0.0", 1)) == 0);
    worker.restart(true);
    setFault(worker, WorkerFault::None);
    REQUIRE(callWorker(worker, "/hold", Json{{"fence", 1}}) == 200);
    worker.executeHeldCalls();
    REQUIRE(callWorker(worker, "/run-start", startOf("afterPoll.0.0.0", 1)) == 200);
    std::vector<std::tuple<std::string, bool, bool>> found;
    for (const auto &run : worker.runHistory()) {
        found.emplace_back(run.m_task, run.m_startedByFormerCall, run.m_polledBefore);
    }
    CHECK(found
          == std::vector<std::tuple<std::string, bool, bool>>{{"first.0.0.0", false, false},
                                                              {"late.0.0.0", false, false},
                                                              {"former.0.0.0", true, false},
                                                              {"formerAfterPoll.0.0.0", true, true},
                                                              {"afterPoll.0.0.0", false, true}});
}

} // namespace PrimroseBridge
