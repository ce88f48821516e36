#include "primrosebridge/Model/request.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

// Identifiers become parts of store keys, so a separator in one must never get through.
TEST_CASE("identifiers refuse separators, empty text and excess length")
{
    CHECK(RequestKey::create("kiln-2026.12_04").ok());
    CHECK_FALSE(RequestKey::create("").ok());
    CHECK_FALSE(RequestKey::create("a/b").ok());
    CHECK_FALSE(RequestKey::create(std::string(maxIdentifierBytes + 1, 'a')).ok());
    CHECK(RequestKey::create("a b").error().kind() == ErrorKind::InvalidArgument);
}

// A result cut by one byte must not pass for the whole one.
TEST_CASE("the digest tells a truncated result from the whole one")
{
    CHECK(fnv1aDigest("crack at 12 mm") != fnv1aDigest("crack at 12 m"));
    CHECK(fnv1aDigest("") != fnv1aDigest(std::string_view("\0", 1)));
}

TEST_CASE("names of enumerations survive a round trip")
{
    for (const auto kind : {OutcomeKind::Pending, OutcomeKind::Done, OutcomeKind::Failed, OutcomeKind::Cancelled, OutcomeKind::NotRun, OutcomeKind::Unknown}) {
        CHECK(outcomeKindFromName(outcomeKindName(kind)).value() == kind);
    }
    CHECK_FALSE(outcomeKindFromName("maybe").ok());
    CHECK(errorKindFromName(errorKindName(ErrorKind::QueueFull)) == ErrorKind::QueueFull);
}
