#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetservice/fleetowner.h"
#include "primrosebridge/Fleetstandin/standinworker.h"
#include "primrosebridge/Pipeline/bootclock.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

namespace PrimroseBridge {

static constexpr std::int64_t fence = 10;
static constexpr std::int64_t heldLease = 1'000'000'000'000;
static constexpr std::string_view jobName = "5c0e7a21d94b36f8";

static FleetSettings settingsOf()
{
    return FleetSettings{.m_vm = VmId::create("vm").value(),
                         .m_zone = ZoneId::create("zone-a").value(),
                         .m_frontAddress = {},
                         .m_readinessAddress = {},
                         .m_peerAddress = {},
                         .m_peerListenAddress = {},
                         .m_metricsAddress = {},
                         .m_storeAddress = {},
                         .m_taskLease = Duration(3000),
                         .m_shortestStoreLease = Duration(1000),
                         .m_reclaimBound = Duration(3400),
                         .m_stopBound = Duration(900),
                         .m_shutdownBound = Duration(6000),
                         .m_processor = 1.0,
                         .m_remoteFactor = 3.0,
                         .m_logLevel = "info"};
}

static FleetConfigurationPointer configurationOf()
{
    return std::make_shared<const FleetConfiguration>(FleetConfiguration{
        .m_version = 1,
        .m_queues = {{.m_name = "queue",
                      .m_host = "host",
                      .m_pathPrefix = "/q/",
                      .m_workerPool = "pool",
                      .m_priority = 0,
                      .m_maxAttempts = 2,
                      .m_slackFactor = 1.5,
                      .m_latencyGoal = Duration(300),
                      .m_timeout = Duration(3000),
                      .m_isPublic = true,
                      .m_needsPlacementAdvice = false}},
        .m_organisations = {},
        .m_pools = {},
        .m_maxBodyBytes = 1000,
    });
}

static JobSpecPointer specOf(int tasks, bool gang, const std::string &name = std::string(jobName), bool lasting = false)
{
    return std::make_shared<const JobSpec>(JobSpec{
        .m_id = name,
        .m_queue = "queue",
        .m_organisation = {},
        .m_acceptedAt = TimerService::now(),
        .m_payload = "payload",
        .m_steps = {JobStep{.m_taskCount = tasks,
                            .m_taskResources = Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 8},
                            .m_estimate = Duration(200),
                            .m_after = {},
                            .m_gang = gang,
                            .m_sameRack = false,
                            .m_requiredLabel = {},
                            .m_dataRack = {},
                            .m_maxPerWorker = 0,
                            .m_speculative = false,
                            .m_checkpointing = false,
                            .m_longRunning = lasting,
                            .m_image = {},
                            .m_tailLatencyTarget = Duration(0),
                            .m_filler = false,
                            .m_maxUnavailable = 0}},
        .m_schedule = JobSchedule{.m_count = 0, .m_firstDue = fromMilliseconds(0), .m_interval = Duration(0)},
    });
}

static WorkerReportPointer reportOf(const StandinWorker &worker)
{
    return std::make_shared<const WorkerReport>(decodeWorkerReport(worker.identifier(), worker.entry("ready")).value());
}

static RosterEntry entryOf(const StandinWorker &worker, std::optional<std::vector<std::string>> onlyJobs = std::nullopt)
{
    return RosterEntry{.m_worker = reportOf(worker), .m_jobsIfCordoned = std::move(onlyJobs)};
}

namespace {

// An owner whose records are acknowledged at once, unless a test holds them back.
class Rig
{
public:
    Rig()
    {
        m_configuration.installIfNewer(configurationOf());
        m_owner = FleetOwner::create(OwnerContext{
                                         .m_settings = settingsOf(),
                                         .m_workers = HttpClient::create().take(),
                                         .m_configuration = m_configuration,
                                         .m_enqueueRecord = [this](const DurableRecord &record) { acknowledge(record); },
                                         .m_leaseEnd = [this] { return fromMilliseconds(m_leaseEnd); },
                                         .m_superseded = [this](std::int64_t, const std::string &) { m_superseded = true; },
                                     })
                      .take();
    }

