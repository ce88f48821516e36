#pragma once

#include "primrosebridge/Membership/membership.h"
#include "primrosebridge/Model/configuration.h"

#include <vector>

namespace PrimroseBridge {

/// The zones that can take a new request of @p organisation for @p jobClass, best first.
///
/// A zone comes first if the organisation holds a guarantee there that fits the class, then if it can start the job from free
/// accelerators, then if it is the VM's own (no cross-zone traffic), then by shorter queue. Zones whose fleet can never hold the
/// class are left out; zones without a known owner come last, because an owner may be found any moment. Thread-safe.
std::vector<ZoneId> rankZones(const Configuration &configuration, const MembershipView &view, const OrganisationId &organisation, const JobClass &jobClass);

} // namespace PrimroseBridge
