#include "formdecoding.h"

#include <algorithm>
#include <charconv>

namespace PrimroseBridge {

static Error malformedFormError(const std::string &problem)
{
    return Error(ErrorKind::InvalidArgument, "the form " + problem, "open the page again and fill the form in");
}

static std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] != '%') {
            decoded += text[position] == '+' ? ' ' : text[position];
            continue;
        }
        unsigned int code = 0;
        const auto digits = text.substr(position + 1, 2);
        const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
        if (digits.size() != 2 || error != std::errc() || end != digits.data() + 2) {
            return std::nullopt;
        }
        decoded += static_cast<char>(code);
        position += 2;
    }
    return decoded;
}

// Returns the length in bytes of a UTF-8 character whose first byte is @p lead, or 0 if no character starts with this byte.
static std::size_t utf8SequenceLength(unsigned char lead)
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

// Returns whether @p second may follow @p lead. Rejects overlong encodings, surrogates and code points above U+10FFFF.
static bool isValidSecondByte(unsigned char lead, unsigned char second)
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
    for (std::size_t position = 0; position < text.size();) {
        const auto lead = static_cast<unsigned char>(text[position]);
        const auto length = utf8SequenceLength(lead);
        if (length == 0 || position + length > text.size() || lead < 0x20 || lead == 0x7F) {
            return false;
        }
        for (std::size_t offset = 1; offset < length; ++offset) {
            const auto byte = static_cast<unsigned char>(text[position + offset]);
            if ((byte & 0xC0) != 0x80 || (offset == 1 && !isValidSecondByte(lead, byte))) {
                return false;
            }
        }
        position += length;
    }
    return true;
}

static std::optional<Error> decodeAndAddField(std::string_view pair, FormValues &form)
{
    const auto equals = std::min(pair.find('='), pair.size());
    const auto name = percentDecode(pair.substr(0, equals));
    const auto value = percentDecode(pair.substr(std::min(equals + 1, pair.size())));
    if (!name || !value) {
        return malformedFormError("has a malformed percent escape");
    }
    if (!isPrintableUtf8(*name) || !isPrintableUtf8(*value)) {
        return malformedFormError("has text that is not UTF-8 or has control characters");
    }
    if (!form.emplace(*name, *value).second) {
        return malformedFormError("has the field '" + truncateForDisplay(*name) + "' twice");
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
            return malformedFormError("has more than " + std::to_string(maxFormFields) + " fields");
        }
        if (const auto error = decodeAndAddField(body.substr(0, end), form)) {
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
    const bool isWholeNumber = !text.empty() && error == std::errc() && end == text.data() + text.size() && number >= 0;
    return isWholeNumber ? std::optional(number) : std::nullopt;
}

std::string truncateForDisplay(const std::string &text)
{
    constexpr std::size_t maxBytes = 60;
    if (text.size() <= maxBytes) {
        return text;
    }
    auto end = maxBytes;
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
    for (std::size_t position = 0; position < left.size(); ++position) {
        difference |= static_cast<unsigned char>(left[position]) ^ static_cast<unsigned char>(right[position]);
    }
    return difference == 0;
}

} // namespace PrimroseBridge
