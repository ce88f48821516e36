#include "objectreader.h"

#include "nearestname.h"

#include <algorithm>
#include <sstream>

namespace PrimroseBridge {

static const JsonArray emptyList;

ObjectReader::ObjectReader(const JsonObject *members, bool reportMissing, std::string path, FaultList &faults)
    : m_members(members)
    , m_reportMissing(reportMissing)
    , m_path(std::move(path))
    , m_faults(faults)
{
}

ObjectReader::ObjectReader(const JsonNode &node, std::string path, FaultList &faults)
    : ObjectReader(std::get_if<JsonObject>(&node.m_value), false, std::move(path), faults)
{
    m_reportMissing = m_members != nullptr;
    if (m_members == nullptr) {
        m_faults.add(m_path, "is " + describeNode(node) + ", not an object", "write an object in braces");
    }
}

static std::string formatNumber(double number)
{
    std::ostringstream text;
    text << number;
    return text.str();
}

const JsonNode *ObjectReader::findMember(std::string_view name)
{
    m_knownNames.push_back(name);
    if (m_members == nullptr) {
        return nullptr;
    }
    const auto found = std::find_if(m_members->begin(), m_members->end(), [name](const JsonMember &member) { return member.m_name == name; });
    return found == m_members->end() ? nullptr : &found->m_node;
}

const JsonNode *ObjectReader::findOrReportMissing(std::string_view name, bool required, const std::string &expected)
{
    const auto *node = findMember(name);
    if (node == nullptr && required && m_reportMissing) {
        m_faults.add(pathOf(name), "is missing", "add " + std::string(name) + ", " + expected);
    }
    return node;
}

void ObjectReader::reportInvalidValue(std::string_view name, const JsonNode &node, const std::string &expected)
{
    m_faults.add(pathOf(name), "is " + describeNode(node) + ", not " + expected, "use " + expected);
}

std::string ObjectReader::readString(std::string_view name, const std::optional<std::string> &defaultValue)
{
    const std::string expected = "a string in double quotes";
    const auto *node = findOrReportMissing(name, !defaultValue, expected);
    if (node == nullptr) {
        return defaultValue.value_or("");
    }
    if (const auto *value = std::get_if<std::string>(&node->m_value)) {
        return *value;
    }
    reportInvalidValue(name, *node, expected);
    return defaultValue.value_or("");
}

std::int64_t ObjectReader::readInteger(std::string_view name, const IntegerRange &range, std::optional<std::int64_t> defaultValue)
{
    const std::string expected = "a whole number from " + std::to_string(range.m_min) + " to " + std::to_string(range.m_max);
    const auto *node = findOrReportMissing(name, !defaultValue, expected);
    if (node == nullptr) {
        return defaultValue.value_or(range.m_min);
    }
    const auto *value = std::get_if<std::int64_t>(&node->m_value);
    if (value != nullptr && *value >= range.m_min && *value <= range.m_max) {
        return *value;
    }
    reportInvalidValue(name, *node, expected);
    return defaultValue.value_or(range.m_min);
}

static std::optional<double> toNumber(const JsonNode &node)
{
    if (const auto *integer = std::get_if<std::int64_t>(&node.m_value)) {
        return static_cast<double>(*integer);
    }
    if (const auto *number = std::get_if<double>(&node.m_value)) {
        return *number;
    }
    return std::nullopt;
}

double ObjectReader::readNumber(std::string_view name, const NumberRange &range, std::optional<double> defaultValue)
{
    const std::string expected = "a number from " + formatNumber(range.m_min) + " to " + formatNumber(range.m_max);
    const auto *node = findOrReportMissing(name, !defaultValue, expected);
    if (node == nullptr) {
        return defaultValue.value_or(range.m_min);
    }
    const auto value = toNumber(*node);
    if (value && *value >= range.m_min && *value <= range.m_max) {
        return *value;
    }
    reportInvalidValue(name, *node, expected);
    return defaultValue.value_or(range.m_min);
}

bool ObjectReader::readBoolean(std::string_view name, bool defaultValue)
{
    const auto *node = findMember(name);
    if (node == nullptr) {
        return defaultValue;
    }
    if (const auto *value = std::get_if<bool>(&node->m_value)) {
        return *value;
    }
    reportInvalidValue(name, *node, "true or false");
    return defaultValue;
}

ObjectReader ObjectReader::readObject(std::string_view name)
{
    const auto *node = findMember(name);
    if (node == nullptr) {
        return {nullptr, m_reportMissing, pathOf(name), m_faults};
    }
    return {*node, pathOf(name), m_faults};
}

const JsonArray &ObjectReader::readArray(std::string_view name, std::size_t maxElements)
{
    const auto *node = findMember(name);
    if (node == nullptr) {
        return emptyList;
    }
    const auto *elements = std::get_if<JsonArray>(&node->m_value);
    if (elements == nullptr) {
        reportInvalidValue(name, *node, "a list in square brackets");
        return emptyList;
    }
    if (elements->size() > maxElements) {
        m_faults.add(pathOf(name), "has " + std::to_string(elements->size()) + " entries, the limit is " + std::to_string(maxElements), "remove entries");
        return emptyList;
    }
    return *elements;
}

bool ObjectReader::hasMember(std::string_view name) const
{
    return m_members != nullptr && std::any_of(m_members->begin(), m_members->end(), [name](const JsonMember &member) { return member.m_name == name; });
}

std::string ObjectReader::pathOf(std::string_view name) const
{
    return joinPath(m_path, name);
}

const std::string &ObjectReader::path() const
{
    return m_path;
}

FaultList &ObjectReader::faults() const
{
    return m_faults;
}

void ObjectReader::reportUnknownMembers() const
{
    if (m_members == nullptr) {
        return;
    }
    for (const auto &member : *m_members) {
        if (std::find(m_knownNames.begin(), m_knownNames.end(), member.m_name) != m_knownNames.end()) {
            continue;
        }
        const auto nearest = nearestName(member.m_name, m_knownNames);
        m_faults.add(pathOf(member.m_name), "is not a known field", nearest.empty() ? "remove it" : "write " + std::string(nearest) + ", or remove it");
    }
}

} // namespace PrimroseBridge
