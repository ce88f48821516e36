#pragma once

#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Model/configuration.h"
#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Policy/admission.h"
#include "primrosebridge/Policy/estimate.h"
#include "primrosebridge/Policy/pass.h"
#include "primrosebridge/Policy/workerscore.h"
#include "primrosebridge/Records/job.h"
#include "primrosebridge/Workers/workerclient.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace PrimroseBridge {

/// How many starts the rate of starts is computed from.
constexpr std::size_t recentStartsKept = 64;

/// A task that a worker reports and that belongs to no known job, with when it was first seen.
struct OrphanTask {
    const WorkerId m_worker;
    const std::string m_incarnation;
    const std::int64_t m_sequence; ///< Of the poll that reported it last.
    const ReportedTask m_task;
    const Instant m_seenAt;

    bool operator==(const OrphanTask &) const = default;
};

/// What the owner knows of one worker and what it still has to tell it. Guarded by the zone shard's lock.
struct WorkerEntry {
    std::shared_ptr<const Worker> m_worker;
    std::shared_ptr<const WorkerScore> m_score;
    AcceleratorSet m_usable = 0;
    std::string m_incarnation;
    bool m_fenced = false; ///< It has answered under this owner's fence, so its tasks are known.
    bool m_lost = false; ///< Silent for longer than the task lease.
    bool m_answering = false; ///< The last call was answered.
    bool m_leaving = false; ///< By its own word.
    bool m_listedLeaving = false; ///< By the platform's list.
    Instant m_heardAt;
    std::int64_t m_sequence = 0;
    std::int64_t m_seenVersion = 0;
    bool m_executeInFlight = false;
    bool m_pollInFlight = false;
    Instant m_nextPollAt;
    Instant m_nextExecuteAt;
    std::vector<WorkerCommand> m_pending;
    std::vector<TaskId> m_taken;
};

/// The state of the owned zone. Every member is guarded by m_mutex; jobs and scores are immutable values that are replaced whole.
struct ZoneShard {
    std::mutex m_mutex;
    std::condition_variable m_passDue;

    std::optional<Fence> m_fence; ///< Set while this process owns the zone.
    bool m_recovering = false; ///< The records have not been read yet.
    bool m_stopping = false;
    bool m_dirty = false; ///< A pass is due.
    std::shared_ptr<const Configuration> m_configuration;
    std::map<RequestKey, std::shared_ptr<const Job>> m_jobs;
    std::map<WorkerId, WorkerEntry> m_workers;
    std::map<TaskId, std::shared_ptr<const OrphanTask>> m_orphans;
    std::map<JobClassId, std::shared_ptr<const RunTimeEstimate>> m_estimates;
    std::map<Tier, std::shared_ptr<const RetryBudget>> m_retryBudgets;
    std::map<RequestKey, std::shared_ptr<const Explanation>> m_explanations;
    std::map<RequestKey, std::shared_ptr<const EventReference>> m_lastEvents; ///< The cause of the next event of each job.
    std::map<RequestKey, Instant> m_releasedAt; ///< When a running job was told to give its capacity back.
    std::shared_ptr<const PassResult> m_lastPass;
    std::deque<Instant> m_recentStarts; ///< The latest ones, oldest first.
    std::int64_t m_summarySequence = 0;
    std::int64_t m_nextOperation = 1;
};

/// The free accelerators of a worker, given the jobs and orphans that occupy it. Precondition: the shard's lock is held.
AcceleratorSet freeAccelerators(const ZoneShard &shard, const WorkerId &worker);

/// Every worker of the zone as it is now. Precondition: the shard's lock is held.
std::vector<WorkerState> makeWorkerStates(const ZoneShard &shard, Instant now);

/// Recent rate of starts in the zone. Precondition: the shard's lock is held.
double startsPerSecond(const ZoneShard &shard, Instant now);

/// What a scheduling pass decides on. Preconditions: the shard's lock is held and it has a configuration.
ZoneState makeZoneState(const ZoneShard &shard, const ZoneId &zone, Instant now);

/// Requests waiting, for each organisation. Precondition: the shard's lock is held.
std::map<OrganisationId, int> queuedByOrganisation(const ZoneShard &shard);

} // namespace PrimroseBridge
