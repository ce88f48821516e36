#include "formdecoding.h"

#include <algorithm>
#include <charconv>

namespace PrimroseBridge {

static Error malformed(const std::string &problem)
{
    return Error(ErrorKind::InvalidArgument, "the form " + problem, "open the page again and fill the form in");
}

static std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded += text[at] == '+' ? ' ' : text[at];
            continue;
        }
        unsigned int code = 0;
        const auto digits = text.substr(at + 1, 2);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
        if (digits.size() != 2 || error != std::errc() || end != digits.data() + 2) {
            return std::nullopt;
        }
        decoded += static_cast<char>(code);
        at += 2;
    }
    return decoded;
}

// Number of bytes of the UTF-8 character that starts with @p lead; 0 if none does.
static std::size_t sequenceLength(unsigned char lead)
{
    if (lead < 0x80) {
        return 1;
    }
    if (lead >= 0xC2 && lead <= 0xDF) {
        return 2;
    }
    if (lead >= 0xE0 && lead <= 0xEF) {
        return 3;
    }
    return lead >= 0xF0 && lead <= 0xF4 ? 4 : 0;
}

// Whether the second byte excludes overlong forms, surrogates and code points above U+10FFFF.
static bool isSecondByte(unsigned char lead, unsigned char second)
{
    switch (lead) {
    case 0xE0:
        return second >= 0xA0;
    case 0xED:
        return second < 0xA0;
    case 0xF0:
        return second >= 0x90;
    case 0xF4:
        return second < 0x90;
    default:
        return true;
    }
}

static bool isPrintableUtf8(std::string_view text)
{
    for (std::size_t at = 0; at < text.size();) {
        const auto lead = static_cast<unsigned char>(text[at]);
        const auto length = sequenceLength(lead);
        if (length == 0 || at + length > text.size() || lead < 0x20 || lead == 0x7F) {
            return false;
        }
        for (std::size_t next = 1; next < length; ++next) {
            const auto byte = static_cast<unsigned char>(text[at + next]);
            if ((byte & 0xC0) != 0x80 || (next == 1 && !isSecondByte(lead, byte))) {
                return false;
            }
        }
        at += length;
    }
    return true;
}

static std::optional<Error> addField(std::string_view pair, FormValues &form)
{
    const auto equals = std::min(pair.find('='), pair.size());
    const auto name = percentDecoded(pair.substr(0, equals));
    const auto value = percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value) {
        return malformed("has a malformed percent escape");
    }
    if (!isPrintableUtf8(*name) || !isPrintableUtf8(*value)) {
        return malformed("has text that is not UTF-8 or has control characters");
    }
    if (!form.emplace(*name, *value).second) {
        return malformed("has the field '" + truncateForDisplay(*name) + "' twice");
    }
    return std::nullopt;
}

Result<FormValues> decodeForm(std::string_view body)
{
    if (body.size() > maxFormBytes) {
        return Error(ErrorKind::TooLarge, "the form has " + std::to_string(body.size()) + " bytes", "send at most " + std::to_string(maxFormBytes));
    }
    FormValues form;
    while (!body.empty()) {
        const auto end = std::min(body.find('&'), body.size());
        if (form.size() == maxFormFields) {
            return malformed("has more than " + std::to_string(maxFormFields) + " fields");
        }
        if (const auto error = addField(body.substr(0, end), form)) {
            return *error;
        }
        body.remove_prefix(std::min(end + 1, body.size()));
    }
    return form;
}

std::string formValue(const FormValues &form, const std::string &name)
{
    const auto found = form.find(name);
    return found == form.end() ? std::string() : found->second;
}

std::string cookieValue(const HttpCall &call, std::string_view name)
{
    const auto header = headerValue(call, "cookie");
    std::string_view rest = header;
    while (!rest.empty()) {
        const auto end = std::min(rest.find(';'), rest.size());
        auto pair = rest.substr(0, end);
        pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=') {
            return std::string(pair.substr(name.size() + 1));
        }
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

std::optional<long long> parseNonNegativeInteger(std::string_view text)
{
    long long number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = !text.empty() && error == std::errc() && end == text.data() + text.size() && number >= 0;
    return whole ? std::optional(number) : std::nullopt;
}

std::string truncateForDisplay(const std::string &text)
{
    constexpr std::size_t longest = 60;
    if (text.size() <= longest) {
        return text;
    }
    auto end = longest;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0) == 0x80) {
        --end;
    }
    return text.substr(0, end) + "…";
}

bool constantTimeEqual(std::string_view left, std::string_view right)
{
    if (left.size() != right.size()) {
        return false;
    }
    unsigned int difference = 0;
    for (std::size_t at = 0; at < left.size(); ++at) {
        difference |= static_cast<unsigned char>(left[at]) ^ static_cast<unsigned char>(right[at]);
    }
    return difference == 0;
}

} // namespace PrimroseBridge
