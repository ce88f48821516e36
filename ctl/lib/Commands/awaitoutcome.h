#pragma once

#include "primrosebridge/Commands/run.h"

#include <optional>
#include <string>

namespace PrimroseBridge {

/// Asks for the outcome of a request until it is final or the time is up, and returns the last answer. Reports progress.
/// @p submitCall is sent first, and again whenever the servers no longer know the request: one that is not durable is
/// lost with the owner of its zone. Unreachable servers are asked again; throws the last error if none ever answered.
std::string awaitOutcome(const Command &command, const Environment &environment, const std::string &key, const std::optional<ServerCall> &submitCall);

/// Longest time for which a server is asked to hold a call. Stays below the idle timeouts that are common in load balancers.
constexpr Duration longestServerWait = std::chrono::seconds(20);

} // namespace PrimroseBridge
