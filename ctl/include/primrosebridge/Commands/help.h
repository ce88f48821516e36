#pragma once

#include <string>

namespace PrimroseBridge {

/// The help text of all subcommands, with options, examples and exit codes. Thread-safe.
std::string helpText();

} // namespace PrimroseBridge
