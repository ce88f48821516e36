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

/// Urgency of a job class. Retry budgets and queue order are kept for each tier.
enum class Tier {
    Urgent, ///< Starts within 4.5 s.
    Standard,
    Batch, ///< Patient; may be backfilled and preempted first.
};

/// The name as written in the configuration: `urgent`, `standard` or `batch`. Thread-safe.
std::string_view tierName(Tier tier);

/// Inverse of tierName(); InvalidArgument lists the accepted names. Thread-safe.
Result<Tier> tierFromName(std::string_view name);

/// A customer of the operator, with its quota and limits.
struct Organisation {
    const OrganisationId m_id;
    const double m_weight; ///< Share among organisations that compete for the same capacity; > 0.
    const int m_quotaAccelerators; ///< Most accelerators in use at once, over all zones.
    const int m_queueLimit; ///< Most requests waiting in one zone.
    const std::string m_tokenSha256; ///< Lower-case hexadecimal SHA-256 of the bearer token.

    bool operator==(const Organisation &) const = default;
};

/// A kind of job that clients submit.
struct JobClass {
    const JobClassId m_id;
    const Tier m_tier;
    const Shape m_shape;
    const bool m_idempotent; ///< May run more than once without harm.
    const bool m_durable; ///< Kept in the store from acceptance to outcome.
    const bool m_checkpointable; ///< Can be checkpointed and resumed.
    const bool m_restartable; ///< Can be stopped and run again from the start.
    const Duration m_expectedRunTime;
    const Duration m_maxRunTime; ///< A task that runs longer is checkpointed or stopped.
    const int m_maxAttempts;

    bool operator==(const JobClass &) const = default;
};

/// Capacity that an organisation can claim at any time in one zone.
struct Guarantee {
    const OrganisationId m_organisation;
    const ZoneId m_zone;
    const Shape m_shape;
    const int m_count; ///< How many such shapes at once.
    const Duration m_reclaimWithin; ///< Lent capacity is back within this time.
    const int m_priority; ///< Lower is served first when the fleet is too small for all guarantees.

    bool operator==(const Guarantee &) const = default;
};

/// What the deployment values: both weights are >= 0 and sum to 1.
struct ObjectiveWeights {
    const double m_completion;
    const double m_fragmentation;

    bool operator==(const ObjectiveWeights &) const = default;
};

/// A region and its availability zones.
struct Region {
    const std::string m_id;
    const std::vector<ZoneId> m_zones;

    bool operator==(const Region &) const = default;
};

/// The whole configuration of a deployment, as one checked document.
struct Configuration {
    const std::int64_t m_version; ///< Rises by one with each accepted change; 0 before the first.
    const std::string m_deployment;
    const std::string m_operatorTokenSha256;
    const ObjectiveWeights m_weights;
    const std::vector<Region> m_regions;
    const std::vector<Worker> m_workers;
    const std::vector<Organisation> m_organisations;
    const std::vector<JobClass> m_jobClasses;
    const std::vector<Guarantee> m_guarantees;

    bool operator==(const Configuration &) const = default;
};

/// The job class with this identifier, or nullptr. Thread-safe.
const JobClass *findJobClass(const Configuration &configuration, const JobClassId &id);

/// The organisation with this identifier, or nullptr. Thread-safe.
const Organisation *findOrganisation(const Configuration &configuration, const OrganisationId &id);

} // namespace PrimroseBridge
