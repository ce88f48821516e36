#pragma once

#include "primrosebridge/Model/error.h"
#include "primrosebridge/Model/request.h"

namespace PrimroseBridge {

/// Exit codes of primrosectl. The values are stable, because scripts depend on them.
enum class ExitCode {
    Done = 0,
    JobFailed = 1, ///< The job failed or was cancelled.
    InvalidArgument = 2, ///< The command line, a file or a request is invalid or too large.
    NotPermitted = 3, ///< The token is missing, unknown or lacks the permission.
    NotFound = 4,
    Conflict = 5, ///< Another writer changed the data first, or the key belongs to a different request.
    Unavailable = 6, ///< A queue is full or no server can be reached; a later retry may succeed.
    Undecided = 7, ///< The outcome is pending or unknown, or a server's response was lost.
    NotRun = 8, ///< The job was not run, or no worker can ever run it.
    Internal = 9,
};

/// Returns the exit code for an error. Thread-safe.
ExitCode exitCodeOf(ErrorKind kind);

/// Returns the exit code for the outcome of a request. Thread-safe.
ExitCode exitCodeOf(OutcomeKind kind);

} // namespace PrimroseBridge
