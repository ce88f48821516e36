#include "primrosebridge/Fleet/release.h"

#include <map>
#include <string_view>

namespace PrimroseBridge {

// A release that starts no worker for this long is over. Workers of the former version that are still there then are meant to stay.
static constexpr Duration releasePause(20000);

std::vector<bool> outdatedWorkers(const std::vector<WorkerReportPointer> &workers, Instant wallNow)
{
    std::map<std::string_view, const WorkerReport *> newestByPool;
    for (const auto &worker : workers) {
        auto &newest = newestByPool[worker->m_pool];
        if (!newest || newest->m_incarnation.m_startedAtMs < worker->m_incarnation.m_startedAtMs) {
            newest = worker.get();
        }
    }
    std::vector<bool> outdated;
    outdated.reserve(workers.size());
    for (const auto &worker : workers) {
        const auto &newest = *newestByPool[worker->m_pool];
        const bool underWay = wallNow - fromMilliseconds(newest.m_incarnation.m_startedAtMs) <= releasePause;
        outdated.push_back(underWay && worker->m_softwareVersion != newest.m_softwareVersion);
    }
    return outdated;
}

} // namespace PrimroseBridge
