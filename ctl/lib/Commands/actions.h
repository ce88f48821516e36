#pragma once

#include "primrosebridge/Commands/run.h"

namespace PrimroseBridge {

// Each function runs one subcommand, prints the result and returns the exit code. It throws Error if a step fails.

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
ExitCode previewPlacement(const Command &command, const Environment &environment);
ExitCode setLogLevel(const Command &command, const Environment &environment);

} // namespace PrimroseBridge
