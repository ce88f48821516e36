#include "fleetsimulation.h"

#include "simulatedvm.h"

#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetwire/messages.h"
#include "primrosebridge/Progress/jobrecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace PrimroseBridge {

static constexpr Instant simulationStart = fromMilliseconds(1'700'000'000'000);
static constexpr std::int64_t faultsFromMs = 2'000;
static constexpr std::int64_t faultsUntilMs = 20'000;
static constexpr std::int64_t simulationMs = 30'000;
static constexpr int zoneCount = 3;
// The wall clocks of two VMs may differ by up to twice this.
static constexpr std::int64_t wallClockErrorMs = 200;
static constexpr double faultClassShare = 0.35;
// Share of the steps whose runs take longer than a task lease.
static constexpr double longRunShare = 0.4;
static constexpr double longRunShareWithRestarts = 0.8;

static std::string numbered(const char *name, std::int64_t number)
{
    return name + std::to_string(number);
}

static std::string encodeEntry(const WorkerReport &report)
{
    nlohmann::json json{
        {"service", report.m_pool},
        {"addr", report.m_address},
        {"zone", report.m_zone},
        {"state", report.m_draining ? "draining" : "ready"},
        {"machine", report.m_machine},
        {"capacity", {{"cpu", report.m_capacity.m_milliCores}, {"memMb", report.m_capacity.m_memoryMb}, {"gpu", report.m_capacity.m_accelerators}}},
        {"labels", {"a", report.m_rack}},
        {"born", report.m_incarnation.m_startedAtMs}};
    if (report.m_leavesIn) {
        json["remainingMs"] = report.m_leavesIn->count();
    }
    if (report.m_reportedAtClockMs) {
        json["clockMs"] = *report.m_reportedAtClockMs;
    }
    return json.dump();
}

