#include "primrosebridge/Commands/format.h"

#include "jsonerrors.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <set>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;
using Rows = std::vector<std::vector<std::string>>;

/// Formats an object member as the text of a table cell, or `-` if it is missing or null. Throws if @p object is no object.
static std::string cellText(const Json &object, const char *name)
{
    object.get_ref<const Json::object_t &>(); // Throws if the value is no object.
    const auto member = object.find(name);
    if (member == object.end() || member->is_null()) {
        return "-";
    }
    return member->is_string() ? member->get<std::string>() : member->dump();
}

/// Returns the elements of a list member. Throws if the member is missing or no list.
static const Json::array_t &listMember(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::array_t &>();
}

static std::string formatWorkers(const Json::array_t &workers)
{
    Rows rows{{"WORKER", "RACK", "STATUS", "EJECTED", "ACCELERATORS", "FREE", "TASKS"}};
    for (const auto &worker : workers) {
        const auto tasks = worker.find("tasks");
        const bool tasksIsList = tasks != worker.end() && tasks->is_array();
        rows.push_back({cellText(worker, "id"),
                        cellText(worker, "rack"),
                        cellText(worker, "status"),
                        cellText(worker, "ejected"),
                        cellText(worker, "accelerators"),
                        cellText(worker, "free"),
                        tasksIsList ? std::to_string(tasks->size()) : cellText(worker, "tasks")});
    }
    return formatTable(rows);
}

/// Formats a list of objects as a table with one column for each member of the first object.
static std::string formatObjects(const Json &objects)
{
    std::vector<std::string> heading;
    for (const auto &member : objects.front().items()) {
        heading.push_back(member.key());
    }
    Rows rows{heading};
    for (const auto &object : objects) {
        std::vector<std::string> row;
        row.reserve(heading.size());
        for (const auto &name : heading) {
            row.push_back(cellText(object, name.c_str()));
        }
        rows.push_back(row);
    }
    return formatTable(rows);
}

std::string formatFleet(std::string_view json)
{
    return translateJsonErrors("fleet", [json] {
        const auto fleet = Json::parse(json);
        auto text = formatTable({{"zone", cellText(fleet, "zone")},
                                 {"owner", cellText(fleet, "owner")},
                                 {"role", cellText(fleet, "role")},
                                 {"fragmentation", cellText(fleet, "fragmentation")}});
        text += "\n" + formatWorkers(listMember(fleet, "workers"));
        const auto guarantees = fleet.value("guarantees", Json::array());
        return text + "\n" + (guarantees.empty() ? "no guarantees\n" : formatObjects(guarantees));
    });
}

static std::string formatPlaces(const Json::array_t &places)
{
    Rows rows{{"STEP", "TASK", "WORKER", "ZONE", "RACK", "RUN_MS"}};
    for (const auto &place : places) {
        rows.push_back({cellText(place, "step"),
                        cellText(place, "task"),
                        cellText(place, "worker"),
                        cellText(place, "zone"),
                        cellText(place, "rack"),
                        cellText(place, "estimatedRunMs")});
    }
    return places.empty() ? "nothing starts now\n" : formatTable(rows);
}

std::string formatPreview(std::string_view json)
{
    return translateJsonErrors("preview", [json] {
        const auto preview = Json::parse(json);
        auto text = formatTable({{"decision", preview.at("decision").get<std::string>()},
                                 {"rank", cellText(preview, "rank")},
                                 {"reason", cellText(preview, "reason")},
                                 {"waiting tasks", cellText(preview, "waitingTasks")},
                                 {"estimated wait ms", cellText(preview, "estimatedWaitMs")},
                                 {"configuration", cellText(preview, "configuration")},
                                 {"owner", cellText(preview, "owner")}});
        text += "\n" + formatPlaces(listMember(preview, "places"));
        const auto &victims = listMember(preview, "victims");
        return text + "\n" + (victims.empty() ? "nothing is stopped\n" : formatObjects(preview.at("victims")));
    });
}

