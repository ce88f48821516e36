#include "logcapture.h"
#include "ownersimulation.h"
#include "snapshot.h"

#include "primrosebridge/Fleetservice/fleetmetrics.h"
#include "primrosebridge/Fleetservice/speedrecord.h"
#include "primrosebridge/Fleetservice/storekeys.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>

// The owner learns from run reports how fast the machines of the workers are.

namespace PrimroseBridge {

namespace {

/// An owner of four workers, each on a machine of its own: w1 on m1 and so on. Each job has four tasks, one for each worker.
struct FleetOfFour : OwnerSimulation {
    static constexpr int workers = 4;

    explicit FleetOfFour(bool gang = false)
        : m_gang(gang)
    {
        configure(1, {"queue"});
        std::vector<WorkerReportPointer> reports;
        for (int index = 1; index <= workers; ++index) {
            const auto number = std::to_string(index);
            reports.push_back(worker("w" + number, std::nullopt, 1, "m" + number));
        }
        becomeOwner(reports);
        for (int index = 1; index <= workers; ++index) {
            answer("w" + std::to_string(index), std::nullopt, {}, at(10));
        }
    }

    /// Submits a job, starts its tasks at @p now and reports their progress a second later: 40 percent, but 16 percent on the machine @p slow.
    void runJob(const std::string &name, const std::string &slow, Instant now)
    {
        auto step = stepOf(workers, Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 8});
        const auto id = std::string(16, name.front());
        apply(JobSubmitted{.m_spec = jobOfStep(id, "queue", policy(4), m_gang ? gangOf(step) : step)}, now);
        place(now);
        for (int index = 0; index < workers; ++index) {
            acceptStart(id, now, index);
        }
        for (int index = 0; index < workers; ++index) {
            const auto task = findTask(*jobState(id), reference(id, index));
            const auto worker = task->m_assignedWorker->m_worker;
            const int percent = m_state.m_workers.at(worker).m_report->m_machine == slow ? 16 : 40;
            answer(worker, running(id, 1, percent, index), {}, now + Duration(1000));
        }
        review(now + Duration(1000));
    }

    /// Ends the tasks of the job as done, that on the machine @p slow 4 s later than the others.
    void endJob(const std::string &job, const std::string &slow, Instant now)
    {
        const auto id = std::string(16, job.front());
        ++m_ends;
        std::vector<std::string> names; // The end of one member of a gang completes the others, too.
        names.reserve(workers);
        for (int index = 0; index < workers; ++index) {
            names.push_back(findTask(*jobState(id), reference(id, index))->m_assignedWorker->m_worker);
        }
        for (const bool late : {false, true}) {
            for (int index = 0; index < workers; ++index) {
                const auto &name = names[static_cast<std::size_t>(index)];
                if (late == (m_state.m_workers.at(name).m_report->m_machine == slow)) {
                    answer(name, std::nullopt, {ended(id, m_ends, 1, RunEndKind::Done, index)}, late ? now + Duration(4000) : now);
                }
            }
        }
    }

    [[nodiscard]] double speed(const std::string &machine) const
    {
        return placementSpeed(m_state.m_speeds, machine);
    }

    [[nodiscard]] int speedRecords() const
    {
        return static_cast<int>(std::count_if(m_records.begin(), m_records.end(), [](const auto &record) { return record.m_key == StoreKeys::speeds; }));
    }

private:
    static JobStep gangOf(const JobStep &step)
    {
        return JobStep{.m_taskCount = step.m_taskCount,
                       .m_taskResources = step.m_taskResources,
                       .m_estimate = step.m_estimate,
                       .m_after = step.m_after,
                       .m_gang = true,
                       .m_sameRack = step.m_sameRack,
                       .m_requiredLabel = step.m_requiredLabel,
                       .m_dataRack = step.m_dataRack,
                       .m_maxPerWorker = step.m_maxPerWorker,
                       .m_speculative = step.m_speculative,
                       .m_checkpointing = step.m_checkpointing,
                       .m_longRunning = step.m_longRunning,
                       .m_image = step.m_image,
                       .m_tailLatencyTarget = step.m_tailLatencyTarget,
                       .m_filler = step.m_filler,
                       .m_maxUnavailable = step.m_maxUnavailable};
    }

    const bool m_gang;
    std::int64_t m_ends = 0;
};

} // namespace

