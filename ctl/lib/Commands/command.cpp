#include "primrosebridge/Commands/command.h"

#include "primrosebridge/Config/address.h"
#include "primrosebridge/Model/id.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>

namespace PrimroseBridge {

/// Syntax of a subcommand.
struct SubcommandSyntax {
    const Action m_action;
    const std::vector<std::string> m_subcommand; ///< One or two words.
    const std::string m_operand; ///< Placeholder of the operand in messages, such as KEY; empty if the subcommand takes none.
    const std::set<std::string> m_options; ///< Options that the subcommand accepts in addition to globalOptions.
    const bool m_needsToken;
};

static const std::vector<SubcommandSyntax> subcommandSyntaxes = {
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
    {Action::Preview, {"preview"}, "FILE", {}, false},
    {Action::SettingsCheck, {"settings", "check"}, "FILE", {}, false},
    {Action::LogLevel, {"log-level"}, "LEVEL", {}, true},
};

static const std::set<std::string> globalOptions = {"server", "token", "output", "timeout"};
static const std::string defaultServer = "127.0.0.1:8080";

static Error usageError(const std::string &message, const std::string &remedy = "run primrosectl --help")
{
    return {ErrorKind::InvalidArgument, message, remedy};
}

/// Returns the value of an option, or an empty string if it is absent.
static std::string optionValueOrEmpty(const Arguments &arguments, const std::string &name)
{
    const auto option = arguments.m_options.find(name);
    return option == arguments.m_options.end() ? "" : option->second;
}

static const SubcommandSyntax &findSubcommand(const std::vector<std::string> &positionals)
{
    if (positionals.empty()) {
        throw usageError("no subcommand is given");
    }
    const auto found = std::find_if(subcommandSyntaxes.begin(), subcommandSyntaxes.end(), [&positionals](const SubcommandSyntax &syntax) {
        return positionals.size() >= syntax.m_subcommand.size() && std::equal(syntax.m_subcommand.begin(), syntax.m_subcommand.end(), positionals.begin());
    });
    if (found == subcommandSyntaxes.end()) {
        const bool isCommandGroup = positionals[0] == "config" || positionals[0] == "settings";
        throw usageError("subcommand '" + positionals[0] + (isCommandGroup && positionals.size() > 1 ? " " + positionals[1] : "") + "' does not exist");
    }
    return *found;
}

static std::string subcommandName(const SubcommandSyntax &syntax)
{
    return syntax.m_subcommand.size() == 1 ? syntax.m_subcommand[0] : syntax.m_subcommand[0] + " " + syntax.m_subcommand[1];
}

static std::string parseOperand(const SubcommandSyntax &syntax, const std::vector<std::string> &positionals)
{
    const auto expected = syntax.m_subcommand.size() + (syntax.m_operand.empty() ? 0 : 1);
    if (positionals.size() < expected) {
        throw usageError("'" + subcommandName(syntax) + "' needs " + syntax.m_operand);
    }
    if (positionals.size() > expected) {
        throw usageError("'" + subcommandName(syntax) + "' does not accept '" + positionals[expected] + "'",
                         "quote values that contain spaces, or run primrosectl --help");
    }
    return syntax.m_operand.empty() ? "" : positionals.back();
}

static void checkOptionsAccepted(const SubcommandSyntax &syntax, const Arguments &arguments)
{
    for (const auto &option : arguments.m_options) {
        if (syntax.m_options.count(option.first) == 0 && globalOptions.count(option.first) == 0) {
            throw usageError("'" + subcommandName(syntax) + "' does not accept --" + option.first);
        }
    }
}

static std::int64_t parseInteger(const std::string &what, const std::string &text, std::int64_t min, std::int64_t max)
{
    std::int64_t number = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || number < min || number > max) {
        throw usageError(what + " is '" + text + "'", "use a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return number;
}

static std::optional<std::int64_t> integerOption(const Arguments &arguments, const std::string &name, std::int64_t min, std::int64_t max)
{
    if (arguments.m_options.count(name) == 0) {
        return std::nullopt;
    }
    return parseInteger("--" + name, optionValueOrEmpty(arguments, name), min, max);
}

static bool booleanOption(const Arguments &arguments, const std::string &name)
{
    const auto text = optionValueOrEmpty(arguments, name);
    if (!text.empty() && text != "true" && text != "false") {
        throw usageError("--" + name + " is '" + text + "'", "use true or false");
    }
    return text == "true";
}

static std::vector<std::string> parseServerList(const std::string &text)
{
    std::vector<std::string> servers;
    std::size_t start = 0;
    while (start <= text.size()) {
        const auto end = std::min(text.find(',', start), text.size());
        const auto server = text.substr(start, end - start);
        if (!isSocketAddress(server)) {
            throw usageError("server '" + server + "' is not an IP address and port", "use the form --server=10.0.1.7:8080,10.0.1.8:8080");
        }
        servers.push_back(server);
        start = end + 1;
    }
    return servers;
}

static OutputFormat parseOutputFormat(const std::string &text)
{
    if (text.empty() || text == "table") {
        return OutputFormat::Table;
    }
    if (text == "json") {
        return OutputFormat::Json;
    }
    throw usageError("--output is '" + text + "'", "use table or json");
}

static GlobalOptions parseGlobalOptions(const SubcommandSyntax &syntax, const Arguments &arguments, const std::string &environmentToken)
{
    constexpr std::int64_t maxTimeoutSeconds = 30LL * 24 * 60 * 60; // Equals the maximum run time of a job class.
    const bool hasToken = arguments.m_options.count("token") != 0;
    const auto token = hasToken ? optionValueOrEmpty(arguments, "token") : environmentToken;
    const bool printable = std::all_of(token.begin(), token.end(), [](char character) { return character > 0x20 && character < 0x7f; });
    if (!printable) {
        throw usageError("the token contains a space or a control character", "pass the token without line breaks or quotes");
    }
    if (syntax.m_needsToken && token.empty()) {
        throw Error(ErrorKind::Unauthenticated, "no token is given", "set PRIMROSEBRIDGE_TOKEN or pass --token");
    }
    const auto timeout = integerOption(arguments, "timeout", 1, maxTimeoutSeconds);
    const bool hasServer = arguments.m_options.count("server") != 0;
    if (syntax.m_action == Action::Preview && !hasServer) {
        throw usageError("'preview' needs --server", "pass the metrics address of an entry VM, for example --server=10.0.1.7:7015");
    }
    return {parseServerList(hasServer ? optionValueOrEmpty(arguments, "server") : defaultServer),
            token,
            parseOutputFormat(optionValueOrEmpty(arguments, "output")),
            timeout ? std::optional<Duration>(std::chrono::seconds(*timeout)) : std::nullopt};
}

template<class Tag>
static void validateId(const std::string &text)
{
    const auto id = Id<Tag>::create(text);
    if (!id.ok()) {
        throw id.error();
    }
}

static void checkSubmitOptions(const Arguments &arguments)
{
    if (optionValueOrEmpty(arguments, "class").empty()) {
        throw usageError("'submit' needs --class", "pass a job class of the configuration, for example --class=glaze-check");
    }
    validateId<JobClassTag>(optionValueOrEmpty(arguments, "class"));
    if (arguments.m_options.count("key") != 0) {
        validateId<RequestTag>(optionValueOrEmpty(arguments, "key"));
    }
    if (arguments.m_options.count("zone") != 0) {
        validateId<ZoneTag>(optionValueOrEmpty(arguments, "zone"));
    }
    if (arguments.m_options.count("payload") != 0 && arguments.m_options.count("payload_file") != 0) {
        throw usageError("--payload and --payload_file are both given", "pass one of them");
    }
}

static SubmitOptions parseSubmitOptions(const SubcommandSyntax &syntax, const Arguments &arguments)
{
    constexpr std::int64_t maxRunTimeMs = 30LL * 24 * 60 * 60 * 1000; // Equals the upper limit of maxRunTimeMs in the configuration.
    if (syntax.m_action == Action::Submit) {
        checkSubmitOptions(arguments);
    }
    const auto runTime = integerOption(arguments, "declared_run_time_ms", 1, maxRunTimeMs);
    return {optionValueOrEmpty(arguments, "class"),
            optionValueOrEmpty(arguments, "key"),
            optionValueOrEmpty(arguments, "payload"),
            optionValueOrEmpty(arguments, "payload_file"),
            optionValueOrEmpty(arguments, "zone"),
            runTime ? std::optional<Duration>(Duration(*runTime)) : std::nullopt,
            booleanOption(arguments, "wait")};
}

static void checkOperand(const SubcommandSyntax &syntax, const std::string &operand)
{
    static const std::set<std::string> levels = {"trace", "debug", "info", "warn", "error"};
    if (syntax.m_operand == "KEY") {
        validateId<RequestTag>(operand);
    }
    if (syntax.m_operand == "VERSION") {
        parseInteger("VERSION", operand, 0, INT64_MAX);
    }
    if (syntax.m_operand == "LEVEL" && levels.count(operand) == 0) {
        throw usageError("log level '" + operand + "' does not exist", "use trace, debug, info, warn or error");
    }
}

static Command parseCommandOrThrow(const Arguments &arguments, const std::string &environmentToken)
{
    constexpr std::int64_t maxSinceSeconds = 366LL * 24 * 60 * 60;
    const auto &syntax = findSubcommand(arguments.m_positionals);
    checkOptionsAccepted(syntax, arguments);
    const auto operand = parseOperand(syntax, arguments.m_positionals);
    checkOperand(syntax, operand);
    const auto requestKey = optionValueOrEmpty(arguments, "request");
    if (arguments.m_options.count("request") != 0) {
        validateId<RequestTag>(requestKey);
    }
    const auto since = integerOption(arguments, "since", 1, maxSinceSeconds);
    return {syntax.m_action,
            parseGlobalOptions(syntax, arguments, environmentToken),
            operand,
            parseSubmitOptions(syntax, arguments),
            booleanOption(arguments, "defaults"),
            integerOption(arguments, "if_version", 0, INT64_MAX),
            requestKey,
            since ? std::optional<Duration>(std::chrono::seconds(*since)) : std::nullopt};
}

Result<Command> parseCommand(const Arguments &arguments, const std::string &environmentToken)
{
    try {
        return parseCommandOrThrow(arguments, environmentToken);
    } catch (const Error &error) {
        return error;
    }
}

} // namespace PrimroseBridge
