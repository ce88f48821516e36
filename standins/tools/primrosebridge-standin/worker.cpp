#include "worker.h"

#include <algorithm>
#include <iterator>

namespace PrimroseBridge::Standin {

namespace {

constexpr Duration longestWait(30000); // Bounds how long a call of a client that has gone is kept.

void runAll(const std::vector<std::function<void()>> &actions)
{
    for (const auto &action : actions) {
        action();
    }
}

} // namespace

void CheckpointStore::save(const std::string &key, int member, Duration progress)
{
    const std::lock_guard lock(m_mutex);
    m_progress.insert_or_assign({key, member}, progress);
}

Duration CheckpointStore::load(const std::string &key, int member) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_progress.find({key, member});
    return found == m_progress.end() ? Duration(0) : found->second;
}

Worker::Worker(const WorkerSpec &spec, WorkerBooks &books, CheckpointStore &checkpoints, Instant now)
    : m_spec(spec)
    , m_books(books)
    , m_checkpoints(checkpoints)
    , m_faults(std::make_shared<const WorkerFaults>(WorkerFaults{false, false, false, 100, Duration(0), firstAccelerators(spec.m_accelerators)}))
    , m_incarnation(newIncarnation(now))
{
}

bool Worker::accept(const Authority &authority)
{
    const std::pair pair(authority.m_fence, authority.m_sequence);
    if (pair < m_highest) {
        m_books.count("refusedAuthority");
        return false;
    }
    m_highest = pair;
    if (authority.m_fence < m_highestEverAccepted) {
        m_books.count("acceptedOutOfOrder");
    }
    m_highestEverAccepted = std::max(m_highestEverAccepted, authority.m_fence);
    return true;
}

ExecuteAnswer Worker::executeAnswer(const Authority &authority, const std::vector<TaskCommand> &commands, Instant now)
{
    endDueTasks(now);
    std::vector<CommandAnswer> answers;
    const bool accepted = accept(authority);
    if (accepted) {
        std::transform(commands.begin(), commands.end(), std::back_inserter(answers), [&](const TaskCommand &command) { return run(command, now); });
    }
    return {accepted, m_highest.first, m_incarnation, m_faults->m_leaving, std::move(answers)};
}

void Worker::execute(const Authority &authority, const std::vector<TaskCommand> &commands, Instant now, const ExecuteReceiver &receive)
{
    std::unique_lock lock(m_mutex);
    if (m_closed) {
        lock.unlock();
        receive(std::nullopt);
        return;
    }
    if (m_faults->m_frozen) {
        m_frozenCalls.emplace_back([this, authority, commands, receive](Instant later) { execute(authority, commands, later, receive); });
        return;
    }
    const std::optional<ExecuteAnswer> answer = executeAnswer(authority, commands, now);
    const bool lost = takeOne(m_loseAnswers);
    if (lost) {
        m_books.count("lostAnswers");
    }
    const Action deliver = [receive, answer, lost] { receive(lost ? std::nullopt : answer); };
    if (m_faults->m_answerDelay > Duration(0)) {
        m_delayedAnswers.emplace(now + m_faults->m_answerDelay, deliver);
        return;
    }
    lock.unlock();
    deliver();
}

void Worker::forget(const std::vector<TaskName> &taken)
{
    for (const auto &name : taken) {
        const auto known = m_tasks.find(name);
        if (known != m_tasks.end() && !occupies(*known->second)) {
            m_tasks.erase(known);
            m_bookNumbers.erase(name);
        }
    }
}

void Worker::renewLeases(Duration lease, Instant now)
{
    if (lease <= Duration(0)) {
        return;
    }
    for (auto &[name, task] : m_tasks) {
        if (occupies(*task)) {
            task = withLease(*task, now + lease);
        }
    }
}

void Worker::poll(const PollQuestion &question, Instant now, const PollReceiver &receive)
{
    std::unique_lock lock(m_mutex);
    if (m_closed) {
        lock.unlock();
        receive(std::nullopt);
        return;
    }
    if (m_faults->m_frozen) {
        m_frozenCalls.emplace_back([this, question, receive](Instant later) { poll(question, later, receive); });
        return;
    }
    endDueTasks(now);
    if (!accept(question.m_authority)) {
        const PollAnswer answer = pollAnswer(false, now);
        lock.unlock();
        receive(answer);
        return;
    }
    forget(question.m_taken);
    renewLeases(question.m_lease, now);
    m_polls.push_back({question, now + std::min(question.m_wait, longestWait), receive});
    const auto actions = duePolls(now);
    lock.unlock();
    runAll(actions);
}

