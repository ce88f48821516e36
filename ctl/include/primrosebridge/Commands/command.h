#pragma once

#include "primrosebridge/Model/error.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A subcommand of primrosectl.
enum class Action {
    Submit,
    Get,
    Wait,
    Cancel,
    Explain,
    ConfigCheck,
    ConfigShow,
    ConfigDiff,
    ConfigApply,
    ConfigHistory,
    ConfigRollback,
    Fleet,
    Timeline,
    Preview,
    SettingsCheck,
    LogLevel,
};

/// Output format of a command's result.
enum class OutputFormat {
    Table, ///< Human-readable text.
    Json, ///< One JSON value on standard output; errors are JSON on standard error.
};

/// Positional arguments and options of a command line, not yet validated.
struct Arguments {
    const std::vector<std::string> m_positionals; ///< The subcommand, followed by its operand.
    const std::map<std::string, std::string> m_options; ///< Option values by name; names have no leading dashes.

    bool operator==(const Arguments &) const = default;
};

/// Options that every subcommand accepts.
struct GlobalOptions {
    const std::vector<std::string> m_servers; ///< IP address and port of each server, in failover order.
    const std::string m_token; ///< Bearer token; may be empty if the subcommand calls no server.
    const OutputFormat m_output;
    const std::optional<Duration> m_timeout; ///< Time limit for the whole command; empty for the subcommand's default.

    bool operator==(const GlobalOptions &) const = default;
};

/// Options of `submit`.
struct SubmitOptions {
    const std::string m_jobClass;
    const std::string m_key; ///< Request key; empty to generate one.
    const std::string m_payload;
    const std::string m_payloadFile; ///< `-` for standard input; empty to use m_payload.
    const std::string m_zone; ///< Availability zone; empty to let the server choose.
    const std::optional<Duration> m_declaredRunTime;
    const bool m_waitForOutcome;

    bool operator==(const SubmitOptions &) const = default;
};

/// A validated command line.
struct Command {
    const Action m_action;
    const GlobalOptions m_globalOptions;
    const std::string m_operand; ///< Request key, file, configuration version or log level; empty if the subcommand takes no operand.
    const SubmitOptions m_submitOptions; ///< Used only if m_action is Action::Submit.
    const bool m_withDefaults; ///< Value of `config show --defaults`.
    const std::optional<std::int64_t> m_ifVersion; ///< Value of `config apply --if_version`: the version that the server must have in force.
    const std::string m_requestKey; ///< Value of `timeline --request`; empty for all events.
    const std::optional<Duration> m_since; ///< Value of `timeline --since`: maximum age of the events shown.

    bool operator==(const Command &) const = default;
};

/// Validates a command line. Returns InvalidArgument, with the faulty argument or option and the accepted values, if it is
/// invalid. @p environmentToken is used if `--token` is absent; returns Unauthenticated if the subcommand calls a server and
/// both tokens are missing. Thread-safe.
Result<Command> parseCommand(const Arguments &arguments, const std::string &environmentToken);

/// Splits a command line into positional arguments and options. Options have the forms `--name=value`, `--name value` and,
/// if boolean, `--name`; arguments after `--` are always positional. @p isBooleanOption returns whether the named option is
/// boolean, or std::nullopt if it does not exist. The values of repeated `--server` options are joined with commas. Returns
/// InvalidArgument if an option is unknown, has no value or is repeated. Thread-safe.
Result<Arguments> splitArguments(const std::vector<std::string> &arguments, std::optional<bool> (*isBooleanOption)(const std::string &));

} // namespace PrimroseBridge
