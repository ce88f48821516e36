#include "primrosebridge/Fleetservice/roster.h"

#include <nlohmann/json.hpp>

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
    if (entry.m_jobsIfCordoned) {
        json["onlyJobs"] = *entry.m_jobsIfCordoned;
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

static std::optional<std::vector<std::string>> decodeJobsIfCordoned(const Json &json)
{
    const auto found = json.find("onlyJobs");
    return found == json.end() ? std::nullopt : std::optional(found->get<std::vector<std::string>>());
}

std::string encodeRoster(const Roster &roster)
{
    Json workers = Json::array();
    for (const auto &entry : roster.m_workers) {
        workers.push_back(encodeEntry(entry));
    }
    return Json{{"version", roster.m_version}, {"workers", std::move(workers)}}.dump();
}

Result<Roster> decodeRoster(const std::string &text)
{
    try {
        const auto json = Json::parse(text);
        std::vector<RosterEntry> workers;
        for (const auto &worker : json.at("workers")) {
            workers.push_back(RosterEntry{.m_worker = decodeWorker(worker), .m_jobsIfCordoned = decodeJobsIfCordoned(worker)});
        }
        return Roster{.m_version = json.at("version").get<std::int64_t>(), .m_workers = std::move(workers)};
    } catch (const Json::exception &error) {
        return Error(ErrorKind::Internal, std::string("cannot decode the roster: ") + error.what(), "check which release wrote the roster");
    }
}

} // namespace PrimroseBridge
