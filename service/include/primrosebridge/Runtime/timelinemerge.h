#pragma once

#include "primrosebridge/Peers/peernetwork.h"
#include "primrosebridge/Runtime/node.h"

#include <string>
#include <vector>

namespace PrimroseBridge {

/// Merges the events of several processes into one timeline in this process's clock.
///
/// An event is never placed before the event that caused it, whatever the clocks say. Pure; thread-safe.
MergedTimeline mergeTimelines(const std::vector<ProcessEvents> &processes, const std::vector<std::string> &missing);

} // namespace PrimroseBridge
