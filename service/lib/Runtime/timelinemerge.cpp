#include "primrosebridge/Runtime/timelinemerge.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace PrimroseBridge {

using EventName = std::pair<std::string, std::int64_t>;

// An event on its way into the timeline.
struct MergeItem {
    const ProcessEvents *m_process;
    const TimelineEvent *m_event;
    Instant m_at; // In this process's clock, not before its cause.
};

static std::map<EventName, MergeItem> itemsOf(const std::vector<ProcessEvents> &processes)
{
    std::map<EventName, MergeItem> items;
    for (const auto &process : processes) {
        for (const auto &event : process.m_events) {
            items.emplace(EventName{process.m_vm, event.m_id}, MergeItem{&process, &event, event.m_at + process.m_clockOffset});
        }
    }
    return items;
}

// Moves an event behind its cause if the clocks say otherwise. Chains are followed to a bounded depth, so a damaged cycle ends.
static Instant timeAfterCause(std::map<EventName, MergeItem> &items, const EventName &name, int depth)
{
    constexpr int maxDepth = 64;
    auto &item = items.at(name);
    const auto cause = items.find(EventName{item.m_event->m_cause.m_process, item.m_event->m_cause.m_id});
    if (depth < maxDepth && cause != items.end()) {
        item.m_at = std::max(item.m_at, timeAfterCause(items, cause->first, depth + 1));
    }
    return item.m_at;
}

static TimelineEvent withTime(const TimelineEvent &event, Instant at)
{
    return TimelineEvent{
        .m_id = event.m_id,
        .m_at = at,
        .m_kind = event.m_kind,
        .m_key = event.m_key,
        .m_cause = event.m_cause,
        .m_text = event.m_text,
    };
}

// How many causes an event has behind it; events of one instant are ordered by it.
static int causeDepth(const std::map<EventName, MergeItem> &items, const MergeItem &item)
{
    constexpr int maxDepth = 64;
    int depth = 0;
    const MergeItem *current = &item;
    while (depth < maxDepth) {
        const auto cause = items.find(EventName{current->m_event->m_cause.m_process, current->m_event->m_cause.m_id});
        if (cause == items.end()) {
            break;
        }
        current = &cause->second;
        ++depth;
    }
    return depth;
}

MergedTimeline mergeTimelines(const std::vector<ProcessEvents> &processes, const std::vector<std::string> &missing)
{
    auto items = itemsOf(processes);
    for (const auto &[name, item] : items) {
        timeAfterCause(items, name, 0);
    }
    std::vector<std::tuple<Instant, int, EventName>> order;
    order.reserve(items.size());
    for (const auto &[name, item] : items) {
        order.emplace_back(item.m_at, causeDepth(items, item), name);
    }
    std::sort(order.begin(), order.end());
    std::vector<MergedEvent> events;
    events.reserve(order.size());
    for (const auto &[at, depth, name] : order) {
        events.push_back(MergedEvent{.m_process = name.first, .m_event = withTime(*items.at(name).m_event, at)});
    }
    std::vector<std::string> truncated;
    for (const auto &process : processes) {
        if (process.m_truncated) {
            truncated.push_back(process.m_vm);
        }
    }
    return MergedTimeline{.m_events = events, .m_missing = missing, .m_truncated = truncated};
}

} // namespace PrimroseBridge
