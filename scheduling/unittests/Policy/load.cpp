#include "primrosebridge/Policy/admission.h"
#include "primrosebridge/Policy/estimate.h"
#include "primrosebridge/Policy/workerscore.h"

#include "zonebuilder.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;
using std::chrono::minutes;
using std::chrono::seconds;

static JobClass curve()
{
    return {JobClassId::create("curve").value(), Tier::Standard, gpus(1), true, true, true, true, minutes(10), minutes(30), 3};
}

// Guards against plans that are wrong for ever because declared run times are.
TEST_CASE("the estimate learns a factor of ten and never exceeds the limit of the class")
{
    RunTimeEstimate first = observeRunTime(initialEstimate(), minutes(10), minutes(1));
    CHECK(expectedRunTime(first, curve(), minutes(10)) == minutes(1));
    CHECK(expectedRunTime({10, 5}, curve(), minutes(10)) == minutes(30));
    CHECK(observeRunTime(initialEstimate(), Duration(1), minutes(60)).m_ratio == 10);
}

// Guards against a worker that fails every task and stays in use because its failures are fast.
TEST_CASE("three failures eject a worker, and the backoff doubles until a task succeeds")
{
    const WorkerScore second = observeTask(observeTask(initialScore(), false, Duration(1), start), false, Duration(1), start);
    CHECK_FALSE(isEjected(second, start));
    const WorkerScore third = observeTask(second, false, Duration(1), start);
    CHECK(isEjected(third, start + seconds(29)));
    CHECK_FALSE(isEjected(third, start + seconds(30)));
    const WorkerScore fourth = observeTask(third, false, Duration(1), start + seconds(30));
    CHECK(isEjected(fourth, start + seconds(89)));
    const WorkerScore healed = observeTask(fourth, true, Duration(5), start + seconds(90));
    CHECK(healed.m_ejections == 0);
    CHECK_FALSE(isEjected(healed, start + seconds(90)));
}

// Guards against a 429 without a time to retry after.
TEST_CASE("a full queue is refused with the time after which a place is expected")
{
    const Organisation limited{OrganisationId::create("a").value(), 1, 10, 2, ""};
    CHECK_FALSE(admissionError({{{limited.m_id, 1}}, 1}, limited));
    const auto error = admissionError({{{limited.m_id, 2}}, 0.5}, limited);
    REQUIRE(error);
    CHECK(error->kind() == ErrorKind::QueueFull);
    CHECK(error->retryAfter() == seconds(2));
}

static int spendAll(const RetryBudget &budget, Instant now)
{
    const auto next = spendRetry(budget, now);
    return next ? 1 + spendAll(*next, now) : 0;
}

static RetryBudget earnAll(const RetryBudget &budget, int attempts, Instant now)
{
    return attempts == 0 ? budget : earnAll(earnRetry(budget, now), attempts - 1, now + Duration(10));
}

// Guards against retries that multiply the load of a failing zone.
TEST_CASE("retries stay within a tenth of first attempts, and three are possible in 10 s")
{
    CHECK(spendAll(initialRetryBudget(start), start) == 3);
    CHECK(spendAll(RetryBudget{0, start}, start + seconds(10)) == 3);
    CHECK(spendAll(earnAll({0, start}, 100, start), start + seconds(1)) <= 10);
}