// Polls that must be answered now. A poll of a former owner is answered too, so that it learns the higher fence.
std::vector<Worker::Action> Worker::duePolls(Instant now)
{
    std::vector<Action> actions;
    if (m_faults->m_frozen) {
        return actions;
    }
    std::vector<PendingPoll> pending;
    pending.swap(m_polls);
    for (auto &poll : pending) {
        const bool current = poll.m_question.m_authority.m_fence == m_highest.first;
        if (current && poll.m_question.m_seenVersion == m_version && poll.m_deadline > now) {
            m_polls.push_back(poll);
            continue;
        }
        const bool lost = takeOne(m_losePollAnswers);
        actions.emplace_back(
            [receive = poll.m_receive, lost, answer = pollAnswer(current, now)] { receive(lost ? std::nullopt : std::optional<PollAnswer>(answer)); });
    }
    return actions;
}

void Worker::endDueTasks(Instant now)
{
    const auto tasks = m_tasks;
    for (const auto &[name, task] : tasks) {
        if (!occupies(*task)) {
            continue;
        }
        const bool running = task->m_life.m_state == TaskStatus::Running;
        const Instant finish = finishAt(*task, m_faults->m_speedPercent);
        if (running && finish <= now && finish <= task->m_leaseEnd) {
            const bool fails = task->m_plan.m_fails;
            end(task, fails ? TaskStatus::Failed : TaskStatus::Done, fails ? "failed" : "done", finish);
        } else if (task->m_leaseEnd <= now) {
            end(task, TaskStatus::Stopped, "lease expired", task->m_leaseEnd);
        }
    }
}

std::optional<Instant> Worker::nextDue() const
{
    std::optional<Instant> next;
    const auto consider = [&next](Instant due) { next = next ? std::min(*next, due) : due; };
    for (const auto &[name, task] : m_tasks) {
        if (occupies(*task)) {
            consider(task->m_leaseEnd);
        }
        if (task->m_life.m_state == TaskStatus::Running) {
            consider(finishAt(*task, m_faults->m_speedPercent));
        }
    }
    if (!m_delayedAnswers.empty()) {
        consider(m_delayedAnswers.begin()->first);
    }
    if (!m_faults->m_frozen) {
        std::for_each(m_polls.begin(), m_polls.end(), [&](const PendingPoll &poll) { consider(poll.m_deadline); });
    }
    return next;
}

std::optional<Instant> Worker::advance(Instant now)
{
    std::unique_lock lock(m_mutex);
    endDueTasks(now);
    auto actions = duePolls(now);
    const auto end = m_delayedAnswers.upper_bound(now);
    std::transform(m_delayedAnswers.begin(), end, std::back_inserter(actions), [](const auto &entry) { return entry.second; });
    m_delayedAnswers.erase(m_delayedAnswers.begin(), end);
    const auto next = nextDue();
    lock.unlock();
    runAll(actions);
    return next;
}

void Worker::change(const FaultChange &change, Instant now)
{
    std::unique_lock lock(m_mutex);
    endDueTasks(now);
    takeFaults(change, now);
    endTasksOnLostAccelerators(now);
    std::vector<Action> actions;
    if (change.m_restart) {
        for (const auto &poll : m_polls) {
            actions.emplace_back([receive = poll.m_receive] { receive(std::nullopt); });
        }
        m_polls.clear();
        restart(now);
    }
    if (!m_faults->m_frozen) {
        std::transform(m_frozenCalls.begin(), m_frozenCalls.end(), std::back_inserter(actions), [now](const auto &call) { return [call, now] { call(now); }; });
        m_frozenCalls.clear();
    }
    lock.unlock();
    runAll(actions);
}

void Worker::close()
{
    std::unique_lock lock(m_mutex);
    m_closed = true;
    std::vector<Action> actions;
    for (const auto &poll : m_polls) {
        actions.emplace_back([receive = poll.m_receive] { receive(std::nullopt); });
    }
    for (const auto &call : m_frozenCalls) {
        actions.emplace_back([call] { call(Instant()); }); // The call finds the worker closed.
    }
    for (const auto &[due, action] : m_delayedAnswers) {
        actions.push_back(action);
    }
    m_polls.clear();
    m_frozenCalls.clear();
    m_delayedAnswers.clear();
    lock.unlock();
    runAll(actions);
}

} // namespace PrimroseBridge::Standin
