#include "sections.h"

#include "addressfield.h"
#include "limits.h"
#include "objectreader.h"

#include <algorithm>
#include <cmath>

namespace PrimroseBridge {

template<class T>
static std::vector<T> readElements(ObjectReader &fields, std::string_view name, std::size_t maxElements, T (*readElement)(ObjectReader &))
{
    std::vector<T> elements;
    const auto &nodes = fields.readArray(name, maxElements);
    elements.reserve(nodes.size());
    const auto path = fields.pathOf(name);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        ObjectReader element(nodes[i], joinPath(path, i), fields.faults());
        elements.push_back(readElement(element));
        element.reportUnknownMembers();
    }
    return elements;
}

/// Reads a display name, which may contain spaces and letters of any language.
static std::string readDisplayName(ObjectReader &fields, std::string_view name, const std::string &defaultValue)
{
    auto text = fields.readString(name, defaultValue);
    const bool hasControl = std::any_of(text.begin(), text.end(), [](char character) { return static_cast<unsigned char>(character) < 0x20; });
    if (text.empty() || text.size() > maxNameBytes || hasControl) {
        fields.faults().add(fields.pathOf(name),
                            "is " + quoteTruncated(text) + " with " + std::to_string(text.size()) + " bytes",
                            "use 1 to " + std::to_string(maxNameBytes) + " bytes without control characters");
    }
    return text;
}

static std::string readTokenDigest(ObjectReader &fields, std::string_view name)
{
    constexpr std::size_t digits = 64;
    auto text = fields.readString(name);
    const auto isLowerCaseHexDigit = [](char character) { return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f'); };
    const bool valid = text.size() == digits && std::all_of(text.begin(), text.end(), isLowerCaseHexDigit);
    const auto path = fields.pathOf(name);
    if (!valid && !fields.faults().hasRelatedFault(path)) {
        // The fault does not show the value, which may be the token itself.
        fields.faults().add(path,
                            "has " + std::to_string(text.size()) + " characters and is not the SHA-256 of a token",
                            "use the 64 lower-case hexadecimal digits that `printf %s TOKEN | sha256sum` prints");
    }
    return text;
}

static ObjectiveWeights readWeights(ObjectReader &root)
{
    if (!root.hasMember("weights")) {
        root.readObject("weights"); // Adds the name to the known fields.
        return {0.5, 0.5};
    }
    auto fields = root.readObject("weights");
    const ObjectiveWeights weights{fields.readNumber("completion", objectiveWeightRange), fields.readNumber("fragmentation", objectiveWeightRange)};
    fields.reportUnknownMembers();
    const double sum = weights.m_completion + weights.m_fragmentation;
    constexpr double tolerance = 1e-6; // For rounding errors in sums such as 0.7 + 0.3.
    if (std::abs(sum - 1) > tolerance && !fields.faults().hasRelatedFault(fields.path())) {
        fields.faults().add(fields.path(), "have the sum " + std::to_string(sum) + ", not 1", "change completion or fragmentation so that the sum is 1");
    }
    return weights;
}

static std::vector<ZoneId> readZoneIds(ObjectReader &fields)
{
    std::vector<ZoneId> zones;
    const auto path = fields.pathOf("zones");
    const auto &nodes = fields.readArray("zones", maxZonesPerRegion);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto *text = std::get_if<std::string>(&nodes[i].m_value);
        const auto id = ZoneId::create(text == nullptr ? "" : *text);
        if (text == nullptr) {
            fields.faults().add(joinPath(path, i), "is " + describeNode(nodes[i]) + ", not a string", "write the identifier in double quotes");
        } else if (!id.ok()) {
            fields.faults().add(joinPath(path, i), "is " + quoteTruncated(*text) + ": " + id.error().message(), id.error().remedy());
        }
        zones.push_back(id.ok() ? id.value() : ZoneId::create("invalid").value());
    }
    if (nodes.empty() && !fields.faults().hasRelatedFault(path)) {
        fields.faults().add(path, "is empty or missing", "name at least one availability zone");
    }
    return zones;
}

static Region readRegion(ObjectReader &fields)
{
    const auto id = fields.readString("id");
    const auto checked = checkIdentifier("region", id);
    if (!checked.ok() && !fields.faults().hasRelatedFault(fields.pathOf("id"))) {
        fields.faults().add(fields.pathOf("id"), "is " + quoteTruncated(id) + ": " + checked.error().message(), checked.error().remedy());
    }
    return {id, readZoneIds(fields)};
}

static Worker readWorker(ObjectReader &fields)
{
    return {fields.readIdentifier<WorkerTag>("id"),
            fields.readIdentifier<ZoneTag>("zone"),
            fields.readIdentifier<RackTag>("rack"),
            static_cast<int>(fields.readInteger("cores", coresRange)),
            fields.readInteger("memoryMb", memoryMbRange),
            static_cast<int>(fields.readInteger("accelerators", workerAcceleratorsRange)),
            readSocketAddress(fields, "address")};
}

