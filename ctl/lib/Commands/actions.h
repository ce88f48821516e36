#pragma once

#include "primrosebridge/Commands/run.h"

namespace PrimroseBridge {

// One function for each subcommand. Each prints its result, returns the exit code and throws Error.

ExitCode submitRequest(const Command &command, const Environment &environment);
ExitCode getRequest(const Command &command, const Environment &environment);
ExitCode waitForRequest(const Command &command, const Environment &environment);
ExitCode cancelRequest(const Command &command, const Environment &environment);
ExitCode explainRequest(const Command &command, const Environment &environment);

ExitCode checkConfiguration(const Command &command, const Environment &environment);
ExitCode checkSettings(const Command &command, const Environment &environment);

ExitCode showConfiguration(const Command &command, const Environment &environment);
ExitCode diffConfiguration(const Command &command, const Environment &environment);
ExitCode applyConfiguration(const Command &command, const Environment &environment);
ExitCode listConfigurationHistory(const Command &command, const Environment &environment);
ExitCode rollbackConfiguration(const Command &command, const Environment &environment);

ExitCode showFleet(const Command &command, const Environment &environment);
ExitCode showTimeline(const Command &command, const Environment &environment);
ExitCode setLogLevel(const Command &command, const Environment &environment);

} // namespace PrimroseBridge
