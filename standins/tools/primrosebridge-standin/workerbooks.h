#pragma once

#include "task.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace PrimroseBridge::Standin {

/// A task as it was last seen on a worker.
struct BookEntry {
    const std::string m_worker;
    const std::string m_zone;
    const TaskPointer m_task;

    bool operator==(const BookEntry &) const = default;
};

/// What the tasks of one request key amount to.
struct KeySummary {
    const int m_attempts; ///< Attempts of which a task was started.
    const int m_starts;
    const int m_repeatedRuns; ///< Starts of a member that had been started before, except those that resume from a checkpoint.
    const int m_overlappingRuns; ///< Pairs of tasks of different attempts that ran at the same time.
    const Duration m_longestPartial; ///< Longest time for which some members of an attempt ran while another had not started or had been stopped.

    bool operator==(const KeySummary &) const = default;
};

/// Summarizes the tasks of one request key; running tasks count up to @p now. Thread-safe.
KeySummary summarize(const std::vector<TaskPointer> &tasks, Instant now);

/// Every task ever held by the workers of this process. All functions are thread-safe.
class WorkerBooks
{
public:
    /// Adds a task and returns its number.
    std::size_t add(const std::string &worker, const std::string &zone, const TaskPointer &task);
    void update(std::size_t number, const TaskPointer &task);
    /// Counts an event such as a refused command.
    void count(const std::string &event);
    [[nodiscard]] nlohmann::json toJson(Instant now) const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::shared_ptr<const BookEntry>> m_entries;
    std::map<std::string, std::int64_t> m_counts;
};

} // namespace PrimroseBridge::Standin