// Guards against an owner that never learns that a machine is slow, because the members of a gang end together, or that forgets it when the worker on
// the machine is replaced.
TEST_CASE("the owner learns from the progress of two gangs that a machine is slow")
{
    FleetOfFour sim(true);
    sim.runJob("a", "m2", FleetOfFour::at(1000));
    CHECK(sim.speed("m2") == 1.0);
    sim.endJob("a", {}, FleetOfFour::at(3500));
    {
        const LogCapture capture(LogLevel::Info);
        sim.runJob("b", "m2", FleetOfFour::at(4000));
        REQUIRE(capture.lines("worker_speed").size() == 1);
        CHECK(capture.lines("worker_speed").front().find("machine=m2 ") != std::string::npos);
    }
    CHECK(FleetMetrics::instance().serialize().find("primrosebridge_fleet_slow_machines 1\n") != std::string::npos);
    CHECK(sim.speed("m1") == 1.0);
    CHECK(sim.speed("m2") == Approx(std::pow(0.4, 2.0 / 3.0)).epsilon(0.01));
    sim.endJob("b", {}, FleetOfFour::at(6500));
    sim.review(FleetOfFour::at(7000));
    sim.apply(WorkerReported{.m_report = FleetOfFour::worker("w9", std::nullopt, 9, "m2")}, FleetOfFour::at(7100));
    CHECK(sim.speed(machineOf(*sim.m_state.m_workers.at("w9").m_report)) < 0.7);
}

