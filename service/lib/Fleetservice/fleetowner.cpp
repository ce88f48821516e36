#include "primrosebridge/Fleetservice/fleetowner.h"

#include "ownerstate.h"

#include "primrosebridge/Observe/log.h"
#include "primrosebridge/Pipeline/bootclock.h"

#include <algorithm>
#include <thread>

namespace PrimroseBridge {

// Holds the answers of every worker of the largest fleet at once, several times over.
static constexpr std::size_t maxQueuedEvents = 20000;
// Events that are applied before the next decision.
static constexpr std::size_t maxBatch = 256;
// Upper bound of the wait for an event, so that time-outs are noticed while nothing happens.
static constexpr Duration longestWait(50);
// Between passes, so that a stream of single events does not cause a pass each; less than a network round trip between zones.
static constexpr Duration shortestPlacementGap(8);
// If only room was freed: runs end all the time on a busy fleet, and what waits for room has waited longer than this already.
static constexpr Duration roomPlacementGap(25);
// Times what a pass or a review took, so that neither takes more than a quarter of the thread's time on the largest fleets.
static constexpr int pauseFactor = 3;
// Occurrences fall due and isolated workers return without an event.
static constexpr Duration longestPlacementGap(200);

struct FleetOwner::Private {
    explicit Private(OwnerContext context)
        : m_state(std::move(context))
    {
        m_state.m_events = std::make_shared<BoundedQueue<OwnerEvent>>(maxQueuedEvents);
    }

    OwnerState m_state;
    std::thread m_thread;

    void run();
};

void FleetOwner::Private::run()
{
    Instant nextReview;
    Instant placedAt;
    Duration passPause(0);
    while (!m_state.m_events->closed()) {
        const auto startedAt = bootClockNow();
        const auto gap = m_state.m_placementNeeded ? shortestPlacementGap : (m_state.m_capacityFreed ? roomPlacementGap : longestPlacementGap);
        const auto placeAt = placedAt + std::max(gap, passPause);
        const bool decides = m_state.m_fence != 0 && mayScheduleKnownJobs(authorityOf(m_state), startedAt);
        const auto wait = decides ? std::clamp(placeAt - startedAt, Duration(1), longestWait) : longestWait;
        const auto events = m_state.m_events->popBatchFor(maxBatch, wait);
        const auto now = bootClockNow();
        // Before anything is sent: the VM may have been suspended since the last round. Workers that a successor cannot reach
        // still obey this VM. Without the lease it renews nothing, because the successor counts on those leases to lapse.
        updateAuthority(m_state, m_state.m_context.m_leaseEnd(), now);
        for (const auto &event : events) {
            applyEvent(m_state, event, now);
        }
        if (m_state.m_fence == 0) {
            continue;
        }
        recordRosterIfChanged(m_state);
        if (now >= nextReview) {
            reviewFleet(m_state, now);
            nextReview = now + std::max(longestWait, (bootClockNow() - now) * pauseFactor);
        }
        if (!mayScheduleKnownJobs(authorityOf(m_state), now)) {
            continue;
        }
        const auto sincePlacement = now - placedAt;
        const bool due = (m_state.m_placementNeeded && sincePlacement >= shortestPlacementGap) || (m_state.m_capacityFreed && sincePlacement >= roomPlacementGap)
                         || sincePlacement >= longestPlacementGap;
        if (due && sincePlacement >= passPause) {
            m_state.m_placementNeeded = false;
            m_state.m_capacityFreed = false;
            placedAt = now;
            const auto passStart = bootClockNow();
            runPlacementPass(m_state, now);
            passPause = (bootClockNow() - passStart) * pauseFactor;
        }
    }
}

Result<std::unique_ptr<FleetOwner>> FleetOwner::create(OwnerContext context)
{
    auto state = std::make_unique<Private>(std::move(context));
    try {
        state->m_thread = std::thread([&inner = *state] { inner.run(); });
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("the owner's thread cannot start: ") + error.what(), "raise the limit of threads for this process");
    }
    return std::unique_ptr<FleetOwner>(new FleetOwner(std::move(state)));
}

FleetOwner::FleetOwner(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

FleetOwner::~FleetOwner()
{
    stop();
}

void FleetOwner::stop()
{
    m_private->m_state.m_events->close();
    if (m_private->m_thread.joinable()) {
        m_private->m_thread.join();
    }
}

bool FleetOwner::post(OwnerEvent event)
{
    if (m_private->m_state.m_events->tryPush(std::move(event))) {
        return true;
    }
    if (m_private->m_state.m_events->closed()) {
        return false;
    }
    logEvent(LogLevel::Error, "event_dropped", {{"queue", "owner"}, {"limit", std::to_string(maxQueuedEvents)}});
    return false;
}

std::optional<std::int64_t> FleetOwner::fence() const
{
    const auto fence = m_private->m_state.m_fence.load();
    return fence == 0 ? std::nullopt : std::optional(fence);
}

static JobStatus statusOf(const JobState &job)
{
    switch (job.m_recordedOutcome) {
    case JobOutcome::Complete:
        return JobStatus::Complete;
    case JobOutcome::Failed:
        return JobStatus::Failed;
    case JobOutcome::Cancelled:
        return JobStatus::Cancelled;
    case JobOutcome::Active:
        break;
    }
    return hasJobStarted(job) ? JobStatus::Running : JobStatus::Queued;
}

OwnedJobStatus FleetOwner::status(const std::string &queue, const std::string &job) const
{
    const auto &state = m_private->m_state;
    const auto found = state.m_jobs.find(job);
    const bool known = found && found->m_spec->m_queue == queue;
    return OwnedJobStatus{.m_owner = state.m_fence != 0, .m_status = known ? std::optional(statusOf(*found)) : std::nullopt};
}

std::optional<std::int64_t> FleetOwner::waitingJobs(const std::string &queue) const
{
    const auto &state = m_private->m_state;
    if (state.m_fence == 0) {
        return std::nullopt;
    }
    std::int64_t waiting = 0;
    for (const auto &job : state.m_jobs.values()) {
        waiting += job->m_spec->m_queue == queue && job->m_outcome == JobOutcome::Active && !hasJobStarted(*job) ? 1 : 0;
    }
    return waiting;
}

} // namespace PrimroseBridge
