#include "fakeprocess.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static const std::string pendingBody = R"({"key":"g1","outcome":"pending","result":"","reason":"","attempt":1})";
static const std::string doneBody = R"({"key":"g1","outcome":"done","result":"no crack","reason":"","attempt":1})";
static const std::string notFoundBody = R"({"error":{"kind":"not_found","message":"request g1 is not known","remedy":"submit it"}})";
static const Error unreachable(ErrorKind::Unavailable, "server cannot be reached", "start it");
static const Error lostResponse(ErrorKind::DeadlineExceeded, "no complete response", "query the request again");

TEST_CASE("submit sends the request and prints the response")
{
    FakeProcess process;
    process.m_files["-"] = "tile 17";
    process.setResponses({ServerResponse{202, pendingBody}});
    CHECK(runSubcommand(process, {"submit"}, {{"class", "scan"}, {"payload_file", "-"}, {"zone", "z1"}}) == ExitCode::Done);
    CHECK(process.m_calls.at(0).m_method == "POST");
    CHECK(process.m_calls.at(0).m_path == "/v1/requests?wait_ms=0");
    CHECK(process.m_calls.at(0).m_body == R"({"key":"ctl-0001","class":"scan","zone":"z1","payload":"tile 17"})");
    CHECK_THAT(process.m_stderrText, Catch::Contains("ctl-0001"));
    CHECK_THAT(process.m_stdoutText, Catch::Contains("outcome: pending"));
}

// A request that is not durable is lost if the owner of its zone fails; the client must submit it again with the same key.
TEST_CASE("submit --wait retries unreachable servers and submits a lost request again")
{
    FakeProcess process;
    process.setResponses({unreachable,
                          ServerResponse{202, pendingBody},
                          lostResponse,
                          ServerResponse{404, notFoundBody},
                          ServerResponse{202, pendingBody},
                          ServerResponse{200, doneBody}});
    CHECK(runSubcommand(process, {"submit"}, {{"class", "scan"}, {"key", "g1"}, {"wait", "true"}}) == ExitCode::Done);
    std::string methods;
    for (const auto &call : process.m_calls) {
        methods += call.m_method + " ";
    }
    CHECK(methods == "POST POST GET GET POST GET ");
    CHECK(process.m_calls.at(4).m_body == process.m_calls.at(0).m_body);
    CHECK(process.m_elapsedTime >= std::chrono::seconds(5)); // The command sleeps between consecutive calls.
}

TEST_CASE("wait ends at its timeout with the exit code for a pending request")
{
    FakeProcess process;
    for (int i = 0; i < 20; ++i) {
        process.m_responses.push_back(ServerResponse{200, pendingBody});
    }
    CHECK(runSubcommand(process, {"wait", "g1"}, {{"timeout", "5"}}) == ExitCode::Undecided);
    CHECK(process.m_elapsedTime <= std::chrono::seconds(5));
    CHECK_THAT(process.m_stderrText, Catch::Contains("primrosectl wait g1"));
}

TEST_CASE("wait reports the last error if no server ever responds")
{
    FakeProcess process;
    CHECK(runSubcommand(process, {"wait", "g1"}, {{"timeout", "3"}}) == ExitCode::Unavailable);
}

