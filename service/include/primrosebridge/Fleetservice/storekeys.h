#pragma once

#include <string>
#include <string_view>

namespace PrimroseBridge {

/// Keys and key prefixes of this service in the platform's store.
struct StoreKeys {
    static constexpr std::string_view control = "primrosebridge/control/"; ///< Holds the keys of the owner and of the entry VMs.
    static constexpr std::string_view owner = "primrosebridge/control/owner";
    static constexpr std::string_view vms = "primrosebridge/control/vm/";
    static constexpr std::string_view inbox = "primrosebridge/in/"; ///< Holds the submissions and cancellations of callers.
    static constexpr std::string_view submissions = "primrosebridge/in/job/";
    static constexpr std::string_view cancellations = "primrosebridge/in/cancel/";
    static constexpr std::string_view roster = "primrosebridge/roster"; ///< Lists the workers to which the owner may have given tasks.
    static constexpr std::string_view lateStarts = "primrosebridge/late-starts"; ///< Names the jobs whose unanswered starts a worker may execute late.
    static constexpr std::string_view speeds = "primrosebridge/speeds"; ///< Holds the learnt speeds of machines.
    static constexpr std::string_view progress = "primrosebridge/progress/"; ///< Holds one record per job, which only the owner writes.
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
