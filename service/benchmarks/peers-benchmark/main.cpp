// Measures what heartbeats cost and how fast a new configuration version reaches all processes.
//
// Usage: peers-benchmark DOCUMENT [N...]. Runs N peer networks over 7 zones in this process, 2, 4, 8 and 16 if no number is given; each N takes
// about 15 s. DOCUMENT is a valid configuration such as examples/zwolle.json.

#include "traffic.h"

#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Peers/peernetwork.h"
#include "primrosebridge/Pipeline/timerservice.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

using namespace PrimroseBridge;
using SteadyClock = std::chrono::steady_clock;

static constexpr int zoneCount = 7;
static constexpr Duration settleTime = std::chrono::seconds(4);
static constexpr Duration trafficTime = std::chrono::seconds(5);
static constexpr int changes = 30;

struct BenchmarkNode {
    BenchmarkNode(int number, const std::shared_ptr<TimerService> &timers);

    const VmId m_vm;
    const ZoneId m_zone;
    ConfigurationHolder m_configuration;
    EventLog m_events;
    std::atomic<std::int64_t> m_sequence = 0;
    std::unique_ptr<PeerNetwork> m_network;
};

// The first node of each zone is its owner, so that heartbeats carry as many summaries as in operation.
static std::vector<ZoneSummary> ownZone(BenchmarkNode &node, bool owner)
{
    if (!owner) {
        return {};
    }
    return {ZoneSummary{node.m_zone, node.m_vm.text(), "127.0.0.1:65535", 100'000, ++node.m_sequence, 80, 12}};
}

BenchmarkNode::BenchmarkNode(int number, const std::shared_ptr<TimerService> &timers)
    : m_vm(VmId::create("entry-vm-" + std::to_string(number)).value())
    , m_zone(ZoneId::create("zone-" + std::to_string(number % zoneCount)).value())
    , m_events(m_vm.text(), 1000)
{
    const bool owner = number < zoneCount;
    const PeerCallbacks callbacks{
        .m_answerForward = [](const ForwardCall &) -> Result<ForwardAnswer> { return Error(ErrorKind::Unavailable, "not measured", "none"); },
        .m_localZones = [this, owner] { return ownZone(*this, owner); },
        .m_storeReachable = [] { return true; },
        .m_zonePeerReachesStore = [] {},
    };
    const PeerSettings settings{m_vm, m_zone, toMilliseconds(TimerService::wallClockNow()), "127.0.0.1:0"};
    m_network = PeerNetwork::create(settings, timers, m_configuration, m_events, callbacks).take();
}

using Nodes = std::vector<std::unique_ptr<BenchmarkNode>>;

static Nodes startNodes(int count, const std::shared_ptr<TimerService> &timers)
{
    Nodes nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        nodes.push_back(std::make_unique<BenchmarkNode>(number, timers));
    }
    for (const auto &node : nodes) {
        for (const auto &other : nodes) {
            node->m_network->addPeer(other->m_vm, other->m_zone, other->m_network->address());
        }
    }
    return nodes;
}

static std::uint64_t heartbeatBytes(const Nodes &nodes)
{
    std::uint64_t bytes = 0;
    for (const auto &node : nodes) {
        bytes += node->m_network->heartbeatBytes();
    }
    return bytes;
}

struct TrafficResult {
    const double m_heartbeatBytes; ///< Messages only, per second and node.
    const double m_tcpBytes; ///< With HTTP/2 framing.
    const double m_wireBytes; ///< With the headers of TCP and IP.
    const double m_cores; ///< Processor time per second and node.
};

static TrafficResult measureHeartbeats(const Nodes &nodes)
{
    const auto start = SteadyClock::now();
    const auto bytes = heartbeatBytes(nodes);
    const auto traffic = measureTraffic();
    const auto processor = std::clock();
    std::this_thread::sleep_for(trafficTime);
    const double seconds = std::chrono::duration<double>(SteadyClock::now() - start).count() * static_cast<double>(nodes.size());
    const auto after = measureTraffic();
    const auto tcpBytes = static_cast<double>(after.m_bytes - traffic.m_bytes);
    constexpr double headerBytes = 52;
    return TrafficResult{
        .m_heartbeatBytes = static_cast<double>(heartbeatBytes(nodes) - bytes) / seconds,
        .m_tcpBytes = tcpBytes / seconds,
        .m_wireBytes = (tcpBytes + headerBytes * static_cast<double>(after.m_segments - traffic.m_segments)) / seconds,
        .m_cores = static_cast<double>(std::clock() - processor) / CLOCKS_PER_SEC / seconds,
    };
}

// Times at which each change has reached every node, in ms, sorted. A change that does not arrive within 10 s ends the program.
static std::vector<double> measureChanges(const Nodes &nodes, const Configuration &configuration)
{
    std::vector<double> times;
    for (int change = 0; change < changes; ++change) {
        const std::int64_t version = change + 1;
        const auto document = writeConfiguration(withVersion(configuration, version));
        const auto start = SteadyClock::now();
        const auto offered = nodes[static_cast<std::size_t>(change) % nodes.size()]->m_configuration.offer(document);
        const auto arrived = [version](const auto &node) { return node->m_configuration.version() >= version; };
        while (!std::all_of(nodes.begin(), nodes.end(), arrived)) {
            if (!offered.ok() || SteadyClock::now() - start > std::chrono::seconds(10)) {
                std::fprintf(stderr, "version %d has not reached every node\n", change + 1);
                std::exit(1);
            }
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        }
        times.push_back(std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count());
        // Spreads the changes over the phases of the heartbeat.
        std::this_thread::sleep_for(Duration(37 + 31 * (change % 5)));
    }
    std::sort(times.begin(), times.end());
    return times;
}

static double percentile(const std::vector<double> &sorted, double fraction)
{
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size()));
    return sorted[std::min(index, sorted.size() - 1)];
}

