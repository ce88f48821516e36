#include "primrosebridge/Ownership/authority.h"

#include <algorithm>

namespace PrimroseBridge {

// Share of a task lease during which work is started after the lease at the store may have lapsed.
static constexpr double leaselessShare = 0.5;
// The platform's workers may have clocks that are 2% slow.
static constexpr double leaseStretch = 1.03;
static constexpr Duration leaseSlack(300);

bool isSoleOwner(const OwnerAuthority &authority, Instant now)
{
    return now < authority.m_leaseEnd;
}

bool mayScheduleKnownJobs(const OwnerAuthority &authority, Instant now)
{
    return now < authority.m_leaseEnd + std::chrono::duration_cast<Duration>(authority.m_taskLease * leaselessShare);
}

Instant taskLeaseEnd(const OwnerAuthority &authority, Instant now)
{
    return std::min(now, authority.m_leaseEnd) + authority.m_taskLease;
}

Instant taskLeasesExpiredBy(Instant now, Duration taskLease)
{
    return now + std::chrono::duration_cast<Duration>(taskLease * leaseStretch) + leaseSlack;
}

} // namespace PrimroseBridge
