#include "configtestdata.h"

#include "primrosebridge/Config/fleetsettings.h"

#include <catch2/catch.hpp>

using namespace PrimroseBridge;
using namespace PrimroseBridge::Test;

TEST_CASE("process settings have defaults for all fields except VM and zone")
{
    const auto read = readProcessSettings("{\"vm\": \"vm1\", \"zone\": \"z1\" /* the rest has defaults */}");
    REQUIRE(std::holds_alternative<ProcessSettings>(read));
    const auto &settings = std::get<ProcessSettings>(read);
    CHECK(settings.m_httpAddress == "127.0.0.1:8080");
    CHECK(settings.m_storePort == 2379);
    CHECK(settings.m_logLevel == "info");
    CHECK(settings.m_peers.empty());
}

// A process with wrong settings would run in the wrong zone or never reach the store, so each of these faults is reported.
TEST_CASE("all faults in process settings are reported at once")
{
    const auto read = readProcessSettings(R"({"vm": "vm1", "httpAddress": "here:80", "peerAddress": "127.0.0.1:9090", "store": {"host": "etcd", "port": 0},
        "vmlist": {}, "peers": [{"vm": "vm1", "zone": "z1", "address": "127.0.0.1:1"}, 5], "logLevel": "loud", "httpThreads": 1})");
    REQUIRE(std::holds_alternative<std::vector<ConfigFault>>(read));
    const auto &faults = std::get<std::vector<ConfigFault>>(read);
    INFO(describeFaults(faults));
    CHECK(hasFault(faults, "/zone", "is missing"));
    CHECK(hasFault(faults, "/httpAddress", "'here:80'"));
    CHECK(hasFault(faults, "/store/host", "'etcd', not an IP address"));
    CHECK(hasFault(faults, "/store/port", "from 1 to 65535"));
    CHECK(hasFault(faults, "/vmlist", "write vmList"));
    CHECK(hasFault(faults, "/peers/0/vm", "which is this VM"));
    CHECK(hasFault(faults, "/peers/1", "not an object"));
    CHECK(hasFault(faults, "/logLevel", "'loud'"));
    CHECK(hasFault(faults, "/httpThreads", "2 to 128"));
    CHECK(faults.size() == 9);
}

// Guards against wrong defaults or units of the platform bounds, and against faults that are reported only after others are corrected.
TEST_CASE("fleet settings have the bounds of the smallest deployments as defaults, and all their faults are reported at once")
{
    const std::string required = R"("vm": "vm1", "zone": "z1", "frontAddress": "127.0.0.1:1", "readinessAddress": "127.0.0.1:2",
        "peerAddress": "127.0.0.1:3", "metricsAddress": "127.0.0.1:4", "storeAddress": "127.0.0.1:5")";
    const auto defaults = readFleetSettings("{" + required + " /* the rest has defaults */}");
    REQUIRE(std::holds_alternative<FleetSettings>(defaults));
    CHECK(std::get<FleetSettings>(defaults).m_peerListenAddress == "127.0.0.1:3");
    CHECK(std::get<FleetSettings>(defaults).m_reclaimBound == Duration(3400));
    CHECK(std::get<FleetSettings>(defaults).m_stopBound == Duration(900));
    CHECK(std::get<FleetSettings>(defaults).m_taskLease == Duration(6000));
    const auto read = readFleetSettings("{" + required + R"(, "reclaimBoundMs": 5000, "stopBoundMs": 1200, "taskLeaseMs": 10000})");
    REQUIRE(std::holds_alternative<FleetSettings>(read));
    CHECK(std::get<FleetSettings>(read).m_reclaimBound == Duration(5000));
    CHECK(std::get<FleetSettings>(read).m_stopBound == Duration(1200));
    CHECK(std::get<FleetSettings>(read).m_taskLease == Duration(10000));
    const auto wrong = readFleetSettings("{" + required + R"(, "reclaimBoundMs": 0, "stopBoundMs": "long", "reclaimBound": 1})");
    REQUIRE(std::holds_alternative<std::vector<ConfigFault>>(wrong));
    CHECK(std::get<std::vector<ConfigFault>>(wrong).size() == 3);
}

// Guards against a bound on starts in drained zones where the deployment sets none, which would stop all starts while the store is silent.
TEST_CASE("the bound of zone drains is optional and limited")
{
    const auto read = [](const std::string &field) {
        return readFleetSettings(R"({"vm": "vm1", "zone": "z1", "frontAddress": "127.0.0.1:1", "readinessAddress": "127.0.0.1:2", )"
                                 R"("peerAddress": "127.0.0.1:3", "metricsAddress": "127.0.0.1:4", "storeAddress": "127.0.0.1:5")"
                                 + field + "}");
    };
    CHECK_FALSE(std::get<FleetSettings>(read("")).m_zoneDrainBound);
    CHECK(std::get<FleetSettings>(read(R"(, "zoneDrainBoundMs": 1000)")).m_zoneDrainBound == Duration(1000));
    CHECK(std::get<FleetSettings>(read(R"(, "zoneDrainBoundMs": 600000)")).m_zoneDrainBound == Duration(600'000));
    for (const auto *value : {"999", "600001", "\"5000\"", "null"}) {
        const auto wrong = read(R"(, "zoneDrainBoundMs": )" + std::string(value));
        REQUIRE(std::holds_alternative<std::vector<ConfigFault>>(wrong));
        CHECK(std::get<std::vector<ConfigFault>>(wrong).size() == 1);
    }
}
