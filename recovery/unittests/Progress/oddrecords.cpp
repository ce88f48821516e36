#include "primrosebridge/Progress/jobrecord.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Json = nlohmann::json;

static JobSpec sampleSpec()
{
    return JobSpec{
        .m_id = "5c0e7a21d94b36f8",
        .m_queue = "queue",
        .m_acceptedPolicy = std::nullopt,
        .m_organisation = {},
        .m_acceptedAt = fromMilliseconds(1000),
        .m_payload = "payload",
        .m_steps = {JobStep{.m_taskCount = 2,
                            .m_taskResources = Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 1},
                            .m_estimate = Duration(200),
                            .m_after = {},
                            .m_gang = false,
                            .m_sameRack = false,
                            .m_requiredLabel = {},
                            .m_dataRack = {},
                            .m_maxPerWorker = 0,
                            .m_speculative = false,
                            .m_checkpointing = false,
                            .m_longRunning = false,
                            .m_image = {},
                            .m_tailLatencyTarget = Duration(0),
                            .m_filler = false,
                            .m_maxUnavailable = 0}},
        .m_schedule = JobSchedule{.m_count = 0, .m_firstDue = fromMilliseconds(0), .m_interval = Duration(0)},
    };
}

static std::string submissionWith(const char *pointer, const Json &value)
{
    auto record = Json::parse(encodeSubmission(sampleSpec()));
    record[Json::json_pointer(pointer)] = value;
    return record.dump();
}

static Json nested(std::size_t depth)
{
    return Json::parse(std::string(depth, '[') + std::string(depth, ']'));
}

// Guards against a record of another writer that ends the owner's process, once at each takeover: the state of a job with 2^31 tasks
// does not fit into memory, and a step that depends on a later one reads beyond its vector.
TEST_CASE("a submission record beyond the limits of a job is rejected")
{
    REQUIRE(decodeSubmission(encodeSubmission(sampleSpec())).ok());
    CHECK_FALSE(decodeSubmission(submissionWith("/steps/0/tasks", 2147483647)).ok());
    CHECK_FALSE(decodeSubmission(submissionWith("/steps/0/tasks", -1)).ok());
    CHECK_FALSE(decodeSubmission(submissionWith("/steps/0/after", Json::array({5}))).ok());
    CHECK_FALSE(decodeSubmission(submissionWith("/steps/0/cores", -5)).ok());
    CHECK_FALSE(decodeSubmission(submissionWith("/times", 1e300)).ok());
    CHECK_FALSE(decodeSubmission(submissionWith("/steps", Json::array())).ok());
    CHECK_FALSE(decodeSubmission(R"({"layout":1,"steps":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}").ok());
    CHECK_FALSE(decodeSubmission(R"({"layout":1e400})").ok());
}

// Guards against the loss of an accepted job: an earlier release stores no policy, and a policy beyond the limits must not overflow the
// times that are computed from it.
TEST_CASE("a submission record is read without a policy and with a policy beyond the limits")
{
    REQUIRE(decodeSubmission(encodeSubmission(sampleSpec())).ok());
    CHECK_FALSE(decodeSubmission(encodeSubmission(sampleSpec())).value().m_acceptedPolicy);
    const Json odd{{"pool", "p"}, {"priority", -5}, {"attempts", 0}, {"slack", 1e300}, {"latency_goal", 9'000'000'000'000'000'000}, {"advice", false}};
    const auto decoded = decodeSubmission(submissionWith("/policy", odd));
    REQUIRE(decoded.ok());
    CHECK(decoded.value().m_acceptedPolicy->m_maxAttempts == 1);
    CHECK(decoded.value().m_acceptedPolicy->m_slackFactor <= 1e6);
    CHECK(decoded.value().m_acceptedPolicy->m_latencyGoal <= std::chrono::hours(24 * 366));
    CHECK_FALSE(decodeSubmission(submissionWith("/policy", "none")).ok());
}

// Guards against a record of another writer whose number of the next occurrence keeps the owner busy for ever.
TEST_CASE("a progress record beyond the schedule of its job is rejected")
{
    const auto spec = std::make_shared<const JobSpec>(sampleSpec());
    const auto progress = Json::parse(encodeProgress(*newJobState(spec, 2, fromMilliseconds(0))));
    const auto restoredWith = [&](const char *pointer, const Json &value) {
        auto changed = progress;
        changed[Json::json_pointer(pointer)] = value;
        return restoreJob(spec, 2, changed.dump(), fromMilliseconds(0)).ok();
    };
    REQUIRE(restoredWith("/version", 0));
    CHECK_FALSE(restoredWith("/next", -1'000'000'000'000));
    CHECK_FALSE(restoredWith("/next", 1'000'000'000'000));
    CHECK_FALSE(restoredWith("/occurrences/0/steps", Json::array()));
    CHECK_FALSE(restoredWith("/occurrences/0/number", nested(1000)));
}

} // namespace PrimroseBridge
