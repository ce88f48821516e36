#include "primrosebridge/Fleetservice/roster.h"

#include <nlohmann/json.hpp>

#include <map>

namespace PrimroseBridge {

using Json = nlohmann::json;

static Json encodeEntry(const RosterEntry &entry)
{
    const auto &report = *entry.m_worker;
    Json json{
        {"worker", report.m_incarnation.m_worker},
        {"born", report.m_incarnation.m_startedAtMs},
        {"machine", report.m_machine},
        {"address", report.m_address},
        {"pool", report.m_pool},
        {"zone", report.m_zone},
        {"rack", report.m_rack},
        {"labels", report.m_labels},
        {"cores", report.m_capacity.m_milliCores},
        {"memory", report.m_capacity.m_memoryMb},
        {"accelerators", report.m_capacity.m_accelerators},
    };
    if (report.m_reportedAtClockMs) {
        json["clock"] = *report.m_reportedAtClockMs;
    }
    return json;
}

static WorkerReportPointer decodeWorker(const Json &json)
{
    return std::make_shared<const WorkerReport>(WorkerReport{
        .m_incarnation = WorkerIncarnation{.m_worker = json.at("worker").get<std::string>(), .m_startedAtMs = json.at("born").get<std::int64_t>()},
        .m_machine = json.at("machine").get<std::string>(),
        .m_address = json.at("address").get<std::string>(),
        .m_pool = json.at("pool").get<std::string>(),
        .m_zone = json.at("zone").get<std::string>(),
        .m_rack = json.at("rack").get<std::string>(),
        .m_labels = json.at("labels").get<std::vector<std::string>>(),
        .m_capacity = Resources{.m_milliCores = json.at("cores").get<std::int64_t>(),
                                .m_memoryMb = json.at("memory").get<std::int64_t>(),
                                .m_accelerators = json.at("accelerators").get<std::int64_t>()},
        .m_draining = false,
        .m_leavesIn = std::nullopt,
        .m_softwareVersion = {},
        .m_reportedAtClockMs = json.contains("clock") ? std::optional(json.at("clock").get<std::int64_t>()) : std::nullopt,
    });
}

// A former release ignores "jobSet" and takes the worker for one that is not cordoned, so that it waits for the worker.
static std::optional<std::vector<std::string>> decodeJobsIfCordoned(const Json &json, const Json &jobSets)
{
    if (const auto set = json.find("jobSet"); set != json.end()) {
        return jobSets.at(set->get<std::size_t>()).get<std::vector<std::string>>();
    }
    const auto found = json.find("onlyJobs");
    return found == json.end() ? std::nullopt : std::optional(found->get<std::vector<std::string>>());
}

namespace {

enum class JobLists {
    ByWorker,
    Shared, // Equal lists are written once.
    None,
};

} // namespace

static std::string encodeRoster(const Roster &roster, JobLists lists)
{
    std::map<std::vector<std::string>, std::size_t> setNumbers;
    Json jobSets = Json::array();
    Json workers = Json::array();
    for (const auto &entry : roster.m_workers) {
        auto json = encodeEntry(entry);
        if (entry.m_jobsIfCordoned && lists == JobLists::ByWorker) {
            json["onlyJobs"] = *entry.m_jobsIfCordoned;
        } else if (entry.m_jobsIfCordoned && lists == JobLists::Shared) {
            const auto [set, added] = setNumbers.try_emplace(*entry.m_jobsIfCordoned, jobSets.size());
            if (added) {
                jobSets.push_back(*entry.m_jobsIfCordoned);
            }
            json["jobSet"] = set->second;
        }
        workers.push_back(std::move(json));
    }
    Json json{{"version", roster.m_version}, {"workers", std::move(workers)}};
    if (!jobSets.empty()) {
        json["jobSets"] = std::move(jobSets);
    }
    return json.dump();
}

std::string encodeRoster(const Roster &roster, std::size_t maxBytes)
{
    auto text = encodeRoster(roster, JobLists::ByWorker);
    if (text.size() > maxBytes) {
        text = encodeRoster(roster, JobLists::Shared);
    }
    return text.size() <= maxBytes ? text : encodeRoster(roster, JobLists::None);
}

Result<Roster> decodeRoster(const std::string &text)
{
    try {
        const auto json = Json::parse(text);
        const auto jobSets = json.value("jobSets", Json::array());
        std::vector<RosterEntry> workers;
        for (const auto &worker : json.at("workers")) {
            workers.push_back(RosterEntry{.m_worker = decodeWorker(worker), .m_jobsIfCordoned = decodeJobsIfCordoned(worker, jobSets)});
        }
        return Roster{.m_version = json.at("version").get<std::int64_t>(), .m_workers = std::move(workers)};
    } catch (const Json::exception &error) {
        return Error(ErrorKind::Internal, std::string("cannot decode the roster: ") + error.what(), "check which release wrote the roster");
    }
}

} // namespace PrimroseBridge
