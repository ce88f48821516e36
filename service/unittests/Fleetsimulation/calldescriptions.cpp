#include "calldescriptions.h"

namespace PrimroseBridge {

static std::string describeRun(const TaskReference &task, std::int64_t runNumber, const OrderTarget &target)
{
    return taskName(task) + " run " + std::to_string(runNumber) + " on " + target.m_worker + " fence " + std::to_string(target.m_fence);
}

std::string describeAnswer(OrderAnswer answer)
{
    return "answer " + std::to_string(static_cast<int>(answer));
}

std::string describeExecution(const OrderDelivery &delivery)
{
    return std::string("executed") + (delivery.m_late ? " late" : "") + (delivery.m_afterRestart ? ", sent before a restart: " : ": ");
}

std::string describeStart(const OrderTarget &target, const StartOrder &order)
{
    return "start " + describeRun(order.m_task, order.m_runNumber, target);
}

std::string describeStop(const OrderTarget &target, const TaskReference &task, std::int64_t runNumber)
{
    return "stop " + describeRun(task, runNumber, target);
}

std::string describeRequest(const OrderTarget &target, const RunReportRequest &request)
{
    return "report request to " + target.m_worker + " fence " + std::to_string(target.m_fence) + " acknowledges "
           + std::to_string(request.m_lastAcknowledgedEnd) + (request.m_leaseEndMs ? " leases until " + std::to_string(*request.m_leaseEndMs) : "");
}

std::string describeReport(const std::string &worker, const RunReportReply &reply)
{
    std::string text = "report of " + worker + " " + describeAnswer(reply.m_answer);
    if (!reply.m_runReport) {
        return text;
    }
    text += " start " + std::to_string(reply.m_runReport->m_startedAtMs) + " running";
    for (const auto &run : reply.m_runReport->m_running) {
        text += " " + taskName(run.m_task) + "#" + std::to_string(run.m_runNumber);
    }
    text += " ended";
    for (const auto &run : reply.m_runReport->m_ends) {
        text += " " + std::to_string(run.m_number) + ":" + taskName(run.m_task) + "#" + std::to_string(run.m_runNumber) + "/"
                + std::to_string(static_cast<int>(run.m_kind));
    }
    return text;
}

} // namespace PrimroseBridge
