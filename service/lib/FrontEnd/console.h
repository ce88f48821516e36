#pragma once

#include "consolesessions.h"

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Runtime/node.h"

#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// Functions through which the console reads the state of the node and publishes configurations. All of them must be thread-safe.
struct ConsoleCallbacks {
    const std::function<Instant()> m_now; ///< Returns the current time.
    /// Returns the configuration in force, or null if there is none yet.
    const std::function<std::shared_ptr<const VersionedConfiguration>()> m_configuration;
    /// Publishes a document and returns its version. Returns Conflict if the second argument is not the version in force.
    const std::function<Result<std::int64_t>(const std::string &, std::int64_t)> m_publish;
    const std::function<ZoneReport()> m_zoneReport; ///< Returns the report on the zone of this VM.
    const std::function<MembershipView()> m_membership;
    const std::function<std::string()> m_zoneOwner; ///< Returns the VM that owns the zone of this VM; empty if unknown.
    const std::function<MergedTimeline(Instant)> m_timeline; ///< Returns the events of all processes since the given time.
};

/// Answers a call under `/console`. A submitted form is processed in these steps: look up the session, decode the form, check the forgery
/// token, apply the edit, validate the document, preview or publish it, and render the page. Precondition: the first path segment is `console`.
/// Never throws; blocks for at most 6 s. Thread-safe.
HttpReply answerConsoleCallWith(const ConsoleCallbacks &callbacks, ConsoleSessions &sessions, const HttpCall &call);

/// Answers a call under `/console` from @p node, with the sessions of this process. Precondition, errors and blocking are those of
/// answerConsoleCallWith(). Thread-safe.
HttpReply answerConsoleCall(Node &node, const HttpCall &call);

} // namespace PrimroseBridge
