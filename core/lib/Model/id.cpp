#include "primrosebridge/Model/id.h"

#include <algorithm>

namespace PrimroseBridge {

static bool isIdentifierCharacter(char character)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || isDigit || character == '.' || character == '_' || character == '-';
}

Result<std::string> checkIdentifier(std::string_view kind, std::string_view text)
{
    const std::string remedy = "use 1 to " + std::to_string(maxIdentifierBytes) + " characters of a-z A-Z 0-9 . _ -";
    if (text.empty()) {
        return Error(ErrorKind::InvalidArgument, std::string(kind) + " is empty", remedy);
    }
    if (text.size() > maxIdentifierBytes) {
        return Error(ErrorKind::InvalidArgument, std::string(kind) + " has " + std::to_string(text.size()) + " characters", remedy);
    }
    if (!std::all_of(text.begin(), text.end(), isIdentifierCharacter)) {
        return Error(ErrorKind::InvalidArgument, std::string(kind) + " contains a character that is not allowed", remedy);
    }
    return std::string(text);
}

} // namespace PrimroseBridge
