#pragma once

#include "primrosebridge/Observe/eventlog.h"
#include "primrosebridge/Observe/metrics.h"
#include "primrosebridge/Pipeline/boundedqueue.h"
#include "primrosebridge/Pipeline/timerservice.h"
#include "primrosebridge/Runtime/outcometable.h"
#include "primrosebridge/Runtime/recordwriter.h"
#include "primrosebridge/Runtime/reports.h"
#include "primrosebridge/Runtime/zonescheduler.h"
#include "primrosebridge/Runtime/zoneshard.h"
#include "primrosebridge/Store/storeclient.h"

#include <string_view>
#include <thread>
#include <variant>

namespace PrimroseBridge {

constexpr Duration taskLease = Duration(10000);
constexpr Duration lostAfter = taskLease + Duration(1000); // The worker counts its lease from the last renewal that arrived.
constexpr Duration pollWait = Duration(5000);
constexpr Duration retryPause = Duration(250); // Also the period of the scheduler's tick.
constexpr Duration damagedAnswerPause = Duration(200);
constexpr Duration orphanGrace = Duration(10000); // Callers of a lost owner submit again within this time.
constexpr Duration outcomeRetention = Duration(10 * 60 * 1000);
constexpr std::size_t acceptanceBacklog = 4096;
constexpr std::size_t inboxCapacity = 65536;

/// The tick of the timer service.
struct TickMessage {
    const Instant m_now;
};

/// This process became owner.
struct OwnMessage {
    const Fence m_fence;
};

/// What the collect stage processes.
using InboxMessage = std::variant<ExecuteAnswer, PollAnswer, RecordAnswer, TickMessage, OwnMessage>;

/// What a change of the shard asks to be sent once its lock is released.
struct Outgoing {
    std::vector<ExecuteCall> m_executes;
    std::vector<PollCall> m_polls;
    std::vector<RecordWrite> m_records;
    std::optional<std::int64_t> m_higherFence;
    bool m_fenceLost = false;
};

/// Everything that the scheduler's stages share.
struct SchedulerCore {
    SchedulerCore(const SchedulerSettings &settings, std::shared_ptr<StoreClient> store, EventLog &events, Metrics &metrics, SchedulerCallbacks callbacks);

    const SchedulerSettings m_settings;
    const std::shared_ptr<StoreClient> m_store;
    EventLog &m_events;
    Metrics &m_metrics;
    const SchedulerCallbacks m_callbacks;
    ZoneShard m_shard;
    OutcomeTable m_outcomes;
    BoundedQueue<InboxMessage> m_inbox;
    std::unique_ptr<WorkerClient> m_workers;
    std::unique_ptr<RecordWriter> m_records;
};

/// Sends what was collected. Precondition: the shard's lock is not held.
void dispatch(SchedulerCore &core, Outgoing &outgoing);

/// Applies an event to the job with this key and collects what follows. Precondition: the shard's lock is held.
void applyEvent(SchedulerCore &core, Outgoing &outgoing, const AddressedEvent &event, Instant now);

/// Adds a timeline event to the history of a request, caused by the one before. Precondition: the shard's lock is held.
void recordJobEvent(SchedulerCore &core, const RequestKey &key, std::string_view kind, std::string text, Instant now);

/// Tells the workers that they may forget the tasks of a job whose outcome is safe. Precondition: the shard's lock is held.
void forgetTasks(SchedulerCore &core, const Job &job);

/// Removes a job and what is kept along with it. Precondition: the shard's lock is held.
void eraseJob(SchedulerCore &core, const RequestKey &key);

/// What is known of a job, as callers wait for it.
KnownOutcome knownOutcomeOf(const Job &job, Instant now);

/// Sends pending commands to every worker that can take them. Precondition: the shard's lock is held.
void flushWorkers(SchedulerCore &core, Outgoing &outgoing, Instant now);

/// Polls every worker that is due. Precondition: the shard's lock is held.
void pollWorkers(SchedulerCore &core, Outgoing &outgoing, Instant now);

/// Processes an answer to commands. Precondition: the shard's lock is held.
void onExecuted(SchedulerCore &core, Outgoing &outgoing, const ExecuteAnswer &answer, Instant now);

/// Processes the answer to a poll. Precondition: the shard's lock is held.
void onPolled(SchedulerCore &core, Outgoing &outgoing, const PollAnswer &answer, Instant now);

/// Declares silent workers lost and gives up old orphans. Precondition: the shard's lock is held.
void expireWorkers(SchedulerCore &core, Outgoing &outgoing, Instant now);

/// If a worker runs an unrecorded attempt of this job already, continues that one; returns whether it does.
/// Preconditions: the shard's lock is held and the job is in the table, being accepted.
bool adoptOrphan(SchedulerCore &core, Outgoing &outgoing, const RequestKey &key, Instant now);

/// The owned zone for heartbeats; empty if this process does not own it. Takes the shard's lock.
std::optional<ZoneSummary> summarizeZone(SchedulerCore &core, const std::string &peerAddress);

/// The owned zone as operators see it. Takes the shard's lock.
ZoneReport reportZone(SchedulerCore &core);

/// Marks a pass as due. Precondition: the shard's lock is held.
void requestPass(SchedulerCore &core);

/// The pass stage: runs until the shard is stopping.
void runPasses(SchedulerCore &core);

/// The collect stage: runs until the inbox is closed.
void collectMessages(SchedulerCore &core);

} // namespace PrimroseBridge
