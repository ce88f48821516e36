#include "actions.h"

#include "apicall.h"
#include "jsonerrors.h"
#include "primrosebridge/Commands/difference.h"
#include "primrosebridge/Commands/format.h"
#include "primrosebridge/Config/reader.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

/// A configuration document stored on the server.
struct StoredDocument {
    const std::int64_t m_version;
    const std::string m_text;

    bool operator==(const StoredDocument &) const = default;
};

static const std::string configurationPath = "/v1/configuration";

static StoredDocument parseStoredDocument(const std::string &body)
{
    std::int64_t version = 0;
    const auto text = translateJsonErrors("configuration", [&] {
        const auto response = Json::parse(body);
        version = response.at("version").get<std::int64_t>();
        return response.at("document").get<std::string>();
    });
    return {version, text};
}

static StoredDocument fetchDocument(const Command &command, const Environment &environment, const std::string &path = configurationPath)
{
    return parseStoredDocument(callApi(command, environment, makeGetCall(path)));
}

/// Parses a configuration document. Throws an Error of @p kind that lists its faults; @p name is the document's source.
static Configuration parseConfigurationOrThrow(const std::string &name, const std::string &text, ErrorKind kind, const std::string &remedy)
{
    const auto read = readConfiguration(text);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        throw Error(kind, name + " has faults:\n" + describeFaults(*faults), remedy);
    }
    return std::get<Configuration>(read);
}

static Configuration parseStoredConfiguration(const StoredDocument &stored)
{
    return withVersion(parseConfigurationOrThrow("the server's document", stored.m_text, ErrorKind::Internal, "use a primrosectl of the server's version"),
                       stored.m_version);
}

static std::string readValidConfigurationFile(const Command &command, const Environment &environment)
{
    auto text = environment.m_readFile(command.m_operand).value();
    parseConfigurationOrThrow(command.m_operand, text, ErrorKind::InvalidArgument, "correct the file; the configuration in force is unchanged");
    return text;
}

static std::string parseVersion(const std::string &body)
{
    return translateJsonErrors("configuration", [&body] { return std::to_string(Json::parse(body).at("version").get<std::int64_t>()); });
}

static ExitCode putDocument(const Command &command, const Environment &environment, const std::string &text, std::int64_t replacedVersion)
{
    // The call is not idempotent: if it was applied but the response was lost, a retry would fail with a version conflict.
    const auto body = callApi(command, environment, {"PUT", configurationPath, text, replacedVersion, false});
    const auto version = parseVersion(body);
    if (command.m_globalOptions.m_output == OutputFormat::Json) {
        environment.m_writeStdout(formatJson(body));
    } else {
        environment.m_writeStdout("version " + version + " replaces version " + std::to_string(replacedVersion) + "\n");
    }
    return ExitCode::Done;
}

ExitCode showConfiguration(const Command &command, const Environment &environment)
{
    const auto stored = fetchDocument(command, environment);
    const auto text = command.m_withDefaults ? writeConfiguration(parseStoredConfiguration(stored)) : stored.m_text;
    if (command.m_globalOptions.m_output == OutputFormat::Json) {
        environment.m_writeStdout(Json{{"version", stored.m_version}, {"document", text}}.dump(2) + "\n");
        return ExitCode::Done;
    }
    environment.m_writeStderr("version " + std::to_string(stored.m_version) + "\n");
    environment.m_writeStdout(text.empty() || text.back() != '\n' ? text + "\n" : text);
    return ExitCode::Done;
}

ExitCode diffConfiguration(const Command &command, const Environment &environment)
{
    const auto text = readValidConfigurationFile(command, environment);
    const auto stored = fetchDocument(command, environment);
    const auto changes = compareConfigurations(parseStoredConfiguration(stored),
                                               parseConfigurationOrThrow(command.m_operand, text, ErrorKind::InvalidArgument, "correct the file"));
    environment.m_writeStderr("version " + std::to_string(stored.m_version) + " compared with " + command.m_operand + "\n");
    environment.m_writeStdout(command.m_globalOptions.m_output == OutputFormat::Json ? differencesJson(changes) : formatDifferences(changes));
    return ExitCode::Done;
}

static std::int64_t fetchVersionInForce(const Command &command, const Environment &environment)
{
    try {
        return fetchDocument(command, environment).m_version;
    } catch (const Error &error) {
        if (error.kind() != ErrorKind::Unavailable) {
            throw;
        }
        // The server also returns Unavailable if the deployment has no configuration yet.
        throw Error(error.kind(), error.message(), error.remedy() + "; pass --if_version=0 if this is the first configuration", error.retryAfter());
    }
}

ExitCode applyConfiguration(const Command &command, const Environment &environment)
{
    const auto text = readValidConfigurationFile(command, environment);
    const auto replacedVersion = command.m_ifVersion ? *command.m_ifVersion : fetchVersionInForce(command, environment);
    return putDocument(command, environment, text, replacedVersion);
}

ExitCode listConfigurationHistory(const Command &command, const Environment &environment)
{
    printResponse(command, environment, callApi(command, environment, makeGetCall(configurationPath + "/history")), formatConfigurationHistory);
    return ExitCode::Done;
}

ExitCode rollbackConfiguration(const Command &command, const Environment &environment)
{
    const auto previous = fetchDocument(command, environment, configurationPath + "/history/" + command.m_operand);
    const auto replacedVersion = fetchDocument(command, environment).m_version;
    return putDocument(command, environment, previous.m_text, replacedVersion);
}

} // namespace PrimroseBridge
