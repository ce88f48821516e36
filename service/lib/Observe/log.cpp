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

// About 400 KB of lines: several seconds of a heavy burst.
static constexpr std::size_t maxQueuedLines = 2000;
static constexpr std::size_t linesPerBatch = 64;

namespace {

struct QueuedLine {
    LogLevel m_level;
    std::string m_text;
};

// The queue and the thread that empties it.
struct LogQueue {
    BoundedQueue<QueuedLine> m_lines{maxQueuedLines};
    std::atomic<std::uint64_t> m_dropped = 0;
    std::atomic<bool> m_done = false;
    std::thread m_thread;
};

} // namespace

// Never destroyed: other threads may log until the process ends.
static std::atomic<LogQueue *> logQueue = nullptr;

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

static void addAppender(std::string_view process, LogLevel level, bool toStandardError)
{
    auto root = logger();
    const auto flushEachLine = true;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(toStandardError, flushEachLine));
    const std::string pattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p process=" + std::string(process) + " %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setAdditivity(false);
    setLogLevel(level);
}

void startLogging(std::string_view process, LogLevel level)
{
    addAppender(process, level, true);
}

static void writeLines(LogQueue &queue)
{
    std::uint64_t reported = 0;
    while (true) {
        const auto lines = queue.m_lines.popBatch(linesPerBatch);
        if (lines.empty()) {
            break;
        }
        for (const auto &line : lines) {
            logger().log(toLibraryLevel(line.m_level), line.m_text, __FILE__, __LINE__);
        }
        const auto dropped = queue.m_dropped.load();
        if (dropped != reported) {
            logger().log(log4cplus::WARN_LOG_LEVEL, "event=log_lines_dropped total=" + std::to_string(dropped), __FILE__, __LINE__);
            reported = dropped;
        }
    }
    queue.m_done = true;
}

void startAsyncLogging(std::string_view process, LogLevel level)
{
    addAppender(process, level, false);
    auto *queue = new LogQueue; // See logQueue.
    queue->m_thread = std::thread([queue] { writeLines(*queue); });
    logQueue = queue;
}

void stopAsyncLogging()
{
    auto *queue = logQueue.load();
    if (!queue) {
        return;
    }
    queue->m_lines.close();
    constexpr int steps = 50;
    for (int step = 0; step < steps && !queue->m_done; ++step) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    queue->m_thread.detach();
}

std::uint64_t droppedLogLines()
{
    const auto *queue = logQueue.load();
    return queue ? queue->m_dropped.load() : 0;
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
    if (auto *queue = logQueue.load()) {
        if (!queue->m_lines.tryPush(QueuedLine{.m_level = level, .m_text = std::move(line)})) {
            ++queue->m_dropped;
        }
        return;
    }
    target.log(libraryLevel, line, __FILE__, __LINE__);
}

} // namespace PrimroseBridge
