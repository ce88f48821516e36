#pragma once

#include "primrosebridge/Placement/zonestate.h"

#include <random>

namespace PrimroseBridge {

enum class Deployment {
    Zwolle,
    StaraZagora,
};

enum class Scenario {
    NormalDay,
    SmallBursts,
    LargeBursts,
    WrongSizes, ///< Declared run times are wrong by factors of 0.1 to 10.
    ShrinkingFleet,
    FailingWorkers,
};

/// A job of the replay and when it is submitted.
struct Arrival {
    const Instant m_at;
    const RequestKey m_key;
    const OrganisationId m_organisation;
    const JobClass m_class;
    const Shape m_shape;
    const Duration m_declared;
    const Duration m_actual;
};

/// A change of one worker.
struct FleetChange {
    const Instant m_at;
    const int m_worker;
    const AcceleratorSet m_usable;
    const BackendServerStatus m_status;
};

/// Everything that one replay starts from. One zone of the deployment, with its share of the workers.
struct Workload {
    const std::vector<Worker> m_workers;
    const std::vector<Organisation> m_organisations;
    const std::vector<Guarantee> m_guarantees;
    const ObjectiveWeights m_weights;
    const std::vector<Arrival> m_arrivals; ///< By time.
    const std::vector<FleetChange> m_changes; ///< By time.
    const std::vector<int> m_failingWorkers; ///< These fail each task after one second.
    const Instant m_start;
    const Instant m_end; ///< No arrivals afterwards.
};

const char *deploymentName(Deployment deployment);
const char *scenarioName(Scenario scenario);

/// Generates the workload; the same seed gives the same one.
Workload makeWorkload(Deployment deployment, Scenario scenario, unsigned seed);

} // namespace PrimroseBridge
