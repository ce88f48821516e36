#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/error.h"
#include "primrosebridge/Model/request.h"

namespace PrimroseBridge {

class Node;

/// Answers one call of the HTTP interface of callers and operators. Never throws; blocks for at most the call's wait and 6 s. Thread-safe.
HttpReply answerCall(Node &node, const HttpCall &call);

/// The error as a reply: status by kind, Retry-After if a retry can succeed, and a JSON body that names the remedy. Thread-safe.
HttpReply errorReply(const Error &error);

/// The outcome as a reply: 200 if final, 202 while it is pending or unknown. Thread-safe.
HttpReply outcomeReply(const RequestKey &key, const Outcome &outcome);

/// Lower-case hexadecimal SHA-256 of @p text. Thread-safe.
std::string sha256Hex(const std::string &text);

} // namespace PrimroseBridge
