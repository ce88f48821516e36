#include "primrosebridge/Commands/command.h"

#include <algorithm>

namespace PrimroseBridge {

static Error usageError(const std::string &message)
{
    return {ErrorKind::InvalidArgument, message, "run primrosectl --help"};
}

/// Adds an option. Appends a repeated --server to the list; rejects any other repetition, because one value would be ignored.
static std::optional<Error> addOption(std::map<std::string, std::string> &options, const std::string &name, const std::string &value)
{
    const auto [option, inserted] = options.emplace(name, value);
    if (inserted) {
        return std::nullopt;
    }
    if (name != "server") {
        return usageError("option --" + name + " is given twice");
    }
    option->second += "," + value;
    return std::nullopt;
}

Result<Arguments> splitArguments(const std::vector<std::string> &arguments, std::optional<bool> (*isBooleanOption)(const std::string &))
{
    std::vector<std::string> positionals;
    std::map<std::string, std::string> options;
    bool optionsEnded = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const auto &argument = arguments[i];
        if (optionsEnded || argument.substr(0, 2) != "--") {
            positionals.push_back(argument);
            continue;
        }
        if (argument == "--") {
            optionsEnded = true;
            continue;
        }
        const auto equals = argument.find('=');
        const auto name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        const auto isBoolean = isBooleanOption(name);
        if (!isBoolean) {
            return usageError("option --" + name + " does not exist");
        }
        std::string value = "true";
        if (equals != std::string::npos) {
            value = argument.substr(equals + 1);
        } else if (!*isBoolean) {
            if (i + 1 == arguments.size()) {
                return usageError("option --" + name + " has no value");
            }
            value = arguments[++i];
        }
        if (const auto error = addOption(options, name, value)) {
            return *error;
        }
    }
    return Arguments{positionals, options};
}

} // namespace PrimroseBridge
