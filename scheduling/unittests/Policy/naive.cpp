#include "naive.h"

#include <map>

namespace PrimroseBridge {

using Sets = std::map<WorkerId, AcceleratorSet>;

static Sets availableTo(const ZoneState &state, const OrganisationId &organisation)
{
    Sets sets;
    for (const auto &worker : state.m_workers) {
        sets[worker.m_worker.m_id] = worker.m_status == BackendServerStatus::Live && !worker.m_ejected ? worker.m_usable : 0;
    }
    for (const auto &allocation : state.m_allocations) {
        const bool canGo = allocation.m_checkpointable || allocation.m_restartable || allocation.m_releasing;
        if (canGo || allocation.m_organisation == organisation) {
            continue;
        }
        for (const auto &member : allocation.m_members) {
            sets[member.m_worker] &= ~member.m_accelerators;
        }
    }
    return sets;
}

static bool canMeetFrom(const ZoneState &state, std::size_t guarantee, int unit, Sets &taken)
{
    if (guarantee == state.m_guarantees.size()) {
        return true;
    }
    const auto &wanted = state.m_guarantees[guarantee];
    if (unit == wanted.m_count) {
        return canMeetFrom(state, guarantee + 1, 0, taken);
    }
    for (const auto &[worker, set] : availableTo(state, wanted.m_organisation)) {
        for (int first = 0; first + wanted.m_shape.m_accelerators <= 8; ++first) {
            const AcceleratorSet position = firstAccelerators(wanted.m_shape.m_accelerators) << first;
            if ((position & ~set) != 0 || (position & taken[worker]) != 0) {
                continue;
            }
            taken[worker] |= position;
            const bool met = canMeetFrom(state, guarantee, unit + 1, taken);
            taken[worker] &= ~position;
            if (met) {
                return true;
            }
        }
    }
    return false;
}

bool canMeetAllGuarantees(const ZoneState &state)
{
    Sets taken;
    return canMeetFrom(state, 0, 0, taken);
}

} // namespace PrimroseBridge
