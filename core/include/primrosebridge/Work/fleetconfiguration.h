#pragma once

#include "primrosebridge/Model/time.h"
#include "primrosebridge/Work/job.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Settings of a job queue: which HTTP calls are routed to it and how its jobs are run.
struct QueueSettings {
    const std::string m_name;
    const std::string m_host; ///< Host name of the calls that are routed to the queue, in lower case.
    const std::string m_pathPrefix; ///< Start of the paths of those calls, with a trailing slash.
    const QueuePolicy m_policy;
    const Duration m_timeout; ///< Time limit of one call.
    const bool m_isPublic; ///< Calls need no API key.

    bool operator==(const QueueSettings &) const = default;
};

/// Settings of an organisation: the API keys of its callers and its guaranteed capacity.
struct OrganisationSettings {
    const std::string m_name;
    const std::vector<std::string> m_apiKeys;
    const std::int64_t m_guaranteedAccelerators; ///< Accelerators guaranteed to the organisation's jobs of priority 0, summed over the whole fleet.

    bool operator==(const OrganisationSettings &) const = default;
};

/// Settings of a worker pool.
struct PoolSettings {
    const std::string m_name;
    const bool m_enforcesCapacity; ///< The workers reject tasks that exceed their free capacity.
    const bool m_standby; ///< The machines of the pool are switched off.

    bool operator==(const PoolSettings &) const = default;
};

/// One version of the operator's configuration of the fleet.
struct FleetConfiguration {
    const std::int64_t m_version;
    const std::vector<QueueSettings> m_queues;
    const std::vector<OrganisationSettings> m_organisations;
    const std::vector<PoolSettings> m_pools;
    const std::size_t m_maxBodyBytes; ///< Maximum size of a request body.

    bool operator==(const FleetConfiguration &) const = default;
};

using FleetConfigurationPointer = std::shared_ptr<const FleetConfiguration>;

/// Returns the queue for a request to @p path on @p host, or nullptr. Of the queues with this host and a prefix of the path, the one
/// with the longest prefix is chosen. Thread-safe.
const QueueSettings *findQueueForRequest(const FleetConfiguration &configuration, std::string_view host, std::string_view path);

/// Returns the queue with this name, or nullptr. Thread-safe.
const QueueSettings *findQueueByName(const FleetConfiguration &configuration, std::string_view name);

/// Returns the number of failed runs of a task after which the job fails: that of the policy under which it was accepted, or else that of
/// its queue in @p configuration, which may be null. Empty if neither is known. Thread-safe.
std::optional<int> findMaxAttempts(const JobSpec &job, const FleetConfigurationPointer &configuration);

/// Returns the organisation that has the API key @p key, or nullptr. Thread-safe.
const OrganisationSettings *findOrganisationByApiKey(const FleetConfiguration &configuration, std::string_view key);

} // namespace PrimroseBridge
