#pragma once

#include "consolesessions.h"

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Runtime/node.h"

#include <string>

namespace PrimroseBridge {

/// Workers of this VM's zone, and the zones and VMs that it knows. Thread-safe.
HttpReply fleetPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session);

/// Queue lengths by zone. Thread-safe.
HttpReply queuesPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session);

/// Guarantees of this VM's zone: held, free, lent and reclaimable, short. Thread-safe.
HttpReply guaranteeStatusPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session);

/// The last events as a picture, one lane for each process, and as a table. Thread-safe.
HttpReply eventsPage(const MergedTimeline &timeline, const ConsoleSession &session);

/// The picture alone: an SVG element with a dot for each event and a line from each cause to its effect. Empty without events. Thread-safe.
std::string timelineSvg(const std::vector<MergedEvent> &events);

} // namespace PrimroseBridge
