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

/// An object or a list that is still being read.
struct OpenContainer {
    bool m_isObject = false;
    std::string m_name; ///< Name of the member that is read next.
    bool m_skipNext = false; ///< The next value belongs to a duplicate key.
    std::set<std::string> m_names;
    JsonArray m_elements;
    JsonObject m_members;
};

/// Receives the parser's events and builds the tree. The function names are those that the JSON library calls.
class TreeBuilder
{
public:
    explicit TreeBuilder(FaultList &faults)
        : m_faults(faults)
    {
    }

    bool null()
    {
        return append({nullptr});
    }
    bool boolean(bool value)
    {
        return append({value});
    }
    bool number_integer(std::int64_t value) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return append({value});
    }
    bool number_unsigned(std::uint64_t value) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        return value > largest ? append({static_cast<double>(value)}) : append({static_cast<std::int64_t>(value)});
    }
    bool number_float(double value, const std::string & /*text*/) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return append({value});
    }
    bool string(const std::string &value)
    {
        return append({value});
    }
    bool binary(const nlohmann::json::binary_t & /*value*/)
    {
        return false; // Does not occur in JSON text.
    }
    bool start_object(std::size_t /*size*/) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return open(true);
    }
    bool start_array(std::size_t /*size*/) // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return open(false);
    }
    bool key(const std::string &name);
    bool end_object() // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return close();
    }
    bool end_array() // NOLINT(readability-identifier-naming): named by the JSON library.
    {
        return close();
    }
    bool parse_error(std::size_t position, const std::string &token, const nlohmann::detail::exception &error); // NOLINT(readability-identifier-naming)

    /// The root value; empty if the text held none.
    [[nodiscard]] const std::optional<JsonNode> &root() const
    {
        return m_root;
    }

private:
    bool open(bool isObject);
    bool close();
    bool append(const JsonNode &node);
    [[nodiscard]] std::string path() const;

    FaultList &m_faults;
    std::vector<OpenContainer> m_open;
    std::optional<JsonNode> m_root;
};

bool TreeBuilder::key(const std::string &name)
{
    auto &object = m_open.back();
    object.m_name = name;
    object.m_skipNext = !object.m_names.insert(name).second;
    if (object.m_skipNext) {
        m_faults.add(path(), "appears more than once", "keep one of the fields named " + quoteTruncated(name));
    }
    return true;
}

bool TreeBuilder::open(bool isObject)
{
    if (m_open.size() >= maxDocumentDepth) {
        m_faults.add(path(), "is nested more than " + std::to_string(maxDocumentDepth) + " levels deep", "remove the inner levels");
        return false;
    }
    m_open.emplace_back();
    m_open.back().m_isObject = isObject;
    return true;
}

bool TreeBuilder::close()
{
    const auto closed = std::move(m_open.back());
    m_open.pop_back();
    return closed.m_isObject ? append({closed.m_members}) : append({closed.m_elements});
}

bool TreeBuilder::append(const JsonNode &node)
{
    if (m_open.empty()) {
        m_root.emplace(node);
        return true;
    }
    auto &parent = m_open.back();
    if (!parent.m_isObject) {
        parent.m_elements.push_back(node);
    } else if (!parent.m_skipNext) {
        parent.m_members.push_back({parent.m_name, node});
    }
    return true;
}

std::string TreeBuilder::path() const
{
    std::string path;
    for (const auto &container : m_open) {
        path = container.m_isObject ? joinPath(path, container.m_name) : joinPath(path, container.m_elements.size());
    }
    return path;
}

static std::string printableAscii(std::string_view text)
{
    std::string printable(text.substr(0, 200));
    std::replace_if(
        printable.begin(), printable.end(), [](char character) { return character < 0x20 || character == 0x7f; }, '?');
    return printable;
}

bool TreeBuilder::parse_error(std::size_t /*position*/, const std::string & /*token*/, const nlohmann::detail::exception &error)
{
    const std::string_view text = error.what();
    const auto prefixEnd = text.find("] ");
    const auto message = prefixEnd == std::string_view::npos ? text : text.substr(prefixEnd + 2);
    m_faults.add(path(), "is not JSON: " + printableAscii(message), "correct the text; // and /* */ comments are allowed, NaN and trailing commas are not");
    return false;
}

std::optional<JsonNode> parseDocument(std::string_view text, std::size_t maxBytes, FaultList &faults)
{
    if (text.size() > maxBytes) {
        faults.add("", "has " + std::to_string(text.size()) + " bytes, the limit is " + std::to_string(maxBytes), "shorten the document");
        return std::nullopt;
    }
    TreeBuilder builder(faults);
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
