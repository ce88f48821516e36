#pragma once

#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/error.h"

#include <map>
#include <optional>

namespace PrimroseBridge {

/// Load of one zone as admission sees it.
struct AdmissionLoad {
    const std::map<OrganisationId, int> m_queued; ///< Requests waiting, for each organisation.
    const double m_startsPerSecond; ///< Recent rate of starts in the zone.

    bool operator==(const AdmissionLoad &) const = default;
};

/// Empty if one more request of @p organisation may wait; else QueueFull with the time after which a place is expected.
/// Thread-safe.
std::optional<Error> admissionError(const AdmissionLoad &load, const Organisation &organisation);

/// Tokens that retries of one tier spend and first attempts earn.
struct RetryBudget {
    const double m_tokens;
    const Instant m_updatedAt;

    bool operator==(const RetryBudget &) const = default;
};

/// A full budget. Thread-safe.
RetryBudget initialRetryBudget(Instant now);

/// The budget after a first attempt. Thread-safe.
RetryBudget earnRetry(const RetryBudget &budget, Instant now);

/// The budget after one retry, or empty if there is none left. Thread-safe.
std::optional<RetryBudget> spendRetry(const RetryBudget &budget, Instant now);

} // namespace PrimroseBridge
