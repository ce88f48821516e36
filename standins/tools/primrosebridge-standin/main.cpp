#include "storeservice.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, host, "127.0.0.1", "IP number on which every port listens");
ABSL_FLAG(std::vector<std::string>, store_ports, {}, "ports of the store and the VM list, separated by commas; empty for no store");

namespace PrimroseBridge::Standin {

static std::vector<std::uint16_t> storePorts()
{
    std::vector<std::uint16_t> ports;
    for (const auto &text : absl::GetFlag(FLAGS_store_ports)) {
        const int port = std::stoi(text);
        if (port < 1 || port > UINT16_MAX) {
            throw Error(ErrorKind::InvalidArgument, "--store_ports: " + text + " is not a port", "use 1 to 65535");
        }
        ports.push_back(static_cast<std::uint16_t>(port));
    }
    return ports;
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
    if (!store) {
        throw Error(ErrorKind::InvalidArgument, "no role is set", "set --store_ports");
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
