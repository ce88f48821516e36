#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/error.h"
#include "primrosebridge/Model/request.h"

namespace PrimroseBridge {

class Node;

/// Answers one HTTP call from a caller or an operator. Never throws; blocks for at most the `wait_ms` of the call plus 6 s. Thread-safe.
HttpReply answerCall(Node &node, const HttpCall &call);

/// Returns the HTTP reply for an error: the status follows the error kind, Retry-After is set if a retry can succeed, and the JSON body names
/// the remedy. Thread-safe.
HttpReply errorReply(const Error &error);

/// Returns the HTTP reply for an outcome, with status 200 if the outcome is final and 202 otherwise. Thread-safe.
HttpReply outcomeReply(const RequestKey &key, const Outcome &outcome);

/// Returns the SHA-256 of @p text as 64 lower-case hexadecimal digits. Thread-safe.
std::string sha256Hex(const std::string &text);

} // namespace PrimroseBridge
