#include "primrosebridge/Fleetservice/speedrecord.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>

namespace PrimroseBridge {

using Json = nlohmann::json;

static constexpr double thousandths = 1000.0;
// Larger values change no speed, and would not fit the integers of the record.
static constexpr double maxRunsForHalfWeight = 1e6;
static constexpr std::int64_t maxVersion = std::int64_t(1) << 53;

static std::int64_t toThousandths(double value)
{
    return std::llround(value * thousandths);
}

static double fromThousandths(const Json &value)
{
    return value.get<double>() / thousandths;
}

std::string encodeSpeeds(const SpeedRecord &record)
{
    auto machines = Json::object();
    for (const auto &[name, speed] : record.m_speeds) {
        machines.emplace(name, Json::array({toThousandths(speed.m_relative), toThousandths(speed.m_weight)}));
    }
    // Null stands for infinity, which JSON does not have, and for values that are as good as infinite.
    const auto runsForHalfWeight = record.m_runsForHalfWeight <= maxRunsForHalfWeight ? Json(toThousandths(record.m_runsForHalfWeight)) : Json(nullptr);
    return Json{{"version", record.m_version}, {"runsForHalfWeight", runsForHalfWeight}, {"machines", std::move(machines)}}.dump();
}

static Error unreadable(const std::string &reason)
{
    return Error(ErrorKind::Internal, "cannot decode the record of speeds: " + reason, "check which release wrote the record");
}

Result<SpeedRecord> decodeSpeeds(const std::string &text)
{
    try {
        const auto json = Json::parse(text);
        const auto &machines = json.at("machines").get_ref<const Json::object_t &>();
        const auto &halfWeight = json.at("runsForHalfWeight");
        const auto runsForHalfWeight = halfWeight.is_null() ? std::numeric_limits<double>::infinity() : fromThousandths(halfWeight);
        if (machines.size() > SpeedLimits::maxMachines || runsForHalfWeight < 1.0) {
            return unreadable("too many machines or a value out of range");
        }
        const auto &version = json.at("version");
        if (!version.is_number_integer() || version.get<double>() < 0 || version.get<double>() > static_cast<double>(maxVersion)) {
            return unreadable("the version is out of range");
        }
        std::map<std::string, WorkerSpeed> speeds;
        for (const auto &[name, values] : machines) {
            const WorkerSpeed speed{.m_relative = fromThousandths(values.at(0)), .m_weight = fromThousandths(values.at(1))};
            if (speed.m_relative < SpeedLimits::minRelative || speed.m_relative > SpeedLimits::maxRelative || speed.m_weight < 0
                || speed.m_weight > SpeedLimits::maxWeight) {
                return unreadable("a value of machine '" + name + "' is out of range");
            }
            speeds.emplace(name, speed);
        }
        return SpeedRecord{.m_version = version.get<std::int64_t>(), .m_runsForHalfWeight = runsForHalfWeight, .m_speeds = std::move(speeds)};
    } catch (const Json::exception &error) {
        return unreadable(error.what());
    }
}

} // namespace PrimroseBridge
