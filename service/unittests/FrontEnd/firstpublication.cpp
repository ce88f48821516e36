#include "operatorapi.h"

#include "primrosebridge/Config/reader.h"
#include "primrosebridge/FrontEnd/api.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace PrimroseBridge;

// Returns the example configuration with the operator token that the writer of the document chose.
static std::string documentWithToken(const std::string &token)
{
    std::ifstream file(std::string(PRIMROSEBRIDGE_EXAMPLES) + "/zwolle.json");
    std::stringstream text;
    text << file.rdbuf();
    auto document = text.str();
    const std::string field = "\"operatorTokenSha256\": \"";
    const auto digest = sha256Hex(token);
    document.replace(document.find(field) + field.size(), digest.size(), digest);
    return document;
}

static std::optional<Error> checkCall(const std::string &document, const std::string &token, const std::string &seenVersion)
{
    return checkFirstPublication(std::get<Configuration>(readConfiguration(document)),
                                 HttpCall{.m_method = "PUT",
                                          .m_path = {"v1", "configuration"},
                                          .m_query = {},
                                          .m_headers = {{"authorization", "Bearer " + token}, {"if-match", seenVersion}},
                                          .m_body = document});
}

// Guards against a caller that takes a deployment over: it sends a document with an operator token of its own, and the version in force, to
// a VM that has just started and has no configuration to check the token against.
TEST_CASE("a VM without a configuration does not replace the one in force")
{
    const auto document = documentWithToken("attacker");
    const auto replacing = checkCall(document, "attacker", "\"7\"");
    REQUIRE(replacing);
    CHECK(replacing->kind() == ErrorKind::Unavailable);
    CHECK_FALSE(checkCall(document, "attacker", "0"));
    CHECK(checkCall(document, "other", "0")->kind() == ErrorKind::PermissionDenied);
    CHECK(checkCall(document, "", "7")->kind() == ErrorKind::Unauthenticated);
}
