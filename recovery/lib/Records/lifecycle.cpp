#include "primrosebridge/Records/lifecycle.h"

#include "jobdraft.h"

#include <algorithm>

namespace PrimroseBridge {

static int rankOf(MemberState state)
{
    switch (state) {
    case MemberState::NotKnown:
        return 0;
    case MemberState::Held:
        return 1;
    case MemberState::Running:
        return 2;
    case MemberState::Lost:
        return 3;
    case MemberState::Checkpointed:
    case MemberState::Done:
    case MemberState::Failed:
    case MemberState::Stopped:
    case MemberState::NeverStarted:
        return 4;
    }
    return 0;
}

static bool anyIs(const JobDraft &draft, MemberState state)
{
    return std::any_of(draft.m_members.begin(), draft.m_members.end(), [state](const MemberStatus &member) { return member.m_state == state; });
}

static bool allAre(const JobDraft &draft, std::initializer_list<MemberState> states)
{
    return std::all_of(draft.m_members.begin(), draft.m_members.end(), [states](const MemberStatus &member) {
        return std::find(states.begin(), states.end(), member.m_state) != states.end();
    });
}

static bool allSettled(const JobDraft &draft)
{
    return std::all_of(
        draft.m_members.begin(), draft.m_members.end(), [](const MemberStatus &member) { return rankOf(member.m_state) >= rankOf(MemberState::Lost); });
}

static JobTransition unchanged(const Job &job)
{
    return JobTransition{.m_job = job, .m_actions = {}};
}

// A result shows that the request has run, whoever owns the zone. That it was cancelled or has failed is the owner's own conclusion, which
// the store refuses if a successor has the job: the successor may run it, so callers must not be told otherwise before the write.
static bool isProvenByWorkers(OutcomeKind kind)
{
    return kind == OutcomeKind::Done;
}

static JobTransition finish(JobDraft draft, OutcomeKind kind, const std::string &result, const std::string &reason)
{
    draft.m_phase = JobPhase::Finished;
    draft.m_outcomeKind = kind;
    draft.m_result = result;
    draft.m_reason = reason;
    draft.m_outcomeAttempt = draft.m_attempt;
    std::vector<JobAction> actions;
    if (!draft.m_recorded || isProvenByWorkers(kind)) {
        actions.push_back(JobAction::PublishOutcome);
    }
    if (draft.m_recorded) {
        actions.push_back(JobAction::WriteOutcome);
    }
    return JobTransition{.m_job = draft.build(), .m_actions = actions};
}

static JobTransition requeue(JobDraft draft)
{
    if (draft.m_cancelRequested) {
        return finish(draft, OutcomeKind::Cancelled, {}, "cancelled by the caller");
    }
    draft.m_phase = JobPhase::Queued;
    draft.m_stopCause = StopCause::None;
    draft.m_members.clear();
    draft.m_startedAt.reset();
    draft.m_outcomeKind = OutcomeKind::Pending;
    draft.m_reason.clear();
    return JobTransition{.m_job = draft.build(), .m_actions = {JobAction::Requeue}};
}

static JobTransition retryOrFail(JobDraft draft, const std::string &reason)
{
    ++draft.m_failures;
    if (draft.m_failures >= draft.m_jobClass.m_maxAttempts) {
        return finish(draft, OutcomeKind::Failed, {}, reason + " on attempt " + std::to_string(draft.m_attempt) + ", the last one that the job class allows");
    }
    return requeue(draft);
}

static JobTransition becomeUnknown(JobDraft draft)
{
    draft.m_phase = JobPhase::Unknown;
    draft.m_outcomeKind = OutcomeKind::Unknown;
    draft.m_reason = "a worker that may have run it does not answer";
    draft.m_outcomeAttempt = draft.m_attempt;
    return JobTransition{.m_job = draft.build(), .m_actions = {JobAction::PublishOutcome}};
}

static std::string failureText(const JobDraft &draft)
{
    for (const auto &member : draft.m_members) {
        if (member.m_state == MemberState::Failed) {
            return "worker " + member.m_member.m_worker.text() + " reported a failure" + (member.m_result.empty() ? "" : ": " + member.m_result);
        }
    }
    for (const auto &member : draft.m_members) {
        if (member.m_state == MemberState::Lost || member.m_state == MemberState::Stopped) {
            return "worker " + member.m_member.m_worker.text() + " lost the task";
        }
    }
    return "the attempt ended early";
}

// Idempotent jobs may be repeated whatever became of the members.
static JobTransition concludeIdempotent(const JobDraft &draft)
{
    switch (draft.m_stopCause) {
    case StopCause::Cancelled:
        return finish(draft, OutcomeKind::Cancelled, {}, "cancelled by the caller");
    case StopCause::Reclaimed:
    case StopCause::Refused:
        return requeue(draft);
    case StopCause::Overtime:
    case StopCause::MemberFailed:
    case StopCause::MemberLost:
    case StopCause::None:
        return retryOrFail(draft, failureText(draft));
    }
    return retryOrFail(draft, failureText(draft));
}

// A non-idempotent job is never started a second time: it ends, or it waits for the worker that knows.
static JobTransition concludeNonIdempotent(const JobDraft &draft)
{
    if (anyIs(draft, MemberState::Lost)) {
        return becomeUnknown(draft);
    }
    if (draft.m_stopCause == StopCause::Cancelled) {
        return finish(draft, OutcomeKind::Cancelled, {}, "cancelled by the caller after it had started");
    }
    return finish(draft, OutcomeKind::Failed, {}, failureText(draft) + "; it is not idempotent and is not run again");
}

static JobTransition conclude(JobDraft draft)
{
    if (allAre(draft, {MemberState::Done})) {
        return finish(draft, OutcomeKind::Done, draft.m_members.front().m_result, {});
    }
    if (allAre(draft, {MemberState::NeverStarted})) {
        return requeue(draft);
    }
    if (allAre(draft, {MemberState::Checkpointed})) {
        draft.m_hasCheckpoint = true;
        if (draft.m_stopCause == StopCause::Overtime) {
            return retryOrFail(draft, "ran longer than its class allows");
        }
        return requeue(draft);
    }
    return draft.m_jobClass.m_idempotent ? concludeIdempotent(draft) : concludeNonIdempotent(draft);
}

static JobTransition stopMembers(JobDraft draft, StopCause cause, JobAction how)
{
    draft.m_phase = JobPhase::Stopping;
    draft.m_stopCause = cause;
    if (allSettled(draft)) {
        return conclude(draft);
    }
    return JobTransition{.m_job = draft.build(), .m_actions = {how}};
}

static std::optional<StopCause> brokenBy(const JobDraft &draft)
{
    if (anyIs(draft, MemberState::Failed)) {
        return StopCause::MemberFailed;
    }
    if (anyIs(draft, MemberState::Lost) || anyIs(draft, MemberState::Stopped)) {
        return StopCause::MemberLost;
    }
    if (anyIs(draft, MemberState::NeverStarted)) {
        return draft.m_phase == JobPhase::Holding ? StopCause::Refused : StopCause::MemberLost;
    }
    if (anyIs(draft, MemberState::Checkpointed)) {
        return StopCause::MemberLost;
    }
    return std::nullopt;
}

static JobTransition startOrRun(JobDraft draft, Instant now)
{
    if (!allAre(draft, {MemberState::Held, MemberState::Running, MemberState::Done})) {
        return JobTransition{.m_job = draft.build(), .m_actions = {}};
    }
    if (anyIs(draft, MemberState::Held)) {
        const bool alreadySent = draft.m_phase == JobPhase::Starting;
        draft.m_phase = JobPhase::Starting;
        return JobTransition{.m_job = draft.build(), .m_actions = alreadySent ? std::vector<JobAction>{} : std::vector<JobAction>{JobAction::SendStart}};
    }
    if (allAre(draft, {MemberState::Done})) {
        return conclude(draft);
    }
    draft.m_phase = JobPhase::Running;
    if (!draft.m_startedAt) {
        draft.m_startedAt = now;
    }
    return JobTransition{.m_job = draft.build(), .m_actions = {}};
}

// A member that was lost is live after all, so nothing about it is settled any more. The attempt goes on if every member is live and
// nobody wanted it to end; else what is live is stopped.
static JobTransition continueOrStop(JobDraft draft, Instant now)
{
    const bool wanted = draft.m_stopCause == StopCause::MemberLost && !draft.m_cancelRequested;
    if (wanted && allAre(draft, {MemberState::Held, MemberState::Running, MemberState::Done})) {
        draft.m_phase = JobPhase::Recovering;
        draft.m_stopCause = StopCause::None;
        return startOrRun(draft, now);
    }
    draft.m_phase = JobPhase::Stopping;
    return JobTransition{.m_job = draft.build(), .m_actions = {JobAction::SendStop}};
}

static JobTransition evaluateMembers(const JobDraft &draft, Instant now)
{
    switch (draft.m_phase) {
    case JobPhase::Holding:
    case JobPhase::Starting:
    case JobPhase::Running:
        if (const auto cause = brokenBy(draft)) {
            return stopMembers(draft, *cause, JobAction::SendStop);
        }
        return startOrRun(draft, now);
    case JobPhase::Recovering:
        if (anyIs(draft, MemberState::NotKnown)) {
            return JobTransition{.m_job = draft.build(), .m_actions = {}};
        }
        if (const auto cause = brokenBy(draft)) {
            return stopMembers(draft, *cause, JobAction::SendStop);
        }
        return startOrRun(draft, now);
    case JobPhase::Stopping:
    case JobPhase::Unknown:
        if (allSettled(draft)) {
            return conclude(draft);
        }
        return JobTransition{.m_job = draft.build(), .m_actions = {}};
    case JobPhase::Accepting:
    case JobPhase::Queued:
    case JobPhase::Intending:
    case JobPhase::Finished:
        break;
    }
    return JobTransition{.m_job = draft.build(), .m_actions = {}};
}

// The state that a report leads to, or the old one if the report says nothing new.
static MemberState nextState(const MemberStatus &member, const JobEvent &event)
{
    if (event.m_state == MemberState::NeverStarted && member.m_state != MemberState::NotKnown) {
        const bool reportIsNewer = event.m_sequence > member.m_heldAt;
        if (!reportIsNewer) {
            return member.m_state;
        }
        // A worker that forgot a running task has restarted; the task may have run.
        return member.m_state == MemberState::Held || member.m_state == MemberState::Lost ? event.m_state : MemberState::Lost;
    }
    if (member.m_state == MemberState::Lost && event.m_state != MemberState::NotKnown) {
        return event.m_state;
    }
    return rankOf(event.m_state) > rankOf(member.m_state) ? event.m_state : member.m_state;
}

static JobTransition onMemberReported(const Job &job, const JobEvent &event, Instant now)
{
    if (event.m_index >= job.m_members.size()) {
        return unchanged(job);
    }
    const auto &member = job.m_members[event.m_index];
    const MemberState next = nextState(member, event);
    if (next == member.m_state) {
        return unchanged(job);
    }
    JobDraft draft(job);
    draft.m_members.clear();
    for (std::size_t index = 0; index < job.m_members.size(); ++index) {
        const bool isReported = index == event.m_index;
        draft.m_members.push_back(isReported ? withState(member, next, std::max(event.m_sequence, member.m_heldAt), event.m_result) : job.m_members[index]);
    }
    const bool ending = draft.m_phase == JobPhase::Stopping || draft.m_phase == JobPhase::Unknown;
    const bool live = next == MemberState::Held || next == MemberState::Running;
    if (ending && live && member.m_state == MemberState::Lost) {
        return continueOrStop(draft, now);
    }
    return evaluateMembers(draft, now);
}

static JobTransition onAccepted(const Job &job)
{
    if (job.m_phase != JobPhase::Accepting) {
        return unchanged(job);
    }
    JobDraft draft(job);
    draft.m_recorded = job.m_jobClass.m_durable;
    return requeue(draft);
}

static JobTransition onPlaced(const Job &job, const JobEvent &event)
{
    if (job.m_phase != JobPhase::Queued || event.m_members.empty()) {
        return unchanged(job);
    }
    JobDraft draft(job);
    std::vector<MemberStatus>(event.m_members).swap(draft.m_members);
    draft.m_fence = event.m_fence;
    ++draft.m_attempt;
    draft.m_phase = draft.m_recorded ? JobPhase::Intending : JobPhase::Holding;
    return JobTransition{.m_job = draft.build(), .m_actions = {draft.m_recorded ? JobAction::WriteIntent : JobAction::SendHold}};
}

static JobTransition onIntentRecorded(const Job &job)
{
    if (job.m_phase != JobPhase::Intending) {
        return unchanged(job);
    }
    JobDraft draft(job);
    if (draft.m_cancelRequested) {
        return finish(draft, OutcomeKind::Cancelled, {}, "cancelled by the caller before it started");
    }
    draft.m_phase = JobPhase::Holding;
    return JobTransition{.m_job = draft.build(), .m_actions = {JobAction::SendHold}};
}

static JobTransition onCancel(const Job &job)
{
    JobDraft draft(job);
    draft.m_cancelRequested = true;
    switch (job.m_phase) {
    case JobPhase::Queued:
        return finish(draft, OutcomeKind::Cancelled, {}, "cancelled by the caller before it started");
    case JobPhase::Holding:
    case JobPhase::Starting:
    case JobPhase::Running:
    case JobPhase::Recovering:
        return stopMembers(draft, StopCause::Cancelled, JobAction::SendStop);
    case JobPhase::Accepting:
    case JobPhase::Intending:
    case JobPhase::Stopping:
        return JobTransition{.m_job = draft.build(), .m_actions = {}};
    case JobPhase::Unknown:
    case JobPhase::Finished:
        break;
    }
    return unchanged(job);
}

static JobTransition onRelease(const Job &job, StopCause cause, bool checkpoint)
{
    if (job.m_phase != JobPhase::Running) {
        return unchanged(job);
    }
    return stopMembers(JobDraft(job), cause, checkpoint ? JobAction::SendCheckpoint : JobAction::SendStop);
}

static JobTransition onRetryRefused(const Job &job)
{
    if (job.m_phase != JobPhase::Queued) {
        return unchanged(job);
    }
    return finish(JobDraft(job), OutcomeKind::Failed, {}, "an attempt failed and the retry budget of its tier is spent");
}

static JobTransition onOutcomeRecorded(const Job &job)
{
    if (job.m_phase != JobPhase::Finished || isProvenByWorkers(job.m_outcome.m_kind)) {
        return unchanged(job);
    }
    return JobTransition{.m_job = job, .m_actions = {JobAction::PublishOutcome}};
}

JobTransition stepJob(const Job &job, const JobEvent &event, Instant now)
{
    switch (event.m_kind) {
    case JobEventKind::Accepted:
        return onAccepted(job);
    case JobEventKind::Placed:
        return onPlaced(job, event);
    case JobEventKind::IntentRecorded:
        return onIntentRecorded(job);
    case JobEventKind::MemberReported:
        return onMemberReported(job, event, now);
    case JobEventKind::Cancel:
        return onCancel(job);
    case JobEventKind::Release:
        return onRelease(job, StopCause::Reclaimed, event.m_checkpoint);
    case JobEventKind::Overtime:
        return onRelease(job, StopCause::Overtime, job.m_jobClass.m_checkpointable);
    case JobEventKind::RetryRefused:
        return onRetryRefused(job);
    case JobEventKind::OutcomeRecorded:
        return onOutcomeRecorded(job);
    }
    return unchanged(job);
}

Job recoveredJob(const Job &recorded)
{
    JobDraft draft(recorded);
    draft.m_recorded = true;
    draft.m_startedAt.reset();
    draft.m_stopCause = StopCause::None;
    draft.m_phase = recorded.m_members.empty() ? JobPhase::Queued : JobPhase::Recovering;
    draft.m_members.clear();
    for (const auto &member : recorded.m_members) {
        draft.m_members.push_back(withState(member, MemberState::NotKnown, 0, {}));
    }
    return draft.build();
}

} // namespace PrimroseBridge
