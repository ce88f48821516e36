#include "fakeprocess.h"

#include "primrosebridge/Commands/difference.h"
#include "primrosebridge/Config/reader.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static std::string readExampleText()
{
    const std::ifstream file(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/zwolle.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Formats a text as a JSON string. The text must not contain control characters other than line feeds.
static std::string quoteJson(const std::string &text)
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

static std::string replaceOnce(std::string text, const std::string &from, const std::string &to)
{
    const auto position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

static ServerResponse storedDocumentResponse(int version, const std::string &text)
{
    return {200, "{\"version\":" + std::to_string(version) + ",\"document\":" + quoteJson(text) + "}"};
}

TEST_CASE("config check accepts the example and reports each fault of a broken one")
{
    FakeProcess process;
    process.m_files = {{"good", readExampleText()}, {"bad", replaceOnce(readExampleText(), "\"weights\"", "\"wieghts\"")}};
    CHECK(runSubcommand(process, {"config", "check", "good"}) == ExitCode::Done);
    CHECK(process.m_stdoutText == "good is valid: 52 workers, 4 organisations, 3 job classes, 6 guarantees\n");
    CHECK(runSubcommand(process, {"config", "check", "bad"}) == ExitCode::InvalidArgument);
    CHECK_THAT(process.m_stderrText, Catch::Contains("/wieghts: is not a known field; write weights"));
    CHECK(runSubcommand(process, {"config", "check", "absent"}) == ExitCode::InvalidArgument);
    CHECK(process.m_calls.empty());
}

// Comments in the file record the operators' reasons, so a reformatted document would lose them.
TEST_CASE("config apply sends the file unchanged with the version that it replaces")
{
    FakeProcess process;
    process.m_files["f"] = readExampleText();
    process.setResponses({storedDocumentResponse(41, readExampleText()), ServerResponse{200, "{\"version\":42}"}});
    CHECK(runSubcommand(process, {"config", "apply", "f"}) == ExitCode::Done);
    CHECK(process.m_calls.at(1) == ServerCall{"PUT", "/v1/configuration", readExampleText(), 41, false});
    CHECK(process.m_stdoutText == "version 42 replaces version 41\n");
}

TEST_CASE("config apply --if_version returns a conflict if another operator has applied a version")
{
    FakeProcess process;
    process.m_files["f"] = readExampleText();
    process.setResponses({ServerResponse{409, R"({"error":{"kind":"conflict","message":"version 43 of operator b is in force","remedy":"look at it"}})"}});
    CHECK(runSubcommand(process, {"config", "apply", "f"}, {{"if_version", "42"}}) == ExitCode::Conflict);
    CHECK(process.m_calls.size() == 1);
    CHECK(process.m_calls.at(0).m_ifMatch == 42);
    CHECK_THAT(process.m_stderrText, Catch::Contains("version 43"));
}

// Without this hint, an operator would not know how to apply the first configuration to an empty store.
TEST_CASE("config apply suggests --if_version=0 if no version is in force")
{
    FakeProcess process;
    process.m_files["f"] = readExampleText();
    process.setResponses({ServerResponse{503, R"({"error":{"kind":"unavailable","message":"this VM has no configuration yet","remedy":"wait"}})"}});
    CHECK(runSubcommand(process, {"config", "apply", "f"}) == ExitCode::Unavailable);
    CHECK_THAT(process.m_stderrText, Catch::Contains("--if_version=0"));
}

TEST_CASE("config apply sends nothing if the file has faults")
{
    FakeProcess process;
    process.m_files["f"] = "{}";
    CHECK(runSubcommand(process, {"config", "apply", "f"}) == ExitCode::InvalidArgument);
    CHECK(process.m_calls.empty());
    CHECK_THAT(process.m_stderrText, Catch::Contains("/operatorTokenSha256"));
}

TEST_CASE("config rollback applies the old document as a new version")
{
    FakeProcess process;
    process.setResponses({storedDocumentResponse(40, "old"), storedDocumentResponse(44, "new"), ServerResponse{200, "{\"version\":45}"}});
    CHECK(runSubcommand(process, {"config", "rollback", "40"}) == ExitCode::Done);
    CHECK(process.m_calls.at(0).m_path == "/v1/configuration/history/40");
    CHECK(process.m_calls.at(2) == ServerCall{"PUT", "/v1/configuration", "old", 44, false});
}

TEST_CASE("config show prints the document, and with defaults one that can be read again")
{
    FakeProcess process;
    process.setResponses({storedDocumentResponse(7, readExampleText()), storedDocumentResponse(7, readExampleText())});
    CHECK(runSubcommand(process, {"config", "show"}) == ExitCode::Done);
    CHECK(process.m_stdoutText == readExampleText());
    process.m_stdoutText.clear();
    CHECK(runSubcommand(process, {"config", "show"}, {{"defaults", "true"}}) == ExitCode::Done);
    const auto read = readConfiguration(process.m_stdoutText);
    REQUIRE(std::holds_alternative<Configuration>(read));
    CHECK(std::get<Configuration>(read).m_version == 7);
}

// A comparison by index would report every worker after a removed one as changed.
TEST_CASE("config diff names list elements by identifier and ignores comments and the order of fields")
{
    auto changed = replaceOnce(readExampleText(), "\"queueLimit\": 2000", "\"queueLimit\": 2100");
    const std::string worker
        = R"(    {"id": "kampen-12", "zone": "kampen", "rack": "kampen-rack-2", "cores": 32, "memoryMb": 131072, "accelerators": 8, "address": "127.0.0.1:7104"})";
    changed = replaceOnce(changed, ",\n" + worker, "");
    FakeProcess process;
    process.m_files["f"] = changed;
    process.setResponses({storedDocumentResponse(7, readExampleText())});
    CHECK(runSubcommand(process, {"config", "diff", "f"}) == ExitCode::Done);
    CHECK_THAT(process.m_stdoutText, Catch::StartsWith("~ /organisations/gemeente/queueLimit: 2000 -> 2100\n- /workers/kampen-12/accelerators: 8\n"));
    CHECK(std::count(process.m_stdoutText.begin(), process.m_stdoutText.end(), '\n') == 8);
    process.m_stdoutText.clear();
    process.m_files["f"] = readExampleText() + "// a comment\n";
    process.setResponses({storedDocumentResponse(7, readExampleText())});
    CHECK(runSubcommand(process, {"config", "diff", "f"}) == ExitCode::Done);
    CHECK(process.m_stdoutText == "no differences\n");
}
