#include "fakeprocess.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static const std::string job = R"({"queue":"scans","steps":[{"count":1,"gpu":1}]})";
static const std::string answer = R"({"decision":"starts","rank":"normal","reason":"no_room","waitingTasks":2,"estimatedWaitMs":1500,
    "places":[{"step":0,"task":1,"worker":"w7","zone":"z1","rack":"r3","estimatedRunMs":2500}],
    "victims":[{"task":"j1.0.0.4","worker":"w8"}],"configuration":12,"owner":"vm1"})";
static const std::map<std::string, std::string> server = {{"server", "10.0.0.1:7015"}};

// Guards against a preview that is sent to another path, that needs a token, or that leaves out a part of the answer.
TEST_CASE("preview sends the file and prints the places, the victims and the wait")
{
    FakeProcess process;
    process.m_files["job.json"] = job;
    process.setResponses({ServerResponse{200, answer}, ServerResponse{200, answer}});
    const auto command = parseCommand({{"preview", "job.json"}, server}, "");
    REQUIRE(command.ok());
    CHECK(runCommand(command.value(), process.environment()) == ExitCode::Done);
    CHECK(process.m_calls.at(0) == ServerCall{"POST", "/placement-preview", job, std::nullopt, true});
    CHECK_THAT(process.m_stdoutText, Catch::Contains("decision           starts\n") && Catch::Contains("estimated wait ms  1500\n"));
    CHECK_THAT(process.m_stdoutText, Catch::Contains("0     1     w7      z1    r3    2500\n") && Catch::Contains("j1.0.0.4  w8\n"));
    process.m_stdoutText.clear();
    CHECK(runSubcommand(process, {"preview", "job.json"}, {{"server", "10.0.0.1:7015"}, {"output", "json"}}) == ExitCode::Done);
    CHECK_THAT(process.m_stdoutText, Catch::Contains("\"estimatedWaitMs\": 1500"));
}

// Guards against an answer without a place, which a busy fleet gives, that looks like a fault.
TEST_CASE("preview prints a job that waits on a fleet without capacity")
{
    FakeProcess process;
    process.m_files["-"] = job;
    process.setResponses({ServerResponse{200, R"({"decision":"waits","rank":"normal","reason":"no_eligible_worker","waitingTasks":1,"estimatedWaitMs":null,
        "places":[],"victims":[],"configuration":12,"owner":"vm1"})"}});
    CHECK(runSubcommand(process, {"preview", "-"}, server) == ExitCode::Done);
    CHECK_THAT(process.m_stdoutText, Catch::Contains("estimated wait ms  -\n") && Catch::Contains("nothing starts now\n\nnothing is stopped\n"));
}

// Guards against wrong input whose fault the operator has to guess, and against calls that the server is certain to refuse.
TEST_CASE("preview names what is wrong with its input")
{
    FakeProcess process;
    process.m_files = {{"list", "[1]"}, {"text", "{\"queue\":"}, {"phases", R"({"queue":"scans","phases":[]})"}, {"queueless", R"({"steps":[]})"}};
    const std::vector<std::pair<std::string, std::string>> faults = {{"list", "list holds no JSON object"},
                                                                     {"text", "text is not JSON: at byte 10"},
                                                                     {"phases", "phases lacks 'steps'"},
                                                                     {"queueless", "queueless lacks 'queue'"},
                                                                     {"absent", "file 'absent' cannot be opened"}};
    for (const auto &[file, message] : faults) {
        process.m_stderrText.clear();
        CHECK(runSubcommand(process, {"preview", file}, server) == ExitCode::InvalidArgument);
        CHECK_THAT(process.m_stderrText, Catch::Contains("error: " + message));
    }
    CHECK(process.m_calls.empty());
    // The default server is the address of callers, which does not serve previews.
    CHECK(parseCommand({{"preview", "f"}, {}}, "").error().message() == "'preview' needs --server");
}

// Guards against exit codes that differ from those of other commands, and against malformed answers that end the process.
TEST_CASE("a preview that fails prints the server's reason")
{
    FakeProcess process;
    process.m_files["job.json"] = job;
    process.setResponses({ServerResponse{400, R"({"error":{"kind":"invalid_argument","message":"'steps[0].gpu' is not a number","remedy":"r"}})"},
                          ServerResponse{404, R"({"error":{"kind":"not_found","message":"no such queue","remedy":"r"}})"},
                          ServerResponse{429, R"({"error":{"kind":"queue_full","message":"one a second","remedy":"r","retryAfterMs":1000}})"},
                          ServerResponse{503, R"({"error":{"kind":"unavailable","message":"no owner","remedy":"ask again"}})"},
                          ServerResponse{200, "{}"},
                          ServerResponse{200, R"({"decision":"starts","places":[1],"victims":[]})"}});
    std::vector<ExitCode> codes;
    codes.reserve(process.m_responses.size());
    for (int i = 0; i < 6; ++i) {
        codes.push_back(runSubcommand(process, {"preview", "job.json"}, server));
    }
    CHECK(codes
          == std::vector<ExitCode>{
              ExitCode::InvalidArgument, ExitCode::NotFound, ExitCode::Unavailable, ExitCode::Unavailable, ExitCode::Internal, ExitCode::Internal});
    CHECK_THAT(process.m_stderrText, Catch::Contains("'steps[0].gpu' is not a number") && Catch::Contains("retry after 1000 ms"));
}
