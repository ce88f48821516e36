#include "testnode.h"

#include "../../lib/Peers/forwardcodec.h"
#include "../../lib/Peers/limits.h"

#include "primrosebridge/Wire/peer.grpc.pb.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>
#include <google/protobuf/stubs/logging.h>
#include <grpcpp/create_channel.h>

#include <atomic>
#include <condition_variable>
#include <random>
#include <thread>

using namespace PrimroseBridge;
namespace wire = primrosebridge::wire;

static PeerCallbacks answering(const std::function<Result<ForwardAnswer>(const ForwardCall &)> &answer)
{
    const auto idle = idleCallbacks();
    return PeerCallbacks{answer, idle.m_localZones, idle.m_storeReachable, idle.m_zonePeerReachesStore};
}

static ForwardAnswer done(const std::string &result)
{
    return ForwardAnswer{Outcome{OutcomeKind::Done, result, "", 2}, "{}"};
}

// A gate that callbacks wait at until the test opens it.
struct Gate {
    std::mutex m_mutex;
    std::condition_variable m_opened;
    bool m_open = false;
    std::atomic<int> m_waiting = 0;

    void wait()
    {
        ++m_waiting;
        std::unique_lock lock(m_mutex);
        m_opened.wait(lock, [this] { return m_open; });
    }
    void open()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_open = true;
        }
        m_opened.notify_all();
    }
};

// Bytes that are not UTF-8 must pass unchanged, because payloads and results belong to callers and workers.
TEST_CASE("a forwarded call arrives whole and its answer returns whole")
{
    std::unique_ptr<const ForwardCall> received;
    const TestNode owner(testSettings("vm-1", "Deventer"), answering([&received](const ForwardCall &call) -> Result<ForwardAnswer> {
                             received = std::make_unique<const ForwardCall>(call);
                             return done("result \xfe\xff");
                         }));
    const TestNode entry(testSettings("vm-2", "Kampen"));
    const auto call = testCall(ForwardKind::Submit, Duration(250));
    CHECK(entry.network().forward(owner.network().address(), call).value() == done("result \xfe\xff"));
    REQUIRE(received);
    CHECK(*received == call);
}

// The caller's next step depends on kind, remedy and retry time.
TEST_CASE("errors of the owner keep their kind, remedy and retry time")
{
    const TestNode owner(testSettings("vm-1", "Deventer"), answering([](const ForwardCall &call) -> Result<ForwardAnswer> {
                             if (call.m_kind == ForwardKind::Get) {
                                 throw std::runtime_error("broken");
                             }
                             return Error(ErrorKind::QueueFull, "queue of org is full", "slow down", Duration(1500));
                         }));
    const TestNode entry(testSettings("vm-2", "Kampen"));
    const auto refused = entry.network().forward(owner.network().address(), testCall(ForwardKind::Submit));
    CHECK(refused.error().kind() == ErrorKind::QueueFull);
    CHECK(refused.error().message() == "queue of org is full");
    CHECK(refused.error().remedy() == "slow down");
    CHECK(refused.error().retryAfter() == Duration(1500));
    CHECK(entry.network().forward(owner.network().address(), testCall(ForwardKind::Get)).error().kind() == ErrorKind::Internal);
}

// "Not run" may be reported only if the owner cannot have taken the call.
TEST_CASE("an owner that cannot be reached is unavailable, one that does not answer is ambiguous")
{
    const TestNode entry(testSettings("vm-2", "Kampen"));
    CHECK(entry.network().forward("127.0.0.1:9", testCall(ForwardKind::Submit)).error().kind() == ErrorKind::Unavailable);
    CHECK(entry.network().forward("owner.example:80", testCall(ForwardKind::Submit)).error().kind() == ErrorKind::InvalidArgument);
    Gate gate;
    const TestNode owner(testSettings("vm-1", "Deventer"), answering([&gate](const ForwardCall &) -> Result<ForwardAnswer> {
                             gate.wait();
                             return done("");
                         }));
    CHECK(entry.network().forward(owner.network().address(), testCall(ForwardKind::Submit)).error().kind() == ErrorKind::DeadlineExceeded);
    gate.open();
}

// Callers that wait for long jobs must occupy neither the threads of heartbeats nor those of submissions.
TEST_CASE("waiting calls starve neither heartbeats nor calls that do not wait")
{
    Gate gate;
    std::atomic<int> withoutWait = 0;
    const TestNode owner(testSettings("vm-1", "Deventer"), answering([&](const ForwardCall &call) -> Result<ForwardAnswer> {
                             withoutWait += call.m_wait == Duration(0) ? 1 : 0;
                             gate.wait();
                             return done("");
                         }));
    const TestNode entry(testSettings("vm-2", "Deventer"));
    std::vector<std::thread> callers;
    callers.reserve(maxForwards);
    for (int index = 0; index < maxForwards; ++index) {
        callers.emplace_back([&] { entry.network().forward(owner.network().address(), testCall(ForwardKind::Get, Duration(20000))); });
    }
    CHECK(eventually(Duration(5000), [&] { return gate.m_waiting == maxForwards; }));
    CHECK(withoutWait == maxForwards - maxWaitingForwards);
    const auto refused = entry.network().forward(owner.network().address(), testCall(ForwardKind::Submit));
    CHECK(refused.error().kind() == ErrorKind::Unavailable);
    CHECK(refused.error().retryAfter() == forwardRetryAfter);
    entry.knows(owner);
    CHECK(eventually(Duration(2000), [&] { return statusAt(entry, "vm-1") == PeerStatus::Alive && statusAt(owner, "vm-2") == PeerStatus::Alive; }));
    gate.open();
    for (auto &caller : callers) {
        caller.join();
    }
}

