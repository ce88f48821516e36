#pragma once

#include "passcontext.h"

#include <tuple>

namespace PrimroseBridge {

/// Precedence of a job; lower is decided first.
enum JobLevel : int {
    EntitledLevel = 0, ///< Claims a unit of its organisation's guarantee.
    StarvingLevel = 1, ///< The one that has waited longest, beyond the limit.
    UrgentLevel = 2,
    FirstAgingLevel = 3, ///< Standard and batch jobs, by tier and age.
};

/// The queue in the order of decision. The order changes while organisations receive capacity.
struct JobOrder {
    std::vector<int> m_levels; ///< One for each queued job.
    std::vector<std::vector<int>> m_jobsOf; ///< Jobs of each organisation, last first; the last entry is for unknown ones.
    std::vector<std::pair<std::tuple<int, int, double, Instant, std::string_view>, int>> m_heads; ///< A heap of organisations.
    int m_last = -1; ///< The organisation of the job returned last.
};

/// The order at the start of a pass. Thread-safe.
JobOrder makeJobOrder(const PassContext &context, const PassDraft &draft);

/// Removes and returns the next job; empty if there is none. Looks at the usage in @p draft. Thread-safe.
std::optional<int> popJob(JobOrder &order, const PassContext &context, const PassDraft &draft);

/// True if a job of shape @p wanted uses a unit of shape @p unit at most in full. Thread-safe.
bool fitsUnit(const Shape &wanted, const Shape &unit);

} // namespace PrimroseBridge
