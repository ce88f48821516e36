#include "primrosebridge/Fleetservice/fleetpeer.h"
#include "primrosebridge/Fleetservice/inbox.h"
#include "primrosebridge/Fleetservice/progresswriter.h"
#include "primrosebridge/Fleetservice/roster.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"
#include "primrosebridge/Fleetwire/messages.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

namespace PrimroseBridge {

static std::shared_ptr<PlatformStore> makeStoreClient(const StandinStore &store)
{
    return std::make_shared<PlatformStore>(store.address(), HttpClient::create().take());
}

static DurableRecord makePlainRecord(const std::string &value, std::int64_t version)
{
    return DurableRecord{.m_key = "primrosebridge/test", .m_job = nullptr, .m_value = value, .m_version = version};
}

namespace {

// A ProgressWriter that owns the fleet, and the results that it reported.
class ProgressWriterFixture
{
public:
    explicit ProgressWriterFixture(std::size_t maxValueBytes = std::numeric_limits<std::size_t>::max())
    {
        m_store.put(std::string(StoreKeys::owner), "owner");
        m_writer
            = std::make_unique<ProgressWriter>(makeStoreClient(m_store),
                                               ProgressWriterCallbacks{
                                                   .m_recorded = [this](std::int64_t, const DurableRecord &record) { m_recordedVersion = record.m_version; },
                                                   .m_ownershipLost = [this](std::int64_t) { m_lostOwnership = true; },
                                               },
                                               maxValueBytes);
        REQUIRE(m_writer->start().ok());
        m_fence = m_store.revisionOf(std::string(StoreKeys::owner));
        m_writer->beginTerm(m_fence, {});
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        for (int round = 0; round < 400 && !condition(); ++round) {
            std::this_thread::sleep_for(Duration(10));
        }
        return condition();
    }