namespace {

/// What a seed adds to the faults that each seed may have.
enum class SeedKind {
    Mixed, ///< Nothing.
    Takeovers, ///< Frequent takeovers, to which faults are tied that matter only during a takeover.
    Restarts, ///< Workers that restart and are cut off soon after, many late calls, and long runs.
};

constexpr std::uint64_t firstTakeoverSeed = 1'000'000;
constexpr std::uint64_t firstRestartSeed = 2'000'000;
constexpr std::uint64_t firstZoneDrainSeed = 3'000'000;

SeedKind kindOf(std::uint64_t seed)
{
    if (seed >= firstZoneDrainSeed) {
        return seed % 2 == 0 ? SeedKind::Mixed : SeedKind::Takeovers;
    }
    if (seed >= firstRestartSeed) {
        return SeedKind::Restarts;
    }
    return seed >= firstTakeoverSeed ? SeedKind::Takeovers : SeedKind::Mixed;
}

struct Queue {
    const char *m_name;
    int m_priority;
    int m_maxAttempts;
};

constexpr std::array<Queue, 3> queues{Queue{"urgent", 0, 4}, Queue{"normal", 1, 3}, Queue{"background", 2, 2}};

QueuePolicy policyOf(const Queue &queue)
{
    return QueuePolicy{.m_workerPool = "pool",
                       .m_priority = queue.m_priority,
                       .m_maxAttempts = queue.m_maxAttempts,
                       .m_slackFactor = 1.5,
                       .m_latencyGoal = Duration(300),
                       .m_needsPlacementAdvice = false};
}

FleetConfigurationPointer configuration()
{
    std::vector<QueueSettings> settings;
    settings.reserve(queues.size());
    for (const auto &queue : queues) {
        settings.push_back(QueueSettings{.m_name = queue.m_name,
                                         .m_host = "host",
                                         .m_pathPrefix = std::string("/") + queue.m_name + "/",
                                         .m_policy = policyOf(queue),
                                         .m_timeout = Duration(3000),
                                         .m_isPublic = true});
    }
    return std::make_shared<const FleetConfiguration>(
        FleetConfiguration{.m_version = 1,
                           .m_queues = std::move(settings),
                           .m_organisations = {OrganisationSettings{.m_name = "org", .m_apiKeys = {}, .m_guaranteedAccelerators = 16}},
                           .m_pools = {PoolSettings{.m_name = "pool", .m_enforcesCapacity = true, .m_standby = false}},
                           .m_maxBodyBytes = 1000});
}

/// What a seed decides before the first event.
struct Plan {
    std::vector<JobSpecPointer> m_jobs;
    std::map<std::string, int> m_maxAttempts;
};

JobStep drawStep(SimulationRandom &random, int number, SeedKind kind)
{
    const bool gang = random.chance(0.25);
    const bool longRunning = !gang && random.chance(0.15);
    const auto longShare = kind == SeedKind::Restarts ? longRunShareWithRestarts : longRunShare;
    const auto estimate = random.chance(longShare) ? random.duration(5'000, 20'000) : random.duration(100, 3'000);
    return JobStep{.m_taskCount = static_cast<int>(gang ? random.between(2, 4) : random.between(1, 3)),
                   .m_taskResources = Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = random.chance(0.5) ? 8 : random.between(1, 8)},
                   .m_estimate = estimate,
                   .m_after = number > 0 && random.chance(0.7) ? std::vector<int>{number - 1} : std::vector<int>(),
                   .m_gang = gang,
                   .m_sameRack = false,
                   .m_requiredLabel = {},
                   .m_dataRack = {},
                   .m_maxPerWorker = 0,
                   .m_speculative = false,
                   .m_checkpointing = false,
                   .m_longRunning = longRunning,
                   .m_image = {},
                   .m_tailLatencyTarget = Duration(0),
                   .m_filler = false,
                   .m_maxUnavailable = longRunning ? static_cast<int>(random.between(0, 1)) : 0};
}

Plan drawPlan(SimulationRandom &random, SeedKind kind)
{
    Plan plan;
    const auto count = random.between(3, 9);
    plan.m_jobs.reserve(static_cast<std::size_t>(count));
    for (std::int64_t number = 0; number < count; ++number) {
        const auto &queue = queues[static_cast<std::size_t>(random.between(0, 2))];
        const auto stepCount = random.chance(0.3) ? random.between(2, 3) : 1;
        std::vector<JobStep> steps;
        steps.reserve(static_cast<std::size_t>(stepCount));
        for (int step = 0; step < stepCount; ++step) {
            steps.push_back(drawStep(random, step, kind));
        }
        const auto acceptedAt = simulationStart + random.duration(500, 18'000);
        const auto name = numbered("job", number);
        const bool repeated = random.chance(0.15);
        plan.m_maxAttempts[name] = queue.m_maxAttempts;
        plan.m_jobs.push_back(std::make_shared<const JobSpec>(JobSpec{.m_id = name,
                                                                      .m_queue = queue.m_name,
                                                                      .m_acceptedPolicy = policyOf(queue),
                                                                      .m_organisation = random.chance(0.5) ? "org" : "",
                                                                      .m_acceptedAt = acceptedAt,
                                                                      .m_payload = "payload",
                                                                      .m_steps = std::move(steps),
                                                                      .m_schedule = JobSchedule{.m_count = repeated ? 5 : 0,
                                                                                                .m_firstDue = repeated ? acceptedAt + Duration(500) : Instant(),
                                                                                                .m_interval = Duration(repeated ? 2'500 : 0)}}));
    }
    return plan;
}

/// One simulated fleet.
class Fleet
{
public:
    Fleet(std::uint64_t seed, SimulationRandom &planRandom, bool tracing)
        : m_kind(kindOf(seed))
        , m_plan(drawPlan(planRandom, m_kind))
        , m_world(simulationStart, seed * 2, m_plan.m_jobs, tracing)
        , m_random(planRandom)
        , m_configuration(configuration())
        , m_drainRandom(~seed)
    {
        if (seed >= firstZoneDrainSeed) {
            // A stalled owner and a paused VM can exceed the shorter one.
            m_zoneDrainBound = m_drainRandom.chance(0.5) ? Duration(5'000) : Duration(2'000);
        }
    }

    FleetSimulationResult run();

private:
    struct Machine {
        std::string m_name;
        std::string m_zone;
        std::string m_rack;
    };
    struct Vm {
        NetworkNode m_node;
        double m_processorCores = 1.0;
        Duration m_bootClockOffset{0};
        Duration m_wallClockOffset{0};
        int m_starts = 0;
        std::unique_ptr<SimulatedVm> m_process;
    };

    Instant drawTime();
    [[nodiscard]] bool drawClass();
    void at(Instant time, std::function<void()> event);
    void trace(const std::string &text);
    void drawFaults();
    void drawCuts();
    void planVms();
    void planWorkers();
    void planVmFaults();
    void planWorkerFaults();
    void planJobs();
    void planTakeovers();
    void planRestartsBeforeCuts();
    void planZoneDrains();
    void drainZone(const std::string &zone);
    void endZoneDrain(const std::string &zone);
    /// Crashes the worker, and returns the time at which it is back under its identifier.
    Instant restartSoon(const std::string &worker);
    void cutOffWorker(const std::string &worker);
    void endOwnership();
    [[nodiscard]] std::optional<std::size_t> owner() const;
    void planStrayEntries();
    void startVm(std::size_t index);
    void killVm(std::size_t index);
    void startWorker(const Machine &machine, Duration entryDelay, const std::string &address);
    void crashWorker(const std::string &worker, Duration entryStays);
    /// Number of workers that run on the machine.
    [[nodiscard]] std::ptrdiff_t workersUpOn(const Machine &machine) const;
    void restartWorker(const std::string &worker, Duration entryDelay);
    void writeEntry(const std::string &worker);
    void removeEntry(const std::string &worker);
    std::string drawWorker();

    const SeedKind m_kind;
    const Plan m_plan;
    SimulatedWorld m_world;
    SimulationRandom &m_random;
    const FleetConfigurationPointer m_configuration;
    ThreadFaults m_threadFaults;
    std::vector<Vm> m_vms;
    std::vector<std::string> m_workers;
    std::map<std::string, Machine> m_machines; ///< By worker.
    std::set<std::string> m_withoutEntry; ///< Workers whose entry lapsed although they run.
    std::set<std::string> m_leaving; ///< Workers that drain and have removed their entry for good.
    SimulationRandom m_drainRandom; ///< Of its own, so that zone drains change no other choice of a seed.
    std::optional<Duration> m_zoneDrainBound; ///< Empty in seeds without zone drains.
    std::vector<ZoneDrainTime> m_zoneDrains; ///< Those in force have no end yet.
};

Instant Fleet::drawTime()
{
    return simulationStart + m_random.duration(faultsFromMs, faultsUntilMs);
}

// Each seed has only some classes of faults, so that rare combinations are not hidden by a fleet in which nothing works.
bool Fleet::drawClass()
{
    return m_random.chance(faultClassShare);
}

void Fleet::at(Instant time, std::function<void()> event)
{
    m_world.m_queue.add(time, std::move(event));
}

void Fleet::trace(const std::string &text)
{
    m_world.m_trace.add(text);
}

void Fleet::drawFaults()
{
    const auto rate = [this](std::int64_t permille) { return drawClass() ? static_cast<double>(m_random.between(1, permille)) / 1000.0 : 0.0; };
    auto &store = m_world.m_faults.m_store;
    store = CallFaults{.m_lostCall = rate(50), .m_lostAnswer = rate(80), .m_late = rate(40), .m_refused = rate(60), .m_slow = rate(300)};
    auto &workers = m_world.m_faults.m_workers;
    workers = CallFaults{.m_lostCall = rate(80), .m_lostAnswer = rate(120), .m_late = rate(200), .m_refused = rate(80), .m_slow = rate(300)};
    workers.m_usualMs = m_random.chance(0.5) ? 1 : 8;
    m_world.m_faults.m_watchDelayed = rate(400);
    m_threadFaults = ThreadFaults{.m_lateThread = rate(60), .m_latestMs = m_random.chance(0.5) ? 30 : 500, .m_stall = rate(6), .m_longestStallMs = 2'500};
}

void Fleet::drawCuts()
{
    const auto add = [this](const std::string &first, const std::string &second, std::int64_t longestMs) {
        const auto from = drawTime();
        m_world.m_faults.m_cuts.push_back(NetworkCut{
            .m_from = from, .m_until = from + m_random.duration(300, longestMs), .m_first = first, .m_second = second, .m_oneWay = m_random.chance(0.25)});
    };
    const auto drawVm = [this] { return m_vms[static_cast<std::size_t>(m_random.between(0, static_cast<std::int64_t>(m_vms.size()) - 1))].m_node.m_name; };
    if (drawClass()) {
        for (auto count = m_random.between(1, 6); count > 0; --count) {
            add(drawVm(), drawWorker(), 8'000);
        }
    }
    if (drawClass()) {
        for (auto count = m_random.between(1, 3); count > 0; --count) {
            add(drawVm(), "store", 6'000);
        }
    }
    if (drawClass()) {
        for (auto count = m_random.between(1, 2); count > 0; --count) {
            add(numbered("zone-", m_random.between(0, zoneCount - 1)), {}, 8'000);
            // The entries of the workers lapse, as they cannot renew them.
            const auto cut = m_world.m_faults.m_cuts.back();
            for (const auto &worker : m_workers) {
                if (m_world.m_workerZones[worker] == cut.m_first && cut.m_until - cut.m_from > Duration(2'000)) {
                    at(cut.m_from + m_random.duration(500, 2'000), [this, worker] {
                        m_withoutEntry.insert(worker);
                        removeEntry(worker);
                    });
                    at(cut.m_until + m_random.duration(10, 800), [this, worker] {
                        m_withoutEntry.erase(worker);
                        writeEntry(worker);
                    });
                }
            }
        }
    }
    if (drawClass()) {
        const auto from = drawTime();
        auto &times = m_random.chance(0.5) ? m_world.m_faults.m_storeOutages : m_world.m_faults.m_storeRefusals;
        times.emplace_back(from, from + m_random.duration(300, 5'000));
    }
    if (drawClass()) {
        for (auto count = m_random.between(1, 3); count > 0; --count) {
            at(drawTime(), [this] {
                trace("store forgets its history");
                m_world.m_store.forgetHistory();
            });
        }
    }
}

void Fleet::startVm(std::size_t index)
{
    auto &vm = m_vms[index];
    if (vm.m_process) {
        return;
    }
    ++vm.m_starts;
    vm.m_process = std::make_unique<SimulatedVm>(m_world,
                                                 vm.m_node,
                                                 vm.m_processorCores,
                                                 std::to_string(vm.m_starts),
                                                 vm.m_bootClockOffset,
                                                 vm.m_wallClockOffset,
                                                 m_configuration,
                                                 m_threadFaults,
                                                 m_zoneDrainBound);
}

void Fleet::killVm(std::size_t index)
{
    m_vms[index].m_process.reset();
}

void Fleet::planVms()
{
    const auto count = m_random.between(3, 4);
    for (std::int64_t index = 0; index < count; ++index) {
        m_vms.push_back(Vm{.m_node = NetworkNode{.m_name = numbered("vm-", index), .m_zone = numbered("zone-", index % zoneCount)},
                           .m_processorCores = m_random.chance(0.5) ? 1.0 : 2.0,
                           .m_bootClockOffset = Duration(1'000'003 * (index + 1)),
                           .m_wallClockOffset = m_random.duration(-wallClockErrorMs, wallClockErrorMs),
                           .m_starts = 0,
                           .m_process = nullptr});
        at(simulationStart + m_random.duration(0, 300), [this, index] { startVm(static_cast<std::size_t>(index)); });
    }
}

void Fleet::planVmFaults()
{
    const auto last = static_cast<std::int64_t>(m_vms.size()) - 1;
    // Faults of the owner matter most.
    const auto drawVm = [this, last]() -> std::size_t {
        if (m_random.chance(0.6)) {
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                if (m_vms[index].m_process && m_vms[index].m_process->ownsFleet()) {
                    return index;
                }
            }
        }
        return static_cast<std::size_t>(m_random.between(0, last));
    };
    const auto kill = [this, drawVm] {
        const auto index = drawVm();
        killVm(index);
        at(m_world.m_queue.now() + m_random.duration(100, 4'000), [this, index] { startVm(index); });
    };
    if (drawClass()) {
        for (auto count = m_random.between(1, 3); count > 0; --count) {
            at(drawTime(), kill);
        }
    }
    if (drawClass()) {
        for (auto count = m_random.between(1, 4); count > 0; --count) {
            at(drawTime(), [this, drawVm] {
                const auto index = drawVm();
                if (m_vms[index].m_process) {
                    m_vms[index].m_process->pause(m_random.duration(100, m_random.chance(0.3) ? 9'000 : 2'500));
                }
            });
        }
    }
    if (drawClass()) {
        for (auto count = m_random.between(1, 2); count > 0; --count) {
            at(drawTime(), [this, drawVm] {
                const auto index = drawVm();
                if (!m_vms[index].m_process) {
                    return;
                }
                m_vms[index].m_process->handOver();
                at(m_world.m_queue.now() + m_random.duration(50, 2'000), [this, index] {
                    killVm(index);
                    at(m_world.m_queue.now() + m_random.duration(100, 2'000), [this, index] { startVm(index); });
                });
            });
        }
    }
}

std::optional<std::size_t> Fleet::owner() const
{
    for (std::size_t index = 0; index < m_vms.size(); ++index) {
        if (m_vms[index].m_process && m_vms[index].m_process->ownsFleet()) {
            return index;
        }
    }
    return std::nullopt;
}

void Fleet::endOwnership()
{
    const auto index = owner();
    if (!index) {
        return;
    }
    auto &vm = m_vms[*index];
    const auto now = m_world.m_queue.now();
    const auto cutFromStore = [this, now, &vm] {
        m_world.m_faults.m_cuts.push_back(
            NetworkCut{.m_from = now, .m_until = now + m_random.duration(1'050, 2'000), .m_first = vm.m_node.m_name, .m_second = "store", .m_oneWay = false});
    };
    if (m_random.chance(0.5)) { // A worker restarts during the takeover.
        const auto worker = drawWorker();
        at(now + m_random.duration(0, 1'500), [this, worker] {
            crashWorker(worker, m_random.duration(0, 3'000));
            at(m_world.m_queue.now() + m_random.duration(1, 800), [this, worker] { restartWorker(worker, m_random.duration(0, 2'000)); });
        });
    }
    switch (m_random.between(0, 4)) {
    case 4: // A planned stop, as in a rolling restart.
        vm.m_process->handOver();
        at(now + m_random.duration(50, 1'000), [this, index = *index] {
            killVm(index);
            at(m_world.m_queue.now() + m_random.duration(100, 1'000), [this, index] { startVm(index); });
        });
        return;
    case 0:
        killVm(*index);
        at(now + m_random.duration(100, 1'500), [this, index = *index] { startVm(index); });
        return;
    case 1:
        vm.m_process->pause(m_random.duration(1'050, 3'000));
        return;
    case 2:
        cutFromStore();
        return;
    default:
        // Another VM owns the fleet for a short time, and this one may own it again with a backlog of events of its former term.
        vm.m_process->stallOwner(m_random.duration(2'000, 5'000));
        cutFromStore();
        at(now + m_random.duration(1'300, 2'200), [this, former = *index] {
            for (std::size_t other = 0; other < m_vms.size(); ++other) {
                if (other == former || !m_vms[other].m_process) {
                    continue;
                }
                m_vms[other].m_process->handOver();
                at(m_world.m_queue.now() + m_random.duration(300, 1'500), [this, other] { killVm(other); });
                at(m_world.m_queue.now() + m_random.duration(1'600, 2'500), [this, other] { startVm(other); });
            }
        });
        return;
    }
}

void Fleet::planTakeovers()
{
    m_world.m_faults.m_closeRaces = true;
    if (m_random.chance(0.5)) {
        m_world.m_faults.m_workers.m_usualMs = 0;
        m_world.m_faults.m_store.m_usualMs = 1;
    }
    if (m_random.chance(0.5)) {
        m_world.m_faults.m_workers.m_late = 0.15;
    }
    auto time = simulationStart + Duration(faultsFromMs);
    const auto longestPauseMs = m_random.between(1'500, 6'000);
    while (time < simulationStart + Duration(faultsUntilMs)) {
        at(time, [this] { endOwnership(); });
        time += m_random.duration(700, longestPauseMs);
    }
}

void Fleet::writeEntry(const std::string &worker)
{
    if (m_world.m_workers.isUp(worker) && !m_withoutEntry.contains(worker) && !m_leaving.contains(worker)) {
        m_world.checkWorkers();
        trace("entry of " + worker + " is written");
        m_world.m_store.put(std::string(workerPrefix) + worker, encodeEntry(*m_world.m_workers.entry(worker)));
    }
}

void Fleet::removeEntry(const std::string &worker)
{
    const auto key = std::string(workerPrefix) + worker;
    if (m_world.m_store.get(key)) {
        trace("entry of " + worker + " is removed");
        m_world.m_store.remove(key);
    }
}

void Fleet::startWorker(const Machine &machine, Duration entryDelay, const std::string &address)
{
    const auto name = numbered("w", static_cast<std::int64_t>(m_workers.size()));
    const auto now = m_world.m_queue.now();
    SimulatedWorkerSettings settings;
    settings.m_identifier = name;
    settings.m_machine = machine.m_name;
    settings.m_zone = machine.m_zone;
    settings.m_rack = machine.m_rack;
    settings.m_address = address;
    settings.m_stopTime = m_random.duration(20, 900);
    settings.m_clockRate = m_random.chance(0.5) ? 1.0 : 0.98;
    m_workers.push_back(name);
    m_machines[name] = machine;
    m_world.m_workerZones[name] = machine.m_zone;
    ++m_world.m_workerStarts[name];
    trace("worker " + name + " starts on " + machine.m_name);
    m_world.m_workers.startWorker(settings, toMilliseconds(now), now);
    at(now + entryDelay, [this, name] { writeEntry(name); });
}

void Fleet::crashWorker(const std::string &worker, Duration entryStays)
{
    if (!m_world.m_workers.isUp(worker)) {
        return;
    }
    trace("worker " + worker + " crashes");
    ++m_world.m_workerStarts[worker];
    m_world.m_workers.crashWorker(worker, m_world.m_queue.now());
    m_world.checkWorkers();
    at(m_world.m_queue.now() + entryStays, [this, worker] {
        if (!m_world.m_workers.isUp(worker)) {
            removeEntry(worker);
        }
    });
}

std::ptrdiff_t Fleet::workersUpOn(const Machine &machine) const
{
    return std::count_if(
        m_machines.begin(), m_machines.end(), [&](const auto &entry) { return entry.second.m_name == machine.m_name && m_world.m_workers.isUp(entry.first); });
}

void Fleet::restartWorker(const std::string &worker, Duration entryDelay)
{
    if (workersUpOn(m_machines[worker]) > 0) {
        return; // The worker is up, or a successor runs on its machine.
    }
    const auto now = m_world.m_queue.now();
    trace("worker " + worker + " restarts");
    ++m_world.m_workerStarts[worker];
    m_leaving.erase(worker);
    m_world.m_workers.restartWorker(worker, toMilliseconds(now), now);
    at(now + entryDelay, [this, worker] { writeEntry(worker); });
}

std::string Fleet::drawWorker()
{
    return m_workers[static_cast<std::size_t>(m_random.between(0, static_cast<std::int64_t>(m_workers.size()) - 1))];
}

void Fleet::planWorkers()
{
    const auto count = m_random.between(3, 7);
    for (std::int64_t index = 0; index < count; ++index) {
        startWorker(Machine{.m_name = numbered("m", index), .m_zone = numbered("zone-", index % zoneCount), .m_rack = numbered("r", index % 2)},
                    m_random.duration(0, 300),
                    {});
    }
}

void Fleet::planWorkerFaults()
{
    const auto drawEntryDelay = [this] { return m_random.chance(0.5) ? m_random.duration(0, 50) : m_random.duration(50, 1'500); };
    if (drawClass()) { // Entries that lapse and return.
        for (auto count = m_random.between(1, 4); count > 0; --count) {
            at(drawTime(), [this] {
                const auto worker = drawWorker();
                removeEntry(worker);
                m_withoutEntry.insert(worker);
                at(m_world.m_queue.now() + m_random.duration(50, 6'000), [this, worker] {
                    m_withoutEntry.erase(worker);
                    writeEntry(worker);
                });
            });
        }
    }
    if (drawClass()) { // Draining, with a long time after the entry is gone.
        for (auto count = m_random.between(1, 2); count > 0; --count) {
            at(drawTime(), [this] {
                const auto worker = drawWorker();
                if (!m_world.m_workers.isUp(worker)) {
                    return;
                }
                const auto announced = m_random.duration(1'000, 5'000);
                trace("worker " + worker + " drains");
                m_world.m_workers.drainWorker(worker, announced, m_world.m_queue.now());
                writeEntry(worker);
                const auto leaves = announced + m_random.duration(0, 8'000);
                const auto starts = m_world.m_workerStarts[worker];
                at(m_world.m_queue.now() + m_random.duration(100, leaves.count()), [this, worker, starts] {
                    if (m_world.m_workerStarts[worker] == starts) {
                        m_leaving.insert(worker);
                        removeEntry(worker);
                    }
                });
                at(m_world.m_queue.now() + leaves, [this, worker] { crashWorker(worker, Duration(0)); });
            });
        }
    }
    if (drawClass()) { // A crash and a restart under the same identifier.
        for (auto count = m_random.between(1, 5); count > 0; --count) {
            at(drawTime(), [this, drawEntryDelay] {
                const auto worker = drawWorker();
                crashWorker(worker, m_random.duration(0, 3'000));
                at(m_world.m_queue.now() + m_random.duration(1, 3'000), [this, worker, drawEntryDelay] { restartWorker(worker, drawEntryDelay()); });
            });
        }
    }
    if (drawClass()) { // A crash, and another worker on the same machine, which may have the address.
        for (auto count = m_random.between(1, 2); count > 0; --count) {
            at(drawTime(), [this, drawEntryDelay] {
                const auto worker = drawWorker();
                const auto address = m_random.chance(0.5) ? m_world.m_workers.entry(worker)->m_address : std::string();
                crashWorker(worker, m_random.duration(0, 3'000));
                at(m_world.m_queue.now() + m_random.duration(1, 2'000), [this, worker, address, drawEntryDelay] {
                    if (workersUpOn(m_machines[worker]) == 0) {
                        startWorker(m_machines[worker], drawEntryDelay(), address);
                    }
                });
            });
        }
    }
    if (drawClass()) { // Another worker on the machine of one that drains and still runs.
        at(drawTime(), [this, drawEntryDelay] {
            const auto worker = drawWorker();
            if (!m_world.m_workers.isUp(worker) || workersUpOn(m_machines[worker]) > 1) {
                return;
            }
            // A machine runs one worker at a time, except that one that drains may go on beside its successor.
            trace("worker " + worker + " drains");
            m_world.m_workers.drainWorker(worker, m_random.duration(1'000, 5'000), m_world.m_queue.now());
            writeEntry(worker);
            startWorker(m_machines[worker], drawEntryDelay(), {});
            at(m_world.m_queue.now() + m_random.duration(0, 8'000), [this, worker] { crashWorker(worker, m_random.duration(0, 3'000)); });
        });
    }
}

Instant Fleet::restartSoon(const std::string &worker)
{
    const auto entryDelay = m_random.chance(0.5) ? m_random.duration(0, 50) : m_random.duration(50, 1'500);
    const auto backAt = m_world.m_queue.now() + m_random.duration(300, 1'000);
    crashWorker(worker, m_random.duration(0, 3'000));
    at(backAt, [this, worker, entryDelay] { restartWorker(worker, entryDelay); });
    return backAt;
}

void Fleet::cutOffWorker(const std::string &worker)
{
    const auto now = m_world.m_queue.now();
    const auto until = now + m_random.duration(500, 10'000);
    for (const auto &vm : m_vms) {
        m_world.m_faults.m_cuts.push_back(NetworkCut{.m_from = now, .m_until = until, .m_first = vm.m_node.m_name, .m_second = worker, .m_oneWay = false});
    }
    trace("worker " + worker + " is cut off until " + std::to_string(toMilliseconds(until) % 1'000'000));
    if (m_random.chance(0.3)) {
        at(now + m_random.duration(100, (until - now).count()), [this, worker] { restartSoon(worker); });
    }
    if (m_random.chance(0.3)) { // The worker cannot renew its entry either.
        at(now + m_random.duration(500, 2'000), [this, worker] {
            m_withoutEntry.insert(worker);
            removeEntry(worker);
        });
        at(std::max(until, now + Duration(2'000)) + m_random.duration(10, 800), [this, worker] {
            m_withoutEntry.erase(worker);
            writeEntry(worker);
        });
    }
}

// A call to the former process of a worker is executed late by the next one, which cannot be asked about it during the cut.
void Fleet::planRestartsBeforeCuts()
{
    m_world.m_faults.m_workers.m_late = static_cast<double>(m_random.between(20, 400)) / 1000.0;
    for (auto count = m_random.between(3, 8); count > 0; --count) {
        at(drawTime(), [this] {
            const auto worker = drawWorker();
            const auto backAt = restartSoon(worker);
            at(backAt + m_random.duration(1'000, 4'000), [this, worker] { cutOffWorker(worker); });
        });
    }
}

void Fleet::drainZone(const std::string &zone)
{
    const bool drained
        = std::any_of(m_zoneDrains.begin(), m_zoneDrains.end(), [&](const auto &drain) { return drain.m_zone == zone && drain.m_until == Instant::max(); });
    m_world.m_store.put(std::string(zoneDrainPrefix) + zone, m_drainRandom.chance(0.8) ? "{}" : "{unreadable");
    if (!drained) {
        trace("drains " + zone);
        m_zoneDrains.push_back(ZoneDrainTime{.m_zone = zone, .m_from = m_world.m_queue.now(), .m_until = Instant::max()});
    }
}

void Fleet::endZoneDrain(const std::string &zone)
{
    trace("ends the drain of " + zone);
    m_world.m_store.remove(std::string(zoneDrainPrefix) + zone);
    for (auto &drain : m_zoneDrains) {
        if (drain.m_zone == zone) {
            drain.m_until = std::min(drain.m_until, m_world.m_queue.now());
        }
    }
}

// Some drains overlap, and some end before they are due.
void Fleet::planZoneDrains()
{
    for (auto count = m_drainRandom.between(2, 5); count > 0; --count) {
        const auto zone = numbered("zone-", m_drainRandom.between(0, zoneCount - 1));
        auto from = simulationStart + m_drainRandom.duration(0, 15'000);
        if (m_drainRandom.chance(0.7)) {
            // The owner checks the drains just before the request, and sends the start of a new job when the request has been due for a while.
            const auto &job = m_plan.m_jobs[static_cast<std::size_t>(m_drainRandom.between(0, static_cast<std::int64_t>(m_plan.m_jobs.size()) - 1))];
            from = job->m_acceptedAt + m_drainRandom.duration(0, 300);
            at(job->m_acceptedAt, [this] {
                if (const auto index = owner()) {
                    m_vms[*index].m_process->stallSending(m_drainRandom.duration(1'500, 2'900));
                }
            });
        }
        at(from, [this, zone] { drainZone(zone); });
        at(from + m_drainRandom.duration(500, 14'000), [this, zone] { endZoneDrain(zone); });
    }
}

void Fleet::planStrayEntries()
{
    if (!drawClass()) {
        return;
    }
    for (auto count = m_random.between(1, 3); count > 0; --count) {
        at(drawTime(), [this] {
            const auto kind = m_random.between(0, 3);
            const auto key = std::string(workerPrefix) + numbered("stray", kind);
            if (kind == 0) {
                m_world.m_store.put(key, R"({"state":"ready"})");
            } else if (kind == 1) {
                m_world.m_store.put(key, R"({"service":"unknown","addr":"10.9.9.9:1","zone":"zone-9","state":"ready","capacity":{"gpu":8}})");
            } else {
                // A copy of a worker's entry under another key, or without its start time.
                const auto worker = drawWorker();
                const auto entry = m_world.m_store.get(std::string(workerPrefix) + worker);
                if (entry) {
                    auto json = nlohmann::json::parse(entry->m_value);
                    json.erase(kind == 2 ? "born" : "machine");
                    m_world.m_store.put(key, json.dump());
                }
            }
        });
    }
}

void Fleet::planJobs()
{
    for (const auto &job : m_plan.m_jobs) {
        for (std::size_t step = 0; step < job->m_steps.size(); ++step) {
            for (int index = 0; index < job->m_steps[step].m_taskCount; ++index) {
                if (m_random.chance(0.06)) {
                    m_world.m_workers.setRunResult(TaskReference{.m_job = job->m_id, .m_occurrence = 0, .m_step = static_cast<int>(step), .m_index = index},
                                                   m_random.duration(50, 1'500),
                                                   RunEndKind::Failed);
                }
            }
        }
        at(job->m_acceptedAt, [this, job] {
            trace("submitted " + job->m_id);
            m_world.m_store.put(submissionKey(job->m_id), encodeSubmission(*job));
        });
        if (m_random.chance(0.15)) {
            at(job->m_acceptedAt + m_random.duration(50, 8'000), [this, job] {
                trace("cancelled " + job->m_id);
                m_world.m_store.put(cancellationKey(job->m_id), "{}");
            });
        }
    }
}

FleetSimulationResult Fleet::run()
{
    planVms();
    planWorkers();
    drawFaults();
    drawCuts();
    planVmFaults();
    planWorkerFaults();
    planStrayEntries();
    planJobs();
    if (m_kind == SeedKind::Takeovers) {
        planTakeovers();
    } else if (m_kind == SeedKind::Restarts) {
        planRestartsBeforeCuts();
    }
    if (m_zoneDrainBound) {
        planZoneDrains();
    }
    const auto end = simulationStart + Duration(simulationMs);
    m_world.m_queue.runUntil(end);
    m_world.checkWorkers();
    FleetSimulationResult result;
    result.m_violations = findViolations(m_world.m_workers.history(), m_plan.m_jobs, m_plan.m_maxAttempts, end);
    if (m_zoneDrainBound) {
        for (auto &violation : findStartsInDrainedZones(m_world.m_workers.history(), m_world.m_workerZones, m_zoneDrains, *m_zoneDrainBound)) {
            result.m_violations.push_back(std::move(violation));
        }
    }
    result.m_runs = m_world.m_workers.history().size();
    if (!m_world.m_workers.history().empty()) {
        result.m_lastRunStart = m_world.m_workers.history().back().m_startedAt;
    }
    if (m_world.m_trace.enabled()) {
        for (const auto &cut : m_world.m_faults.m_cuts) {
            trace("cut " + cut.m_first + " " + cut.m_second + " from " + std::to_string(toMilliseconds(cut.m_from) % 1'000'000) + " until "
                  + std::to_string(toMilliseconds(cut.m_until) % 1'000'000) + (cut.m_oneWay ? " one way" : ""));
        }
        result.m_trace = m_world.m_trace.lines();
    }
    return result;
}

} // namespace

FleetSimulationResult simulateFleet(std::uint64_t seed, bool tracing)
{
    SimulationRandom planRandom(seed * 2 + 1);
    Fleet fleet(seed, planRandom, tracing);
    return fleet.run();
}

} // namespace PrimroseBridge
