#pragma once

#include "primrosebridge/Commands/command.h"
#include "primrosebridge/Commands/exitcode.h"
#include "primrosebridge/Commands/transport.h"

#include <functional>
#include <string>

namespace PrimroseBridge {

/// What a command needs from the process. Tests pass functions of their own.
struct Environment {
    const SendCall m_send;
    const std::function<Duration()> m_elapsedTime; ///< Time since the start of the command, from a steady clock.
    const std::function<Instant()> m_now;
    const std::function<void(Duration)> m_sleep;
    const std::function<void(const std::string &)> m_writeStdout; ///< Writes to standard output.
    const std::function<void(const std::string &)> m_writeStderr; ///< Writes to standard error.
    const std::function<Result<std::string>(const std::string &)> m_readFile; ///< `-` is standard input.
    const std::function<std::string()> m_generateRequestKey; ///< A request key that no other request has.
};

/// Runs a command and returns its exit code. Errors are reported with their remedy and never thrown.
/// Not thread-safe: the functions of @p environment are called from this thread.
ExitCode runCommand(const Command &command, const Environment &environment);

/// Reports an error as text or as JSON and returns its exit code.
ExitCode reportError(const Error &error, OutputFormat output, const std::function<void(const std::string &)> &report);

} // namespace PrimroseBridge
