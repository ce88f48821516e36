#include "primrosebridge/Pipeline/boundedqueue.h"
#include "primrosebridge/Pipeline/shardedmap.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <thread>

using namespace PrimroseBridge;

// Guards against a full queue that accepts items, with which a burst would use memory without limit.
TEST_CASE("a full queue refuses items and a closed queue drains")
{
    BoundedQueue<int> queue(2);
    CHECK(queue.tryPush(1));
    CHECK(queue.tryPush(2));
    CHECK_FALSE(queue.tryPush(3));
    queue.close();
    CHECK_FALSE(queue.tryPush(4));
    CHECK(queue.pop() == 1);
    CHECK(queue.popBatch(8) == std::vector<int>{2});
    CHECK_FALSE(queue.pop().has_value());
}

// Guards against a planned stop that hangs because close() does not wake a waiting consumer.
TEST_CASE("close wakes a waiting consumer")
{
    BoundedQueue<int> queue(1);
    std::thread consumer([&queue] { CHECK_FALSE(queue.pop().has_value()); });
    queue.close();
    consumer.join();
}

// Guards against a callback that uses destroyed objects because ending its subscription did not wait for it.
TEST_CASE("no timer callback runs after its subscription has ended")
{
    const auto timers = TimerService::create().value();
    std::atomic<int> calls = 0;
    auto subscription = timers->subscribe(Duration(1), [&calls](Instant) { ++calls; });
    while (calls < 3) {
        std::this_thread::sleep_for(Duration(1));
    }
    subscription.reset();
    const int atEnd = calls;
    std::this_thread::sleep_for(Duration(20));
    CHECK(calls == atEnd);
}

// Guards against one request that gets two records because two threads insert different values under its key.
TEST_CASE("concurrent inserts of one key agree on one value")
{
    ShardedMap<std::string, int> map;
    std::atomic<int> inserted = 0;
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int index = 0; index < 8; ++index) {
        threads.emplace_back([&, index] { inserted += map.insert("key", std::make_shared<const int>(index)).second ? 1 : 0; });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(inserted == 1);
    CHECK(map.size() == 1);
    CHECK(map.update("key", [](const auto &) { return nullptr; }) == nullptr);
    CHECK(map.find("key") == nullptr);
}
