#include "schedulercore.h"

#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <bit>

namespace PrimroseBridge {

constexpr Duration passPause = Duration(2); // Lets the arrivals of a burst gather into one pass.
constexpr Duration idlePassPeriod = Duration(1000); // Keeps the state of guarantees current while nothing waits.

static std::shared_ptr<const Job> queuedJob(const SchedulerCore &core, const RequestKey &key)
{
    const auto found = core.m_shard.m_jobs.find(key);
    const bool queued = found != core.m_shard.m_jobs.end() && found->second->m_phase == JobPhase::Queued;
    return queued ? found->second : nullptr;
}

// Empty if a worker has become unusable since the pass looked at it.
static std::vector<MemberStatus> memberStatuses(const SchedulerCore &core, const Placement &placement)
{
    std::vector<MemberStatus> members;
    for (const auto &member : placement.m_members) {
        const auto worker = core.m_shard.m_workers.find(member.m_worker);
        if (worker == core.m_shard.m_workers.end() || !worker->second.m_fenced || worker->second.m_lost || worker->second.m_leaving
            || worker->second.m_listedLeaving) {
            return {};
        }
        members.push_back(MemberStatus{
            .m_member = member,
            .m_incarnation = worker->second.m_incarnation,
            .m_state = MemberState::NotKnown,
            .m_heldAt = 0,
            .m_result = {},
        });
    }
    return members;
}

static std::string describeMembers(const std::vector<GangMember> &members)
{
    std::string text;
    for (const auto &member : members) {
        text += (text.empty() ? "" : ",") + member.m_worker.text() + ':' + std::to_string(std::popcount(member.m_accelerators));
    }
    return text;
}

static void applyPlacement(SchedulerCore &core, Outgoing &outgoing, const Placement &placement, Instant now)
{
    const auto job = queuedJob(core, placement.m_key);
    const auto members = memberStatuses(core, placement);
    if (!job || job->m_attempt + 1 != placement.m_attempt || members.empty()) {
        requestPass(core);
        return;
    }
    recordJobEvent(core,
                   placement.m_key,
                   "placed",
                   formatFields({{"attempt", std::to_string(placement.m_attempt)}, {"workers", describeMembers(placement.m_members)}}),
                   now);
    if (placement.m_attempt == 1) {
        auto &budget = core.m_shard.m_retryBudgets[job->m_jobClass.m_tier];
        budget = std::make_shared<const RetryBudget>(earnRetry(budget ? *budget : initialRetryBudget(now), now));
    }
    const JobEvent event{.m_kind = JobEventKind::Placed, .m_members = members, .m_fence = core.m_shard.m_fence->m_number};
    applyEvent(core, outgoing, AddressedEvent{.m_key = placement.m_key, .m_event = event}, now);
}

static void applyRelease(SchedulerCore &core, Outgoing &outgoing, const Release &release, Instant now)
{
    const auto found = core.m_shard.m_jobs.find(release.m_key);
    if (found == core.m_shard.m_jobs.end() || found->second->m_attempt != release.m_attempt || found->second->m_phase != JobPhase::Running) {
        return;
    }
    core.m_shard.m_releasedAt.insert_or_assign(release.m_key, now);
    recordJobEvent(core, release.m_key, "released", formatFields({{"reason", release.m_reason}}), now);
    const JobEvent event{.m_kind = JobEventKind::Release, .m_checkpoint = release.m_mode == ReleaseMode::Checkpoint};
    applyEvent(core, outgoing, AddressedEvent{.m_key = release.m_key, .m_event = event}, now);
}

static void keepExplanations(SchedulerCore &core, const PassResult &result, Instant now)
{
    for (const auto &explanation : result.m_explanations) {
        // The job may have ended while the pass ran.
        if (!core.m_shard.m_jobs.contains(explanation.m_key)) {
            continue;
        }
        auto &known = core.m_shard.m_explanations[explanation.m_key];
        if (!known || known->m_rule != explanation.m_rule) {
            core.m_metrics.increment(Counter::Decisions, decisionRuleName(explanation.m_rule));
            recordJobEvent(core,
                           explanation.m_key,
                           "decided",
                           formatFields({{"rule", std::string(decisionRuleName(explanation.m_rule))}, {"text", explanation.m_text}}),
                           now);
        }
        known = std::make_shared<const Explanation>(explanation);
    }
}

static void setGauges(SchedulerCore &core, const PassResult &result)
{
    int queued = 0;
    int running = 0;
    for (const auto &[key, job] : core.m_shard.m_jobs) {
        queued += job->m_phase == JobPhase::Queued ? 1 : 0;
        running += occupiesWorkers(*job) ? 1 : 0;
    }
    core.m_metrics.set(Gauge::QueuedJobs, queued);
    core.m_metrics.set(Gauge::RunningJobs, running);
    core.m_metrics.set(Gauge::Fragmentation, result.m_fragmentation);
}

static void applyPass(SchedulerCore &core, const ZoneState &state, const PassResult &result, Fence fence)
{
    Outgoing outgoing;
    const auto now = TimerService::wallClockNow();
    {
        const std::lock_guard lock(core.m_shard.m_mutex);
        if (!core.m_shard.m_fence || *core.m_shard.m_fence != fence) {
            return;
        }
        keepExplanations(core, result, now);
        for (const auto &placement : result.m_placements) {
            applyPlacement(core, outgoing, placement, now);
        }
        for (const auto &release : result.m_releases) {
            applyRelease(core, outgoing, release, now);
        }
        core.m_shard.m_lastPass = std::make_shared<const PassResult>(result);
        if (!state.m_queue.empty() || !result.m_placements.empty()) {
            setGauges(core, result);
        }
        flushWorkers(core, outgoing, now);
    }
    dispatch(core, outgoing);
}

static bool mayDecide(SchedulerCore &core)
{
    return core.m_shard.m_fence && !core.m_shard.m_recovering && core.m_shard.m_configuration && core.m_callbacks.m_mayCommand(TimerService::wallClockNow());
}

static bool anythingQueued(const ZoneShard &shard)
{
    return std::any_of(shard.m_jobs.begin(), shard.m_jobs.end(), [](const auto &entry) { return entry.second->m_phase == JobPhase::Queued; });
}

void runPasses(SchedulerCore &core)
{
    Instant lastPassAt;
    std::unique_lock lock(core.m_shard.m_mutex);
    while (!core.m_shard.m_stopping) {
        core.m_shard.m_passDue.wait(lock, [&core] { return core.m_shard.m_stopping || core.m_shard.m_dirty; });
        core.m_shard.m_dirty = false;
        if (core.m_shard.m_stopping || !mayDecide(core)) {
            continue;
        }
        const auto now = TimerService::wallClockNow();
        if (!anythingQueued(core.m_shard) && now - lastPassAt < idlePassPeriod) {
            continue;
        }
        lastPassAt = now;
        const auto fence = *core.m_shard.m_fence;
        const auto state = makeZoneState(core.m_shard, core.m_settings.m_zone, now);
        lock.unlock();
        const auto began = std::chrono::steady_clock::now();
        const auto result = runPass(state, core.m_settings.m_pass, now);
        core.m_metrics.observe(Histogram::PassSeconds, std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
        applyPass(core, state, result, fence);
        lock.lock();
        core.m_shard.m_passDue.wait_for(lock, passPause, [&core] { return core.m_shard.m_stopping; });
    }
}

} // namespace PrimroseBridge
