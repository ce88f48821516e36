#include "awaitoutcome.h"

#include "apicall.h"
#include "primrosebridge/Commands/format.h"

#include <algorithm>

namespace PrimroseBridge {

/// Minimum time from the start of one call to the start of the next, which limits the call rate if servers respond at once.
constexpr Duration minPollInterval = std::chrono::seconds(1);
/// Interval at which unchanged progress is printed again.
constexpr Duration progressInterval = std::chrono::seconds(60);

/// State of the polling loop.
struct OutcomePoll {
    std::optional<std::string> m_lastResponse;
    std::optional<Error> m_lastError;
    std::string m_printedProgress;
    Duration m_printedAt = Duration(0);
    bool m_submitNext = false;
};

static bool isTransient(const Error &error)
{
    const auto kind = error.kind();
    return kind == ErrorKind::Unavailable || kind == ErrorKind::StoreUnavailable || kind == ErrorKind::DeadlineExceeded;
}

static void printProgress(OutcomePoll &poll, const Environment &environment, const std::string &text)
{
    const auto now = environment.m_elapsedTime();
    if (text == poll.m_printedProgress && now - poll.m_printedAt < progressInterval) {
        return;
    }
    environment.m_writeStderr("waiting for " + std::to_string(now.count() / 1000) + " s: " + text + "\n");
    poll.m_printedProgress = text;
    poll.m_printedAt = now;
}

/// Sends one call and returns true if its response has a final outcome.
static bool
pollOnce(OutcomePoll &poll, const Command &command, const Environment &environment, const std::string &key, const std::optional<ServerCall> &submitCall)
{
    const auto longPollTime = std::min(maxLongPollTime, remainingTime(command, environment));
    const auto path = "/v1/requests/" + key + "?wait_ms=" + std::to_string(longPollTime.count());
    try {
        poll.m_lastResponse = callApi(command, environment, poll.m_submitNext ? *submitCall : makeGetCall(path), longPollTime);
        poll.m_submitNext = false;
    } catch (const Error &error) {
        if (error.kind() == ErrorKind::NotFound && submitCall && !poll.m_submitNext) {
            poll.m_submitNext = true;
            printProgress(poll, environment, "the servers no longer know the request; it is submitted again");
            return false;
        }
        if (!isTransient(error)) {
            throw;
        }
        poll.m_lastError.emplace(error);
        printProgress(poll, environment, error.message());
        return false;
    }
    const auto kind = parseOutcome(*poll.m_lastResponse);
    if (isFinal(kind)) { // An unknown outcome is not final: it may still become known, so polling continues.
        return true;
    }
    printProgress(poll, environment, "request " + key + " is " + std::string(outcomeKindName(kind)));
    return false;
}

std::string awaitOutcome(const Command &command, const Environment &environment, const std::string &key, const std::optional<ServerCall> &submitCall)
{
    OutcomePoll poll;
    poll.m_submitNext = submitCall.has_value();
    for (;;) {
        const auto startedAt = environment.m_elapsedTime();
        if (pollOnce(poll, command, environment, key, submitCall)) {
            return *poll.m_lastResponse;
        }
        const auto pause = std::max(Duration(0), minPollInterval - (environment.m_elapsedTime() - startedAt));
        if (remainingTime(command, environment) <= pause) {
            break;
        }
        if (pause > Duration(0)) {
            environment.m_sleep(pause);
        }
    }
    if (!poll.m_lastResponse) {
        throw poll.m_lastError.value_or(Error(ErrorKind::Unavailable, "no server responded before the timeout", "use a longer --timeout"));
    }
    environment.m_writeStderr("the timeout expired; continue waiting with: primrosectl wait " + key + "\n");
    return *poll.m_lastResponse;
}

} // namespace PrimroseBridge
