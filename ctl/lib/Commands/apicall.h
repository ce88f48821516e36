#pragma once

#include "primrosebridge/Commands/run.h"

#include <string>

namespace PrimroseBridge {

/// Returns the time left until --timeout or the command's default timeout expires; zero if it has expired.
Duration remainingTime(const Command &command, const Environment &environment);

/// Sends a call to the command's servers with failover and returns the response body. @p longPollTime is how long the server
/// may hold the call before it responds. Throws the transport's error, or the server's if the status is not 2xx.
std::string callApi(const Command &command, const Environment &environment, const ServerCall &call, Duration longPollTime = Duration(0));

/// Creates a GET call.
ServerCall makeGetCall(const std::string &path);

/// Prints a response body: indented if the output format is JSON, otherwise formatted with @p formatText.
void printResponse(const Command &command, const Environment &environment, const std::string &body, std::string (*formatText)(std::string_view));

} // namespace PrimroseBridge
