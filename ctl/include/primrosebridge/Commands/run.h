#pragma once

#include "primrosebridge/Commands/command.h"
#include "primrosebridge/Commands/exitcode.h"
#include "primrosebridge/Commands/transport.h"

#include <functional>
#include <string>

namespace PrimroseBridge {

/// The system functions that a command uses. Tests replace them.
struct Environment {
    const SendCall m_send;
    const std::function<Duration()> m_elapsedTime; ///< Returns the time since the start of the command, from a monotonic clock.
    const std::function<Instant()> m_now; ///< Returns the wall-clock time.
    const std::function<void(Duration)> m_sleep;
    const std::function<void(const std::string &)> m_writeStdout; ///< Writes text to standard output.
    const std::function<void(const std::string &)> m_writeStderr; ///< Writes text to standard error.
    const std::function<Result<std::string>(const std::string &)> m_readFile; ///< Returns the contents of a file; the path `-` is standard input.
    const std::function<std::string()> m_generateRequestKey; ///< Returns a new unique request key.
};

/// Runs a command and returns its exit code. Errors are printed with their remedy and never thrown.
/// Not thread-safe: calls the functions of @p environment on the calling thread.
ExitCode runCommand(const Command &command, const Environment &environment);

/// Prints an error as text or as JSON with @p writeStderr and returns its exit code.
ExitCode reportError(const Error &error, OutputFormat output, const std::function<void(const std::string &)> &writeStderr);

} // namespace PrimroseBridge
