#pragma once

#include "peerstate.h"

namespace PrimroseBridge {

/// Passes @p call to the owner at @p address. Unavailable: the owner has not seen the call. DeadlineExceeded: it may have taken it. Errors of
/// the owner keep their kind, remedy and retry time. Blocks for the call's wait and up to three seconds; thread-safe.
Result<ForwardAnswer> forwardTo(PeerState &state, const std::string &address, const ForwardCall &call);

} // namespace PrimroseBridge
