#include "primrosebridge/Fleet/release.h"

#include "fleetbuilder.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace PrimroseBridge {

static constexpr std::int64_t wallNowMs = 1'700'000'100'000;

static WorkerReportPointer workerStartedAt(const std::string &name, const std::string &pool, const std::string &version, std::int64_t startedAtMs)
{
    return std::make_shared<const WorkerReport>(WorkerReport{
        .m_incarnation = WorkerIncarnation{.m_worker = name, .m_startedAtMs = startedAtMs},
        .m_machine = name,
        .m_address = name,
        .m_pool = pool,
        .m_zone = "zone",
        .m_rack = "r1",
        .m_labels = {},
        .m_capacity = Resources{.m_milliCores = 32000, .m_memoryMb = 131072, .m_accelerators = 8},
        .m_draining = false,
        .m_leavesIn = std::nullopt,
        .m_softwareVersion = version,
        .m_reportedAtClockMs = std::nullopt,
    });
}

// Guards against a release that is not noticed, and against workers that are avoided although no release is under way: after a restart with
// the same software, long after a release, or because of a release in another pool.
TEST_CASE("workers are outdated while workers with newer software are starting in their pool")
{
    const auto oldWorker = workerStartedAt("w1", "pool", "v1", wallNowMs - 100'000);
    const auto other = workerStartedAt("w2", "other", "v1", wallNowMs - 100'000);
    const auto now = fromMilliseconds(wallNowMs);
    CHECK(outdatedWorkers({oldWorker, other, workerStartedAt("w3", "pool", "v2", wallNowMs - 3000)}, now) == std::vector<bool>{true, false, false});
    CHECK(outdatedWorkers({oldWorker, workerStartedAt("w3", "pool", "v1", wallNowMs - 3000)}, now) == std::vector<bool>{false, false});
    CHECK(outdatedWorkers({oldWorker, workerStartedAt("w3", "pool", "v2", wallNowMs - 30'000)}, now) == std::vector<bool>{false, false});
    CHECK(outdatedWorkers({}, now).empty());
}

static std::vector<std::string> startedOn(const PlacementInput &input)
{
    std::vector<std::string> workers;
    for (const auto &start : decidePlacement(input).m_starts) {
        workers.push_back(input.m_workers[start.m_worker].m_incarnation->m_worker);
    }
    std::sort(workers.begin(), workers.end());
    return workers;
}

// Guards against a rolling release that breaks the same gang again and again, because it is placed on workers that drain before it ends
// (zdz-crockplan-large, mix with seed 236551481558: a gang of 60 lost two runs of 12 s).
TEST_CASE("long work goes to workers that a release has already replaced")
{
    FleetBuilder fleet;
    fleet.addWorker("old1", "r0", false, true).addWorker("old2", "r0", false, true).addWorker("new1", "r1").addWorker("new2", "r1");
    fleet.addJob("gang", "normal", {.m_tasks = 2, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 11'000});
    CHECK(startedOn(fleet.input()) == std::vector<std::string>{"new1", "new2"});
}

// Guards against work that waits although workers are free, because too few of them have been replaced yet.
TEST_CASE("work does not wait for workers that a release has replaced")
{
    FleetBuilder fleet;
    fleet.addWorker("old1", "r0", false, true).addWorker("old2", "r0", false, true).addWorker("new1", "r1");
    fleet.addJob("gang", "normal", {.m_tasks = 3, .m_accelerators = 8, .m_gang = true, .m_estimateMs = 11'000});
    CHECK(startedOn(fleet.input()) == std::vector<std::string>{"new1", "old1", "old2"});
}

} // namespace PrimroseBridge
