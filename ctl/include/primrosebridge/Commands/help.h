#pragma once

#include <string>
#include <vector>

namespace PrimroseBridge {

/// The help text. If @p words start with a subcommand, the text of this subcommand with its options and examples; otherwise
/// the overview of all subcommands with the common options and the exit codes. Thread-safe.
std::string helpText(const std::vector<std::string> &words);

} // namespace PrimroseBridge
