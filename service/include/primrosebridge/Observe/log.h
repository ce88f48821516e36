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

/// Returns the level with the lower-case @p name. Fails with InvalidArgument, listing the accepted names, if there is none. Thread-safe.
Result<LogLevel> logLevelFromName(std::string_view name);

/// One key=value pair of a log line.
struct LogField {
    const std::string_view m_key;
    const std::string m_value;
};

/// Starts logging to standard error. Call once, before the first logEvent() and before other threads start.
void startLogging(std::string_view process, LogLevel level);

/// Starts logging to standard output from a thread of its own, so that a slow reader of the output never blocks a thread that logs.
///
/// Lines wait in a bounded queue. While it is full, new lines are dropped and counted, and a later line reports the count. Call
/// once, before the first logEvent() and before other threads start.
void startAsyncLogging(std::string_view process, LogLevel level);

/// Waits for at most a second until the queued lines are written, and refuses further lines. Call before the process exits. Does nothing
/// unless startAsyncLogging() was called.
void stopAsyncLogging();

/// Returns the number of lines that have been dropped since the start of the process. Thread-safe.
std::uint64_t droppedLogLines();

/// Changes the level of a running process. Thread-safe.
void setLogLevel(LogLevel level);

/// Writes one line `event=NAME key=value …`; values with spaces or quotes are quoted and control characters escaped. Thread-safe.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Formats the fields of a log line as logEvent() writes them after the event name. Thread-safe.
std::string formatFields(std::initializer_list<LogField> fields);

} // namespace PrimroseBridge
