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
static constexpr std::size_t maxPreviewBytes = 256 * 1024; // A VM forwards a preview in a gRPC message, which has at most 1 MiB.
static constexpr int maxQueuedConnections = 256;
static constexpr int callerThreads = 64; // Each open connection of a caller occupies a thread.
static constexpr int readinessThreads = 4;
// A preview occupies a thread for at most 2 s and one a second is served, so that at least two threads are left for the metrics page.
static constexpr int metricsThreads = 5;
static constexpr Duration idleConnectionTimeout(15000); // The platform's usual limit for idle connections.
// The load balancer checks once a second and stops sending connections after two failed checks.
static constexpr Duration balancerDrainTime(2300);
// The part of the shutdown time that is left for closing open connections and ending the process.
static constexpr Duration shutdownReserve(700);

static FleetSettings readSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = readFleetSettings(text.str());
    if (const auto *configFaults = std::get_if<std::vector<ConfigFault>>(&parsed)) {
        throw Error(
            ErrorKind::InvalidArgument, "the settings in '" + path + "' have faults:\n" + describeFaults(*configFaults), "correct the fields named above");
    }
    return std::get<FleetSettings>(parsed);
}

// Only this thread waits for these signals, so they are blocked before any other thread starts and inherits the signal mask.
static sigset_t blockHandledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

// Of the settings, only the log level takes effect in a running process.
static void reloadLogLevel(const std::string &path)
{
    try {
        const auto settings = readSettings(path);
        setLogLevel(logLevelFromName(settings.m_logLevel).value());
        logEvent(LogLevel::Info, "settings_reloaded", {{"log_level", settings.m_logLevel}});
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "settings_refused", {{"error", error.what()}, {"outcome", "the previous settings stay in force"}});
    }
}

static void waitForStopSignal(const sigset_t &signals, const std::string &path)
{
    int signal = 0;
    while (sigwait(&signals, &signal) == 0) {
        if (signal != SIGHUP) {
            logEvent(LogLevel::Info, "stopping", {{"signal", std::to_string(signal)}});
            return;
        }
        reloadLogLevel(path);
    }
}

static void runUntilStopped(const std::string &path)
{
    // By default glibc gives each thread an arena of its own, whose unused parts count against the VM's memory.
    constexpr int maxArenas = 2;
    mallopt(M_ARENA_MAX, maxArenas);
    const auto signals = blockHandledSignals();
    const auto settings = readSettings(path);
    startAsyncLogging(settings.m_vm.text(), logLevelFromName(settings.m_logLevel).value());
    auto ownedNode = FleetNode::create(settings).take();
    // The servers' threads use the node until the process ends, also after this function has returned.
    FleetNode *const node = ownedNode.get();
    auto callerServer = HttpServer::create(HttpServerSettings{.m_address = settings.m_frontAddress,
                                                              .m_maxThreads = callerThreads,
                                                              .m_maxBodyBytes = maxBodyBytes,
                                                              .m_maxQueuedConnections = maxQueuedConnections,
                                                              .m_keepAliveTimeout = idleConnectionTimeout},
                                           [node](const HttpCall &call) { return answerFleetCall(*node, call); })
                            .take();
    auto readinessServer = HttpServer::create(HttpServerSettings{.m_address = settings.m_readinessAddress,
                                                                 .m_maxThreads = readinessThreads,
                                                                 .m_maxBodyBytes = 0,
                                                                 .m_maxQueuedConnections = maxQueuedConnections,
                                                                 .m_keepAliveTimeout = idleConnectionTimeout},
                                              [node](const HttpCall &) { return answerReadiness(*node); })
                               .take();
    auto metricsServer = HttpServer::create(HttpServerSettings{.m_address = settings.m_metricsAddress,
                                                               .m_maxThreads = metricsThreads,
                                                               .m_maxBodyBytes = maxPreviewBytes,
                                                               .m_maxQueuedConnections = maxQueuedConnections},
                                            [node](const HttpCall &call) { return answerMetricsCall(*node, call); })
                             .take();
    logEvent(LogLevel::Info, "started", {{"zone", settings.m_zone.text()}, {"front", settings.m_frontAddress}, {"store", settings.m_storeAddress}});
    waitForStopSignal(signals, path);
    node->beginShutdown();
    node->handOver();
    std::this_thread::sleep_for(balancerDrainTime);
    const bool complete = callerServer->drain(settings.m_shutdownBound - balancerDrainTime - shutdownReserve);
    logEvent(LogLevel::Info, "stopped", {{"calls_in_progress", complete ? "0" : "cut"}});
    // These objects are not destroyed, because their threads take longer to end than is left of the shutdown time, after which the
    // process is killed.
    static_cast<void>(callerServer.release());
    static_cast<void>(readinessServer.release());
    static_cast<void>(metricsServer.release());
    static_cast<void>(ownedNode.release());
}

int runFleetNode(const std::string &settingsPath)
{
    try {
        runUntilStopped(settingsPath);
    } catch (const std::exception &error) {
        std::cerr << "primrosebridged: " << error.what() << '\n';
        return exitFailure;
    }
    stopAsyncLogging();
    // This skips static destructors: gRPC's threads may still be releasing calls, and destroying protobuf's static objects meanwhile corrupts
    // the heap.
    std::quick_exit(0);
}

} // namespace PrimroseBridge
