#pragma once

#include "primrosebridge/Model/configuration.h"

#include <string>
#include <vector>

namespace PrimroseBridge {

/// A field that differs between two configurations.
struct FieldDifference {
    const std::string m_path; ///< Like a JSON pointer, with identifiers in place of list indices: `/workers/w1/cores`.
    const std::string m_before; ///< JSON text; empty if the field is new.
    const std::string m_after; ///< JSON text; empty if the field is gone.

    bool operator==(const FieldDifference &) const = default;
};

/// Every field that differs, by path; defaults count as written, versions are not compared. Thread-safe.
std::vector<FieldDifference> compareConfigurations(const Configuration &before, const Configuration &after);

/// One line for each difference: `+ path: after`, `- path: before` or `~ path: before -> after`. Thread-safe.
std::string formatDifferences(const std::vector<FieldDifference> &compareConfigurations);

/// The same as a JSON list of objects with path, before and after. Thread-safe.
std::string differencesJson(const std::vector<FieldDifference> &compareConfigurations);

} // namespace PrimroseBridge
