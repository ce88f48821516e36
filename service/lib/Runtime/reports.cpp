#include "primrosebridge/Runtime/reports.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <set>

namespace PrimroseBridge {

static bool isSettled(TaskStatus state)
{
    return state != TaskStatus::Held && state != TaskStatus::Running;
}

static AddressedEvent memberEvent(const RequestKey &key, std::size_t index, MemberState state, std::int64_t sequence, const std::string &result)
{
    return AddressedEvent{
        .m_key = key,
        .m_event = JobEvent{.m_kind = JobEventKind::MemberReported, .m_index = index, .m_state = state, .m_sequence = sequence, .m_result = result},
    };
}

static const Job *findJob(const JobTable &jobs, const RequestKey &key)
{
    const auto found = jobs.find(key);
    return found == jobs.end() ? nullptr : found->second.get();
}

// Absence proves something only for a member that the worker must know by now.
static bool absenceMatters(const Job &job, const MemberStatus &member)
{
    if (job.m_phase == JobPhase::Recovering || job.m_phase == JobPhase::Unknown) {
        return true;
    }
    if (!occupiesWorkers(job) || job.m_phase == JobPhase::Intending) {
        return false;
    }
    return member.m_state == MemberState::Held || member.m_state == MemberState::Running || member.m_state == MemberState::Lost;
}

static MemberState stateOfAbsent(const MemberStatus &member, const std::string &incarnation)
{
    // A worker that restarted has lost its books, so absence no longer proves that the task did not run.
    return member.m_incarnation == incarnation ? MemberState::NeverStarted : MemberState::Lost;
}

static void appendAbsences(std::vector<AddressedEvent> &events, const JobTable &jobs, const PollAnswer &answer)
{
    std::set<TaskId> reported;
    for (const auto &task : answer.m_tasks) {
        reported.insert(task.m_report.m_task);
    }
    for (const auto &[key, job] : jobs) {
        for (std::size_t index = 0; index < job->m_members.size(); ++index) {
            const auto &member = job->m_members[index];
            const bool concerned = member.m_member.m_worker == answer.m_answer.m_worker && absenceMatters(*job, member);
            if (concerned && !reported.contains(taskIdOf(*job, index))) {
                const auto state = stateOfAbsent(member, answer.m_answer.m_incarnation);
                events.push_back(memberEvent(key, index, state, answer.m_answer.m_authority.m_sequence, {}));
            }
        }
    }
}

ReportConclusions concludePoll(const JobTable &jobs, const PollAnswer &answer)
{
    assert(answer.m_answer.m_delivered && answer.m_answer.m_accepted && "only accepted answers say what the worker knows");
    std::vector<AddressedEvent> events;
    std::vector<AnswerCheck> dropped;
    std::vector<TaskId> stop;
    std::vector<TaskId> taken;
    std::vector<ReportedTask> orphans;
    for (const auto &task : answer.m_tasks) {
        const auto &report = task.m_report;
        const Job *job = findJob(jobs, report.m_task.m_key);
        if (!job) {
            orphans.push_back(task);
            continue;
        }
        const auto check = checkAnswer(*job, report);
        if (check == AnswerCheck::Whole) {
            const auto sequence = answer.m_answer.m_authority.m_sequence;
            const auto index = static_cast<std::size_t>(report.m_task.m_member);
            events.push_back(memberEvent(report.m_task.m_key, index, memberStateOf(report), sequence, report.m_result));
            continue;
        }
        if (check == AnswerCheck::OtherAttempt && isSettled(report.m_state)) {
            taken.push_back(report.m_task);
            continue;
        }
        if (check == AnswerCheck::OtherAttempt) {
            stop.push_back(report.m_task);
        }
        dropped.push_back(check);
    }
    appendAbsences(events, jobs, answer);
    return ReportConclusions{.m_events = events, .m_dropped = dropped, .m_stop = stop, .m_taken = taken, .m_orphans = orphans};
}

static std::optional<MemberState> stateAfter(const MemberStatus &member, CommandKind kind, CommandCode code, const std::string &incarnation)
{
    if (code == CommandCode::UnknownTask) {
        return stateOfAbsent(member, incarnation);
    }
    switch (kind) {
    case CommandKind::Hold:
        return code == CommandCode::Ok ? MemberState::Held : MemberState::NeverStarted;
    case CommandKind::Start:
        return code == CommandCode::Ok ? std::optional(MemberState::Running) : std::nullopt;
    case CommandKind::Stop:
    case CommandKind::Checkpoint:
    case CommandKind::Throttle:
        // The next report says how the task ended, which may be before the command.
        return std::nullopt;
    }
    return std::nullopt;
}

// A hold and start in one message would pass through Held and make the owner send the start again.
static bool isStartedToo(const ExecuteAnswer &answer, std::size_t index)
{
    const auto &command = answer.m_commands[index];
    if (command.m_kind != CommandKind::Hold || answer.m_codes[index] != CommandCode::Ok) {
        return false;
    }
    for (std::size_t later = index + 1; later < answer.m_commands.size(); ++later) {
        const auto &other = answer.m_commands[later];
        if (other.m_kind == CommandKind::Start && other.m_task == command.m_task) {
            return true;
        }
    }
    return false;
}

std::vector<AddressedEvent> concludeExecute(const JobTable &jobs, const ExecuteAnswer &answer)
{
    assert(answer.m_codes.size() == answer.m_commands.size() && "every command has its code");
    std::vector<AddressedEvent> events;
    for (std::size_t index = 0; index < answer.m_commands.size(); ++index) {
        const auto &command = answer.m_commands[index];
        const Job *job = findJob(jobs, command.m_task.m_key);
        const auto member = static_cast<std::size_t>(command.m_task.m_member);
        const bool current = job && job->m_attempt == command.m_task.m_attempt && job->m_fence == command.m_task.m_fence && member < job->m_members.size();
        if (!current || isStartedToo(answer, index)) {
            continue;
        }
        const auto state = stateAfter(job->m_members[member], command.m_kind, answer.m_codes[index], answer.m_answer.m_incarnation);
        if (state) {
            events.push_back(memberEvent(command.m_task.m_key, member, *state, answer.m_answer.m_authority.m_sequence, {}));
        }
    }
    return events;
}

std::vector<AddressedEvent> concludeLost(const JobTable &jobs, const WorkerId &worker)
{
    std::vector<AddressedEvent> events;
    for (const auto &[key, job] : jobs) {
        if (!occupiesWorkers(*job) || job->m_phase == JobPhase::Intending) {
            continue;
        }
        for (std::size_t index = 0; index < job->m_members.size(); ++index) {
            if (job->m_members[index].m_member.m_worker == worker) {
                events.push_back(memberEvent(key, index, MemberState::Lost, 0, {}));
            }
        }
    }
    return events;
}

} // namespace PrimroseBridge
