#include "testnode.h"

#include <fstream>
#include <iterator>
#include <map>
#include <thread>

namespace PrimroseBridge {

PeerSettings testSettings(const std::string &vm, const std::string &zone, std::int64_t incarnation)
{
    return PeerSettings{VmId::create(vm).value(), ZoneId::create(zone).value(), incarnation, "127.0.0.1:0"};
}

PeerCallbacks idleCallbacks()
{
    return PeerCallbacks{
        .m_answerForward = [](const ForwardCall &) -> Result<ForwardAnswer> { return Error(ErrorKind::Unavailable, "not the owner", "ask the owner"); },
        .m_localZones = [] { return std::vector<ZoneSummary>(); },
        .m_storeReachable = [] { return false; },
        .m_zonePeerReachesStore = [] {},
    };
}

TestNode::TestNode(const PeerSettings &settings, PeerCallbacks callbacks)
    : m_events(settings.m_vm.text(), 1000)
    , m_timers(TimerService::create().value())
    , m_created(PeerNetwork::create(settings, m_timers, m_configuration, m_events, std::move(callbacks)))
    , m_settings(settings)
{
}

void TestNode::knows(const TestNode &other) const
{
    network().addPeer(other.m_settings.m_vm, other.m_settings.m_zone, other.network().address());
}

ForwardCall testCall(ForwardKind kind, Duration wait)
{
    return ForwardCall{
        .m_kind = kind,
        .m_zone = ZoneId::create("Deventer").value(),
        .m_key = RequestKey::create("key").value(),
        .m_organisation = OrganisationId::create("org").value(),
        .m_wait = wait,
        .m_jobClass = "crack-scan",
        .m_payload = std::string("\xff\0payload", 9),
        .m_declaredRunTime = Duration(60000),
    };
}

static Configuration exampleConfiguration()
{
    std::ifstream file(PRIMROSEBRIDGE_EXAMPLES "/zwolle.json");
    const std::string document(std::istreambuf_iterator<char>(file), {});
    return std::get<Configuration>(readConfiguration(document));
}

const std::string &testDocument(std::int64_t version)
{
    static const Configuration example = exampleConfiguration();
    static std::map<std::int64_t, std::string> documents;
    auto &document = documents[version];
    if (document.empty()) {
        document = writeConfiguration(withVersion(example, version));
    }
    return document;
}

bool eventually(Duration timeout, const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(Duration(5));
    }
    return true;
}

PeerStatus statusAt(const TestNode &node, const std::string &vm)
{
    const auto view = node.network().view();
    const auto peer = view.m_peers.find(VmId::create(vm).value());
    return peer == view.m_peers.end() ? PeerStatus::Removed : peer->second.m_status;
}

} // namespace PrimroseBridge
