#pragma once

#include "workload.h"

#include "primrosebridge/Policy/pass.h"

#include <map>
#include <string>

namespace PrimroseBridge {

using PassFunction = PassResult (*)(const ZoneState &, const PassSettings &, Instant);

/// What one replay measured. Times are in seconds.
struct ReplayResult {
    std::map<std::string, std::vector<double>> m_completion; ///< Of each job class, from submission to end.
    std::vector<double> m_largestWaits; ///< Of the jobs with the most accelerators, from submission to first start.
    std::vector<double> m_reclaims; ///< From the first wait for a reclaim under a guarantee to the start.
    double m_fragmentation = 0; ///< Mean over time while accelerators are free and jobs arrive.
    double m_unavoidable = 0; ///< The part of it that no placement avoids: the remainder of the free accelerators by the shape.
    double m_utilisation = 0; ///< Mean over time while jobs arrive.
    int m_unfinished = 0; ///< Jobs that had not ended a day after the last arrival.
    int m_lapsed = 0; ///< Claims that older work of the same organisation took over.
    int m_releases = 0;
    int m_passes = 0;
};

/// Replays @p workload through @p pass. With @p scores, workers are ejected by their score.
ReplayResult replay(const Workload &workload, PassFunction pass, bool scores);

} // namespace PrimroseBridge
