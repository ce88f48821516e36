#include "replay.h"

#include "primrosebridge/Placement/fit.h"
#include "primrosebridge/Policy/estimate.h"
#include "primrosebridge/Policy/workerscore.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <set>

namespace PrimroseBridge {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

/// Time until a checkpoint or a stop has freed its resources, and the time that resuming a checkpoint adds to a run.
constexpr Duration checkpointTime = seconds(20);
constexpr Duration stopTime = seconds(2);
constexpr Duration resumeTime = seconds(10);
/// A pass runs when something has changed, at most once in this time; and after idlePeriod if nothing has.
constexpr Duration passPeriod = seconds(1);
constexpr Duration idlePeriod = minutes(1);

/// A job while it waits or runs.
struct JobProgress {
    const Arrival *m_arrival;
    Duration m_remaining;
    int m_attempt = 1;
    std::vector<GangMember> m_members = {}; ///< Empty while it waits.
    Instant m_startedAt = {};
    Instant m_endsAt = {};
    bool m_releasing = false;
    bool m_checkpoint = false;
    bool m_fails = false;
    bool m_started = false;
    Instant m_reclaimSince = {};
};

struct Replay {
    const Workload &m_workload;
    const PassFunction m_pass;
    const bool m_scores;
    Instant m_now;
    std::map<std::string, JobProgress> m_waiting;
    std::map<std::string, JobProgress> m_running;
    std::map<std::string, std::shared_ptr<const RunTimeEstimate>> m_estimates;
    std::vector<std::shared_ptr<const WorkerScore>> m_workerScores;
    std::vector<AcceleratorSet> m_usable;
    std::vector<BackendServerStatus> m_status;
    ReplayResult m_result;
    double m_usedTime = 0;
    double m_offeredTime = 0;
    double m_fragmentedTime = 0;
    double m_unavoidableTime = 0;
    double m_freeTime = 0;
};

static RunTimeEstimate estimateOf(const Replay &replay, const JobClass &jobClass)
{
    const auto found = replay.m_estimates.find(jobClass.m_id.text());
    return found == replay.m_estimates.end() ? initialEstimate() : *found->second;
}

static std::vector<WorkerState> workerStates(const Replay &replay)
{
    std::vector<WorkerState> workers;
    for (std::size_t i = 0; i < replay.m_workload.m_workers.size(); ++i) {
        const bool ejected = replay.m_scores && isEjected(*replay.m_workerScores[i], replay.m_now);
        workers.push_back({replay.m_workload.m_workers[i], replay.m_status[i], replay.m_usable[i], ejected});
    }
    return workers;
}

static ZoneState stateOf(const Replay &replay)
{
    std::vector<Allocation> allocations;
    for (const auto &[key, job] : replay.m_running) {
        const auto &arrival = *job.m_arrival;
        const auto &jobClass = arrival.m_class;
        allocations.push_back({arrival.m_key,
                               job.m_attempt,
                               arrival.m_organisation,
                               jobClass.m_id,
                               jobClass.m_tier,
                               arrival.m_shape,
                               job.m_members,
                               job.m_startedAt,
                               expectedRunTime(estimateOf(replay, jobClass), jobClass, arrival.m_declared),
                               jobClass.m_checkpointable,
                               jobClass.m_restartable,
                               job.m_releasing});
    }
    std::vector<QueuedJob> queue;
    for (const auto &[key, job] : replay.m_waiting) {
        const auto &arrival = *job.m_arrival;
        const auto &jobClass = arrival.m_class;
        queue.push_back({arrival.m_key,
                         job.m_attempt,
                         arrival.m_organisation,
                         jobClass.m_id,
                         jobClass.m_tier,
                         arrival.m_shape,
                         expectedRunTime(estimateOf(replay, jobClass), jobClass, arrival.m_declared),
                         jobClass.m_checkpointable,
                         jobClass.m_restartable,
                         arrival.m_at});
    }
    const auto &workload = replay.m_workload;
    return {ZoneId::create("zone").value(),
            workerStates(replay),
            std::move(allocations),
            std::move(queue),
            workload.m_guarantees,
            workload.m_organisations,
            workload.m_weights};
}

static double secondsBetween(Instant from, Instant to)
{
    return static_cast<double>((to - from).count()) / 1000;
}

static int workerIndex(const Replay &replay, const WorkerId &id)
{
    const auto &workers = replay.m_workload.m_workers;
    return static_cast<int>(std::find_if(workers.begin(), workers.end(), [&id](const Worker &one) { return one.m_id == id; }) - workers.begin());
}

static bool runsOnFailingWorker(const Replay &replay, const std::vector<GangMember> &members)
{
    const auto &failing = replay.m_workload.m_failingWorkers;
    return std::any_of(members.begin(), members.end(), [&](const GangMember &member) {
        return std::find(failing.begin(), failing.end(), workerIndex(replay, member.m_worker)) != failing.end();
    });
}

static void start(Replay &replay, const Placement &placement, int largest)
{
    auto node = replay.m_waiting.extract(placement.m_key.text());
    JobProgress &job = node.mapped();
    if (!job.m_started && job.m_arrival->m_shape.m_accelerators == largest) {
        replay.m_result.m_largestWaits.push_back(secondsBetween(job.m_arrival->m_at, replay.m_now));
    }
    if (job.m_reclaimSince != Instant()) {
        replay.m_result.m_reclaims.push_back(secondsBetween(job.m_reclaimSince, replay.m_now));
    }
    job.m_reclaimSince = Instant();
    job.m_started = true;
    // Members cannot be assigned, so the whole list is exchanged.
    std::vector<GangMember>(placement.m_members).swap(job.m_members);
    job.m_startedAt = replay.m_now;
    job.m_fails = runsOnFailingWorker(replay, job.m_members);
    job.m_endsAt = replay.m_now + (job.m_fails ? Duration(seconds(1)) : job.m_remaining);
    replay.m_running.insert(std::move(node));
}

static void release(Replay &replay, const Release &one)
{
    JobProgress &job = replay.m_running.at(one.m_key.text());
    job.m_releasing = true;
    job.m_checkpoint = one.m_mode == ReleaseMode::Checkpoint;
    const Instant freed = replay.m_now + (job.m_checkpoint ? checkpointTime : stopTime);
    if (job.m_endsAt <= freed) {
        return;
    }
    if (job.m_checkpoint) {
        job.m_remaining = job.m_endsAt - replay.m_now + resumeTime;
    }
    job.m_endsAt = freed;
    job.m_fails = true;
    ++replay.m_result.m_releases;
}

/// A claim lapses when older work of the same organisation, for example work that was moved, takes the guarantee instead.
static void noteReclaims(Replay &replay, const PassResult &result)
{
    for (const auto &explanation : result.m_explanations) {
        JobProgress &job = replay.m_waiting.at(explanation.m_key.text());
        const bool waits = explanation.m_rule == DecisionRule::WaitsForReclaim && explanation.m_text.find("guarantee") != std::string::npos;
        const bool claimed = job.m_reclaimSince != Instant();
        if (waits && !claimed) {
            job.m_reclaimSince = replay.m_now;
        }
        if (!waits && claimed && explanation.m_rule != DecisionRule::PlacedReclaim) {
            job.m_reclaimSince = Instant();
            ++replay.m_result.m_lapsed;
        }
    }
}

static void runOnePass(Replay &replay, int largest)
{
    const PassResult result = replay.m_pass(stateOf(replay), defaultPassSettings(), replay.m_now);
    ++replay.m_result.m_passes;
    noteReclaims(replay, result);
    for (const auto &placement : result.m_placements) {
        start(replay, placement, largest);
    }
    for (const auto &one : result.m_releases) {
        release(replay, one);
    }
}

static void observe(Replay &replay, const JobProgress &job, bool succeeded)
{
    for (const auto &member : job.m_members) {
        const int worker = workerIndex(replay, member.m_worker);
        const bool blamed = succeeded || runsOnFailingWorker(replay, {member});
        const auto next = observeTask(*replay.m_workerScores[worker], succeeded || !blamed, replay.m_now - job.m_startedAt, replay.m_now);
        replay.m_workerScores[worker] = std::make_shared<const WorkerScore>(next);
    }
}

static void endJob(Replay &replay, const std::string &key)
{
    auto node = replay.m_running.extract(key);
    JobProgress &job = node.mapped();
    const auto &jobClass = job.m_arrival->m_class;
    if (job.m_fails) {
        if (!job.m_releasing) {
            observe(replay, job, false);
        }
        ++job.m_attempt;
        job.m_members.clear();
        job.m_releasing = false;
        replay.m_waiting.insert(std::move(node));
        return;
    }
    observe(replay, job, true);
    const auto estimate = observeRunTime(estimateOf(replay, jobClass), job.m_arrival->m_declared, job.m_arrival->m_actual);
    replay.m_estimates[jobClass.m_id.text()] = std::make_shared<const RunTimeEstimate>(estimate);
    replay.m_result.m_completion[jobClass.m_id.text()].push_back(secondsBetween(job.m_arrival->m_at, replay.m_now));
}

static bool endJobs(Replay &replay)
{
    std::vector<std::string> ended;
    for (const auto &[key, job] : replay.m_running) {
        if (job.m_endsAt <= replay.m_now) {
            ended.push_back(key);
        }
    }
    for (const auto &key : ended) {
        endJob(replay, key);
    }
    return !ended.empty();
}

static Capacity freeCapacity(const Replay &replay, const FleetIndex &fleet)
{
    std::vector<Slots> occupied;
    for (const auto &[key, job] : replay.m_running) {
        occupied.push_back(slotsOf(fleet, job.m_members));
    }
    return withoutAll(usableCapacity(workerStates(replay)), occupied);
}

/// Adds the time until @p next to the means.
static void account(Replay &replay, const FleetIndex &fleet, Instant next)
{
    if (replay.m_now >= replay.m_workload.m_end) {
        return;
    }
    const double elapsed = secondsBetween(replay.m_now, std::min(next, replay.m_workload.m_end));
    const Capacity free = freeCapacity(replay, fleet);
    const int usable = countAccelerators(usableCapacity(workerStates(replay)));
    const int unused = countAccelerators(free);
    replay.m_usedTime += elapsed * (usable - unused);
    replay.m_offeredTime += elapsed * usable;
    const Shape &shape = replay.m_workload.m_guarantees.front().m_shape;
    if (unused >= shape.m_accelerators) {
        const int fits = countFits(fleet, free, shape, unused / shape.m_accelerators);
        replay.m_fragmentedTime += elapsed * (1 - static_cast<double>(fits) * shape.m_accelerators / unused);
        replay.m_unavoidableTime += elapsed * (unused % shape.m_accelerators) / unused;
        replay.m_freeTime += elapsed;
    }
}

static Instant nextEvent(const Replay &replay, std::size_t arrival, std::size_t change)
{
    Instant next = replay.m_now + idlePeriod;
    if (arrival < replay.m_workload.m_arrivals.size()) {
        next = std::min(next, replay.m_workload.m_arrivals[arrival].m_at);
    }
    if (change < replay.m_workload.m_changes.size()) {
        next = std::min(next, replay.m_workload.m_changes[change].m_at);
    }
    for (const auto &[key, job] : replay.m_running) {
        next = std::min(next, job.m_endsAt);
    }
    return std::max(next, replay.m_now + passPeriod);
}

static int largestShape(const Workload &workload)
{
    int largest = 0;
    for (const auto &arrival : workload.m_arrivals) {
        largest = std::max(largest, arrival.m_shape.m_accelerators);
    }
    return largest;
}

static void takeArrivals(Replay &replay, std::size_t &arrival)
{
    const auto &arrivals = replay.m_workload.m_arrivals;
    for (; arrival < arrivals.size() && arrivals[arrival].m_at <= replay.m_now; ++arrival) {
        replay.m_waiting.emplace(arrivals[arrival].m_key.text(), JobProgress{&arrivals[arrival], arrivals[arrival].m_actual});
    }
}

static void takeChanges(Replay &replay, std::size_t &change)
{
    const auto &changes = replay.m_workload.m_changes;
    for (; change < changes.size() && changes[change].m_at <= replay.m_now; ++change) {
        replay.m_usable[changes[change].m_worker] = changes[change].m_usable;
        replay.m_status[changes[change].m_worker] = changes[change].m_status;
    }
}

ReplayResult replay(const Workload &workload, PassFunction pass, bool scores)
{
    const std::size_t workers = workload.m_workers.size();
    Replay state{workload, pass, scores, workload.m_start, {}, {}, {}, {}, {}, {}, {}};
    state.m_workerScores.assign(workers, std::make_shared<const WorkerScore>(initialScore()));
    state.m_usable.assign(workers, 0xff);
    state.m_status.assign(workers, BackendServerStatus::Live);
    const FleetIndex fleet = indexFleet(workerStates(state));
    const int largest = largestShape(workload);
    std::size_t arrival = 0;
    std::size_t change = 0;
    while (state.m_now < workload.m_end + hours(24)) {
        takeArrivals(state, arrival);
        takeChanges(state, change);
        endJobs(state);
        if (arrival == workload.m_arrivals.size() && state.m_waiting.empty() && state.m_running.empty()) {
            break;
        }
        runOnePass(state, largest);
        const Instant next = nextEvent(state, arrival, change);
        account(state, fleet, next);
        state.m_now = next;
    }
    state.m_result.m_unfinished = static_cast<int>(state.m_waiting.size() + state.m_running.size());
    state.m_result.m_utilisation = state.m_usedTime / std::max(1.0, state.m_offeredTime);
    state.m_result.m_fragmentation = state.m_fragmentedTime / std::max(1.0, state.m_freeTime);
    state.m_result.m_unavoidable = state.m_unavoidableTime / std::max(1.0, state.m_freeTime);
    return state.m_result;
}

} // namespace PrimroseBridge
