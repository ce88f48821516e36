#include "primrosebridge/Fleet/placement.h"

namespace PrimroseBridge {

std::string_view stopReasonName(StopReason reason)
{
    switch (reason) {
    case StopReason::Cancelled:
        return "cancelled";
    case StopReason::Preempted:
        return "preempted";
    case StopReason::Superseded:
        return "superseded";
    case StopReason::GangIncomplete:
        return "gang_incomplete";
    case StopReason::Stalled:
        return "stalled";
    case StopReason::WorkerLeaves:
        return "worker_leaves";
    case StopReason::Unconfirmed:
        return "unconfirmed";
    }
    return "unknown";
}

std::string_view urgencyRankName(UrgencyRank rank)
{
    switch (rank) {
    case UrgencyRank::Guaranteed:
        return "guaranteed";
    case UrgencyRank::Urgent:
        return "urgent";
    case UrgencyRank::Normal:
        return "normal";
    case UrgencyRank::Background:
        return "background";
    }
    return "unknown";
}

std::string_view waitReasonName(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoEligibleWorker:
        return "no_eligible_worker";
    case WaitReason::ReservedForUrgent:
        return "kept_free";
    case WaitReason::InsufficientCapacity:
        return "no_room";
    case WaitReason::InsufficientRackCapacity:
        return "no_room_in_rack";
    case WaitReason::CapacityBeingReleased:
        return "being_freed";
    case WaitReason::Draining:
        return "draining";
    case WaitReason::DrainedForGang:
        return "kept_for_gang";
    case WaitReason::ZoneDrained:
        return "zone_drained";
    case WaitReason::Locked:
        return "locked";
    }
    return "unknown";
}

bool mayPreempt(UrgencyRank rank, UrgencyRank victim)
{
    switch (rank) {
    case UrgencyRank::Guaranteed:
        return victim != UrgencyRank::Guaranteed;
    case UrgencyRank::Urgent:
        return victim == UrgencyRank::Normal || victim == UrgencyRank::Background;
    case UrgencyRank::Normal:
    case UrgencyRank::Background:
        return false;
    }
    return false;
}

} // namespace PrimroseBridge
