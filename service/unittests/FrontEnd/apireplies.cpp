#include "primrosebridge/FrontEnd/api.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace PrimroseBridge;

TEST_CASE("the SHA-256 of a known text is correct")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against a crash when two calls are authenticated at the same time. POCO frees the OpenSSL locks with the last digest engine and
// creates them again for the next one, which is a data race between threads.
TEST_CASE("digests can be computed on many threads at once")
{
    std::vector<std::thread> threads;
    threads.reserve(16);
    for (int index = 0; index < 16; ++index) {
        threads.emplace_back([] {
            for (int round = 0; round < 2000; ++round) {
                sha256Hex("demo-operator");
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    SUCCEED();
}

TEST_CASE("an error reply has the status and kind of the error and its retry delay in whole seconds")
{
    const auto reply = errorReply(Error(ErrorKind::QueueFull, "the queue is full", "wait", Duration(1500)));
    CHECK(reply.m_status == 429);
    CHECK(reply.m_body.find("\"kind\":\"queue_full\"") != std::string::npos);
    REQUIRE(reply.m_headers.size() == 1);
    CHECK(reply.m_headers.front().second == "2");
    CHECK(errorReply(Error(ErrorKind::StoreUnavailable, "a", "b")).m_status == 503);
}

TEST_CASE("an outcome that is not final has status 202")
{
    const auto key = RequestKey::create("k").value();
    const auto outcome = [](OutcomeKind kind) { return Outcome{.m_kind = kind, .m_result = "\"x\"", .m_reason = {}, .m_attempt = 1}; };
    CHECK(outcomeReply(key, outcome(OutcomeKind::Unknown)).m_status == 202);
    CHECK(outcomeReply(key, outcome(OutcomeKind::Pending)).m_status == 202);
    CHECK(outcomeReply(key, outcome(OutcomeKind::Done)).m_status == 200);
}
