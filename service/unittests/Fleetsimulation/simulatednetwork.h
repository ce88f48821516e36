#pragma once

#include "simulatedstore.h"
#include "simulatedworkers.h"
#include "simulationcore.h"

#include "primrosebridge/Fleetwire/workerorders.h"

#include <map>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// A participant of the simulated network. The store belongs to no zone.
struct NetworkNode {
    std::string m_name;
    std::string m_zone;
};

/// A time in which messages between two participants, or across the border of a zone, are lost.
struct NetworkCut {
    Instant m_from;
    Instant m_until;
    std::string m_first; ///< Name of a node, or of the zone.
    std::string m_second; ///< Name of the other node; empty if a zone is cut off.
    bool m_oneWay = false; ///< Only messages from m_first to m_second are lost, or only those that leave the zone.
};

/// Probabilities and limits of the faults of single calls. All times are in milliseconds.
struct CallFaults {
    double m_lostCall = 0.0;
    double m_lostAnswer = 0.0;
    double m_late = 0.0; ///< The caller gets no answer, and the call is executed 2 to 12 s later, by the process that runs then.
    double m_refused = 0.0; ///< The call is refused before it is executed.
    double m_slow = 0.0; ///< One of the two ways takes up to m_slowestMs.
    std::int64_t m_usualMs = 4;
    std::int64_t m_slowestMs = 450;
};

/// The faults of one seed.
struct NetworkFaults {
    CallFaults m_store;
    CallFaults m_workers;
    double m_watchDelayed = 0.0; ///< An answer to a watch takes up to 1.2 s.
    bool m_closeRaces = false; ///< Messages of the same millisecond overtake each other, and a report that lists ends is not delayed.
    std::vector<NetworkCut> m_cuts;
    std::vector<std::pair<Instant, Instant>> m_storeOutages; ///< The store answers nothing.
    std::vector<std::pair<Instant, Instant>> m_storeRefusals; ///< The store refuses each call with status 503.
};

/// Collects what happens, if it is enabled. The seed's schedule does not depend on it.
class SimulationTrace
{
public:
    SimulationTrace(EventQueue &queue, bool enabled)
        : m_queue(queue)
        , m_enabled(enabled)
    {
    }
    [[nodiscard]] bool enabled() const
    {
        return m_enabled;
    }
    void add(const std::string &text);
    [[nodiscard]] const std::vector<std::string> &lines() const
    {
        return m_lines;
    }

private:
    EventQueue &m_queue;
    bool m_enabled;
    std::vector<std::string> m_lines;
};

/// Everything that the VMs of a simulated fleet share.
struct SimulatedWorld {
    SimulatedWorld(Instant start, std::uint64_t seed, std::vector<JobSpecPointer> jobs, bool tracing)
        : m_queue(start)
        , m_random(seed)
        , m_store(m_queue)
        , m_workers(std::move(jobs))
        , m_trace(m_queue, tracing)
    {
    }

    EventQueue m_queue;
    SimulationRandom m_random;
    SimulatedStore m_store;
    SimulatedWorkers m_workers;
    SimulationTrace m_trace;
    NetworkFaults m_faults;
    std::map<std::string, std::string> m_workerZones;
    std::map<std::string, int> m_workerStarts; ///< Counts the starts and crashes of each worker.

    struct WaitingPoll {
        std::string m_worker;
        int m_workerStarts = 0;
        std::int64_t m_endCount = 0;
        Instant m_deadline;
        std::function<void(const std::optional<RunReportReply> &)> m_answer; ///< Empty if the worker's process has ended.
    };
    std::vector<WaitingPoll> m_waitingPolls;
    Instant m_nextWorkerCheck = Instant::max();

    [[nodiscard]] bool isCut(const NetworkNode &from, const NetworkNode &to) const;
    /// Answers the polls that wait for a change, and sees to it that the next change is noticed.
    void checkWorkers();
    void waitForRunEnd(WaitingPoll poll);
};

/// How a single call fares.
struct CallFate {
    bool m_refused = false;
    bool m_lostCall = false;
    bool m_lostAnswer = false;
    std::optional<Duration> m_late;
    Duration m_out{0};
    Duration m_back{0};
    bool m_closesEarly = false; ///< A lost call ends with a closed connection rather than with the time-out.
};

CallFate drawFate(SimulationRandom &random, const CallFaults &faults);

} // namespace PrimroseBridge
