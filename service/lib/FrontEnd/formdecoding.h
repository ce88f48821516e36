#pragma once

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Model/result.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Largest form body in bytes; the largest form has 17 fields, hidden ones included.
constexpr std::size_t maxFormBytes = 16 * 1024;
/// Most fields in a form.
constexpr std::size_t maxFormFields = 32;

using FormValues = std::map<std::string, std::string>;

/// Decodes `application/x-www-form-urlencoded`. TooLarge above maxFormBytes; InvalidArgument for more than maxFormFields fields, a repeated
/// field, a malformed percent escape, or text that is not UTF-8 or has control characters. Thread-safe.
Result<FormValues> decodeForm(std::string_view body);

/// The field's value, or an empty string. Thread-safe.
std::string formValue(const FormValues &form, const std::string &name);

/// The cookie's value, or an empty string. Thread-safe.
std::string cookieValue(const HttpCall &call, std::string_view name);

/// A whole number of 0 or more that is the entire text; empty otherwise and on overflow. Thread-safe.
std::optional<long long> parseNonNegativeInteger(std::string_view text);

/// The text, cut to at most 60 bytes at a character boundary, for error messages. Thread-safe.
std::string truncateForDisplay(const std::string &text);

/// Compares without revealing by its run time where the texts differ. Thread-safe.
bool constantTimeEqual(std::string_view left, std::string_view right);

} // namespace PrimroseBridge
