#include "primrosebridge/Commands/format.h"

#include <algorithm>

namespace PrimroseBridge {

/// Replaces control characters, so that texts from a server cannot control the terminal.
static std::string replaceControlCharacters(const std::string &text)
{
    std::string printable = text;
    std::replace_if(
        printable.begin(), printable.end(), [](char character) { return static_cast<unsigned char>(character) < 0x20 || character == 0x7f; }, '?');
    return printable;
}

/// Returns the number of columns that a text occupies, assuming one column for each UTF-8 character.
static std::size_t displayWidth(const std::string &text)
{
    return static_cast<std::size_t>(
        std::count_if(text.begin(), text.end(), [](char character) { return (static_cast<unsigned char>(character) & 0xc0U) != 0x80U; }));
}

static std::vector<std::size_t> columnWidths(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], displayWidth(row[i]));
        }
    }
    return widths;
}

std::string formatTable(const std::vector<std::vector<std::string>> &rows)
{
    const auto widths = columnWidths(rows);
    std::string text;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += replaceControlCharacters(row[i]) + std::string(widths[i] - displayWidth(row[i]) + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace PrimroseBridge
