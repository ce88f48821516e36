#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Model/result.h"
#include "primrosebridge/Model/time.h"

#include <string>

namespace PrimroseBridge {

/// Returns the organisation whose token the call carries. Returns Unauthenticated if the token is missing or unknown. Thread-safe.
Result<OrganisationId> authenticateCaller(const Configuration &configuration, const HttpCall &call);

/// Checks that the call carries the operator token. Returns Unauthenticated if the call has no token, PermissionDenied if the token is a
/// different one, and nothing if the check succeeds. Thread-safe.
std::optional<Error> checkOperatorToken(const Configuration &configuration, const HttpCall &call);

/// Reads the query parameter `wait_ms`, the time in milliseconds for which the call may wait for a final outcome. Returns 0 if the parameter
/// is absent, and InvalidArgument if it is not a whole number from 0 to 30,000. Thread-safe.
Result<Duration> parseLongPollTime(const HttpCall &call);

} // namespace PrimroseBridge
