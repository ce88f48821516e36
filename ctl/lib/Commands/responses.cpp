#include "primrosebridge/Commands/format.h"

#include "jsonerrors.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

OutcomeKind parseOutcome(std::string_view json)
{
    const auto name = translateJsonErrors("outcome", [json] { return Json::parse(json).at("outcome").get<std::string>(); });
    return outcomeKindFromName(name).value();
}

static ErrorKind errorKindFromStatus(int status)
{
    switch (status) {
    case 400:
        return ErrorKind::InvalidArgument;
    case 401:
        return ErrorKind::Unauthenticated;
    case 403:
        return ErrorKind::PermissionDenied;
    case 404:
        return ErrorKind::NotFound;
    case 409:
    case 412:
        return ErrorKind::Conflict;
    case 413:
        return ErrorKind::TooLarge;
    case 422:
        return ErrorKind::NeverRunnable;
    case 429:
        return ErrorKind::QueueFull;
    case 503:
        return ErrorKind::Unavailable;
    case 504:
        return ErrorKind::DeadlineExceeded;
    default:
        return ErrorKind::Internal;
    }
}

static std::string stringMemberOr(const Json &object, const char *name, const std::string &defaultValue)
{
    const auto member = object.find(name);
    return member != object.end() && member->is_string() ? member->get<std::string>() : defaultValue;
}

Error errorFromResponse(int status, std::string_view body)
{
    const auto parsed = Json::parse(body, nullptr, false);
    const auto errorObject = parsed.is_object() && parsed.contains("error") ? parsed["error"] : parsed;
    if (!errorObject.is_object() || stringMemberOr(errorObject, "kind", "").empty()) {
        return {errorKindFromStatus(status),
                "the server returned status " + std::to_string(status) + " and no error description",
                "check that --server names a primrosebridge server"};
    }
    std::optional<std::chrono::milliseconds> retryAfter;
    const auto retryAfterMember = errorObject.find("retryAfterMs");
    if (retryAfterMember != errorObject.end() && retryAfterMember->is_number_integer()) {
        retryAfter = std::chrono::milliseconds(retryAfterMember->get<std::int64_t>());
    }
    return {errorKindFromName(stringMemberOr(errorObject, "kind", "")),
            stringMemberOr(errorObject, "message", "the server returned no error message"),
            stringMemberOr(errorObject, "remedy", "check the server's log"),
            retryAfter};
}

std::string errorJson(const Error &error)
{
    Json errorObject = {{"kind", errorKindName(error.kind())}, {"message", error.message()}, {"remedy", error.remedy()}};
    if (error.retryAfter()) {
        errorObject["retryAfterMs"] = error.retryAfter()->count();
    }
    return Json{{"error", errorObject}}.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace PrimroseBridge
