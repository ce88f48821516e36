#pragma once

#include "primrosebridge/Model/result.h"
#include "workerspec.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace PrimroseBridge::Standin {

/// The stand-in workers behind one gRPC port, and their control port for faults and books.
class WorkerService
{
public:
    /// Serves @p specs on @p address and the control port on @p controlHost. Errors: Unavailable.
    static Result<std::shared_ptr<WorkerService>>
    create(const std::vector<WorkerSpec> &specs, const std::string &address, const std::string &controlHost, std::uint16_t controlPort);
    ~WorkerService();
    WorkerService(const WorkerService &) = delete;
    WorkerService &operator=(const WorkerService &) = delete;

private:
    struct Private;
    explicit WorkerService(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge::Standin
