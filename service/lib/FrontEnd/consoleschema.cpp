#include "consoleschema.h"

namespace PrimroseBridge {

static ConsoleField textField(const std::string &pointer, const std::string &label, const std::string &group, const std::string &hint)
{
    return {pointer, label, group, hint, FieldType::Text, {}};
}

static ConsoleField integerField(const std::string &pointer, const std::string &label, const std::string &group, const std::string &hint)
{
    return {pointer, label, group, hint, FieldType::Integer, {}};
}

static ConsoleField decimalField(const std::string &pointer, const std::string &label, const std::string &group, const std::string &hint)
{
    return {pointer, label, group, hint, FieldType::Decimal, {}};
}

static ConsoleField repetitionFlagField(const std::string &pointer, const std::string &label, const std::string &hint)
{
    return {pointer, label, "Repetition", hint, FieldType::Boolean, {"true", "false"}};
}

static ConsoleField choiceField(const std::string &pointer, const std::string &label, const std::string &group, const std::vector<std::string> &choices)
{
    return {pointer, label, group, "", FieldType::Text, choices};
}

static ConsoleSection organisationsSection()
{
    return {"organisations",
            "organisations",
            "Organisations",
            {textField("/id", "Identifier", "Organisation", "Letters, digits, '.', '_' and '-'"),
             textField("/tokenSha256", "SHA-256 of the token", "Organisation", "64 hexadecimal digits: printf %s TOKEN | sha256sum"),
             decimalField("/weight", "Weight", "Limits", "Share among competing organisations; empty for 1"),
             integerField("/quotaAccelerators", "Quota", "Limits", "Most accelerators in use at once, over all zones"),
             integerField("/queueLimit", "Queue limit", "Limits", "Most requests waiting in one zone; empty for 1000")}};
}

static std::vector<ConsoleField> shapeFields()
{
    return {integerField("/shape/accelerators", "Accelerators", "Shape", "0 for a job that needs only cores and memory"),
            choiceField("/shape/adjacency", "Adjacency", "Shape", {"SameWorker", "SameRack", "Nearest"}),
            integerField("/shape/cores", "Cores", "Shape", "In total; empty for 1"),
            integerField("/shape/memoryMb", "Memory", "Shape", "MiB in total; empty for 1024")};
}

static std::vector<ConsoleField>
concatenateFields(std::vector<ConsoleField> first, const std::vector<ConsoleField> &second, const std::vector<ConsoleField> &third)
{
    for (const auto &part : {second, third}) {
        for (const auto &field : part) {
            first.push_back(field);
        }
    }
    return first;
}

static ConsoleSection guaranteesSection()
{
    return {"guarantees",
            "guarantees",
            "Guarantees",
            concatenateFields({textField("/organisation", "Organisation", "Guarantee", "Identifier of an organisation"),
                               textField("/zone", "Availability zone", "Guarantee", "Identifier of a zone"),
                               integerField("/count", "Count", "Guarantee", "How many such shapes at once; empty for 1")},
                              shapeFields(),
                              {integerField("/reclaimWithinMs", "Reclaim within", "Limits", "Milliseconds until lent capacity is back; empty for 60000"),
                               integerField("/priority", "Priority", "Limits", "A lower number is served first; empty for 100")})};
}

static ConsoleSection jobClassesSection()
{
    return {"classes",
            "jobClasses",
            "Job classes",
            concatenateFields({textField("/id", "Identifier", "Job class", "Letters, digits, '.', '_' and '-'"),
                               choiceField("/tier", "Tier", "Job class", {"urgent", "standard", "batch"})},
                              shapeFields(),
                              {repetitionFlagField("/idempotent", "Idempotent", "May run more than once without harm"),
                               repetitionFlagField("/durable", "Durable", "Kept in the store until its outcome"),
                               repetitionFlagField("/checkpointable", "Checkpointable", "Can be checkpointed and resumed"),
                               repetitionFlagField("/restartable", "Restartable", "Can be stopped and run again from the start"),
                               integerField("/expectedRunTimeMs", "Expected run time", "Limits", "Milliseconds"),
                               integerField("/maxRunTimeMs", "Longest run time", "Limits", "Milliseconds; empty for 10 times the expected run time"),
                               integerField("/maxAttempts", "Attempts", "Limits", "Most attempts; empty for 3")})};
}

static ConsoleSection deploymentSection()
{
    return {"deployment",
            "",
            "Deployment",
            {textField("/deployment", "Name", "Deployment", "A name for people"),
             decimalField("/weights/completion", "Weight of completion time", "Weights", "0 to 1; the sum of both weights is 1"),
             decimalField("/weights/fragmentation", "Weight of fragmentation", "Weights", "0 to 1")}};
}

const std::vector<ConsoleSection> &consoleSections()
{
    static const std::vector<ConsoleSection> sections = {organisationsSection(), guaranteesSection(), jobClassesSection(), deploymentSection()};
    return sections;
}

const ConsoleSection *findConsoleSection(const std::string &name)
{
    for (const auto &section : consoleSections()) {
        if (section.m_name == name) {
            return &section;
        }
    }
    return nullptr;
}

} // namespace PrimroseBridge
