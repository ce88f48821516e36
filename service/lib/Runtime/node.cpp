#include "primrosebridge/Runtime/node.h"

#include "nodecore.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Runtime/timelinemerge.h"

#include <algorithm>
#include <fstream>

#include <unistd.h>

namespace PrimroseBridge {

constexpr Duration storeTimeout = Duration(1000);
constexpr double storeWritesPerSecond = 40.0; // 8 VMs stay under several hundred writes a second.
constexpr double storeReadsPerSecond = 200.0; // 8 VMs stay under two thousand reads a second.
constexpr Duration maintenancePeriod = Duration(2000);
constexpr int roundsBeforeUnknownList = 2; // The first configuration comes from the store or a peer within 4 s.
constexpr Duration resignTimeout = Duration(3000);
constexpr Duration recordFlushTimeout = Duration(3000);

NodeCore::NodeCore(const ProcessSettings &settings, std::int64_t incarnation)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_events(settings.m_vm.text(), eventLogCapacity)
{
}

struct Node::Private {
    Private(const ProcessSettings &settings, std::int64_t incarnation)
        : m_core(settings, incarnation)
        , m_maintenanceDue(1)
    {
    }

    NodeCore m_core;
    BoundedQueue<Instant> m_maintenanceDue;
    std::unique_ptr<TimerSubscription> m_maintenanceTimer;
    std::thread m_maintenance;
};

static std::size_t residentBytes()
{
    // The second number of statm is the resident set in pages.
    std::ifstream statm("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    statm >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

static bool isWorker(const NodeCore &core, const std::string &name)
{
    const auto configuration = core.m_configuration.current();
    if (!configuration) {
        return false;
    }
    const auto &workers = configuration->m_configuration.m_workers;
    return std::any_of(workers.begin(), workers.end(), [&name](const Worker &worker) { return worker.m_id.text() == name; });
}

static void addListedPeer(NodeCore &core, const VmListEntry &entry)
{
    const auto vm = VmId::create(entry.m_vm);
    const auto zone = ZoneId::create(entry.m_zone);
    if (vm.ok() && zone.ok() && vm.value() != core.m_settings.m_vm && !entry.m_address.empty() && !entry.m_leaving) {
        core.m_peers->addPeer(vm.value(), zone.value(), entry.m_address);
    }
}

// The platform's list names the VMs of backend servers and entry VMs alike; a backend server goes by the name of its worker.
static void readVmList(NodeCore &core)
{
    const auto list = fetchVmList(core.m_settings.m_vmListHost, core.m_settings.m_vmListPort, storeTimeout);
    if (!list.ok()) {
        logEvent(LogLevel::Debug, "vm_list_unavailable", {{"error", list.error().what()}});
        return;
    }
    std::vector<std::string> leaving;
    for (const auto &entry : list.value()) {
        if (!isWorker(core, entry.m_vm)) {
            addListedPeer(core, entry);
        } else if (entry.m_leaving) {
            leaving.push_back(entry.m_vm);
        }
    }
    core.m_scheduler->setLeaving(leaving);
}

static void countStoreCalls(NodeCore &core)
{
    const auto calls = core.m_store->calls();
    core.m_metrics.raiseTo(Counter::StoreCalls, "read", static_cast<double>(calls.m_reads));
    core.m_metrics.raiseTo(Counter::StoreCalls, "write", static_cast<double>(calls.m_writes));
    core.m_metrics.raiseTo(Counter::StoreCalls, "failed", static_cast<double>(calls.m_failures));
}

static void setGauges(NodeCore &core)
{
    countStoreCalls(core);
    const auto view = core.m_peers->view();
    const auto alive = std::count_if(view.m_peers.begin(), view.m_peers.end(), [](const auto &peer) { return peer.second.m_status == PeerStatus::Alive; });
    core.m_metrics.set(Gauge::PeersAlive, static_cast<double>(alive));
    core.m_metrics.set(Gauge::ConfigurationVersion, static_cast<double>(core.m_configuration.version()));
    core.m_metrics.set(Gauge::StoreReachable, core.m_election->storeReachable() ? 1 : 0);
    core.m_metrics.set(Gauge::OwnsZone, core.m_election->state().m_fence ? 1 : 0);
    core.m_metrics.set(Gauge::ResidentMemoryBytes, static_cast<double>(residentBytes()));
    core.m_metrics.set(Gauge::HeartbeatBytes, static_cast<double>(core.m_peers->heartbeatBytes()));
}

// Without a configuration, the list does not tell entry VMs from backend servers, and every server would become a peer with a connection
// and heartbeats. It is used nevertheless by a VM that the store has not answered: a peer is then the only source of the configuration.
static bool shouldReadVmList(const NodeCore &core, int rounds)
{
    return core.m_configuration.current() || (rounds >= roundsBeforeUnknownList && !core.m_election->storeReachable());
}

static void maintain(NodeCore &core, BoundedQueue<Instant> &due)
{
    for (int rounds = 0; due.pop(); rounds = std::min(rounds + 1, roundsBeforeUnknownList)) {
        if (shouldReadVmList(core, rounds)) {
            readVmList(core);
        }
        setGauges(core);
    }
}

static std::vector<ZoneSummary> localZones(NodeCore &core)
{
    const auto summary = core.m_scheduler->summary(core.m_settings.m_peerAddress);
    return summary ? std::vector<ZoneSummary>{*summary} : std::vector<ZoneSummary>{};
}

static SchedulerCallbacks schedulerCallbacks(NodeCore &core)
{
    return SchedulerCallbacks{
        .m_storeReachable = [&core] { return core.m_election && core.m_election->storeReachable(); },
        .m_mayCommand = [&core](Instant now) { return core.m_election && mayCommandWorkers(core.m_election->state(), now); },
        .m_higherFence
        = [&core](std::int64_t fence) { core.m_election->notify(OwnershipEvent{.m_kind = OwnershipEventKind::WorkerSawHigherFence, .m_revision = fence}); },
        .m_fenceLost = [&core] { core.m_election->ownershipKeyChanged(); },
    };
}

static PeerCallbacks peerCallbacks(NodeCore &core)
{
    return PeerCallbacks{
        .m_answerForward = [&core](const ForwardCall &call) { return answerLocally(core, call); },
        .m_localZones = [&core] { return localZones(core); },
        .m_storeReachable = [&core] { return core.m_election->storeReachable(); },
        .m_zonePeerReachesStore = [&core] { core.m_election->notify(OwnershipEvent{.m_kind = OwnershipEventKind::PeerReachesStore}); },
    };
}

static StoreSettings storeSettings(const NodeCore &core)
{
    return StoreSettings{
        .m_host = core.m_settings.m_storeHost,
        .m_port = core.m_settings.m_storePort,
        .m_timeout = storeTimeout,
        .m_writesPerSecond = storeWritesPerSecond,
        .m_readsPerSecond = storeReadsPerSecond,
    };
}

static std::optional<Error> createScheduler(NodeCore &core)
{
    auto store = StoreClient::create(storeSettings(core));
    if (!store.ok()) {
        return store.error();
    }
    core.m_store = store.value();
    const SchedulerSettings settings{
        .m_vm = core.m_settings.m_vm,
        .m_zone = core.m_settings.m_zone,
        .m_incarnation = core.m_incarnation,
        .m_pass = defaultPassSettings(),
    };
    auto scheduler = ZoneScheduler::create(settings, core.m_store, core.m_timers, core.m_events, core.m_metrics, schedulerCallbacks(core));
    if (!scheduler.ok()) {
        return scheduler.error();
    }
    core.m_scheduler = scheduler.take();
    core.m_configuration.subscribe([&core](const VersionedConfiguration &configuration) {
        core.m_scheduler->applyConfiguration(configuration.m_configuration);
        const auto version = std::to_string(configuration.m_configuration.m_version);
        core.m_events.record(TimerService::wallClockNow(), "configuration_in_force", {}, EventReference{{}, 0}, formatFields({{"version", version}}));
        logEvent(LogLevel::Info, "configuration_in_force", {{"version", version}});
    });
    return std::nullopt;
}

static std::optional<Error> createElection(NodeCore &core)
{
    const ElectionSettings settings{
        .m_vm = core.m_settings.m_vm,
        .m_zone = core.m_settings.m_zone,
        .m_incarnation = core.m_incarnation,
        .m_peerAddress = core.m_settings.m_peerAddress,
    };
    const ElectionCallbacks callbacks{
        .m_started = [&core](Fence fence) { core.m_scheduler->startOwning(fence); },
        .m_stopped = [&core] { core.m_scheduler->stopOwning(); },
    };
    auto election = ZoneElection::create(settings, core.m_store, core.m_timers, core.m_events, callbacks);
    if (!election.ok()) {
        return election.error();
    }
    core.m_election = election.take();
    core.m_runningElection = core.m_election.get();
    return std::nullopt;
}

static std::optional<Error> createPeers(NodeCore &core)
{
    const PeerSettings settings{
        .m_vm = core.m_settings.m_vm,
        .m_zone = core.m_settings.m_zone,
        .m_incarnation = core.m_incarnation,
        .m_listenAddress = core.m_settings.m_peerAddress,
    };
    auto peers = PeerNetwork::create(settings, core.m_timers, core.m_configuration, core.m_events, peerCallbacks(core));
    if (!peers.ok()) {
        return peers.error();
    }
    core.m_peers = peers.take();
    for (const auto &peer : core.m_settings.m_peers) {
        const auto vm = VmId::create(peer.m_vm);
        const auto zone = ZoneId::create(peer.m_zone);
        if (vm.ok() && zone.ok()) {
            core.m_peers->addPeer(vm.value(), zone.value(), peer.m_address);
        }
    }
    return std::nullopt;
}

static std::optional<Error> createWatch(NodeCore &core)
{
    const auto ownerChanged = [&core](const ZoneId &zone) {
        if (zone == core.m_settings.m_zone) {
            core.m_election->ownershipKeyChanged();
        }
    };
    auto watch = ConfigurationWatch::create(storeSettings(core), core.m_store, core.m_timers, *core.m_peers, core.m_configuration, ownerChanged);
    if (!watch.ok()) {
        return watch.error();
    }
    core.m_watch = watch.take();
    return std::nullopt;
}

Result<std::unique_ptr<Node>> Node::create(const ProcessSettings &settings)
{
    auto state = std::make_unique<Private>(settings, toMilliseconds(TimerService::wallClockNow()));
    auto &core = state->m_core;
    auto timers = TimerService::create();
    if (!timers.ok()) {
        return timers.error();
    }
    core.m_timers = timers.value();
    for (const auto &createPart : {createScheduler, createElection, createPeers, createWatch}) {
        if (const auto error = createPart(core)) {
            return *error;
        }
    }
    auto &due = state->m_maintenanceDue;
    state->m_maintenance = std::thread([&core, &due] { maintain(core, due); });
    due.tryPush(TimerService::wallClockNow());
    state->m_maintenanceTimer = core.m_timers->subscribe(maintenancePeriod, [&due](Instant now) { due.tryPush(now); });
    return std::unique_ptr<Node>(new Node(std::move(state)));
}

Node::Node(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

Node::~Node()
{
    m_private->m_maintenanceTimer.reset();
    m_private->m_maintenanceDue.close();
    m_private->m_maintenance.join();
    // The peer server answers from the scheduler, and the scheduler's stages ask the election, so they end in this order. The election's
    // last callback still needs the scheduler itself.
    m_private->m_core.m_watch.reset();
    m_private->m_core.m_peers.reset();
    m_private->m_core.m_scheduler->shutDown();
    m_private->m_core.m_election.reset();
}

Result<Outcome> Node::submit(const RoutedSubmit &call, Duration wait)
{
    return routeSubmit(m_private->m_core, call, wait);
}

static Result<Outcome> outcomeOf(const Result<ForwardAnswer> &answer)
{
    if (!answer.ok()) {
        return answer.error();
    }
    return answer.value().m_outcome;
}

Result<Outcome> Node::get(const RequestKey &key, const OrganisationId &organisation, Duration wait)
{
    return outcomeOf(routeToKey(m_private->m_core, ForwardKind::Get, key, organisation, wait));
}

Result<Outcome> Node::cancel(const RequestKey &key, const OrganisationId &organisation, Duration wait)
{
    return outcomeOf(routeToKey(m_private->m_core, ForwardKind::Cancel, key, organisation, wait));
}

Result<std::string> Node::explain(const RequestKey &key, const OrganisationId &organisation)
{
    const auto answer = routeToKey(m_private->m_core, ForwardKind::Explain, key, organisation, Duration(0));
    if (!answer.ok()) {
        return answer.error();
    }
    return answer.value().m_explanation;
}

std::shared_ptr<const VersionedConfiguration> Node::configuration() const
{
    return m_private->m_core.m_configuration.current();
}

Result<std::int64_t> Node::publish(const std::string &document, std::int64_t expectedVersion)
{
    auto &core = m_private->m_core;
    const auto published = publishConfiguration(*core.m_store, document, expectedVersion);
    if (!published.ok()) {
        return published.error();
    }
    // The watch would bring it as well; offering it here lets this VM's next answer follow the new version.
    const auto offered = core.m_configuration.offer(published.value().m_document);
    if (!offered.ok()) {
        return offered.error();
    }
    return published.value().m_version;
}

Result<std::vector<StoredConfiguration>> Node::history()
{
    return readHistory(*m_private->m_core.m_store);
}

Result<StoredConfiguration> Node::historyVersion(std::int64_t version)
{
    return readHistoryVersion(*m_private->m_core.m_store, version);
}

ZoneReport Node::zoneReport()
{
    return m_private->m_core.m_scheduler->report();
}

MembershipView Node::membership() const
{
    return m_private->m_core.m_peers->view();
}

std::string Node::zoneOwner() const
{
    const auto owner = m_private->m_core.m_election->owner();
    return owner ? owner->m_vm : std::string();
}

MergedTimeline Node::timeline(Instant since, const std::string &key)
{
    auto &core = m_private->m_core;
    auto [processes, missing] = core.m_peers->fetchEvents(since, key);
    processes.push_back(ProcessEvents{
        .m_vm = core.m_settings.m_vm.text(),
        .m_clockOffset = Duration(0),
        .m_truncated = core.m_events.truncatedSince(since),
        .m_events = core.m_events.since(since, key),
    });
    return mergeTimelines(processes, missing);
}

std::string Node::metrics()
{
    setGauges(m_private->m_core);
    return m_private->m_core.m_metrics.serialize();
}

std::optional<std::string> Node::whyNotReady() const
{
    const auto &core = m_private->m_core;
    if (core.m_stopping) {
        return "stopping";
    }
    if (core.m_configuration.version() == 0) {
        return "no configuration yet: neither the store nor a peer has answered with one";
    }
    return std::nullopt;
}

void Node::announceStop()
{
    m_private->m_core.m_stopping = true;
    m_private->m_core.m_peers->announceStop();
}

void Node::handOver()
{
    auto &core = m_private->m_core;
    const auto until = std::chrono::steady_clock::now() + recordFlushTimeout;
    while (!core.m_scheduler->recordsWritten() && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(Duration(20));
    }
    core.m_election->resign(resignTimeout);
}

} // namespace PrimroseBridge
