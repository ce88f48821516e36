#include "fakeprocess.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge::Test {

static Result<ServerAnswer> playBack(FakeProcess &process, const std::string &server, const ServerCall &call)
{
    process.m_servers.push_back(server);
    process.m_calls.push_back(call);
    process.m_elapsed += Duration(10);
    if (process.m_answers.empty()) {
        return Error(ErrorKind::Unavailable, "the script has no further answer", "add one");
    }
    auto answer = process.m_answers.front();
    process.m_answers.pop_front();
    return answer;
}

void FakeProcess::willAnswer(const std::vector<Result<ServerAnswer>> &answers)
{
    m_answers.clear();
    for (const auto &answer : answers) {
        m_answers.push_back(answer);
    }
}

Environment FakeProcess::environment()
{
    return {[this](const std::string &server, const ServerCall &call, Duration) { return playBack(*this, server, call); },
            [this] { return m_elapsed; },
            [this] { return fromMilliseconds(1000000) + m_elapsed; },
            [this](Duration pause) { m_elapsed += pause; },
            [this](const std::string &text) { m_output += text; },
            [this](const std::string &text) { m_errors += text; },
            [this](const std::string &path) -> Result<std::string> {
                const auto file = m_files.find(path);
                if (file == m_files.end()) {
                    return Error(ErrorKind::InvalidArgument, "file '" + path + "' cannot be opened", "check the path");
                }
                return file->second;
            },
            [] { return std::string("ctl-0001"); }};
}

ExitCode run(FakeProcess &process, const std::vector<std::string> &words, const std::map<std::string, std::string> &options)
{
    const auto command = parseCommand({words, options}, "demo-token");
    if (!command.ok()) {
        FAIL(command.error().what());
    }
    return runCommand(command.value(), process.environment());
}

} // namespace PrimroseBridge::Test
