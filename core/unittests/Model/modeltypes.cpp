#include "primrosebridge/Model/request.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

// Identifiers are parts of store keys, so they must not contain the separator of keys.
TEST_CASE("identifiers with separators, empty identifiers and overlong identifiers are refused")
{
    CHECK(RequestKey::create("kiln-2026.12_04").ok());
    CHECK_FALSE(RequestKey::create("").ok());
    CHECK_FALSE(RequestKey::create("a/b").ok());
    CHECK_FALSE(RequestKey::create(std::string(maxIdentifierBytes + 1, 'a')).ok());
    CHECK(RequestKey::create("a b").error().kind() == ErrorKind::InvalidArgument);
}

// Guards against a truncated result that is accepted as complete.
TEST_CASE("a truncated result has another digest than the complete result")
{
    CHECK(fnv1aDigest("crack at 12 mm") != fnv1aDigest("crack at 12 m"));
    CHECK(fnv1aDigest("") != fnv1aDigest(std::string_view("\0", 1)));
}

TEST_CASE("names of enumeration values convert back to the same value")
{
    for (const auto kind : {OutcomeKind::Pending, OutcomeKind::Done, OutcomeKind::Failed, OutcomeKind::Cancelled, OutcomeKind::NotRun, OutcomeKind::Unknown}) {
        CHECK(outcomeKindFromName(outcomeKindName(kind)).value() == kind);
    }
    CHECK_FALSE(outcomeKindFromName("maybe").ok());
    CHECK(errorKindFromName(errorKindName(ErrorKind::QueueFull)) == ErrorKind::QueueFull);
}
