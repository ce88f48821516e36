#include "workerbooks.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace PrimroseBridge::Standin {

using Json = nlohmann::json;

namespace {

// Owners count attempts on their own, so only fence and attempt together tell two attempts apart.
using Attempt = std::pair<std::int64_t, int>;

Attempt attemptOf(const Task &task)
{
    return {task.m_name.m_fence, task.m_name.m_attempt};
}

bool ran(const TaskPointer &task)
{
    return task->m_life.m_startedAt.has_value();
}

Instant endOf(const Task &task, Instant now)
{
    return task.m_life.m_endedAt.value_or(now);
}

bool overlap(const Task &left, const Task &right, Instant now)
{
    return *left.m_life.m_startedAt < endOf(right, now) && *right.m_life.m_startedAt < endOf(left, now);
}

int countOverlaps(const std::vector<TaskPointer> &tasks, Instant now)
{
    int pairs = 0;
    for (auto left = tasks.begin(); left != tasks.end(); ++left) {
        pairs += static_cast<int>(std::count_if(
            left + 1, tasks.end(), [&](const TaskPointer &right) { return attemptOf(**left) != attemptOf(*right) && overlap(**left, *right, now); }));
    }
    return pairs;
}

int countRepeats(const std::vector<TaskPointer> &tasks)
{
    std::set<int> members;
    int repeats = 0;
    for (const auto &task : tasks) {
        const bool first = members.insert(task->m_name.m_member).second;
        repeats += !first && !task->m_resumed ? 1 : 0;
    }
    return repeats;
}

bool runsAt(const Task &task, Instant at, Instant now)
{
    return task.m_life.m_startedAt && *task.m_life.m_startedAt <= at && at < endOf(task, now);
}

// A member is missing before its start and after an end other than success. A failed member ends the gang too, but the others
// must be stopped, so it counts as missing.
bool missingAt(const Task &task, Instant at)
{
    if (task.m_life.m_startedAt && at < *task.m_life.m_startedAt) {
        return true;
    }
    if (!task.m_life.m_startedAt) {
        return true;
    }
    return task.m_life.m_endedAt && at >= *task.m_life.m_endedAt && task.m_life.m_state != TaskStatus::Done;
}

bool partialAt(const std::vector<TaskPointer> &gang, Instant at, Instant now)
{
    const bool someRun = std::any_of(gang.begin(), gang.end(), [&](const TaskPointer &task) { return runsAt(*task, at, now); });
    return someRun && std::any_of(gang.begin(), gang.end(), [&](const TaskPointer &task) { return missingAt(*task, at); });
}

Duration longestPartial(const std::vector<TaskPointer> &gang, Instant now)
{
    std::set<Instant> changes{now};
    for (const auto &task : gang) {
        if (ran(task)) {
            changes.insert(*task->m_life.m_startedAt);
            changes.insert(endOf(*task, now));
        }
    }
    Duration longest(0);
    Duration current(0);
    for (auto at = changes.begin(); std::next(at) != changes.end(); ++at) {
        current = partialAt(gang, *at, now) ? current + (*std::next(at) - *at) : Duration(0);
        longest = std::max(longest, current);
    }
    return longest;
}

Json encodeTask(const BookEntry &entry)
{
    const Task &task = *entry.m_task;
    const auto timeOrNull = [](const std::optional<Instant> &time) { return time ? Json(toMilliseconds(*time)) : Json(); };
    return {{"key", task.m_name.m_key},
            {"fence", task.m_name.m_fence},
            {"attempt", task.m_name.m_attempt},
            {"member", task.m_name.m_member},
            {"class", task.m_jobClass},
            {"worker", entry.m_worker},
            {"zone", entry.m_zone},
            {"accelerators", task.m_demand.m_accelerators},
            {"resumed", task.m_resumed},
            {"heldMs", toMilliseconds(task.m_life.m_heldAt)},
            {"startedMs", timeOrNull(task.m_life.m_startedAt)},
            {"finishedMs", timeOrNull(task.m_life.m_endedAt)},
            {"state", taskStatusName(task.m_life.m_state)},
            {"ending", task.m_life.m_ending}};
}

Json encodeSummary(const KeySummary &summary)
{
    return {{"attempts", summary.m_attempts},
            {"starts", summary.m_starts},
            {"repeatedRuns", summary.m_repeatedRuns},
            {"overlappingRuns", summary.m_overlappingRuns},
            {"longestPartialMs", summary.m_longestPartial.count()}};
}

} // namespace

KeySummary summarize(const std::vector<TaskPointer> &tasks, Instant now)
{
    std::map<Attempt, std::vector<TaskPointer>> attempts;
    std::vector<TaskPointer> runs;
    std::set<Attempt> startedAttempts;
    for (const auto &task : tasks) {
        attempts[attemptOf(*task)].push_back(task);
        if (ran(task)) {
            runs.push_back(task);
            startedAttempts.insert(attemptOf(*task));
        }
    }
    std::sort(runs.begin(), runs.end(), [](const auto &left, const auto &right) { return left->m_life.m_startedAt < right->m_life.m_startedAt; });
    Duration partial(0);
    for (const auto &[attempt, gang] : attempts) {
        partial = std::max(partial, longestPartial(gang, now));
    }
    return {static_cast<int>(startedAttempts.size()), static_cast<int>(runs.size()), countRepeats(runs), countOverlaps(runs, now), partial};
}

std::size_t WorkerBooks::add(const std::string &worker, const std::string &zone, const TaskPointer &task)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back(std::make_shared<const BookEntry>(BookEntry{worker, zone, task}));
    return m_entries.size() - 1;
}

void WorkerBooks::update(std::size_t number, const TaskPointer &task)
{
    const std::lock_guard lock(m_mutex);
    assert(number < m_entries.size() && "a task is added before it is updated");
    const auto &old = *m_entries[number];
    m_entries[number] = std::make_shared<const BookEntry>(BookEntry{old.m_worker, old.m_zone, task});
}

void WorkerBooks::count(const std::string &event)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts[event];
}

Json WorkerBooks::toJson(Instant now) const
{
    std::unique_lock lock(m_mutex);
    const auto entries = m_entries;
    const Json counts = m_counts;
    lock.unlock();
    Json books = {{"nowMs", toMilliseconds(now)}, {"counts", counts}, {"tasks", Json::array()}, {"keys", Json::object()}};
    std::map<std::string, std::vector<TaskPointer>> byKey;
    for (const auto &entry : entries) {
        books["tasks"].push_back(encodeTask(*entry));
        byKey[entry->m_task->m_name.m_key].push_back(entry->m_task);
    }
    for (const auto &[key, tasks] : byKey) {
        books["keys"][key] = encodeSummary(summarize(tasks, now));
    }
    return books;
}

} // namespace PrimroseBridge::Standin
