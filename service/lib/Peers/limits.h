#pragma once

#include "primrosebridge/Model/time.h"

#include <cstddef>

namespace PrimroseBridge {

/// Largest message accepted, in bytes: a configuration document of 900 KiB with its framing.
constexpr int maxMessageBytes = 1024 * 1024;

constexpr Duration heartbeatPeriod = std::chrono::seconds(1);
/// Below the period, so that at most one round of heartbeats is in progress.
constexpr Duration heartbeatDeadline = Duration(800);
/// Time for a document of 900 KiB over a slow link between regions.
constexpr Duration fetchDeadline = std::chrono::seconds(2);
/// Time for fetchConfiguration() over all peers.
constexpr Duration fetchAllDeadline = std::chrono::seconds(5);
constexpr Duration eventsDeadline = std::chrono::seconds(1);
constexpr Duration connectDeadline = std::chrono::seconds(1);
/// Time for a forwarded call in addition to its wait.
constexpr Duration forwardMargin = std::chrono::seconds(2);
constexpr Duration maxForwardWait = std::chrono::seconds(60);

/// Forwarded calls in progress; each occupies a thread of the server.
constexpr int maxForwards = 24;
/// Forwarded calls that may wait; the others are answered with the present state, so that waiting callers never block submissions.
constexpr int maxWaitingForwards = 16;
constexpr Duration forwardRetryAfter = Duration(200);
/// Threads of the server: the forwarded calls, and a few for heartbeats and fetches, which do not block.
constexpr int serverThreads = maxForwards + 8;

/// Events of one answer, in bytes. About 60 answers are held at once, within the 32 MB of a process.
constexpr std::size_t maxEventBytes = 128 * 1024;

} // namespace PrimroseBridge
