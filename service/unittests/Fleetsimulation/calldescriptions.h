#pragma once

#include "simulatedworkers.h"

#include <string>

namespace PrimroseBridge {

// Texts for traces of calls to workers. All are thread-safe.

std::string describeAnswer(OrderAnswer answer);
/// Says when the worker executed a call, as the beginning of a line.
std::string describeExecution(const OrderDelivery &delivery);
std::string describeStart(const OrderTarget &target, const StartOrder &order);
std::string describeStop(const OrderTarget &target, const TaskReference &task, std::int64_t runNumber);
std::string describeRequest(const OrderTarget &target, const RunReportRequest &request);
std::string describeReport(const std::string &worker, const RunReportReply &reply);

} // namespace PrimroseBridge
