#pragma once

#include "primrosebridge/Commands/run.h"

#include <optional>
#include <string>

namespace PrimroseBridge {

/// Polls the outcome of a request until it is final or the command's timeout expires, and returns the last response. Prints
/// progress to standard error. @p submitCall is sent first, and again whenever the servers no longer know the request,
/// because a request that is not durable is lost if the owner of its zone fails. Transient errors are retried; if no server
/// ever responds, throws the last of them.
std::string awaitOutcome(const Command &command, const Environment &environment, const std::string &key, const std::optional<ServerCall> &submitCall);

/// Maximum time for which a server is asked to hold a call; shorter than the usual idle timeouts of load balancers.
constexpr Duration maxLongPollTime = std::chrono::seconds(20);

} // namespace PrimroseBridge
