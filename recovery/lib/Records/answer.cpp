#include "primrosebridge/Records/answer.h"

namespace PrimroseBridge {

std::string_view answerCheckName(AnswerCheck check)
{
    switch (check) {
    case AnswerCheck::Whole:
        return "whole";
    case AnswerCheck::Truncated:
        return "truncated";
    case AnswerCheck::Damaged:
        return "damaged";
    case AnswerCheck::OtherAttempt:
        return "other_attempt";
    case AnswerCheck::OtherRequest:
        return "other_request";
    }
    return "other_request";
}

AnswerCheck checkAnswer(const Job &job, const TaskReport &report)
{
    if (report.m_task.m_key != job.m_request.m_key) {
        return AnswerCheck::OtherRequest;
    }
    if (report.m_task.m_attempt != job.m_attempt || report.m_task.m_fence != job.m_fence) {
        return AnswerCheck::OtherAttempt;
    }
    if (report.m_task.m_member < 0 || static_cast<std::size_t>(report.m_task.m_member) >= job.m_members.size()) {
        return AnswerCheck::OtherRequest;
    }
    if (report.m_state != TaskStatus::Done) {
        return AnswerCheck::Whole;
    }
    if (report.m_result.size() != report.m_resultLength) {
        return AnswerCheck::Truncated;
    }
    if (taskResultDigest(report.m_task, report.m_result) != report.m_resultDigest) {
        return AnswerCheck::Damaged;
    }
    return AnswerCheck::Whole;
}

MemberState memberStateOf(const TaskReport &report)
{
    switch (report.m_state) {
    case TaskStatus::Held:
        return MemberState::Held;
    case TaskStatus::Running:
        return MemberState::Running;
    case TaskStatus::Checkpointed:
        return MemberState::Checkpointed;
    case TaskStatus::Done:
        return MemberState::Done;
    case TaskStatus::Failed:
        return MemberState::Failed;
    case TaskStatus::Stopped:
        return report.m_everStarted ? MemberState::Stopped : MemberState::NeverStarted;
    }
    return MemberState::NotKnown;
}

} // namespace PrimroseBridge
