#pragma once

#include "primrosebridge/Commands/command.h"

#include <string>
#include <vector>

namespace PrimroseBridge {

/// Splits the command line and checks each value against the type of its flag. Returns InvalidArgument with the name of the
/// faulty option if it is invalid.
Result<Arguments> parseArguments(const std::vector<std::string> &arguments);

} // namespace PrimroseBridge
