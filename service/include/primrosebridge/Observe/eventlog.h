#pragma once

#include "primrosebridge/Model/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Identifies an event of any process.
struct EventReference {
    const std::string m_process; ///< The VM of the process; empty if the reference names no event.
    const std::int64_t m_id;

    bool operator==(const EventReference &) const = default;
};

/// One event of the timeline.
struct TimelineEvent {
    const std::int64_t m_id; ///< Unique within the process, and higher than the ids of earlier events.
    const Instant m_at; ///< Wall clock of the process that recorded the event.
    const std::string m_kind; ///< The kind of event, in lower_snake_case.
    const std::string m_key; ///< The key of the request; empty if the event concerns none.
    const EventReference m_cause;
    const std::string m_text; ///< Details as key=value pairs.

    bool operator==(const TimelineEvent &) const = default;
};

/// Keeps the most recent events of this process in a ring buffer.
///
/// Thread-safe.
class EventLog
{
public:
    /// Precondition: capacity > 0.
    EventLog(std::string process, std::size_t capacity);

    /// Adds an event, dropping the oldest one if the buffer is full. Returns its reference, which later events can name as their cause.
    EventReference record(Instant at, std::string_view kind, std::string_view key, const EventReference &cause, std::string text);

    /// Returns the events at or after @p since, oldest first. If @p key is not empty, only the events with that key are returned.
    [[nodiscard]] std::vector<TimelineEvent> since(Instant since, std::string_view key) const;

    /// Returns true if events at or after @p since have been dropped from the buffer.
    [[nodiscard]] bool truncatedSince(Instant since) const;

    /// Returns the name of this process, as event references use it.
    [[nodiscard]] const std::string &process() const
    {
        return m_process;
    }

private:
    const std::string m_process;
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<TimelineEvent> m_events;
    std::int64_t m_nextId = 1;
    bool m_dropped = false;
    Instant m_lastDroppedAt;
};

} // namespace PrimroseBridge
