#pragma once

#include "consolesessions.h"

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Runtime/node.h"

#include <functional>
#include <memory>
#include <string>

namespace PrimroseBridge {

/// Where the console takes its data from. All functions are thread-safe.
struct ConsoleCallbacks {
    const std::function<Instant()> m_now;
    const std::function<std::shared_ptr<const VersionedConfiguration>()> m_configuration;
    const std::function<Result<std::int64_t>(const std::string &, std::int64_t)> m_publish;
    const std::function<ZoneReport()> m_zoneReport;
    const std::function<MembershipView()> m_membership;
    const std::function<std::string()> m_zoneOwner;
    const std::function<MergedTimeline(Instant)> m_timeline;
};

/// Answers a call under `/console`. A form passes through these steps: session and forgery token, decoding, edit, check of the document,
/// preview or publication, HTML. Precondition: the first path segment is `console`. Never throws; blocks for at most 6 s. Thread-safe.
HttpReply answerConsoleCallWith(const ConsoleCallbacks &source, ConsoleSessions &sessions, const HttpCall &call);

/// The same, from a node and with the sessions of this process. Thread-safe.
HttpReply answerConsoleCall(Node &node, const HttpCall &call);

} // namespace PrimroseBridge
