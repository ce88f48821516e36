#include "fleetmain.h"

#include "primrosebridge/Config/fleetsettings.h"
#include "primrosebridge/Fleetservice/fleetapi.h"
#include "primrosebridge/Fleetservice/fleetnode.h"
#include "primrosebridge/FrontEnd/httpserver.h"
#include "primrosebridge/Observe/log.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <malloc.h>

namespace PrimroseBridge {

static constexpr int exitFailure = 1;
static constexpr std::size_t maxBodyBytes = 1024 * 1024;
static constexpr int maxQueuedConnections = 256;
static constexpr int frontThreads = 64; // Connections of callers that stay open, each on a thread.
static constexpr int readinessThreads = 4;
static constexpr int metricsThreads = 2;
static constexpr Duration frontKeepAlive(15000); // As long as the platform's usual limit for idle connections.
// The balancer stops sending connections after two failed checks, one a second.
static constexpr Duration balancerDelay(2300);
// Left of the shutdown time for open connections to be closed and the process to end.
static constexpr Duration shutdownReserve(700);

static FleetSettings readSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    const auto read = readFleetSettings(text.str());
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        throw Error(ErrorKind::InvalidArgument, "the settings in '" + path + "' have faults:\n" + describeFaults(*faults), "correct the fields named above");
    }
    return std::get<FleetSettings>(read);
}

// Signals are taken by this thread alone, so they are blocked before any other thread starts.
static sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// The addresses of a running process stay as they are; the log level follows the settings.
static void reload(const std::string &path)
{
    try {
        const auto settings = readSettings(path);
        setLogLevel(logLevelFromName(settings.m_logLevel).value());
        logEvent(LogLevel::Info, "settings_reloaded", {{"log_level", settings.m_logLevel}});
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "settings_refused", {{"error", error.what()}, {"outcome", "the old ones stay in force"}});
    }
}

static void waitForStop(const sigset_t &signals, const std::string &path)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0) {
        if (signal != SIGHUP) {
            logEvent(LogLevel::Info, "stopping", {{"signal", std::to_string(signal)}});
            return;
        }
        reload(path);
    }
}

static void run(const std::string &path)
{
    // glibc gives each thread its own heap by default, whose unused parts count against the VM's memory.
    constexpr int heaps = 2;
    mallopt(M_ARENA_MAX, heaps);
    const auto signals = blockSignals();
    const auto settings = readSettings(path);
    startAsyncLogging(settings.m_vm.text(), logLevelFromName(settings.m_logLevel).value());
    auto node = FleetNode::create(settings).take();
    auto front = HttpServer::create(HttpServerSettings{.m_address = settings.m_frontAddress,
                                                       .m_threads = frontThreads,
                                                       .m_maxBodyBytes = maxBodyBytes,
                                                       .m_maxQueuedConnections = maxQueuedConnections,
                                                       .m_keepAlive = frontKeepAlive},
                                    [&node](const HttpCall &call) { return answerFleetCall(*node, call); })
                     .take();
    auto readiness = HttpServer::create(HttpServerSettings{.m_address = settings.m_readinessAddress,
                                                           .m_threads = readinessThreads,
                                                           .m_maxBodyBytes = 0,
                                                           .m_maxQueuedConnections = maxQueuedConnections,
                                                           .m_keepAlive = frontKeepAlive},
                                        [&node](const HttpCall &) { return answerReadiness(*node); })
                         .take();
    auto metrics
        = HttpServer::create(
              HttpServerSettings{
                  .m_address = settings.m_metricsAddress, .m_threads = metricsThreads, .m_maxBodyBytes = 0, .m_maxQueuedConnections = maxQueuedConnections},
              [&node](const HttpCall &) { return HttpReply{.m_status = 200, .m_contentType = "text/plain; version=0.0.4", .m_body = node->metrics()}; })
              .take();
    logEvent(LogLevel::Info, "started", {{"zone", settings.m_zone.text()}, {"front", settings.m_frontAddress}, {"store", settings.m_storeAddress}});
    waitForStop(signals, path);
    node->beginShutdown();
    node->handOver();
    std::this_thread::sleep_for(balancerDelay);
    const bool complete = front->drain(settings.m_shutdownBound - balancerDelay - shutdownReserve);
    logEvent(LogLevel::Info, "stopped", {{"calls_in_progress", complete ? "0" : "cut"}});
    // The process ends now. Their threads take longer to end than is left of the shutdown time, so that it would be killed instead.
    static_cast<void>(front.release());
    static_cast<void>(readiness.release());
    static_cast<void>(metrics.release());
    static_cast<void>(node.release());
}

int runFleetNode(const std::string &settingsPath)
{
    try {
        run(settingsPath);
    } catch (const std::exception &error) {
        std::cerr << "primrosebridged: " << error.what() << '\n';
        return exitFailure;
    }
    stopAsyncLogging();
    // gRPC's threads may still be releasing their last calls; destroying protobuf's static objects under them corrupts the heap.
    std::quick_exit(0);
}

} // namespace PrimroseBridge
