#include "storeservice.h"
#include "workerservice.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

ABSL_FLAG(std::string, host, "127.0.0.1", "IP number on which every port listens");
ABSL_FLAG(std::vector<std::string>, store_ports, {}, "ports of the store and the VM list, separated by commas; empty for no store");
ABSL_FLAG(std::string, workers_address, "", "IP number and port of the gRPC interface of the workers; empty for no workers");
ABSL_FLAG(std::string, workers_configuration, "", "configuration document; its workers with --workers_address are served");
ABSL_FLAG(int, workers_control_port, 0, "port for the faults and the books of the workers");

namespace PrimroseBridge::Standin {

static int checkedPort(const std::string &flag, int port)
{
    if (port < 1 || port > UINT16_MAX) {
        throw Error(ErrorKind::InvalidArgument, flag + ": " + std::to_string(port) + " is not a port", "use 1 to 65535");
    }
    return port;
}

static std::vector<std::uint16_t> storePorts()
{
    std::vector<std::uint16_t> ports;
    for (const auto &text : absl::GetFlag(FLAGS_store_ports)) {
        ports.push_back(static_cast<std::uint16_t>(checkedPort("--store_ports", std::stoi(text))));
    }
    return ports;
}

static std::shared_ptr<WorkerService> startWorkers()
{
    const std::string path = absl::GetFlag(FLAGS_workers_configuration);
    std::ifstream file(path);
    if (!file) {
        throw Error(ErrorKind::NotFound, "--workers_configuration: '" + path + "' cannot be read", "name the configuration document");
    }
    const std::string document{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    const std::string address = absl::GetFlag(FLAGS_workers_address);
    const auto specs = readWorkerSpecs(document, address).value();
    const int port = checkedPort("--workers_control_port", absl::GetFlag(FLAGS_workers_control_port));
    return WorkerService::create(specs, address, absl::GetFlag(FLAGS_host), static_cast<std::uint16_t>(port)).value();
}

// Blocks SIGTERM and SIGINT in all threads, so that only sigwait() receives them.
static sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

static int run()
{
    const sigset_t signals = blockStopSignals();
    std::shared_ptr<StoreService> store;
    if (const auto ports = storePorts(); !ports.empty()) {
        store = StoreService::create(absl::GetFlag(FLAGS_host), ports).value();
    }
    std::shared_ptr<WorkerService> workers;
    if (!absl::GetFlag(FLAGS_workers_address).empty()) {
        workers = startWorkers();
    }
    if (!store && !workers) {
        throw Error(ErrorKind::InvalidArgument, "no role is set", "set --store_ports, --workers_address or both");
    }
    std::cout << "ready" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace PrimroseBridge::Standin

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Stand-ins for the platform's store, VM list and workers. For tests and demos only.");
    absl::ParseCommandLine(argc, argv);
    try {
        return PrimroseBridge::Standin::run();
    } catch (const PrimroseBridge::Error &error) {
        std::cerr << error.message() << "; " << error.remedy() << std::endl;
    } catch (const std::exception &error) {
        std::cerr << error.what() << std::endl;
    }
    return 1;
}
