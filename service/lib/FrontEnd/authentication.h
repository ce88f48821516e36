#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <string>

namespace PrimroseBridge {

/// Who sends a call: an organisation's client or an operator. Thread-safe.
Result<OrganisationId> authenticateCaller(const Configuration &configuration, const HttpCall &call);

/// Empty if the call carries the operator's token. Thread-safe.
std::optional<Error> checkOperatorToken(const Configuration &configuration, const HttpCall &call);

/// The query parameter `wait_ms`, 0 to 30,000; 0 if it is absent. Thread-safe.
Result<Duration> parseLongPollTime(const HttpCall &call);

} // namespace PrimroseBridge
