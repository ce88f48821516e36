#pragma once

#include "primrosebridge/Model/result.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Severity of a log line.
enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

/// Inverse of the lower-case name; InvalidArgument lists the accepted names. Thread-safe.
Result<LogLevel> logLevelFromName(std::string_view name);

/// One key=value pair of a log line.
struct LogField {
    const std::string_view m_key;
    const std::string m_value;
};

/// Starts logging to standard error. Call once, before the first logEvent() and before other threads start.
void startLogging(std::string_view process, LogLevel level);

/// Starts logging to standard output from a thread of its own, so that a reader that does not read never blocks a decision.
///
/// Lines wait in a queue of bounded length; those that find it full are dropped and counted in a later line. Call once, before
/// the first logEvent() and before other threads start.
void startAsyncLogging(std::string_view process, LogLevel level);

/// Writes what startAsyncLogging() has queued, for at most a second, and ends its thread. Call before the process exits.
void stopAsyncLogging();

/// Lines that were dropped since the start. Thread-safe.
std::uint64_t droppedLogLines();

/// Changes the level while running. Thread-safe.
void setLogLevel(LogLevel level);

/// Writes one line `event=NAME key=value …`; values with spaces or quotes are quoted and control characters escaped. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// The text after the event name, as logEvent() writes it. Thread-safe.
std::string formatFields(std::initializer_list<LogField> fields);

} // namespace PrimroseBridge