static std::string formatTime(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1000;
    std::tm utc = {};
    if (milliseconds < 0 || gmtime_r(&seconds, &utc) == nullptr) {
        return std::to_string(milliseconds);
    }
    std::array<char, 32> text = {};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
    std::array<char, 8> fraction = {};
    std::snprintf(fraction.data(), fraction.size(), ".%03dZ", static_cast<int>(milliseconds % 1000));
    return std::string(text.data(), length) + fraction.data();
}

static std::string formatEventName(const Json &event, const char *process, const char *id)
{
    return cellText(event, process) == "-" || cellText(event, process).empty() ? "-" : cellText(event, process) + "#" + cellText(event, id);
}

/// Formats a list of VMs as one line after @p heading; returns an empty string if the list is empty or absent.
static std::string formatVmLine(const Json &timeline, const char *name, const std::string &heading)
{
    std::string text;
    for (const auto &vm : timeline.value(name, Json::array())) {
        text += (text.empty() ? "" : ", ") + vm.get<std::string>();
    }
    return text.empty() ? "" : formatTable({{heading, text}});
}

std::string formatTimeline(std::string_view json)
{
    return translateJsonErrors("timeline", [json] {
        const auto timeline = Json::parse(json);
        Rows rows{{"TIME", "EVENT", "KIND", "KEY", "CAUSE", "TEXT"}};
        for (const auto &event : listMember(timeline, "events")) {
            rows.push_back({formatTime(event.at("at_ms").get<std::int64_t>()),
                            formatEventName(event, "process", "id"),
                            cellText(event, "kind"),
                            cellText(event, "key"),
                            formatEventName(event, "cause_process", "cause_id"),
                            cellText(event, "text")});
        }
        return formatTable(rows) + formatVmLine(timeline, "missing", "events are missing from:")
               + formatVmLine(timeline, "truncated", "older events were overwritten at:");
    });
}

/// Returns the names of a request's events and of their direct and indirect causes.
static std::set<std::string> selectRequestEvents(const Json::array_t &events, const std::string &requestKey)
{
    std::set<std::string> selectedEvents;
    for (const auto &event : events) {
        if (cellText(event, "key") == requestKey) {
            selectedEvents.insert(formatEventName(event, "process", "id"));
        }
    }
    // Each pass adds the causes of the selected events until none is new. Few passes are needed, because cause chains are short.
    for (std::size_t previousSize = 0; previousSize != selectedEvents.size();) {
        previousSize = selectedEvents.size();
        for (const auto &event : events) {
            if (selectedEvents.count(formatEventName(event, "process", "id")) != 0) {
                selectedEvents.insert(formatEventName(event, "cause_process", "cause_id"));
            }
        }
    }
    return selectedEvents;
}

std::string filterTimeline(std::string_view json, const std::string &requestKey, Instant oldest)
{
    return translateJsonErrors("timeline", [&] {
        auto timeline = Json::parse(json);
        const auto events = listMember(timeline, "events");
        const auto selectedEvents = selectRequestEvents(events, requestKey);
        auto filtered = Json::array();
        for (const auto &event : events) {
            const bool recent = event.at("at_ms").get<std::int64_t>() >= toMilliseconds(oldest);
            if (recent && (requestKey.empty() || selectedEvents.count(formatEventName(event, "process", "id")) != 0)) {
                filtered.push_back(event);
            }
        }
        timeline["events"] = filtered;
        return timeline.dump();
    });
}

std::string formatConfigurationHistory(std::string_view json)
{
    return translateJsonErrors("history", [json] {
        const auto history = Json::parse(json);
        Rows rows{{"VERSION", "BYTES"}};
        for (const auto &version : listMember(history, "versions")) {
            rows.push_back({cellText(version, "version"), cellText(version, "bytes")});
        }
        return formatTable(rows);
    });
}

} // namespace PrimroseBridge
