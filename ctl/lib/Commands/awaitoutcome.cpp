#include "awaitoutcome.h"

#include "apicall.h"
#include "primrosebridge/Commands/format.h"

#include <algorithm>

namespace PrimroseBridge {

/// Shortest time between two calls, also when servers answer at once.
constexpr Duration shortestPause = std::chrono::seconds(1);
/// Time after which an unchanged state is reported again.
constexpr Duration progressPeriod = std::chrono::seconds(60);

/// What the loop has learnt and reported so far.
struct WaitState {
    std::optional<std::string> m_lastAnswer;
    std::optional<Error> m_lastError;
    std::string m_reported;
    Duration m_reportedAt = Duration(0);
    bool m_submitNext = false;
};

static bool isTransient(const Error &error)
{
    const auto kind = error.kind();
    return kind == ErrorKind::Unavailable || kind == ErrorKind::StoreUnavailable || kind == ErrorKind::DeadlineExceeded;
}

static void reportProgress(WaitState &state, const Environment &environment, const std::string &text)
{
    const auto now = environment.m_elapsed();
    if (text == state.m_reported && now - state.m_reportedAt < progressPeriod) {
        return;
    }
    environment.m_report("waiting for " + std::to_string(now.count() / 1000) + " s: " + text + "\n");
    state.m_reported = text;
    state.m_reportedAt = now;
}

/// True if the answer is final.
static bool
askOnce(WaitState &state, const Command &command, const Environment &environment, const std::string &key, const std::optional<ServerCall> &submitCall)
{
    const auto wait = std::min(longestServerWait, remainingTime(command, environment));
    const auto path = "/v1/requests/" + key + "?wait_ms=" + std::to_string(wait.count());
    try {
        state.m_lastAnswer = ask(command, environment, state.m_submitNext ? *submitCall : getCall(path), wait);
        state.m_submitNext = false;
    } catch (const Error &error) {
        if (error.kind() == ErrorKind::NotFound && submitCall && !state.m_submitNext) {
            state.m_submitNext = true;
            reportProgress(state, environment, "the servers no longer know the request; it is submitted again");
            return false;
        }
        if (!isTransient(error)) {
            throw;
        }
        state.m_lastError.emplace(error);
        reportProgress(state, environment, error.message());
        return false;
    }
    const auto kind = outcomeOf(*state.m_lastAnswer);
    if (isFinal(kind)) { // An unknown outcome may still become known, so it is asked for again.
        return true;
    }
    reportProgress(state, environment, "request " + key + " is " + std::string(outcomeKindName(kind)));
    return false;
}

std::string awaitOutcome(const Command &command, const Environment &environment, const std::string &key, const std::optional<ServerCall> &submitCall)
{
    WaitState state;
    state.m_submitNext = submitCall.has_value();
    for (;;) {
        const auto started = environment.m_elapsed();
        if (askOnce(state, command, environment, key, submitCall)) {
            return *state.m_lastAnswer;
        }
        const auto pause = std::max(Duration(0), shortestPause - (environment.m_elapsed() - started));
        if (remainingTime(command, environment) <= pause) {
            break;
        }
        if (pause > Duration(0)) {
            environment.m_sleep(pause);
        }
    }
    if (!state.m_lastAnswer) {
        throw state.m_lastError.value_or(Error(ErrorKind::Unavailable, "no server answered within the time", "use a longer --timeout"));
    }
    environment.m_report("the time is up; ask again with: primrosectl wait " + key + "\n");
    return *state.m_lastAnswer;
}

} // namespace PrimroseBridge
