#pragma once

#include "primrosebridge/Model/time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// A queue of jobs: which calls reach it and how its jobs are run.
struct QueueSettings {
    const std::string m_name;
    const std::string m_host; ///< Of the calls that reach it, in lower case.
    const std::string m_pathPrefix; ///< Of their paths, with the trailing slash.
    const std::string m_workerPool; ///< Pool of workers that runs its tasks.
    const int m_priority; ///< 0 is the most urgent.
    const int m_maxAttempts; ///< Failed runs after which a task, or a gang, fails the job.
    const double m_slackFactor; ///< The latency objective is this many times the longest chain of work, and m_latencyGoal more.
    const Duration m_latencyGoal;
    const Duration m_timeout; ///< Of one call.
    const bool m_isPublic; ///< Calls need no key.
    const bool m_needsPlacementAdvice; ///< An external service says which workers may run a step.

    bool operator==(const QueueSettings &) const = default;
};

/// An organisation, with the keys of its callers and its guarantee.
struct OrganisationSettings {
    const std::string m_name;
    const std::vector<std::string> m_apiKeys;
    const std::int64_t m_guaranteedAccelerators; ///< For its jobs of priority 0, over the whole fleet.

    bool operator==(const OrganisationSettings &) const = default;
};

/// A pool of workers.
struct PoolSettings {
    const std::string m_name;
    const bool m_enforcesCapacity; ///< Its workers refuse what does not fit.
    const bool m_standby; ///< Its machines are switched off.

    bool operator==(const PoolSettings &) const = default;
};

/// The operator's configuration of the fleet, as one version of the document states it.
struct FleetConfiguration {
    const std::int64_t m_version;
    const std::vector<QueueSettings> m_queues;
    const std::vector<OrganisationSettings> m_organisations;
    const std::vector<PoolSettings> m_pools;
    const std::size_t m_maxBodyBytes;

    bool operator==(const FleetConfiguration &) const = default;
};

using FleetConfigurationPointer = std::shared_ptr<const FleetConfiguration>;

/// The queue whose host matches and whose prefix is the longest that @p path begins with, or null. Thread-safe.
const QueueSettings *findQueueForRequest(const FleetConfiguration &configuration, std::string_view host, std::string_view path);

/// The queue of that name, or null. Thread-safe.
const QueueSettings *findQueueByName(const FleetConfiguration &configuration, std::string_view name);

/// The organisation that holds @p key, or null. Thread-safe.
const OrganisationSettings *findOrganisationByApiKey(const FleetConfiguration &configuration, std::string_view key);

} // namespace PrimroseBridge
