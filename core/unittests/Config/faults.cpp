#include "configtestdata.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

/// A change of smallDocument() that makes it invalid, and the expected fault.
struct InvalidChange {
    const std::string m_from;
    const std::string m_to;
    const std::string m_path;
    const std::string m_text; ///< Expected text in the problem or the remedy.
};

// Each row is a likely mistake of an operator. The fault has to state the path, the value or the limit, and a remedy.
static const std::vector<InvalidChange> invalidChanges = {
    {"\"rack\": \"r1\"", "\"rakc\": \"r1\"", "/workers/0/rakc", "write rack"},
    {"\"rack\": \"r1\"", "\"rakc\": \"r1\"", "/workers/0/rack", "is missing"},
    {"\"deployment\"", "\"shoe size\"", "/shoe size", "remove it"},
    {"\"cores\": 32", "\"cores\": \"32\"", "/workers/0/cores", "is '32', not a whole number"},
    {"\"cores\": 32", "\"cores\": 0", "/workers/0/cores", "is 0, not a whole number from 1 to 4096"},
    {"\"cores\": 32", "\"cores\": 1.5", "/workers/0/cores", "is 1.5"},
    {"\"cores\": 32", "\"cores\": 18446744073709551615", "/workers/0/cores", "4096"},
    {"\"cores\": 32", "\"cores\": null", "/workers/0/cores", "is null"},
    {"\"accelerators\": 8", "\"accelerators\": 33", "/workers/0/accelerators", "32"},
    {"\"accelerators\": 2}", "\"accelerators\": 2, \"accelerators\": 1}", "/jobClasses/0/shape/accelerators", "more than once"},
    {"\"id\": \"w2\"", "\"id\": \"w1\"", "/workers/1/id", "/workers/0/id already uses"},
    {"\"id\": \"w2\"", "\"id\": \"w/2\"", "/workers/1/id", "a-z A-Z"},
    {"\"zones\": [\"z1\"]", "\"zones\": [\"z1\", \"z1\"]", "/regions/0/zones/1", "already uses"},
    {"\"zones\": [\"z1\"]", "\"zones\": [\"z1\", 7]", "/regions/0/zones/1", "not a string"},
    {"\"zone\": \"z1\"", "\"zone\": \"z9\"", "/workers/0/zone", "'z9', which is not a declared availability zone"},
    {"\"organisation\": \"org\"", "\"organisation\": \"gro\"", "/guarantees/0/organisation", "not a declared organisation"},
    {"\"1111", "\"AAAA", "/organisations/0/tokenSha256", "64 lower-case"},
    {std::string(64, '1'), std::string(64, '0'), "/organisations/0/tokenSha256", "same token as /operatorTokenSha256"},
    {"\"count\": 1", "\"count\": 3", "/guarantees/0/count", "holds only 2"},
    {"\"cores\": 16", "\"cores\": 33", "/guarantees/0/count", "holds only 0"},
    {"{\"accelerators\": 2}", "{\"accelerators\": 9}", "/jobClasses/0/shape", "no worker of the declared fleet"},
    {"{\"accelerators\": 2}", "{\"accelerators\": 17, \"adjacency\": \"SameRack\"}", "/jobClasses/0/shape", "no rack of the declared fleet"},
    {"{\"accelerators\": 2}", "{\"accelerators\": 17, \"adjacency\": \"Nearest\"}", "/jobClasses/0/shape", "no availability zone of the declared fleet"},
    {"{\"accelerators\": 2}", "{\"accelerators\": 16, \"adjacency\": \"SameRack\", \"cores\": 65}", "/jobClasses/0/shape", "no rack"},
    {"{\"accelerators\": 2}", "{\"accelerators\": 0, \"memoryMb\": 131073}", "/jobClasses/0/shape", "no worker"},
    {"{\"accelerators\": 2}", "{\"accelerators\": 2, \"adjacency\": \"Close\"}", "/jobClasses/0/shape/adjacency", "SameRack"},
    {"{\"accelerators\": 2}", "7", "/jobClasses/0/shape", "is 7, not an object"},
    {"\"id\": \"scan\"", "\"id\": \"scan\", \"durable\": false", "/jobClasses/0/durable", "set durable to true"},
    {"\"id\": \"scan\"", "\"id\": \"scan\", \"restartable\": true", "/jobClasses/0/restartable", "set restartable to false"},
    {"\"id\": \"scan\"", "\"id\": \"scan\", \"tier\": \"now\"", "/jobClasses/0/tier", "urgent, standard or batch"},
    {"\"id\": \"scan\"", "\"id\": \"scan\", \"maxRunTimeMs\": 999", "/jobClasses/0/maxRunTimeMs", "less than expectedRunTimeMs"},
    {"0.7", "0.6", "/weights", "not 1"},
    {"0.7", "NaN", "/weights/completion", "is not JSON"},
    {"0.7", "1e999", "/weights/completion", "is not JSON"},
    {"127.0.0.1:7101", "localhost:7101", "/workers/0/address", "host names are not resolved"},
    {"127.0.0.1:7101", "127.0.0.1:70000", "/workers/0/address", "IP address and port"},
    {"127.0.0.1:7101", "::1:7101", "/workers/0/address", "[fd00::7]"},
    {"\"workers\": [", "\"workers\": {}, \"workers\": [", "/workers", "not a list"},
    {"\"deployment\": \"test\"", "\"deployment\": \"\"", "/deployment", "1 to 128 bytes"},
    {"\"deployment\": \"test\"", "\"version\": -1", "/version", "is -1"},
};

