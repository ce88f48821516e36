#include "configurationfetch.h"

#include "limits.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Peers/configurationholder.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Wire/error.h"

#include <grpcpp/client_context.h>

#include <algorithm>

namespace PrimroseBridge {

namespace wire = primrosebridge::wire;

Result<bool> fetchConfigurationFrom(PeerState &state, const std::string &address, std::int64_t atLeast)
{
    grpc::ClientContext context;
    const RegisteredCall registered(state.m_calls, context);
    if (!registered.accepted()) {
        return Error(ErrorKind::Unavailable, "this process is stopping", "ask another process");
    }
    context.set_deadline(std::chrono::system_clock::now() + fetchDeadline);
    wire::FetchConfigurationRequest request;
    request.set_at_least_version(atLeast);
    wire::FetchConfigurationReply reply;
    const auto status = state.m_connections.get(address)->m_stub->FetchConfiguration(&context, request, &reply);
    if (!status.ok()) {
        return errorOfRead(status, address);
    }
    if (reply.version() <= state.m_configuration.version()) {
        return false;
    }
    return state.m_configuration.offer(reply.document());
}

// A version that could not be fetched or read, and until when it is not tried again from any peer.
struct RefusedVersion {
    const std::int64_t m_version;
    const Instant m_until;
};

static bool isRefused(const std::optional<RefusedVersion> &refused, const Peer &peer)
{
    return refused && refused->m_version == peer.m_configurationVersion && TimerService::wallClockNow() < refused->m_until;
}

// Returns true if the document itself was refused.
static bool fetchAnnounced(PeerState &state, const Peer &peer)
{
    const auto fetched = fetchConfigurationFrom(state, peer.m_address, peer.m_configurationVersion);
    if (fetched.ok()) {
        return false;
    }
    logEvent(LogLevel::Warn, "configuration_fetch_failed", {{"peer", peer.m_vm.text()}, {"reason", fetched.error().what()}});
    const auto kind = fetched.error().kind();
    return kind == ErrorKind::InvalidArgument || kind == ErrorKind::TooLarge;
}

static void fetchAnnouncedVersions(PeerState &state)
{
    // Every heartbeat announces the version again; a large document that is refused must not be fetched every second.
    constexpr Duration refusedFor = std::chrono::seconds(10);
    std::optional<RefusedVersion> refused;
    while (const auto peer = state.m_fetches.pop()) {
        if (peer->m_configurationVersion <= state.m_configuration.version() || isRefused(refused, *peer)) {
            continue;
        }
        if (fetchAnnounced(state, *peer)) {
            refused.emplace(RefusedVersion{peer->m_configurationVersion, TimerService::wallClockNow() + refusedFor});
        }
    }
}

ConfigurationFetchStage::ConfigurationFetchStage(PeerState &state)
    : m_state(state)
    , m_thread([&state] { fetchAnnouncedVersions(state); })
{
}

ConfigurationFetchStage::~ConfigurationFetchStage()
{
    m_state.m_fetches.close();
    m_thread.join();
}

} // namespace PrimroseBridge
