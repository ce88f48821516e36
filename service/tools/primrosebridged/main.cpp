#include "fleetmain.h"

#include "primrosebridge/Config/reader.h"
#include "primrosebridge/FrontEnd/api.h"
#include "primrosebridge/FrontEnd/httpserver.h"
#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Runtime/node.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <malloc.h>

ABSL_FLAG(std::string, settings, "", "File with the settings of this process (JSON with comments). Required.");
ABSL_FLAG(std::string, log_level, "", "trace, debug, info, warn or error; overrides the settings.");
ABSL_FLAG(int, drain_ms, 1500, "Time between failing the readiness check and handing the zone over on SIGTERM, in milliseconds.");

namespace PrimroseBridge {

constexpr int exitUsage = 2;
constexpr int exitFailure = 1;
constexpr Duration callsInProgressTimeout = Duration(35000); // Longer than any caller waits.
constexpr std::size_t maxBodyBytes = 1024 * 1024;
constexpr int maxQueuedConnections = 512;

static std::string readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw Error(ErrorKind::InvalidArgument, "cannot read the settings file '" + path + "'", "pass --settings=FILE with a readable file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

static ProcessSettings readSettings(const std::string &path)
{
    const auto parsed = readProcessSettings(readFile(path));
    if (const auto *configFaults = std::get_if<std::vector<ConfigFault>>(&parsed)) {
        throw Error(
            ErrorKind::InvalidArgument, "the settings in '" + path + "' have faults:\n" + describeFaults(*configFaults), "correct the fields named above");
    }
    return std::get<ProcessSettings>(parsed);
}

// Only this thread waits for these signals, so they are blocked before any other thread starts and inherits the signal mask.
static sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

static void runUntilStopped(const ProcessSettings &settings)
{
    // By default glibc gives each thread an arena of its own, whose unused parts count against the 32 MB of memory of a VM.
    constexpr int maxArenas = 2;
    mallopt(M_ARENA_MAX, maxArenas);
    const auto signals = blockStopSignals();
    const auto level = absl::GetFlag(FLAGS_log_level).empty() ? settings.m_logLevel : absl::GetFlag(FLAGS_log_level);
    startLogging(settings.m_vm.text(), logLevelFromName(level).value());
    const auto node = Node::create(settings).take();
    const HttpServerSettings httpSettings{
        .m_address = settings.m_httpAddress,
        .m_maxThreads = settings.m_httpThreads,
        .m_maxBodyBytes = maxBodyBytes,
        .m_maxQueuedConnections = maxQueuedConnections,
    };
    const auto server = HttpServer::create(httpSettings, [&node](const HttpCall &call) { return answerCall(*node, call); }).take();
    logEvent(LogLevel::Info, "started", {{"zone", settings.m_zone.text()}, {"http", settings.m_httpAddress}, {"peer", settings.m_peerAddress}});

    int signal = 0;
    sigwait(&signals, &signal);
    logEvent(LogLevel::Info, "stopping", {{"signal", std::to_string(signal)}});
    node->announceStop();
    std::this_thread::sleep_for(std::chrono::milliseconds(absl::GetFlag(FLAGS_drain_ms)));
    node->handOver();
    const bool complete = server->drain(callsInProgressTimeout);
    logEvent(LogLevel::Info, "stopped", {{"calls_in_progress", complete ? "0" : "cut"}});
}

} // namespace PrimroseBridge

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("The service on each entry VM. Usage: primrosebridged --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    const char *fleetSettings = std::getenv("PRIMROSEBRIDGE_CONFIG");
    if (absl::GetFlag(FLAGS_settings).empty() && fleetSettings) {
        return PrimroseBridge::runFleetNode(fleetSettings);
    }
    if (absl::GetFlag(FLAGS_settings).empty()) {
        std::cerr << "primrosebridged: --settings=FILE is missing; see docs/OPERATIONS.md\n";
        return PrimroseBridge::exitUsage;
    }
    try {
        PrimroseBridge::runUntilStopped(PrimroseBridge::readSettings(absl::GetFlag(FLAGS_settings)));
    } catch (const std::exception &error) {
        std::cerr << "primrosebridged: " << error.what() << '\n';
        return PrimroseBridge::exitFailure;
    }
    // This skips static destructors: gRPC's threads may still be releasing calls, and destroying protobuf's static objects meanwhile has
    // corrupted the heap.
    std::quick_exit(0);
}
