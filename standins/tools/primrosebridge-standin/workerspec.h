#pragma once

#include "primrosebridge/Model/result.h"

#include <cstdint>
#include <string>
#include <vector>

namespace PrimroseBridge::Standin {

/// One worker of the configuration document, as far as the stand-in needs it.
struct WorkerSpec {
    const std::string m_id;
    const std::string m_zone;
    const std::string m_rack;
    const int m_cores;
    const std::int64_t m_memoryMb;
    const int m_accelerators;

    bool operator==(const WorkerSpec &) const = default;
};

/// The workers of @p document (JSON with comments) whose address is @p address. Does not check the rest of the document.
/// Errors: InvalidArgument if it is malformed, NotFound if no worker has the address. Thread-safe.
Result<std::vector<WorkerSpec>> readWorkerSpecs(const std::string &document, const std::string &address);

} // namespace PrimroseBridge::Standin
