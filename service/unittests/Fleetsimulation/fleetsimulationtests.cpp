#include "fleetsimulation.h"

#include "primrosebridge/Observe/log.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <map>

namespace PrimroseBridge {

namespace {

struct SeedRange {
    std::uint64_t m_first = 1;
    std::uint64_t m_count = 1'000;
    bool m_byHand = false;
};

// FLEETSIMULATION_SEEDS=first:count searches other seeds than CI does.
SeedRange seedRange()
{
    const auto *text = std::getenv("FLEETSIMULATION_SEEDS"); // NOLINT(concurrency-mt-unsafe): no other thread runs.
    if (!text) {
        return {};
    }
    const std::string range(text);
    const auto colon = range.find(':');
    return SeedRange{
        .m_first = std::stoull(range.substr(0, colon)), .m_count = colon == std::string::npos ? 1 : std::stoull(range.substr(colon + 1)), .m_byHand = true};
}

std::string describe(std::uint64_t seed)
{
    if (std::getenv("FLEETSIMULATION_LOG")) { // NOLINT(concurrency-mt-unsafe): no other thread runs.
        startLogging("simulation", LogLevel::Info);
    }
    const auto traced = simulateFleet(seed, true);
    std::string text = "seed " + std::to_string(seed) + "\n";
    for (const auto &line : traced.m_trace) {
        text += line + "\n";
    }
    for (const auto &violation : traced.m_violations) {
        text += violation.m_rule + " at " + std::to_string(toMilliseconds(violation.m_at) % 1'000'000) + ": " + violation.m_text + "\n";
    }
    return text;
}

} // namespace

// Guards against broken rules of the platform in a whole fleet: several owners at a time, workers, a store and a network with faults.
TEST_CASE("no rule is broken in simulated fleets")
{
    const auto range = seedRange();
    std::size_t runs = 0;
    std::map<std::string, int> broken;
    for (auto seed = range.m_first; seed < range.m_first + range.m_count; ++seed) {
        const auto result = simulateFleet(seed, false);
        runs += result.m_runs;
        if (result.m_violations.empty()) {
            continue;
        }
        for (const auto &violation : result.m_violations) {
            ++broken[violation.m_rule];
            if (range.m_byHand) {
                std::cerr << "seed " << seed << " " << violation.m_rule << " at " << toMilliseconds(violation.m_at) % 1'000'000 << ": " << violation.m_text
                          << "\n";
            }
        }
        if (!range.m_byHand) {
            FAIL(describe(seed));
        }
        if (range.m_count == 1) {
            std::cerr << describe(seed);
        }
    }
    std::cerr << range.m_count << " seeds from " << range.m_first << ", " << runs << " runs";
    for (const auto &[rule, count] : broken) {
        std::cerr << ", " << rule << " " << count;
    }
    std::cerr << "\n";
    CHECK(broken.empty());
    CHECK(runs > range.m_count);
}

} // namespace PrimroseBridge