    StandinStore m_store;
    std::int64_t m_fence = 0;
    std::atomic<std::int64_t> m_recordedVersion = 0;
    std::atomic<bool> m_lostOwnership = false;
    std::unique_ptr<ProgressWriter> m_writer;
};

} // namespace

// Guards against a record that keeps all others from being recorded (Acks, review case 8): the store refuses the transaction for one of its values.
TEST_CASE("a record that the store refuses does not keep others from being recorded")
{
    constexpr std::size_t limit = 1'000;
    const bool knowsLimit = GENERATE(true, false); // Otherwise the writer learns of it from the store only.
    CAPTURE(knowsLimit);
    ProgressWriterFixture fixture(knowsLimit ? limit : std::numeric_limits<std::size_t>::max());
    fixture.m_store.setMaxValueBytes(limit);
    const auto recordOf = [](int number, std::size_t bytes, std::int64_t version) {
        return DurableRecord{
            .m_key = "primrosebridge/test/" + std::to_string(10 + number), .m_job = nullptr, .m_value = std::string(bytes, 'x'), .m_version = version};
    };
    constexpr int records = 40; // More than fit into two transactions.
    for (const int tooLarge : {0, 7, 39}) {
        CAPTURE(tooLarge);
        for (int number = 0; number < records; ++number) {
            fixture.m_writer->enqueue(fixture.m_fence, recordOf(number, number == tooLarge ? limit + 1 : limit, 1));
        }
        for (int number = 0; number < records; ++number) {
            const auto key = recordOf(number, 0, 1).m_key;
            const bool recorded = number == tooLarge || fixture.waitFor([&] { return fixture.m_store.value(key).has_value(); });
            CHECK(recorded);
            fixture.m_store.remove(key);
        }
        CHECK_FALSE(fixture.m_store.value(recordOf(tooLarge, 0, 1).m_key));
        fixture.m_writer->beginTerm(fixture.m_fence, {});
    }
    // A later record of the same key is written once it fits.
    fixture.m_writer->enqueue(fixture.m_fence, recordOf(3, limit + 1, 1));
    fixture.m_writer->enqueue(fixture.m_fence, recordOf(4, limit, 1));
    REQUIRE(fixture.waitFor([&] { return fixture.m_store.value(recordOf(4, 0, 1).m_key).has_value(); }));
    fixture.m_writer->enqueue(fixture.m_fence, recordOf(3, limit, 2));
    CHECK(fixture.waitFor([&] { return fixture.m_store.value(recordOf(3, 0, 1).m_key).has_value(); }));
    CHECK_FALSE(fixture.m_lostOwnership);
}

// Guards against progress that is not recorded, or recorded twice under different revisions, because an answer was lost.
TEST_CASE("a write whose answer is lost is reported as recorded")
{
    ProgressWriterFixture fixture;
    std::atomic<int> calls = 0;
    fixture.m_store.setFaults([&](StoreCall call) { return call == StoreCall::Commit && calls++ == 0 ? StoreFault::AnswerLost : StoreFault::None; });
    fixture.m_writer->enqueue(fixture.m_fence, makePlainRecord("first", 1));
    CHECK(fixture.waitFor([&] { return fixture.m_recordedVersion == 1; }));
    CHECK(fixture.m_store.value("primrosebridge/test") == "first");
    CHECK_FALSE(fixture.m_lostOwnership);
}

// Guards against newer progress that is replaced by an older write that the store executes late.
TEST_CASE("a write that is executed late does not replace a newer one")
{
    ProgressWriterFixture fixture;
    std::atomic<int> calls = 0;
    fixture.m_store.setFaults([&](StoreCall call) { return call == StoreCall::Commit && calls++ == 0 ? StoreFault::ExecutedLate : StoreFault::None; });
    fixture.m_writer->enqueue(fixture.m_fence, makePlainRecord("first", 1));
    std::this_thread::sleep_for(Duration(50));
    fixture.m_writer->enqueue(fixture.m_fence, makePlainRecord("second", 2));
    CHECK(fixture.waitFor([&] { return fixture.m_recordedVersion == 2; }));
    std::this_thread::sleep_for(Duration(500));
    CHECK(fixture.m_store.value("primrosebridge/test") == "second");
}

// Guards against a former owner that overwrites its successor's records.
TEST_CASE("a writer that no longer owns the fleet writes nothing")
{
    ProgressWriterFixture fixture;
    fixture.m_store.put(std::string(StoreKeys::owner), "successor");
    fixture.m_writer->enqueue(fixture.m_fence, makePlainRecord("first", 1));
    CHECK(fixture.waitFor([&] { return fixture.m_lostOwnership.load(); }));
    CHECK_FALSE(fixture.m_store.value("primrosebridge/test"));
}

// Guards against progress that is lost, or counted as recorded before it is: the VM owns the fleet again, another one has owned it in between
// and recorded more, and the owner stage still applies events of the former term.
TEST_CASE("a record that was decided in a former term is not written in a later one")
{
    ProgressWriterFixture fixture;
    const auto formerFence = fixture.m_fence;
    const std::string key = makePlainRecord("", 0).m_key;
    fixture.m_writer->endTerm();
    fixture.m_writer->enqueue(formerFence, makePlainRecord("former", 5));
    fixture.m_store.put(key, "of another owner");
    fixture.m_store.put(std::string(StoreKeys::owner), "owner again");
    fixture.m_fence = fixture.m_store.revisionOf(std::string(StoreKeys::owner));
    fixture.m_writer->beginTerm(fixture.m_fence, {RecordRevision{.m_key = key, .m_revision = fixture.m_store.revisionOf(key)}});
    fixture.m_writer->enqueue(formerFence, makePlainRecord("former", 6));
    fixture.m_writer->enqueue(fixture.m_fence, DurableRecord{.m_key = "primrosebridge/other", .m_job = nullptr, .m_value = "new", .m_version = 1});
    CHECK(fixture.waitFor([&] { return fixture.m_store.value("primrosebridge/other") == "new"; }));
    CHECK(fixture.m_store.value(key) == "of another owner");
    CHECK(fixture.m_recordedVersion == 1);
}

// Guards against an acknowledged submission that is not stored, and against a refusal of one that is.
TEST_CASE("the outcome of a submission agrees with what the store holds")
{
    StandinStore store;
    const auto client = makeStoreClient(store);
    CHECK(recordSubmission(*client, "a", "one") == InboxOutcome::Recorded);
    CHECK(recordSubmission(*client, "a", "two") == InboxOutcome::Recorded);
    CHECK(store.value(submissionKey("a")) == "one");
    store.setFaults([](StoreCall call) { return call == StoreCall::Commit ? StoreFault::AnswerLost : StoreFault::None; });
    CHECK(recordSubmission(*client, "b", "one") == InboxOutcome::Recorded);
    store.setFaults([](StoreCall call) { return call == StoreCall::Commit ? StoreFault::Refused : StoreFault::None; });
    CHECK(recordSubmission(*client, "c", "one") == InboxOutcome::NotRecorded);
    store.setFaults([](StoreCall call) { return call == StoreCall::Commit ? StoreFault::ExecutedLate : StoreFault::None; });
    CHECK(recordSubmission(*client, "d", "one") == InboxOutcome::Unknown);
    std::this_thread::sleep_for(Duration(500));
    CHECK(store.value(submissionKey("d")) == "one");
    CHECK_FALSE(store.value(submissionKey("c")));
}

// Guards against an Unknown outcome for a peer that cannot be connected to, as in a partitioned zone during a store outage. Nothing was
// sent to the peer, and a caller that is told Unknown does not retry.
TEST_CASE("a peer that cannot be connected to has not recorded the submission")
{
    FleetPeerClient peers;
    const auto startedAt = std::chrono::steady_clock::now();
    CHECK(peers.recordInboxEntry("127.0.0.1:1", "a", "one", Duration(1500)) == InboxOutcome::NotRecorded);
    CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(1000));
}

