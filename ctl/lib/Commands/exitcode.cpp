#include "primrosebridge/Commands/exitcode.h"

namespace PrimroseBridge {

ExitCode exitCodeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidArgument:
    case ErrorKind::TooLarge:
        return ExitCode::InvalidArgument;
    case ErrorKind::Unauthenticated:
    case ErrorKind::PermissionDenied:
        return ExitCode::NotPermitted;
    case ErrorKind::NotFound:
        return ExitCode::NotFound;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::QueueFull:
    case ErrorKind::Unavailable:
    case ErrorKind::StoreUnavailable:
        return ExitCode::Unavailable;
    case ErrorKind::DeadlineExceeded:
        return ExitCode::Undecided;
    case ErrorKind::NeverRunnable:
        return ExitCode::NotRun;
    case ErrorKind::Internal:
        return ExitCode::Internal;
    }
    return ExitCode::Internal;
}

ExitCode exitCodeOf(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Done:
        return ExitCode::Done;
    case OutcomeKind::Failed:
    case OutcomeKind::Cancelled:
        return ExitCode::JobFailed;
    case OutcomeKind::NotRun:
        return ExitCode::NotRun;
    case OutcomeKind::Pending:
    case OutcomeKind::Unknown:
        return ExitCode::Undecided;
    }
    return ExitCode::Internal;
}

} // namespace PrimroseBridge
