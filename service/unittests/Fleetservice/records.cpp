#include "primrosebridge/Fleetservice/inbox.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetservice/fleetpeer.h"
#include "primrosebridge/Fleetservice/progresswriter.h"
#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"
#include "primrosebridge/Fleetwire/messages.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

namespace PrimroseBridge {

static std::shared_ptr<PlatformStore> clientOf(const StandinStore &store)
{
    return std::make_shared<PlatformStore>(store.address(), HttpClient::create().take());
}

static DurableRecord valueOf(const std::string &value, std::int64_t version)
{
    return DurableRecord{.m_key = "primrosebridge/test", .m_job = nullptr, .m_value = value, .m_version = version};
}

namespace {

// A writer that owns the fleet, and what it reported.
class WriterRig
{
public:
    WriterRig()
    {
        m_store.put(std::string(StoreKeys::owner), "owner");
        m_writer = ProgressWriter::create(clientOf(m_store),
                                          ProgressWriterCallbacks{
                                              .m_recorded = [this](const DurableRecord &record) { m_recorded = record.m_version; },
                                              .m_ownershipLost = [this](std::int64_t) { m_lost = true; },
                                          })
                       .take();
        m_writer->begin(m_store.revisionOf(std::string(StoreKeys::owner)), {});
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        for (int round = 0; round < 400 && !condition(); ++round) {
            std::this_thread::sleep_for(Duration(10));
        }
        return condition();
    }

    StandinStore m_store;
    std::atomic<std::int64_t> m_recorded = 0;
    std::atomic<bool> m_lost = false;
    std::unique_ptr<ProgressWriter> m_writer;
};

} // namespace

// Guards against progress that is not recorded, or recorded twice under different revisions, because an answer was lost.
TEST_CASE("a write whose answer is lost is settled")
{
    WriterRig rig;
    std::atomic<int> calls = 0;
    rig.m_store.setFaults([&](StoreCall call) { return call == StoreCall::Commit && calls++ == 0 ? StoreFault::AnswerLost : StoreFault::None; });
    rig.m_writer->record(valueOf("first", 1));
    CHECK(rig.waitFor([&] { return rig.m_recorded == 1; }));
    CHECK(rig.m_store.value("primrosebridge/test") == "first");
    CHECK_FALSE(rig.m_lost);
}

// Guards against newer progress that is replaced by an older write which the store carries out late.
TEST_CASE("a write that is carried out late does not replace a newer one")
{
    WriterRig rig;
    std::atomic<int> calls = 0;
    rig.m_store.setFaults([&](StoreCall call) { return call == StoreCall::Commit && calls++ == 0 ? StoreFault::CarriedOutLate : StoreFault::None; });
    rig.m_writer->record(valueOf("first", 1));
    std::this_thread::sleep_for(Duration(50));
    rig.m_writer->record(valueOf("second", 2));
    CHECK(rig.waitFor([&] { return rig.m_recorded == 2; }));
    std::this_thread::sleep_for(Duration(500));
    CHECK(rig.m_store.value("primrosebridge/test") == "second");
}

// Guards against a former owner that writes over its successor's records.
TEST_CASE("a writer that no longer owns the fleet writes nothing")
{
    WriterRig rig;
    rig.m_store.put(std::string(StoreKeys::owner), "successor");
    rig.m_writer->record(valueOf("first", 1));
    CHECK(rig.waitFor([&] { return rig.m_lost.load(); }));
    CHECK_FALSE(rig.m_store.value("primrosebridge/test"));
}

// Guards against an acknowledged submission that is not stored, and against a refusal of one that is.
TEST_CASE("a submission is recorded, refused or unknown, never wrongly")
{
    StandinStore store;
    const auto client = clientOf(store);
    CHECK(recordSubmission(*client, "a", "one") == InboxOutcome::Recorded);
    CHECK(recordSubmission(*client, "a", "two") == InboxOutcome::Recorded);
    CHECK(store.value(submissionKey("a")) == "one");
    store.setFaults([](StoreCall call) { return call == StoreCall::Commit ? StoreFault::AnswerLost : StoreFault::None; });
    CHECK(recordSubmission(*client, "b", "one") == InboxOutcome::Recorded);
    store.setFaults([](StoreCall call) { return call == StoreCall::Commit ? StoreFault::Refused : StoreFault::None; });
    CHECK(recordSubmission(*client, "c", "one") == InboxOutcome::NotRecorded);
    store.setFaults([](StoreCall call) { return call == StoreCall::Commit ? StoreFault::CarriedOutLate : StoreFault::None; });
    CHECK(recordSubmission(*client, "d", "one") == InboxOutcome::Unknown);
    std::this_thread::sleep_for(Duration(500));
    CHECK(store.value(submissionKey("d")) == "one");
    CHECK_FALSE(store.value(submissionKey("c")));
}

// Guards against callers that do not come back because they are told that nothing is known: pattern of a zone that is cut off while
// the store is away. Nothing was sent to a peer that cannot be connected to.
TEST_CASE("a peer without a connection has certainly not recorded anything")
{
    FleetPeerClient peers;
    const auto startedAt = std::chrono::steady_clock::now();
    CHECK(peers.record("127.0.0.1:1", "a", "one", Duration(1500)) == InboxOutcome::NotRecorded);
    CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(1000));
}

// Guards against a cancellation of a job that nobody submitted, and one that is acknowledged but not stored.
TEST_CASE("cancellations are recorded for known jobs only")
{
    StandinStore store;
    const auto client = clientOf(store);
    CHECK(recordCancellation(*client, "a") == InboxOutcome::NoSuchJob);
    REQUIRE(recordSubmission(*client, "a", "one") == InboxOutcome::Recorded);
    CHECK(recordCancellation(*client, "a") == InboxOutcome::Recorded);
    CHECK(store.value(cancellationKey("a")).has_value());
}

// Guards against a worker of the roster that a new owner cannot reach or match, because a field was lost.
TEST_CASE("the roster reads back")
{
    StandinWorker worker("w1", "r1", Duration(10));
    const auto report = std::make_shared<const WorkerReport>(decodeWorkerReport("w1", worker.entry("ready")).value());
    const auto roster = decodeRoster(encodeRoster(Roster{.m_version = 7,
                                                         .m_workers = {RosterEntry{.m_worker = report, .m_jobsIfCordoned = std::nullopt},
                                                                       RosterEntry{.m_worker = report, .m_jobsIfCordoned = std::vector<std::string>{"a", "b"}}}}))
                            .value();
    CHECK(roster.m_version == 7);
    REQUIRE(roster.m_workers.size() == 2);
    CHECK(*roster.m_workers.front().m_worker == *report);
    CHECK_FALSE(roster.m_workers.front().m_jobsIfCordoned);
    CHECK(roster.m_workers.back().m_jobsIfCordoned == std::vector<std::string>{"a", "b"});
    CHECK_FALSE(decodeRoster("{}").ok());
}

} // namespace PrimroseBridge
