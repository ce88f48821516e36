#include "primrosebridge/Fleetstandin/standinstore.h"
#include "primrosebridge/Fleetstandin/standinworker.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

ABSL_FLAG(int, workers, 12, "Number of workers; each rack has four.");
ABSL_FLAG(int, run_ms, 1500, "Run time of each task, in milliseconds.");
ABSL_FLAG(int, lease_ms, 6000, "Longest lease that a worker grants, in milliseconds.");
ABSL_FLAG(int, zone_ports, 0, "Number of further store ports, each with worker and VM addresses of its own.");
ABSL_FLAG(unsigned, seed, 1, "Seed of the random generators that choose which calls get a fault.");

namespace PrimroseBridge {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

static constexpr int workersPerRack = 4;

namespace {

// Injects one kind of fault into calls at random with a given probability. Thread-safe.
template<class Fault>
class FaultSource
{
public:
    explicit FaultSource(unsigned seed)
        : m_random(seed)
    {
    }

    void setFault(Fault fault, double probability)
    {
        const std::lock_guard lock(m_mutex);
        m_fault = fault;
        m_probability = probability;
    }

    Fault drawFault()
    {
        const std::lock_guard lock(m_mutex);
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < m_probability ? m_fault : Fault::None;
    }

private:
    std::mutex m_mutex;
    std::mt19937 m_random;
    Fault m_fault = Fault::None;
    double m_probability = 0.0;
};

struct WorkerSlot {
    std::string m_rack;
    std::unique_ptr<FaultSource<WorkerFault>> m_faults;
    std::unique_ptr<StandinWorker> m_worker;
};

// A stand-in store and stand-in workers with an HTTP control interface for scripts/soak.
class FleetStandin
{
public:
    FleetStandin()
        : m_storeFaults(absl::GetFlag(FLAGS_seed))
    {
        m_store.setFaults([this](StoreCall call) {
            const auto fault = m_storeFaults.drawFault();
            return fault == StoreFault::HistoryLost && call != StoreCall::Watch ? StoreFault::None : fault;
        });
        for (int index = 0; index < absl::GetFlag(FLAGS_workers); ++index) {
            addWorker("r" + std::to_string(index / workersPerRack), std::nullopt);
        }
        for (int zone = 0; zone < absl::GetFlag(FLAGS_zone_ports); ++zone) {
            m_zoneStores.push_back(m_store.addZonePort());
        }
        m_control = std::make_unique<LoopbackHttpServer>([this](const StandinCall &call) { return answerControlCall(call); });
    }

    [[nodiscard]] Json addresses() const
    {
        Json workers = Json::array();
        for (const auto &slot : m_slots) {
            workers.push_back(Json::parse(slot.m_worker->entry("ready")).at("addr"));
        }
        return Json{{"store", m_store.address()}, {"control", m_control->address()}, {"workers", workers}, {"zoneStores", m_zoneStores}};
    }

private:
    // The caller holds the lock of m_slots, or no other thread uses this object yet.
    std::size_t addWorker(const std::string &rack, const std::optional<StandinMachine> &machine)
    {
        const auto index = m_slots.size();
        WorkerSlot slot;
        slot.m_rack = rack;
        slot.m_faults = std::make_unique<FaultSource<WorkerFault>>(absl::GetFlag(FLAGS_seed) + 1 + static_cast<unsigned>(index));
        slot.m_worker = std::make_unique<StandinWorker>("w" + std::to_string(index),
                                                        rack,
                                                        std::chrono::milliseconds(absl::GetFlag(FLAGS_run_ms)),
                                                        std::chrono::milliseconds(absl::GetFlag(FLAGS_lease_ms)),
                                                        machine);
        slot.m_worker->setFaults([faults = slot.m_faults.get()](WorkerCall) { return faults->drawFault(); });
        m_slots.push_back(std::move(slot));
        return index;
    }

    // Adds a worker with another identifier on the machine of an earlier one. Returns its number.
    Json addSuccessor(const Json &body)
    {
        const auto &earlier = workerSlot(body);
        const std::lock_guard lock(m_slotsMutex);
        const auto index = addWorker(earlier.m_rack, earlier.m_worker->machineOfSuccessor());
        return Json{{"worker", index}, {"addr", Json::parse(m_slots[index].m_worker->entry("ready")).at("addr")}};
    }

    StandinAnswer answerControlCall(const StandinCall &call)
    {
        try {
            return StandinAnswer{.m_status = 200,
                                 .m_body = executeControlCall(call.m_path, call.m_body.empty() ? Json::object() : Json::parse(call.m_body)).dump()};
        } catch (const std::exception &error) {
            return StandinAnswer{.m_status = 400, .m_body = Json{{"error", error.what()}}.dump()};
        }
    }

