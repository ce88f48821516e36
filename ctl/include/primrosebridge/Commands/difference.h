#pragma once

#include "primrosebridge/Model/configuration.h"

#include <string>
#include <vector>

namespace PrimroseBridge {

/// A field that differs between two configurations.
struct FieldDifference {
    const std::string m_path; ///< JSON pointer with identifiers in place of list indices, for example `/workers/w1/cores`.
    const std::string m_before; ///< Old value as JSON; empty if the field was added.
    const std::string m_after; ///< New value as JSON; empty if the field was removed.

    bool operator==(const FieldDifference &) const = default;
};

/// Returns the fields that differ, sorted by path. An omitted field equals its default; versions are not compared. Thread-safe.
std::vector<FieldDifference> compareConfigurations(const Configuration &before, const Configuration &after);

/// Formats each difference as a line `+ path: after`, `- path: before` or `~ path: before -> after`. Thread-safe.
std::string formatDifferences(const std::vector<FieldDifference> &compareConfigurations);

/// Formats the differences as a JSON object whose member `differences` lists objects with path, before and after. Thread-safe.
std::string differencesJson(const std::vector<FieldDifference> &compareConfigurations);

} // namespace PrimroseBridge