    void own(const std::vector<JobPointer> &jobs, const std::vector<WorkerReportPointer> &workers, const std::vector<RosterEntry> &roster = {})
    {
        m_owner->post(
            OwnershipGained{.m_snapshot = std::make_shared<const FleetSnapshot>(FleetSnapshot{
                                .m_fence = fence, .m_jobs = jobs, .m_cancelledJobs = {}, .m_workers = workers, .m_roster = roster, .m_rosterVersion = 0})});
    }

    bool waitFor(const std::function<bool()> &condition, int milliseconds = 4000)
    {
        for (int waited = 0; waited < milliseconds; waited += 10) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(Duration(10));
        }
        return condition();
    }

    bool isComplete()
    {
        return m_owner->status("queue", std::string(jobName)).m_status == JobStatus::Complete;
    }

    void acknowledge(const DurableRecord &record)
    {
        if (record.m_job && m_holdBack) {
            const std::lock_guard lock(m_mutex);
            m_heldBack.push_back(record.m_job);
            return;
        }
        if (record.m_job) {
            m_owner->post(ProgressRecorded{.m_job = record.m_job->m_spec->m_id, .m_version = record.m_version, .m_outcome = record.m_job->m_outcome});
        } else {
            {
                const std::lock_guard lock(m_mutex);
                m_roster = record.m_value;
            }
            if (!m_holdBackRoster) {
                m_owner->post(RosterRecorded{.m_version = record.m_version});
            }
        }
    }

    // The entry of the newest recorded roster.
    std::optional<RosterEntry> recordedEntry(const std::string &worker)
    {
        const std::lock_guard lock(m_mutex);
        const auto roster = decodeRoster(m_roster);
        if (!roster.ok()) {
            return std::nullopt;
        }
        const auto &entries = roster.value().m_workers;
        const auto found = std::find_if(entries.begin(), entries.end(), [&](const auto &entry) { return entry.m_worker->m_life.m_worker == worker; });
        return found == entries.end() ? std::nullopt : std::optional(*found);
    }

    CurrentConfiguration m_configuration;
    // Boot clock in milliseconds. A lease that has been over for long is at 0.
    std::atomic<std::int64_t> m_leaseEnd = heldLease;
    std::atomic<bool> m_superseded = false;
    std::atomic<bool> m_holdBack = false;
    std::atomic<bool> m_holdBackRoster = false;
    std::string m_roster; // The newest, guarded by m_mutex.
    std::mutex m_mutex;
    std::vector<JobPointer> m_heldBack;
    std::unique_ptr<FleetOwner> m_owner;
};

} // namespace

// Guards against a wait whose cause neither log nor metrics name: issue 17.
TEST_CASE("the time that a step waits for a place is counted by rank and reason")
{
    StandinWorker worker("w1", "r1", Duration(60'000));
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return worker.running().size() == 1; }));
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false, "0000000000000001")});
    const auto counted = [] {
        const auto text = FleetMetrics::instance().serialize();
        return text.find(R"(primrosebridge_fleet_step_wait_seconds_total{rank="urgent",reason="no_room"})") != std::string::npos;
    };
    CHECK(rig.waitFor(counted));
}

// Guards against a thread that spins while there is nothing to decide: 1,000 wake-ups a second, found by the bench's sweep.
TEST_CASE("the stage sleeps while another VM owns the fleet")
{
    const Rig rig;
    const auto switches = [] {
        rusage usage{};
        REQUIRE(::getrusage(RUSAGE_SELF, &usage) == 0);
        return usage.ru_nvcsw;
    };
    std::this_thread::sleep_for(Duration(200));
    const auto before = switches();
    std::this_thread::sleep_for(Duration(1000));
    // The stage looks at the time every 50 ms, and the clients' threads every second.
    CHECK(switches() - before < 200);
}

// Guards against a path from submission to outcome that is broken at any of its stages.
TEST_CASE("a submitted job runs and is shown as complete")
{
    StandinWorker worker("w1", "r1", Duration(100));
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    CHECK(rig.waitFor([&] { return rig.isComplete(); }));
    CHECK(worker.runs().size() == 1);
    CHECK(rig.waitFor([&] { return worker.listedEnds() == 0; }));
}

