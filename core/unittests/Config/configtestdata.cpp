#include "configtestdata.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace PrimroseBridge::Test {

std::string readFile(const std::string &path)
{
    const std::ifstream file(path, std::ios::binary);
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string smallDocument()
{
    return R"({
  // One rack of two workers.
  "deployment": "test", /* no version: 0 */
  "operatorTokenSha256": "0000000000000000000000000000000000000000000000000000000000000000",
  "weights": {"completion": 0.7, "fragmentation": 0.3},
  "regions": [{"id": "north", "zones": ["z1"]}],
  "workers": [
    {"id": "w1", "zone": "z1", "rack": "r1", "cores": 32, "memoryMb": 131072, "accelerators": 8, "address": "127.0.0.1:7101"},
    {"id": "w2", "zone": "z1", "rack": "r1", "cores": 32, "memoryMb": 131072, "accelerators": 8, "address": "[::1]:7101"}
  ],
  "organisations": [{"id": "org", "quotaAccelerators": 16, "tokenSha256": "1111111111111111111111111111111111111111111111111111111111111111"}],
  "jobClasses": [{"id": "scan", "shape": {"accelerators": 2}, "expectedRunTimeMs": 1000}],
  "guarantees": [{"organisation": "org", "zone": "z1", "shape": {"accelerators": 8, "cores": 16, "memoryMb": 65536}, "count": 1}]
})";
}

std::string smallDocumentWith(const std::string &from, const std::string &to)
{
    auto document = smallDocument();
    const auto position = document.find(from);
    REQUIRE(position != std::string::npos);
    return document.replace(position, from.size(), to);
}

std::vector<ConfigFault> readFaults(const std::string &document)
{
    const auto read = readConfiguration(document);
    REQUIRE(std::holds_alternative<std::vector<ConfigFault>>(read));
    return std::get<std::vector<ConfigFault>>(read);
}

bool hasFault(const std::vector<ConfigFault> &faults, const std::string &path, const std::string &text)
{
    return std::any_of(faults.begin(), faults.end(), [&](const ConfigFault &fault) {
        return fault.m_path == path && (fault.m_problem + "; " + fault.m_remedy).find(text) != std::string::npos;
    });
}

} // namespace PrimroseBridge::Test
