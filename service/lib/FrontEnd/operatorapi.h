#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

class Node;

/// Answers an operator call under `/v1`: configuration, fleet, timeline or log level. Checks the operator token first. Thread-safe.
HttpReply answerOperatorCall(Node &node, const Configuration &configuration, const HttpCall &call);

/// Publishes a configuration on a VM that has none yet. The call must carry the operator token whose digest is in the new document, because there
/// is no configuration in force to check the token against. Answers with Conflict if If-Match is not the version in the store, which is 0 if the
/// store has no configuration. Thread-safe.
HttpReply publishFirstConfiguration(Node &node, const HttpCall &call);

} // namespace PrimroseBridge
