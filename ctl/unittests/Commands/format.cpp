#include "fakeprocess.h"

#include "primrosebridge/Commands/format.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

static const std::string timeline = R"({"missing":["vm3"],"truncated":["vm1"],"events":[
    {"process":"vm1","id":1,"at_ms":900000,"kind":"owner","key":"","cause_process":"","cause_id":0,"text":"took over"},
    {"process":"vm2","id":8,"at_ms":900500,"kind":"accepted","key":"other","cause_process":"","cause_id":0,"text":""},
    {"process":"vm2","id":9,"at_ms":1000000,"kind":"placed","key":"g1","cause_process":"vm1","cause_id":1,"text":"on w1"}]})";

TEST_CASE("table columns are aligned by characters, and control characters are replaced")
{
    CHECK(formatTable({{"A", "B"}, {"é\x1b[2J", "x"}}) == "A      B\né?[2J  x\n");
}

TEST_CASE("nested objects and lists are indented")
{
    CHECK(formatKeyValues(R"({"state":"waiting","limits":{"quota":8},"reasons":["full"],"members":[]})")
          == "state: waiting\nlimits:\n  quota: 8\nreasons:\n  - full\nmembers: none\n");
}

// The cause of a placement often belongs to no request. If it were filtered out, the timeline would not explain the placement.
TEST_CASE("the timeline of a request includes the causes of its events")
{
    FakeProcess process;
    process.setResponses({ServerResponse{200, timeline}, ServerResponse{200, timeline}});
    CHECK(runSubcommand(process, {"timeline"}, {{"request", "g1"}}) == ExitCode::Done);
    CHECK(process.m_calls.at(0).m_path == "/v1/timeline?key=g1&since_s=2592000");
    CHECK_THAT(process.m_stdoutText, Catch::Contains("1970-01-01T00:15:00.000Z  vm1#1"));
    CHECK_THAT(process.m_stdoutText,
               Catch::Contains("vm2#9") && !Catch::Contains("vm2#8") && Catch::Contains("missing from:  vm3") && Catch::Contains("overwritten at:  vm1"));
    process.m_stdoutText.clear();
    CHECK(runSubcommand(process, {"timeline"}, {{"since", "60"}}) == ExitCode::Done);
    CHECK(process.m_calls.at(1).m_path == "/v1/timeline?since_s=60");
    CHECK_THAT(process.m_stdoutText, Catch::Contains("vm2#9") && !Catch::Contains("took over") && !Catch::Contains("vm2#8"));
}

TEST_CASE("the fleet is shown with its workers and guarantees")
{
    const auto text = formatFleet(R"({"zone":"z1","owner":"vm1","role":"standby","fragmentation":0.25,
        "workers":[{"id":"w1","rack":"r1","status":"live","ejected":false,"accelerators":8,"free":[0,1],"tasks":["g1/1/0"]}],
        "guarantees":[{"organisation":"org","count":2,"shortfall":0}]})");
    CHECK_THAT(text, Catch::Contains("fragmentation  0.25") && Catch::Contains("w1      r1    live    false    8             [0,1]  1"));
    CHECK_THAT(text, Catch::Contains("org           2      0"));
}
