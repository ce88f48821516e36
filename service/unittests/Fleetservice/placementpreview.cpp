#include "primrosebridge/Fleetwire/placementpreview.h"
#include "primrosebridge/Fleetservice/fleetapi.h"
#include "primrosebridge/Fleetservice/fleetnode.h"
#include "primrosebridge/Fleetservice/fleetpeer.h"
#include "primrosebridge/Fleetservice/storekeys.h"
#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"

#include "nodefixture.h"
#include "ownersimulation.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

namespace PrimroseBridge {

using Sim = OwnerSimulation;
using Json = nlohmann::json;

static const std::string request = R"({"queue":"q","organisation":"org","steps":[{"count":2,"cpu":1000,"memMb":10,"gpu":1,"estimateMs":100}]})";

static HttpReply previewFrom(FleetNode &node, const std::string &body = request)
{
    return answerMetricsCall(node, callOf("POST", "/placement-preview", body));
}

// Asks until the answer is not 429, which a VM gives for a second after each preview.
static HttpReply nextPreviewFrom(FleetNode &node)
{
    std::optional<HttpReply> reply;
    waitUntil([&] {
        reply.emplace(previewFrom(node));
        return reply->m_status != 429;
    });
    return *reply;
}

static std::optional<Result<OwnerPreview>> previewOf(Sim &sim, const JobSpecPointer &spec, Instant now)
{
    std::optional<Result<OwnerPreview>> answer;
    sim.apply(PreviewRequested{.m_spec = spec, .m_answer = [&answer](const Result<OwnerPreview> &preview) { answer.emplace(preview); }}, now);
    return answer;
}

// Guards against a preview that acts like a pass: one that sends orders, writes records, creates the due occurrences of a repeated job or forgets
// settled jobs.
TEST_CASE("a preview changes nothing and names the place that the next pass uses")
{
    Sim sim;
    sim.configure(1, {"queue"});
    sim.becomeOwner({Sim::worker("w1"), Sim::worker("w2")});
    sim.answer("w1", std::nullopt, {}, Sim::at(5));
    sim.answer("w2", std::nullopt, {}, Sim::at(5));
    const auto step = Sim::stepOf(1, Resources{.m_milliCores = 1000, .m_memoryMb = 100, .m_accelerators = 8});
    const JobSchedule repeated{.m_count = 3, .m_firstDue = TimerService::wallClockNow(), .m_interval = Duration(3'600'000)};
    sim.apply(JobSubmitted{.m_spec = Sim::jobOfStep("repeated", "queue", Sim::policy(4), step, repeated)}, Sim::at(10));
    sim.apply(JobSubmitted{.m_spec = Sim::job("cancelled", "queue", Sim::policy(4))}, Sim::at(10));
    sim.apply(JobCancelled{.m_job = "cancelled"}, Sim::at(10));
    const auto jobs = sim.m_state.m_jobs.values();
    const auto order = sim.m_state.m_jobOrder;
    const auto records = sim.m_records.size();
    const auto polls = sim.m_reportRequests.size();

    const auto answer = previewOf(sim, Sim::job(std::string(previewJobId), "queue", Sim::policy(4)), Sim::at(20));
    REQUIRE(answer.has_value());
    REQUIRE(answer->ok());
    const auto &preview = answer->value().m_preview;
    CHECK(answer->value().m_configurationVersion == 1);
    CHECK(preview.m_decision == PreviewDecision::Starts);
    REQUIRE(preview.m_places.size() == 1);
    CHECK(sim.m_state.m_jobs.values() == jobs);
    CHECK(sim.m_state.m_jobOrder == order);
    CHECK(sim.m_records.size() == records);
    CHECK(sim.m_reportRequests.size() == polls);
    CHECK(sim.m_startOrders.empty());
    CHECK(sim.m_stopOrders.empty());
    CHECK_FALSE(sim.m_state.m_urgentDemand.has_value());

    sim.apply(JobSubmitted{.m_spec = Sim::job("submitted", "queue", Sim::policy(4))}, Sim::at(30));
    sim.place(Sim::at(30));
    CHECK(sim.m_startOrders.size() == 2); // The occurrence that was due and the submitted job.
    CHECK(sim.workerOf("submitted") == preview.m_places[0].m_worker);
}

// Guards against an answer from a VM that has lost the fleet, or whose ownership lease may have lapsed, while the request was under way.
TEST_CASE("a VM that no longer owns the fleet for certain refuses a preview")
{
    Sim sim;
    sim.configure(1, {"queue"});
    const auto spec = Sim::job(std::string(previewJobId), "queue", Sim::policy(4));
    CHECK(previewOf(sim, spec, Sim::at(0))->error().kind() == ErrorKind::Unavailable);
    sim.becomeOwner({Sim::worker("w1")});
    CHECK(previewOf(sim, spec, Sim::at(10))->ok());
    updateAuthority(sim.m_state, Sim::at(15), Sim::at(20));
    CHECK(previewOf(sim, spec, Sim::at(20))->error().kind() == ErrorKind::Unavailable);
    sim.apply(OwnershipLost{.m_fence = Sim::fence, .m_reason = "test"}, Sim::at(30));
    CHECK(previewOf(sim, spec, Sim::at(30))->error().kind() == ErrorKind::Unavailable);
}

// Guards against any failure on the path of a preview through a VM that does not own the fleet, and against more than one preview a second.
TEST_CASE("previews are answered by any VM and limited on each")
{
    StandinStore store;
    StandinWorker worker("w1", "r1", Duration(100));
    store.put("op/config", configurationText(7, R"("k1")"));
    store.put("servers/w1", worker.entry("ready"));
    const auto first = FleetNode::create(settingsOf("vm-1", store)).take();
    REQUIRE(waitUntil([&] { return store.value(std::string(StoreKeys::owner)).has_value(); }));
    const auto second = FleetNode::create(settingsOf("vm-2", store)).take();
    REQUIRE(waitUntil([&] { return first->ready() && second->ready() && nextPreviewFrom(*second).m_body.find("\"w1\"") != std::string::npos; }, 20'000));
    for (auto *node : {first.get(), second.get()}) {
        const auto reply = nextPreviewFrom(*node);
        REQUIRE(reply.m_status == 200);
        const auto preview = Json::parse(reply.m_body);
        CHECK(preview.at("decision") == "starts");
        CHECK(preview.at("rank") == "guaranteed");
        CHECK(preview.at("owner") == "vm-1");
        CHECK(preview.at("configuration") == 7);
        CHECK(preview.at("estimatedWaitMs") == 0);
        CHECK(preview.at("reason").is_null());
        CHECK(preview.at("victims").empty());
        REQUIRE(preview.at("places").size() == 2);
        CHECK(preview.at("places")[1].at("task") == 1);
        CHECK(preview.at("places")[1].at("estimatedRunMs") == 100);
        const auto limited = previewFrom(*node);
        CHECK(limited.m_status == 429);
        CHECK(limited.m_headers == std::vector<std::pair<std::string, std::string>>{{"Retry-After", "1"}});
        // A wrong request gets its reason also within that second.
        CHECK(previewFrom(*node, "{}").m_status == 400);
    }
    CHECK(worker.runHistory().empty());
    // While the owner changes, previews are answered or refused with a reason.
    first->beginShutdown();
    first->handOver();
    CHECK(waitUntil([&] {
        const auto reply = nextPreviewFrom(*second);
        CHECK((reply.m_status == 200 || reply.m_status == 503));
        return reply.m_status == 200 && Json::parse(reply.m_body).at("owner") == "vm-2";
    }));
    CHECK(answerMetricsCall(*second, callOf("GET", "/metrics", {})).m_body.find("primrosebridge_fleet_owner") != std::string::npos);
    CHECK(answerMetricsCall(*second, callOf("GET", "/placement-preview", {})).m_status == 405);
}

// Guards against a call that blocks, or answers without a reason, while no VM owns the fleet and before the first configuration.
TEST_CASE("a preview without a configuration or an owner is refused with a reason")
{
    StandinStore store;
    const auto node = FleetNode::create(settingsOf("vm-1", store)).take();
    const auto unconfigured = previewFrom(*node);
    CHECK(unconfigured.m_status == 503);
    CHECK(Json::parse(unconfigured.m_body).at("error").at("message") == "this VM has no configuration yet");
    node->beginShutdown(); // Keeps this VM from becoming the owner.
    store.put("op/config", configurationText(1, R"("k1")"));
    REQUIRE(waitUntil([&] { return node->configuration() != nullptr; }));
    const auto unowned = previewFrom(*node);
    CHECK(unowned.m_status == 503);
    CHECK(Json::parse(unowned.m_body).at("error").at("message") == "no VM is known to own the fleet");
    CHECK(Json::parse(unowned.m_body).at("error").at("kind") == "unavailable");
}

// Guards against a peer that waits for longer than the limit of a preview when the owner cannot be reached.
TEST_CASE("a preview from an unreachable owner fails in time")
{
    FleetPeerClient client;
    const auto startedAt = std::chrono::steady_clock::now();
    const auto answer = client.previewPlacement(freeAddress(), request, Duration(500));
    CHECK(answer.error().kind() == ErrorKind::Unavailable);
    CHECK(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(2));
}

// Guards against refusals from which the operator cannot tell which field is wrong, and against deep or odd documents that end the process.
TEST_CASE("a wrong preview request is refused with the field that is wrong")
{
    const auto configuration = decodeConfiguration(configurationText(7, R"("k1")")).value();
    const auto step = [](const std::string &members) { return R"({"queue":"q","steps":[{"count":1},{"count":1,)" + members + "}]}"; };
    const std::vector<std::pair<std::string, std::string>> requests = {
        {"[1]", "not a JSON object"},
        {"{", "cannot be read"},
        {R"({"queue":"q","queue":"q","steps":[{"count":1}]})", "'queue' is there twice"},
        {R"({"steps":[]})", "'queue' is missing"},
        {R"({"queue":5,"steps":[]})", "'queue' is missing or not a text"},
        {R"({"queue":"q"})", "'steps' is missing"},
        {R"({"queue":"q","steps":[]})", "'steps' is missing"},
        {R"({"queue":"q","steps":[7]})", "'steps[0]' is not an object"},
        {R"({"queue":"q","organisation":"nobody","steps":[{"count":1}]})", "'organisation' names 'nobody'"},
        {R"({"queue":"q","organisation":1,"steps":[{"count":1}]})", "'organisation' is not a text"},
        {step(R"("gpu":"two")"), "'steps[1].gpu' is not a number"},
        {step(R"("requires":3)"), "'steps[1].requires' is not a text"},
        {step(R"("after":["a"])"), "'steps[1].after' is not a list of numbers"},
        {step(R"("after":[1])"), "'steps': step 1 waits for step 1"},
        {step(R"("cpu":-1)"), "'steps': step 1 requests a negative amount"},
        {step(R"("cpu":1e300)"), "'cpu' is out of range"},
        {R"({"queue":"q","steps":[{"count":0}]})", "'steps': step 0 has 0 tasks"},
        {R"({"queue":"q","steps":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}", "nested"},
    };
    for (const auto &[body, message] : requests) {
        const auto decoded = decodePreviewRequest(configuration, body, Instant());
        INFO(body.substr(0, 100));
        REQUIRE_FALSE(decoded.ok());
        CHECK(decoded.error().kind() == ErrorKind::InvalidArgument);
        CHECK_THAT(decoded.error().message(), Catch::Contains(message));
    }
    const auto unknown = decodePreviewRequest(configuration, R"({"queue":"other","steps":[{"count":1}]})", Instant());
    CHECK(unknown.error().kind() == ErrorKind::NotFound);
    const auto job = decodePreviewRequest(configuration, request, Instant()).value();
    CHECK(job.m_queue == "q");
    CHECK(job.m_organisation == "org");
    CHECK(job.m_steps.at(0).m_taskCount == 2);
    CHECK(decodePreviewRequest(configuration, R"({"queue":"q","steps":[{"count":1,"after":null}]})", Instant()).ok());
}

} // namespace PrimroseBridge
