#pragma once

#include "primrosebridge/Model/time.h"
#include "primrosebridge/Pipeline/shardedmap.h"

#include "primrosebridge/Wire/peer.grpc.pb.h"

#include <memory>
#include <set>
#include <string>

namespace PrimroseBridge {

/// A client connection to one peer.
struct PeerConnection {
    const std::string m_address;
    const std::shared_ptr<grpc::Channel> m_channel;
    const std::unique_ptr<primrosebridge::wire::PeerService::Stub> m_stub;
};

/// Connections by address. A connection is made when it is first used.
///
/// Thread-safe. A connection that was dropped from the cache stays usable for those who hold it.
class ConnectionCache
{
public:
    /// The connection to @p address. Precondition: checkAddress() accepts the address.
    std::shared_ptr<const PeerConnection> get(const std::string &address);
    /// Drops the connections to all other addresses, because replaced VMs leave their addresses behind.
    void retain(const std::set<std::string> &addresses);

private:
    ShardedMap<std::string, PeerConnection> m_connections;
};

/// Waits until the connection is up; false if connecting fails or takes longer than @p timeout. A call that starts before the connection is up
/// cannot tell whether the peer has seen it. Blocks; thread-safe.
bool waitConnected(const PeerConnection &connection, Duration timeout);

} // namespace PrimroseBridge
