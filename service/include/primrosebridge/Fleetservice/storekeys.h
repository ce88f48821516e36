#pragma once

#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Where the product keeps its own keys in the platform's store.
struct StoreKeys {
    static constexpr std::string_view control = "primrosebridge/control/"; ///< Owner and VMs.
    static constexpr std::string_view owner = "primrosebridge/control/owner";
    static constexpr std::string_view vms = "primrosebridge/control/vm/";
    static constexpr std::string_view inbox = "primrosebridge/in/"; ///< What callers asked for.
    static constexpr std::string_view submissions = "primrosebridge/in/job/";
    static constexpr std::string_view cancellations = "primrosebridge/in/cancel/";
    static constexpr std::string_view roster = "primrosebridge/roster"; ///< Workers that may run something.
    static constexpr std::string_view progress = "primrosebridge/progress/"; ///< Written by the owner alone.
};

inline std::string submissionKey(const std::string &job)
{
    return std::string(StoreKeys::submissions) + job;
}

inline std::string cancellationKey(const std::string &job)
{
    return std::string(StoreKeys::cancellations) + job;
}

inline std::string progressKey(const std::string &job)
{
    return std::string(StoreKeys::progress) + job;
}

} // namespace PrimroseBridge
