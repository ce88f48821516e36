#pragma once

#include "primrosebridge/Config/reader.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Maximum number of faults that are stored; further faults are only counted. This bounds the time and memory that a malicious
/// document can use up.
constexpr std::size_t maxFaults = 1000;

/// Collects the faults of one document. Not thread-safe.
class FaultList
{
public:
    /// Adds a fault. A fault beyond maxFaults is only counted.
    void add(const std::string &path, const std::string &problem, const std::string &remedy);

    /// Returns true if there is a fault at @p path, below it, or at an object or list that contains it.
    [[nodiscard]] bool hasRelatedFault(std::string_view path) const;

    /// Returns true if there is no fault.
    [[nodiscard]] bool empty() const;

    /// Returns the stored faults in the order of addition. If further faults were counted, a last entry states their number.
    [[nodiscard]] std::vector<ConfigFault> all() const;

private:
    std::vector<ConfigFault> m_faults;
    std::size_t m_dropped = 0; ///< Number of faults that were counted but not stored.
};

/// Returns the JSON pointer @p path extended by an object member. Escapes `~` and `/`, and truncates the name as
/// quoteTruncated() does. Thread-safe.
std::string joinPath(const std::string &path, std::string_view name);

/// Returns the JSON pointer @p path extended by a list index. Thread-safe.
std::string joinPath(const std::string &path, std::size_t index);

/// Returns @p text in single quotes. A text of more than 40 bytes is truncated at the end of a UTF-8 sequence and marked with
/// "..."; control characters are replaced by '?'. Thread-safe.
std::string quoteTruncated(std::string_view text);

} // namespace PrimroseBridge
