#pragma once

#include "primrosebridge/Commands/run.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace PrimroseBridge::Test {

/// Records what a command does and plays back scripted answers. Time passes only by sleeping and by calls.
struct FakeProcess {
    std::deque<Result<ServerAnswer>> m_answers; ///< The next answers, whichever server is asked.
    std::vector<std::string> m_servers; ///< The servers that were asked, in order.
    std::vector<ServerCall> m_calls;
    std::map<std::string, std::string> m_files;
    std::string m_output;
    std::string m_errors;
    Duration m_elapsed = Duration(0);

    /// Replaces the script.
    void willAnswer(const std::vector<Result<ServerAnswer>> &answers);

    /// Functions that refer to this object, which must outlive them.
    Environment environment();
};

/// Parses the words and options and runs them; the test fails if they do not parse.
ExitCode run(FakeProcess &process, const std::vector<std::string> &words, const std::map<std::string, std::string> &options = {});

} // namespace PrimroseBridge::Test
