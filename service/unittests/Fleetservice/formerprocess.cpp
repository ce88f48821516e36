#include "nodefixture.h"
#include "ownersimulation.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/standinworker.h"
#include "primrosebridge/Fleetwire/messages.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>

// A worker that starts again under its identifier executes calls that were meant for its former process (TWICE on szsa-clamp, issue 45). In each test
// the next process has answered a poll of the owner before such a call reaches it.

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string firstJob = "5c0e7a21d94b36f8";
static const std::string secondJob = "5c0e7a21d94b36f9";
static constexpr Duration longRun(60'000);
// Longer than the owner's task leases of 3 s, so that a lease end on another process's clock can prolong them.
static constexpr Duration longestLease(10'000);

namespace {

// An owner whose records are acknowledged at once.
class OwnerFixture
{
public:
    OwnerFixture()
    {
        m_configuration.installIfNewer(std::make_shared<const FleetConfiguration>(
            FleetConfiguration{.m_version = 1, .m_queues = {}, .m_organisations = {}, .m_pools = {}, .m_maxBodyBytes = 1000}));
        m_owner = std::make_unique<FleetOwner>(OwnerContext{
            .m_settings = settingsOf("vm-1", std::string()),
            .m_workerCalls = workerCallsOver(HttpClient::create().take()),
            .m_configuration = m_configuration,
            .m_enqueueRecord =
                [this](std::int64_t, const DurableRecord &record) {
                    if (record.m_job) {
                        m_owner->post(
                            ProgressRecorded{.m_job = record.m_job->m_spec->m_id, .m_version = record.m_version, .m_outcome = record.m_job->m_outcome});
                    } else if (record.m_key == StoreKeys::roster) {
                        m_owner->post(RosterRecorded{.m_version = record.m_version});
                    }
                },
            .m_leaseEnd = [](std::int64_t) { return bootClockNow() + Duration(60'000); },
            .m_onSuperseded = [this](std::int64_t, const std::string &) { m_superseded = true; },
            .m_bootClock = bootClockNow,
            .m_wallClock = TimerService::wallClockNow,
        });
        REQUIRE(m_owner->start().ok());
    }

    // Writes the worker's entry and returns it as the store lists it.
    WorkerReportPointer writeEntry(const StandinWorker &worker)
    {
        ++m_revision;
        return std::make_shared<const WorkerReport>(decodeWorkerReport(worker.identifier(), worker.entry("ready"), m_revision).value());
    }

    void becomeOwner(const StandinWorker &worker)
    {
        const auto fence = ++m_revision;
        m_owner->post(OwnershipGained{
            .m_snapshot = std::make_shared<const FleetSnapshot>(FleetSnapshot{
                .m_fence = fence, .m_jobs = {}, .m_cancelledJobs = {}, .m_workers = {writeEntry(worker)}, .m_roster = {}, .m_rosterVersion = 0})});
    }

    void report(const StandinWorker &worker)
    {
        m_owner->post(WorkerReported{.m_report = writeEntry(worker)});
    }

    void submit(const std::string &job)
    {
        m_owner->post(JobSubmitted{.m_spec = Sim::job(job, "queue", Sim::policy(4))});
    }

    // Ends the process of @p worker and starts the next one, which answers a poll before it gets the start of @p job.
    void restartAndRun(StandinWorker &worker, const std::string &job)
    {
        worker.restart(true);
        worker.setFaults(nullptr);
        report(worker);
        submit(job);
        REQUIRE(waitUntil([&] { return isRunning(worker, job); }));
        REQUIRE(worker.runHistory().back().m_polledBefore);
    }

    bool isComplete(const std::string &job)
    {
        return m_owner->status("queue", job).m_status == JobStatus::Complete;
    }

    static bool isRunning(const StandinWorker &worker, const std::string &job)
    {
        const auto tasks = worker.runningTasks();
        return std::find(tasks.begin(), tasks.end(), taskName(Sim::reference(job))) != tasks.end();
    }

    std::int64_t m_revision = 10; // Of the store.
    CurrentConfiguration m_configuration;
    std::atomic<bool> m_superseded = false;
    std::unique_ptr<FleetOwner> m_owner;
};

} // namespace

static void setFault(StandinWorker &worker, WorkerCall faulty, WorkerFault fault)
{
    worker.setFaults([=](WorkerCall call) { return call == faulty ? fault : WorkerFault::None; });
}

static void setUnreachable(StandinWorker &worker)
{
    worker.setFaults([](WorkerCall) { return WorkerFault::Unreachable; });
}

// Returns the first run of @p job that has started while another one was going on, or after one that ended as done and was acknowledged.
static std::optional<StandinRun> findForbiddenRun(const std::vector<const StandinWorker *> &workers, const std::string &job)
{
    std::vector<StandinRun> runs;
    for (const auto *worker : workers) {
        for (const auto &run : worker->runHistory()) {
            if (run.m_task == taskName(Sim::reference(job))) {
                runs.push_back(run);
            }
        }
    }
    for (const auto &run : runs) {
        const bool forbidden = std::any_of(runs.begin(), runs.end(), [&](const auto &other) {
            const bool goesOn = other.m_endKind.empty() || other.m_endedAt > run.m_startedAt;
            const bool done = other.m_endKind == "done" && other.m_acknowledged;
            return &other != &run && other.m_startedAt <= run.m_startedAt && (goesOn || done);
        });
        if (forbidden) {
            return run;
        }
    }
    return std::nullopt;
}

// Guards against two runs of one task (hypothesis 1): the lease end in a call is a time on the clock of the former process. It prolongs the leases of
// the next one, which is cut off, beyond the time after which the owner starts its tasks elsewhere. A start that is refused prolongs them as well.
TEST_CASE("a call to a worker's former process does not prolong the leases of the next one", "[formerprocess]")
{
    const auto heldCall = GENERATE(WorkerCall::Report, WorkerCall::Start);
    CAPTURE(heldCall == WorkerCall::Report);
    StandinWorker cutOff("w1", "r1", longRun, longestLease);
    StandinWorker other("w2", "r1", longRun);
    cutOff.advanceClock(Duration(1'000'000));
    OwnerFixture fixture;
    fixture.becomeOwner(cutOff);
    if (heldCall == WorkerCall::Report) {
        REQUIRE(waitUntil([&] { return cutOff.leaseEndMs() > 0; }));
        setFault(cutOff, WorkerCall::Report, WorkerFault::ExecutedOnRequest);
    } else {
        setFault(cutOff, WorkerCall::Start, WorkerFault::ExecutedOnRequest);
        fixture.submit(secondJob);
    }
    REQUIRE(waitUntil([&] { return cutOff.heldCallCount() > 0; }));
    cutOff.restart(true);
    cutOff.setFaults(nullptr);
    fixture.report(cutOff);
    if (heldCall == WorkerCall::Report) {
        fixture.submit(firstJob);
    }
    const auto &job = heldCall == WorkerCall::Report ? firstJob : secondJob;
    REQUIRE(waitUntil([&] { return OwnerFixture::isRunning(cutOff, job); }));
    REQUIRE(cutOff.runHistory().back().m_polledBefore);
    setUnreachable(cutOff);
    fixture.report(other);
    std::this_thread::sleep_for(Duration(200)); // A poll that arrived just before the cut may still renew the leases.
    const auto leaseEndMs = cutOff.leaseEndMs();
    const auto calls = cutOff.executeHeldCalls();
    REQUIRE(std::any_of(calls.begin(), calls.end(), [](const auto &call) { return nlohmann::json::parse(call.m_body).value("deadlineMs", 0) > 1'000'000; }));
    CHECK(cutOff.leaseEndMs() == leaseEndMs);
    REQUIRE(waitUntil([&] { return OwnerFixture::isRunning(other, job); }, 10'000));
    CHECK_FALSE(findForbiddenRun({&cutOff, &other}, job));
    CHECK_FALSE(fixture.m_superseded);
}

// Guards against a task that runs again after it was done (hypothesis 2): the next process has forgotten the run number that the former one has
// executed, and executes the first of two orders that carried it.
TEST_CASE("a start of a task that is done does not reach the next process of its worker", "[formerprocess]")
{
    StandinWorker worker("w1", "r1", Duration(300));
    std::atomic<int> starts = 0;
    worker.setFaults([&](WorkerCall call) { return call == WorkerCall::Start && starts++ == 0 ? WorkerFault::ExecutedOnRequest : WorkerFault::None; });
    OwnerFixture fixture;
    fixture.becomeOwner(worker);
    fixture.submit(firstJob);
    REQUIRE(waitUntil([&] { return fixture.isComplete(firstJob) && worker.unacknowledgedEndCount() == 0; }));
    REQUIRE(worker.heldCallCount() == 1);
    fixture.restartAndRun(worker, secondJob);
    worker.executeHeldCalls();
    CHECK_FALSE(findForbiddenRun({&worker}, firstJob));
    CHECK(worker.runHistory().size() == 2);
    CHECK(waitUntil([&] { return fixture.isComplete(secondJob); }));
    CHECK_FALSE(fixture.m_superseded);
}

// Guards against two runs of one task (hypothesis 2): the worker has confirmed the stop of a run that it had not started yet, so that the task runs
// elsewhere. Its next process has forgotten the stop.
TEST_CASE("a start that the former process of a worker was told to stop does not reach the next one", "[formerprocess]")
{
    StandinWorker first("w1", "r1", longRun);
    StandinWorker second("w2", "r1", longRun);
    setFault(first, WorkerCall::Start, WorkerFault::ExecutedOnRequest);
    OwnerFixture fixture;
    fixture.becomeOwner(first);
    fixture.submit(firstJob);
    REQUIRE(waitUntil([&] { return first.heldCallCount() > 0; }));
    fixture.report(second);
    REQUIRE(waitUntil([&] { return OwnerFixture::isRunning(second, firstJob); }));
    fixture.restartAndRun(first, secondJob);
    first.executeHeldCalls();
    CHECK_FALSE(OwnerFixture::isRunning(first, firstJob));
    CHECK_FALSE(findForbiddenRun({&first, &second}, firstJob));
    CHECK_FALSE(fixture.m_superseded);
}

// Guards against a task that runs again after it was done (hypothesis 3): the numbers of ends start anew with each process, so that an acknowledgement
// for the former one drops an end that the next one has not yet listed.
TEST_CASE("an acknowledgement for a worker's former process drops no end of the next one", "[formerprocess]")
{
    StandinWorker worker("w1", "r1", Duration(3000));
    OwnerFixture fixture;
    fixture.becomeOwner(worker);
    fixture.submit(firstJob);
    REQUIRE(waitUntil([&] { return OwnerFixture::isRunning(worker, firstJob); }));
    // A stopped run ends at once; its end has the number 1.
    fixture.m_owner->post(JobCancelled{.m_job = firstJob});
    REQUIRE(waitUntil([&] { return worker.runningTasks().empty() && worker.unacknowledgedEndCount() == 0; }));
    setFault(worker, WorkerCall::Report, WorkerFault::ExecutedOnRequest);
    REQUIRE(waitUntil([&] { return worker.heldCallCount() > 0; }));
    fixture.restartAndRun(worker, secondJob);
    // The last poll that the worker has received before is answered after 2 s at most, before the run ends.
    setUnreachable(worker);
    REQUIRE(waitUntil([&] { return worker.runHistory().back().m_endKind == "done"; }));
    const auto calls = worker.executeHeldCalls();
    REQUIRE(std::any_of(calls.begin(), calls.end(), [](const auto &call) { return nlohmann::json::parse(call.m_body).value("lastSeen", 0) == 1; }));
    CHECK(worker.unacknowledgedEndCount() == 1);
    worker.setFaults(nullptr);
    CHECK(waitUntil([&] { return fixture.isComplete(secondJob); }, 8000));
    CHECK_FALSE(findForbiddenRun({&worker}, secondJob));
    CHECK(worker.runHistory().size() == 2);
    CHECK_FALSE(fixture.m_superseded);
}

} // namespace PrimroseBridge
