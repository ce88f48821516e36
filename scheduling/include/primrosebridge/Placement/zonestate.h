#pragma once

#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/request.h"

#include <vector>

namespace PrimroseBridge {

/// A worker as it is now, in contrast to what the configuration declares.
struct WorkerState {
    const Worker m_worker;
    const BackendServerStatus m_status;
    const AcceleratorSet m_usable; ///< Those present and working; parts may have been removed.
    const bool m_ejected; ///< Kept out of placement because of its score.

    bool operator==(const WorkerState &) const = default;
};

/// Resources that one attempt of a request occupies.
struct Allocation {
    const RequestKey m_key;
    const int m_attempt;
    const OrganisationId m_organisation;
    const JobClassId m_jobClass;
    const Tier m_tier;
    const Shape m_shape;
    const std::vector<GangMember> m_members;
    const Instant m_startedAt;
    const Duration m_expectedRunTime; ///< Corrected estimate.
    const bool m_checkpointable;
    const bool m_restartable;
    const bool m_releasing; ///< A checkpoint or stop has been commanded and not yet reported.

    bool operator==(const Allocation &) const = default;
};

/// A request that waits for placement.
struct QueuedJob {
    const RequestKey m_key;
    const int m_attempt; ///< The attempt that its placement will be.
    const OrganisationId m_organisation;
    const JobClassId m_jobClass;
    const Tier m_tier;
    const Shape m_shape;
    const Duration m_expectedRunTime; ///< Corrected estimate.
    const bool m_checkpointable;
    const bool m_restartable;
    const Instant m_submittedAt;

    bool operator==(const QueuedJob &) const = default;
};

/// Everything that a scheduling decision for one availability zone depends on.
struct ZoneState {
    const ZoneId m_zone;
    const std::vector<WorkerState> m_workers;
    const std::vector<Allocation> m_allocations;
    const std::vector<QueuedJob> m_queue;
    const std::vector<Guarantee> m_guarantees; ///< Those of this zone only.
    const std::vector<Organisation> m_organisations;
    const ObjectiveWeights m_weights;

    bool operator==(const ZoneState &) const = default;
};

} // namespace PrimroseBridge
