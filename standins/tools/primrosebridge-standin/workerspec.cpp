#include "workerspec.h"

#include "primrosebridge/Model/fleet.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge::Standin {

static WorkerSpec readSpec(const nlohmann::json &worker)
{
    const int accelerators = worker.at("accelerators").get<int>();
    if (accelerators < 0 || accelerators > maxAcceleratorsPerWorker) {
        throw Error(ErrorKind::InvalidArgument, "a worker has " + std::to_string(accelerators) + " accelerators", "use 0 to 32");
    }
    return {worker.at("id").get<std::string>(),
            worker.at("zone").get<std::string>(),
            worker.at("rack").get<std::string>(),
            worker.at("cores").get<int>(),
            worker.at("memoryMb").get<std::int64_t>(),
            accelerators};
}

Result<std::vector<WorkerSpec>> readWorkerSpecs(const std::string &document, const std::string &address)
{
    std::vector<WorkerSpec> specs;
    try {
        const auto configuration = nlohmann::json::parse(document, nullptr, true, true);
        for (const auto &worker : configuration.at("workers")) {
            if (worker.at("address").get<std::string>() == address) {
                specs.push_back(readSpec(worker));
            }
        }
    } catch (const nlohmann::json::exception &error) {
        return Error(ErrorKind::InvalidArgument, std::string("the configuration cannot be read: ") + error.what(), "check it with primrosectl config check");
    } catch (const Error &error) {
        return error;
    }
    if (specs.empty()) {
        return Error(ErrorKind::NotFound, "no worker has the address " + address, "set --workers_address to an address of the configuration");
    }
    return specs;
}

} // namespace PrimroseBridge::Standin
