#include "primrosebridge/Model/error.h"

#include <array>
#include <cassert>

namespace PrimroseBridge {

struct ErrorKindName {
    const ErrorKind m_kind;
    const std::string_view m_name;
};

static constexpr std::array<ErrorKindName, 12> errorKindNames = {{
    {ErrorKind::InvalidArgument, "invalid_argument"},
    {ErrorKind::Unauthenticated, "unauthenticated"},
    {ErrorKind::PermissionDenied, "permission_denied"},
    {ErrorKind::NotFound, "not_found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::TooLarge, "too_large"},
    {ErrorKind::QueueFull, "queue_full"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::StoreUnavailable, "store_unavailable"},
    {ErrorKind::DeadlineExceeded, "deadline_exceeded"},
    {ErrorKind::NeverRunnable, "never_runnable"},
    {ErrorKind::Internal, "internal"},
}};

std::string_view errorKindName(ErrorKind kind)
{
    for (const auto &entry : errorKindNames) {
        if (entry.m_kind == kind) {
            return entry.m_name;
        }
    }
    assert(false && "every error kind has a name");
    return "internal";
}

ErrorKind errorKindFromName(std::string_view name)
{
    for (const auto &entry : errorKindNames) {
        if (entry.m_name == name) {
            return entry.m_kind;
        }
    }
    return ErrorKind::Internal;
}

Error::Error(ErrorKind kind, const std::string &message, std::string remedy, std::optional<std::chrono::milliseconds> retryAfter)
    : std::runtime_error(message + "; " + remedy)
    , m_kind(kind)
    , m_message(message)
    , m_remedy(std::move(remedy))
    , m_retryAfter(retryAfter)
{
}

} // namespace PrimroseBridge
