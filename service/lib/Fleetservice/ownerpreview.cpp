#include "ownerstate.h"

#include "primrosebridge/Fleet/preview.h"
#include "primrosebridge/Observe/log.h"

namespace PrimroseBridge {

// Returns the jobs that a pass would consider, with their due occurrences. Unlike the pass, leaves the owner's jobs as they are.
static std::vector<JobPointer> jobsForPreview(const OwnerState &state, Instant now)
{
    std::vector<JobPointer> jobs;
    const auto wallNow = state.m_context.m_wallClock();
    for (const auto &name : state.m_jobOrder) {
        if (const auto job = state.m_jobs.find(name)) {
            jobs.push_back(withDueOccurrences(job, wallNow, now, state.m_context.m_settings.m_maxValueBytes / 2));
        }
    }
    return jobs;
}

static Result<OwnerPreview> previewNow(const OwnerState &state, const JobSpec &spec, Instant now)
{
    // Without the ownership lease another VM may be the owner and know more.
    if (state.m_fence == 0 || !state.m_soleOwner) {
        return Error(ErrorKind::Unavailable, "the VM that was asked does not own the fleet", "ask again", previewRetryDelay);
    }
    const auto configuration = state.m_context.m_configuration.current();
    if (!configuration || !findQueueByName(*configuration, spec.m_queue)) {
        return Error(ErrorKind::Unavailable, "the configuration has changed meanwhile", "ask again", previewRetryDelay);
    }
    const auto input = placementInput(state, configuration, zoneDrainsNow(state), jobsForPreview(state, now), now);
    return OwnerPreview{.m_preview = previewPlacement(input, spec), .m_configurationVersion = configuration->m_version};
}

void answerPreview(const OwnerState &state, const PreviewRequested &event, Instant now)
{
    const auto answer = previewNow(state, *event.m_spec, now);
    if (answer.ok()) {
        const auto &preview = answer.value().m_preview;
        const auto &wait = preview.m_estimatedWait;
        logEvent(LogLevel::Info,
                 "placement_previewed",
                 {{"queue", event.m_spec->m_queue},
                  {"organisation", event.m_spec->m_organisation},
                  {"decision", std::string(previewDecisionName(preview.m_decision))},
                  {"rank", std::string(urgencyRankName(preview.m_rank))},
                  {"places", std::to_string(preview.m_places.size())},
                  {"victims", std::to_string(preview.m_victims.size())},
                  {"waiting_tasks", std::to_string(preview.m_waitingTasks)},
                  {"reason", preview.m_waitReason ? std::string(waitReasonName(*preview.m_waitReason)) : "none"},
                  {"estimated_wait_ms", wait ? std::to_string(wait->count()) : "unknown"},
                  {"configuration", std::to_string(answer.value().m_configurationVersion)},
                  {"took_ms", std::to_string((state.m_context.m_bootClock() - now).count())}});
    } else {
        logEvent(LogLevel::Info, "preview_refused", {{"queue", event.m_spec->m_queue}, {"error", answer.error().message()}});
    }
    event.m_answer(answer);
}

} // namespace PrimroseBridge
