#pragma once

#include "primrosebridge/Election/zoneelection.h"
#include "primrosebridge/Observe/eventlog.h"

#include <optional>

namespace PrimroseBridge {

/// Records a change of role in the timeline and the log; nothing if the role is the same or only Acquiring is involved.
/// Returns the reference of the event recorded, or @p cause. Thread-safe.
EventReference recordRoleChange(EventLog &events,
                                const ElectionSettings &settings,
                                const OwnershipState &before,
                                const OwnershipState &after,
                                const OwnershipEvent &event,
                                const EventReference &cause);

/// Records that the store names another owner than before. Returns the reference of the event recorded, or @p cause. Thread-safe.
EventReference recordOwnerChange(EventLog &events,
                                 const ElectionSettings &settings,
                                 const std::optional<OwnerRecord> &before,
                                 const std::optional<OwnerRecord> &after,
                                 const EventReference &cause);

/// Logs a failed call of the protocol. Thread-safe.
void logCallFailure(const ElectionSettings &settings, const OwnershipEvent &event, const Error &error);

} // namespace PrimroseBridge
