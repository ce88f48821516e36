#pragma once

#include "primrosebridge/Model/error.h"
#include "primrosebridge/Model/request.h"

#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Formats rows as text with aligned columns. Control characters are replaced. Thread-safe.
std::string formatTable(const std::vector<std::vector<std::string>> &rows);

/// Formats any JSON value as `name: value` lines; nested objects and lists are indented. Throws Error(Internal) if the
/// text is not JSON. Thread-safe.
std::string formatKeyValues(std::string_view json);

/// Pretty-prints a JSON text. Throws Error(Internal) if the text is not JSON. Thread-safe.
std::string formatJson(std::string_view json);

/// Formats the response to `GET /v1/fleet` as tables. Throws Error(Internal) if the response is malformed. Thread-safe.
std::string formatFleet(std::string_view json);

/// Formats the response to `GET /v1/timeline` as a table. Keeps the server's order, in which a cause precedes its effects.
/// Throws Error(Internal) if the response is malformed. Thread-safe.
std::string formatTimeline(std::string_view json);

/// Formats the response to `POST /placement-preview` as tables. Throws Error(Internal) if the response is malformed. Thread-safe.
std::string formatPreview(std::string_view json);

/// Removes the events that are older than @p oldest and those that neither belong to @p requestKey nor are a direct or
/// indirect cause of its events; an empty key selects the events of all requests. Preserves the order. Throws
/// Error(Internal) if the timeline is malformed. Thread-safe.
std::string filterTimeline(std::string_view json, const std::string &requestKey, Instant oldest);

/// Formats the response to `GET /v1/configuration/history` as a table. Throws Error(Internal) if the response is malformed.
/// Thread-safe.
std::string formatConfigurationHistory(std::string_view json);

/// Returns the outcome in a response to submit, get or cancel. Throws Error(Internal) if the response is malformed. Thread-safe.
OutcomeKind parseOutcome(std::string_view json);

/// Returns the error in a server's error response. If @p body contains no error object, the kind follows from the HTTP
/// status. Thread-safe.
Error errorFromResponse(int status, std::string_view body);

/// Formats an error as the JSON object `{"error": {...}}` with kind, message, remedy and, if set, retryAfterMs. Thread-safe.
std::string errorJson(const Error &error);

} // namespace PrimroseBridge
