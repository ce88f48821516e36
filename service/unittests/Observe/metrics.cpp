#include "primrosebridge/Observe/metrics.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;

// Guards against a counter that decreases, which Prometheus treats as a restart of the process.
TEST_CASE("a counter follows a total that is counted elsewhere and never decreases")
{
    Metrics metrics;
    metrics.raiseTo(Counter::StoreCalls, "read", 7);
    metrics.raiseTo(Counter::StoreCalls, "read", 5);
    CHECK(metrics.serialize().find("primrosebridge_store_calls_total{kind=\"read\"} 7") != std::string::npos);
}
