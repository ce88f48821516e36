#pragma once

#include "primrosebridge/Commands/run.h"

#include <string>

namespace PrimroseBridge {

/// Time that is left of --timeout, or of the command's default.
Duration remainingTime(const Command &command, const Environment &environment);

/// Sends a call to the first server that answers and returns the body. @p longPollTime is the time that the server may
/// hold the call. Throws the server's error or the transport's.
std::string callApi(const Command &command, const Environment &environment, const ServerCall &call, Duration longPollTime = Duration(0));

/// A call that only reads.
ServerCall makeGetCall(const std::string &path);

/// Prints the body as JSON or, for people, the given text.
void printResponse(const Command &command, const Environment &environment, const std::string &body, std::string (*format)(std::string_view));

} // namespace PrimroseBridge
