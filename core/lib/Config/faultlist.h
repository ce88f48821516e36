#pragma once

#include "primrosebridge/Config/reader.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Most faults that are kept; the rest are counted. Bounds the time and memory that a hostile document costs.
constexpr std::size_t maxFaults = 1000;

/// Collects the faults of one document. Not thread-safe.
class FaultList
{
public:
    /// Adds a fault; beyond maxFaults it is only counted.
    void add(const std::string &path, const std::string &problem, const std::string &remedy);

    /// True if there is a fault at @p path, below it, or at an object or list that contains it.
    [[nodiscard]] bool hasRelatedFault(std::string_view path) const;

    /// True if nothing was added.
    [[nodiscard]] bool empty() const;

    /// Every fault in the order of addition, and one more that says how many were not kept.
    [[nodiscard]] std::vector<ConfigFault> all() const;

private:
    std::vector<ConfigFault> m_faults;
    std::size_t m_dropped = 0;
};

/// @p path extended by an object member; escapes `~` and `/` and shortens long names. Thread-safe.
std::string joinPath(const std::string &path, std::string_view name);

/// @p path extended by a list index. Thread-safe.
std::string joinPath(const std::string &path, std::size_t index);

/// @p text in single quotes, at most 40 bytes, without control characters or broken UTF-8 sequences at the end. Thread-safe.
std::string quoteTruncated(std::string_view text);

} // namespace PrimroseBridge
