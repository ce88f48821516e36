#include "session.h"

#include <rapidcheck.h>

#include <algorithm>
#include <bit>

namespace PrimroseBridge {

template<class Value>
static std::vector<Value> valuesOf(const std::map<std::string, Value> &values)
{
    std::vector<Value> result;
    result.reserve(values.size());
    for (const auto &[key, value] : values) {
        result.push_back(value);
    }
    return result;
}

ZoneState stateOf(const Session &session)
{
    return zone(valuesOf(session.m_workers), valuesOf(session.m_running), valuesOf(session.m_queue), session.m_guarantees, session.m_organisations);
}

void changeWorker(Session &session, const std::string &name, AcceleratorSet usable, BackendServerStatus status)
{
    const Worker declared = session.m_workers.at(name).m_worker;
    session.m_workers.erase(name);
    session.m_workers.emplace(name, WorkerState{declared, status, usable, false});
}

static void apply(Session &session, const PassResult &result)
{
    for (const auto &placement : result.m_placements) {
        const auto queued = session.m_queue.extract(placement.m_key.text());
        session.m_running.emplace(placement.m_key.text(), running(queued.mapped(), placement.m_members, session.m_now));
    }
    for (const auto &release : result.m_releases) {
        const auto node = session.m_running.extract(release.m_key.text());
        const Allocation &one = node.mapped();
        session.m_running.emplace(one.m_key.text(),
                                  Allocation{one.m_key,
                                             one.m_attempt,
                                             one.m_organisation,
                                             one.m_jobClass,
                                             one.m_tier,
                                             one.m_shape,
                                             one.m_members,
                                             one.m_startedAt,
                                             one.m_expectedRunTime,
                                             one.m_checkpointable,
                                             one.m_restartable,
                                             true});
    }
}

PassResult step(Session &session)
{
    const ZoneState before = stateOf(session);
    PassResult result = runPass(before, session.m_settings, session.m_now);
    checkInvariants(before, result);
    apply(session, result);
    return result;
}

void finishReleases(Session &session)
{
    std::vector<Allocation> released;
    for (const auto &[key, allocation] : session.m_running) {
        if (allocation.m_releasing) {
            released.push_back(allocation);
        }
    }
    for (const auto &one : released) {
        session.m_running.erase(one.m_key.text());
        session.m_queue.emplace(one.m_key.text(),
                                QueuedJob{one.m_key,
                                          one.m_attempt + 1,
                                          one.m_organisation,
                                          one.m_jobClass,
                                          one.m_tier,
                                          one.m_shape,
                                          one.m_expectedRunTime,
                                          one.m_checkpointable,
                                          one.m_restartable,
                                          session.m_now});
    }
}

using Occupied = std::map<WorkerId, AcceleratorSet>;

static bool isOneRun(AcceleratorSet set)
{
    return set == 0 || std::countr_one(set >> std::countr_zero(set)) == std::popcount(set);
}

/// Gangs are placed whole, on adjacent accelerators that exist and are free, and no accelerator is given away twice.
static void checkPlacement(const ZoneState &before, const Placement &placement, Occupied &occupied)
{
    const auto job = std::find_if(before.m_queue.begin(), before.m_queue.end(), [&](const QueuedJob &one) { return one.m_key == placement.m_key; });
    RC_ASSERT(job != before.m_queue.end());
    int accelerators = 0;
    std::set<RackId> racks;
    std::set<WorkerId> workers;
    for (const auto &member : placement.m_members) {
        const auto worker
            = std::find_if(before.m_workers.begin(), before.m_workers.end(), [&](const WorkerState &one) { return one.m_worker.m_id == member.m_worker; });
        RC_ASSERT(worker != before.m_workers.end());
        RC_ASSERT(worker->m_status == BackendServerStatus::Live);
        RC_ASSERT((member.m_accelerators & ~worker->m_usable) == 0U);
        RC_ASSERT((member.m_accelerators & occupied[member.m_worker]) == 0U);
        RC_ASSERT(isOneRun(member.m_accelerators));
        RC_ASSERT(workers.insert(member.m_worker).second);
        occupied[member.m_worker] |= member.m_accelerators;
        accelerators += std::popcount(member.m_accelerators);
        racks.insert(worker->m_worker.m_rack);
    }
    RC_ASSERT(accelerators == job->m_shape.m_accelerators);
    RC_ASSERT(job->m_shape.m_adjacency != Adjacency::SameWorker || placement.m_members.size() == 1);
    RC_ASSERT(job->m_shape.m_adjacency != Adjacency::SameRack || racks.size() == 1);
}

static void checkQuotas(const ZoneState &before, const PassResult &result)
{
    std::map<OrganisationId, int> usage;
    for (const auto &allocation : before.m_allocations) {
        usage[allocation.m_organisation] += allocation.m_shape.m_accelerators;
    }
    std::map<RequestKey, const QueuedJob *> jobs;
    for (const auto &job : before.m_queue) {
        jobs[job.m_key] = &job;
    }
    for (const auto &placement : result.m_placements) {
        const auto &job = *jobs.at(placement.m_key);
        usage[job.m_organisation] += job.m_shape.m_accelerators;
        const auto *organisation = &*std::find_if(
            before.m_organisations.begin(), before.m_organisations.end(), [&](const Organisation &one) { return one.m_id == job.m_organisation; });
        RC_ASSERT(usage[job.m_organisation] <= organisation->m_quotaAccelerators);
    }
}

static void checkReleases(const ZoneState &before, const PassResult &result)
{
    std::set<RequestKey> released;
    for (const auto &release : result.m_releases) {
        const auto found
            = std::find_if(before.m_allocations.begin(), before.m_allocations.end(), [&](const Allocation &one) { return one.m_key == release.m_key; });
        RC_ASSERT(found != before.m_allocations.end());
        RC_ASSERT(!found->m_releasing);
        RC_ASSERT((release.m_mode == ReleaseMode::Checkpoint ? found->m_checkpointable : found->m_restartable));
        RC_ASSERT(released.insert(release.m_key).second);
    }
}

void checkInvariants(const ZoneState &before, const PassResult &result)
{
    Occupied occupied;
    for (const auto &allocation : before.m_allocations) {
        for (const auto &member : allocation.m_members) {
            occupied[member.m_worker] |= member.m_accelerators;
        }
    }
    for (const auto &placement : result.m_placements) {
        checkPlacement(before, placement, occupied);
    }
    checkQuotas(before, result);
    checkReleases(before, result);
    RC_ASSERT(result.m_explanations.size() == before.m_queue.size());
    RC_ASSERT(result.m_fragmentation >= 0);
    RC_ASSERT(result.m_fragmentation <= 1);
}

} // namespace PrimroseBridge