static void measure(int count, const Configuration &configuration)
{
    const auto timers = TimerService::create().value();
    const auto nodes = startNodes(count, timers);
    std::this_thread::sleep_for(settleTime);
    const auto traffic = measureHeartbeats(nodes);
    const auto times = measureChanges(nodes, configuration);
    std::printf("nodes=%d heartbeat_bytes_per_s=%.0f tcp_bytes_per_s=%.0f wire_bytes_per_s=%.0f cores_per_node=%.4f"
                " version_everywhere_p50_ms=%.1f p99_ms=%.1f max_ms=%.1f changes=%d resident_mb=%.1f threads=%llu\n",
                count,
                traffic.m_heartbeatBytes,
                traffic.m_tcpBytes,
                traffic.m_wireBytes,
                traffic.m_cores,
                percentile(times, 0.5),
                percentile(times, 0.99),
                times.back(),
                changes,
                static_cast<double>(residentBytes()) / (1024 * 1024),
                static_cast<unsigned long long>(threadCount()));
    std::fflush(stdout);
}

int main(int argc, char **argv)
{
    if (argc < 2) {
        std::fprintf(stderr, "usage: peers-benchmark DOCUMENT [N...]\n");
        return 2;
    }
    std::ifstream file(argv[1]);
    const std::string document(std::istreambuf_iterator<char>(file), {});
    const auto read = readConfiguration(document);
    const auto *configuration = std::get_if<Configuration>(&read);
    if (!configuration) {
        std::fprintf(stderr, "%s: %s\n", argv[1], describeFaults(std::get<std::vector<ConfigFault>>(read)).c_str());
        return 2;
    }
    startLogging("peers-benchmark", LogLevel::Error);
    std::vector<int> counts;
    for (int index = 2; index < argc; ++index) {
        counts.push_back(std::clamp(std::atoi(argv[index]), 2, 128));
    }
    for (const int count : counts.empty() ? std::vector<int>{2, 4, 8, 16} : counts) {
        measure(count, *configuration);
    }
    return 0;
}
