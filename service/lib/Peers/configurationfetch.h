#pragma once

#include "peerstate.h"

#include <thread>

namespace PrimroseBridge {

/// Fetches the configuration of the peer at @p address and offers it; true if it was put in force. A document that is not newer than
/// @p atLeast - 1 is not sent by the peer. Blocks for at most two seconds; thread-safe.
Result<bool> fetchConfigurationFrom(PeerState &state, const std::string &address, std::int64_t atLeast);

/// Fetches newer configurations that heartbeats have announced, one at a time, on a thread of its own.
class ConfigurationFetchStage
{
public:
    /// Throws std::system_error if the system refuses a thread. Precondition: @p state outlives the stage.
    explicit ConfigurationFetchStage(PeerState &state);
    /// Waits for the thread.
    ~ConfigurationFetchStage();
    ConfigurationFetchStage(const ConfigurationFetchStage &) = delete;
    ConfigurationFetchStage &operator=(const ConfigurationFetchStage &) = delete;

private:
    PeerState &m_state;
    std::thread m_thread;
};

} // namespace PrimroseBridge
