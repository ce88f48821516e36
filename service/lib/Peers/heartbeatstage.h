#pragma once

#include "peerstate.h"

#include <memory>

namespace PrimroseBridge {

/// Sends heartbeats, all of a round in parallel, and takes in the answers. One thread sends, one receives.
///
/// Thread-safe.
class HeartbeatStage
{
public:
    /// Starts the threads; throws std::system_error if the system refuses them. Precondition: @p state outlives the stage.
    explicit HeartbeatStage(PeerState &state);
    /// Waits for the threads. Calls in progress end at their deadline, or at once if the registry of @p state has been cancelled.
    ~HeartbeatStage();
    HeartbeatStage(const HeartbeatStage &) = delete;
    HeartbeatStage &operator=(const HeartbeatStage &) = delete;

    /// Sends a round soon; requests that arrive before it starts are combined. Never blocks.
    void requestRound();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge
