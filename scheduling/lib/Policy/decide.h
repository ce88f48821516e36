#pragma once

#include "joborder.h"
#include "passcontext.h"

#include <map>
#include <set>

namespace PrimroseBridge {

/// What decides whether a failed search would fail again in the same pass: free capacity only shrinks during a pass.
using SearchKey = std::tuple<ShapeKey, int, int, unsigned>;

/// Searches that found nothing.
struct FailedSearches {
    std::map<SearchKey, DecisionRule> m_rules; ///< The rule that stood in the way.
    std::set<ShapeKey> m_unfitting; ///< Shapes that the whole free capacity does not hold.
};

/// Decides on one job and adds the decision and its explanation to @p draft. Thread-safe.
void decideJob(const PassContext &context, int job, int level, PassDraft &draft, FailedSearches &failed);

} // namespace PrimroseBridge