// Guards against a cancellation of a job that nobody submitted, and one that is acknowledged but not stored.
TEST_CASE("cancellations are recorded for known jobs only")
{
    StandinStore store;
    const auto client = makeStoreClient(store);
    CHECK(recordCancellation(*client, "a") == InboxOutcome::NoSuchJob);
    REQUIRE(recordSubmission(*client, "a", "one") == InboxOutcome::Recorded);
    CHECK(recordCancellation(*client, "a") == InboxOutcome::Recorded);
    CHECK(store.value(cancellationKey("a")).has_value());
}

// Guards against fields that are lost in the encoded roster, so that a new owner could not reach or identify a worker.
TEST_CASE("a decoded roster equals the encoded one")
{
    StandinWorker worker("w1", "r1", Duration(10));
    const auto report = std::make_shared<const WorkerReport>(decodeWorkerReport("w1", worker.entry("ready")).value());
    const auto roster
        = decodeRoster(encodeRoster(Roster{.m_version = 7,
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

// Guards against a roster that outgrows a value of the store, so that new workers get no work: hundreds of silent workers with the same locked jobs.
TEST_CASE("a roster that would exceed a value of the store is shortened")
{
    StandinWorker worker("w1", "r1", Duration(10));
    const auto report = std::make_shared<const WorkerReport>(decodeWorkerReport("w1", worker.entry("ready")).value());
    const auto rosterOf = [&](int workers, bool sameJobs) {
        std::vector<RosterEntry> entries;
        for (int number = 0; number < workers; ++number) {
            constexpr int lockedJobs = 300;
            std::vector<std::string> jobs;
            jobs.reserve(lockedJobs);
            for (int job = 0; job < lockedJobs; ++job) {
                jobs.push_back("5c0e7a21d94b" + std::to_string(1'000 + job + (sameJobs ? 0 : number)));
            }
            entries.push_back(RosterEntry{.m_worker = report, .m_jobsIfCordoned = std::move(jobs)});
        }
        return Roster{.m_version = 1, .m_workers = std::move(entries)};
    };
    constexpr std::size_t limit = 1024 * 1024;
    REQUIRE(encodeRoster(rosterOf(370, true)).size() > limit);
    for (const int workers : {1, 370}) {
        for (const bool sameJobs : {true, false}) {
            CAPTURE(workers, sameJobs);
            const auto roster = rosterOf(workers, sameJobs);
            const auto text = encodeRoster(roster, limit);
            CHECK(text.size() <= limit);
            const auto decoded = decodeRoster(text).value();
            REQUIRE(decoded.m_workers.size() == static_cast<std::size_t>(workers));
            // Without its cordon, a worker is waited for by a successor.
            const bool cordoned = workers == 1 || sameJobs;
            CHECK(decoded.m_workers.back().m_jobsIfCordoned == (cordoned ? roster.m_workers.back().m_jobsIfCordoned : std::nullopt));
        }
    }
    CHECK_FALSE(decodeRoster(R"({"version":1,"workers":[{"jobSet":5}]})").ok());
}

// Guards against a submission that is tried again for ever because the store never accepts it.
TEST_CASE("a submission that the store refuses for its size is not tried again")
{
    StandinStore store;
    store.setMaxValueBytes(100);
    const auto client = makeStoreClient(store);
    CHECK(recordSubmission(*client, "job", std::string(100, 'x')) == InboxOutcome::Recorded);
    CHECK(recordSubmission(*client, "other", std::string(101, 'x')) == InboxOutcome::Refused);
    CHECK_FALSE(store.value(submissionKey("other")));
}

} // namespace PrimroseBridge
