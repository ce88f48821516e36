#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/configuration.h"

namespace PrimroseBridge {

class Node;

/// Answers the calls of operators: configuration, fleet, timeline and log level. Thread-safe.
HttpReply operatorCall(Node &node, const Configuration &configuration, const HttpCall &call);

} // namespace PrimroseBridge
