#include "connectioncache.h"

#include "limits.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace PrimroseBridge {

static grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    // The first value is also the time allowed for connecting; its default of 20 s would hide a restarted peer.
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    // A retry inside the library could run a request twice; whether to retry is decided by the caller.
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    // Bandwidth probes cost more than the heartbeats, and every message fits the initial window or is rare.
    arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    // Several networks in one process, as in tests, must not share connections.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    return arguments;
}

static std::shared_ptr<const PeerConnection> connectionTo(const std::string &address)
{
    const std::string scheme = address.front() == '[' ? "ipv6:" : "ipv4:";
    auto channel = grpc::CreateCustomChannel(scheme + address, grpc::InsecureChannelCredentials(), channelArguments());
    auto stub = primrosebridge::wire::PeerService::NewStub(channel);
    return std::shared_ptr<const PeerConnection>(new PeerConnection{address, std::move(channel), std::move(stub)});
}

std::shared_ptr<const PeerConnection> ConnectionCache::get(const std::string &address)
{
    auto known = m_connections.find(address);
    return known ? known : m_connections.insert(address, connectionTo(address)).first;
}

void ConnectionCache::retain(const std::set<std::string> &addresses)
{
    for (const auto &connection : m_connections.values()) {
        if (addresses.count(connection->m_address) == 0) {
            m_connections.update(connection->m_address, [](const auto &) { return nullptr; });
        }
    }
}

bool waitConnected(const PeerConnection &connection, Duration timeout)
{
    const auto deadline = std::chrono::system_clock::now() + timeout;
    const bool connect = true;
    auto state = connection.m_channel->GetState(connect);
    while (state == GRPC_CHANNEL_IDLE || state == GRPC_CHANNEL_CONNECTING) {
        if (!connection.m_channel->WaitForStateChange(state, deadline)) {
            return false;
        }
        state = connection.m_channel->GetState(connect);
    }
    return state == GRPC_CHANNEL_READY;
}

} // namespace PrimroseBridge
