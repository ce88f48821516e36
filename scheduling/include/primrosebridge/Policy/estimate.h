#pragma once

#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

/// Learned relation of reported to declared run time for one job class.
struct RunTimeEstimate {
    const double m_ratio; ///< Moving average of reported / declared run time.
    const int m_samples;

    bool operator==(const RunTimeEstimate &) const = default;
};

/// The estimate before anything was reported. Thread-safe.
RunTimeEstimate initialEstimate();

/// The estimate after one more report. Preconditions: both durations > 0. Thread-safe.
RunTimeEstimate observeRunTime(const RunTimeEstimate &estimate, Duration declared, Duration reported);

/// The run time to plan with: the declared one corrected by the estimate, at most the class's limit. Thread-safe.
Duration expectedRunTime(const RunTimeEstimate &estimate, const JobClass &jobClass, Duration declared);

} // namespace PrimroseBridge
