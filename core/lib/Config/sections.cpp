#include "sections.h"

#include "addressfield.h"
#include "fields.h"
#include "limits.h"

#include <algorithm>
#include <cmath>

namespace PrimroseBridge {

template<class T>
static std::vector<T> readList(Fields &fields, std::string_view name, std::size_t maxElements, T (*readElement)(Fields &))
{
    std::vector<T> elements;
    const auto &nodes = fields.list(name, maxElements);
    elements.reserve(nodes.size());
    const auto path = fields.pathOf(name);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        Fields element(nodes[i], joinPath(path, i), fields.faults());
        elements.push_back(readElement(element));
        element.reportUnknown();
    }
    return elements;
}

/// Reads a name for people, which may contain spaces and letters of any language.
static std::string readName(Fields &fields, std::string_view name, const std::string &otherwise)
{
    auto text = fields.text(name, otherwise);
    const bool hasControl = std::any_of(text.begin(), text.end(), [](char character) { return static_cast<unsigned char>(character) < 0x20; });
    if (text.empty() || text.size() > maxNameBytes || hasControl) {
        fields.faults().add(fields.pathOf(name),
                            "is " + inQuotes(text) + " with " + std::to_string(text.size()) + " bytes",
                            "use 1 to " + std::to_string(maxNameBytes) + " bytes without control characters");
    }
    return text;
}

static std::string readTokenDigest(Fields &fields, std::string_view name)
{
    constexpr std::size_t digits = 64;
    auto text = fields.text(name);
    const auto isHexadecimal = [](char character) { return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f'); };
    const bool valid = text.size() == digits && std::all_of(text.begin(), text.end(), isHexadecimal);
    const auto path = fields.pathOf(name);
    if (!valid && !fields.faults().covers(path)) {
        // The value is not shown: it may be the token itself.
        fields.faults().add(path,
                            "has " + std::to_string(text.size()) + " characters and is not the SHA-256 of a token",
                            "use the 64 lower-case hexadecimal digits that `printf %s TOKEN | sha256sum` prints");
    }
    return text;
}

static ObjectiveWeights readWeights(Fields &root)
{
    if (!root.has("weights")) {
        root.object("weights"); // Makes the name known.
        return {0.5, 0.5};
    }
    auto fields = root.object("weights");
    const ObjectiveWeights weights{fields.number("completion", shareRange), fields.number("fragmentation", shareRange)};
    fields.reportUnknown();
    const double sum = weights.m_completion + weights.m_fragmentation;
    constexpr double tolerance = 1e-6; // Allows for decimal fractions such as 0.7 + 0.3.
    if (std::abs(sum - 1) > tolerance && !fields.faults().covers(fields.path())) {
        fields.faults().add(fields.path(), "have the sum " + std::to_string(sum) + ", not 1", "change completion or fragmentation so that the sum is 1");
    }
    return weights;
}

static std::vector<ZoneId> readZones(Fields &fields)
{
    std::vector<ZoneId> zones;
    const auto path = fields.pathOf("zones");
    const auto &nodes = fields.list("zones", maxZonesPerRegion);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto *text = std::get_if<std::string>(&nodes[i].m_value);
        const auto id = ZoneId::create(text == nullptr ? "" : *text);
        if (text == nullptr) {
            fields.faults().add(joinPath(path, i), "is " + describeNode(nodes[i]) + ", not a text", "write the identifier in double quotes");
        } else if (!id.ok()) {
            fields.faults().add(joinPath(path, i), "is " + inQuotes(*text) + ": " + id.error().message(), id.error().remedy());
        }
        zones.push_back(id.ok() ? id.value() : ZoneId::create("invalid").value());
    }
    if (nodes.empty() && !fields.faults().covers(path)) {
        fields.faults().add(path, "is empty or missing", "name at least one availability zone");
    }
    return zones;
}

static Region readRegion(Fields &fields)
{
    const auto id = fields.text("id");
    const auto checked = checkIdentifier("region", id);
    if (!checked.ok() && !fields.faults().covers(fields.pathOf("id"))) {
        fields.faults().add(fields.pathOf("id"), "is " + inQuotes(id) + ": " + checked.error().message(), checked.error().remedy());
    }
    return {id, readZones(fields)};
}

