#include "primrosebridge/Runtime/zoneshard.h"

#include <algorithm>

namespace PrimroseBridge {

static BackendServerStatus statusOf(const WorkerEntry &entry)
{
    if (entry.m_lost || !entry.m_fenced || !entry.m_answering) {
        return BackendServerStatus::Gone;
    }
    return entry.m_leaving || entry.m_listedLeaving ? BackendServerStatus::Draining : BackendServerStatus::Live;
}

// A settled member no longer occupies its worker, even while the rest of its gang is still being stopped.
static bool occupies(const MemberStatus &member)
{
    switch (member.m_state) {
    case MemberState::NotKnown:
    case MemberState::Held:
    case MemberState::Running:
    case MemberState::Lost:
        return true;
    case MemberState::Checkpointed:
    case MemberState::Done:
    case MemberState::Failed:
    case MemberState::Stopped:
    case MemberState::NeverStarted:
        return false;
    }
    return true;
}

static std::vector<GangMember> occupiedMembers(const Job &job)
{
    std::vector<GangMember> members;
    for (const auto &member : job.m_members) {
        if (occupies(member)) {
            members.push_back(member.m_member);
        }
    }
    return members;
}

static bool isLive(const OrphanTask &orphan)
{
    const auto state = orphan.m_task.m_report.m_state;
    return state == TaskStatus::Held || state == TaskStatus::Running;
}

AcceleratorSet freeAccelerators(const ZoneShard &shard, const WorkerId &worker)
{
    const auto found = shard.m_workers.find(worker);
    if (found == shard.m_workers.end()) {
        return 0;
    }
    AcceleratorSet free = found->second.m_usable;
    for (const auto &[key, job] : shard.m_jobs) {
        if (!occupiesWorkers(*job)) {
            continue;
        }
        for (const auto &member : job->m_members) {
            if (member.m_member.m_worker == worker && occupies(member)) {
                free &= ~member.m_member.m_accelerators;
            }
        }
    }
    return free;
}

std::vector<WorkerState> makeWorkerStates(const ZoneShard &shard, Instant now)
{
    std::vector<WorkerState> workers;
    workers.reserve(shard.m_workers.size());
    for (const auto &[id, entry] : shard.m_workers) {
        workers.push_back(WorkerState{
            .m_worker = *entry.m_worker,
            .m_status = statusOf(entry),
            .m_usable = entry.m_usable,
            .m_ejected = entry.m_score && isEjected(*entry.m_score, now),
        });
    }
    return workers;
}

static Duration expectedRunTimeOf(const ZoneShard &shard, const Job &job)
{
    const auto found = shard.m_estimates.find(job.m_jobClass.m_id);
    const auto estimate = found == shard.m_estimates.end() ? initialEstimate() : *found->second;
    return expectedRunTime(estimate, job.m_jobClass, job.m_request.m_declaredRunTime);
}

static Allocation allocationOf(const ZoneShard &shard, const Job &job, const std::vector<GangMember> &members, Instant now)
{
    const bool releasing = job.m_phase != JobPhase::Running;
    return Allocation{
        .m_key = job.m_request.m_key,
        .m_attempt = job.m_attempt,
        .m_organisation = job.m_request.m_organisation,
        .m_jobClass = job.m_jobClass.m_id,
        .m_tier = job.m_jobClass.m_tier,
        .m_shape = job.m_jobClass.m_shape,
        .m_members = members,
        .m_startedAt = job.m_startedAt.value_or(now),
        .m_expectedRunTime = expectedRunTimeOf(shard, job),
        .m_checkpointable = job.m_jobClass.m_checkpointable,
        .m_restartable = job.m_jobClass.m_restartable,
        .m_releasing = releasing && job.m_phase == JobPhase::Stopping,
    };
}

// An orphan occupies its worker until it is adopted or stopped. It may be stopped at any time, because only unrecorded idempotent work
// can become one.
static Allocation allocationOf(const OrphanTask &orphan, Instant now)
{
    const auto &task = orphan.m_task;
    return Allocation{
        .m_key = task.m_report.m_task.m_key,
        .m_attempt = task.m_report.m_task.m_attempt,
        .m_organisation = OrganisationId::create("unknown").value(),
        .m_jobClass = JobClassId::create("unknown").value(),
        .m_tier = Tier::Standard,
        .m_shape = Shape{.m_accelerators = 0, .m_adjacency = Adjacency::Nearest, .m_cores = task.m_cores, .m_memoryMb = task.m_memoryMb},
        .m_members = {GangMember{.m_worker = orphan.m_worker, .m_accelerators = task.m_accelerators, .m_cores = task.m_cores, .m_memoryMb = task.m_memoryMb}},
        .m_startedAt = now,
        .m_expectedRunTime = Duration(1000),
        .m_checkpointable = false,
        .m_restartable = true,
        .m_releasing = true,
    };
}

static QueuedJob queuedJobOf(const ZoneShard &shard, const Job &job)
{
    return QueuedJob{
        .m_key = job.m_request.m_key,
        .m_attempt = job.m_attempt + 1,
        .m_organisation = job.m_request.m_organisation,
        .m_jobClass = job.m_jobClass.m_id,
        .m_tier = job.m_jobClass.m_tier,
        .m_shape = job.m_jobClass.m_shape,
        .m_expectedRunTime = expectedRunTimeOf(shard, job),
        .m_checkpointable = job.m_jobClass.m_checkpointable,
        .m_restartable = job.m_jobClass.m_restartable,
        .m_submittedAt = job.m_request.m_submittedAt,
    };
}

static std::vector<Guarantee> guaranteesOf(const Configuration &configuration, const ZoneId &zone)
{
    std::vector<Guarantee> guarantees;
    for (const auto &guarantee : configuration.m_guarantees) {
        if (guarantee.m_zone == zone) {
            guarantees.push_back(guarantee);
        }
    }
    return guarantees;
}

ZoneState makeZoneState(const ZoneShard &shard, const ZoneId &zone, Instant now)
{
    std::vector<Allocation> allocations;
    std::vector<QueuedJob> queue;
    for (const auto &[key, job] : shard.m_jobs) {
        if (job->m_phase == JobPhase::Queued) {
            queue.push_back(queuedJobOf(shard, *job));
        } else if (occupiesWorkers(*job)) {
            const auto members = occupiedMembers(*job);
            if (!members.empty()) {
                allocations.push_back(allocationOf(shard, *job, members, now));
            }
        }
    }
    for (const auto &[task, orphan] : shard.m_orphans) {
        if (isLive(*orphan)) {
            allocations.push_back(allocationOf(*orphan, now));
        }
    }
    return ZoneState{
        .m_zone = zone,
        .m_workers = makeWorkerStates(shard, now),
        .m_allocations = allocations,
        .m_queue = queue,
        .m_guarantees = guaranteesOf(*shard.m_configuration, zone),
        .m_organisations = shard.m_configuration->m_organisations,
        .m_weights = shard.m_configuration->m_weights,
    };
}

double startsPerSecond(const ZoneShard &shard, Instant now)
{
    if (shard.m_recentStarts.empty()) {
        return 0.0;
    }
    const auto span = std::max(Duration(1000), now - shard.m_recentStarts.front());
    return static_cast<double>(shard.m_recentStarts.size()) / std::chrono::duration<double>(span).count();
}

std::map<OrganisationId, int> queuedByOrganisation(const ZoneShard &shard)
{
    std::map<OrganisationId, int> queued;
    for (const auto &[key, job] : shard.m_jobs) {
        const bool waits = job->m_phase == JobPhase::Queued || job->m_phase == JobPhase::Accepting;
        if (waits) {
            ++queued[job->m_request.m_organisation];
        }
    }
    return queued;
}

} // namespace PrimroseBridge