// Guards against two runs of one task: the order that got no answer begins after the task was placed elsewhere.
TEST_CASE("a start that is carried out late does not run beside another")
{
    StandinWorker slow("w1", "r1", Duration(200));
    StandinWorker sound("w2", "r1", Duration(200));
    std::atomic<int> starts = 0;
    const auto firstStartLate = [&](WorkerCall call) { return call == WorkerCall::Start && starts++ == 0 ? WorkerFault::CarriedOutLate : WorkerFault::None; };
    slow.setFaults(firstStartLate);
    sound.setFaults(firstStartLate);
    Rig rig;
    rig.own({}, {reportOf(slow), reportOf(sound)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return rig.isComplete(); }));
    std::this_thread::sleep_for(Duration(1000));
    CHECK(slow.runs().size() + sound.runs().size() == 1);
}

// Guards against work that is thrown away because only the answer to its start was lost.
TEST_CASE("a start whose answer is lost is found in the worker's lists")
{
    StandinWorker worker("w1", "r1", Duration(800));
    worker.setFaults([](WorkerCall call) { return call == WorkerCall::Start ? WorkerFault::AnswerLost : WorkerFault::None; });
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return rig.isComplete(); }));
    CHECK(worker.runs().size() == 1);
}

// Guards against a former owner, cut off with its zone, that starts work which its successor has already run.
TEST_CASE("nothing starts while the lease may have lapsed")
{
    StandinWorker worker("w1", "r1", Duration(100));
    Rig rig;
    rig.m_leaseEnd = 0;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    std::this_thread::sleep_for(Duration(700));
    CHECK(worker.runs().empty());
    rig.m_leaseEnd = heldLease;
    CHECK(rig.waitFor([&] { return rig.isComplete(); }));
}

// Guards against accepted work that stands still while the store is away, and against two runs of one task: what is started then must
// have lapsed before a successor may run it, and a job that a successor may already run is left alone.
TEST_CASE("known work starts for a while after the own lease may have lapsed, with task leases that end in time")
{
    StandinWorker worker("w1", "r1", Duration(700));
    Rig rig;
    rig.own({}, {reportOf(worker)});
    const std::string known = "0000000000000001";
    const std::string late = "0000000000000002";
    const std::string second = "0000000000000003";
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return worker.running().size() == 1; }));
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false, known)});
    std::this_thread::sleep_for(Duration(100));
    const auto lapsed = toMilliseconds(bootClockNow());
    const auto clock = worker.clock();
    rig.m_leaseEnd = lapsed;
    std::this_thread::sleep_for(Duration(100));
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false, late)});
    REQUIRE(rig.waitFor([&] { return worker.runs().size() == 2; }, 1200));
    // 50 ms for the two clocks that are read one after the other.
    CHECK(worker.leaseEnd() <= clock + settingsOf().m_taskLease.count() + 50);
    REQUIRE(rig.waitFor([&] { return rig.m_owner->status("queue", known).m_status == JobStatus::Complete; }, 1500));
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false, second)});
    std::this_thread::sleep_for(Duration(500));
    CHECK(worker.runs().size() == 2);
    rig.m_leaseEnd = heldLease;
    CHECK(rig.waitFor([&] { return worker.runs().size() == 4; }));
}

// Guards against two runs of one task: a former owner that is cut off with its zone renews the leases there, and the run outlives
// the time after which the successor starts it elsewhere.
TEST_CASE("no lease is renewed while the own lease may have lapsed")
{
    StandinWorker worker("w1", "r1", Duration(60'000));
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return worker.running().size() == 1; }));
    rig.m_leaseEnd = 0;
    std::this_thread::sleep_for(Duration(200));
    const auto leaseEnd = worker.leaseEnd();
    CHECK(leaseEnd > 0);
    std::this_thread::sleep_for(Duration(2500));
    CHECK(worker.leaseEnd() == leaseEnd);
    rig.m_leaseEnd = heldLease;
    CHECK(rig.waitFor([&] { return worker.leaseEnd() > leaseEnd; }));
}

