#pragma once

#include "httpport.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace PrimroseBridge::Standin {

/// The stand-in store and VM list on one or several ports.
class StoreService
{
public:
    /// Serves one store on every port of @p ports. Errors: Unavailable.
    static Result<std::shared_ptr<StoreService>> create(const std::string &host, const std::vector<std::uint16_t> &ports);
    ~StoreService();
    StoreService(const StoreService &) = delete;
    StoreService &operator=(const StoreService &) = delete;

private:
    struct Private;
    explicit StoreService(std::unique_ptr<Private> state);
    std::unique_ptr<Private> m_private;
};

} // namespace PrimroseBridge::Standin
