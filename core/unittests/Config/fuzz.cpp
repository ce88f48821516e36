#include "configtestdata.h"

#include <catch2/catch.hpp>

#include <random>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

constexpr unsigned fuzzSeed = 20261204;

static std::string mutateDocument(std::string document, std::mt19937 &random)
{
    static const std::vector<std::string> fragments
        = {"{", "}", "[", "]", ",", ":", "\"", "null", "-1", "1e308", "9223372036854775808", "\\u0000", "\xff", "/*", "//", "0"};
    std::uniform_int_distribution<int> edits(1, 6);
    for (int remaining = edits(random); remaining > 0 && !document.empty(); --remaining) {
        const auto position = std::uniform_int_distribution<std::size_t>(0, document.size() - 1)(random);
        const auto length = std::uniform_int_distribution<std::size_t>(0, 12)(random);
        const auto &fragment = fragments[std::uniform_int_distribution<std::size_t>(0, fragments.size() - 1)(random)];
        switch (std::uniform_int_distribution<int>(0, 3)(random)) {
        case 0:
            document[position] = static_cast<char>(std::uniform_int_distribution<int>(0, 255)(random));
            break;
        case 1:
            document.erase(position, length);
            break;
        case 2:
            document.replace(position, length, fragment);
            break;
        default:
            document.insert(position, document.substr(position, length));
            break;
        }
    }
    return document;
}

// Guards against texts that crash the reader, make it throw, or give a configuration that cannot be written and read again.
TEST_CASE("mutated documents give faults or a configuration that can be written and read again")
{
    std::mt19937 random(fuzzSeed);
    const auto document = smallDocument();
    int valid = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto text = mutateDocument(document, random);
        const auto read = readConfiguration(text);
        if (const auto *configuration = std::get_if<Configuration>(&read)) {
            ++valid;
            const auto again = readConfiguration(writeConfiguration(*configuration));
            REQUIRE(std::holds_alternative<Configuration>(again));
            REQUIRE(std::get<Configuration>(again) == *configuration);
        } else {
            REQUIRE_FALSE(std::get<std::vector<ConfigFault>>(read).empty());
        }
    }
    CHECK(valid > 100); // Otherwise too few mutated documents pass the parser and reach the later checks.
    CHECK(valid < 19000);
}

TEST_CASE("mutated settings give faults or settings")
{
    std::mt19937 random(fuzzSeed);
    const std::string document
        = R"({"vm": "vm1", "zone": "z1", "store": {"host": "127.0.0.1", "port": 2379}, "peers": [{"vm": "vm2", "zone": "z1", "address": "127.0.0.1:9091"}]})";
    for (int i = 0; i < 20000; ++i) {
        const auto read = readProcessSettings(mutateDocument(document, random));
        const auto *faults = std::get_if<std::vector<ConfigFault>>(&read);
        REQUIRE((faults == nullptr || !faults->empty()));
    }
}
