#include "consolestatuspages.h"

#include "consolehtml.h"
#include "formdecoding.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdio>
#include <map>

namespace PrimroseBridge {

constexpr std::size_t maxShownEvents = 200; // More events would make the diagram unreadable and the page too large.

static std::string paragraphHtml(const std::string &text)
{
    return "<p>" + escapeHtml(text) + "</p>";
}

static std::string zoneRoleHtml(const ZoneReport &report, const MembershipView &membership, const std::string &owner)
{
    const auto zone = "This VM is " + membership.m_self.text() + " in zone " + membership.m_selfZone.text() + ". ";
    if (report.m_owned) {
        return paragraphHtml(zone + "It owns the zone under fence " + std::to_string(report.m_fence) + ".");
    }
    const auto ownerText = owner.empty() ? std::string("The owner is not known.") : "The owner is " + owner + ".";
    return paragraphHtml(zone + "It does not own the zone, so it has no report of it. " + ownerText + " Open the console on the owner.");
}

static std::string workersTableHtml(const ZoneReport &report)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &worker : report.m_workers) {
        rows.push_back({worker.m_worker.m_id.text(),
                        worker.m_worker.m_rack.text(),
                        worker.m_status + (worker.m_ejected ? ", ejected" : ""),
                        std::to_string(std::popcount(worker.m_usable)),
                        std::to_string(std::popcount(worker.m_free)),
                        std::to_string(worker.m_tasks)});
    }
    return htmlTable("Workers of the zone", {"Worker", "Rack", "Status", "Usable accelerators", "Free accelerators", "Tasks"}, rows);
}

static std::string peersTableHtml(const MembershipView &membership)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &[vm, peer] : membership.m_peers) {
        rows.push_back({vm.text(),
                        peer.m_zone.text(),
                        std::string(peerStatusName(peer.m_status)),
                        std::to_string(peer.m_configurationVersion),
                        peer.m_storeReachable ? "yes" : "no"});
    }
    return htmlTable("Other entry VMs", {"VM", "Zone", "Status", "Configuration version", "Reaches the store"}, rows);
}

HttpReply fleetPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session)
{
    const auto summary = paragraphHtml("Running: " + std::to_string(report.m_running) + ". Queued: " + std::to_string(report.m_queued)
                                       + ". Fragmentation: " + std::to_string(std::lround(report.m_fragmentation * 100)) + "% of the free accelerators.");
    const auto body
        = zoneRoleHtml(report, membership, owner) + (report.m_owned ? summary + workersTableHtml(report) : std::string()) + peersTableHtml(membership);
    return consolePage(200, "Fleet", body, session.m_forgeryToken);
}

HttpReply queuesPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &[zone, summary] : membership.m_zones) {
        if (zone == membership.m_selfZone && report.m_owned) {
            continue;
        }
        rows.push_back({zone.text(), summary.m_owner, std::to_string(summary.m_queued), std::to_string(summary.m_freeAccelerators)});
    }
    if (report.m_owned) {
        int free = 0;
        for (const auto &worker : report.m_workers) {
            free += std::popcount(worker.m_free);
        }
        rows.push_back({membership.m_selfZone.text(), membership.m_self.text(), std::to_string(report.m_queued), std::to_string(free)});
    }
    const auto body = zoneRoleHtml(report, membership, owner) + htmlTable("Queues by zone", {"Zone", "Owner", "Queued requests", "Free accelerators"}, rows);
    return consolePage(200, "Queues", body, session.m_forgeryToken);
}

HttpReply guaranteeStatusPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session)
{
    std::vector<std::vector<std::string>> rows;
    for (const auto &status : report.m_guarantees) {
        // The shapes that are neither held, free nor short are lent to other organisations.
        const int lentCount = std::max(0, status.m_guarantee.m_count - status.m_held - status.m_free - status.m_short);
        rows.push_back({status.m_guarantee.m_organisation.text(),
                        describeShape(status.m_guarantee.m_shape),
                        std::to_string(status.m_guarantee.m_count),
                        std::to_string(status.m_held),
                        std::to_string(status.m_free),
                        std::to_string(lentCount),
                        std::to_string(status.m_reclaimable),
                        std::to_string(status.m_short)});
    }
    const auto table = htmlTable("Guarantees of the zone", {"Organisation", "Shape", "Count", "Held", "Free", "Lent", "Reclaimable", "Short"}, rows);
    return consolePage(200, "Guarantees in force", zoneRoleHtml(report, membership, owner) + (report.m_owned ? table : std::string()), session.m_forgeryToken);
}

// Formats the time of day in UTC. The date is left out, because the page shows only the events of the past 10 minutes.
static std::string formatTimeOfDay(Instant at)
{
    const std::chrono::hh_mm_ss time(at - std::chrono::floor<std::chrono::days>(at));
    char text[32];
    const auto toInt = [](auto value) { return static_cast<int>(value.count()); };
    std::snprintf(text, sizeof text, "%02d:%02d:%02d.%03d", toInt(time.hours()), toInt(time.minutes()), toInt(time.seconds()), toInt(time.subseconds()));
    return text;
}

static std::string svgAttribute(const std::string &name, int value)
{
    return " " + name + "=\"" + std::to_string(value) + "\"";
}

static std::string svgText(int x, int y, const std::string &text)
{
    return "<text" + svgAttribute("x", x) + svgAttribute("y", y) + " font-size=\"12\">" + escapeHtml(text) + "</text>";
}

