#include "flags.h"

#include "primrosebridge/Commands/help.h"
#include "primrosebridge/Commands/run.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace PrimroseBridge {

/// Upper limit for a file's size; larger than any document or payload that a server accepts.
constexpr std::size_t maxFileBytes = 4 * 1024 * 1024;

static Result<std::string> readStream(const std::string &name, std::istream &stream)
{
    std::string text(maxFileBytes + 1, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    if (stream.bad()) {
        return Error(ErrorKind::InvalidArgument, "file '" + name + "' cannot be read to its end", "check that it is a regular file");
    }
    if (text.size() > maxFileBytes) {
        return Error(ErrorKind::TooLarge, "file '" + name + "' has more than " + std::to_string(maxFileBytes) + " bytes", "pass a shorter file");
    }
    return text;
}

static Result<std::string> readFile(const std::string &path)
{
    if (path == "-") {
        return readStream("standard input", std::cin);
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return Error(ErrorKind::InvalidArgument, "file '" + path + "' cannot be opened", "check the path and its permissions");
    }
    return readStream(path, file);
}

static std::string generateRequestKey()
{
    std::random_device random;
    std::ostringstream key;
    key << "ctl-" << std::hex;
    for (int i = 0; i < 4; ++i) {
        key.width(8);
        key.fill('0');
        key << random();
    }
    return key.str();
}

static Environment makeProcessEnvironment(const std::string &token)
{
    using Clock = std::chrono::steady_clock;
    const auto start = Clock::now();
    return {makeHttpSender(token),
            [start] { return std::chrono::duration_cast<Duration>(Clock::now() - start); },
            [] { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); },
            [](Duration pause) { std::this_thread::sleep_for(pause); },
            [](const std::string &text) { std::cout << text << std::flush; },
            [](const std::string &text) { std::cerr << text << std::flush; },
            readFile,
            generateRequestKey};
}

static ExitCode runCommandLine(const std::vector<std::string> &arguments)
{
    if (arguments.empty() || std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        (arguments.empty() ? std::cerr : std::cout) << helpText(arguments);
        return arguments.empty() ? ExitCode::InvalidArgument : ExitCode::Done;
    }
    const auto writeStderr = [](const std::string &text) { std::cerr << text; };
    const bool isJson = std::find(arguments.begin(), arguments.end(), "--output=json") != arguments.end();
    const auto output = isJson ? OutputFormat::Json : OutputFormat::Table;
    const auto splitResult = parseArguments(arguments);
    if (!splitResult.ok()) {
        return reportError(splitResult.error(), output, writeStderr);
    }
    const auto *token = std::getenv("PRIMROSEBRIDGE_TOKEN"); // NOLINT(concurrency-mt-unsafe): no other thread runs yet.
    const auto command = parseCommand(splitResult.value(), token == nullptr ? "" : token);
    if (!command.ok()) {
        return reportError(command.error(), output, writeStderr);
    }
    return runCommand(command.value(), makeProcessEnvironment(command.value().m_globalOptions.m_token));
}

} // namespace PrimroseBridge

int main(int argc, char **argv)
{
    // If a server closes a connection early, the write must fail with an error instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto code = PrimroseBridge::runCommandLine(std::vector<std::string>(argv + 1, argv + std::max(argc, 1)));
    return static_cast<int>(code);
}
