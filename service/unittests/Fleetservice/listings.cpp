#include "ownersimulation.h"
#include "snapshot.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Progress/jobrecord.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace PrimroseBridge {

using Sim = OwnerSimulation;

static const std::string jobId = "5c0e7a21d94b36f8";

static WorkerReportPointer onMachine(const std::string &name, const std::string &machine, std::int64_t startedAtMs)
{
    const auto report = *Sim::worker(name, std::nullopt, startedAtMs);
    return std::make_shared<const WorkerReport>(WorkerReport{
        .m_incarnation = report.m_incarnation,
        .m_machine = machine,
        .m_address = report.m_address,
        .m_pool = report.m_pool,
        .m_zone = report.m_zone,
        .m_rack = report.m_rack,
        .m_labels = report.m_labels,
        .m_capacity = report.m_capacity,
        .m_draining = report.m_draining,
        .m_leavesIn = report.m_leavesIn,
        .m_softwareVersion = report.m_softwareVersion,
        .m_reportedAtClockMs = report.m_reportedAtClockMs,
    });
}

static StoreItem item(const std::string &key, const std::string &value)
{
    return StoreItem{.m_key = key, .m_value = value, .m_revision = 2, .m_createRevision = 2, .m_leaseId = 0};
}

static std::set<std::string> trackedWorkers(const Sim &sim)
{
    std::set<std::string> names;
    for (const auto &[name, worker] : sim.m_state.m_workers) {
        names.insert(name);
    }
    return names;
}

// Guards against a cancelled job that runs: the owner decides on a job before it applies the cancellation from the same listing.
TEST_CASE("an iteration applies a listing of the inbox as a whole")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    const auto spec = Sim::job(jobId, "queue", Sim::policy(4));
    const auto listing = decodeInboxListing(StoreListing{
        .m_items = {item(std::string(StoreKeys::cancellations) + jobId, {}), item(submissionKey(jobId), encodeSubmission(*spec))}, .m_revision = 4});
    OwnerPacing pacing;
    runOwnerIteration(sim.m_state, pacing, {EventOfTerm{.m_fence = Sim::fence, .m_event = listing}}, Sim::at(1000));
    CHECK(sim.m_startOrders.empty());
    CHECK(sim.jobState(jobId)->m_outcome == JobOutcome::Cancelled);
    // The same listing of a former term changes nothing.
    Sim other;
    other.configure(1, {"queue"});
    other.becomeOwner({Sim::worker("w1")});
    other.apply(EventOfTerm{.m_fence = Sim::fence - 1, .m_event = listing}, Sim::at(10));
    CHECK_FALSE(other.jobState(jobId));
}

// Guards against a start on a worker that has left: the owner decides after it has applied the entries of a listing and before it knows which
// entries are missing.
TEST_CASE("an iteration applies a listing of the workers as a whole")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.apply(JobSubmitted{.m_spec = Sim::job(jobId, "queue", Sim::policy(4))}, Sim::at(10));
    const auto listing = decodeWorkersListing(StoreListing{.m_items = {item(std::string(workerPrefix) + "odd", "not a worker")}, .m_revision = 4},
                                              {std::string(workerPrefix) + "odd", std::string(workerPrefix) + "w1"});
    CHECK(listing.m_removedWorkers == std::vector<std::string>{"w1"});
    OwnerPacing pacing;
    runOwnerIteration(sim.m_state, pacing, {EventOfTerm{.m_fence = Sim::fence, .m_event = listing}}, Sim::at(1000));
    CHECK(sim.m_startOrders.empty());
}

// Guards against decisions that depend on the identifiers of workers: a listing is ordered by key, and holds the entries of two workers that
// started on one machine one after the other.
TEST_CASE("the order of a listing does not decide which of two workers of one machine is the later one")
{
    std::vector<std::set<std::string>> tracked;
    for (const bool laterFirst : {false, true}) {
        Sim sim;
        sim.configure(1, {"queue"});
        sim.becomeOwner({});
        const auto earlier = onMachine("w1", "m1", 1);
        const auto later = onMachine("w2", "m1", 2);
        const auto reports = laterFirst ? std::vector{later, earlier} : std::vector{earlier, later};
        sim.apply(WorkersListed{.m_workers = reports, .m_removedWorkers = {}}, Sim::at(10));
        tracked.push_back(trackedWorkers(sim));
    }
    CHECK(tracked.front() == tracked.back());
    CHECK(tracked.front().contains("w2"));
}

} // namespace PrimroseBridge
