#include "primrosebridge/Work/fleetconfiguration.h"

#include <algorithm>

namespace PrimroseBridge {

const QueueSettings *findQueueForRequest(const FleetConfiguration &configuration, std::string_view host, std::string_view path)
{
    const QueueSettings *best = nullptr;
    for (const auto &queue : configuration.m_queues) {
        if (queue.m_host == host && path.starts_with(queue.m_pathPrefix) && (!best || queue.m_pathPrefix.size() > best->m_pathPrefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const QueueSettings *findQueueByName(const FleetConfiguration &configuration, std::string_view name)
{
    const auto found = std::find_if(configuration.m_queues.begin(), configuration.m_queues.end(), [&](const auto &queue) { return queue.m_name == name; });
    return found == configuration.m_queues.end() ? nullptr : &*found;
}

std::optional<int> findMaxAttempts(const JobSpec &job, const FleetConfigurationPointer &configuration)
{
    if (job.m_acceptedPolicy) {
        return job.m_acceptedPolicy->m_maxAttempts;
    }
    const auto *queue = configuration ? findQueueByName(*configuration, job.m_queue) : nullptr;
    return queue ? std::optional(queue->m_policy.m_maxAttempts) : std::nullopt;
}

const OrganisationSettings *findOrganisationByApiKey(const FleetConfiguration &configuration, std::string_view key)
{
    for (const auto &organisation : configuration.m_organisations) {
        if (std::find(organisation.m_apiKeys.begin(), organisation.m_apiKeys.end(), key) != organisation.m_apiKeys.end()) {
            return &organisation;
        }
    }
    return nullptr;
}

} // namespace PrimroseBridge
