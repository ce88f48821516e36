#include "document.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace PrimroseBridge {

bool JsonNode::operator==(const JsonNode &other) const
{
    return m_value == other.m_value;
}

/// An object or a list whose end has not been parsed yet.
struct PartialContainer {
    bool m_isObject = false;
    std::string m_name; ///< Name of the member whose value is parsed next.
    bool m_skipNext = false; ///< The next value belongs to a duplicate key.
    std::set<std::string> m_seenNames;
    JsonArray m_elements;
    JsonObject m_members;
};

/// Handles the events of the JSON library's SAX parser and builds the tree. The library prescribes the names of the public
/// functions. A function that returns false stops the parser.
class JsonTreeBuilder
{
public:
    explicit JsonTreeBuilder(FaultList &faults)
        : m_faults(faults)
    {
    }

    bool null()
    {
        return addValue({nullptr});
    }
    bool boolean(bool value)
    {
        return addValue({value});
    }
    bool number_integer(std::int64_t value) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return addValue({value});
    }
    bool number_unsigned(std::uint64_t value) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        return value > largest ? addValue({static_cast<double>(value)}) : addValue({static_cast<std::int64_t>(value)});
    }
    bool number_float(double value, const std::string & /*text*/) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return addValue({value});
    }
    bool string(const std::string &value)
    {
        return addValue({value});
    }
    bool binary(const nlohmann::json::binary_t & /*value*/)
    {
        return false; // JSON text has no binary values.
    }
    bool start_object(std::size_t /*size*/) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return openContainer(true);
    }
    bool start_array(std::size_t /*size*/) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return openContainer(false);
    }
    bool key(const std::string &name);
    bool end_object() // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return closeContainer();
    }
    bool end_array() // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return closeContainer();
    }
    bool parse_error(std::size_t position, const std::string &token, const nlohmann::detail::exception &error); // NOLINT(readability-identifier-naming)

    /// Returns the root value; empty if none was parsed.
    [[nodiscard]] const std::optional<JsonNode> &root() const
    {
        return m_root;
    }

private:
    bool openContainer(bool isObject);
    bool closeContainer();
    bool addValue(const JsonNode &node);
    [[nodiscard]] std::string path() const;

    FaultList &m_faults;
    std::vector<PartialContainer> m_openContainers;
    std::optional<JsonNode> m_root;
};

bool JsonTreeBuilder::key(const std::string &name)
{
    auto &object = m_openContainers.back();
    object.m_name = name;
    object.m_skipNext = !object.m_seenNames.insert(name).second;
    if (object.m_skipNext) {
        m_faults.add(path(), "appears more than once", "keep one of the fields named " + quoteTruncated(name));
    }
    return true;
}

bool JsonTreeBuilder::openContainer(bool isObject)
{
    if (m_openContainers.size() >= maxDocumentDepth) {
        m_faults.add(path(), "is nested more than " + std::to_string(maxDocumentDepth) + " levels deep", "remove the inner levels");
        return false;
    }
    m_openContainers.emplace_back();
    m_openContainers.back().m_isObject = isObject;
    return true;
}

bool JsonTreeBuilder::closeContainer()
{
    const auto finishedContainer = std::move(m_openContainers.back());
    m_openContainers.pop_back();
    return finishedContainer.m_isObject ? addValue({finishedContainer.m_members}) : addValue({finishedContainer.m_elements});
}

bool JsonTreeBuilder::addValue(const JsonNode &node)
{
    if (m_openContainers.empty()) {
        m_root.emplace(node);
        return true;
    }
    auto &parent = m_openContainers.back();
    if (!parent.m_isObject) {
        parent.m_elements.push_back(node);
    } else if (!parent.m_skipNext) {
        parent.m_members.push_back({parent.m_name, node});
    }
    return true;
}

std::string JsonTreeBuilder::path() const
{
    std::string path;
    for (const auto &container : m_openContainers) {
        path = container.m_isObject ? joinPath(path, container.m_name) : joinPath(path, container.m_elements.size());
    }
    return path;
}

/// Returns at most 200 bytes of @p text, with control characters replaced by '?'.
static std::string printablePrefix(std::string_view text)
{
    std::string printable(text.substr(0, 200));
    // The sign of char differs between machines, and bytes that are not ASCII may be no valid UTF-8.
    std::replace_if(
        printable.begin(), printable.end(), [](unsigned char character) { return character < 0x20 || character >= 0x7f; }, '?');
    return printable;
}

bool JsonTreeBuilder::parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception &error)
{
    const std::string_view text = error.what();
    const auto prefixEnd = text.find("] ");
    const auto message = prefixEnd == std::string_view::npos ? text : text.substr(prefixEnd + 2);
    m_faults.add(path(), "is not JSON: " + printablePrefix(message), "correct the text; // and /* */ comments are allowed, NaN and trailing commas are not");
    return false;
}

std::optional<JsonNode> parseDocument(std::string_view text, std::size_t maxBytes, FaultList &faults)
{
    if (text.size() > maxBytes) {
        faults.add("", "has " + std::to_string(text.size()) + " bytes, the limit is " + std::to_string(maxBytes), "shorten the document");
        return std::nullopt;
    }
    JsonTreeBuilder builder(faults);
    constexpr bool strict = true;
    constexpr bool ignoreComments = true;
    const bool complete = nlohmann::json::sax_parse(text.begin(), text.end(), &builder, nlohmann::json::input_format_t::json, strict, ignoreComments);
    return complete ? builder.root() : std::nullopt;
}

std::string describeNode(const JsonNode &node)
{
    if (const auto *text = std::get_if<std::string>(&node.m_value)) {
        return quoteTruncated(*text);
    }
    if (const auto *integer = std::get_if<std::int64_t>(&node.m_value)) {
        return std::to_string(*integer);
    }
    if (const auto *number = std::get_if<double>(&node.m_value)) {
        return nlohmann::json(*number).dump();
    }
    if (const auto *boolean = std::get_if<bool>(&node.m_value)) {
        return *boolean ? "true" : "false";
    }
    if (std::holds_alternative<JsonArray>(node.m_value)) {
        return "a list";
    }
    return std::holds_alternative<JsonObject>(node.m_value) ? "an object" : "null";
}

} // namespace PrimroseBridge
