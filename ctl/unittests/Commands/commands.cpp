#include "fakeprocess.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static const std::string pendingBody = R"({"key":"g1","outcome":"pending","result":"","reason":"","attempt":1})";
static const std::string doneBody = R"({"key":"g1","outcome":"done","result":"no crack","reason":"","attempt":1})";
static const std::string notFoundBody = R"({"error":{"kind":"not_found","message":"request g1 is not known","remedy":"submit it"}})";
static const Error unreachable(ErrorKind::Unavailable, "server cannot be reached", "start it");
static const Error lostAnswer(ErrorKind::DeadlineExceeded, "no complete answer", "ask again");

TEST_CASE("submit sends the request and prints the answer")
{
    FakeProcess process;
    process.m_files["-"] = "tile 17";
    process.willAnswer({ServerAnswer{202, pendingBody}});
    CHECK(run(process, {"submit"}, {{"class", "scan"}, {"payload_file", "-"}, {"zone", "z1"}}) == ExitCode::Done);
    CHECK(process.m_calls.at(0).m_method == "POST");
    CHECK(process.m_calls.at(0).m_path == "/v1/requests?wait_ms=0");
    CHECK(process.m_calls.at(0).m_body == R"({"key":"ctl-0001","class":"scan","zone":"z1","payload":"tile 17"})");
    CHECK_THAT(process.m_errors, Catch::Contains("ctl-0001"));
    CHECK_THAT(process.m_output, Catch::Contains("outcome: pending"));
}

// A synchronous request is lost with the owner of its zone; the caller repeats it under the same key.
TEST_CASE("submit --wait survives unreachable servers and submits a lost request again")
{
    FakeProcess process;
    process.willAnswer({unreachable,
                        ServerAnswer{202, pendingBody},
                        lostAnswer,
                        ServerAnswer{404, notFoundBody},
                        ServerAnswer{202, pendingBody},
                        ServerAnswer{200, doneBody}});
    CHECK(run(process, {"submit"}, {{"class", "scan"}, {"key", "g1"}, {"wait", "true"}}) == ExitCode::Done);
    std::string methods;
    for (const auto &call : process.m_calls) {
        methods += call.m_method + " ";
    }
    CHECK(methods == "POST POST GET GET POST GET ");
    CHECK(process.m_calls.at(4).m_body == process.m_calls.at(0).m_body);
    CHECK(process.m_elapsed >= std::chrono::seconds(5)); // One pause between each two calls.
}

TEST_CASE("wait gives up at its timeout with the exit code for an undecided request")
{
    FakeProcess process;
    for (int i = 0; i < 20; ++i) {
        process.m_answers.push_back(ServerAnswer{200, pendingBody});
    }
    CHECK(run(process, {"wait", "g1"}, {{"timeout", "5"}}) == ExitCode::Undecided);
    CHECK(process.m_elapsed <= std::chrono::seconds(5));
    CHECK_THAT(process.m_errors, Catch::Contains("primrosectl wait g1"));
}

TEST_CASE("wait reports the last error if no server ever answers")
{
    FakeProcess process;
    CHECK(run(process, {"wait", "g1"}, {{"timeout", "3"}}) == ExitCode::Unavailable);
}

