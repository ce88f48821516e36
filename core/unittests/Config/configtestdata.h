#pragma once

#include "primrosebridge/Config/reader.h"

#include <string>
#include <vector>

namespace PrimroseBridge::Test {

/// Returns the content of a file. The test fails if the file cannot be read.
std::string readFile(const std::string &path);

/// Returns a valid document with one zone, two workers in one rack, one organisation, one job class and one guarantee.
std::string smallDocument();

/// Returns smallDocument() with the first occurrence of @p from replaced by @p to. The test fails if @p from does not occur.
std::string smallDocumentWith(const std::string &from, const std::string &to);

/// Returns the faults of a configuration document. The test fails if the document is valid.
std::vector<ConfigFault> readFaults(const std::string &document);

/// Returns true if a fault has the path @p path and @p text occurs in its problem or remedy.
bool hasFault(const std::vector<ConfigFault> &faults, const std::string &path, const std::string &text);

} // namespace PrimroseBridge::Test
