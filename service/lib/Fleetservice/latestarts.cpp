#include "primrosebridge/Fleetservice/latestarts.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::json;

std::string encodeLateStarts(const LateStartRecord &record)
{
    return Json{{"version", record.m_version}, {"workers", record.m_jobsByWorker}, {"runsOverInMs", record.m_runsOverInMs}}.dump();
}

Result<LateStartRecord> decodeLateStarts(const std::string &text)
{
    try {
        const auto json = Json::parse(text);
        return LateStartRecord{.m_version = json.at("version").get<std::int64_t>(),
                               .m_jobsByWorker = json.at("workers").get<LateStartJobs>(),
                               .m_runsOverInMs = json.at("runsOverInMs").get<std::map<std::string, std::int64_t>>()};
    } catch (const Json::exception &error) {
        return Error(ErrorKind::Internal, std::string("cannot decode the record of late starts: ") + error.what(), "check which release wrote the record");
    }
}

} // namespace PrimroseBridge