// A lost answer to a change must not be followed by a second change on another server.
TEST_CASE("the next server is asked only if the call is safe to repeat")
{
    FakeProcess process;
    process.willAnswer({lostAnswer, ServerAnswer{200, doneBody}});
    CHECK(run(process, {"get", "g1"}, {{"server", "10.0.0.1:80,10.0.0.2:80"}}) == ExitCode::Done);
    CHECK(process.m_servers == std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"});

    const ServerCall change{"PUT", "/v1/configuration", "{}", 1, false};
    FakeProcess other;
    other.willAnswer({lostAnswer, ServerAnswer{200, "{}"}});
    CHECK(callServers({"a", "b"}, change, Duration(1000), other.environment().m_send).error().kind() == ErrorKind::DeadlineExceeded);
    CHECK(other.m_servers == std::vector<std::string>{"a"});
    other.willAnswer({unreachable, ServerAnswer{200, "{}"}});
    CHECK(callServers({"a", "b"}, change, Duration(1000), other.environment().m_send).ok());
}

// An entry VM that has no configuration yet must not fail the caller while another one serves.
TEST_CASE("a server that is not available is passed over if the call is safe to repeat")
{
    const ServerAnswer unavailable{503, R"({"error":{"kind":"unavailable","message":"this VM has no configuration yet","remedy":"wait"}})"};
    const std::map<std::string, std::string> servers = {{"server", "10.0.0.1:80,10.0.0.2:80"}};
    FakeProcess process;
    process.willAnswer({unavailable, ServerAnswer{200, doneBody}});
    CHECK(run(process, {"get", "g1"}, servers) == ExitCode::Done);
    process.willAnswer({unavailable, unreachable});
    CHECK(run(process, {"get", "g1"}, servers) == ExitCode::Unavailable);
    CHECK_THAT(process.m_errors, Catch::Contains("no configuration yet"));
}

// "Not reached" after a lost answer would say that nothing happened, although the call may have taken effect.
TEST_CASE("a lost answer is reported even if the next server cannot be reached")
{
    FakeProcess process;
    process.willAnswer({lostAnswer, unreachable});
    CHECK(run(process, {"get", "g1"}, {{"server", "10.0.0.1:80,10.0.0.2:80"}}) == ExitCode::Undecided);
}

TEST_CASE("server errors give their exit code, message and remedy")
{
    FakeProcess process;
    process.willAnswer({ServerAnswer{404, notFoundBody},
                        ServerAnswer{429, R"({"kind":"queue_full","message":"m","remedy":"r","retryAfterMs":1200})"},
                        ServerAnswer{403, "<html>"}});
    CHECK(run(process, {"get", "g1"}) == ExitCode::NotFound);
    CHECK(process.m_errors == "error: request g1 is not known\nremedy: submit it\n");
    CHECK(run(process, {"get", "g1"}) == ExitCode::Unavailable);
    CHECK_THAT(process.m_errors, Catch::Contains("retry after 1200 ms"));
    CHECK(run(process, {"explain", "g1"}) == ExitCode::NotPermitted);
}

TEST_CASE("answers of another form than expected give an error instead of an exception")
{
    for (const auto *body : {"", "[]", "{}", "null", "{\"outcome\":5}", "{\"events\":[1],\"workers\":7,\"versions\":{\"a\":1},\"version\":\"x\"}"}) {
        for (const auto &words : std::vector<std::vector<std::string>>{{"get", "g1"}, {"fleet"}, {"timeline"}, {"config", "show"}}) {
            FakeProcess process;
            process.willAnswer({ServerAnswer{200, body}});
            INFO(words[0] << " " << body);
            CHECK(run(process, words) == ExitCode::Internal);
        }
    }
}

TEST_CASE("cancelling a request that has ended is a conflict")
{
    FakeProcess process;
    process.willAnswer({ServerAnswer{200, doneBody}, ServerAnswer{202, pendingBody}});
    CHECK(run(process, {"cancel", "g1"}) == ExitCode::Conflict);
    CHECK(run(process, {"cancel", "g1"}) == ExitCode::Done);
    CHECK(process.m_calls.at(0).m_method == "DELETE");
}

TEST_CASE("the log level is set on every server")
{
    FakeProcess process;
    process.willAnswer({unreachable, ServerAnswer{200, "{}"}});
    CHECK(run(process, {"log-level", "debug"}, {{"server", "10.0.0.1:80,10.0.0.2:80"}}) == ExitCode::Unavailable);
    CHECK(process.m_calls.at(1).m_body == R"({"level":"debug"})");
    CHECK_THAT(process.m_output, Catch::Contains("10.0.0.2:80") && !Catch::Contains("10.0.0.1:80"));
}
