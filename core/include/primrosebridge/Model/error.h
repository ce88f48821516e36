#pragma once

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// What kind of failure an Error reports. Each kind maps to one HTTP status and one exit code.
enum class ErrorKind {
    InvalidArgument, ///< The input is wrong; sending it again cannot succeed.
    Unauthenticated, ///< The caller's token is missing or unknown.
    PermissionDenied, ///< The caller is known but may not do this.
    NotFound, ///< The named thing does not exist.
    Conflict, ///< Another writer was first, or the key names a different request.
    TooLarge, ///< A body, a document or a result exceeds its limit.
    QueueFull, ///< A bounded queue or quota is full; retry after the given time.
    Unavailable, ///< A process or the store cannot be reached now; retry after the given time.
    StoreUnavailable, ///< The request needs a record and the store cannot be reached; it was not run.
    DeadlineExceeded, ///< The peer did not answer in time; the operation may have taken effect.
    NeverRunnable, ///< No worker of the configured fleet can ever run the job.
    Internal, ///< A fault in this system.
};

/// The kind's name in lower_snake_case, as used in error bodies and logs. Thread-safe.
std::string_view errorKindName(ErrorKind kind);

/// Inverse of errorKindName(); unknown names give ErrorKind::Internal. Thread-safe.
ErrorKind errorKindFromName(std::string_view name);

/// A failure with a typed kind, a message that says what is wrong, and the remedy.
///
/// Immutable; distinct objects may be used from any thread.
class Error : public std::runtime_error
{
public:
    /// @p message says what is wrong, @p remedy what the reader can do about it.
    /// @p retryAfter says when a retry can succeed, if it can.
    Error(ErrorKind kind, const std::string &message, std::string remedy, std::optional<std::chrono::milliseconds> retryAfter = std::nullopt);

    /// Thread-safe.
    [[nodiscard]] ErrorKind kind() const
    {
        return m_kind;
    }
    /// What is wrong, without the remedy. Thread-safe.
    [[nodiscard]] const std::string &message() const
    {
        return m_message;
    }
    /// What the reader can do about it. Thread-safe.
    [[nodiscard]] const std::string &remedy() const
    {
        return m_remedy;
    }
    /// Time after which a retry can succeed; empty if a retry cannot succeed. Thread-safe.
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
