#include "actions.h"

#include "primrosebridge/Config/reader.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

static std::string faultsJson(const std::vector<ConfigFault> &faults)
{
    auto list = Json::array();
    for (const auto &fault : faults) {
        list.push_back({{"path", fault.m_path}, {"problem", fault.m_problem}, {"remedy", fault.m_remedy}});
    }
    return Json{{"valid", faults.empty()}, {"faults", list}}.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

static ExitCode printFaults(const Command &command, const Environment &environment, const std::vector<ConfigFault> &faults)
{
    if (command.m_globalOptions.m_output == OutputFormat::Json) {
        environment.m_writeStdout(faultsJson(faults));
    } else {
        environment.m_writeStderr(describeFaults(faults));
        environment.m_writeStderr(command.m_operand + " has " + std::to_string(faults.size()) + (faults.size() == 1 ? " fault\n" : " faults\n"));
    }
    return ExitCode::InvalidArgument;
}

static ExitCode printNoFaults(const Command &command, const Environment &environment, const std::string &summary)
{
    environment.m_writeStdout(command.m_globalOptions.m_output == OutputFormat::Json ? faultsJson({}) : command.m_operand + " is valid: " + summary + "\n");
    return ExitCode::Done;
}

ExitCode checkConfiguration(const Command &command, const Environment &environment)
{
    const auto read = readConfiguration(environment.m_readFile(command.m_operand).value());
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        return printFaults(command, environment, *faults);
    }
    const auto &configuration = std::get<Configuration>(read);
    return printNoFaults(command,
                         environment,
                         std::to_string(configuration.m_workers.size()) + " workers, " + std::to_string(configuration.m_organisations.size())
                             + " organisations, " + std::to_string(configuration.m_jobClasses.size()) + " job classes, "
                             + std::to_string(configuration.m_guarantees.size()) + " guarantees");
}

ExitCode checkSettings(const Command &command, const Environment &environment)
{
    const auto read = readProcessSettings(environment.m_readFile(command.m_operand).value());
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        return printFaults(command, environment, *faults);
    }
    const auto &settings = std::get<ProcessSettings>(read);
    return printNoFaults(command, environment, "VM " + settings.m_vm.text() + " in zone " + settings.m_zone.text());
}

} // namespace PrimroseBridge
