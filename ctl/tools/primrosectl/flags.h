#pragma once

#include "primrosebridge/Commands/command.h"

#include <string>
#include <vector>

namespace PrimroseBridge {

/// Splits the command line and checks each value against the type of its flag. InvalidArgument names the faulty option.
Result<Arguments> parseArguments(const std::vector<std::string> &arguments);

} // namespace PrimroseBridge
