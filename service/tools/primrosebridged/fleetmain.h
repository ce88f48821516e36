#pragma once

#include <string>

namespace PrimroseBridge {

/// Runs this process as an entry VM of a fleet until SIGTERM or SIGINT. Returns the exit code. Call once, from main().
int runFleetNode(const std::string &settingsPath);

} // namespace PrimroseBridge
