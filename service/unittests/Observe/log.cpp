#include "primrosebridge/Observe/log.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

// A caller's text must not be able to forge a second log line or a second pair.
TEST_CASE("log values with spaces, quotes and line breaks are quoted and escaped")
{
    CHECK(formatFields({{"key", "a-1"}, {"text", "x\ny=\"z\""}}) == "key=a-1 text=\"x\\x0ay=\\\"z\\\"\"");
    CHECK(formatFields({{"empty", ""}}) == "empty=\"\"");
}

TEST_CASE("unknown log levels are refused")
{
    CHECK(logLevelFromName("warn").value() == LogLevel::Warn);
    CHECK(logLevelFromName("loud").error().kind() == ErrorKind::InvalidArgument);
}