// A process must not hang in its planned stop because a peer accepts connections but does not answer.
TEST_CASE("a stop ends calls in progress")
{
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    std::chrono::steady_clock::time_point stopped;
    {
        const TestNode entry(testSettings("vm-2", "Kampen"));
        entry.network().addPeer(VmId::create("vm-1").value(), ZoneId::create("Kampen").value(), silent.address().toString());
        REQUIRE(eventually(Duration(1000), [&entry] { return entry.network().heartbeatBytes() > 0; }));
        stopped = std::chrono::steady_clock::now();
    }
    CHECK(std::chrono::steady_clock::now() - stopped < heartbeatDeadline / 2);
}

static grpc::Status forwardRaw(const TestNode &node, const wire::ForwardRequest &request, wire::ForwardReply *reply)
{
    const auto stub = wire::PeerService::NewStub(grpc::CreateChannel(node.network().address(), grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + Duration(2000));
    return stub->Forward(&context, request, reply);
}

// Decoded values become store keys, sizes and times, so none out of range may reach the owner.
TEST_CASE("hostile forwarded calls are refused before they reach the owner")
{
    std::atomic<int> calls = 0;
    const TestNode owner(testSettings("vm-1", "Deventer"), answering([&calls](const ForwardCall &) -> Result<ForwardAnswer> {
                             ++calls;
                             return done("");
                         }));
    const auto kindOf = [&owner](const std::function<void(wire::ForwardRequest &)> &change) {
        wire::ForwardRequest request;
        encodeForwardCall(testCall(ForwardKind::Submit), &request);
        change(request);
        wire::ForwardReply reply;
        REQUIRE(forwardRaw(owner, request, &reply).ok());
        return decodeForwardAnswer(reply).error().kind();
    };
    CHECK(kindOf([](auto &request) { request.set_key("a/b"); }) == ErrorKind::InvalidArgument);
    CHECK(kindOf([](auto &request) { request.set_kind(static_cast<wire::ForwardRequest::Kind>(99)); }) == ErrorKind::InvalidArgument);
    CHECK(kindOf([](auto &request) { request.set_wait_ms(-1); }) == ErrorKind::InvalidArgument);
    CHECK(kindOf([](auto &request) { request.set_declared_run_time_ms(INT64_MAX); }) == ErrorKind::InvalidArgument);
    CHECK(kindOf([](auto &request) { request.set_payload(std::string(maxRequestBytes + 1, 'x')); }) == ErrorKind::TooLarge);
    wire::ForwardRequest huge;
    huge.set_payload(std::string(maxMessageBytes + 1, 'x'));
    wire::ForwardReply reply;
    CHECK(forwardRaw(owner, huge, &reply).error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED);
    CHECK(calls == 0);
}

template<class Message, class Decode>
static void decodeDamaged(const Message &original, std::mt19937 &random, const Decode &decode)
{
    const std::string bytes = original.SerializeAsString();
    for (int round = 0; round < 10000; ++round) {
        std::string damaged = bytes.substr(0, random() % 8 == 0 ? random() % (bytes.size() + 1) : bytes.size());
        for (auto changes = random() % 6; changes > 0 && !damaged.empty(); --changes) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        Message message;
        if (message.ParseFromString(damaged)) {
            decode(message);
        }
    }
}

// A message that was damaged or made up must give an error or a valid value, never a crash.
TEST_CASE("damaged forwarded calls, answers and events are decoded without a crash")
{
    const google::protobuf::LogSilencer silencer; // Each text that is not UTF-8 would be logged.
    std::mt19937 random(20261204);
    wire::ForwardRequest request;
    encodeForwardCall(testCall(ForwardKind::Submit), &request);
    decodeDamaged(request, random, [](const auto &message) {
        const auto call = decodeForwardCall(message);
        CHECK((!call.ok() || call.value().m_wait <= maxForwardWait));
    });
    wire::ForwardReply reply;
    encodeForwardAnswer(done("result"), &reply);
    decodeDamaged(reply, random, [](const auto &message) {
        const auto answer = decodeForwardAnswer(message);
        CHECK((!answer.ok() || answer.value().m_outcome.m_attempt >= 0));
    });
    wire::Event event;
    encodeEvent(TimelineEvent{3, fromMilliseconds(1'800'000'000'000), "task_started", "key", EventReference{"vm-1", 2}, "a=b"}, &event);
    decodeDamaged(event, random, [](const auto &message) {
        const auto decoded = decodeEvent(message);
        CHECK((!decoded.ok() || decoded.value().m_id >= 0));
    });
}
