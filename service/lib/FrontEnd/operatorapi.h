#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/error.h"

#include <optional>

namespace PrimroseBridge {

class Node;

/// Answers an operator call under `/v1`: configuration, fleet, timeline or log level. Checks the operator token first. Thread-safe.
HttpReply answerOperatorCall(Node &node, const Configuration &configuration, const HttpCall &call);

/// Checks a call that publishes a configuration on a VM that has none yet. The VM can check the operator token only against the document of the
/// call, which anyone can write. So the call may publish the first configuration of the deployment, but not replace one: fails with Unavailable
/// if If-Match names a version other than 0, and with Unauthenticated or PermissionDenied if the token is not that of the document. Thread-safe.
std::optional<Error> checkFirstPublication(const Configuration &document, const HttpCall &call);

/// Publishes the first configuration of a deployment, see checkFirstPublication(). Answers with Conflict if the store already holds one.
/// Thread-safe.
HttpReply publishFirstConfiguration(Node &node, const HttpCall &call);

} // namespace PrimroseBridge
