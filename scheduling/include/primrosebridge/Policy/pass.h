#pragma once

#include "primrosebridge/Placement/zonestate.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace PrimroseBridge {

/// Which rule decided.
enum class DecisionRule {
    Placed, ///< Placed on free capacity.
    PlacedBackfill, ///< Placed ahead of an older job that it does not delay.
    PlacedReclaim, ///< Placed on capacity reclaimed for the organisation's guarantee.
    WaitsForCapacity,
    WaitsForReclaim, ///< Capacity is being reclaimed for it.
    WaitsForReservation, ///< Would delay an older job that holds a reservation.
    WaitsForQuota,
    WaitsForGuarantee, ///< Would break another organisation's guarantee.
    WaitsBehindOthers, ///< Another organisation or an older job has precedence.
    NeverRunnable, ///< No worker of the configured fleet can hold it.
};

/// The name in lower_snake_case. Thread-safe.
std::string_view decisionRuleName(DecisionRule rule);

/// Why a request was placed, waits or was refused.
struct Explanation {
    const RequestKey m_key;
    const DecisionRule m_rule;
    const std::string m_text; ///< One sentence that names the deciding guarantee, limit or job.

    bool operator==(const Explanation &) const = default;
};

/// A decision to start one attempt of a request.
struct Placement {
    const RequestKey m_key;
    const int m_attempt;
    const std::vector<GangMember> m_members;

    bool operator==(const Placement &) const = default;
};

/// How a running attempt gives up its resources.
enum class ReleaseMode {
    Checkpoint,
    Stop, ///< Stopped and run again later from the start.
};

/// A decision to take the resources of a running attempt back.
struct Release {
    const RequestKey m_key;
    const int m_attempt;
    const ReleaseMode m_mode;
    const std::string m_reason;

    bool operator==(const Release &) const = default;
};

/// How one guarantee stands, in units of its shape.
struct GuaranteeStatus {
    const Guarantee m_guarantee;
    const int m_held; ///< In use by the organisation itself.
    const int m_free; ///< Can be formed from free accelerators.
    const int m_reclaimable; ///< Lent, and back within the reclaim time.
    const int m_short; ///< Cannot be met because the fleet is too small.

    bool operator==(const GuaranteeStatus &) const = default;
};

/// Everything that one scheduling pass decided.
struct PassResult {
    const std::vector<Placement> m_placements;
    const std::vector<Release> m_releases;
    const std::vector<Explanation> m_explanations; ///< One for each queued job.
    const std::vector<GuaranteeStatus> m_guarantees;
    const double m_fragmentation; ///< Share of free accelerators that cannot form the largest guaranteed shape, 0 to 1.

    bool operator==(const PassResult &) const = default;
};

/// Settings of the pass.
struct PassSettings {
    const Duration m_agingPeriod; ///< Each period of waiting raises a job's precedence by one step.
    const Duration m_longestWait; ///< A job that waited this long gets the next reservation.
    const int m_maxPlacements; ///< Most placements in one pass, which bounds its time.

    bool operator==(const PassSettings &) const = default;
};

/// Settings used unless the caller has measured better ones. Thread-safe.
PassSettings defaultPassSettings();

/// Decides which queued jobs start where and which running jobs give up their resources.
///
/// Jobs are decided in this order: those that claim a unit of their organisation's guarantee, the largest first; the one job that
/// has waited longest, beyond m_longestWait; urgent jobs; the others by tier and age, among these by the organisation's weighted
/// share. A job of the size of a guaranteed unit claims it unless the organisation's work of at least that size holds it or its
/// own work that cannot be removed is in the way; smaller jobs claim what the organisation does not use of its guarantees. A claim
/// takes capacity back from any removable work that no guarantee of its own organisation covers. Urgent jobs take the place of
/// uncovered batch work and of standard work that can be checkpointed and has run for ten minutes. The oldest large job that does
/// not fit holds a reservation; others go ahead of it only if they end in time by their estimate and can be removed, or lie
/// elsewhere. Work that can be checkpointed is moved if that frees a large shape and is worth it by the weights.
///
/// The time that a checkpoint or stop takes is not known here: all removable work is assumed to go within each guarantee's
/// m_reclaimWithin.
///
/// Bound on waiting: let M be the longest maximum run time of the job classes, r the longest time that a checkpoint or stop
/// takes and p the period of passes. A job that fits on the usable fleet beside the guarantees of others, within the quota of
/// its organisation, and is the k-th oldest of those that waited longer than m_longestWait, starts at most k * (M + r + 2p)
/// later, plus the time for which jobs under guarantees of other organisations occupy its position. Reason: from then on
/// nothing else is placed on the position kept for it, the work in its way is chosen by start time, so that no position that
/// received work later is preferred, and all of that work is released or ends within M. Estimates do not enter this bound, so a
/// job with a wrong estimate delays others by no more.
///
/// If the fleet is too small for all guarantees, work that can be neither checkpointed nor rerun waits unless it claims a
/// guarantee itself. The quota counts the allocations in @p state; the caller lowers it by the use in other zones.
///
/// Pure: the same arguments give the same result. Thread-safe.
/// Preconditions: allocations do not overlap; queued keys are unique and hold no allocation.
PassResult runPass(const ZoneState &state, const PassSettings &settings, Instant now);

/// Why no worker of the zone, empty and with all declared accelerators, could hold @p shape; empty if one could. Thread-safe.
std::optional<std::string> whyNeverRunnable(const std::vector<WorkerState> &workers, const Shape &shape);

} // namespace PrimroseBridge
