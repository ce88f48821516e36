#include "primrosebridge/Model/request.h"

namespace PrimroseBridge {

std::string_view outcomeKindName(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Pending:
        return "pending";
    case OutcomeKind::Done:
        return "done";
    case OutcomeKind::Failed:
        return "failed";
    case OutcomeKind::Cancelled:
        return "cancelled";
    case OutcomeKind::NotRun:
        return "not_run";
    case OutcomeKind::Unknown:
        return "unknown";
    }
    return "unknown";
}

Result<OutcomeKind> outcomeKindFromName(std::string_view name)
{
    for (const auto kind : {OutcomeKind::Pending, OutcomeKind::Done, OutcomeKind::Failed, OutcomeKind::Cancelled, OutcomeKind::NotRun, OutcomeKind::Unknown}) {
        if (outcomeKindName(kind) == name) {
            return kind;
        }
    }
    return Error(ErrorKind::InvalidArgument, "outcome '" + std::string(name) + "' does not exist", "upgrade the older of the two processes");
}

std::string_view taskStatusName(TaskStatus status)
{
    switch (status) {
    case TaskStatus::Held:
        return "held";
    case TaskStatus::Running:
        return "running";
    case TaskStatus::Checkpointed:
        return "checkpointed";
    case TaskStatus::Done:
        return "done";
    case TaskStatus::Failed:
        return "failed";
    case TaskStatus::Stopped:
        return "stopped";
    }
    return "stopped";
}

std::uint64_t fnv1aDigest(std::string_view bytes)
{
    constexpr std::uint64_t offsetBasis = 14695981039346656037ULL;
    constexpr std::uint64_t prime = 1099511628211ULL;
    std::uint64_t digest = offsetBasis;
    for (const char byte : bytes) {
        digest ^= static_cast<unsigned char>(byte);
        digest *= prime;
    }
    return digest;
}

std::uint64_t taskResultDigest(const TaskId &task, std::string_view result)
{
    std::string text
        = task.m_key.text() + '/' + std::to_string(task.m_fence) + '/' + std::to_string(task.m_attempt) + '/' + std::to_string(task.m_member) + '/';
    text += result;
    return fnv1aDigest(text);
}

} // namespace PrimroseBridge