TEST_CASE("each mistake is reported with its path, value and remedy")
{
    for (const auto &change : invalidChanges) {
        const auto faults = readFaults(smallDocumentWith(change.m_from, change.m_to));
        INFO(change.m_to << " gives\n" << describeFaults(faults));
        CHECK(hasFault(faults, change.m_path, change.m_text));
    }
}

// Otherwise operators would have to correct and check a document once for each fault.
TEST_CASE("all faults are reported at once, without those that only result from other faults")
{
    auto document = smallDocumentWith("\"zone\": \"z1\"", "\"zone\": 5");
    document.replace(document.find("0.7"), 3, "0.2");
    document.replace(document.find("\"scan\""), 6, "\"sc/an\"");
    const auto faults = readFaults(document);
    INFO(describeFaults(faults));
    CHECK(faults.size() == 3);
    CHECK(hasFault(faults, "/workers/0/zone", "is 5"));
    CHECK(hasFault(faults, "/weights", "0.5"));
    CHECK(hasFault(faults, "/jobClasses/0/id", "'sc/an'"));
}

// Three guarantees on two workers: each fits alone, but two of them would need the same worker.
TEST_CASE("guarantees that fit alone but not together are refused")
{
    const std::string guarantee = R"({"organisation": "org", "zone": "z1", "shape": {"accelerators": 5}, "count": 1})";
    const auto faults = readFaults(smallDocumentWith("\"guarantees\": [", "\"guarantees\": [" + guarantee + ", " + guarantee + ", "));
    INFO(describeFaults(faults));
    CHECK(faults.size() == 1);
    CHECK(hasFault(faults, "/guarantees/1/count", "beside the other guarantees the zone 'z1' holds only 0"));
    CHECK(std::holds_alternative<Configuration>(readConfiguration(smallDocumentWith("\"guarantees\": [", "\"guarantees\": [" + guarantee + ", "))));
}

TEST_CASE("documents that are not an object, too long or nested too deeply are refused")
{
    CHECK(hasFault(readFaults(""), "", "is not JSON"));
    CHECK(hasFault(readFaults("[]"), "", "not an object"));
    CHECK(hasFault(readFaults(std::string(maxConfigurationBytes + 1, ' ')), "", "the limit is 921600"));
    CHECK(hasFault(readFaults(std::string(100000, '[')), "/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0/0", "levels deep"));
}

// Guards against a message that differs between machines on which char is signed and on which it is not.
TEST_CASE("bytes of a malformed document that are not ASCII are replaced in the message")
{
    for (const std::string document : {"{\"a\": \xc3\xa9}", "{\"a\": \"x\xff\"}", "{\"a\": \"\xc3\xa9\" x}"}) {
        const auto text = describeFaults(readFaults(document));
        CHECK(std::all_of(text.begin(), text.end(), [](unsigned char character) { return character < 0x80; }));
    }
}

// Without a limit on faults, a malicious document would use memory many times its own size.
TEST_CASE("at most 1000 faults are listed individually")
{
    std::string document = "{\"operatorTokenSha256\": \"\"";
    for (int i = 0; i < 3000; ++i) {
        document += ", \"x" + std::to_string(i) + "\": 0";
    }
    const auto faults = readFaults(document + "}");
    CHECK(faults.size() == 1001);
    CHECK(hasFault(faults, "", "2001 more faults are not shown"));
}

// Guards against a capacity check that refuses shapes which the fleet can run.
TEST_CASE("the largest shapes that fit are accepted")
{
    for (const auto *shape : {"{\"accelerators\": 16, \"adjacency\": \"SameRack\", \"cores\": 64, \"memoryMb\": 262144}",
                              "{\"accelerators\": 8, \"cores\": 32, \"memoryMb\": 131072}",
                              "{\"accelerators\": 0, \"cores\": 32}"}) {
        CHECK(std::holds_alternative<Configuration>(readConfiguration(smallDocumentWith("{\"accelerators\": 2}", shape))));
    }
}
