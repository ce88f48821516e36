#pragma once

#include "primrosebridge/Fleetservice/fleetnode.h"
#include "primrosebridge/FrontEnd/http.h"

namespace PrimroseBridge {

/// Handles one HTTP call of a caller: decodes and authenticates it, then stores the request or reads the requested state.
///
/// Never throws. Thread-safe.
HttpReply answerFleetCall(FleetNode &node, const HttpCall &call);

/// Handles one HTTP call to the metrics address: a placement preview, or the metrics page for any other path. Never throws. Thread-safe.
HttpReply answerMetricsCall(FleetNode &node, const HttpCall &call);

/// Handles the load balancer's readiness check. Thread-safe.
HttpReply answerReadiness(const FleetNode &node);

} // namespace PrimroseBridge
