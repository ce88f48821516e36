#include "primrosebridge/Config/reader.h"

#include "configtestdata.h"

#include <catch2/catch.hpp>

#include <map>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static Configuration configurationOf(const std::string &document)
{
    const auto read = readConfiguration(document);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        FAIL(describeFaults(*faults));
    }
    return std::get<Configuration>(read);
}

// The defaults must be the safe ones: a class that says nothing of repetition is recorded and never run twice.
TEST_CASE("defaults of a document are filled in")
{
    const auto configuration = configurationOf(smallDocument());
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

// A field that is written under another name, or not at all, would lose a setting on each change through the console.
TEST_CASE("writing and reading a configuration gives the same value")
{
    const auto configuration = withVersion(configurationOf(smallDocument()), 41);
    CHECK(configurationOf(writeConfiguration(configuration)) == configuration);
}

TEST_CASE("the examples are valid, have the sizes of the deployments and survive a round trip")
{
    struct Expected {
        const std::string m_file;
        const std::size_t m_zones;
        const std::size_t m_perRack;
        const int m_cores;
    };
    for (const auto &expected : {Expected{"zwolle.json", 4, 6, 32}, Expected{"stara-zagora.json", 3, 8, 128}}) {
        INFO(expected.m_file);
        const auto configuration = configurationOf(readFile(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/" + expected.m_file));
        CHECK(configurationOf(writeConfiguration(configuration)) == configuration);
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
            CHECK(rack.second <= expected.m_perRack);
        }
    }
}

TEST_CASE("faults are described one on a line, with path, problem and remedy")
{
    CHECK(describeFaults({{"", "is empty", "write one"}, {"/a/0", "is 1", "use 2"}}) == "document: is empty; write one\n/a/0: is 1; use 2\n");
}
