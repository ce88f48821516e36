#include "primrosebridge/Commands/format.h"

#include "jsonerrors.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

static std::string scalarText(const Json &value)
{
    auto text = value.is_string() ? value.get<std::string>() : value.dump(-1, ' ', false, Json::error_handler_t::replace);
    // Control characters in server texts must not reach the terminal, except line feeds and tabs, which are harmless.
    std::replace_if(
        text.begin(),
        text.end(),
        [](char character) {
            const auto byte = static_cast<unsigned char>(character);
            return (byte < 0x20 && byte != '\n' && byte != '\t') || byte == 0x7f;
        },
        '?');
    return text;
}

static void appendKeyValueLines(std::string &text, const std::string &indent, const Json &value)
{
    for (const auto &item : value.items()) {
        const auto name = indent + (value.is_array() ? std::string("-") : scalarText(item.key()) + ":");
        if (!item.value().is_structured()) {
            text += name + " " + scalarText(item.value()) + "\n";
            continue;
        }
        text += name + (item.value().empty() ? " none" : "") + "\n";
        appendKeyValueLines(text, indent + "  ", item.value());
    }
}

std::string formatKeyValues(std::string_view json)
{
    return translateJsonErrors("response", [json] {
        const auto value = Json::parse(json);
        if (!value.is_structured()) {
            return scalarText(value) + "\n";
        }
        std::string text;
        appendKeyValueLines(text, "", value);
        return text;
    });
}

std::string formatJson(std::string_view json)
{
    return translateJsonErrors("response", [json] { return Json::parse(json).dump(2) + "\n"; });
}

} // namespace PrimroseBridge
