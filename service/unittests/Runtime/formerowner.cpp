#include "primrosebridge/Runtime/zonescheduler.h"

#include "primrosebridge/Election/zoneelection.h"
#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Observe/metrics.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Records/codec.h"
#include "primrosebridge/Store/storeclient.h"

#include "Store/fakestore.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <thread>

using namespace PrimroseBridge;

static const bool logging = (startLogging("test", LogLevel::Error), true);
static const auto zone = ZoneId::create("deventer").value();
static const auto bakery = OrganisationId::create("bakery").value();
static const auto scan = JobClassId::create("scan").value();

static bool waitFor(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + Duration(10000);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(Duration(5));
    }
    return true;
}

// One class that must not run twice, and one worker that does not answer.
static Configuration makeConfiguration()
{
    const JobClass jobClass{
        .m_id = scan,
        .m_tier = Tier::Batch,
        .m_shape = Shape{.m_accelerators = 1, .m_adjacency = Adjacency::SameWorker, .m_cores = 1, .m_memoryMb = 64},
        .m_idempotent = false,
        .m_durable = true,
        .m_checkpointable = false,
        .m_restartable = false,
        .m_expectedRunTime = Duration(100),
        .m_maxRunTime = Duration(1000),
        .m_maxAttempts = 1,
    };
    const Worker worker{
        .m_id = WorkerId::create("w1").value(),
        .m_zone = zone,
        .m_rack = RackId::create("r1").value(),
        .m_cores = 8,
        .m_memoryMb = 1024,
        .m_accelerators = 8,
        .m_address = "127.0.0.1:1",
    };
    return Configuration{
        .m_version = 1,
        .m_deployment = "test",
        .m_operatorTokenSha256 = {},
        .m_weights = {},
        .m_regions = {},
        .m_workers = {worker},
        .m_organisations = {Organisation{.m_id = bakery, .m_weight = 1, .m_quotaAccelerators = 8, .m_queueLimit = 10, .m_tokenSha256 = {}}},
        .m_jobClasses = {jobClass},
        .m_guarantees = {},
    };
}

// The scheduler of a VM that may command workers throughout, as a degraded owner may, with a fake store.
class SchedulerBench
{
public:
    SchedulerBench()
        : m_store(StoreClient::create({"127.0.0.1", m_server.port(), Duration(300), 1000, 1000}).value())
    {
        const SchedulerSettings settings{.m_vm = VmId::create("vm-1").value(), .m_zone = zone, .m_incarnation = 1, .m_pass = defaultPassSettings()};
        const SchedulerCallbacks callbacks{
            .m_storeReachable = [] { return true; },
            .m_mayCommand = [](Instant) { return true; },
            .m_higherFence = [](std::int64_t) {},
            .m_fenceLost = [this] { m_fenceLost = true; },
        };
        m_scheduler = ZoneScheduler::create(settings, m_store, m_timers, m_events, m_metrics, callbacks).take();
        m_scheduler->applyConfiguration(makeConfiguration());
        own();
    }

    // Takes the zone under a store lease.
    void own()
    {
        const auto lease = m_store->grantLease(60).value();
        const Transaction create{.m_compares = {}, .m_puts = {Put{ownershipKey(zone), "{}", lease}}, .m_deletes = {}, .m_readsOnFailure = {}};
        m_scheduler->startOwning(Fence{m_store->commit(create).value().m_revision});
        // An owner that has read its records knows which keys it doesn't know.
        REQUIRE(waitFor([this] { return m_scheduler->get(key("none"), bakery, Duration(0)).error().kind() == ErrorKind::NotFound; }));
    }

    // The store lease ends and another VM takes the zone; this VM does not learn of it.
    void loseZone()
    {
        m_server.contents().expireAllLeases();
        m_server.contents().put(ownershipKey(zone), "{}");
    }

    static RequestKey key(const std::string &text)
    {
        return RequestKey::create(text).value();
    }

