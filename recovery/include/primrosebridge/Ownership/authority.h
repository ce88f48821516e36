#pragma once

#include "primrosebridge/Model/time.h"

#include <cstdint>

namespace PrimroseBridge {

/// The leases from which an owner derives what it may do, and until when.
///
/// After its store lease has expired, another VM may own the fleet. That successor locks every job that the former owner knew while it
/// held the store lease. A job stays locked until each worker refuses the former owner's fence, or until taskLeasesExpiredBy() has
/// passed. The former owner may therefore still start the jobs that it knew, provided that no task lease ends later than taskLeaseEnd()
/// allows: a run on a worker that the successor cannot reach has then ended before the successor unlocks the job. The former owner may not
/// start a job again that may still run on a worker that it cannot reach, because the successor may reach that worker and renew its leases;
/// see haveTaskLeasesExpired(). Its orders must not reach a worker process that has started after the end of the store lease, because that
/// process has seen no fence, and its lease is not bounded by taskLeaseEnd(), which is a time on the clock of an earlier process.
struct OwnerAuthority {
    const Instant m_leaseEnd; ///< End of the store lease after its last renewal, on the boot clock.
    const Duration m_taskLease; ///< Longest task lease that a worker accepts.

    bool operator==(const OwnerAuthority &) const = default;
};

/// Returns true while no other VM can be the owner. The owner renews task leases and accepts new jobs only during that time. Thread-safe.
bool isSoleOwner(const OwnerAuthority &authority, Instant now);

/// Returns true while the owner may start and stop the jobs that it already knows. This lasts half a task lease longer than
/// isSoleOwner(), so that the last run to be started keeps the other half of its task lease; most store outages are shorter than that.
/// Thread-safe.
bool mayScheduleKnownJobs(const OwnerAuthority &authority, Instant now);

/// Returns the end, on the boot clock, of a task lease that the owner grants at @p now. Thread-safe.
Instant taskLeaseEnd(const OwnerAuthority &authority, Instant now);

/// Returns the time, on the boot clock, by which every task lease that any VM granted until @p now has expired unless it was renewed
/// later. Allows for a worker's clock that is 2% slow, and for the delivery time of the order. Thread-safe.
Instant taskLeasesExpiredBy(Instant now, Duration taskLease);

/// Returns true if task leases that the owner last granted or renewed to expire by @p expiredBy have expired. After the end of the store
/// lease the owner cannot know that of leases that were in force until then, because a successor may have renewed them. Thread-safe.
bool haveTaskLeasesExpired(const OwnerAuthority &authority, Instant expiredBy, Instant now);

/// Returns the fence of all calls to a worker process. While the owner is the sole one, the fence is higher than that of every call to an earlier process
/// of the worker, if the entry of this one was written after the owner had taken its ownership. Otherwise it is that of the earlier process.
///
/// A worker that restarts under its identifier takes calls that were meant for the earlier process, and the fence is all that it compares. A successor's
/// fence is the revision at which its key was written, and is higher than any entry revision that the sole owner has read before. Thread-safe.
///
/// @param earlierFence fence of the calls to the worker's earlier process, or the owner's own fence if the owner knows none
/// @param entryRevision revision of the store at which the process's entry was written, read before @p now
std::int64_t workerProcessFence(const OwnerAuthority &authority, Instant now, std::int64_t earlierFence, std::int64_t entryRevision);

} // namespace PrimroseBridge
