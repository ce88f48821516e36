#pragma once

#include "consolesessions.h"

#include "primrosebridge/FrontEnd/http.h"
#include "primrosebridge/Runtime/node.h"

#include <string>

namespace PrimroseBridge {

/// Returns the page with the workers of the zone of this VM and with the other entry VMs. Thread-safe.
HttpReply fleetPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session);

/// Returns the page with the queue length and the free accelerators of each zone. Thread-safe.
HttpReply queuesPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session);

/// Returns the page with the guarantees of the zone of this VM: for each one, the number of shapes that are held, free, lent, reclaimable and
/// short. Thread-safe.
HttpReply guaranteeStatusPage(const ZoneReport &report, const MembershipView &membership, const std::string &owner, const ConsoleSession &session);

/// Returns the page with the newest events, as a diagram with one lane per process and as a table. Thread-safe.
HttpReply eventsPage(const MergedTimeline &timeline, const ConsoleSession &session);

/// Returns an SVG element with a dot for each event and a line from each cause to its effect; an empty string if there are no events. Thread-safe.
std::string timelineSvg(const std::vector<MergedEvent> &events);

} // namespace PrimroseBridge