// Runs one task of the job at the worker, as a predecessor with a lower fence started it.
static void startAsPredecessor(const StandinWorker &worker)
{
    const auto client = HttpClient::create().take();
    std::atomic<bool> answered = false;
    sendStartOrder(*client,
              OrderTarget{.m_worker = worker.identifier(), .m_address = reportOf(worker)->m_address, .m_fence = fence - 1, .m_timeout = Duration(1000)},
              StartOrder{.m_task = TaskReference{.m_job = std::string(jobName), .m_occurrence = 0, .m_step = 0, .m_index = 0},
                         .m_run = 1,
                         .m_payload = "payload",
                         .m_checkpoint = {},
                         .m_leaseEnd = 100'000},
              [&](const OrderReply &) { answered = true; });
    for (int round = 0; round < 100 && !answered; ++round) {
        std::this_thread::sleep_for(Duration(10));
    }
}

// Guards against a task that runs twice: its worker's entry lapsed while the store was away, so only the roster names the worker.
TEST_CASE("a new owner asks the workers of the roster before it runs their tasks")
{
    StandinWorker unlisted("w1", "r1", Duration(1200));
    StandinWorker listed("w2", "r1", Duration(100));
    startAsPredecessor(unlisted);
    REQUIRE(unlisted.runs().size() == 1);
    std::atomic<bool> cut = true;
    unlisted.setFaults([&](WorkerCall) { return cut ? WorkerFault::Unreachable : WorkerFault::None; });
    Rig rig;
    rig.own({newJobState(specOf(1, false), 2, bootClockNow())}, {reportOf(listed)}, {entryOf(unlisted), entryOf(listed)});
    std::this_thread::sleep_for(Duration(500));
    CHECK(listed.runs().empty());
    cut = false;
    REQUIRE(rig.waitFor([&] { return rig.isComplete(); }));
    CHECK(listed.runs().empty());
    CHECK(unlisted.runs().size() == 1);
}

// Guards against work that waits a whole lease after a takeover for a worker that had crashed or left before: pattern of inc-627a.
TEST_CASE("a worker that gets no starts keeps a new owner waiting only with the jobs that may run there")
{
    StandinWorker gone("w1", "r1", Duration(100));
    StandinWorker listed("w2", "r1", Duration(100));
    const std::string other = "0000000000000001";
    gone.setFaults([](WorkerCall) { return WorkerFault::Unreachable; });
    Rig rig;
    rig.own({newJobState(specOf(1, false), 2, bootClockNow()), newJobState(specOf(1, false, other), 2, bootClockNow())},
            {reportOf(listed)},
            {entryOf(gone, std::vector<std::string>{other}), entryOf(listed)});
    CHECK(rig.waitFor([&] { return rig.isComplete(); }, 1000));
    std::this_thread::sleep_for(Duration(300));
    CHECK(rig.m_owner->status("queue", other).m_status == JobStatus::Queued);
    gone.setFaults([](WorkerCall) { return WorkerFault::None; });
    CHECK(rig.waitFor([&] { return rig.m_owner->status("queue", other).m_status == JobStatus::Complete; }));
}

// Guards against a successor that takes a worker for one without starts while it gets some, and against one that is never told.
TEST_CASE("the roster says which workers get no starts, and starts there wait until it says otherwise")
{
    StandinWorker worker("w1", "r1", Duration(60'000));
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return worker.running().size() == 1; }));
    const auto closed = [&] {
        const auto entry = rig.recordedEntry("w1");
        return entry && entry->m_jobsIfCordoned;
    };
    CHECK_FALSE(closed());
    worker.setFaults([](WorkerCall) { return WorkerFault::Unreachable; });
    REQUIRE(rig.waitFor(closed));
    CHECK(*rig.recordedEntry("w1")->m_jobsIfCordoned == std::vector<std::string>{std::string(jobName)});
    rig.m_holdBackRoster = true;
    rig.m_owner->post(JobCancelled{.m_job = std::string(jobName)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false, "0000000000000001")});
    worker.setFaults([](WorkerCall) { return WorkerFault::None; });
    REQUIRE(rig.waitFor([&] { return !closed(); }));
    std::this_thread::sleep_for(Duration(500));
    CHECK(worker.runs().size() == 1);
    rig.m_holdBackRoster = false;
    rig.m_owner->post(WorkerReported{.m_report = std::make_shared<const WorkerReport>(decodeWorkerReport("w1", worker.entry("draining")).value())});
    REQUIRE(rig.waitFor(closed));
    rig.m_owner->post(WorkerReported{.m_report = reportOf(worker)});
    CHECK(rig.waitFor([&] { return worker.runs().size() == 2; }));
}

