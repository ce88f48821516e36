#include "primrosebridge/Fleetservice/fleetowner.h"

#include "ownerstate.h"

#include "primrosebridge/Fleetwire/placementpreview.h"
#include "primrosebridge/Http/bootclock.h"
#include "primrosebridge/Observe/log.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

namespace PrimroseBridge {

// Several times the number of workers of the largest fleet, so that the answers of all workers fit at once.
static constexpr std::size_t maxQueuedEvents = 20000;
// Maximum number of events that are applied before the thread checks whether a placement pass is due.
static constexpr std::size_t maxEventBatch = 256;
// Maximum wait for an event, so that time-outs are noticed while there are no events.
static constexpr Duration maxEventWait(50);
// Minimum time between passes, so that a stream of single events does not cause a pass for each event. It is shorter than a network
// round trip between zones.
static constexpr Duration minPassInterval(8);
// Minimum time between passes if only capacity was freed. Runs end all the time on a busy fleet, and work that waits for capacity has
// already waited longer than this.
static constexpr Duration capacityPassInterval(25);
// Pause after a pass or a review as a multiple of the time that it took, so that neither takes more than a quarter of the thread's
// time on the largest fleets.
static constexpr int pauseFactor = 3;
// Maximum time between passes: occurrences become due and the isolation of workers ends without an event.
static constexpr Duration maxPassInterval(200);

struct FleetOwner::Private {
    explicit Private(OwnerContext context)
        : m_state(std::move(context))
    {
        m_state.m_events = std::make_shared<BoundedQueue<OwnerEvent>>(maxQueuedEvents);
    }

    OwnerState m_state;
    std::atomic<std::uint64_t> m_iterations = 0;
    std::thread m_thread;

    void run();
};

Duration maxWaitForEvents(const OwnerState &state, const OwnerPacing &pacing, Instant now)
{
    const auto gap = state.m_placementNeeded ? minPassInterval : (state.m_capacityFreed ? capacityPassInterval : maxPassInterval);
    const auto nextPassAt = pacing.m_lastPassAt + std::max(gap, pacing.m_passPause);
    const bool mayPlace = state.m_fence != 0 && mayScheduleKnownJobs(authorityOf(state), now);
    return mayPlace ? std::clamp(nextPassAt - now, Duration(1), maxEventWait) : maxEventWait;
}

void runOwnerIteration(OwnerState &state, OwnerPacing &pacing, const std::vector<OwnerEvent> &events, Instant now)
{
    const auto &bootClock = state.m_context.m_bootClock;
    // Check the ownership lease before sending anything, because the VM may have been suspended since the last iteration.
    // Workers that a successor cannot reach still accept orders of this VM. Without the ownership lease this VM renews no
    // task leases, because the successor relies on their expiry.
    const auto fenceBefore = state.m_fence.load();
    updateAuthority(state, state.m_context.m_leaseEnd(fenceBefore), now);
    for (const auto &event : events) {
        applyEvent(state, event, now);
    }
    if (state.m_fence == 0) {
        return;
    }
    if (state.m_fence != fenceBefore) {
        updateAuthority(state, state.m_context.m_leaseEnd(state.m_fence), now);
    }
    recordRosterIfChanged(state);
    recordLateStartsIfChanged(state, now);
    recordSpeedsIfChanged(state, now);
    if (now >= pacing.m_nextReview) {
        reviewFleet(state, now);
        pacing.m_nextReview = now + std::max(maxEventWait, (bootClock() - now) * pauseFactor);
    }
    if (!mayScheduleKnownJobs(authorityOf(state), now)) {
        return;
    }
    const auto sinceLastPass = now - pacing.m_lastPassAt;
    const bool due = (state.m_placementNeeded && sinceLastPass >= minPassInterval) || (state.m_capacityFreed && sinceLastPass >= capacityPassInterval)
                     || sinceLastPass >= maxPassInterval;
    if (due && sinceLastPass >= pacing.m_passPause) {
        state.m_placementNeeded = false;
        state.m_capacityFreed = false;
        pacing.m_lastPassAt = now;
        const auto passStart = bootClock();
        runPlacementPass(state, now);
        pacing.m_passPause = (bootClock() - passStart) * pauseFactor;
    }
}

void FleetOwner::Private::run()
{
    OwnerPacing pacing;
    while (!m_state.m_events->closed()) {
        const auto wait = maxWaitForEvents(m_state, pacing, bootClockNow());
        const auto events = m_state.m_events->popBatchFor(maxEventBatch, wait);
        runOwnerIteration(m_state, pacing, events, bootClockNow());
        ++m_iterations;
    }
}

FleetOwner::FleetOwner(OwnerContext context)
    : m_private(std::make_unique<Private>(std::move(context)))
{
}

Result<bool> FleetOwner::start()
{
    try {
        m_private->m_thread = std::thread([&inner = *m_private] { inner.run(); });
    } catch (const std::system_error &error) {
        return Error(ErrorKind::Unavailable, std::string("cannot start the owner's thread: ") + error.what(), "raise the thread limit of this process");
    }
    return true;
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

Result<std::string> FleetOwner::preview(const std::string &request, Duration timeout)
{
    const auto &context = m_private->m_state.m_context;
    const auto configuration = context.m_configuration.current();
    if (!configuration) {
        return Error(ErrorKind::Unavailable, "the owner has no configuration", "ask again", previewRetryDelay);
    }
    const auto spec = decodePreviewRequest(*configuration, request, context.m_wallClock());
    if (!spec.ok()) {
        return spec.error();
    }
    const auto answer = std::make_shared<std::promise<Result<OwnerPreview>>>();
    auto pending = answer->get_future();
    const bool posted = post(PreviewRequested{.m_spec = std::make_shared<const JobSpec>(spec.value()),
                                              .m_answer = [answer](const Result<OwnerPreview> &preview) { answer->set_value(preview); }});
    if (!posted || pending.wait_for(timeout) != std::future_status::ready) {
        return Error(ErrorKind::Unavailable, "the owner did not answer in time", "ask again", previewRetryDelay);
    }
    const auto preview = pending.get();
    if (!preview.ok()) {
        return preview.error();
    }
    return encodePreview(preview.value().m_preview, preview.value().m_configurationVersion, context.m_settings.m_vm.text());
}

std::uint64_t FleetOwner::iterations() const
{
    return m_private->m_iterations;
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
    return OwnedJobStatus{.m_isOwner = state.m_fence != 0, .m_status = known ? std::optional(statusOf(*found)) : std::nullopt};
}

std::optional<std::int64_t> FleetOwner::waitingJobCount(const std::string &queue) const
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
