#include "faultlist.h"

#include <algorithm>

namespace PrimroseBridge {

constexpr std::size_t maxShownBytes = 40;

void FaultList::add(const std::string &path, const std::string &problem, const std::string &remedy)
{
    if (m_faults.size() >= maxFaults) {
        ++m_dropped;
        return;
    }
    m_faults.push_back({path, problem, remedy});
}

/// Returns true if the JSON pointer @p outer points to @p inner or to an object or list that contains it.
static bool isWithin(std::string_view inner, std::string_view outer)
{
    return inner.substr(0, outer.size()) == outer && (inner.size() == outer.size() || inner[outer.size()] == '/');
}

bool FaultList::hasRelatedFault(std::string_view path) const
{
    return std::any_of(
        m_faults.begin(), m_faults.end(), [path](const ConfigFault &fault) { return isWithin(fault.m_path, path) || isWithin(path, fault.m_path); });
}

bool FaultList::empty() const
{
    return m_faults.empty();
}

std::vector<ConfigFault> FaultList::all() const
{
    auto faults = m_faults;
    if (m_dropped > 0) {
        faults.push_back({"", std::to_string(m_dropped) + " more faults are not shown", "correct the faults above and check again"});
    }
    return faults;
}

static bool isControl(char character)
{
    return static_cast<unsigned char>(character) < 0x20 || character == 0x7f;
}

static bool isContinuationByte(char character)
{
    return (static_cast<unsigned char>(character) & 0xc0U) == 0x80U;
}

static std::string truncateForDisplay(std::string_view text)
{
    std::string shown(text.substr(0, maxShownBytes));
    if (text.size() > maxShownBytes) {
        auto end = maxShownBytes;
        while (end > 0 && isContinuationByte(text[end])) {
            --end;
        }
        shown.resize(end);
        shown += "...";
    }
    std::replace_if(shown.begin(), shown.end(), isControl, '?');
    return shown;
}

std::string joinPath(const std::string &path, std::string_view name)
{
    std::string joined = path + "/";
    for (const char character : truncateForDisplay(name)) {
        if (character == '~') {
            joined += "~0";
        } else if (character == '/') {
            joined += "~1";
        } else {
            joined += character;
        }
    }
    return joined;
}

std::string joinPath(const std::string &path, std::size_t index)
{
    return path + "/" + std::to_string(index);
}

std::string quoteTruncated(std::string_view text)
{
    return "'" + truncateForDisplay(text) + "'";
}

} // namespace PrimroseBridge
