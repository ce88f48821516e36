#include "primrosebridge/Observe/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "primrosebridge/Pipeline/boundedqueue.h"

#include <atomic>
#include <cstdio>
#include <memory>
#include <thread>

namespace PrimroseBridge {

// The queue holds about 400 KB of lines, which is several seconds of a heavy burst.
static constexpr std::size_t maxQueuedLines = 2000;
static constexpr std::size_t linesPerBatch = 64;

namespace {

struct QueuedLine {
    LogLevel m_level;
    std::string m_text;
};

// The queue of log lines and the thread that writes them.
struct LogQueue {
    BoundedQueue<QueuedLine> m_lines{maxQueuedLines};
    std::atomic<std::uint64_t> m_droppedLines = 0;
    std::atomic<bool> m_writerFinished = false;
    std::thread m_thread;
};

} // namespace

// Never destroyed, because other threads may log until the process ends.
static std::atomic<LogQueue *> logQueue = nullptr;

static log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
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

static log4cplus::Logger serviceLogger()
{
    // The initializer must outlive every logger, so it is destroyed only at the end of the process.
    static const log4cplus::Initializer initializer;
    return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("primrosebridge"));
}

static void configureLogger(std::string_view process, LogLevel level, bool toStandardError)
{
    auto processLogger = serviceLogger();
    const auto flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    const std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + std::string(process) + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    processLogger.removeAllAppenders();
    processLogger.addAppender(appender);
    processLogger.setAdditivity(false);
    setLogLevel(level);
}

void startLogging(std::string_view process, LogLevel level)
{
    configureLogger(process, level, true);
}

static void writeQueuedLines(LogQueue &queue)
{
    std::uint64_t reportedDropped = 0;
    while (true) {
        const auto lines = queue.m_lines.popBatch(linesPerBatch);
        if (lines.empty()) {
            break;
        }
        for (const auto &line : lines) {
            serviceLogger().log(toLog4cplusLevel(line.m_level), line.m_text, __FILE__, __LINE__);
        }
        const auto dropped = queue.m_droppedLines.load();
        if (dropped != reportedDropped) {
            serviceLogger().log(log4cplus::WARN_LOG_LEVEL, "event=log_lines_dropped total=" + std::to_string(dropped), __FILE__, __LINE__);
            reportedDropped = dropped;
        }
    }
    queue.m_writerFinished = true;
}

void startAsyncLogging(std::string_view process, LogLevel level)
{
    configureLogger(process, level, false);
    auto *queue = new LogQueue; // Never destroyed, like logQueue.
    queue->m_thread = std::thread([queue] { writeQueuedLines(*queue); });
    logQueue = queue;
}

void stopAsyncLogging()
{
    auto *queue = logQueue.load();
    if (!queue) {
        return;
    }
    queue->m_lines.close();
    constexpr int maxWaits = 50;
    for (int waits = 0; waits < maxWaits && !queue->m_writerFinished; ++waits) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    queue->m_thread.detach();
}

std::uint64_t droppedLogLines()
{
    const auto *queue = logQueue.load();
    return queue ? queue->m_droppedLines.load() : 0;
}

void setLogLevel(LogLevel level)
{
    serviceLogger().setLogLevel(toLog4cplusLevel(level));
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
    auto activeLogger = serviceLogger();
    const auto log4cplusLevel = toLog4cplusLevel(level);
    if (!activeLogger.isEnabledFor(log4cplusLevel)) {
        return;
    }
    std::string line = "event=" + std::string(event);
    const std::string fieldsText = formatFields(fields);
    if (!fieldsText.empty()) {
        line += ' ' + fieldsText;
    }
    if (auto *queue = logQueue.load()) {
        if (!queue->m_lines.tryPush(QueuedLine{.m_level = level, .m_text = std::move(line)})) {
            ++queue->m_droppedLines;
        }
        return;
    }
    activeLogger.log(log4cplusLevel, line, __FILE__, __LINE__);
}

} // namespace PrimroseBridge
