#include "testnode.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace PrimroseBridge;

// A document with faults must leave the configuration in force as it is.
TEST_CASE("faulty, oversized and unpublished documents are refused without effect")
{
    ConfigurationHolder holder;
    CHECK(holder.offer("{").error().kind() == ErrorKind::InvalidArgument);
    CHECK(holder.offer(std::string(maxConfigurationBytes + 1, ' ')).error().kind() == ErrorKind::TooLarge);
    CHECK(holder.offer(testDocument(0)).error().kind() == ErrorKind::InvalidArgument);
    CHECK(holder.version() == 0);
    CHECK(holder.current() == nullptr);
    CHECK(holder.offer(testDocument(3)).value());
    CHECK_FALSE(holder.offer("{").ok());
    CHECK(holder.current()->m_document == testDocument(3));
}

// The version in force must not go backwards, whatever the order in which the store and the peers deliver documents.
TEST_CASE("an older document never replaces a newer one")
{
    CHECK(rc::check([](const std::vector<std::uint8_t> &order) {
        ConfigurationHolder holder;
        std::vector<std::int64_t> seen;
        holder.subscribe([&seen](const VersionedConfiguration &current) { seen.push_back(current.m_configuration.m_version); });
        std::int64_t highest = 0;
        for (const std::uint8_t choice : order) {
            const std::int64_t version = choice % 8 + 1;
            RC_ASSERT(holder.offer(testDocument(version)).value() == (version > highest));
            highest = std::max(highest, version);
            RC_ASSERT(holder.version() == highest);
        }
        RC_ASSERT(std::is_sorted(seen.begin(), seen.end()) && std::adjacent_find(seen.begin(), seen.end()) == seen.end());
    }));
}

// Subscribers that saw versions out of order would put an older one in force.
TEST_CASE("concurrent offers reach subscribers in rising order and end with the newest")
{
    ConfigurationHolder holder;
    std::vector<std::int64_t> seen;
    holder.subscribe([&seen](const VersionedConfiguration &current) { seen.push_back(current.m_configuration.m_version); });
    std::vector<std::string> documents;
    for (std::int64_t version = 1; version <= 8; ++version) {
        documents.push_back(testDocument(version));
    }
    std::atomic<std::size_t> accepted = 0;
    std::vector<std::thread> threads;
    for (std::size_t start = 0; start < 4; ++start) {
        threads.emplace_back([&holder, &documents, &accepted, start] {
            for (std::size_t index = 0; index < documents.size(); ++index) {
                accepted += holder.offer(documents[(index * 3 + start) % documents.size()]).value() ? 1U : 0U;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(std::is_sorted(seen.begin(), seen.end()));
    CHECK(seen.back() == 8);
    CHECK(seen.size() == accepted);
    CHECK(holder.version() == 8);
}