// Guards against an estimate that rests on the first second of a run although its run time is known.
TEST_CASE("the run time of a task that is no gang member replaces its progress")
{
    FleetOfFour sim;
    sim.runJob("a", "m2", FleetOfFour::at(1000));
    sim.endJob("a", "m3", FleetOfFour::at(3500));
    sim.runJob("b", "m2", FleetOfFour::at(9000));
    sim.endJob("b", "m3", FleetOfFour::at(11'500));
    sim.review(FleetOfFour::at(17'000));
    CHECK(sim.speed("m2") == 1.0);
    CHECK(sim.speed("m3") < 0.7);
}

// Guards against a takeover after which machines look fast whose runs the owner has not seen from the start.
TEST_CASE("an adopted run is measured from the progress at which it was adopted")
{
    FleetOfFour sim;
    const std::string id(16, 'a');
    const auto resources = Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 8};
    const auto step = FleetOfFour::stepOf(FleetOfFour::workers, resources);
    sim.apply(JobSubmitted{.m_spec = FleetOfFour::jobOfStep(id, "queue", FleetOfFour::policy(4), step)}, FleetOfFour::at(900));
    for (const int reports : {0, 1}) {
        for (int index = 0; index < FleetOfFour::workers; ++index) {
            const int percent = (index == 0 ? 60 : 0) + 20 * reports;
            sim.answer("w" + std::to_string(index + 1), FleetOfFour::running(id, 1, percent, index), {}, FleetOfFour::at(1000 + 1000 * reports));
        }
    }
    sim.review(FleetOfFour::at(2000));
    CHECK(sim.m_state.m_speeds.m_machines.at("m1").m_logSpeed == Approx(0.0).margin(0.01));
}

// Guards against a speed that is taken from the time in which a worker is slower than usual because it has just started.
TEST_CASE("the runs of cold and isolated workers are left out")
{
    FleetOfFour sim(true);
    const bool cold = GENERATE(false, true);
    auto &worker = sim.m_state.m_workers.at("w2");
    (cold ? worker.m_coldUntil : worker.m_isolatedUntil) = FleetOfFour::at(60'000);
    sim.runJob("a", "m2", FleetOfFour::at(1000));
    sim.endJob("a", {}, FleetOfFour::at(3500));
    sim.runJob("b", "m2", FleetOfFour::at(4000));
    CHECK_FALSE(sim.m_state.m_speeds.m_machines.contains("m2"));
    CHECK(sim.m_state.m_speeds.m_machines.contains("m1"));
}

// Guards against writes to the store on fleets of equal machines, and against more than one in 5 s on others.
TEST_CASE("the speeds are recorded when one has changed by a tenth, at most every 5 s")
{
    FleetOfFour sim(true);
    sim.runJob("a", {}, FleetOfFour::at(1000));
    sim.endJob("a", {}, FleetOfFour::at(3500));
    sim.runJob("b", {}, FleetOfFour::at(4000));
    sim.endJob("b", {}, FleetOfFour::at(6500));
    recordSpeedsIfChanged(sim.m_state, FleetOfFour::at(6500));
    CHECK(sim.speedRecords() == 0);
    for (int job = 0; job < 3; ++job) {
        const auto name = std::string(1, static_cast<char>('c' + job));
        sim.runJob(name, "m2", FleetOfFour::at(7000 + 3000 * job));
        sim.endJob(name, {}, FleetOfFour::at(9500 + 3000 * job));
    }
    REQUIRE(sim.speed("m2") < 0.7);
    recordSpeedsIfChanged(sim.m_state, FleetOfFour::at(16'000));
    REQUIRE(sim.speedRecords() == 1);
    const auto record = decodeSpeeds(sim.m_records.back().m_value).value();
    CHECK(record.m_speeds.at("m2").m_relative == Approx(0.4).epsilon(0.01));
    CHECK(record.m_speeds.size() == 4);
    sim.m_state.m_speeds = SpeedEstimates();
    recordSpeedsIfChanged(sim.m_state, FleetOfFour::at(20'900));
    CHECK(sim.speedRecords() == 1);
    recordSpeedsIfChanged(sim.m_state, FleetOfFour::at(21'100));
    CHECK(sim.speedRecords() == 2);
    recordSpeedsIfChanged(sim.m_state, FleetOfFour::at(30'000));
    CHECK(sim.speedRecords() == 2);
}

// Guards against a successor that places urgent work on slow machines until it has learnt their speeds itself.
TEST_CASE("a new owner starts from the recorded speeds, and without them if they cannot be read")
{
    const SpeedRecord record{.m_version = 7, .m_speeds = {{"m1", WorkerSpeed{.m_relative = 0.4, .m_weight = 9.0}}}};
    const bool readable = GENERATE(true, false);
    const StoreListing empty{.m_items = {}, .m_revision = 1};
    const StoreItem item{
        .m_key = std::string(StoreKeys::speeds), .m_value = readable ? encodeSpeeds(record) : "{}", .m_revision = 3, .m_createRevision = 3, .m_leaseId = 0};
    const StoreSnapshot snapshot{.m_inbox = empty, .m_progress = empty, .m_workers = empty, .m_roster = std::nullopt, .m_speeds = item};
    OwnerSimulation sim;
    sim.configure(1, {"queue"});
    const auto decoded = decodeSnapshot(snapshot, OwnerSimulation::fence, sim.m_configuration.current(), OwnerSimulation::at(0));
    REQUIRE(decoded.m_revisions.size() == 1); // So that the record can be replaced.
    CHECK(decoded.m_revisions.front().m_key == StoreKeys::speeds);
    sim.apply(OwnershipGained{.m_snapshot = decoded.m_fleet}, OwnerSimulation::at(0));
    CHECK(placementSpeed(sim.m_state.m_speeds, "m1") == (readable ? Approx(std::pow(0.4, 0.9)) : Approx(1.0)));
    CHECK(sim.m_state.m_speedsVersion == (readable ? 7 : 0));
}

TEST_CASE("a record of speeds is read as it was written, and another text is refused")
{
    const double runsForHalfWeight = GENERATE(1.0, 2.5, std::numeric_limits<double>::infinity());
    const SpeedRecord record{.m_version = 7,
                             .m_runsForHalfWeight = runsForHalfWeight,
                             .m_speeds = {{"m1", WorkerSpeed{.m_relative = 0.412, .m_weight = 9.5}}, {"m2", WorkerSpeed{.m_relative = 2.0, .m_weight = 1.0}}}};
    CHECK(decodeSpeeds(encodeSpeeds(record)).value() == record);
    const auto *const text = GENERATE("{}",
                                      "[",
                                      R"({"version":1,"runsForHalfWeight":1000,"machines":{"m1":[0,1000]}})",
                                      R"({"version":1,"runsForHalfWeight":1000,"machines":{"m1":[400]}})",
                                      R"({"version":1,"runsForHalfWeight":1000,"machines":{"m1":[400,-1]}})",
                                      R"({"version":1,"runsForHalfWeight":1000,"machines":{"m1":[400,1e300]}})",
                                      R"({"version":1,"runsForHalfWeight":0,"machines":{}})",
                                      R"({"version":1e300,"runsForHalfWeight":1000,"machines":{}})",
                                      R"({"version":-1,"runsForHalfWeight":1000,"machines":{}})",
                                      R"({"version":9223372036854775807,"runsForHalfWeight":1000,"machines":{}})",
                                      R"({"version":1,"runsForHalfWeight":1000,"machines":[]})");
    CHECK_FALSE(decodeSpeeds(text).ok());
}

// Guards against a record that the next owner cannot read, because a value in it is too large for its integers.
TEST_CASE("a record with a value that is as good as infinite can be read")
{
    const SpeedRecord record{.m_version = 1, .m_runsForHalfWeight = 1e300, .m_speeds = {}};
    CHECK(std::isinf(decodeSpeeds(encodeSpeeds(record)).value().m_runsForHalfWeight));
}

// Guards against a takeover that cannot begin because the store does not answer for a record that costs quality only.
TEST_CASE("a record that cannot be read at a takeover counts as absent")
{
    const Error error(ErrorKind::Unavailable, "the store answered with status 500", "restore the store");
    CHECK_FALSE(itemIfRead(StoreKeys::speeds, Result<std::optional<StoreItem>>(error)).has_value());
    const StoreItem item{.m_key = std::string(StoreKeys::speeds), .m_value = "{}", .m_revision = 2, .m_createRevision = 1, .m_leaseId = 0};
    CHECK(itemIfRead(StoreKeys::speeds, Result<std::optional<StoreItem>>(std::optional(item))) == item);
}

} // namespace PrimroseBridge
