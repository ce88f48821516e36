#pragma once

#include <string>
#include <vector>

namespace PrimroseBridge {

/// Returns the help of the subcommand that @p arguments begin with. If they begin with no subcommand, returns the overview
/// of all subcommands. Both contain the common options and the exit codes. Thread-safe.
std::string helpText(const std::vector<std::string> &arguments);

} // namespace PrimroseBridge
