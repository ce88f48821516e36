#include "primrosebridge/Model/configuration.h"

#include <algorithm>

namespace PrimroseBridge {

std::string_view tierName(Tier tier)
{
    switch (tier) {
    case Tier::Urgent:
        return "urgent";
    case Tier::Standard:
        return "standard";
    case Tier::Batch:
        return "batch";
    }
    return "batch";
}

Result<Tier> tierFromName(std::string_view name)
{
    for (const auto tier : {Tier::Urgent, Tier::Standard, Tier::Batch}) {
        if (tierName(tier) == name) {
            return tier;
        }
    }
    return Error(ErrorKind::InvalidArgument, "tier '" + std::string(name) + "' does not exist", "use urgent, standard or batch");
}

const JobClass *findJobClass(const Configuration &configuration, const JobClassId &id)
{
    const auto &classes = configuration.m_jobClasses;
    const auto found = std::find_if(classes.begin(), classes.end(), [&id](const JobClass &jobClass) { return jobClass.m_id == id; });
    return found == classes.end() ? nullptr : &*found;
}

const Organisation *findOrganisation(const Configuration &configuration, const OrganisationId &id)
{
    const auto &organisations = configuration.m_organisations;
    const auto found = std::find_if(organisations.begin(), organisations.end(), [&id](const Organisation &organisation) { return organisation.m_id == id; });
    return found == organisations.end() ? nullptr : &*found;
}

} // namespace PrimroseBridge
