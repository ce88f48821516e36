#include "primrosebridge/Policy/admission.h"

#include <algorithm>
#include <cmath>

namespace PrimroseBridge {

/// Retries may be this share of first attempts.
constexpr double retryShare = 0.1;
/// Tokens of a full budget. It refills by itself in refillPeriod, so that a quiet tier can retry 3 times in 10 s.
constexpr double fullBudget = 3;
constexpr Duration refillPeriod = std::chrono::seconds(10);
/// Tokens that first attempts can save up, so that a long quiet time does not allow a storm of retries.
constexpr double largestBudget = 10;

constexpr Duration shortestRetryAfter = std::chrono::seconds(1);
constexpr Duration longestRetryAfter = std::chrono::minutes(1);

static Duration retryAfter(const AdmissionLoad &load, int excess)
{
    if (load.m_startsPerSecond <= 0) {
        return longestRetryAfter;
    }
    const double milliseconds = std::ceil(excess / load.m_startsPerSecond * 1000);
    const double bounded = std::clamp(milliseconds, static_cast<double>(shortestRetryAfter.count()), static_cast<double>(longestRetryAfter.count()));
    return Duration(static_cast<Duration::rep>(bounded));
}

std::optional<Error> admissionError(const AdmissionLoad &load, const Organisation &organisation)
{
    const auto found = load.m_queued.find(organisation.m_id);
    const int queued = found == load.m_queued.end() ? 0 : found->second;
    if (queued < organisation.m_queueLimit) {
        return std::nullopt;
    }
    return Error(ErrorKind::QueueFull,
                 "organisation " + organisation.m_id.text() + " has " + std::to_string(queued) + " requests waiting and its limit is "
                     + std::to_string(organisation.m_queueLimit),
                 "send the request again after the given time",
                 retryAfter(load, queued - organisation.m_queueLimit + 1));
}

RetryBudget initialRetryBudget(Instant now)
{
    return {fullBudget, now};
}

static RetryBudget refill(const RetryBudget &budget, Instant now)
{
    const double elapsed = static_cast<double>(std::max<std::int64_t>(0, (now - budget.m_updatedAt).count()));
    const double refilled = budget.m_tokens + elapsed * fullBudget / static_cast<double>(refillPeriod.count());
    return {std::max(budget.m_tokens, std::min(refilled, fullBudget)), std::max(now, budget.m_updatedAt)};
}

RetryBudget earnRetry(const RetryBudget &budget, Instant now)
{
    // The larger of both and not their sum, so that retries stay within the share at high rates and within the refill at low ones.
    const RetryBudget refilled = refill(budget, now);
    return {std::max(refilled.m_tokens, std::min(budget.m_tokens + retryShare, largestBudget)), refilled.m_updatedAt};
}

std::optional<RetryBudget> spendRetry(const RetryBudget &budget, Instant now)
{
    const RetryBudget refilled = refill(budget, now);
    if (refilled.m_tokens < 1) {
        return std::nullopt;
    }
    return RetryBudget{refilled.m_tokens - 1, refilled.m_updatedAt};
}

} // namespace PrimroseBridge
