#include "actions.h"

#include "apicall.h"
#include "primrosebridge/Commands/format.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

// The server checks the values of the fields against its configuration.
static void checkPreviewFile(const std::string &name, const std::string &text)
{
    const std::string remedy = "write a JSON object with 'queue', 'steps' and optionally 'organisation'";
    try {
        const auto request = Json::parse(text);
        if (!request.is_object()) {
            throw Error(ErrorKind::InvalidArgument, name + " holds no JSON object", remedy);
        }
        for (const auto *field : {"queue", "steps"}) {
            if (!request.contains(field)) {
                throw Error(ErrorKind::InvalidArgument, name + " lacks '" + field + "'", remedy);
            }
        }
    } catch (const Json::parse_error &error) {
        throw Error(ErrorKind::InvalidArgument, name + " is not JSON: at byte " + std::to_string(error.byte), remedy);
    }
}

ExitCode previewPlacement(const Command &command, const Environment &environment)
{
    const auto text = environment.m_readFile(command.m_operand).value();
    checkPreviewFile(command.m_operand, text);
    printResponse(command, environment, callApi(command, environment, {"POST", "/placement-preview", text, std::nullopt, true}), formatPreview);
    return ExitCode::Done;
}

} // namespace PrimroseBridge