static Organisation readOrganisation(ObjectReader &fields)
{
    return {fields.readIdentifier<OrganisationTag>("id"),
            fields.readNumber("weight", organisationWeightRange, 1),
            static_cast<int>(fields.readInteger("quotaAccelerators", quotaRange)),
            static_cast<int>(fields.readInteger("queueLimit", queueLimitRange, 1000)),
            readTokenDigest(fields, "tokenSha256")};
}

/// Reads the name of an enumeration value. @p fromName converts a name to the value; @p defaultValue is a valid name.
template<class T>
static T readEnumeration(ObjectReader &fields, std::string_view name, const std::string &defaultValue, Result<T> (*fromName)(std::string_view))
{
    const auto value = fromName(fields.readString(name, defaultValue));
    if (!value.ok()) {
        fields.faults().add(fields.pathOf(name), value.error().message(), value.error().remedy());
    }
    return value.ok() ? value.value() : fromName(defaultValue).value();
}

static Shape readShape(ObjectReader &parent)
{
    auto fields = parent.readObject("shape");
    const Shape shape{static_cast<int>(fields.readInteger("accelerators", shapeAcceleratorsRange)),
                      readEnumeration(fields, "adjacency", "SameWorker", adjacencyFromName),
                      static_cast<int>(fields.readInteger("cores", shapeCoresRange, 1)),
                      fields.readInteger("memoryMb", shapeMemoryMbRange, 1024)};
    fields.reportUnknownMembers();
    return shape;
}

static void checkRerunSettings(ObjectReader &fields, const JobClass &jobClass)
{
    if (jobClass.m_idempotent) {
        return;
    }
    if (!jobClass.m_durable) {
        fields.faults().add(fields.pathOf("durable"),
                            "is false although idempotent is false",
                            "set durable to true: a request that must not run twice is recorded before it is sent to a worker");
    }
    if (jobClass.m_restartable) {
        fields.faults().add(fields.pathOf("restartable"),
                            "is true although idempotent is false",
                            "set restartable to false, or idempotent to true if the job may run more than once without harm");
    }
}

static JobClass readJobClass(ObjectReader &fields)
{
    const auto expected = fields.readInteger("expectedRunTimeMs", runTimeMsRange);
    const auto defaultMax = std::min(expected * defaultMaxRunTimeFactor, runTimeMsRange.m_max);
    // The defaults are safe: a job whose class does not set these fields is recorded and never runs twice.
    JobClass jobClass{fields.readIdentifier<JobClassTag>("id"),
                      readEnumeration(fields, "tier", "standard", tierFromName),
                      readShape(fields),
                      fields.readBoolean("idempotent", false),
                      fields.readBoolean("durable", true),
                      fields.readBoolean("checkpointable", false),
                      fields.readBoolean("restartable", false),
                      Duration(expected),
                      Duration(fields.readInteger("maxRunTimeMs", runTimeMsRange, defaultMax)),
                      static_cast<int>(fields.readInteger("maxAttempts", maxAttemptsRange, 3))};
    checkRerunSettings(fields, jobClass);
    const auto maxPath = fields.pathOf("maxRunTimeMs");
    const bool bothValid = !fields.faults().hasRelatedFault(maxPath) && !fields.faults().hasRelatedFault(fields.pathOf("expectedRunTimeMs"));
    if (jobClass.m_maxRunTime < jobClass.m_expectedRunTime && bothValid) {
        fields.faults().add(maxPath,
                            "is " + std::to_string(jobClass.m_maxRunTime.count()) + ", less than expectedRunTimeMs, which is " + std::to_string(expected),
                            "raise maxRunTimeMs or lower expectedRunTimeMs");
    }
    return jobClass;
}

static Guarantee readGuarantee(ObjectReader &fields)
{
    return {fields.readIdentifier<OrganisationTag>("organisation"),
            fields.readIdentifier<ZoneTag>("zone"),
            readShape(fields),
            static_cast<int>(fields.readInteger("count", guaranteeCountRange, 1)),
            Duration(fields.readInteger("reclaimWithinMs", reclaimMsRange, 60000)),
            static_cast<int>(fields.readInteger("priority", priorityRange, 100))};
}

Configuration readSections(const JsonNode &root, FaultList &faults)
{
    ObjectReader fields(root, "", faults);
    Configuration configuration{fields.readInteger("version", versionRange, 0),
                                readDisplayName(fields, "deployment", "primrosebridge"),
                                readTokenDigest(fields, "operatorTokenSha256"),
                                readWeights(fields),
                                readElements(fields, "regions", maxRegions, readRegion),
                                readElements(fields, "workers", maxWorkers, readWorker),
                                readElements(fields, "organisations", maxOrganisations, readOrganisation),
                                readElements(fields, "jobClasses", maxJobClasses, readJobClass),
                                readElements(fields, "guarantees", maxGuarantees, readGuarantee)};
    fields.reportUnknownMembers();
    return configuration;
}

} // namespace PrimroseBridge
