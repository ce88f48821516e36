#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

class Node;

/// Answers the calls of operators: configuration, fleet, timeline and log level. Thread-safe.
HttpReply answerOperatorCall(Node &node, const Configuration &configuration, const HttpCall &call);

/// Publishes the first configuration. The call must carry the operator's token that the document itself names, and the store must not
/// hold a configuration yet. Thread-safe.
HttpReply publishFirstConfiguration(Node &node, const HttpCall &call);

} // namespace PrimroseBridge