    Result<SchedulerAnswer> submit(const std::string &text, Duration wait)
    {
        return m_scheduler->submit(
            SubmitCall{.m_key = key(text), .m_organisation = bakery, .m_jobClass = scan, .m_payload = "{}", .m_declaredRunTime = Duration(100)}, wait);
    }

    OutcomeKind submitQueued(const std::string &text)
    {
        const auto answer = submit(text, Duration(0)).value().m_outcome.m_kind;
        REQUIRE(waitFor([&] { return m_scheduler->explain(key(text), bakery).value().m_phase == "queued"; }));
        return answer;
    }

    std::optional<RequestEntry> entry(const std::string &text)
    {
        const auto read = m_store->get(requestEntryKey(key(text))).value();
        return read ? std::optional<RequestEntry>(decodeRequestEntry(read->m_value).value()) : std::nullopt;
    }

    FakeStore::Server m_server;
    std::shared_ptr<StoreClient> m_store;
    std::atomic<bool> m_fenceLost = false;
    std::unique_ptr<ZoneScheduler> m_scheduler;

private:
    std::shared_ptr<TimerService> m_timers = TimerService::create().value();
    EventLog m_events = EventLog("vm-1", 100);
    Metrics m_metrics;
};

// Guards against the answer "cancelled before it started" for a request that a successor finds in the records and runs.
TEST_CASE("a degraded owner does not answer that a recorded request is cancelled before that is recorded")
{
    SchedulerBench bench;
    CHECK(bench.submitQueued("pallet-1") == OutcomeKind::Pending);
    bench.m_server.stop();
    CHECK(bench.m_scheduler->cancel(SchedulerBench::key("pallet-1"), bakery, Duration(200)).value().m_outcome.m_kind == OutcomeKind::Pending);
    CHECK(bench.m_scheduler->explain(SchedulerBench::key("pallet-1"), bakery).value().m_outcome.m_kind == OutcomeKind::Pending);
    SECTION("the record is written once the store is back")
    {
        bench.m_server.start();
        CHECK(bench.m_scheduler->get(SchedulerBench::key("pallet-1"), bakery, Duration(5000)).value().m_outcome.m_kind == OutcomeKind::Cancelled);
        REQUIRE(bench.entry("pallet-1")->m_outcome);
        CHECK(bench.entry("pallet-1")->m_outcome->m_kind == OutcomeKind::Cancelled);
    }
    SECTION("a successor has taken over and still holds the request")
    {
        bench.loseZone();
        bench.m_server.start();
        REQUIRE(waitFor([&] { return bench.m_fenceLost.load(); }));
        CHECK_FALSE(bench.entry("pallet-1")->m_outcome);
        bench.m_scheduler->stopOwning();
        CHECK_FALSE(bench.m_scheduler->get(SchedulerBench::key("pallet-1"), bakery, Duration(0)).ok());
    }
}

// Guards against the answer "not run" for a request that a successor has accepted and run: the answer was kept for the VM's next term.
TEST_CASE("an owner does not repeat the refusal of an earlier term after another owner had the zone")
{
    SchedulerBench bench;
    bench.m_server.stop();
    REQUIRE(bench.submit("pallet-2", Duration(5000)).value().m_outcome.m_kind == OutcomeKind::NotRun);
    CHECK(bench.m_scheduler->get(SchedulerBench::key("pallet-2"), bakery, Duration(0)).value().m_outcome.m_kind == OutcomeKind::NotRun);
    bench.m_server.start();
    bench.m_scheduler->stopOwning();
    // The caller submits it again to the successor, which runs it and records the outcome; then this VM owns the zone again.
    bench.own();
    const auto again = bench.m_scheduler->get(SchedulerBench::key("pallet-2"), bakery, Duration(0));
    // The node answers from the record if its scheduler does not know the key.
    REQUIRE_FALSE(again.ok());
    CHECK(again.error().kind() == ErrorKind::NotFound);
}
