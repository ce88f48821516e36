#include "schedulercore.h"

#include <algorithm>
#include <bit>

namespace PrimroseBridge {

static int countPhase(const ZoneShard &shard, bool running)
{
    return static_cast<int>(std::count_if(shard.m_jobs.begin(), shard.m_jobs.end(), [running](const auto &entry) {
        return running ? occupiesWorkers(*entry.second) : entry.second->m_phase == JobPhase::Queued;
    }));
}

// Free accelerators of every worker in one walk over the jobs.
static std::map<WorkerId, AcceleratorSet> freeByWorker(const ZoneShard &shard)
{
    std::map<WorkerId, AcceleratorSet> free;
    for (const auto &[id, entry] : shard.m_workers) {
        free.emplace(id, freeAccelerators(shard, id));
    }
    return free;
}

std::optional<ZoneSummary> summarizeZone(SchedulerCore &core, const std::string &peerAddress)
{
    const std::lock_guard lock(core.m_shard.m_mutex);
    if (!core.m_shard.m_fence) {
        return std::nullopt;
    }
    int free = 0;
    for (const auto &[id, accelerators] : freeByWorker(core.m_shard)) {
        const auto &entry = core.m_shard.m_workers.at(id);
        free += entry.m_fenced && !entry.m_lost ? std::popcount(accelerators) : 0;
    }
    core.m_metrics.set(Gauge::FreeAccelerators, free);
    return ZoneSummary{
        .m_zone = core.m_settings.m_zone,
        .m_owner = core.m_settings.m_vm.text(),
        .m_ownerAddress = peerAddress,
        .m_fence = core.m_shard.m_fence->m_number,
        .m_sequence = ++core.m_shard.m_summarySequence,
        .m_freeAccelerators = free,
        .m_queued = countPhase(core.m_shard, false),
    };
}

static std::string statusText(const WorkerEntry &entry)
{
    if (entry.m_lost) {
        return "lost";
    }
    if (!entry.m_fenced || !entry.m_answering) {
        return "recovering";
    }
    return entry.m_leaving || entry.m_listedLeaving ? "leaving" : "live";
}

static int tasksOn(const ZoneShard &shard, const WorkerId &worker)
{
    int tasks = 0;
    for (const auto &[key, job] : shard.m_jobs) {
        for (const auto &member : job->m_members) {
            tasks += occupiesWorkers(*job) && member.m_member.m_worker == worker ? 1 : 0;
        }
    }
    return tasks;
}

ZoneReport reportZone(SchedulerCore &core)
{
    const auto now = TimerService::wallClockNow();
    const std::lock_guard lock(core.m_shard.m_mutex);
    std::vector<WorkerSummary> workers;
    const auto free = freeByWorker(core.m_shard);
    for (const auto &[id, entry] : core.m_shard.m_workers) {
        workers.push_back(WorkerSummary{
            .m_worker = *entry.m_worker,
            .m_status = statusText(entry),
            .m_ejected = entry.m_score && isEjected(*entry.m_score, now),
            .m_usable = entry.m_usable,
            .m_free = free.at(id),
            .m_tasks = tasksOn(core.m_shard, id),
        });
    }
    const auto &pass = core.m_shard.m_lastPass;
    return ZoneReport{
        .m_owned = core.m_shard.m_fence.has_value(),
        .m_fence = core.m_shard.m_fence ? core.m_shard.m_fence->m_number : 0,
        .m_workers = workers,
        .m_guarantees = pass ? pass->m_guarantees : std::vector<GuaranteeStatus>{},
        .m_fragmentation = pass ? pass->m_fragmentation : 0.0,
        .m_queued = countPhase(core.m_shard, false),
        .m_running = countPhase(core.m_shard, true),
    };
}

} // namespace PrimroseBridge
