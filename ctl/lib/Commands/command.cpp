#include "primrosebridge/Commands/command.h"

#include "primrosebridge/Config/address.h"
#include "primrosebridge/Model/id.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>

namespace PrimroseBridge {

/// One subcommand and what it accepts.
struct Syntax {
    const Action m_action;
    const std::vector<std::string> m_positionals;
    const std::string m_operand; ///< Name of the operand in messages; empty if there is none.
    const std::set<std::string> m_options;
    const bool m_callsServer;
};

static const std::vector<Syntax> syntaxes = {
    {Action::Submit, {"submit"}, "", {"class", "key", "payload", "payload_file", "zone", "declared_run_time_ms", "wait"}, true},
    {Action::Get, {"get"}, "KEY", {}, true},
    {Action::Wait, {"wait"}, "KEY", {}, true},
    {Action::Cancel, {"cancel"}, "KEY", {}, true},
    {Action::Explain, {"explain"}, "KEY", {}, true},
    {Action::ConfigCheck, {"config", "check"}, "FILE", {}, false},
    {Action::ConfigShow, {"config", "show"}, "", {"defaults"}, true},
    {Action::ConfigDiff, {"config", "diff"}, "FILE", {}, true},
    {Action::ConfigApply, {"config", "apply"}, "FILE", {"if_version"}, true},
    {Action::ConfigHistory, {"config", "history"}, "", {}, true},
    {Action::ConfigRollback, {"config", "rollback"}, "VERSION", {}, true},
    {Action::Fleet, {"fleet"}, "", {}, true},
    {Action::Timeline, {"timeline"}, "", {"request", "since"}, true},
    {Action::SettingsCheck, {"settings", "check"}, "FILE", {}, false},
    {Action::LogLevel, {"log-level"}, "LEVEL", {}, true},
};

static const std::set<std::string> globalOptions = {"server", "token", "output", "timeout"};
static const std::string defaultServer = "127.0.0.1:8080";

static Error usageError(const std::string &message, const std::string &remedy = "run primrosectl --help")
{
    return {ErrorKind::InvalidArgument, message, remedy};
}

/// Returns the value of an option, or empty text.
static std::string optionOf(const Arguments &arguments, const std::string &name)
{
    const auto option = arguments.m_options.find(name);
    return option == arguments.m_options.end() ? "" : option->second;
}

static const Syntax &findSyntax(const std::vector<std::string> &words)
{
    if (words.empty()) {
        throw usageError("no subcommand is given");
    }
    const auto found = std::find_if(syntaxes.begin(), syntaxes.end(), [&words](const Syntax &syntax) {
        return words.size() >= syntax.m_positionals.size() && std::equal(syntax.m_positionals.begin(), syntax.m_positionals.end(), words.begin());
    });
    if (found == syntaxes.end()) {
        const bool isGroup = words[0] == "config" || words[0] == "settings";
        throw usageError("subcommand '" + words[0] + (isGroup && words.size() > 1 ? " " + words[1] : "") + "' does not exist");
    }
    return *found;
}

static std::string commandName(const Syntax &syntax)
{
    return syntax.m_positionals.size() == 1 ? syntax.m_positionals[0] : syntax.m_positionals[0] + " " + syntax.m_positionals[1];
}

static std::string readOperand(const Syntax &syntax, const std::vector<std::string> &words)
{
    const auto expected = syntax.m_positionals.size() + (syntax.m_operand.empty() ? 0 : 1);
    if (words.size() < expected) {
        throw usageError("'" + commandName(syntax) + "' needs " + syntax.m_operand);
    }
    if (words.size() > expected) {
        throw usageError("'" + commandName(syntax) + "' does not accept '" + words[expected] + "'",
                         "put texts with spaces in quotes, or run primrosectl --help");
    }
    return syntax.m_operand.empty() ? "" : words.back();
}

static void checkOptions(const Syntax &syntax, const Arguments &arguments)
{
    for (const auto &option : arguments.m_options) {
        if (syntax.m_options.count(option.first) == 0 && globalOptions.count(option.first) == 0) {
            throw usageError("'" + commandName(syntax) + "' does not accept --" + option.first);
        }
    }
}

static std::int64_t parseNumber(const std::string &what, const std::string &text, std::int64_t min, std::int64_t max)
{
    std::int64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || number < min || number > max) {
        throw usageError(what + " is '" + text + "'", "use a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return number;
}

static std::optional<std::int64_t> numberOption(const Arguments &arguments, const std::string &name, std::int64_t min, std::int64_t max)
{
    if (arguments.m_options.count(name) == 0) {
        return std::nullopt;
    }
    return parseNumber("--" + name, optionOf(arguments, name), min, max);
}

static bool flagOption(const Arguments &arguments, const std::string &name)
{
    const auto text = optionOf(arguments, name);
    if (!text.empty() && text != "true" && text != "false") {
        throw usageError("--" + name + " is '" + text + "'", "use true or false");
    }
    return text == "true";
}

static std::vector<std::string> parseServers(const std::string &text)
{
    std::vector<std::string> servers;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        const auto server = text.substr(start, end - start);
        if (!isSocketAddress(server)) {
            throw usageError("server '" + server + "' is not an IP address and port", "use a form such as --server=10.0.1.7:8080,10.0.1.8:8080");
        }
        servers.push_back(server);
        start = end + 1;
    }
    return servers;
}

static OutputFormat parseOutput(const std::string &text)
{
    if (text.empty() || text == "table") {
        return OutputFormat::Table;
    }
    if (text == "json") {
        return OutputFormat::Json;
    }
    throw usageError("--output is '" + text + "'", "use table or json");
}

static GlobalOptions parseGlobal(const Syntax &syntax, const Arguments &arguments, const std::string &environmentToken)
{
    constexpr std::int64_t maxTimeoutSeconds = 30LL * 24 * 60 * 60; // The longest run time of a job class.
    const bool hasToken = arguments.m_options.count("token") != 0;
    const auto token = hasToken ? optionOf(arguments, "token") : environmentToken;
    const bool printable = std::all_of(token.begin(), token.end(), [](char character) { return character > 0x20 && character < 0x7f; });
    if (!printable) {
        throw usageError("the token contains a space or a control character", "pass the token without line end or quotes");
    }
    if (syntax.m_callsServer && token.empty()) {
        throw Error(ErrorKind::Unauthenticated, "no token is given", "set PRIMROSEBRIDGE_TOKEN or pass --token");
    }
    const auto timeout = numberOption(arguments, "timeout", 1, maxTimeoutSeconds);
    const bool hasServer = arguments.m_options.count("server") != 0;
    return {parseServers(hasServer ? optionOf(arguments, "server") : defaultServer),
            token,
            parseOutput(optionOf(arguments, "output")),
            timeout ? std::optional<Duration>(std::chrono::seconds(*timeout)) : std::nullopt};
}

template<class Tag>
static void checkId(const std::string &text)
{
    const auto id = Id<Tag>::create(text);
    if (!id.ok()) {
        throw id.error();
    }
}

static void checkSubmit(const Arguments &arguments)
{
    if (optionOf(arguments, "class").empty()) {
        throw usageError("'submit' needs --class", "name a job class of the configuration, for example --class=glaze-check");
    }
    checkId<JobClassTag>(optionOf(arguments, "class"));
    if (arguments.m_options.count("key") != 0) {
        checkId<RequestTag>(optionOf(arguments, "key"));
    }
    if (arguments.m_options.count("zone") != 0) {
        checkId<ZoneTag>(optionOf(arguments, "zone"));
    }
    if (arguments.m_options.count("payload") != 0 && arguments.m_options.count("payload_file") != 0) {
        throw usageError("--payload and --payload_file are both given", "pass one of them");
    }
}

static SubmitOptions parseSubmit(const Syntax &syntax, const Arguments &arguments)
{
    constexpr std::int64_t maxRunTimeMs = 30LL * 24 * 60 * 60 * 1000; // The limit of maxRunTimeMs in the configuration.
    if (syntax.m_action == Action::Submit) {
        checkSubmit(arguments);
    }
    const auto runTime = numberOption(arguments, "declared_run_time_ms", 1, maxRunTimeMs);
    return {optionOf(arguments, "class"),
            optionOf(arguments, "key"),
            optionOf(arguments, "payload"),
            optionOf(arguments, "payload_file"),
            optionOf(arguments, "zone"),
            runTime ? std::optional<Duration>(Duration(*runTime)) : std::nullopt,
            flagOption(arguments, "wait")};
}

static void checkOperand(const Syntax &syntax, const std::string &operand)
{
    static const std::set<std::string> levels = {"trace", "debug", "info", "warn", "error"};
    if (syntax.m_operand == "KEY") {
        checkId<RequestTag>(operand);
    }
    if (syntax.m_operand == "VERSION") {
        parseNumber("VERSION", operand, 0, INT64_MAX);
    }
    if (syntax.m_operand == "LEVEL" && levels.count(operand) == 0) {
        throw usageError("log level '" + operand + "' does not exist", "use trace, debug, info, warn or error");
    }
}

static Command checkedCommand(const Arguments &arguments, const std::string &environmentToken)
{
    constexpr std::int64_t maxSinceSeconds = 366LL * 24 * 60 * 60;
    const auto &syntax = findSyntax(arguments.m_positionals);
    checkOptions(syntax, arguments);
    const auto operand = readOperand(syntax, arguments.m_positionals);
    checkOperand(syntax, operand);
    const auto requestKey = optionOf(arguments, "request");
    if (arguments.m_options.count("request") != 0) {
        checkId<RequestTag>(requestKey);
    }
    const auto since = numberOption(arguments, "since", 1, maxSinceSeconds);
    return {syntax.m_action,
            parseGlobal(syntax, arguments, environmentToken),
            operand,
            parseSubmit(syntax, arguments),
            flagOption(arguments, "defaults"),
            numberOption(arguments, "if_version", 0, INT64_MAX),
            requestKey,
            since ? std::optional<Duration>(std::chrono::seconds(*since)) : std::nullopt};
}

Result<Command> parseCommand(const Arguments &arguments, const std::string &environmentToken)
{
    try {
        return checkedCommand(arguments, environmentToken);
    } catch (const Error &error) {
        return error;
    }
}

} // namespace PrimroseBridge
