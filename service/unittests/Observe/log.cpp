#include "primrosebridge/Observe/log.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

// Guards against a caller's text that forges another log line or another key=value pair.
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
