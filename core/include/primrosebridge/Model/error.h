#pragma once

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// The kind of failure that an Error reports. Each kind maps to one HTTP status and one exit code.
enum class ErrorKind {
    InvalidArgument, ///< The input is invalid; a retry with the same input cannot succeed.
    Unauthenticated, ///< The caller's token is missing or unknown.
    PermissionDenied, ///< The caller is authenticated but not authorised for the operation.
    NotFound, ///< The named object does not exist.
    Conflict, ///< Another writer changed the object first, or the key already belongs to a different request.
    TooLarge, ///< A body, a document or a result exceeds its size limit.
    QueueFull, ///< A bounded queue is full or a quota is used up; the caller may retry after the given time.
    Unavailable, ///< A process or the store cannot be reached; the caller may retry after the given time.
    StoreUnavailable, ///< The request has to be recorded and the store cannot be reached; the request was not run.
    DeadlineExceeded, ///< The peer did not answer in time; the operation may have taken effect.
    NeverRunnable, ///< No worker or group of workers of the configured fleet is able to run the job.
    Internal, ///< A bug or an inconsistent state in this system.
};

/// Returns the name of @p kind in lower_snake_case, as used in error bodies and logs. Thread-safe.
std::string_view errorKindName(ErrorKind kind);

/// Inverse of errorKindName(). Returns ErrorKind::Internal for an unknown name. Thread-safe.
ErrorKind errorKindFromName(std::string_view name);

/// A failure: its kind, a message that says what is wrong, and a remedy.
///
/// An object is immutable; distinct objects may be used from any thread.
class Error : public std::runtime_error
{
public:
    /// @p message says what is wrong, @p remedy what the reader can do about it. @p retryAfter is the delay after which a retry
    /// can succeed; it is empty if a retry cannot succeed. what() returns the message and the remedy, separated by "; ".
    Error(ErrorKind kind, const std::string &message, std::string remedy, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);

    /// Returns the kind. Thread-safe.
    [[nodiscard]] ErrorKind kind() const
    {
        return m_kind;
    }
    /// Returns what is wrong, without the remedy. Thread-safe.
    [[nodiscard]] const std::string &message() const
    {
        return m_message;
    }
    /// Returns what the reader can do about the failure. Thread-safe.
    [[nodiscard]] const std::string &remedy() const
    {
        return m_remedy;
    }
    /// Returns the delay after which a retry can succeed; empty if a retry cannot succeed. Thread-safe.
    [[nodiscard]] std::optional<std::chrono::milliseconds> retryAfter() const
    {
        return m_retryAfter;
    }

private:
    ErrorKind m_kind;
    std::string m_message;
    std::string m_remedy;
    std::optional<std::chrono::milliseconds> m_retryAfter;
};

} // namespace PrimroseBridge
