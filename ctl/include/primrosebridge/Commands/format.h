#pragma once

#include "primrosebridge/Model/error.h"
#include "primrosebridge/Model/request.h"

#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Rows as text with aligned columns; the first row is the heading. Control characters are replaced. Thread-safe.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

/// Any JSON value as `name: value` lines; members of inner objects and lists are indented. Throws Error(Internal) if the
/// text is not JSON. Thread-safe.
std::string formatKeyValues(std::string_view json);

/// The JSON text with indentation. Throws Error(Internal) if the text is not JSON. Thread-safe.
std::string formatJson(std::string_view json);

/// The answer to `GET /v1/fleet` as tables. Throws Error(Internal) if it is not understood. Thread-safe.
std::string formatFleet(std::string_view json);

/// The answer to `GET /v1/timeline` as a table in the server's order, which places causes first. Throws Error(Internal) if it is not understood. Thread-safe.
std::string formatTimeline(std::string_view json);

/// The events of a timeline that are not older than @p oldest and belong to @p requestKey or caused such an event; an
/// empty key keeps all. The order stays. Throws Error(Internal) if the timeline is not understood. Thread-safe.
std::string filterTimeline(std::string_view json, const std::string &requestKey, Instant oldest);

/// The answer to `GET /v1/configuration/history` as a table. Throws Error(Internal) if it is not understood. Thread-safe.
std::string formatConfigurationHistory(std::string_view json);

/// The outcome in an answer to submit, get or cancel. Throws Error(Internal) if it is not understood. Thread-safe.
OutcomeKind parseOutcome(std::string_view json);

/// The error in a server's answer with a status of 400 or above; the status decides if the body explains nothing. Thread-safe.
Error errorFromResponse(int status, std::string_view body);

/// `{"error": {...}}` with kind, message, remedy and, if there is one, retryAfterMs. Thread-safe.
std::string errorJson(const Error &error);

} // namespace PrimroseBridge
