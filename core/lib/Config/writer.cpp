#include "primrosebridge/Config/reader.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

static Json toJson(const Shape &shape)
{
    return {{"accelerators", shape.m_accelerators}, {"adjacency", adjacencyName(shape.m_adjacency)}, {"cores", shape.m_cores}, {"memoryMb", shape.m_memoryMb}};
}

static Json toJson(const Region &region)
{
    auto zones = Json::array();
    for (const auto &zone : region.m_zones) {
        zones.push_back(zone.text());
    }
    return {{"id", region.m_id}, {"zones", zones}};
}

static Json toJson(const Worker &worker)
{
    return {{"id", worker.m_id.text()},
            {"zone", worker.m_zone.text()},
            {"rack", worker.m_rack.text()},
            {"cores", worker.m_cores},
            {"memoryMb", worker.m_memoryMb},
            {"accelerators", worker.m_accelerators},
            {"address", worker.m_address}};
}

static Json toJson(const Organisation &organisation)
{
    return {{"id", organisation.m_id.text()},
            {"weight", organisation.m_weight},
            {"quotaAccelerators", organisation.m_quotaAccelerators},
            {"queueLimit", organisation.m_queueLimit},
            {"tokenSha256", organisation.m_tokenSha256}};
}

static Json toJson(const JobClass &jobClass)
{
    return {{"id", jobClass.m_id.text()},
            {"tier", tierName(jobClass.m_tier)},
            {"shape", toJson(jobClass.m_shape)},
            {"idempotent", jobClass.m_idempotent},
            {"durable", jobClass.m_durable},
            {"checkpointable", jobClass.m_checkpointable},
            {"restartable", jobClass.m_restartable},
            {"expectedRunTimeMs", jobClass.m_expectedRunTime.count()},
            {"maxRunTimeMs", jobClass.m_maxRunTime.count()},
            {"maxAttempts", jobClass.m_maxAttempts}};
}

static Json toJson(const Guarantee &guarantee)
{
    return {{"organisation", guarantee.m_organisation.text()},
            {"zone", guarantee.m_zone.text()},
            {"shape", toJson(guarantee.m_shape)},
            {"count", guarantee.m_count},
            {"reclaimWithinMs", guarantee.m_reclaimWithin.count()},
            {"priority", guarantee.m_priority}};
}

template<class T>
static Json toJson(const std::vector<T> &elements)
{
    auto list = Json::array();
    for (const auto &element : elements) {
        list.push_back(toJson(element));
    }
    return list;
}

std::string writeConfiguration(const Configuration &configuration)
{
    const Json document = {{"version", configuration.m_version},
                           {"deployment", configuration.m_deployment},
                           {"operatorTokenSha256", configuration.m_operatorTokenSha256},
                           {"weights", {{"completion", configuration.m_weights.m_completion}, {"fragmentation", configuration.m_weights.m_fragmentation}}},
                           {"regions", toJson(configuration.m_regions)},
                           {"workers", toJson(configuration.m_workers)},
                           {"organisations", toJson(configuration.m_organisations)},
                           {"jobClasses", toJson(configuration.m_jobClasses)},
                           {"guarantees", toJson(configuration.m_guarantees)}};
    // A name that was not read from a document may contain invalid UTF-8, for which dump() throws by default.
    return document.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace PrimroseBridge
