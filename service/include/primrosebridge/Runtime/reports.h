#pragma once

#include "primrosebridge/Records/answer.h"
#include "primrosebridge/Records/lifecycle.h"
#include "primrosebridge/Workers/workerclient.h"

#include <map>
#include <memory>
#include <vector>

namespace PrimroseBridge {

/// An event for one job.
struct AddressedEvent {
    const RequestKey m_key;
    const JobEvent m_event;

    bool operator==(const AddressedEvent &) const = default;
};

/// What follows from one report of a worker.
struct ReportConclusions {
    const std::vector<AddressedEvent> m_events;
    const std::vector<AnswerCheck> m_dropped; ///< Why answers were dropped, one for each.
    const std::vector<TaskId> m_stop; ///< Tasks of earlier attempts that still occupy the worker.
    const std::vector<TaskId> m_taken; ///< Settled tasks of earlier attempts that the worker may forget.
    const std::vector<ReportedTask> m_orphans; ///< Tasks that belong to no known job.

    bool operator==(const ReportConclusions &) const = default;
};

using JobTable = std::map<RequestKey, std::shared_ptr<const Job>>;

/// Interprets an accepted poll. Pure; thread-safe. Precondition: the answer was delivered and accepted.
ReportConclusions concludePoll(const JobTable &jobs, const PollAnswer &answer);

/// Interprets an accepted answer to commands. Pure; thread-safe. Precondition: there is one code for each command.
std::vector<AddressedEvent> concludeExecute(const JobTable &jobs, const ExecuteAnswer &answer);

/// Events for every member on a worker that has been silent for longer than the task lease. Pure; thread-safe.
std::vector<AddressedEvent> concludeLost(const JobTable &jobs, const WorkerId &worker);

} // namespace PrimroseBridge
