#pragma once

#include "primrosebridge/Records/job.h"

#include <string_view>

namespace PrimroseBridge {

/// What a worker's report is worth.
enum class AnswerCheck {
    Whole,
    Truncated, ///< The result is shorter or longer than stated.
    Damaged, ///< The result does not have the stated digest.
    OtherAttempt, ///< Late: belongs to an attempt that is no longer current.
    OtherRequest, ///< Crossed: belongs to another request or to no member.
};

/// The name in lower_snake_case, used as a metric label. Thread-safe.
std::string_view answerCheckName(AnswerCheck check);

/// Checks a report against the job that it claims to belong to. Only Whole reports may change the job. Thread-safe.
AnswerCheck checkAnswer(const Job &job, const TaskReport &report);

/// The member state that a whole report stands for. Thread-safe.
MemberState memberStateOf(const TaskReport &report);

} // namespace PrimroseBridge
