#include "actions.h"

#include "apicall.h"
#include "primrosebridge/Commands/difference.h"
#include "primrosebridge/Commands/format.h"
#include "primrosebridge/Config/reader.h"
#include "jsonerrors.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

/// A document as the server keeps it.
struct StoredDocument {
    const std::int64_t m_version;
    const std::string m_text;

    bool operator==(const StoredDocument &) const = default;
};

static const std::string configurationPath = "/v1/configuration";

static StoredDocument storedDocument(const std::string &body)
{
    std::int64_t version = 0;
    const auto text = understand("configuration", [&] {
        const auto answer = Json::parse(body);
        version = answer.at("version").get<std::int64_t>();
        return answer.at("document").get<std::string>();
    });
    return {version, text};
}

static StoredDocument fetchDocument(const Command &command, const Environment &environment, const std::string &path = configurationPath)
{
    return storedDocument(ask(command, environment, getCall(path)));
}

/// Reads a document whose faults end the command; @p name says where it comes from.
static Configuration readOrThrow(const std::string &name, const std::string &text, ErrorKind kind, const std::string &remedy)
{
    const auto read = readConfiguration(text);
    if (const auto *faults = std::get_if<std::vector<ConfigFault>>(&read)) {
        throw Error(kind, name + " has faults:\n" + describeFaults(*faults), remedy);
    }
    return std::get<Configuration>(read);
}

static Configuration readStored(const StoredDocument &stored)
{
    return withVersion(readOrThrow("the server's document", stored.m_text, ErrorKind::Internal, "use a primrosectl of the server's version"), stored.m_version);
}

static std::string readValidFile(const Command &command, const Environment &environment)
{
    auto text = environment.m_readFile(command.m_operand).value();
    readOrThrow(command.m_operand, text, ErrorKind::InvalidArgument, "correct the file; the configuration in force is unchanged");
    return text;
}

static std::string versionOf(const std::string &body)
{
    return understand("configuration", [&body] { return std::to_string(Json::parse(body).at("version").get<std::int64_t>()); });
}

static ExitCode putDocument(const Command &command, const Environment &environment, const std::string &text, std::int64_t replaces)
{
    // Not repeatable: after a lost answer, the second attempt would lose the race against the first one.
    const auto body = ask(command, environment, {"PUT", configurationPath, text, replaces, false});
    const auto version = versionOf(body);
    if (command.m_global.m_output == OutputFormat::Json) {
        environment.m_print(formatJson(body));
    } else {
        environment.m_print("version " + version + " replaces version " + std::to_string(replaces) + "\n");
    }
    return ExitCode::Done;
}

ExitCode showConfiguration(const Command &command, const Environment &environment)
{
    const auto stored = fetchDocument(command, environment);
    const auto text = command.m_withDefaults ? writeConfiguration(readStored(stored)) : stored.m_text;
    if (command.m_global.m_output == OutputFormat::Json) {
        environment.m_print(Json{{"version", stored.m_version}, {"document", text}}.dump(2) + "\n");
        return ExitCode::Done;
    }
    environment.m_report("version " + std::to_string(stored.m_version) + "\n");
    environment.m_print(text.empty() || text.back() != '\n' ? text + "\n" : text);
    return ExitCode::Done;
}

ExitCode diffConfiguration(const Command &command, const Environment &environment)
{
    const auto text = readValidFile(command, environment);
    const auto stored = fetchDocument(command, environment);
    const auto found = differences(readStored(stored), readOrThrow(command.m_operand, text, ErrorKind::InvalidArgument, "correct the file"));
    environment.m_report("version " + std::to_string(stored.m_version) + " compared with " + command.m_operand + "\n");
    environment.m_print(command.m_global.m_output == OutputFormat::Json ? differencesJson(found) : formatDifferences(found));
    return ExitCode::Done;
}

static std::int64_t versionInForce(const Command &command, const Environment &environment)
{
    try {
        return fetchDocument(command, environment).m_version;
    } catch (const Error &error) {
        if (error.kind() != ErrorKind::Unavailable) {
            throw;
        }
        // A deployment without a configuration answers like this, too.
        throw Error(error.kind(), error.message(), error.remedy() + "; pass --if_version=0 if this is the first configuration", error.retryAfter());
    }
}

ExitCode applyConfiguration(const Command &command, const Environment &environment)
{
    const auto text = readValidFile(command, environment);
    const auto replaces = command.m_ifVersion ? *command.m_ifVersion : versionInForce(command, environment);
    return putDocument(command, environment, text, replaces);
}

ExitCode listHistory(const Command &command, const Environment &environment)
{
    printAnswer(command, environment, ask(command, environment, getCall(configurationPath + "/history")), formatHistory);
    return ExitCode::Done;
}

ExitCode rollBackConfiguration(const Command &command, const Environment &environment)
{
    const auto old = fetchDocument(command, environment, configurationPath + "/history/" + command.m_operand);
    const auto replaces = fetchDocument(command, environment).m_version;
    return putDocument(command, environment, old.m_text, replaces);
}

} // namespace PrimroseBridge