static WorkerReportPointer drainingReportOf(const StandinWorker &worker)
{
    return std::make_shared<const WorkerReport>(decodeWorkerReport(worker.identifier(), worker.entry("draining")).value());
}

// Guards against tasks that wait a whole lease for a worker which was taken away in an orderly way.
TEST_CASE("tasks of a worker that left in order are placed again at once")
{
    auto leaving = std::make_unique<StandinWorker>("w1", "r1", Duration(60'000));
    StandinWorker staying("w2", "r1", Duration(60'000));
    Rig rig;
    rig.own({}, {reportOf(*leaving)});
    // A task that lasts is not moved when its worker drains.
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false, std::string(jobName), true)});
    REQUIRE(rig.waitFor([&] { return leaving->running().size() == 1; }));
    rig.m_owner->post(WorkerReported{.m_report = drainingReportOf(*leaving)});
    // Longer than the silence after which entries are removed, so that this one was not removed for it.
    std::this_thread::sleep_for(Duration(5500));
    REQUIRE(leaving->running().size() == 1);
    rig.m_owner->post(WorkerReported{.m_report = reportOf(staying)});
    leaving.reset();
    rig.m_owner->post(WorkerEntryRemoved{.m_worker = "w1"});
    CHECK(rig.waitFor([&] { return staying.running().size() == 1; }, 1500));
}

// Guards against two runs of one task: the entry of a worker that was cut off for a while is removed for its silence, the news of that
// comes after the worker answers again, and one more request gets no answer. Found by a hunt on zdz-crockplan-grown, once.
TEST_CASE("a worker whose entry was removed for silence has not left")
{
    for (const bool draining : {false, true}) {
        StandinWorker cut("w1", "r1", Duration(60'000));
        StandinWorker other("w2", "r1", Duration(100));
        Rig rig;
        rig.own({}, {reportOf(cut)});
        rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
        REQUIRE(rig.waitFor([&] { return cut.running().size() == 1; }));
        if (draining) {
            rig.m_owner->post(WorkerReported{.m_report = drainingReportOf(cut)});
        }
        cut.setFaults([](WorkerCall) { return WorkerFault::Unreachable; });
        std::this_thread::sleep_for(Duration(2300));
        cut.setFaults([](WorkerCall) { return WorkerFault::None; });
        std::this_thread::sleep_for(Duration(600));
        rig.m_owner->post(WorkerReported{.m_report = reportOf(other)});
        rig.m_owner->post(WorkerEntryRemoved{.m_worker = "w1"});
        std::this_thread::sleep_for(Duration(100));
        cut.setFaults([](WorkerCall) { return WorkerFault::Unreachable; });
        std::this_thread::sleep_for(Duration(1500));
        CHECK(other.runs().empty());
        CHECK(cut.running().size() == 1);
    }
}

// Guards against a task that runs twice because the store names a restarted worker's new life later than orders reach it: found by
// the soak, seed 302.
TEST_CASE("a start that a worker's new life has carried out is found there")
{
    StandinWorker first("w1", "r1", Duration(600));
    StandinWorker second("w2", "r1", Duration(600));
    Rig rig;
    rig.own({}, {reportOf(first), reportOf(second)});
    REQUIRE(rig.waitFor([&] { return first.leaseEnd() > 0 && second.leaseEnd() > 0; }));
    first.restart();
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return first.runs().size() == 1; }));
    first.setFaults([](WorkerCall call) { return call == WorkerCall::Report ? WorkerFault::Unreachable : WorkerFault::None; });
    rig.m_owner->post(WorkerReported{.m_report = reportOf(first)});
    std::this_thread::sleep_for(Duration(300));
    CHECK(second.runs().empty());
    first.setFaults([](WorkerCall) { return WorkerFault::None; });
    CHECK(rig.waitFor([&] { return rig.isComplete(); }));
    CHECK(first.runs().size() == 1);
    CHECK(second.runs().empty());
}

