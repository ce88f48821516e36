#pragma once

#include "primrosebridge/Commands/run.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace PrimroseBridge::Test {

/// Fake environment: records a command's calls and output, and returns scripted responses. Its clock advances only while the
/// command sleeps and by a fixed time for each call.
struct FakeProcess {
    std::deque<Result<ServerResponse>> m_responses; ///< Remaining scripted responses, used in order for calls to any server.
    std::vector<std::string> m_calledServers; ///< Server of each call in m_calls.
    std::vector<ServerCall> m_calls;
    std::map<std::string, std::string> m_files; ///< Contents of the readable files by path.
    std::string m_stdoutText;
    std::string m_stderrText;
    Duration m_elapsedTime = Duration(0);

    /// Replaces the remaining scripted responses.
    void setResponses(const std::vector<Result<ServerResponse>> &responses);

    /// Returns functions that use this object, which must outlive them.
    Environment environment();
};

/// Parses and runs a command line; the test fails if parsing fails.
ExitCode runSubcommand(FakeProcess &process, const std::vector<std::string> &positionals, const std::map<std::string, std::string> &options = {});

} // namespace PrimroseBridge::Test
