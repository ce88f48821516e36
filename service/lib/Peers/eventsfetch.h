#pragma once

#include "peerstate.h"

#include <utility>
#include <vector>

namespace PrimroseBridge {

/// Asks every peer that may answer, in parallel, for its events, and names those that did not answer. Blocks for at most one second;
/// thread-safe.
std::pair<std::vector<ProcessEvents>, std::vector<std::string>> fetchEventsOfPeers(PeerState &state, Instant since, const std::string &key);

} // namespace PrimroseBridge
