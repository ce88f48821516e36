#include "primrosebridge/Commands/run.h"

#include "actions.h"
#include "primrosebridge/Commands/format.h"

#include <new>

namespace PrimroseBridge {

static ExitCode dispatchAction(const Command &command, const Environment &environment)
{
    switch (command.m_action) {
    case Action::Submit:
        return submitRequest(command, environment);
    case Action::Get:
        return getRequest(command, environment);
    case Action::Wait:
        return waitForRequest(command, environment);
    case Action::Cancel:
        return cancelRequest(command, environment);
    case Action::Explain:
        return explainRequest(command, environment);
    case Action::ConfigCheck:
        return checkConfiguration(command, environment);
    case Action::ConfigShow:
        return showConfiguration(command, environment);
    case Action::ConfigDiff:
        return diffConfiguration(command, environment);
    case Action::ConfigApply:
        return applyConfiguration(command, environment);
    case Action::ConfigHistory:
        return listConfigurationHistory(command, environment);
    case Action::ConfigRollback:
        return rollbackConfiguration(command, environment);
    case Action::Fleet:
        return showFleet(command, environment);
    case Action::Timeline:
        return showTimeline(command, environment);
    case Action::Preview:
        return previewPlacement(command, environment);
    case Action::SettingsCheck:
        return checkSettings(command, environment);
    case Action::LogLevel:
        return setLogLevel(command, environment);
    }
    return ExitCode::Internal;
}

ExitCode reportError(const Error &error, OutputFormat output, const std::function<void(const std::string &)> &writeStderr)
{
    if (output == OutputFormat::Json) {
        writeStderr(errorJson(error));
        return exitCodeOf(error.kind());
    }
    writeStderr("error: " + error.message() + "\nremedy: " + error.remedy() + "\n");
    if (error.retryAfter()) {
        writeStderr("retry after " + std::to_string(error.retryAfter()->count()) + " ms\n");
    }
    return exitCodeOf(error.kind());
}

ExitCode runCommand(const Command &command, const Environment &environment)
{
    const auto output = command.m_globalOptions.m_output;
    try {
        return dispatchAction(command, environment);
    } catch (const Error &error) {
        return reportError(error, output, environment.m_writeStderr);
    } catch (const std::bad_alloc &) {
        return reportError(Error(ErrorKind::Internal, "out of memory", "free memory and try again"), output, environment.m_writeStderr);
    } catch (const std::exception &exception) {
        return reportError(Error(ErrorKind::Internal, exception.what(), "report this as a bug in primrosectl"), output, environment.m_writeStderr);
    }
}

} // namespace PrimroseBridge
