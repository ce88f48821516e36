#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/result.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Maximum size of a form body.
constexpr std::size_t maxFormBytes = 16 * 1024;
/// Maximum number of fields in a form. The largest form of the console has 17 fields, including the hidden ones.
constexpr std::size_t maxFormFields = 32;

using FormValues = std::map<std::string, std::string>;

/// Decodes a body of type `application/x-www-form-urlencoded`. Returns TooLarge if the body exceeds maxFormBytes, and InvalidArgument if it has
/// more than maxFormFields fields, a repeated field, a malformed percent escape, invalid UTF-8 or a control character. Thread-safe.
Result<FormValues> decodeForm(std::string_view body);

/// Returns the value of the field, or an empty string if it is absent. Thread-safe.
std::string formValue(const FormValues &form, const std::string &name);

/// Returns the value of the cookie, or an empty string if it is absent. Thread-safe.
std::string cookieValue(const HttpCall &call, std::string_view name);

/// Parses a decimal number of 0 or more. Returns nothing if the text has any other character or the number overflows. Thread-safe.
std::optional<long long> parseNonNegativeInteger(std::string_view text);

/// Returns the text, truncated with an ellipsis if it is longer than 60 bytes. Never splits a UTF-8 character. Thread-safe.
std::string truncateForDisplay(const std::string &text);

/// Compares two texts in a time that does not depend on where they differ. The time does reveal whether the lengths differ. Thread-safe.
bool constantTimeEqual(std::string_view left, std::string_view right);

} // namespace PrimroseBridge
