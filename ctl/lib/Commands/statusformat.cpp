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

/// A member as text: lists of accelerators, numbers and names all fit into a table's cell.
static std::string cell(const Json &object, const char *name)
{
    object.get_ref<const Json::object_t &>(); // Throws if it is no object.
    const auto member = object.find(name);
    if (member == object.end() || member->is_null()) {
        return "-";
    }
    return member->is_string() ? member->get<std::string>() : member->dump();
}

/// The elements of a list; throws if the member is missing or no list.
static const Json::array_t &listOf(const Json &object, const char *name)
{
    return object.at(name).get_ref<const Json::array_t &>();
}

static std::string workersTable(const Json::array_t &workers)
{
    Rows rows{{"WORKER", "RACK", "STATUS", "EJECTED", "ACCELERATORS", "FREE", "TASKS"}};
    for (const auto &worker : workers) {
        const auto tasks = worker.find("tasks");
        const bool isList = tasks != worker.end() && tasks->is_array();
        rows.push_back({cell(worker, "id"),
                        cell(worker, "rack"),
                        cell(worker, "status"),
                        cell(worker, "ejected"),
                        cell(worker, "accelerators"),
                        cell(worker, "free"),
                        isList ? std::to_string(tasks->size()) : cell(worker, "tasks")});
    }
    return formatTable(rows);
}

/// One column for each member of the first object.
static std::string objectsTable(const Json &objects)
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
            row.push_back(cell(object, name.c_str()));
        }
        rows.push_back(row);
    }
    return formatTable(rows);
}

std::string formatFleet(std::string_view json)
{
    return understand("fleet", [json] {
        const auto fleet = Json::parse(json);
        auto text = formatTable(
            {{"zone", cell(fleet, "zone")}, {"owner", cell(fleet, "owner")}, {"role", cell(fleet, "role")}, {"fragmentation", cell(fleet, "fragmentation")}});
        text += "\n" + workersTable(listOf(fleet, "workers"));
        const auto guarantees = fleet.value("guarantees", Json::array());
        return text + "\n" + (guarantees.empty() ? "no guarantees\n" : objectsTable(guarantees));
    });
}

static std::string timeText(std::int64_t milliseconds)
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

static std::string eventName(const Json &event, const char *process, const char *id)
{
    return cell(event, process) == "-" || cell(event, process).empty() ? "-" : cell(event, process) + "#" + cell(event, id);
}

/// A line with the VMs in a list, or nothing if the list is empty or absent.
static std::string vmsText(const Json &timeline, const char *name, const std::string &heading)
{
    std::string text;
    for (const auto &vm : timeline.value(name, Json::array())) {
        text += (text.empty() ? "" : ", ") + vm.get<std::string>();
    }
    return text.empty() ? "" : formatTable({{heading, text}});
}

std::string formatTimeline(std::string_view json)
{
    return understand("timeline", [json] {
        const auto timeline = Json::parse(json);
        Rows rows{{"TIME", "EVENT", "KIND", "KEY", "CAUSE", "TEXT"}};
        for (const auto &event : listOf(timeline, "events")) {
            rows.push_back({timeText(event.at("at_ms").get<std::int64_t>()),
                            eventName(event, "process", "id"),
                            cell(event, "kind"),
                            cell(event, "key"),
                            eventName(event, "cause_process", "cause_id"),
                            cell(event, "text")});
        }
        return formatTable(rows) + vmsText(timeline, "missing", "events are missing from:")
               + vmsText(timeline, "truncated", "older events were overwritten at:");
    });
}

/// Names of the events of a request and of all their causes.
static std::set<std::string> eventsOfRequest(const Json::array_t &events, const std::string &requestKey)
{
    std::set<std::string> kept;
    for (const auto &event : events) {
        if (cell(event, "key") == requestKey) {
            kept.insert(eventName(event, "process", "id"));
        }
    }
    // Each round adds the causes of what is kept so far; chains of causes are short.
    for (std::size_t before = 0; before != kept.size();) {
        before = kept.size();
        for (const auto &event : events) {
            if (kept.count(eventName(event, "process", "id")) != 0) {
                kept.insert(eventName(event, "cause_process", "cause_id"));
            }
        }
    }
    return kept;
}

std::string filterTimeline(std::string_view json, const std::string &requestKey, Instant oldest)
{
    return understand("timeline", [&] {
        auto timeline = Json::parse(json);
        const auto events = listOf(timeline, "events");
        const auto kept = eventsOfRequest(events, requestKey);
        auto filtered = Json::array();
        for (const auto &event : events) {
            const bool recent = event.at("at_ms").get<std::int64_t>() >= toMilliseconds(oldest);
            if (recent && (requestKey.empty() || kept.count(eventName(event, "process", "id")) != 0)) {
                filtered.push_back(event);
            }
        }
        timeline["events"] = filtered;
        return timeline.dump();
    });
}

std::string formatHistory(std::string_view json)
{
    return understand("history", [json] {
        const auto history = Json::parse(json);
        Rows rows{{"VERSION", "BYTES"}};
        for (const auto &version : listOf(history, "versions")) {
            rows.push_back({cell(version, "version"), cell(version, "bytes")});
        }
        return formatTable(rows);
    });
}

} // namespace PrimroseBridge
