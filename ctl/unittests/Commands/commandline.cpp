#include "primrosebridge/Commands/command.h"
#include "primrosebridge/Commands/exitcode.h"
#include "primrosebridge/Commands/help.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

static std::optional<bool> isBooleanTestOption(const std::string &name)
{
    if (name == "wait") {
        return true;
    }
    return name == "server" || name == "key" ? std::optional<bool>(false) : std::nullopt;
}

// If a value were parsed as a positional argument, or the reverse, a payload other than the one typed would be submitted.
TEST_CASE("the command line is split into positional arguments and options")
{
    const auto split = splitArguments({"submit", "--key", "--wait", "--server=a", "--wait", "--server", "b", "--", "--key"}, isBooleanTestOption).value();
    CHECK(split.m_positionals == std::vector<std::string>{"submit", "--key"});
    CHECK(split.m_options == std::map<std::string, std::string>{{"key", "--wait"}, {"server", "a,b"}, {"wait", "true"}});
    CHECK(splitArguments({"--kye=1"}, isBooleanTestOption).error().message() == "option --kye does not exist");
    CHECK(splitArguments({"--key"}, isBooleanTestOption).error().message() == "option --key has no value");
    CHECK(splitArguments({"--key=1", "--key=2"}, isBooleanTestOption).error().message() == "option --key is given twice");
}

TEST_CASE("a submit command with all options is parsed")
{
    const auto command = parseCommand({{"submit"},
                                       {{"class", "glaze-check"},
                                        {"key", "g1"},
                                        {"payload", "{}"},
                                        {"declared_run_time_ms", "1500"},
                                        {"wait", "true"},
                                        {"server", "10.0.0.1:80,[fd00::1]:81"},
                                        {"output", "json"},
                                        {"timeout", "60"}}},
                                      "secret")
                             .value();
    CHECK(command.m_action == Action::Submit);
    CHECK(command.m_submitOptions == SubmitOptions{"glaze-check", "g1", "{}", "", "", Duration(1500), true});
    CHECK(command.m_globalOptions == GlobalOptions{{"10.0.0.1:80", "[fd00::1]:81"}, "secret", OutputFormat::Json, std::chrono::seconds(60)});
}

struct InvalidCommandLine {
    const Arguments m_arguments;
    const std::string m_expectedMessage;
};

// If an invalid command line were accepted, primrosectl could do something that the operator did not request.
TEST_CASE("invalid command lines are rejected with the faulty argument or option")
{
    const std::vector<InvalidCommandLine> commands = {
        {{{}, {}}, "no subcommand is given"},
        {{{"config", "chek", "f"}, {}}, "subcommand 'config chek' does not exist"},
        {{{"get"}, {}}, "'get' needs KEY"},
        {{{"get", "a", "b"}, {}}, "'get' does not accept 'b'"},
        {{{"get", "a"}, {{"payload", "x"}}}, "'get' does not accept --payload"},
        {{{"get", "a/b"}, {}}, "request key contains a character"},
        {{{"submit"}, {}}, "'submit' needs --class"},
        {{{"submit"}, {{"class", "c"}, {"payload", "x"}, {"payload_file", "f"}}}, "both given"},
        {{{"submit"}, {{"class", "c"}, {"declared_run_time_ms", "0"}}}, "--declared_run_time_ms is '0'"},
        {{{"fleet"}, {{"server", "localhost:80"}}}, "server 'localhost:80' is not an IP address"},
        {{{"fleet"}, {{"server", "10.0.0.1:80,"}}}, "server '' is not"},
        {{{"fleet"}, {{"output", "xml"}}}, "--output is 'xml'"},
        {{{"fleet"}, {{"token", "a\r\nX: y"}}}, "control character"},
        {{{"config", "rollback", "x"}, {}}, "VERSION is 'x'"},
        {{{"log-level", "loud"}, {}}, "log level 'loud' does not exist"},
    };
    for (const auto &command : commands) {
        const auto parsed = parseCommand(command.m_arguments, "token");
        REQUIRE_FALSE(parsed.ok());
        CHECK(parsed.error().kind() == ErrorKind::InvalidArgument);
        CHECK_THAT(parsed.error().message(), Catch::Contains(command.m_expectedMessage));
    }
}

TEST_CASE("only commands that call a server need a token")
{
    CHECK(parseCommand({{"fleet"}, {}}, "").error().kind() == ErrorKind::Unauthenticated);
    CHECK(parseCommand({{"config", "check", "f"}, {}}, "").ok());
}

// Scripts depend on the numeric values.
TEST_CASE("exit codes have the documented values")
{
    CHECK(static_cast<int>(exitCodeOf(OutcomeKind::Done)) == 0);
    CHECK(static_cast<int>(exitCodeOf(OutcomeKind::Failed)) == 1);
    CHECK(static_cast<int>(exitCodeOf(OutcomeKind::Unknown)) == 7);
    CHECK(static_cast<int>(exitCodeOf(OutcomeKind::NotRun)) == 8);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::TooLarge)) == 2);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::PermissionDenied)) == 3);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::NotFound)) == 4);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::Conflict)) == 5);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::QueueFull)) == 6);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::DeadlineExceeded)) == 7);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::NeverRunnable)) == 8);
    CHECK(static_cast<int>(exitCodeOf(ErrorKind::Internal)) == 9);
}

// Users cannot discover a subcommand that is missing from the help.
TEST_CASE("every subcommand has help with an example")
{
    const std::vector<std::vector<std::string>> subcommands = {{"submit"},
                                                               {"get"},
                                                               {"wait"},
                                                               {"cancel"},
                                                               {"explain"},
                                                               {"config", "check"},
                                                               {"config", "show"},
                                                               {"config", "diff"},
                                                               {"config", "apply"},
                                                               {"config", "history"},
                                                               {"config", "rollback"},
                                                               {"fleet"},
                                                               {"timeline"},
                                                               {"preview"},
                                                               {"settings", "check"},
                                                               {"log-level"}};
    for (const auto &words : subcommands) {
        const auto name = words.size() == 1 ? words[0] : words[0] + " " + words[1];
        CHECK_THAT(helpText({}), Catch::Contains("\n  " + name + " "));
        CHECK_THAT(helpText(words), Catch::StartsWith("Usage: primrosectl " + name + " ") && Catch::Contains("\n  primrosectl " + name));
    }
    CHECK_THAT(helpText({"config"}), Catch::StartsWith("primrosectl - "));
}
