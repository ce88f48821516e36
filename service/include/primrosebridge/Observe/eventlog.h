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

/// Names an event of any process.
struct EventReference {
    const std::string m_process; ///< VM; empty if there is no such event.
    const std::int64_t m_id;

    bool operator==(const EventReference &) const = default;
};

/// One event of the timeline.
struct TimelineEvent {
    const std::int64_t m_id; ///< Unique within the process, rising.
    const Instant m_at; ///< This process's clock.
    const std::string m_kind; ///< lower_snake_case.
    const std::string m_key; ///< Request key; empty if none.
    const EventReference m_cause;
    const std::string m_text; ///< key=value pairs.

    bool operator==(const TimelineEvent &) const = default;
};

/// The most recent events of this process, in a ring of bounded size.
///
/// Thread-safe.
class EventLog
{
public:
    /// Precondition: capacity > 0.
    EventLog(std::string process, std::size_t capacity);

    /// Adds an event and returns its reference, to be named as the cause of later ones.
    EventReference record(Instant at, std::string_view kind, std::string_view key, const EventReference &cause, std::string text);

    /// Events at or after @p since, oldest first, those of @p key only if it is not empty.
    [[nodiscard]] std::vector<TimelineEvent> since(Instant since, std::string_view key) const;

    /// True if events at or after @p since have been dropped from the ring.
    [[nodiscard]] bool truncatedSince(Instant since) const;

    /// The name of this process in references.
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
