#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace PrimroseBridge::Standin {

/// How a call that cannot be served ends.
enum class Refusal {
    None,
    Close, ///< The connection is closed without an answer.
    Unavailable, ///< Status 503.
    Hang, ///< No answer until the fault ends, then the connection is closed.
};

/// Faults in force on the store. A port or a VM that is listed is refused in the way given by m_refusal.
struct StoreFaults {
    const std::chrono::milliseconds m_delay;
    const Refusal m_down;
    const Refusal m_refusal;
    const std::set<int> m_refusedPorts;
    const std::set<std::string> m_refusedVms;

    bool operator==(const StoreFaults &) const = default;
};

using StoreFaultsPointer = std::shared_ptr<const StoreFaults>;

/// The faults after the changes that @p message names; fields: delayMs, down, refusal ("none", "close", "503" or "hang"), refusePorts,
/// refuseVms. Throws nlohmann::json::exception or std::invalid_argument on malformed input. Thread-safe.
StoreFaults changeFaults(const StoreFaults &faults, const nlohmann::json &message);

/// How a call from @p vm (may be empty) on @p port is refused. Thread-safe.
Refusal refusalOf(const StoreFaults &faults, int port, const std::string &vm);

/// The faults in force, the VM list and the counts of calls. All functions are thread-safe.
class StoreControl
{
public:
    StoreFaultsPointer faults() const;
    /// Applies a message of POST /standin/faults: the fields of changeFaults(), loseWriteAnswers, closeWatches and vms.
    void change(const nlohmann::json &message);
    /// True if the answer to a write that took effect must be lost; counts down.
    bool takeLostAnswer();
    /// Rises with each request to close every watch.
    std::int64_t watchGeneration() const;
    nlohmann::json vms() const;
    void count(const std::string &kind);
    nlohmann::json books() const;
    /// Sleeps for @p time or until stop().
    void sleepFor(std::chrono::milliseconds time);
    /// Waits until @p faults are no longer in force, at most 60 s.
    void waitForChange(const StoreFaultsPointer &faults);
    void stop();

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreFaultsPointer m_faults = std::make_shared<const StoreFaults>(StoreFaults{std::chrono::milliseconds(0), Refusal::None, Refusal::Close, {}, {}});
    int m_lostAnswers = 0;
    std::int64_t m_watchGeneration = 0;
    nlohmann::json m_vms = nlohmann::json::array();
    std::map<std::string, std::int64_t> m_counts;
    bool m_stopping = false;
};

} // namespace PrimroseBridge::Standin
