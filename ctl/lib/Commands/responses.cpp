#include "primrosebridge/Commands/format.h"

#include "jsonerrors.h"

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::ordered_json;

OutcomeKind outcomeOf(std::string_view json)
{
    const auto name = understand("outcome", [json] { return Json::parse(json).at("outcome").get<std::string>(); });
    return outcomeKindFromName(name).value();
}

static ErrorKind kindOfStatus(int status)
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

static std::string textOf(const Json &object, const char *name, const std::string &otherwise)
{
    const auto member = object.find(name);
    return member != object.end() && member->is_string() ? member->get<std::string>() : otherwise;
}

Error errorOf(int status, std::string_view body)
{
    const auto parsed = Json::parse(body, nullptr, false);
    const auto inner = parsed.is_object() && parsed.contains("error") ? parsed["error"] : parsed;
    if (!inner.is_object() || textOf(inner, "kind", "").empty()) {
        return {kindOfStatus(status),
                "the server answered with status " + std::to_string(status) + " and no explanation",
                "check that --server names a primrosebridge server"};
    }
    std::optional<std::chrono::milliseconds> retryAfter;
    const auto retry = inner.find("retryAfterMs");
    if (retry != inner.end() && retry->is_number_integer()) {
        retryAfter = std::chrono::milliseconds(retry->get<std::int64_t>());
    }
    return {errorKindFromName(textOf(inner, "kind", "")),
            textOf(inner, "message", "the server gave no message"),
            textOf(inner, "remedy", "see the server's log"),
            retryAfter};
}

std::string errorJson(const Error &error)
{
    Json inner = {{"kind", errorKindName(error.kind())}, {"message", error.message()}, {"remedy", error.remedy()}};
    if (error.retryAfter()) {
        inner["retryAfterMs"] = error.retryAfter()->count();
    }
    return Json{{"error", inner}}.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace PrimroseBridge
