#include "primrosebridge/Config/reader.h"

#include "capacity.h"
#include "document.h"
#include "references.h"
#include "sections.h"

namespace PrimroseBridge {

ConfigurationOrFaults readConfiguration(std::string_view document)
{
    FaultList faults;
    const auto root = parseDocument(document, maxConfigurationBytes, faults);
    if (!root) {
        return faults.all();
    }
    const auto configuration = readSections(*root, faults);
    checkReferences(configuration, faults);
    checkCapacity(configuration, faults);
    if (!faults.empty()) {
        return faults.all();
    }
    return configuration;
}

std::string describeFaults(const std::vector<ConfigFault> &faults)
{
    std::string text;
    for (const auto &fault : faults) {
        text += (fault.m_path.empty() ? "document" : fault.m_path) + ": " + fault.m_problem + "; " + fault.m_remedy + "\n";
    }
    return text;
}

Configuration withVersion(const Configuration &configuration, std::int64_t version)
{
    return {version,
            configuration.m_deployment,
            configuration.m_operatorTokenSha256,
            configuration.m_weights,
            configuration.m_regions,
            configuration.m_workers,
            configuration.m_organisations,
            configuration.m_jobClasses,
            configuration.m_guarantees};
}

} // namespace PrimroseBridge
