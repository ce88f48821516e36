#pragma once

#include "zonebuilder.h"

#include <map>
#include <set>

namespace PrimroseBridge {

/// A zone that changes by events and by the decisions of passes; for tests.
struct Session {
    std::map<std::string, WorkerState> m_workers;
    std::map<std::string, Allocation> m_running;
    std::map<std::string, QueuedJob> m_queue;
    std::vector<Guarantee> m_guarantees;
    std::vector<Organisation> m_organisations;
    Instant m_now = start;
    PassSettings m_settings = defaultPassSettings();
};

ZoneState stateOf(const Session &session);
/// Replaces the usable accelerators and the status of a worker.
void changeWorker(Session &session, const std::string &name, AcceleratorSet usable, BackendServerStatus status);
/// Runs a pass and applies its decisions; releases only mark the work as releasing.
PassResult step(Session &session);
/// Ends what is being released and queues it again with the next attempt.
void finishReleases(Session &session);
/// Fails the running test if the state after @p result breaks an invariant of a single pass.
void checkInvariants(const ZoneState &before, const PassResult &result);

} // namespace PrimroseBridge
