#pragma once

#include "primrosebridge/Model/fleet.h"
#include "primrosebridge/Model/id.h"
#include "primrosebridge/Model/shape.h"
#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Urgency of a job class. Each tier has its own retry budget and its own place in the queue order.
enum class Tier {
    Urgent, ///< Jobs have to start within 4.5 s.
    Standard,
    Batch, ///< Jobs have no start deadline; they may be backfilled and are preempted first.
};

/// Returns the name as written in the configuration: `urgent`, `standard` or `batch`. Thread-safe.
std::string_view tierName(Tier tier);

/// Inverse of tierName(). Returns an InvalidArgument error that lists the accepted names if @p name is unknown. Thread-safe.
Result<Tier> tierFromName(std::string_view name);

/// A customer of the operator, with its quota and limits.
struct Organisation {
    const OrganisationId m_id;
    const double m_weight; ///< Relative share among organisations that compete for the same capacity; > 0.
    const int m_quotaAccelerators; ///< Maximum number of accelerators in use at once, summed over all zones.
    const int m_queueLimit; ///< Maximum number of requests that wait in one zone.
    const std::string m_tokenSha256; ///< SHA-256 of the bearer token, in lower-case hexadecimal.

    bool operator==(const Organisation &) const = default;
};

/// A kind of job that clients submit.
struct JobClass {
    const JobClassId m_id;
    const Tier m_tier;
    const Shape m_shape;
    const bool m_idempotent; ///< A job may run more than once without harm.
    const bool m_durable; ///< A job is recorded in the store from its acceptance until its outcome is known.
    const bool m_checkpointable; ///< A running job can be checkpointed and resumed.
    const bool m_restartable; ///< A running job can be stopped and run again from the start.
    const Duration m_expectedRunTime;
    const Duration m_maxRunTime; ///< A task that exceeds it is checkpointed or stopped.
    const int m_maxAttempts;

    bool operator==(const JobClass &) const = default;
};

/// Capacity that is guaranteed to an organisation in one zone. While unused, it may be lent to other organisations.
struct Guarantee {
    const OrganisationId m_organisation;
    const ZoneId m_zone;
    const Shape m_shape;
    const int m_count; ///< Number of jobs of this shape that the guarantee covers at the same time.
    const Duration m_reclaimWithin; ///< Upper bound on the time to reclaim lent capacity.
    const int m_priority; ///< When the fleet is too small for all guarantees, those with a lower value are served first.

    bool operator==(const Guarantee &) const = default;
};

/// Weights of the scheduling objective. Both are >= 0 and their sum is 1.
struct ObjectiveWeights {
    const double m_completion; ///< Weight of short completion times.
    const double m_fragmentation; ///< Weight of low fragmentation of the free accelerators.

    bool operator==(const ObjectiveWeights &) const = default;
};

/// A region and its availability zones.
struct Region {
    const std::string m_id;
    const std::vector<ZoneId> m_zones;

    bool operator==(const Region &) const = default;
};

/// The whole configuration of a deployment, read from one validated document.
struct Configuration {
    const std::int64_t m_version; ///< Increases by one with each accepted change; 0 before the first.
    const std::string m_deployment; ///< Display name of the deployment.
    const std::string m_operatorTokenSha256;
    const ObjectiveWeights m_weights;
    const std::vector<Region> m_regions;
    const std::vector<Worker> m_workers;
    const std::vector<Organisation> m_organisations;
    const std::vector<JobClass> m_jobClasses;
    const std::vector<Guarantee> m_guarantees;

    bool operator==(const Configuration &) const = default;
};

/// Returns the job class with identifier @p id, or nullptr. Thread-safe.
const JobClass *findJobClass(const Configuration &configuration, const JobClassId &id);

/// Returns the organisation with identifier @p id, or nullptr. Thread-safe.
const Organisation *findOrganisation(const Configuration &configuration, const OrganisationId &id);

} // namespace PrimroseBridge