    Json executeControlCall(const std::string &path, const Json &body)
    {
        if (path == "/books") {
            return runHistoryDocument();
        }
        if (path == "/put") {
            m_store.put(body.at("key").get<std::string>(), body.at("value").get<std::string>());
        } else if (path == "/remove") {
            m_store.remove(body.at("key").get<std::string>());
        } else if (path == "/replace-address") {
            m_store.replaceAddress(body.at("zone").get<std::size_t>(), body.at("address").get<std::string>(), body.at("addressInZone").get<std::string>());
        } else if (path == "/value") {
            return Json{{"value", m_store.value(body.at("key").get<std::string>()).value_or("")}};
        } else if (path == "/store-faults") {
            m_storeFaults.setFault(storeFaultOf(body.at("fault").get<std::string>()), body.value("share", 1.0));
        } else if (path == "/worker-faults") {
            workerSlot(body).m_faults->setFault(workerFaultOf(body.at("fault").get<std::string>()), body.value("share", 1.0));
        } else if (path == "/restart-worker") {
            workerSlot(body).m_worker->restart();
        } else if (path == "/exit-worker") {
            workerSlot(body).m_worker->exit();
        } else if (path == "/add-successor") {
            return addSuccessor(body);
        } else if (path == "/stall-worker") {
            workerSlot(body).m_worker->setStalled(body.at("stalled").get<bool>());
        } else if (path == "/entry") {
            return Json::parse(workerSlot(body).m_worker->entry(body.value("state", "ready")));
        } else {
            throw std::invalid_argument("unknown control path " + path);
        }
        return Json::object();
    }

    WorkerSlot &workerSlot(const Json &body)
    {
        const std::lock_guard lock(m_slotsMutex);
        return m_slots.at(body.at("worker").get<std::size_t>());
    }

    static StoreFault storeFaultOf(const std::string &name)
    {
        static const std::map<std::string, StoreFault> faults = {{"none", StoreFault::None},
                                                                 {"refused", StoreFault::Refused},
                                                                 {"answer_lost", StoreFault::AnswerLost},
                                                                 {"late", StoreFault::ExecutedLate},
                                                                 {"history_lost", StoreFault::HistoryLost}};
        return faults.at(name);
    }

    static WorkerFault workerFaultOf(const std::string &name)
    {
        static const std::map<std::string, WorkerFault> faults = {{"none", WorkerFault::None},
                                                                  {"answer_lost", WorkerFault::AnswerLost},
                                                                  {"late", WorkerFault::ExecutedLate},
                                                                  {"seconds_late", WorkerFault::ExecutedSecondsLate},
                                                                  {"answer_delayed", WorkerFault::AnswerDelayed},
                                                                  {"unreachable", WorkerFault::Unreachable}};
        return faults.at(name);
    }

    // All runs of all workers; times are in milliseconds since this program started.
    [[nodiscard]] Json runHistoryDocument() const
    {
        const auto milliseconds = [this](Clock::time_point at) { return std::chrono::duration_cast<std::chrono::milliseconds>(at - m_startedAt).count(); };
        Json runHistory = Json::array();
        const std::lock_guard lock(m_slotsMutex);
        for (const auto &slot : m_slots) {
            for (const auto &run : slot.m_worker->runHistory()) {
                runHistory.push_back(Json{{"task", run.m_task},
                                          {"run", run.m_run},
                                          {"worker", slot.m_worker->identifier()},
                                          {"life", run.m_incarnation},
                                          {"started", milliseconds(run.m_startedAt)},
                                          {"ended", run.m_endKind.empty() ? Json() : Json(milliseconds(run.m_endedAt))},
                                          {"how", run.m_endKind},
                                          {"taken", run.m_acknowledged},
                                          {"late", run.m_startedByFormerCall},
                                          {"polled", run.m_polledBefore}});
            }
        }
        return Json{{"now", milliseconds(Clock::now())}, {"runs", std::move(runHistory)}};
    }

    const Clock::time_point m_startedAt = Clock::now();
    FaultSource<StoreFault> m_storeFaults;
    StandinStore m_store;
    std::vector<std::string> m_zoneStores;
    mutable std::mutex m_slotsMutex; // Guards the size of m_slots. Its elements stay where they are.
    std::deque<WorkerSlot> m_slots;
    std::unique_ptr<LoopbackHttpServer> m_control;
};

} // namespace

static void waitForStopSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace PrimroseBridge

int main(int argc, char **argv)
{
    absl::SetProgramUsageMessage("Runs a stand-in store and stand-in workers of the platform for scripts/soak. Prints their addresses as one line of JSON.");
    absl::ParseCommandLine(argc, argv);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr); // All threads inherit the mask, so only waitForStopSignal() receives the signals.
    const PrimroseBridge::FleetStandin standin;
    std::cout << standin.addresses().dump() << std::endl;
    PrimroseBridge::waitForStopSignal();
    return 0;
}
