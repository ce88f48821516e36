#include "primrosebridge/Peers/configurationwatch.h"
#include "primrosebridge/Peers/configurationstore.h"

#include "testnode.h"

#include "../../../platform/unittests/Store/fakestore.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace PrimroseBridge;

static StoreSettings settingsOf(const FakeStore::Server &store)
{
    return StoreSettings{"127.0.0.1", store.port(), Duration(300), 1000, 1000};
}

// A node with its watch on the store.
struct WatchingNode {
    WatchingNode(const std::string &vm, const std::string &zone, const FakeStore::Server &store)
        : m_node(testSettings(vm, zone))
        , m_store(StoreClient::create(settingsOf(store)).value())
    {
    }
    void start(const FakeStore::Server &store)
    {
        auto created = ConfigurationWatch::create(
            settingsOf(store), m_store, m_node.m_timers, m_node.network(), m_node.m_configuration, [this](const ZoneId &) { ++m_ownerChanges; });
        m_watch = created.take();
    }
    [[nodiscard]] std::int64_t version() const
    {
        return m_node.m_configuration.version();
    }
    TestNode m_node;
    std::shared_ptr<StoreClient> m_store;
    std::atomic<int> m_ownerChanges = 0;
    std::unique_ptr<ConfigurationWatch> m_watch;
};

static void publish(const FakeStore::Server &store, std::int64_t expected)
{
    REQUIRE(publishConfiguration(*StoreClient::create(settingsOf(store)).value(), testDocument(1), expected).ok());
}

// A watcher that misses a change would leave its whole zone on the old version.
TEST_CASE("the watch puts the stored configuration and its changes in force and reports owners")
{
    FakeStore::Server store;
    publish(store, 0);
    WatchingNode node("vm-1", "Deventer", store);
    node.start(store);
    CHECK(eventually(Duration(2000), [&] { return node.version() == 1 && node.m_watch->watching(); }));
    publish(store, 1);
    CHECK(eventually(Duration(2000), [&] { return node.version() == 2; }));
    const Transaction owner{{}, {Put{std::string(ownersPrefix) + "Kampen", "vm-9", 0}}, {}, {}};
    REQUIRE(node.m_store->commit(owner).ok());
    CHECK(eventually(Duration(2000), [&] { return node.m_ownerChanges == 1; }));
    const Transaction gone{{}, {}, {std::string(ownersPrefix) + "Kampen"}, {}};
    REQUIRE(node.m_store->commit(gone).ok());
    CHECK(eventually(Duration(2000), [&] { return node.m_ownerChanges == 2; }));
    CHECK(node.m_watch->watchesOpened() == 1);
}

// After an outage the versions that were published meanwhile must come into force without a restart.
TEST_CASE("an outage of the store ends in the newest version")
{
    FakeStore::Server store;
    publish(store, 0);
    WatchingNode node("vm-1", "Deventer", store);
    node.start(store);
    REQUIRE(eventually(Duration(2000), [&] { return node.m_watch->watching(); }));
    store.stop();
    CHECK(eventually(Duration(2000), [&] { return !node.m_watch->watching(); }));
    CHECK(node.version() == 1);
    store.start();
    publish(store, 1);
    CHECK(eventually(Duration(4000), [&] { return node.version() == 2; }));
}

// A new VM that reaches a peer but not the store must serve with the peer's configuration.
TEST_CASE("a process that does not reach the store takes the configuration from a peer")
{
    FakeStore::Server store;
    store.stop();
    TestNode peer(testSettings("vm-1", "Kampen"));
    REQUIRE(peer.m_configuration.offer(testDocument(6)).value());
    WatchingNode node("vm-2", "Deventer", store);
    node.m_node.network().addPeer(peer.m_settings.m_vm, peer.m_settings.m_zone, peer.network().address());
    node.start(store);
    CHECK(eventually(Duration(4000), [&] { return node.version() == 6; }));
}

// The number of watches must not grow with the fleet, and the other processes must learn of changes all the same.
TEST_CASE("only two processes of a zone watch, and a change reaches all within 4 s")
{
    FakeStore::Server store;
    publish(store, 0);
    std::vector<std::unique_ptr<WatchingNode>> nodes;
    for (const std::string name : {"vm-1", "vm-2", "vm-3", "vm-4"}) {
        nodes.push_back(std::make_unique<WatchingNode>(name, "Deventer", store));
        nodes.front()->m_node.knows(nodes.back()->m_node);
        nodes.back()->m_node.knows(nodes.front()->m_node);
    }
    nodes[2]->m_node.knows(nodes[1]->m_node);
    nodes[3]->m_node.knows(nodes[1]->m_node);
    for (const auto &node : nodes) {
        node->start(store);
    }
    const auto watchers = [&nodes] { return std::count_if(nodes.begin(), nodes.end(), [](const auto &node) { return node->m_watch->watching(); }); };
    CHECK(eventually(Duration(5000), [&] { return watchers() == 2 && !nodes[2]->m_watch->watching() && !nodes[3]->m_watch->watching(); }));
    const auto start = std::chrono::steady_clock::now();
    publish(store, 1);
    CHECK(eventually(Duration(4000), [&] { return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return node->version() == 2; }); }));
    CHECK(std::chrono::steady_clock::now() - start < Duration(4000));
}