struct Point {
    const int m_x;
    const int m_y;

    bool operator==(const Point &) const = default;
};

static std::string svgLine(const Point &from, const Point &to, const std::string &colour)
{
    return "<line" + svgAttribute("x1", from.m_x) + svgAttribute("y1", from.m_y) + svgAttribute("x2", to.m_x) + svgAttribute("y2", to.m_y) + " stroke=\""
           + colour + "\"/>";
}

// In user units of the SVG element.
constexpr int svgWidth = 960;
constexpr int svgLabelWidth = 160;
constexpr int svgLaneHeight = 36;

// Maps each process to the number of its lane. The first lane has number 1.
static std::map<std::string, int> assignLanes(const std::vector<MergedEvent> &events)
{
    std::map<std::string, int> lanes;
    for (const auto &event : events) {
        lanes.emplace(event.m_process, 0);
    }
    int next = 1;
    for (auto &[process, lane] : lanes) {
        lane = next++;
    }
    return lanes;
}

using EventPoints = std::map<std::pair<std::string, std::int64_t>, Point>;

static EventPoints placeEventPoints(const std::vector<MergedEvent> &events, const std::map<std::string, int> &lanes)
{
    const auto earlier = [](const MergedEvent &left, const MergedEvent &right) { return left.m_event.m_at < right.m_event.m_at; };
    const auto [first, last] = std::minmax_element(events.begin(), events.end(), earlier);
    const auto span = std::max<long long>(1, (last->m_event.m_at - first->m_event.m_at).count());
    EventPoints points;
    for (const auto &event : events) {
        const auto offset = (event.m_event.m_at - first->m_event.m_at).count() * (svgWidth - svgLabelWidth - 20) / span;
        points.emplace(std::pair(event.m_process, event.m_event.m_id),
                       Point{svgLabelWidth + static_cast<int>(offset), lanes.at(event.m_process) * svgLaneHeight});
    }
    return points;
}

static std::string causeLineSvg(const EventPoints &points, const MergedEvent &event)
{
    const auto cause = points.find({event.m_event.m_cause.m_process, event.m_event.m_cause.m_id});
    if (cause == points.end()) {
        return {};
    }
    const auto &to = points.at({event.m_process, event.m_event.m_id});
    return svgLine(cause->second, to, "#767676");
}

static std::string eventDotSvg(const Point &point, const MergedEvent &event)
{
    const auto title = formatTimeOfDay(event.m_event.m_at) + " " + event.m_process + " " + event.m_event.m_kind + " " + event.m_event.m_key;
    return "<circle" + svgAttribute("cx", point.m_x) + svgAttribute("cy", point.m_y) + " r=\"5\" fill=\"#1f4e9c\"><title>" + escapeHtml(title)
           + "</title></circle>";
}

std::string timelineSvg(const std::vector<MergedEvent> &events)
{
    if (events.empty()) {
        return {};
    }
    const auto lanes = assignLanes(events);
    const auto points = placeEventPoints(events, lanes);
    const int height = (static_cast<int>(lanes.size()) + 1) * svgLaneHeight;
    auto svg = "<svg viewBox=\"0 0 " + std::to_string(svgWidth) + " " + std::to_string(height) + R"(" role="img" aria-labelledby="picture-title">)";
    svg += R"(<title id="picture-title">Events by process over time; the table below lists them</title>)";
    for (const auto &[process, lane] : lanes) {
        const int y = lane * svgLaneHeight;
        svg += svgText(0, y + 4, truncateForDisplay(process));
        svg += svgLine(Point{svgLabelWidth, y}, Point{svgWidth - 10, y}, "#c8c8c8");
    }
    for (const auto &event : events) {
        svg += causeLineSvg(points, event);
    }
    for (const auto &event : events) {
        svg += eventDotSvg(points.at({event.m_process, event.m_event.m_id}), event);
    }
    return svg + "</svg>";
}

static std::string processListHtml(const std::string &label, const std::vector<std::string> &processes)
{
    if (processes.empty()) {
        return {};
    }
    std::string text = label;
    for (const auto &process : processes) {
        text += " " + process;
    }
    return paragraphHtml(text);
}

HttpReply eventsPage(const MergedTimeline &timeline, const ConsoleSession &session)
{
    const auto shownCount = std::min(maxShownEvents, timeline.m_events.size());
    const std::vector<MergedEvent> events(timeline.m_events.end() - static_cast<std::ptrdiff_t>(shownCount), timeline.m_events.end());
    std::vector<std::vector<std::string>> rows;
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        const auto &cause = event->m_event.m_cause;
        rows.push_back({formatTimeOfDay(event->m_event.m_at),
                        event->m_process,
                        event->m_event.m_kind,
                        event->m_event.m_key,
                        event->m_event.m_text,
                        cause.m_process.empty() ? "" : cause.m_process + " " + std::to_string(cause.m_id)});
    }
    const auto body
        = processListHtml("Processes that did not answer:", timeline.m_missing)
          + processListHtml("Processes that no longer hold all events:", timeline.m_truncated)
          + paragraphHtml("The last " + std::to_string(shownCount) + " of " + std::to_string(timeline.m_events.size()) + " events of the past 10 minutes.")
          + timelineSvg(events) + htmlTable("Events, newest first", {"Time (UTC)", "Process", "Event", "Request", "Details", "Cause"}, rows);
    return consolePage(200, "Events", body, session.m_forgeryToken);
}

} // namespace PrimroseBridge
