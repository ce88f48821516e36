#pragma once

#include "primrosebridge/Model/time.h"

namespace PrimroseBridge {

/// Until when an owner counts as the only one, and what it may do after that.
///
/// Without its lease at the store another VM may own the fleet. That successor has every job locked that the former owner knew while
/// it had the lease, until each worker has refused the former fence or taskLeasesExpiredBy() has passed. So the jobs known then may still
/// be started, if no task lease goes beyond one that the last renewal at the store allows: what is started at a worker that the
/// successor does not reach has lapsed when the successor unlocks the job.
struct OwnerAuthority {
    const Instant m_leaseEnd; ///< Boot clock; the lease at the store as far as it has been renewed.
    const Duration m_taskLease; ///< Longest lease that a worker grants to what runs on it.

    bool operator==(const OwnerAuthority &) const = default;
};

/// True while no other VM can be the owner. Only then are task leases renewed and new jobs taken up. Thread-safe.
bool isSoleOwner(const OwnerAuthority &authority, Instant now);

/// True while known work may be started and stopped: for half a task lease longer than isSoleOwner(), so that what starts last still
/// runs for the other half, which most outages of the store do not outlast. Thread-safe.
bool mayScheduleKnownJobs(const OwnerAuthority &authority, Instant now);

/// End, on the boot clock, of a task lease that is given at @p now. Thread-safe.
Instant taskLeaseEnd(const OwnerAuthority &authority, Instant now);

/// Boot clock by which every task lease that any VM has given until @p now has lapsed, unless it is renewed later. Counts a worker's
/// clock that is 2% slow, and the way of the order. Thread-safe.
Instant taskLeasesExpiredBy(Instant now, Duration taskLease);

} // namespace PrimroseBridge
