#include "flags.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

#include <cstdint>

ABSL_FLAG(std::string, server, "127.0.0.1:8080", "IP address and port of each server, separated by commas; may be repeated");
ABSL_FLAG(std::string, token, "", "bearer token; the environment variable PRIMROSEBRIDGE_TOKEN is safer");
ABSL_FLAG(std::string, output, "table", "table or json");
ABSL_FLAG(std::int64_t, timeout, 30, "time limit for the whole command, in seconds");
ABSL_FLAG(std::string, class, "", "job class of the submitted request");
ABSL_FLAG(std::string, key, "", "key of the submitted request; generated if absent");
ABSL_FLAG(std::string, payload, "", "payload of the submitted request");
ABSL_FLAG(std::string, payload_file, "", "file with the payload; - is standard input");
ABSL_FLAG(std::string, zone, "", "availability zone for the submitted request; chosen by the server if absent");
ABSL_FLAG(std::int64_t, declared_run_time_ms, 0, "run time that the caller expects, in milliseconds");
ABSL_FLAG(bool, wait, false, "wait for the outcome");
ABSL_FLAG(bool, defaults, false, "fill in the defaults");
ABSL_FLAG(std::int64_t, if_version, 0, "apply only if this version is in force");
ABSL_FLAG(std::string, request, "", "show only the events of this request and their causes");
ABSL_FLAG(std::int64_t, since, 0, "show only events that are at most this many seconds old");

namespace PrimroseBridge {

/// Returns whether a flag is boolean, or std::nullopt if it is not declared above.
static std::optional<bool> isBooleanFlag(const std::string &name)
{
    const auto *flag = absl::FindCommandLineFlag(name);
    if (flag == nullptr || flag->Filename().find("primrosectl/flags.cpp") == std::string::npos) {
        return std::nullopt; // Libraries also declare flags, but primrosectl does not accept those.
    }
    return flag->IsOfType<bool>();
}

Result<Arguments> parseArguments(const std::vector<std::string> &arguments)
{
    auto splitResult = splitArguments(arguments, isBooleanFlag);
    if (!splitResult.ok()) {
        return splitResult;
    }
    std::map<std::string, std::string> options;
    for (const auto &option : splitResult.value().m_options) {
        auto *flag = absl::FindCommandLineFlag(option.first);
        std::string parseError;
        if (!flag->ParseFrom(option.second, &parseError)) {
            return Error(ErrorKind::InvalidArgument, "--" + option.first + " is '" + option.second + "': " + parseError, "run primrosectl --help");
        }
        options.emplace(option.first, flag->CurrentValue());
    }
    return Arguments{splitResult.value().m_positionals, options};
}

} // namespace PrimroseBridge
