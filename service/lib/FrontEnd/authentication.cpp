#include "authentication.h"

#include "primrosebridge/FrontEnd/api.h"

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/Crypto/OpenSSLInitializer.h>

#include <charconv>

namespace PrimroseBridge {

constexpr Duration maxLongPollTime = Duration(30000); // The limit exists because a waiting call occupies a server thread.

std::string sha256Hex(const std::string &text)
{
    // POCO 1.11 frees the OpenSSL locks when the last digest engine is destroyed and creates them again for the next engine. This is a data
    // race between threads. An initializer that lives until the process ends keeps the locks allocated.
    static const Poco::Crypto::OpenSSLInitializer initializer;
    Poco::Crypto::DigestEngine engine("SHA256");
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

static std::string bearerToken(const HttpCall &call)
{
    const std::string prefix = "Bearer ";
    const auto header = headerValue(call, "authorization");
    return header.starts_with(prefix) ? header.substr(prefix.size()) : std::string();
}

static Error unauthenticatedError()
{
    return Error(ErrorKind::Unauthenticated, "the call has no known token", "send 'Authorization: Bearer TOKEN' with a token that the operator gave you");
}

Result<OrganisationId> authenticateCaller(const Configuration &configuration, const HttpCall &call)
{
    const auto token = bearerToken(call);
    if (token.empty()) {
        return unauthenticatedError();
    }
    const auto digest = sha256Hex(token);
    for (const auto &organisation : configuration.m_organisations) {
        if (organisation.m_tokenSha256 == digest) {
            return organisation.m_id;
        }
    }
    return unauthenticatedError();
}

std::optional<Error> checkOperatorToken(const Configuration &configuration, const HttpCall &call)
{
    const auto token = bearerToken(call);
    if (token.empty()) {
        return unauthenticatedError();
    }
    if (sha256Hex(token) != configuration.m_operatorTokenSha256) {
        return Error(ErrorKind::PermissionDenied, "the token is not the operator's", "use the operator's token");
    }
    return std::nullopt;
}

Result<Duration> parseLongPollTime(const HttpCall &call)
{
    const auto text = queryValue(call, "wait_ms");
    if (text.empty()) {
        return Duration(0);
    }
    long long waitMs = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), waitMs);
    const bool isWholeNumber = error == std::errc() && end == text.data() + text.size();
    if (!isWholeNumber || waitMs < 0 || Duration(waitMs) > maxLongPollTime) {
        return Error(ErrorKind::InvalidArgument, "wait_ms is '" + text + "'", "use a whole number from 0 to " + std::to_string(maxLongPollTime.count()));
    }
    return Duration(waitMs);
}

} // namespace PrimroseBridge
