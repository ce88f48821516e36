#include "primrosebridge/Work/job.h"
#include "primrosebridge/Work/fleetconfiguration.h"

#include <catch2/catch.hpp>

namespace PrimroseBridge {

static JobStep makeStep(int tasks, std::vector<int> after)
{
    return JobStep{.m_taskCount = tasks,
                   .m_taskResources = Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 1},
                   .m_estimate = Duration(1000),
                   .m_after = std::move(after),
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
                   .m_maxUnavailable = 0};
}

static JobSpec makeJob(std::vector<JobStep> steps, std::string payload = "payload")
{
    return JobSpec{.m_id = "5c0e7a21d94b36f8",
                   .m_queue = "queue",
                   .m_acceptedPolicy = std::nullopt,
                   .m_organisation = "org",
                   .m_acceptedAt = fromMilliseconds(1000),
                   .m_payload = std::move(payload),
                   .m_steps = std::move(steps),
                   .m_schedule = JobSchedule{.m_count = 0, .m_firstDue = fromMilliseconds(0), .m_interval = Duration(0)}};
}

// Guards against tasks whose names in a worker's reports cannot be mapped back to the task.
TEST_CASE("task names convert back to the same task, and other texts are refused")
{
    const TaskReference task{.m_job = "5c0e.7a21", .m_occurrence = 3, .m_step = 1, .m_index = 17};
    CHECK(taskName(task) == "5c0e.7a21.3.1.17");
    CHECK(taskFromName(taskName(task)).value() == task);
    for (const std::string text : {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.-2.3", "a.1.2.99999999"}) {
        CHECK_FALSE(taskFromName(text).ok());
    }
}

// Guards against a submission that exhausts the memory of a VM or refers to steps that do not exist.
TEST_CASE("jobs that exceed a limit are refused")
{
    CHECK(checkJob(makeJob({makeStep(4, {}), makeStep(2, {0})})).ok());
    CHECK_FALSE(checkJob(makeJob({})).ok());
    CHECK_FALSE(checkJob(makeJob({makeStep(0, {})})).ok());
    CHECK_FALSE(checkJob(makeJob({makeStep(1, {0})})).ok());
    CHECK_FALSE(checkJob(makeJob({makeStep(JobLimits::maxTasksPerStep + 1, {})})).ok());
    CHECK_FALSE(checkJob(makeJob({makeStep(1, {})}, std::string(JobLimits::maxPayloadBytes + 1, 'x'))).ok());
}

// Guards against a call that is routed to the queue of a shorter prefix or of another host.
TEST_CASE("the host and the longest matching path prefix select the queue")
{
    const auto makeQueue = [](std::string name, std::string host, std::string prefix) {
        return QueueSettings{.m_name = std::move(name),
                             .m_host = std::move(host),
                             .m_pathPrefix = std::move(prefix),
                             .m_policy = QueuePolicy{.m_workerPool = "pool",
                                                     .m_priority = 0,
                                                     .m_maxAttempts = 1,
                                                     .m_slackFactor = 1.0,
                                                     .m_latencyGoal = Duration(0),
                                                     .m_needsPlacementAdvice = false},
                             .m_timeout = Duration(0),
                             .m_isPublic = false};
    };
    const FleetConfiguration configuration{.m_version = 1,
                                           .m_queues = {makeQueue("short", "a", "/x/"), makeQueue("long", "a", "/x/y/"), makeQueue("other", "b", "/x/")},
                                           .m_organisations = {{.m_name = "org", .m_apiKeys = {"k1", "k2"}, .m_guaranteedAccelerators = 8}},
                                           .m_pools = {},
                                           .m_maxBodyBytes = 1000};
    CHECK(findQueueForRequest(configuration, "a", "/x/1")->m_name == "short");
    CHECK(findQueueForRequest(configuration, "a", "/x/y/1")->m_name == "long");
    CHECK(findQueueForRequest(configuration, "b", "/x/y/1")->m_name == "other");
    CHECK(findQueueForRequest(configuration, "c", "/x/1") == nullptr);
    CHECK(findOrganisationByApiKey(configuration, "k2")->m_name == "org");
    CHECK(findOrganisationByApiKey(configuration, "") == nullptr);
}

} // namespace PrimroseBridge