static Worker readWorker(Fields &fields)
{
    return {fields.identifier<WorkerTag>("id"),
            fields.identifier<ZoneTag>("zone"),
            fields.identifier<RackTag>("rack"),
            static_cast<int>(fields.integer("cores", coresRange)),
            fields.integer("memoryMb", memoryMbRange),
            static_cast<int>(fields.integer("accelerators", workerAcceleratorsRange)),
            readSocketAddress(fields, "address")};
}

static Organisation readOrganisation(Fields &fields)
{
    return {fields.identifier<OrganisationTag>("id"),
            fields.number("weight", weightRange, 1),
            static_cast<int>(fields.integer("quotaAccelerators", quotaRange)),
            static_cast<int>(fields.integer("queueLimit", queueLimitRange, 1000)),
            readTokenDigest(fields, "tokenSha256")};
}

/// Reads a text with the given names; @p fromName is the inverse of the enumeration's name function.
template<class T>
static T readEnumeration(Fields &fields, std::string_view name, const std::string &otherwise, Result<T> (*fromName)(std::string_view))
{
    const auto value = fromName(fields.text(name, otherwise));
    if (!value.ok()) {
        fields.faults().add(fields.pathOf(name), value.error().message(), value.error().remedy());
    }
    return value.ok() ? value.value() : fromName(otherwise).value();
}

static Shape readShape(Fields &parent)
{
    auto fields = parent.object("shape");
    const Shape shape{static_cast<int>(fields.integer("accelerators", shapeAcceleratorsRange)),
                      readEnumeration(fields, "adjacency", "SameWorker", adjacencyFromName),
                      static_cast<int>(fields.integer("cores", shapeCoresRange, 1)),
                      fields.integer("memoryMb", shapeMemoryMbRange, 1024)};
    fields.reportUnknown();
    return shape;
}

static void checkRepetition(Fields &fields, const JobClass &jobClass)
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

static JobClass readJobClass(Fields &fields)
{
    const auto expected = fields.integer("expectedRunTimeMs", runTimeMsRange);
    const auto defaultMax = std::min(expected * defaultRunTimeFactor, runTimeMsRange.m_max);
    // The defaults are the safe ones: a class that says nothing of repetition is never run twice.
    JobClass jobClass{fields.identifier<JobClassTag>("id"),
                      readEnumeration(fields, "tier", "standard", tierFromName),
                      readShape(fields),
                      fields.boolean("idempotent", false),
                      fields.boolean("durable", true),
                      fields.boolean("checkpointable", false),
                      fields.boolean("restartable", false),
                      Duration(expected),
                      Duration(fields.integer("maxRunTimeMs", runTimeMsRange, defaultMax)),
                      static_cast<int>(fields.integer("maxAttempts", attemptsRange, 3))};
    checkRepetition(fields, jobClass);
    const auto maxPath = fields.pathOf("maxRunTimeMs");
    const bool comparable = !fields.faults().covers(maxPath) && !fields.faults().covers(fields.pathOf("expectedRunTimeMs"));
    if (jobClass.m_maxRunTime < jobClass.m_expectedRunTime && comparable) {
        fields.faults().add(maxPath,
                            "is " + std::to_string(jobClass.m_maxRunTime.count()) + ", less than expectedRunTimeMs, which is " + std::to_string(expected),
                            "raise maxRunTimeMs or lower expectedRunTimeMs");
    }
    return jobClass;
}

static Guarantee readGuarantee(Fields &fields)
{
    return {fields.identifier<OrganisationTag>("organisation"),
            fields.identifier<ZoneTag>("zone"),
            readShape(fields),
            static_cast<int>(fields.integer("count", countRange, 1)),
            Duration(fields.integer("reclaimWithinMs", reclaimMsRange, 60000)),
            static_cast<int>(fields.integer("priority", priorityRange, 100))};
}

Configuration readSections(const JsonNode &root, FaultList &faults)
{
    Fields fields(root, "", faults);
    Configuration configuration{fields.integer("version", versionRange, 0),
                                readName(fields, "deployment", "primrosebridge"),
                                readTokenDigest(fields, "operatorTokenSha256"),
                                readWeights(fields),
                                readList(fields, "regions", maxRegions, readRegion),
                                readList(fields, "workers", maxWorkers, readWorker),
                                readList(fields, "organisations", maxOrganisations, readOrganisation),
                                readList(fields, "jobClasses", maxJobClasses, readJobClass),
                                readList(fields, "guarantees", maxGuarantees, readGuarantee)};
    fields.reportUnknown();
    return configuration;
}

} // namespace PrimroseBridge
