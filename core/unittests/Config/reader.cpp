#include "primrosebridge/Config/reader.h"

#include "configtestdata.h"

#include <catch2/catch.hpp>

#include <map>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static Configuration readValidConfiguration(const std::string &document)
{
    const auto read = readConfiguration(document);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        FAIL(describeFaults(*faults));
    }
    return std::get<Configuration>(read);
}

// The defaults have to be safe: a job whose class does not set these fields is recorded and never runs twice.
TEST_CASE("missing fields of a document get their defaults")
{
    const auto configuration = readValidConfiguration(smallDocument());
    CHECK(configuration.m_version == 0);
    const auto &jobClass = configuration.m_jobClasses.at(0);
    CHECK(jobClass.m_tier == Tier::Standard);
    CHECK_FALSE(jobClass.m_idempotent);
    CHECK(jobClass.m_durable);
    CHECK_FALSE(jobClass.m_restartable);
    CHECK(jobClass.m_maxRunTime == Duration(10000));
    CHECK(configuration.m_organisations.at(0).m_queueLimit == 1000);
    CHECK(configuration.m_guarantees.at(0).m_reclaimWithin == Duration(60000));
}

// Guards against a field that is not written, or written under another name: each change in the console would then lose its value.
TEST_CASE("writing and reading a configuration gives the same value")
{
    const auto configuration = withVersion(readValidConfiguration(smallDocument()), 41);
    CHECK(readValidConfiguration(writeConfiguration(configuration)) == configuration);
}

TEST_CASE("the example configurations are valid, have the sizes of their deployments and can be written and read again")
{
    struct Expected {
        const std::string m_file;
        const std::size_t m_zones;
        const std::size_t m_maxWorkersPerRack;
        const int m_cores;
    };
    for (const auto &expected : {Expected{"zwolle.json", 4, 6, 32}, Expected{"stara-zagora.json", 3, 8, 128}}) {
        INFO(expected.m_file);
        const auto configuration = readValidConfiguration(readFile(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/" + expected.m_file));
        CHECK(readValidConfiguration(writeConfiguration(configuration)) == configuration);
        CHECK(configuration.m_regions.at(0).m_zones.size() == expected.m_zones);
        CHECK(configuration.m_organisations.size() == 4);
        CHECK(configuration.m_jobClasses.size() == 3);
        CHECK(configuration.m_workers.size() >= 48);
        CHECK(configuration.m_workers.size() <= 52);
        std::map<std::string, std::size_t> racks;
        for (const auto &worker : configuration.m_workers) {
            CHECK(worker.m_accelerators == 8);
            CHECK(worker.m_cores == expected.m_cores);
            ++racks[worker.m_rack.text()];
        }
        for (const auto &rack : racks) {
            CHECK(rack.second <= expected.m_maxWorkersPerRack);
        }
    }
}

TEST_CASE("faults are described on one line each, with path, problem and remedy")
{
    CHECK(describeFaults({{"", "is empty", "write one"}, {"/a/0", "is 1", "use 2"}}) == "document: is empty; write one\n/a/0: is 1; use 2\n");
}
