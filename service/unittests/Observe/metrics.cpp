#include "primrosebridge/Observe/metrics.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

// A counter that falls makes Prometheus take it for a restart of the process.
TEST_CASE("a counter follows a total that is counted elsewhere and never falls")
{
    Metrics metrics;
    metrics.raiseTo(Counter::StoreCalls, "read", 7);
    metrics.raiseTo(Counter::StoreCalls, "read", 5);
    CHECK(metrics.serialize().find("primrosebridge_store_calls_total{kind=\"read\"} 7") != std::string::npos);
}
