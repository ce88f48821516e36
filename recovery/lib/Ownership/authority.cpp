#include "primrosebridge/Ownership/authority.h"

#include <algorithm>

namespace PrimroseBridge {

// Share of a task lease for which the owner still schedules known jobs after its store lease may have expired.
static constexpr double schedulingGraceShare = 0.5;
// Worker clocks on the platform may run 2% slow, which prolongs a lease by just over 2%. The rest is a margin.
static constexpr double clockDriftFactor = 1.03;
static constexpr Duration orderDeliveryAllowance(300); // ms

bool isSoleOwner(const OwnerAuthority &authority, Instant now)
{
    return now < authority.m_leaseEnd;
}

bool mayScheduleKnownJobs(const OwnerAuthority &authority, Instant now)
{
    return now < authority.m_leaseEnd + std::chrono::duration_cast<Duration>(authority.m_taskLease * schedulingGraceShare);
}

Instant taskLeaseEnd(const OwnerAuthority &authority, Instant now)
{
    return std::min(now, authority.m_leaseEnd) + authority.m_taskLease;
}

Instant taskLeasesExpiredBy(Instant now, Duration taskLease)
{
    return now + std::chrono::duration_cast<Duration>(taskLease * clockDriftFactor) + orderDeliveryAllowance;
}

bool haveTaskLeasesExpired(const OwnerAuthority &authority, Instant expiredBy, Instant now)
{
    return expiredBy <= std::min(now, authority.m_leaseEnd);
}

std::int64_t workerProcessFence(const OwnerAuthority &authority, Instant now, std::int64_t earlierFence, std::int64_t entryRevision)
{
    return isSoleOwner(authority, now) ? std::max(earlierFence, entryRevision) : earlierFence;
}

} // namespace PrimroseBridge
