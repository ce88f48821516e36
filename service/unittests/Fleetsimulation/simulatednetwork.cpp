#include "simulatednetwork.h"

#include "primrosebridge/Observe/log.h"

#include <algorithm>

namespace PrimroseBridge {

static constexpr std::int64_t minLateMs = 2000;
static constexpr std::int64_t maxLateMs = 12000;

void SimulationTrace::add(const std::string &text)
{
    if (m_enabled) {
        m_lines.push_back(std::to_string(toMilliseconds(m_queue.now()) % 1'000'000) + " " + text);
        // Places the log lines of the product between those of the simulation, if logging was started.
        logEvent(LogLevel::Info, "simulation", {{"ms", std::to_string(toMilliseconds(m_queue.now()) % 1'000'000)}, {"what", text}});
    }
}

bool SimulatedWorld::isCut(const NetworkNode &from, const NetworkNode &to) const
{
    const auto now = m_queue.now();
    return std::any_of(m_faults.m_cuts.begin(), m_faults.m_cuts.end(), [&](const NetworkCut &cut) {
        if (now < cut.m_from || now >= cut.m_until) {
            return false;
        }
        if (cut.m_second.empty()) {
            const bool leaves = from.m_zone == cut.m_first && to.m_zone != cut.m_first;
            const bool enters = from.m_zone != cut.m_first && to.m_zone == cut.m_first;
            return leaves || (enters && !cut.m_oneWay);
        }
        const bool forward = from.m_name == cut.m_first && to.m_name == cut.m_second;
        const bool backward = from.m_name == cut.m_second && to.m_name == cut.m_first;
        return forward || (backward && !cut.m_oneWay);
    });
}

void SimulatedWorld::checkWorkers()
{
    const auto now = m_queue.now();
    m_workers.advance(now);
    for (std::size_t index = 0; index < m_waitingPolls.size();) {
        const auto &poll = m_waitingPolls[index];
        const bool same = m_workerStarts[poll.m_worker] == poll.m_workerStarts;
        if (same && now < poll.m_deadline && m_workers.endCount(poll.m_worker) == poll.m_endCount) {
            ++index;
            continue;
        }
        const auto ended = poll;
        m_waitingPolls.erase(m_waitingPolls.begin() + static_cast<std::ptrdiff_t>(index));
        ended.m_answer(same ? std::optional<RunReportReply>(m_workers.currentReport(ended.m_worker, now)) : std::nullopt);
    }
    const auto next = m_workers.nextChange();
    if (next && (*next < m_nextWorkerCheck || m_nextWorkerCheck <= now)) {
        m_nextWorkerCheck = std::max(*next, now + Duration(1));
        m_queue.add(m_nextWorkerCheck, [this] { checkWorkers(); });
    }
}

void SimulatedWorld::waitForRunEnd(WaitingPoll poll)
{
    const auto deadline = poll.m_deadline;
    m_waitingPolls.push_back(std::move(poll));
    m_queue.add(deadline, [this] { checkWorkers(); });
}

CallFate drawFate(SimulationRandom &random, const CallFaults &faults)
{
    CallFate fate;
    fate.m_out = random.duration(0, faults.m_usualMs);
    fate.m_back = random.duration(0, faults.m_usualMs);
    if (random.chance(faults.m_slow)) {
        (random.chance(0.5) ? fate.m_out : fate.m_back) = random.duration(0, faults.m_slowestMs);
    }
    fate.m_refused = random.chance(faults.m_refused);
    fate.m_lostCall = random.chance(faults.m_lostCall);
    fate.m_lostAnswer = random.chance(faults.m_lostAnswer);
    if (random.chance(faults.m_late)) {
        fate.m_late = random.duration(minLateMs, maxLateMs);
    }
    fate.m_closesEarly = random.chance(0.5);
    return fate;
}

} // namespace PrimroseBridge
