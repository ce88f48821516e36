#include "references.h"

#include <map>
#include <set>

namespace PrimroseBridge {

/// Paths at which each text was first seen.
using FirstUse = std::map<std::string, std::string>;

static void checkUnique(FirstUse &seen, const std::string &text, const std::string &path, FaultList &faults)
{
    if (faults.hasRelatedFault(path)) {
        return;
    }
    const auto [first, isNew] = seen.emplace(text, path);
    if (!isNew) {
        faults.add(path, "is " + quoteTruncated(text) + ", which " + first->second + " already uses", "use each identifier once");
    }
}

/// Like checkUnique(), but does not show the digest of a token.
static void checkUniqueToken(FirstUse &seen, const std::string &digest, const std::string &path, FaultList &faults)
{
    if (faults.hasRelatedFault(path)) {
        return;
    }
    const auto [first, isNew] = seen.emplace(digest, path);
    if (!isNew) {
        faults.add(path, "belongs to the same token as " + first->second, "give each organisation and the operators a token of their own");
    }
}

static void checkKnown(const std::set<std::string> &known, const std::string &text, const std::string &path, const std::string &what, FaultList &faults)
{
    if (known.count(text) == 0 && !faults.hasRelatedFault(path)) {
        faults.add(path, "is " + quoteTruncated(text) + ", which is not a declared " + what, "declare it, or use the identifier of a declared " + what);
    }
}

static std::set<std::string> checkRegions(const Configuration &configuration, FaultList &faults)
{
    FirstUse regions;
    FirstUse zones;
    std::set<std::string> known;
    for (std::size_t i = 0; i < configuration.m_regions.size(); ++i) {
        const auto &region = configuration.m_regions[i];
        const auto path = joinPath("/regions", i);
        checkUnique(regions, region.m_id, path + "/id", faults);
        for (std::size_t j = 0; j < region.m_zones.size(); ++j) {
            checkUnique(zones, region.m_zones[j].text(), joinPath(path + "/zones", j), faults);
            known.insert(region.m_zones[j].text());
        }
    }
    return known;
}

static void checkWorkers(const Configuration &configuration, const std::set<std::string> &zones, FaultList &faults)
{
    FirstUse seen;
    for (std::size_t i = 0; i < configuration.m_workers.size(); ++i) {
        const auto path = joinPath("/workers", i);
        checkUnique(seen, configuration.m_workers[i].m_id.text(), path + "/id", faults);
        checkKnown(zones, configuration.m_workers[i].m_zone.text(), path + "/zone", "availability zone", faults);
    }
}

static std::set<std::string> checkOrganisations(const Configuration &configuration, FaultList &faults)
{
    FirstUse seen;
    FirstUse tokens{{configuration.m_operatorTokenSha256, "/operatorTokenSha256"}};
    std::set<std::string> known;
    for (std::size_t i = 0; i < configuration.m_organisations.size(); ++i) {
        const auto &organisation = configuration.m_organisations[i];
        const auto path = joinPath("/organisations", i);
        checkUnique(seen, organisation.m_id.text(), path + "/id", faults);
        checkUniqueToken(tokens, organisation.m_tokenSha256, path + "/tokenSha256", faults);
        known.insert(organisation.m_id.text());
    }
    return known;
}

void checkReferences(const Configuration &configuration, FaultList &faults)
{
    const auto zones = checkRegions(configuration, faults);
    checkWorkers(configuration, zones, faults);
    const auto organisations = checkOrganisations(configuration, faults);
    FirstUse jobClasses;
    for (std::size_t i = 0; i < configuration.m_jobClasses.size(); ++i) {
        checkUnique(jobClasses, configuration.m_jobClasses[i].m_id.text(), joinPath("/jobClasses", i) + "/id", faults);
    }
    for (std::size_t i = 0; i < configuration.m_guarantees.size(); ++i) {
        const auto path = joinPath("/guarantees", i);
        checkKnown(organisations, configuration.m_guarantees[i].m_organisation.text(), path + "/organisation", "organisation", faults);
        checkKnown(zones, configuration.m_guarantees[i].m_zone.text(), path + "/zone", "availability zone", faults);
    }
}

} // namespace PrimroseBridge
