#include "fakeprocess.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge::Test {

static Result<ServerResponse> recordCallAndRespond(FakeProcess &process, const std::string &server, const ServerCall &call)
{
    process.m_calledServers.push_back(server);
    process.m_calls.push_back(call);
    process.m_elapsedTime += Duration(10);
    if (process.m_responses.empty()) {
        return Error(ErrorKind::Unavailable, "no scripted response is left", "add one");
    }
    auto response = process.m_responses.front();
    process.m_responses.pop_front();
    return response;
}

void FakeProcess::setResponses(const std::vector<Result<ServerResponse>> &responses)
{
    m_responses.clear();
    for (const auto &response : responses) {
        m_responses.push_back(response);
    }
}

Environment FakeProcess::environment()
{
    return {[this](const std::string &server, const ServerCall &call, Duration) { return recordCallAndRespond(*this, server, call); },
            [this] { return m_elapsedTime; },
            [this] { return fromMilliseconds(1000000) + m_elapsedTime; },
            [this](Duration pause) { m_elapsedTime += pause; },
            [this](const std::string &text) { m_stdoutText += text; },
            [this](const std::string &text) { m_stderrText += text; },
            [this](const std::string &path) -> Result<std::string> {
                const auto file = m_files.find(path);
                if (file == m_files.end()) {
                    return Error(ErrorKind::InvalidArgument, "file '" + path + "' cannot be opened", "check the path");
                }
                return file->second;
            },
            [] { return std::string("ctl-0001"); }};
}

ExitCode runSubcommand(FakeProcess &process, const std::vector<std::string> &positionals, const std::map<std::string, std::string> &options)
{
    const auto command = parseCommand({positionals, options}, "demo-token");
    if (!command.ok()) {
        FAIL(command.error().what());
    }
    return runCommand(command.value(), process.environment());
}

} // namespace PrimroseBridge::Test
