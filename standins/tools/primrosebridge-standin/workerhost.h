#pragma once

#include "worker.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace PrimroseBridge::Standin {

/// Milliseconds since the Unix epoch, from a clock that never goes backwards. Thread-safe.
Instant steadyNow();

/// The faults in a message of POST /standin/workers. Throws nlohmann::json::exception if malformed. Thread-safe.
FaultChange faultChangeFromJson(const nlohmann::json &message);

/// Every worker of the process and the thread that ends what is due. All functions are thread-safe.
class WorkerHost
{
public:
    explicit WorkerHost(const std::vector<WorkerSpec> &specs);
    ~WorkerHost();
    WorkerHost(const WorkerHost &) = delete;
    WorkerHost &operator=(const WorkerHost &) = delete;

    /// The worker, or nullptr.
    Worker *find(const std::string &id) const;
    /// Applies a change to the workers that @p message selects by worker, zone or rack; returns how many these are.
    int change(const nlohmann::json &message);
    [[nodiscard]] nlohmann::json books() const;
    /// Must be called after each call to a worker, so that the thread learns of new times.
    void wake();
    /// Ends the thread, and every pending and every later call without an answer.
    void stop();

private:
    void run();
    std::optional<Instant> advanceAll();

    WorkerBooks m_books;
    CheckpointStore m_checkpoints;
    std::map<std::string, std::unique_ptr<Worker>> m_workers; ///< Not changed after construction.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_woken = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace PrimroseBridge::Standin
