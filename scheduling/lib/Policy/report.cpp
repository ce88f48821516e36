#include "report.h"

#include <algorithm>

namespace PrimroseBridge {

struct UnitCounts {
    int m_held = 0;
    int m_free = 0;
    int m_reclaimable = 0;
};

static UnitCounts countUnits(const GuaranteePlan &plan, int claim)
{
    UnitCounts counts;
    for (const auto &unit : plan.m_units) {
        if (unit.m_claim != claim) {
            continue;
        }
        switch (unit.m_source) {
        case UnitSource::Held:
        case UnitSource::OwnWork:
            ++counts.m_held;
            break;
        case UnitSource::Free:
            ++counts.m_free;
            break;
        case UnitSource::Reclaimable:
            ++counts.m_reclaimable;
            break;
        }
    }
    return counts;
}

std::vector<GuaranteeStatus> guaranteeStatus(const PassContext &context, const GuaranteePlan &plan)
{
    const auto &guarantees = context.m_state.m_guarantees;
    std::vector<int> claimOf(guarantees.size());
    for (std::size_t claim = 0; claim < context.m_claimOrder.size(); ++claim) {
        claimOf[context.m_claimOrder[claim]] = static_cast<int>(claim);
    }
    std::vector<GuaranteeStatus> result;
    for (std::size_t i = 0; i < guarantees.size(); ++i) {
        const auto counts = countUnits(plan, claimOf[i]);
        result.push_back({guarantees[i], counts.m_held, counts.m_free, counts.m_reclaimable, guarantees[i].m_count - plan.m_met[claimOf[i]]});
    }
    return result;
}

double fragmentationOf(const PassContext &context, const Capacity &free)
{
    const auto &claims = context.m_claims;
    const auto largest = std::max_element(
        claims.begin(), claims.end(), [](const Claim &left, const Claim &right) { return left.m_shape.m_accelerators < right.m_shape.m_accelerators; });
    const int total = countAccelerators(free);
    if (largest == claims.end() || total == 0 || largest->m_shape.m_accelerators == 0) {
        return 0;
    }
    const int accelerators = largest->m_shape.m_accelerators;
    return 1 - static_cast<double>(countFits(context.m_fleet, free, largest->m_shape, total / accelerators)) * accelerators / total;
}

} // namespace PrimroseBridge
