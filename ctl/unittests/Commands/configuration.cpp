#include "fakeprocess.h"

#include "primrosebridge/Commands/difference.h"
#include "primrosebridge/Config/reader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static std::string exampleText()
{
    const std::ifstream file(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/zwolle.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Quotes a text without control characters other than line ends.
static std::string jsonText(const std::string &text)
{
    std::string quoted = "\"";
    for (const char character : text) {
        if (character == '\n') {
            quoted += "\\n";
            continue;
        }
        quoted += character == '"' || character == '\\' ? std::string("\\") + character : std::string(1, character);
    }
    return quoted + "\"";
}

static std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

static ServerAnswer storedAnswer(int version, const std::string &text)
{
    return {200, "{\"version\":" + std::to_string(version) + ",\"document\":" + jsonText(text) + "}"};
}

TEST_CASE("config check accepts the example and reports each fault of a broken one")
{
    FakeProcess process;
    process.m_files = {{"good", exampleText()}, {"bad", replaced(exampleText(), "\"weights\"", "\"wieghts\"")}};
    CHECK(run(process, {"config", "check", "good"}) == ExitCode::Done);
    CHECK(process.m_output == "good is valid: 52 workers, 4 organisations, 3 job classes, 6 guarantees\n");
    CHECK(run(process, {"config", "check", "bad"}) == ExitCode::InvalidArgument);
    CHECK_THAT(process.m_errors, Catch::Contains("/wieghts: is not a known field; write weights"));
    CHECK(run(process, {"config", "check", "absent"}) == ExitCode::InvalidArgument);
    CHECK(process.m_calls.empty());
}

// The comments explain the operators' choices, so the text is sent as it is.
TEST_CASE("config apply sends the file unchanged and names the version that it replaces")
{
    FakeProcess process;
    process.m_files["f"] = exampleText();
    process.willAnswer({storedAnswer(41, exampleText()), ServerAnswer{200, "{\"version\":42}"}});
    CHECK(run(process, {"config", "apply", "f"}) == ExitCode::Done);
    CHECK(process.m_calls.at(1) == ServerCall{"PUT", "/v1/configuration", exampleText(), 41, false});
    CHECK(process.m_output == "version 42 replaces version 41\n");
}

TEST_CASE("config apply --if_version loses against another operator with a conflict")
{
    FakeProcess process;
    process.m_files["f"] = exampleText();
    process.willAnswer({ServerAnswer{409, R"({"error":{"kind":"conflict","message":"version 43 of operator b is in force","remedy":"look at it"}})"}});
    CHECK(run(process, {"config", "apply", "f"}, {{"if_version", "42"}}) == ExitCode::Conflict);
    CHECK(process.m_calls.size() == 1);
    CHECK(process.m_calls.at(0).m_ifMatch == 42);
    CHECK_THAT(process.m_errors, Catch::Contains("version 43"));
}

// Without the hint, an operator of an empty store would find no way to apply the first document.
TEST_CASE("config apply names the option for the first configuration if no version is in force")
{
    FakeProcess process;
    process.m_files["f"] = exampleText();
    process.willAnswer({ServerAnswer{503, R"({"error":{"kind":"unavailable","message":"this VM has no configuration yet","remedy":"wait"}})"}});
    CHECK(run(process, {"config", "apply", "f"}) == ExitCode::Unavailable);
    CHECK_THAT(process.m_errors, Catch::Contains("--if_version=0"));
}

TEST_CASE("config apply sends nothing if the file has faults")
{
    FakeProcess process;
    process.m_files["f"] = "{}";
    CHECK(run(process, {"config", "apply", "f"}) == ExitCode::InvalidArgument);
    CHECK(process.m_calls.empty());
    CHECK_THAT(process.m_errors, Catch::Contains("/operatorTokenSha256"));
}

TEST_CASE("config rollback puts the old document into force as a new version")
{
    FakeProcess process;
    process.willAnswer({storedAnswer(40, "old"), storedAnswer(44, "new"), ServerAnswer{200, "{\"version\":45}"}});
    CHECK(run(process, {"config", "rollback", "40"}) == ExitCode::Done);
    CHECK(process.m_calls.at(0).m_path == "/v1/configuration/history/40");
    CHECK(process.m_calls.at(2) == ServerCall{"PUT", "/v1/configuration", "old", 44, false});
}

TEST_CASE("config show prints the document, and with defaults one that can be read again")
{
    FakeProcess process;
    process.willAnswer({storedAnswer(7, exampleText()), storedAnswer(7, exampleText())});
    CHECK(run(process, {"config", "show"}) == ExitCode::Done);
    CHECK(process.m_output == exampleText());
    process.m_output.clear();
    CHECK(run(process, {"config", "show"}, {{"defaults", "true"}}) == ExitCode::Done);
    const auto read = readConfiguration(process.m_output);
    REQUIRE(std::holds_alternative<Configuration>(read));
    CHECK(std::get<Configuration>(read).m_version == 7);
}

// Comparing by index would report every worker behind a removed one.
TEST_CASE("config diff names fields by identifier and ignores comments and order of fields")
{
    auto changed = replaced(exampleText(), "\"queueLimit\": 2000", "\"queueLimit\": 2100");
    const std::string worker
        = R"(    {"id": "kampen-12", "zone": "kampen", "rack": "kampen-rack-2", "cores": 32, "memoryMb": 131072, "accelerators": 8, "address": "127.0.0.1:7104"})";
    changed = replaced(changed, ",\n" + worker, "");
    FakeProcess process;
    process.m_files["f"] = changed;
    process.willAnswer({storedAnswer(7, exampleText())});
    CHECK(run(process, {"config", "diff", "f"}) == ExitCode::Done);
    CHECK_THAT(process.m_output, Catch::StartsWith("~ /organisations/gemeente/queueLimit: 2000 -> 2100\n- /workers/kampen-12/accelerators: 8\n"));
    CHECK(std::count(process.m_output.begin(), process.m_output.end(), '\n') == 8);
    process.m_output.clear();
    process.m_files["f"] = exampleText() + "// a comment\n";
    process.willAnswer({storedAnswer(7, exampleText())});
    CHECK(run(process, {"config", "diff", "f"}) == ExitCode::Done);
    CHECK(process.m_output == "no differences\n");
}
