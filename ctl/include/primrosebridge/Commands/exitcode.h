#pragma once

#include "primrosebridge/Model/error.h"
#include "primrosebridge/Model/request.h"

namespace PrimroseBridge {

/// Exit codes of primrosectl. Scripts depend on the numbers, so they do not change.
enum class ExitCode {
    Done = 0,
    JobFailed = 1, ///< The job failed or was cancelled.
    InvalidArgument = 2, ///< The command line, a file or a request is wrong or too large.
    NotPermitted = 3, ///< The token is missing, unknown or lacks the permission.
    NotFound = 4,
    Conflict = 5, ///< Another writer was first, or the key names a different request.
    Unavailable = 6, ///< A queue is full or no server can be reached; try again later.
    Undecided = 7, ///< The outcome is pending or unknown, or an answer was lost.
    NotRun = 8, ///< The job was not run, or can never run.
    Internal = 9,
};

/// The exit code for a command that ends with an error of this kind. Thread-safe.
ExitCode exitCodeOf(ErrorKind kind);

/// The exit code for a command that ends with the knowledge of this outcome. Thread-safe.
ExitCode exitCodeOf(OutcomeKind kind);

} // namespace PrimroseBridge
