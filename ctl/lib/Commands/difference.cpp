#include "primrosebridge/Commands/difference.h"

#include "primrosebridge/Config/reader.h"

#include <nlohmann/json.hpp>

#include <map>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;
using FlatFields = std::map<std::string, std::string>;

/// Entries with an identifier are named by it, so that an inserted entry does not shift the names of those behind it.
/// Guarantees have none; those of one organisation and zone are numbered.
static std::string entryName(const Json &entry, std::size_t index, std::map<std::string, int> &used)
{
    if (entry.is_object() && entry.contains("id")) {
        return entry["id"].get<std::string>();
    }
    if (entry.is_object() && entry.contains("organisation")) {
        const auto name = entry["organisation"].get<std::string>() + "@" + entry["zone"].get<std::string>();
        const int number = ++used[name];
        return number == 1 ? name : name + "#" + std::to_string(number);
    }
    return entry.is_string() ? entry.get<std::string>() : std::to_string(index);
}

static void flatten(FlatFields &fields, const std::string &path, const Json &value)
{
    if (value.is_object()) {
        for (const auto &member : value.items()) {
            flatten(fields, path + "/" + member.key(), member.value());
        }
    } else if (value.is_array()) {
        std::map<std::string, int> used;
        for (std::size_t i = 0; i < value.size(); ++i) {
            flatten(fields, path + "/" + entryName(value[i], i, used), value[i]);
        }
    } else {
        fields.emplace(path, value.dump());
    }
}

static FlatFields fieldsOf(const Configuration &configuration)
{
    auto document = Json::parse(writeConfiguration(configuration));
    document.erase("version");
    FlatFields fields;
    flatten(fields, "", document);
    return fields;
}

std::vector<FieldDifference> compareConfigurations(const Configuration &before, const Configuration &after)
{
    const auto old = fieldsOf(before);
    const auto fresh = fieldsOf(after);
    FlatFields all = old;
    all.insert(fresh.begin(), fresh.end());
    std::vector<FieldDifference> found;
    for (const auto &field : all) {
        const auto left = old.find(field.first);
        const auto right = fresh.find(field.first);
        const auto leftText = left == old.end() ? std::string() : left->second;
        const auto rightText = right == fresh.end() ? std::string() : right->second;
        if (leftText != rightText) {
            found.push_back({field.first, leftText, rightText});
        }
    }
    return found;
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
