#include "primrosebridge/Observe/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <cstdio>
#include <memory>

namespace PrimroseBridge {

static log4cplus::LogLevel toLibraryLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

Result<LogLevel> logLevelFromName(std::string_view name)
{
    if (name == "trace") {
        return LogLevel::Trace;
    }
    if (name == "debug") {
        return LogLevel::Debug;
    }
    if (name == "info") {
        return LogLevel::Info;
    }
    if (name == "warn") {
        return LogLevel::Warn;
    }
    if (name == "error") {
        return LogLevel::Error;
    }
    return Error(ErrorKind::InvalidArgument, "log level '" + std::string(name) + "' does not exist", "use trace, debug, info, warn or error");
}

static log4cplus::Logger logger()
{
    // The initializer must outlive every logger, so it lives until the process ends.
    static const log4cplus::Initializer initializer;
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("primrosebridge"));
}

void startLogging(std::string_view process, LogLevel level)
{
    auto root = logger();
    const auto toStandardError = true;
    const auto flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    const std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + std::string(process) + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setAdditivity(false);
    setLogLevel(level);
}

void setLogLevel(LogLevel level)
{
    logger().setLogLevel(toLibraryLevel(level));
}

static void appendEscaped(std::string &line, char character)
{
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
        return;
    }
    if (byte < 0x20 || byte == 0x7f) {
        char escaped[8];
        std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
        line += escaped;
        return;
    }
    line += character;
}

static bool needsQuotes(std::string_view value)
{
    if (value.empty()) {
        return true;
    }
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte <= 0x20 || byte == 0x7f || character == '"' || character == '=' || character == '\\') {
            return true;
        }
    }
    return false;
}

static void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value) {
        appendEscaped(line, character);
    }
    line += '"';
}

std::string formatFields(std::initializer_list<LogField> fields)
{
    std::string line;
    for (const auto &field : fields) {
        if (!line.empty()) {
            line += ' ';
        }
        line += field.m_key;
        line += '=';
        appendValue(line, field.m_value);
    }
    return line;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    auto target = logger();
    const auto libraryLevel = toLibraryLevel(level);
    if (!target.isEnabledFor(libraryLevel)) {
        return;
    }
    std::string line = "event=" + std::string(event);
    const std::string rest = formatFields(fields);
    if (!rest.empty()) {
        line += ' ' + rest;
    }
    target.log(libraryLevel, line, __FILE__, __LINE__);
}

} // namespace PrimroseBridge
