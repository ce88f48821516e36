#pragma once

#include "faultlist.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace PrimroseBridge {

struct JsonNode;
struct JsonMember;
using JsonArray = std::vector<JsonNode>;
using JsonObject = std::vector<JsonMember>;

/// A parsed JSON value. The type keeps the JSON library out of the headers, and whole numbers separate from other numbers.
struct JsonNode {
    const std::variant<std::nullptr_t, bool, std::int64_t, double, std::string, JsonArray, JsonObject> m_value;

    bool operator==(const JsonNode &) const;
};

/// A member of a JSON object.
struct JsonMember {
    const std::string m_name;
    const JsonNode m_node;

    bool operator==(const JsonMember &) const = default;
};

/// Maximum nesting depth of objects and lists. Valid documents need four levels.
constexpr std::size_t maxDocumentDepth = 16;

/// Parses JSON with comments. Reports text that is too long, malformed or nested too deeply, and duplicate keys, of which the
/// first is kept. Returns an empty optional if the text is too long, malformed or nested too deeply. Thread-safe.
std::optional<JsonNode> parseDocument(std::string_view text, std::size_t maxBytes, FaultList &faults);

/// Returns a short text for a value, as shown in a fault. A string is quoted as by quoteTruncated(). Thread-safe.
std::string describeNode(const JsonNode &node);

} // namespace PrimroseBridge
