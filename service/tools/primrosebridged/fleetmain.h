#pragma once

#include <string>

namespace PrimroseBridge {

/// Runs this process as an entry VM of a fleet with the settings file at @p settingsPath, until SIGTERM or SIGINT. Call once, from main().
/// Returns the exit code if it fails, and ends the process otherwise.
int runFleetNode(const std::string &settingsPath);

} // namespace PrimroseBridge