// Guards against an overfull worker: runs of settled jobs take up room until they have stopped. Found by the soak, seed 401.
TEST_CASE("nothing starts on a worker that still runs what nobody knows")
{
    StandinWorker worker("w1", "r1", Duration(60'000));
    {
        Rig former;
        former.own({}, {reportOf(worker)});
        former.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
        REQUIRE(former.waitFor([&] { return worker.running().size() == 1; }));
    }
    worker.setFaults([](WorkerCall call) { return call == WorkerCall::Stop ? WorkerFault::Unreachable : WorkerFault::None; });
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false, "0000000000000001")});
    std::this_thread::sleep_for(Duration(600));
    CHECK(worker.runs().size() == 1);
    worker.setFaults([](WorkerCall) { return WorkerFault::None; });
    CHECK(rig.waitFor([&] { return worker.runs().size() == 2; }));
}

// Guards against a task that is never run again because its worker restarted before the start reached it.
TEST_CASE("a start that a worker's new life has not seen is given to another worker")
{
    StandinWorker first("w1", "r1", Duration(100));
    StandinWorker second("w2", "r1", Duration(100));
    Rig rig;
    rig.own({}, {reportOf(first)});
    REQUIRE(rig.waitFor([&] { return first.leaseEnd() > 0; }));
    first.setFaults([](WorkerCall call) { return call == WorkerCall::Start ? WorkerFault::Unreachable : WorkerFault::None; });
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    std::this_thread::sleep_for(Duration(100));
    first.restart();
    rig.m_owner->post(WorkerReported{.m_report = reportOf(second)});
    rig.m_owner->post(WorkerReported{.m_report = reportOf(first)});
    CHECK(rig.waitFor([&] { return rig.isComplete(); }));
    CHECK(first.runs().size() + second.runs().size() == 1);
}

// Guards against two runs of one task: a worker whose entry was removed for silence may still run it.
TEST_CASE("tasks of a silent worker wait until its leases have lapsed")
{
    StandinWorker silent("w1", "r1", Duration(60'000));
    StandinWorker sound("w2", "r1", Duration(100));
    Rig rig;
    rig.own({}, {reportOf(silent)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return silent.running().size() == 1; }));
    rig.m_owner->post(WorkerReported{.m_report = reportOf(sound)});
    silent.setFaults([](WorkerCall) { return WorkerFault::Unreachable; });
    // The stand-in still answers the request that it received before; its last answer comes within two seconds.
    std::this_thread::sleep_for(Duration(4700));
    rig.m_owner->post(WorkerEntryRemoved{.m_worker = "w1"});
    std::this_thread::sleep_for(Duration(300));
    CHECK(sound.runs().empty());
    CHECK(rig.waitFor([&] { return rig.isComplete(); }, 4000));
}

// Guards against work that is stopped because its worker cannot be reached for a while: pattern of a zone that is cut off.
TEST_CASE("tasks on a silent worker are not taken for standing still")
{
    StandinWorker worker("w1", "r1", Duration(4500));
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return worker.running().size() == 1; }));
    worker.setFaults([](WorkerCall) { return WorkerFault::Unreachable; });
    std::this_thread::sleep_for(Duration(2800));
    worker.setFaults([](WorkerCall) { return WorkerFault::None; });
    std::this_thread::sleep_for(Duration(500));
    CHECK(worker.running().size() == 1);
    CHECK(worker.runs().size() == 1);
}

