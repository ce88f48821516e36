#include "primrosebridge/Commands/difference.h"

#include "primrosebridge/Config/reader.h"

#include <nlohmann/json.hpp>

#include <map>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;
using JsonByPath = std::map<std::string, std::string>;

/// Returns the path segment of a list element. Elements with an identifier are named by it, so that an inserted element does
/// not change the paths of the following ones. Guarantees have no identifier; they are named by organisation and zone, and
/// numbered if these repeat.
static std::string elementName(const Json &element, std::size_t index, std::map<std::string, int> &nameCounts)
{
    if (element.is_object() && element.contains("id")) {
        return element["id"].get<std::string>();
    }
    if (element.is_object() && element.contains("organisation")) {
        const auto name = element["organisation"].get<std::string>() + "@" + element["zone"].get<std::string>();
        const int number = ++nameCounts[name];
        return number == 1 ? name : name + "#" + std::to_string(number);
    }
    return element.is_string() ? element.get<std::string>() : std::to_string(index);
}

static void appendFields(JsonByPath &fields, const std::string &path, const Json &value)
{
    if (value.is_object()) {
        for (const auto &member : value.items()) {
            appendFields(fields, path + "/" + member.key(), member.value());
        }
    } else if (value.is_array()) {
        std::map<std::string, int> nameCounts;
        for (std::size_t i = 0; i < value.size(); ++i) {
            appendFields(fields, path + "/" + elementName(value[i], i, nameCounts), value[i]);
        }
    } else {
        fields.emplace(path, value.dump());
    }
}

static JsonByPath flattenConfiguration(const Configuration &configuration)
{
    auto document = Json::parse(writeConfiguration(configuration));
    document.erase("version");
    JsonByPath fields;
    appendFields(fields, "", document);
    return fields;
}

std::vector<FieldDifference> compareConfigurations(const Configuration &before, const Configuration &after)
{
    const auto oldFields = flattenConfiguration(before);
    const auto newFields = flattenConfiguration(after);
    JsonByPath allFields = oldFields;
    allFields.insert(newFields.begin(), newFields.end());
    std::vector<FieldDifference> changes;
    for (const auto &field : allFields) {
        const auto oldField = oldFields.find(field.first);
        const auto newField = newFields.find(field.first);
        const auto oldText = oldField == oldFields.end() ? std::string() : oldField->second;
        const auto newText = newField == newFields.end() ? std::string() : newField->second;
        if (oldText != newText) {
            changes.push_back({field.first, oldText, newText});
        }
    }
    return changes;
}

std::string formatDifferences(const std::vector<FieldDifference> &compareConfigurations)
{
    std::string text;
    for (const auto &difference : compareConfigurations) {
        if (difference.m_before.empty()) {
            text += "+ " + difference.m_path + ": " + difference.m_after + "\n";
        } else if (difference.m_after.empty()) {
            text += "- " + difference.m_path + ": " + difference.m_before + "\n";
        } else {
            text += "~ " + difference.m_path + ": " + difference.m_before + " -> " + difference.m_after + "\n";
        }
    }
    return text.empty() ? "no differences\n" : text;
}

std::string differencesJson(const std::vector<FieldDifference> &compareConfigurations)
{
    auto list = Json::array();
    for (const auto &difference : compareConfigurations) {
        const auto value = [](const std::string &text) { return text.empty() ? Json() : Json::parse(text); };
        list.push_back({{"path", difference.m_path}, {"before", value(difference.m_before)}, {"after", value(difference.m_after)}});
    }
    return Json{{"differences", list}}.dump(2) + "\n";
}

} // namespace PrimroseBridge
