#pragma once

#include "worker.h"

#include "worker.pb.h"

namespace PrimroseBridge::Standin {

/// Conversion between the messages of worker.proto and values. Thread-safe.
Authority fromWire(const primrosebridge::wire::Authority &message);
TaskCommand fromWire(const primrosebridge::wire::Command &message);
PollQuestion fromWire(const primrosebridge::wire::PollRequest &message);
void toWire(const ExecuteAnswer &answer, primrosebridge::wire::ExecuteReply &message);
void toWire(const PollAnswer &answer, primrosebridge::wire::PollReply &message);

} // namespace PrimroseBridge::Standin
