#pragma once

#include "primrosebridge/Config/reader.h"

#include <string>
#include <vector>

namespace PrimroseBridge::Test {

/// The text of a file; the test fails if it cannot be read.
std::string readFile(const std::string &path);

/// A valid document with one zone, two workers in one rack, one organisation, one class and one guarantee.
std::string smallDocument();

/// The small document with the first occurrence of @p from replaced by @p to; the test fails if there is none.
std::string smallDocumentWith(const std::string &from, const std::string &to);

/// The faults of a document; the test fails if it is valid.
std::vector<ConfigFault> readFaults(const std::string &document);

/// True if one of the faults has the path and its problem or remedy contains @p text.
bool hasFault(const std::vector<ConfigFault> &faults, const std::string &path, const std::string &text);

} // namespace PrimroseBridge::Test
