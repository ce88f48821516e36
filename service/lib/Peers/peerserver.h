#pragma once

#include "peerstate.h"

#include <memory>
#include <string>

namespace PrimroseBridge {

/// The gRPC server of the peer network, with a bounded number of threads.
class PeerServer
{
public:
    /// Binds @p listenAddress; port 0 chooses a free port. Unavailable if it cannot be bound.
    static Result<std::shared_ptr<PeerServer>> create(const std::string &listenAddress);
    /// Ends calls in progress after at most one second, but waits for a m_answerForward callback that has not returned.
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// The address with the port that was bound.
    [[nodiscard]] const std::string &address() const;
    /// Calls are answered from now on; before, they are refused as Unavailable. Call once.
    void serve(PeerState &state);

private:
    struct Private;
    explicit PeerServer(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
