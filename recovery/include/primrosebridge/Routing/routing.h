#pragma once

#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Model/configuration.h"

#include <vector>

namespace PrimroseBridge {

/// Returns the zones that can take a new request of @p organisation for @p jobClass, best first.
///
/// Zones with a known owner come before the others, which stay in the result because their owner may become known at any time. Then the
/// criteria are, in this order: the organisation has a guarantee in the zone that fits the class; the zone has enough free accelerators
/// to start the job; the zone is the VM's own, which avoids cross-zone traffic; the queue is shorter. Omits zones whose fleet can never
/// hold a job of the class. Thread-safe.
std::vector<ZoneId> rankZones(const Configuration &configuration, const MembershipView &view, const OrganisationId &organisation, const JobClass &jobClass);

} // namespace PrimroseBridge
