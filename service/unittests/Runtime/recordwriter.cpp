#include "primrosebridge/Runtime/recordwriter.h"

#include "primrosebridge/Election/zoneelection.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Records/lifecycle.h"
#include "primrosebridge/Store/storeclient.h"

#include "Store/fakestore.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>

using namespace PrimroseBridge;
using FakeStore::Fault;

static const bool logging = (startLogging("test", LogLevel::Error), true);
static const auto zone = ZoneId::create("deventer").value();

static std::shared_ptr<const Job> makeJob(const std::string &key, bool idempotent = false, OutcomeKind outcome = OutcomeKind::Pending)
{
    const JobClass jobClass{
        .m_id = JobClassId::create("scan").value(),
        .m_tier = Tier::Batch,
        .m_shape = Shape{.m_accelerators = 1, .m_adjacency = Adjacency::SameWorker, .m_cores = 1, .m_memoryMb = 64},
        .m_idempotent = idempotent,
        .m_durable = true,
        .m_checkpointable = false,
        .m_restartable = idempotent,
        .m_expectedRunTime = Duration(100),
        .m_maxRunTime = Duration(1000),
        .m_maxAttempts = 1,
    };
    const Request request{
        .m_key = RequestKey::create(key).value(),
        .m_organisation = OrganisationId::create("bakery").value(),
        .m_jobClass = jobClass.m_id,
        .m_zone = zone,
        .m_payload = "{}",
        .m_declaredRunTime = Duration(100),
        .m_submittedAt = fromMilliseconds(0),
    };
    const Job fresh = newJob(request, jobClass);
    if (outcome == OutcomeKind::Pending) {
        return std::make_shared<const Job>(fresh);
    }
    // A cancelled job is the shortest way to one with an outcome.
    const auto queued = stepJob(fresh, JobEvent{.m_kind = JobEventKind::Accepted}, fromMilliseconds(1)).m_job;
    return std::make_shared<const Job>(stepJob(queued, JobEvent{.m_kind = JobEventKind::Cancel}, fromMilliseconds(2)).m_job);
}

// A record writer against a fake store in which this VM owns the zone.
class Bench
{
public:
    Bench()
        : m_store(StoreClient::create({"127.0.0.1", m_server.port(), Duration(300), 1000, 1000}).value())
    {
        m_fence = takeZone();
        m_writer = RecordWriter::create({.m_zone = zone, .m_queueCapacity = 64}, m_store, [this](const RecordAnswer &answer) { receive(answer); }).take();
    }

    // Another owner takes the zone over; returns its fence.
    std::int64_t takeZone()
    {
        const Transaction remove{.m_compares = {}, .m_puts = {}, .m_deletes = {ownershipKey(zone)}, .m_readsOnFailure = {}};
        CHECK(m_store->commit(remove).ok());
        const Transaction create{.m_compares = {}, .m_puts = {Put{ownershipKey(zone), "{}", 0}}, .m_deletes = {}, .m_readsOnFailure = {}};
        return m_store->commit(create).value().m_revision;
    }

    RecordResult write(RecordKind kind, const std::shared_ptr<const Job> &job, const std::string &writer)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_last.reset();
        }
        REQUIRE(m_writer->enqueue(RecordWrite{.m_kind = kind, .m_job = job, .m_fence = Fence{m_fence}, .m_writer = writer}));
        std::unique_lock lock(m_mutex);
        REQUIRE(m_answered.wait_for(lock, Duration(10000), [this] { return m_last != nullptr; }));
        return m_last->m_result;
    }

    std::optional<RequestEntry> entry(const std::string &key)
    {
        const auto read = m_store->get(requestEntryKey(RequestKey::create(key).value())).value();
        return read ? std::optional<RequestEntry>(decodeRequestEntry(read->m_value).value()) : std::nullopt;
    }

    FakeStore::Server m_server;
    std::shared_ptr<const RecordAnswer> m_last;

private:
    void receive(const RecordAnswer &answer)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_last = std::make_shared<const RecordAnswer>(answer);
        }
        m_answered.notify_all();
    }

    std::shared_ptr<StoreClient> m_store;
    std::int64_t m_fence = 0;
    std::mutex m_mutex;
    std::condition_variable m_answered;
    std::unique_ptr<RecordWriter> m_writer;
};

// A request key that two zones accept would run twice.
TEST_CASE("a key that another writer has accepted is a duplicate and keeps its first record")
{
    Bench bench;
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-1"), "vm-a/1/1") == RecordResult::Written);
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-1"), "vm-b/1/1") == RecordResult::Duplicate);
    CHECK(bench.entry("pallet-1")->m_writer == "vm-a/1/1");
}

// A lost answer must be taken neither for a refusal, which would let the caller submit again, nor for a duplicate.
TEST_CASE("an acceptance whose answer was lost is settled by reading back its writer")
{
    Bench bench;
    std::atomic<int> lost = 0;
    bench.m_server.setFaults(
        [&lost](const std::string &path, const std::string &) { return path == "/v3/kv/txn" && lost++ == 0 ? Fault::CutAfter : Fault::None; });
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-2"), "vm-a/1/2") == RecordResult::Written);
    CHECK(lost >= 2);
    CHECK(bench.entry("pallet-2")->m_writer == "vm-a/1/2");
}

// A former owner that wrote an intent would start work that its successor also starts.
TEST_CASE("nothing is written once another owner has taken the zone over")
{
    Bench bench;
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-3"), "vm-a/1/3") == RecordResult::Written);
    bench.takeZone();
    CHECK(bench.write(RecordKind::Intent, makeJob("pallet-3"), "vm-a/1/4") == RecordResult::FenceLost);
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-4"), "vm-a/1/5") == RecordResult::FenceLost);
    CHECK_FALSE(bench.entry("pallet-4"));
}

// While the store is down, "not run" must be said at once and only where it is certain; idempotent work goes on.
TEST_CASE("without the store acceptances are refused and intents of idempotent work go on")
{
    Bench bench;
    bench.m_server.stop();
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-5"), "vm-a/1/6") == RecordResult::NotWritten);
    CHECK(bench.write(RecordKind::Intent, makeJob("curve-5", true), "vm-a/1/7") == RecordResult::Written);
    bench.m_server.start();
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-6"), "vm-a/1/8") == RecordResult::Written);
}

// The intent of a non-idempotent request must not be skipped: it waits for the store.
TEST_CASE("the intent of a non-idempotent request is written once the store is back")
{
    Bench bench;
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-7"), "vm-a/1/9") == RecordResult::Written);
    bench.m_server.stop();
    std::thread repair([&bench] {
        std::this_thread::sleep_for(Duration(700));
        bench.m_server.start();
    });
    const auto began = std::chrono::steady_clock::now();
    CHECK(bench.write(RecordKind::Intent, makeJob("pallet-7"), "vm-a/1/10") == RecordResult::Written);
    CHECK(std::chrono::steady_clock::now() - began >= Duration(600));
    repair.join();
}

TEST_CASE("an outcome replaces the active record and stays readable under the key")
{
    Bench bench;
    CHECK(bench.write(RecordKind::Acceptance, makeJob("pallet-8"), "vm-a/1/11") == RecordResult::Written);
    CHECK(bench.write(RecordKind::Outcome, makeJob("pallet-8", false, OutcomeKind::Cancelled), "vm-a/1/12") == RecordResult::Written);
    REQUIRE(bench.entry("pallet-8")->m_outcome);
    CHECK(bench.entry("pallet-8")->m_outcome->m_kind == OutcomeKind::Cancelled);
}
