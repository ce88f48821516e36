#include "primrosebridge/Observe/eventlog.h"

#include <cassert>

namespace PrimroseBridge {

EventLog::EventLog(std::string process, std::size_t capacity)
    : m_process(std::move(process))
    , m_capacity(capacity)
{
    assert(capacity > 0 && "the capacity of an event log must be positive");
}

EventReference EventLog::record(Instant at, std::string_view kind, std::string_view key, const EventReference &cause, std::string text)
{
    const std::lock_guard lock(m_mutex);
    if (m_events.size() >= m_capacity) {
        m_lastDroppedAt = m_events.front().m_at;
        m_dropped = true;
        m_events.pop_front();
    }
    const std::int64_t id = m_nextId++;
    m_events.push_back(TimelineEvent{
        .m_id = id,
        .m_at = at,
        .m_kind = std::string(kind),
        .m_key = std::string(key),
        .m_cause = cause,
        .m_text = std::move(text),
    });
    return EventReference{m_process, id};
}

std::vector<TimelineEvent> EventLog::since(Instant since, std::string_view key) const
{
    std::vector<TimelineEvent> selected;
    const std::lock_guard lock(m_mutex);
    for (const auto &event : m_events) {
        if (event.m_at >= since && (key.empty() || event.m_key == key)) {
            selected.push_back(event);
        }
    }
    return selected;
}

bool EventLog::truncatedSince(Instant since) const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped && m_lastDroppedAt >= since;
}

} // namespace PrimroseBridge
