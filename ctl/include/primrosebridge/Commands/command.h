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

/// What the command line asks for.
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
    SettingsCheck,
    LogLevel,
};

/// How results are printed.
enum class OutputFormat {
    Table, ///< For people.
    Json, ///< For programs: one JSON value on standard output, errors as JSON on standard error.
};

/// The words and options of a command line, before they are checked.
struct Arguments {
    const std::vector<std::string> m_positionals; ///< Subcommand and operand.
    const std::map<std::string, std::string> m_options; ///< Value by name, without the leading dashes.

    bool operator==(const Arguments &) const = default;
};

/// Options that every subcommand accepts.
struct GlobalOptions {
    const std::vector<std::string> m_servers; ///< IP and port of each server, in the order in which they are tried.
    const std::string m_token; ///< Bearer token; may be empty for local commands.
    const OutputFormat m_output;
    const std::optional<Duration> m_timeout; ///< Longest time for the whole command; empty for the command's default.

    bool operator==(const GlobalOptions &) const = default;
};

/// Options of `submit`.
struct SubmitOptions {
    const std::string m_jobClass;
    const std::string m_key; ///< Empty if the command chooses one.
    const std::string m_payload;
    const std::string m_payloadFile; ///< `-` for standard input; empty if the payload is given directly.
    const std::string m_zone; ///< Empty if the server chooses.
    const std::optional<Duration> m_declaredRunTime;
    const bool m_waitForOutcome;

    bool operator==(const SubmitOptions &) const = default;
};

/// A checked command line.
struct Command {
    const Action m_action;
    const GlobalOptions m_globalOptions;
    const std::string m_operand; ///< Key, file, version or level; empty if the action takes none.
    const SubmitOptions m_submitOptions; ///< Only for Action::Submit.
    const bool m_withDefaults; ///< `config show --defaults`.
    const std::optional<std::int64_t> m_ifVersion; ///< `config apply --if_version`.
    const std::string m_requestKey; ///< `timeline --request`; empty for all events.
    const std::optional<Duration> m_since; ///< `timeline --since`: age of the oldest event shown.

    bool operator==(const Command &) const = default;
};

/// Checks a command line. InvalidArgument names the faulty word or option and what is accepted. @p environmentToken is
/// used if there is no `--token`; Unauthenticated if a command that calls a server has neither. Thread-safe.
Result<Command> parseCommand(const Arguments &arguments, const std::string &environmentToken);

/// The command line's options as given: `--name=value`, `--name value`, `--flag`; the text after `--` is never an option.
/// @p isBooleanOption says of a name whether it is a boolean option, or returns nothing if there is no such option.
/// A repeated `--server` is joined with commas; InvalidArgument for any other repetition. Thread-safe.
Result<Arguments> splitArguments(const std::vector<std::string> &arguments, std::optional<bool> (*isBooleanOption)(const std::string &));

} // namespace PrimroseBridge
