#pragma once

#include "primrosebridge/Fleetservice/fleetnode.h"
#include "primrosebridge/FrontEnd/http.h"

namespace PrimroseBridge {

/// Answers one call of a caller of the fleet: decode, authenticate, record or ask, answer. Never throws. Thread-safe.
HttpReply answerFleetCall(FleetNode &node, const HttpCall &call);

/// Answers the balancer's readiness check. Thread-safe.
HttpReply answerReadiness(const FleetNode &node);

} // namespace PrimroseBridge
