#pragma once

#include "primrosebridge/Peers/peernetwork.h"

namespace primrosebridge::wire { // NOLINT(readability-identifier-naming): the name is that of the generated code.
class Event;
class ForwardReply;
class ForwardRequest;
} // namespace primrosebridge::wire

namespace PrimroseBridge {

/// Writes @p call into @p message; its wait is cut to the longest that a peer accepts. Thread-safe.
void encodeForwardCall(const ForwardCall &call, primrosebridge::wire::ForwardRequest *message);

/// The call in @p message; InvalidArgument or TooLarge if a field is out of range. Thread-safe.
Result<ForwardCall> decodeForwardCall(const primrosebridge::wire::ForwardRequest &message);

/// Writes the answer or the error into @p message. Thread-safe.
void encodeForwardAnswer(const Result<ForwardAnswer> &answer, primrosebridge::wire::ForwardReply *message);

/// The answer or the error that @p message states; Internal if it cannot be read. Thread-safe.
Result<ForwardAnswer> decodeForwardAnswer(const primrosebridge::wire::ForwardReply &message);

/// Writes @p event into @p message. Thread-safe.
void encodeEvent(const TimelineEvent &event, primrosebridge::wire::Event *message);

/// The event in @p message; InvalidArgument if a field is out of range. Thread-safe.
Result<TimelineEvent> decodeEvent(const primrosebridge::wire::Event &message);

} // namespace PrimroseBridge
