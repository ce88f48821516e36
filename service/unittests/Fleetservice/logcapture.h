#pragma once

#include "primrosebridge/Observe/log.h"

#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// Collects the log lines of this process while it exists. No other thread may log during its construction and destruction.
class LogCapture
{
public:
    explicit LogCapture(LogLevel level)
        : m_before(std::cerr.rdbuf(m_text.rdbuf()))
    {
        startLogging("test", level);
    }
    ~LogCapture()
    {
        setLogLevel(LogLevel::Error);
        std::cerr.rdbuf(m_before);
    }
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /// Returns the captured lines of an event, from "event=" on.
    [[nodiscard]] std::vector<std::string> lines(const std::string &event) const
    {
        std::vector<std::string> found;
        std::istringstream text(m_text.str());
        for (std::string line; std::getline(text, line);) {
            const auto start = line.find("event=" + event + " ");
            if (start != std::string::npos) {
                found.push_back(line.substr(start));
            }
        }
        return found;
    }

private:
    std::ostringstream m_text;
    std::streambuf *const m_before;
};

} // namespace PrimroseBridge
