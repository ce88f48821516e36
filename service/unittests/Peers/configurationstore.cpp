#include "primrosebridge/Peers/configurationstore.h"
#include "primrosebridge/Store/storeclient.h"

#include "testnode.h"

#include "../../../platform/unittests/Store/fakestore.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace PrimroseBridge;
using FakeStore::Fault;

static std::shared_ptr<StoreClient> clientOf(const FakeStore::Server &store)
{
    return StoreClient::create({"127.0.0.1", store.port(), Duration(300), 1000, 1000}).value();
}

static std::string valueOf(FakeStore::Server &store, const std::string &key)
{
    return store.contents().entries()[key].m_value;
}

static Configuration parsed(const std::string &document)
{
    return std::get<Configuration>(readConfiguration(document));
}

static void failCommits(FakeStore::Server &store, Fault fault, int count)
{
    auto left = std::make_shared<std::atomic<int>>(count);
    store.setFaults([=](const std::string &path, const std::string &) { return path == "/v3/kv/txn" && (*left)-- > 0 ? fault : Fault::None; });
}

// The version in force and its history entry must agree, or a rollback would bring back something else.
TEST_CASE("publishing gives the next version and stores it with its history")
{
    FakeStore::Server store;
    const auto client = clientOf(store);
    const auto first = publishConfiguration(*client, testDocument(40), 0).value();
    CHECK(first.m_version == 1);
    CHECK(parsed(first.m_document) == withVersion(parsed(testDocument(40)), 1));
    const auto second = publishConfiguration(*client, testDocument(1), 1).value();
    CHECK(second.m_version == 2);
    CHECK(valueOf(store, std::string(configurationKey)) == second.m_document);
    CHECK(readHistory(*client).value() == std::vector<StoredConfiguration>{first, second});
    CHECK(readHistory(*client, 1).value() == std::vector<StoredConfiguration>{second});
    CHECK(readHistoryVersion(*client, 1).value() == first);
    CHECK(readHistoryVersion(*client, 3).error().kind() == ErrorKind::NotFound);
}

// The operator who loses a race must learn which version to look at, and the winner's change must stay.
TEST_CASE("a stale version is refused with the version in force")
{
    FakeStore::Server store;
    const auto client = clientOf(store);
    REQUIRE(publishConfiguration(*client, testDocument(1), 0).ok());
    REQUIRE(publishConfiguration(*client, testDocument(1), 1).ok());
    const auto refused = publishConfiguration(*client, testDocument(1), 1);
    CHECK(refused.error().kind() == ErrorKind::Conflict);
    CHECK(refused.error().message().find("version 2 is in force") != std::string::npos);
    CHECK(publishConfiguration(*client, "{", 2).error().kind() == ErrorKind::InvalidArgument);
    CHECK(readHistory(*client).value().size() == 2);
}

// Two operators who read the same version must not both succeed.
TEST_CASE("of concurrent publications exactly one wins")
{
    FakeStore::Server store;
    const auto setup = clientOf(store);
    REQUIRE(publishConfiguration(*setup, testDocument(1), 0).ok());
    const auto example = parsed(testDocument(1));
    std::vector<std::string> documents;
    documents.reserve(6);
    for (int index = 0; index < 6; ++index) {
        documents.push_back(writeConfiguration(Configuration{1,
                                                             "operator-" + std::to_string(index),
                                                             example.m_operatorTokenSha256,
                                                             example.m_weights,
                                                             example.m_regions,
                                                             example.m_workers,
                                                             example.m_organisations,
                                                             example.m_jobClasses,
                                                             example.m_guarantees}));
    }
    std::atomic<int> won = 0;
    std::atomic<int> conflicts = 0;
    std::vector<std::thread> operators;
    operators.reserve(documents.size());
    for (const auto &document : documents) {
        operators.emplace_back([&store, &won, &conflicts, &document] {
            const auto published = publishConfiguration(*clientOf(store), document, 1);
            won += published.ok() ? 1 : 0;
            conflicts += !published.ok() && published.error().kind() == ErrorKind::Conflict ? 1 : 0;
        });
    }
    for (auto &thread : operators) {
        thread.join();
    }
    CHECK(won == 1);
    CHECK(conflicts == 5);
}

// An operator who is told of a failure would publish again and lose to the own first attempt.
TEST_CASE("a lost answer is settled by reading back")
{
    FakeStore::Server store;
    const auto client = clientOf(store);
    for (const auto fault : {Fault::CutAfter, Fault::SlowAfter, Fault::Garbage, Fault::Truncated, Fault::ServerError, Fault::CutBefore}) {
        const auto before = static_cast<std::int64_t>(readHistory(*client).value().size());
        failCommits(store, fault, 1);
        const auto published = publishConfiguration(*client, testDocument(1), before);
        REQUIRE(published.ok());
        CHECK(published.value().m_version == before + 1);
        CHECK(readHistory(*client).value().size() == static_cast<std::size_t>(before) + 1);
    }
}

// Without a definite answer nobody may say that the version was not written.
TEST_CASE("an answer that stays lost is reported as not known")
{
    FakeStore::Server store;
    const auto client = clientOf(store);
    failCommits(store, Fault::CutBefore, 100);
    CHECK(publishConfiguration(*client, testDocument(1), 0).error().kind() == ErrorKind::DeadlineExceeded);
    store.stop();
    CHECK(publishConfiguration(*client, testDocument(1), 0).error().kind() == ErrorKind::Unavailable);
}
