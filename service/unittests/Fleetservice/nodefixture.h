#pragma once

#include "primrosebridge/Fleetservice/fleetapi.h"
#include "primrosebridge/Fleetservice/fleetnode.h"
#include "primrosebridge/Fleetstandin/standinstore.h"

#include <Poco/Net/ServerSocket.h>

#include <string>
#include <thread>

namespace PrimroseBridge {

inline std::string freeAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

inline FleetSettings settingsOf(const std::string &vm, const std::string &storeAddress, double processorCores = 1.0)
{
    const auto peerAddress = freeAddress();
    return FleetSettings{.m_vm = VmId::create(vm).value(),
                         .m_zone = ZoneId::create("zone-a").value(),
                         .m_frontAddress = {},
                         .m_readinessAddress = {},
                         .m_peerAddress = peerAddress,
                         .m_peerListenAddress = peerAddress,
                         .m_metricsAddress = {},
                         .m_storeAddress = storeAddress,
                         .m_taskLease = Duration(3000),
                         .m_shortestStoreLease = Duration(1000),
                         .m_reclaimBound = Duration(3400),
                         .m_stopBound = Duration(900),
                         .m_shutdownBound = Duration(6000),
                         .m_processorCores = processorCores,
                         .m_remoteFactor = 3.0,
                         .m_logLevel = "info",
                         .m_callDelayBound = Duration(4000)}; // Tests that hold calls back let them be executed within this time.
}

inline FleetSettings settingsOf(const std::string &vm, const StandinStore &store, double processorCores = 1.0)
{
    return settingsOf(vm, store.address(), processorCores);
}

inline std::string configurationText(int version, const std::string &keys)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[{"name":"q","host":"h.example","prefix":"/q/","service":"pool","attempts":2,"priority":0,"latencyGoalMs":300,)"
             R"("slackFactor":1.5}],"services":[{"name":"pool"}],"limits":{},"tenants":[{"name":"org","keys":[)"
           + keys + R"(],"guaranteed":{"gpu":8}}]})";
}

inline HttpCall callOf(const std::string &method, const std::string &path, const std::string &body, const std::string &key = "k1")
{
    return HttpCall{.m_method = method,
                    .m_path = {},
                    .m_query = {},
                    .m_headers = {{"host", "H.example:80"}, {"authorization", "Bearer " + key}},
                    .m_body = body,
                    .m_rawPath = path};
}

inline const std::string oneTaskJob = R"({"spec":"x","phases":[{"count":1,"cpu":1000,"memMb":10,"gpu":1,"estimateMs":100}]})";

template<class Condition>
inline bool waitUntil(Condition condition, int timeoutMs = 6000)
{
    for (int waitedMs = 0; waitedMs < timeoutMs; waitedMs += 20) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(Duration(20));
    }
    return condition();
}

inline bool isComplete(FleetNode &node, const std::string &path)
{
    return answerFleetCall(node, callOf("GET", path, {})).m_body == R"({"state":"complete"})";
}

} // namespace PrimroseBridge