// If the response to a non-idempotent call is lost, sending the call to another server could apply the change twice.
TEST_CASE("after a lost response, the next server is called only if the call is idempotent")
{
    FakeProcess process;
    process.setResponses({lostResponse, ServerResponse{200, doneBody}});
    CHECK(runSubcommand(process, {"get", "g1"}, {{"server", "10.0.0.1:80,10.0.0.2:80"}}) == ExitCode::Done);
    CHECK(process.m_calledServers == std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"});

    const ServerCall change{"PUT", "/v1/configuration", "{}", 1, false};
    FakeProcess secondProcess;
    secondProcess.setResponses({lostResponse, ServerResponse{200, "{}"}});
    CHECK(callWithFailover({"a", "b"}, change, Duration(1000), secondProcess.environment().m_send).error().kind() == ErrorKind::DeadlineExceeded);
    CHECK(secondProcess.m_calledServers == std::vector<std::string>{"a"});
    secondProcess.setResponses({unreachable, ServerResponse{200, "{}"}});
    CHECK(callWithFailover({"a", "b"}, change, Duration(1000), secondProcess.environment().m_send).ok());
}

// An entry VM without a configuration must not make the command fail while another one can serve the call.
TEST_CASE("a server that returns status 503 is skipped if the call is idempotent")
{
    const ServerResponse unavailable{503, R"({"error":{"kind":"unavailable","message":"this VM has no configuration yet","remedy":"wait"}})"};
    const std::map<std::string, std::string> servers = {{"server", "10.0.0.1:80,10.0.0.2:80"}};
    FakeProcess process;
    process.setResponses({unavailable, ServerResponse{200, doneBody}});
    CHECK(runSubcommand(process, {"get", "g1"}, servers) == ExitCode::Done);
    process.setResponses({unavailable, unreachable});
    CHECK(runSubcommand(process, {"get", "g1"}, servers) == ExitCode::Unavailable);
    CHECK_THAT(process.m_stderrText, Catch::Contains("no configuration yet"));
}

// An "unreachable" error after a lost response would suggest that nothing happened, although the call may have taken effect.
TEST_CASE("a lost response is reported even if the next server cannot be reached")
{
    FakeProcess process;
    process.setResponses({lostResponse, unreachable});
    CHECK(runSubcommand(process, {"get", "g1"}, {{"server", "10.0.0.1:80,10.0.0.2:80"}}) == ExitCode::Undecided);
}

TEST_CASE("server errors are printed with message and remedy and determine the exit code")
{
    FakeProcess process;
    process.setResponses({ServerResponse{404, notFoundBody},
                          ServerResponse{429, R"({"kind":"queue_full","message":"m","remedy":"r","retryAfterMs":1200})"},
                          ServerResponse{403, "<html>"}});
    CHECK(runSubcommand(process, {"get", "g1"}) == ExitCode::NotFound);
    CHECK(process.m_stderrText == "error: request g1 is not known\nremedy: submit it\n");
    CHECK(runSubcommand(process, {"get", "g1"}) == ExitCode::Unavailable);
    CHECK_THAT(process.m_stderrText, Catch::Contains("retry after 1200 ms"));
    CHECK(runSubcommand(process, {"explain", "g1"}) == ExitCode::NotPermitted);
}

TEST_CASE("malformed responses cause an error instead of an exception")
{
    for (const auto *body : {"", "[]", "{}", "null", "{\"outcome\":5}", "{\"events\":[1],\"workers\":7,\"versions\":{\"a\":1},\"version\":\"x\"}"}) {
        for (const auto &words : std::vector<std::vector<std::string>>{{"get", "g1"}, {"fleet"}, {"timeline"}, {"config", "show"}}) {
            FakeProcess process;
            process.setResponses({ServerResponse{200, body}});
            INFO(words[0] << " " << body);
            CHECK(runSubcommand(process, words) == ExitCode::Internal);
        }
    }
}

TEST_CASE("cancelling a request that has ended returns the exit code for a conflict")
{
    FakeProcess process;
    process.setResponses({ServerResponse{200, doneBody}, ServerResponse{202, pendingBody}});
    CHECK(runSubcommand(process, {"cancel", "g1"}) == ExitCode::Conflict);
    CHECK(runSubcommand(process, {"cancel", "g1"}) == ExitCode::Done);
    CHECK(process.m_calls.at(0).m_method == "DELETE");
}

TEST_CASE("the log level is set on every server")
{
    FakeProcess process;
    process.setResponses({unreachable, ServerResponse{200, "{}"}});
    CHECK(runSubcommand(process, {"log-level", "debug"}, {{"server", "10.0.0.1:80,10.0.0.2:80"}}) == ExitCode::Unavailable);
    CHECK(process.m_calls.at(1).m_body == R"({"level":"debug"})");
    CHECK_THAT(process.m_stdoutText, Catch::Contains("10.0.0.2:80") && !Catch::Contains("10.0.0.1:80"));
}
