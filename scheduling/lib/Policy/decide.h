#pragma once

#include "joborder.h"
#include "passcontext.h"

#include <map>

namespace PrimroseBridge {

/// What decides whether a failed search would fail again in the same pass: free capacity only shrinks during a pass.
using SearchKey = std::tuple<ShapeKey, int, int, unsigned>;

/// Searches that found nothing, with the rule that stood in the way.
using FailedSearches = std::map<SearchKey, DecisionRule>;

/// Decides on one job and adds the decision and its explanation to @p draft. Thread-safe.
void decideJob(const PassContext &context, int job, int level, PassDraft &draft, FailedSearches &failed);

} // namespace PrimroseBridge
