#include "consoleschema.h"

namespace PrimroseBridge {

static ConsoleField text(const std::string &pointer, const std::string &label, const std::string &group, const std::string &hint)
{
    return {pointer, label, group, hint, FieldType::Text, {}};
}

static ConsoleField whole(const std::string &pointer, const std::string &label, const std::string &group, const std::string &hint)
{
    return {pointer, label, group, hint, FieldType::Integer, {}};
}

static ConsoleField decimal(const std::string &pointer, const std::string &label, const std::string &group, const std::string &hint)
{
    return {pointer, label, group, hint, FieldType::Decimal, {}};
}

static ConsoleField flag(const std::string &pointer, const std::string &label, const std::string &hint)
{
    return {pointer, label, "Repetition", hint, FieldType::Boolean, {"true", "false"}};
}

static ConsoleField choice(const std::string &pointer, const std::string &label, const std::string &group, const std::vector<std::string> &choices)
{
    return {pointer, label, group, "", FieldType::Text, choices};
}

static ConsoleSection organisations()
{
    return {"organisations",
            "organisations",
            "Organisations",
            {text("/id", "Identifier", "Organisation", "Letters, digits, '.', '_' and '-'"),
             text("/tokenSha256", "SHA-256 of the token", "Organisation", "64 hexadecimal digits: printf %s TOKEN | sha256sum"),
             decimal("/weight", "Weight", "Limits", "Share among competing organisations; empty for 1"),
             whole("/quotaAccelerators", "Quota", "Limits", "Most accelerators in use at once, over all zones"),
             whole("/queueLimit", "Queue limit", "Limits", "Most requests waiting in one zone; empty for 1000")}};
}

static std::vector<ConsoleField> shape()
{
    return {whole("/shape/accelerators", "Accelerators", "Shape", "0 for a job that needs only cores and memory"),
            choice("/shape/adjacency", "Adjacency", "Shape", {"SameWorker", "SameRack", "Nearest"}),
            whole("/shape/cores", "Cores", "Shape", "In total; empty for 1"),
            whole("/shape/memoryMb", "Memory", "Shape", "MiB in total; empty for 1024")};
}

static std::vector<ConsoleField> joined(std::vector<ConsoleField> first, const std::vector<ConsoleField> &second, const std::vector<ConsoleField> &third)
{
    for (const auto &part : {second, third}) {
        for (const auto &field : part) {
            first.push_back(field);
        }
    }
    return first;
}

static ConsoleSection guarantees()
{
    return {"guarantees",
            "guarantees",
            "Guarantees",
            joined({text("/organisation", "Organisation", "Guarantee", "Identifier of an organisation"),
                    text("/zone", "Availability zone", "Guarantee", "Identifier of a zone"),
                    whole("/count", "Count", "Guarantee", "How many such shapes at once; empty for 1")},
                   shape(),
                   {whole("/reclaimWithinMs", "Reclaim within", "Limits", "Milliseconds until lent capacity is back; empty for 60000"),
                    whole("/priority", "Priority", "Limits", "A lower number is served first; empty for 100")})};
}

static ConsoleSection classes()
{
    return {"classes",
            "jobClasses",
            "Job classes",
            joined({text("/id", "Identifier", "Job class", "Letters, digits, '.', '_' and '-'"),
                    choice("/tier", "Tier", "Job class", {"urgent", "standard", "batch"})},
                   shape(),
                   {flag("/idempotent", "Idempotent", "May run more than once without harm"),
                    flag("/durable", "Durable", "Kept in the store until its outcome"),
                    flag("/checkpointable", "Checkpointable", "Can be checkpointed and resumed"),
                    flag("/restartable", "Restartable", "Can be stopped and run again from the start"),
                    whole("/expectedRunTimeMs", "Expected run time", "Limits", "Milliseconds"),
                    whole("/maxRunTimeMs", "Longest run time", "Limits", "Milliseconds; empty for 10 times the expected run time"),
                    whole("/maxAttempts", "Attempts", "Limits", "Most attempts; empty for 3")})};
}

static ConsoleSection deployment()
{
    return {"deployment",
            "",
            "Deployment",
            {text("/deployment", "Name", "Deployment", "A name for people"),
             decimal("/weights/completion", "Weight of completion time", "Weights", "0 to 1; the sum of both weights is 1"),
             decimal("/weights/fragmentation", "Weight of fragmentation", "Weights", "0 to 1")}};
}

const std::vector<ConsoleSection> &consoleSections()
{
    static const std::vector<ConsoleSection> sections = {organisations(), guarantees(), classes(), deployment()};
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