// Guards against an end that is lost: the worker may forget it only once it is recorded.
TEST_CASE("an end is acknowledged after its record")
{
    StandinWorker worker("w1", "r1", Duration(100));
    Rig rig;
    rig.m_holdBack = true;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] {
        const std::lock_guard lock(rig.m_mutex);
        return !rig.m_heldBack.empty();
    }));
    std::this_thread::sleep_for(Duration(600));
    CHECK(worker.listedEnds() == 1);
    CHECK_FALSE(rig.isComplete());
    rig.m_holdBack = false;
    rig.acknowledge(DurableRecord{.m_key = {}, .m_job = rig.m_heldBack.front(), .m_value = {}, .m_version = rig.m_heldBack.front()->m_version});
    CHECK(rig.waitFor([&] { return rig.isComplete() && worker.listedEnds() == 0; }));
}

// Guards against a gang that is run again after a takeover: one member's end settles the job, and the ends of the others were
// acknowledged before that was recorded.
TEST_CASE("the ends of all members of a gang wait for the record")
{
    StandinWorker first("w1", "r1", Duration(100));
    StandinWorker second("w2", "r1", Duration(100));
    Rig rig;
    rig.m_holdBack = true;
    rig.own({}, {reportOf(first), reportOf(second)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(2, true)});
    REQUIRE(rig.waitFor([&] { return first.listedEnds() + second.listedEnds() == 2; }));
    std::this_thread::sleep_for(Duration(800));
    CHECK(first.listedEnds() == 1);
    CHECK(second.listedEnds() == 1);
}

// Guards against tasks that run on after their job was cancelled, also if the stop's answer is lost.
TEST_CASE("a cancelled job's runs are stopped")
{
    StandinWorker worker("w1", "r1", Duration(60'000));
    std::atomic<int> stops = 0;
    worker.setFaults([&](WorkerCall call) { return call == WorkerCall::Stop && stops++ == 0 ? WorkerFault::Unreachable : WorkerFault::None; });
    Rig rig;
    rig.own({}, {reportOf(worker)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(1, false)});
    REQUIRE(rig.waitFor([&] { return worker.running().size() == 1; }));
    rig.m_owner->post(JobCancelled{.m_job = std::string(jobName)});
    CHECK(rig.waitFor([&] { return worker.running().empty(); }, 3000));
    CHECK(rig.waitFor([&] { return rig.m_owner->status("queue", std::string(jobName)).m_status == JobStatus::Cancelled; }));
}

// Guards against members that wait for others until they end alone.
TEST_CASE("a gang of which one member cannot start is stopped and placed again")
{
    StandinWorker first("w1", "r1", Duration(300));
    StandinWorker second("w2", "r1", Duration(300));
    StandinWorker third("w3", "r1", Duration(300));
    std::atomic<int> starts = 0;
    first.setFaults([&](WorkerCall call) { return call == WorkerCall::Start && starts++ == 0 ? WorkerFault::CarriedOutLate : WorkerFault::None; });
    Rig rig;
    rig.own({}, {reportOf(first), reportOf(second), reportOf(third)});
    rig.m_owner->post(JobSubmitted{.m_spec = specOf(2, true)});
    REQUIRE(rig.waitFor([&] { return rig.isComplete(); }, 6000));
    std::set<std::int64_t> runs;
    for (const auto *worker : {&first, &second, &third}) {
        for (const auto &run : worker->runs()) {
            runs.insert(run.m_run);
        }
    }
    CHECK(runs.size() <= 2);
}

// Guards against a former owner that goes on giving orders after a worker has told it of its successor.
TEST_CASE("a worker's refusal of the fence is reported")
{
    StandinWorker worker("w1", "r1", Duration(100));
    const auto client = HttpClient::create().take();
    requestRunReport(*client,
                  OrderTarget{.m_worker = "w1", .m_address = reportOf(worker)->m_address, .m_fence = fence + 1, .m_timeout = Duration(1000)},
                  ReportRequest{.m_lastAcknowledgedEnd = 0, .m_leaseEnd = std::nullopt, .m_wait = Duration(0)},
                  [](const ReportReply &) {});
    std::this_thread::sleep_for(Duration(200));
    Rig rig;
    rig.own({}, {reportOf(worker)});
    CHECK(rig.waitFor([&] { return rig.m_superseded.load(); }));
}

} // namespace PrimroseBridge
