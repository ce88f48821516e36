#include "references.h"

#include <map>
#include <set>

namespace PrimroseBridge {

/// Maps each text to the path at which it first occurs.
using FirstUsePaths = std::map<std::string, std::string>;

static void checkUnique(FirstUsePaths &seen, const std::string &text, const std::string &path, FaultList &faults)
{
    if (faults.hasRelatedFault(path)) {
        return;
    }
    const auto [first, isNew] = seen.emplace(text, path);
    if (!isNew) {
        faults.add(path, "is " + quoteTruncated(text) + ", which " + first->second + " already uses", "use each identifier once");
    }
}

/// Like checkUnique(), but the fault does not show the digest of the token.
static void checkUniqueToken(FirstUsePaths &seen, const std::string &digest, const std::string &path, FaultList &faults)
{
    if (faults.hasRelatedFault(path)) {
        return;
    }
    const auto [first, isNew] = seen.emplace(digest, path);
    if (!isNew) {
        faults.add(path, "belongs to the same token as " + first->second, "use a separate token for each organisation and for the operators");
    }
}

static void checkDeclared(const std::set<std::string> &declared, const std::string &text, const std::string &path, const std::string &kind, FaultList &faults)
{
    if (declared.count(text) == 0 && !faults.hasRelatedFault(path)) {
        faults.add(path, "is " + quoteTruncated(text) + ", which is not a declared " + kind, "declare it, or use the identifier of a declared " + kind);
    }
}

/// Checks that the identifiers of regions and zones are unique, and returns the zone identifiers.
static std::set<std::string> checkRegionsAndCollectZoneIds(const Configuration &configuration, FaultList &faults)
{
    FirstUsePaths regions;
    FirstUsePaths zones;
    std::set<std::string> declared;
    for (std::size_t i = 0; i < configuration.m_regions.size(); ++i) {
        const auto &region = configuration.m_regions[i];
        const auto path = joinPath("/regions", i);
        checkUnique(regions, region.m_id, path + "/id", faults);
        for (std::size_t j = 0; j < region.m_zones.size(); ++j) {
            checkUnique(zones, region.m_zones[j].text(), joinPath(path + "/zones", j), faults);
            declared.insert(region.m_zones[j].text());
        }
    }
    return declared;
}

static void checkWorkers(const Configuration &configuration, const std::set<std::string> &zones, FaultList &faults)
{
    FirstUsePaths seen;
    for (std::size_t i = 0; i < configuration.m_workers.size(); ++i) {
        const auto path = joinPath("/workers", i);
        checkUnique(seen, configuration.m_workers[i].m_id.text(), path + "/id", faults);
        checkDeclared(zones, configuration.m_workers[i].m_zone.text(), path + "/zone", "availability zone", faults);
    }
}

/// Checks that the identifiers and tokens of organisations are unique, and returns the organisation identifiers.
static std::set<std::string> checkOrganisationsAndCollectIds(const Configuration &configuration, FaultList &faults)
{
    FirstUsePaths seen;
    FirstUsePaths tokens{{configuration.m_operatorTokenSha256, "/operatorTokenSha256"}};
    std::set<std::string> declared;
    for (std::size_t i = 0; i < configuration.m_organisations.size(); ++i) {
        const auto &organisation = configuration.m_organisations[i];
        const auto path = joinPath("/organisations", i);
        checkUnique(seen, organisation.m_id.text(), path + "/id", faults);
        checkUniqueToken(tokens, organisation.m_tokenSha256, path + "/tokenSha256", faults);
        declared.insert(organisation.m_id.text());
    }
    return declared;
}

void checkReferences(const Configuration &configuration, FaultList &faults)
{
    const auto zones = checkRegionsAndCollectZoneIds(configuration, faults);
    checkWorkers(configuration, zones, faults);
    const auto organisations = checkOrganisationsAndCollectIds(configuration, faults);
    FirstUsePaths jobClasses;
    for (std::size_t i = 0; i < configuration.m_jobClasses.size(); ++i) {
        checkUnique(jobClasses, configuration.m_jobClasses[i].m_id.text(), joinPath("/jobClasses", i) + "/id", faults);
    }
    for (std::size_t i = 0; i < configuration.m_guarantees.size(); ++i) {
        const auto path = joinPath("/guarantees", i);
        checkDeclared(organisations, configuration.m_guarantees[i].m_organisation.text(), path + "/organisation", "organisation", faults);
        checkDeclared(zones, configuration.m_guarantees[i].m_zone.text(), path + "/zone", "availability zone", faults);
    }
}

} // namespace PrimroseBridge
