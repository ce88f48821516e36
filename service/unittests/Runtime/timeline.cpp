#include "primrosebridge/Runtime/outcometable.h"
#include "primrosebridge/Runtime/timelinemerge.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace PrimroseBridge;

static TimelineEvent event(std::int64_t id, long long at, const EventReference &cause)
{
    return TimelineEvent{.m_id = id, .m_at = fromMilliseconds(at), .m_kind = "step", .m_key = "k", .m_cause = cause, .m_text = {}};
}

// Clocks of VMs differ, so an effect may carry an earlier time than its cause.
TEST_CASE("an effect never stands before its cause, whatever the clocks say")
{
    const EventReference none{{}, 0};
    const std::vector<ProcessEvents> processes = {
        ProcessEvents{.m_vm = "a", .m_clockOffset = Duration(0), .m_truncated = false, .m_events = {event(1, 1000, none), event(2, 1010, {"b", 1})}},
        ProcessEvents{.m_vm = "b", .m_clockOffset = Duration(0), .m_truncated = true, .m_events = {event(1, 400, {"a", 1})}},
    };
    const auto merged = mergeTimelines(processes, {"c"});
    REQUIRE(merged.m_events.size() == 3);
    CHECK(merged.m_events[0].m_process == "a");
    CHECK(merged.m_events[1].m_process == "b");
    CHECK(merged.m_events[2].m_event.m_id == 2);
    CHECK(merged.m_missing == std::vector<std::string>{"c"});
    CHECK(merged.m_truncated == std::vector<std::string>{"b"});
}

// A cycle can only come from a damaged message; merging must still end.
TEST_CASE("a cycle of causes does not hang the merge")
{
    const std::vector<ProcessEvents> processes = {
        ProcessEvents{.m_vm = "a", .m_clockOffset = Duration(0), .m_truncated = false, .m_events = {event(1, 10, {"a", 2}), event(2, 20, {"a", 1})}},
    };
    CHECK(mergeTimelines(processes, {}).m_events.size() == 2);
}

static KnownOutcome known(OutcomeKind kind)
{
    return KnownOutcome{
        .m_organisation = OrganisationId::create("bakery").value(),
        .m_fingerprint = 1,
        .m_outcome = Outcome{.m_kind = kind, .m_result = {}, .m_reason = {}, .m_attempt = 1},
        .m_moved = false,
        .m_otherZone = std::nullopt,
        .m_at = fromMilliseconds(0),
    };
}

// Callers of an owner that lost its zone must be woken, or they would wait for an answer that comes elsewhere.
TEST_CASE("waiting callers are woken by an outcome and by the zone moving away")
{
    OutcomeTable table;
    const auto first = RequestKey::create("first").value();
    const auto second = RequestKey::create("second").value();
    table.publish(first, known(OutcomeKind::Pending));
    table.publish(second, known(OutcomeKind::Pending));
    std::thread waiter([&] {
        CHECK(table.wait(first, Duration(10000))->m_outcome.m_kind == OutcomeKind::Done);
        CHECK(table.wait(second, Duration(10000))->m_moved);
    });
    table.publish(first, known(OutcomeKind::Done));
    table.moveAll(fromMilliseconds(5));
    waiter.join();
    CHECK_FALSE(table.find(first)->m_moved);
}

// A burst of short requests must not fill the memory of a VM; requests that still wait must not be lost by it.
TEST_CASE("a burst of outcomes is bounded and pending ones are kept")
{
    OutcomeTable table;
    const auto waiting = RequestKey::create("waiting").value();
    table.publish(waiting, known(OutcomeKind::Pending));
    int kept = 0;
    for (int index = 0; index < 20000; ++index) {
        table.publish(RequestKey::create("burst-" + std::to_string(index)).value(), known(OutcomeKind::Done));
    }
    for (int index = 0; index < 20000; ++index) {
        kept += table.find(RequestKey::create("burst-" + std::to_string(index)).value()) ? 1 : 0;
    }
    CHECK(kept <= 16 * 512);
    CHECK(kept >= 16 * 400);
    CHECK(table.find(waiting));
}

TEST_CASE("final outcomes are forgotten after their retention and pending ones are kept")
{
    OutcomeTable table;
    const auto key = RequestKey::create("first").value();
    table.publish(key, known(OutcomeKind::Pending));
    table.forget(fromMilliseconds(100));
    CHECK(table.find(key));
    table.publish(key, known(OutcomeKind::Done));
    table.forget(fromMilliseconds(100));
    CHECK_FALSE(table.find(key));
}
